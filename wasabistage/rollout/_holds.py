"""Grants that this process holds."""

import math
from dataclasses import dataclass
from enum import Enum, auto


class Progress(Enum):
    """How far the order of a grant held here has come."""

    READING = auto()
    ORDERED = auto()
    ENDED = auto()


@dataclass
class Hold:
    """A grant held by this process; times are monotonic, in seconds."""

    slot: int
    server: str
    fencing: int
    send_until: float
    lapses_at: float
    taken_at: float
    progress: Progress = Progress.READING
    attempt: int = 0
    asked_at: float = -math.inf
    ordered_at: float = -math.inf
    ended_at: float = -math.inf
    released_at: float = -math.inf
