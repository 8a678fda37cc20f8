"""Which entries read a topic of the record store, and how often they try again.

Pattern: the store is away for 9 s before 195 entries, or turns a third of them away.
The topic must be read again soon after the store returns, and the calls of the whole
fleet must stay few meanwhile.
"""

import math
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError

MIN_RETRY_SECONDS = 0.1  # the store answers in milliseconds
MAX_RETRY_SECONDS = 1.0  # well below the time for which keys stay valid


@dataclass(frozen=True, kw_only=True)
class ReadQuery:
    """Question whether an entry reads a topic now.

    :param rank: its rank among the relays that can read the topic; infinite for a
        follower.
    :param readers: number of relays that read the topic all the time.
    :param age: time since the topic was last confirmed, in seconds.
    :param has_age_bound: whether entries other than the readers take over when the
        topic grows old.
    :param is_connected: whether a follower hears its relay.
    :param fleet_size: number of live entries.
    :param draw: random number from 0 to below 1, the same for the whole process.
    """

    rank: float
    readers: int
    age: float
    has_age_bound: bool = True
    is_connected: bool = True
    fleet_size: int = 1
    draw: float = 0.0


class ReaderPolicy(Policy):
    """Policy by rank and age.

    The first relays by rank read all the time. Others take over when the topic grows
    old, one after another. A follower without a relay does so, too; one that hears its
    relay reads so rarely that all followers together make few calls.

    :param max_age: age from which further relays read, in seconds.
    :param age_step: the same per rank, in seconds.
    :param follower_age: age from which followers read, in seconds.
    :param follower_reads: reads per second of all connected followers together.
    :param relay_retry: time until a relay that isn't among the first tries again, in
        seconds, at least.
    :param rank_retry: the same per rank, so that the calls of many relays stay few.
    """

    def __init__(
        self,
        *,
        max_age=2.0,
        age_step=0.3,
        follower_age=3.0,
        follower_reads=4.0,
        relay_retry=3.0,
        rank_retry=0.5,
    ):
        self.max_age = max_age
        self.age_step = age_step
        self.follower_age = follower_age
        self.follower_reads = follower_reads
        self.relay_retry = relay_retry
        self.rank_retry = rank_retry

    def reset(self):
        """Check the arguments."""
        if min(self.max_age, self.follower_age, self.follower_reads) <= 0:
            raise SettingError(
                "max_age, follower_age and follower_reads must be above 0, but are "
                f"{self.max_age!r}, {self.follower_age!r} and {self.follower_reads!r}",
                remedy="set all three to a value above 0",
            )
        return self

    def observe(self, event, now):
        """Ignore an event: the policy learns nothing."""

    def decide(self, query, now):
        """Answer a :class:`ReadQuery`.

        :param query: a :class:`ReadQuery`.
        :param now: monotonic time, in seconds; not used.
        :return: whether the entry reads the topic.
        """
        if query.rank < query.readers:
            return True
        if not query.has_age_bound:
            return False
        if math.isfinite(query.rank):
            return query.age > self.max_age + self.age_step * query.rank
        delay = query.draw * self._get_follower_interval(query)
        return query.age > self.follower_age + delay

    def _get_follower_interval(self, query):
        if not query.is_connected:
            return MAX_RETRY_SECONDS
        return max(MAX_RETRY_SECONDS, query.fleet_size / self.follower_reads)

    def get_retry_seconds(self, query, failures):
        """Return the mean time until an entry tries again after a failed read.

        :param query: a :class:`ReadQuery`; the rank counts all relays, with those that
            fail to read, since otherwise each is the first while the store is away.
        :param failures: number of failed reads in a row, 1 or more.
        :return: seconds.
        """
        if query.rank < query.readers:
            return min(MIN_RETRY_SECONDS * 2.0 ** (failures - 1), MAX_RETRY_SECONDS)
        if math.isfinite(query.rank):
            return max(self.relay_retry, self.rank_retry * query.rank)
        return self._get_follower_interval(query)
