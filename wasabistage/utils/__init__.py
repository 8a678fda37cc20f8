"""Utilities shared by all packages."""

from wasabistage.utils._lazy import lazy_names
from wasabistage.utils._sentinel import Sentinel

__all__ = ["Sentinel", "Watched", "lazy_names"]


def __getattr__(name):
    # Watched imports trio. Loading it on first use keeps trio out of processes that
    # only use policies.
    if name == "Watched":
        from wasabistage.utils._watched import Watched

        return Watched
    raise AttributeError(name)
