"""KV cache pieces: keys, index, stores, transfers."""
