"""Helpers that every package may import."""

from wasabistage.utils._sentinel import Sentinel
from wasabistage.utils._watched import Watched

__all__ = ["Sentinel", "Watched"]
