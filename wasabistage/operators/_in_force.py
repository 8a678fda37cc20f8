"""Finds out which configuration is in force, from the log and from entries."""

from dataclasses import dataclass

from wasabistage.declarations import (
    ConfigFold,
    Deployment,
    InForceQuery,
    PeerState,
)
from wasabistage.entry import CONFIG_STREAM, fold_read
from wasabistage.exceptions import WasabistageError

#: Bounds the pages read of a log that grows while it is read.
MOST_PAGES = 10_000


@dataclass(frozen=True, kw_only=True)
class ConfigFound:
    """The configuration that was found.

    :param version: its version; 0 when none is known.
    :param deployment: the declarations, or ``None``.
    :param doubtful: whether a newer version may exist.
    """

    version: int = 0
    deployment: Deployment | None = None
    doubtful: bool = False


async def find_in_force(log, timers, states=()):
    """Find out which configuration is in force.

    :param log: a :class:`wasabistage.reference.LogClient`.
    :param timers: a timer service.
    :param states: folded states that running entries told.
    :return: a :class:`ConfigFound`; doubtful if the log could not be read to its end.
    """
    fold = ConfigFold().reset()
    for state in states:
        fold.observe(PeerState(state=state), timers.now())
    whole = await _read_all(log, fold, timers)
    fold.tick(timers.now())
    found = fold.decide(InForceQuery(), timers.now())
    if not found:
        return ConfigFound(doubtful=not whole)
    return ConfigFound(
        version=found.version,
        deployment=found.deployment,
        doubtful=found.doubtful or found.head > found.version or not whole,
    )


async def _read_all(log, fold, timers):
    """Read the log to its end; return whether that was possible."""
    for _ in range(MOST_PAGES):
        try:
            page = await log.read(CONFIG_STREAM, fold.read_from)
        except WasabistageError:
            return False
        read = fold_read(page, fold.read_from, timers.wall_time())
        fold.observe(read, timers.now())
        fold.tick(timers.now())
        if read.end >= read.tail:
            return True
    return False
