"""Helpers that every package may import."""

from wasabistage.utils._sentinel import Sentinel

__all__ = ["Sentinel"]
