"""Estimate of how long work takes on servers that share their machines with others.

Pattern: one of three servers, plain ones or engines, works several times slower for a
second. The rates and queues that were learned before say nothing of that second, and a
rate that is learned within it says nothing of the time after.
"""

import math
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class PaceReported:
    """A server reported how long work takes on its machine.

    :param server: id of the server.
    :param factor: duration of work relative to its usual duration; 2 is twice as long.
    """

    server: str
    factor: float


@dataclass(frozen=True, kw_only=True)
class PaceQuery:
    """Question how long work takes on a server now.

    :param server: id of the server.
    """

    server: str


@dataclass
class _Pace:
    log_factor: float
    reported_at: float


class PaceEstimator(Policy):
    """Estimator of the duration of work on a server, relative to the usual one.

    The factor changes many times a second, so a single report says more about the
    moment at which the server responded than about the next request. Reports are
    therefore averaged, on a logarithmic scale so that half and twice the duration
    cancel out. Between reports the estimate returns to the usual duration: otherwise a
    server that was slow once would get no request whose response could correct it.

    Plain services and engines use the estimate in the same way: it multiplies the
    expected time of work. The rate of an engine is therefore learned from times divided
    by the estimate, so that a slow second counts once and ends with the second.

    With the default gain a step of the duration is followed for 80 in 100 after three
    reports. The half-life is about the time for which a report holds: the factor
    changes many times a second, and a machine that stays slow reports that again.

    :param gain: weight of a new report, above 0, up to 1.
    :param half_life: time without a report in which the estimate returns halfway to
        the usual duration, in seconds.
    :param max_factor: bound of the factor, and of its inverse, above 1.
    """

    def __init__(self, *, gain=0.4, half_life=0.5, max_factor=16.0):
        self.gain = gain
        self.half_life = half_life
        self.max_factor = max_factor

    def reset(self):
        """Check the arguments and clear all servers."""
        if not 0 < self.gain <= 1 or self.half_life <= 0 or self.max_factor <= 1:
            raise SettingError(
                "gain must be above 0 and at most 1, half_life above 0 and max_factor "
                f"above 1, but they are {self.gain!r}, {self.half_life!r} and "
                f"{self.max_factor!r}",
                remedy="set gain to (0, 1], half_life above 0 and max_factor above 1",
            )
        self.servers_ = {}
        return self

    def observe(self, event, now):
        """Record a :class:`PaceReported`; factors that aren't above 0 are ignored.

        :param event: a :class:`PaceReported`.
        :param now: monotonic time, in seconds.
        """
        if not (event.factor > 0 and math.isfinite(event.factor)):
            return
        bound = math.log(self.max_factor)
        sample = min(max(math.log(event.factor), -bound), bound)
        known = self._get_log_factor(event.server, now)
        averaged = known + self.gain * (sample - known)
        self.servers_[event.server] = _Pace(averaged, now)

    def _get_log_factor(self, server, now):
        pace = self.servers_.get(server)
        if pace is None:
            return 0.0
        return pace.log_factor * 0.5 ** ((now - pace.reported_at) / self.half_life)

    def decide(self, query, now):
        """Answer a :class:`PaceQuery`.

        :param query: a :class:`PaceQuery`.
        :param now: monotonic time, in seconds.
        :return: duration of work relative to the usual one; 1 for an unknown server.
        """
        return math.exp(self._get_log_factor(query.server, now))

    def tick(self, now):
        """Remove the servers whose estimate has returned to the usual duration.

        :param now: monotonic time, in seconds.
        """
        oldest = now - 20.0 * self.half_life
        for server, pace in list(self.servers_.items()):
            if pace.reported_at < oldest:
                del self.servers_[server]
