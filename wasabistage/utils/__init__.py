"""Utilities shared by all packages."""

from wasabistage.utils._lazy import build_lazy_exports
from wasabistage.utils._sentinel import Sentinel

__all__ = ["Sentinel", "WatchedValue", "build_lazy_exports"]


def __getattr__(name):
    # WatchedValue imports trio. Loading it on first use keeps trio out of processes
    # that only use policies.
    if name == "WatchedValue":
        from wasabistage.utils._watched import WatchedValue

        return WatchedValue
    raise AttributeError(name)
