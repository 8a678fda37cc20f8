"""Utilities shared by all packages."""

from wasabistage.utils._lazy import build_lazy_exports
from wasabistage.utils._sentinel import Sentinel

__all__ = [
    "Int64",
    "Sentinel",
    "UnreadableError",
    "WatchedValue",
    "build_lazy_exports",
    "decode_data",
]


def __getattr__(name):
    # WatchedValue imports trio, and the decoding msgspec. Loading them on first use
    # keeps both out of processes that only use policies.
    if name == "WatchedValue":
        from wasabistage.utils._watched import WatchedValue

        return WatchedValue
    if name in ("Int64", "UnreadableError", "decode_data"):
        from wasabistage.utils import _decoding

        return getattr(_decoding, name)
    raise AttributeError(name)
