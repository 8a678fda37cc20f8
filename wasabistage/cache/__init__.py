"""KV cache pieces: keys, index, stores, transfers."""

from wasabistage.cache._keys import cache_salt

__all__ = ["cache_salt"]
