"""Helpers that every package may import."""

from wasabistage.utils._lazy import build_lazy_exports
from wasabistage.utils._sentinel import Sentinel

__all__ = ["Sentinel", "WatchedValue", "build_lazy_exports"]


def __getattr__(name):
    # It needs trio, which decisions do without.
    if name == "Watched":
        from wasabistage.utils._watched import WatchedValue

        return WatchedValue
    raise AttributeError(name)
