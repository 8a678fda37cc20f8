"""Engines that are slow at the moment, and whether other entries should know it.

Pattern: one engine in seven takes 2.5 times as long for some 0.6 s, then another one.
Its streams go on, with pauses that callers just tolerate. A long prompt that it reads
meanwhile makes each pause longer than that, for all streams of the engine.
"""

import math
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.routing._pace import PaceQuery, PaceReported

MAX_SERVERS = 4096


@dataclass(frozen=True, kw_only=True)
class PaceNewsQuery:
    """Question whether a reported pace is news to other entries.

    :param server: id of the server.
    :param factor: duration of work relative to its usual duration.
    """

    server: str
    factor: float


@dataclass
class _Moment:
    factor: float
    at: float


class SlowMoments(Policy):
    """Policy that keeps the last reported pace of each engine for a short time.

    Unlike :class:`PaceEstimator` it doesn't average: a moment is over before an average
    of an entry's few responses shows it.

    :param slow_factor: factor from which an engine counts as slow.
    :param max_age: time for which a report counts, in seconds.
    """

    def __init__(self, *, slow_factor=1.5, max_age=0.6):
        self.slow_factor = slow_factor
        self.max_age = max_age

    def reset(self):
        """Check the arguments and clear all engines."""
        if self.slow_factor <= 1.0 or self.max_age <= 0.0:
            raise SettingError(
                f"slow_factor is {self.slow_factor!r} and max_age {self.max_age!r}, "
                "but must be above 1 and above 0",
                remedy="set slow_factor above 1 and max_age above 0",
            )
        self.moments_ = {}
        return self

    def observe(self, event, now):
        """Record a :class:`PaceReported`; factors that aren't above 0 are ignored.

        :param event: a :class:`PaceReported`.
        :param now: monotonic time, in seconds.
        """
        if not isinstance(event, PaceReported):
            return
        if not (event.factor > 0 and math.isfinite(event.factor)):
            return
        if event.server not in self.moments_ and len(self.moments_) >= MAX_SERVERS:
            self.moments_.clear()
        self.moments_[event.server] = _Moment(event.factor, now)

    def _is_slow(self, server, now):
        moment = self.moments_.get(server)
        if moment is None or now - moment.at > self.max_age:
            return False
        return moment.factor >= self.slow_factor

    def decide(self, query, now):
        """Answer a :class:`PaceQuery` or a :class:`PaceNewsQuery`.

        :param query: one of them.
        :param now: monotonic time, in seconds.
        :return: for a :class:`PaceQuery`, whether the engine is slow now; for a
            :class:`PaceNewsQuery`, asked before the report is observed, whether the
            report changes that.
        """
        if isinstance(query, PaceQuery):
            return self._is_slow(query.server, now)
        return (query.factor >= self.slow_factor) != self._is_slow(query.server, now)
