"""Helpers that every package may import."""

from wasabistage.utils._lazy import lazy_names
from wasabistage.utils._sentinel import Sentinel

__all__ = ["Sentinel", "Watched", "lazy_names"]


def __getattr__(name):
    # It needs trio, which decisions do without.
    if name == "Watched":
        from wasabistage.utils._watched import Watched

        return Watched
    raise AttributeError(name)
