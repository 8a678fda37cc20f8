"""Capacity of an entry to serve callers, from its machine and its present pace.

Pattern: machines with 2.15 cores and 100 Mbit/s beside others with half a core and 5
to 10 Mbit/s, of which some are slowed down for seconds by other processes.
"""

import math
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError

#: Bandwidth and descriptors that are counted as one core.
LINK_MBPS_PER_CORE = 10.0
FDS_PER_CORE = 3000.0
#: Descriptors that are used for files.
FILE_FDS = 200
#: Longest interval that counts, so that one pause of the process changes nothing.
MAX_INTERVAL_SECONDS = 1.0


def compute_capacity(cores, link_mbps, max_fds=None):
    """Return the capacity of an entry, in cores that its machine can put to use.

    :param cores: processor cores that the process may use.
    :param link_mbps: bandwidth of the link, in Mbit/s.
    :param max_fds: descriptors that the process may have open; ``None`` for no bound.
    """
    bounds = [cores, link_mbps / LINK_MBPS_PER_CORE]
    if max_fds is not None:
        bounds.append(max(1.0, max_fds - FILE_FDS) / FDS_PER_CORE)
    return min(bounds)


@dataclass(frozen=True, kw_only=True)
class IntervalPassed:
    """A periodic task has run again.

    :param seconds: time since its last run, in seconds.
    """

    seconds: float


class EntryCapacity(Policy):
    """Capacity that an entry reports: less while its tasks run late.

    The capacity changes in a few steps and is held for a while, since each change moves
    channels of callers.

    :param capacity: capacity of its machine; 0 if it is unknown.
    :param interval: intended time between two runs of the periodic task, in seconds.
    :param window: time constant of the average lateness, in seconds.
    :param steps: pairs of a lateness, as a fraction of the time that passes, and the
        fraction of the capacity that is reported from there on; in order of lateness.
    :param recovery: fraction of a step's lateness below which it is left again.
    :param hold: shortest time between a step down and the next step up, in seconds.
    """

    def __init__(
        self,
        capacity,
        *,
        interval=0.2,
        window=5.0,
        steps=((0.4, 0.5), (0.7, 0.25)),
        recovery=0.5,
        hold=10.0,
    ):
        self.capacity = capacity
        self.interval = interval
        self.window = window
        self.steps = steps
        self.recovery = recovery
        self.hold = hold

    def reset(self):
        """Check the arguments and forget the lateness."""
        if not self.capacity >= 0.0 or min(self.interval, self.window) <= 0.0:
            raise SettingError(
                f"capacity is {self.capacity!r}, interval {self.interval!r} and window "
                f"{self.window!r}",
                remedy="set capacity to 0 or more, interval and window above 0",
            )
        self.lateness_ = 0.0
        self.share_ = 1.0
        self.lowered_at_ = -math.inf
        return self

    def observe(self, event, now):
        """Record an :class:`IntervalPassed`.

        :param event: an :class:`IntervalPassed`.
        :param now: monotonic time, in seconds.
        """
        if not event.seconds > 0.0:
            return
        late = max(0.0, event.seconds - self.interval) / event.seconds
        counted = min(event.seconds, MAX_INTERVAL_SECONDS)
        kept = math.exp(-counted / self.window)
        self.lateness_ = kept * self.lateness_ + (1.0 - kept) * late
        lowered = self._get_share(1.0)
        if lowered < self.share_:
            self.share_, self.lowered_at_ = lowered, now
        elif now - self.lowered_at_ >= self.hold:
            self.share_ = max(self.share_, self._get_share(self.recovery))

    def _get_share(self, factor):
        share = 1.0
        for lateness, step_share in self.steps:
            if self.lateness_ > factor * lateness:
                share = step_share
        return share

    def decide(self, query, now):
        """Return the capacity to report; 0 if it is unknown.

        :param query: not used.
        :param now: monotonic time, in seconds; not used.
        """
        return self.capacity * self.share_
