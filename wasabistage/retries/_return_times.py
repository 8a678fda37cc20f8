"""Times after which refused callers return, spread over the drain of the queue.

Pattern: a burst of prompts of one rank, 2.5 times what the engines take, for 5 s. With
one constant time, all callers that are refused together return together, and are
refused again until their time is over; they outlast the burst as a second wave.

Each refused caller is told the time that the prompts in front of it take, at the rate
at which this entry sends prompts now: those that wait, and those of callers that were
refused before and have not returned.
"""

import math
from dataclasses import dataclass

from sortedcontainers import SortedList

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError

#: Fraction of its time left after which a refused caller returns at the latest.
MAX_RETURN_FRACTION = 1.0 / 3.0


@dataclass(frozen=True, kw_only=True)
class PromptSent:
    """A prompt was sent to an engine."""


@dataclass(frozen=True, kw_only=True)
class CallerRefused:
    """A caller was refused and told when to return.

    :param rank: rank of its request; 0 is the most urgent.
    :param seconds: time until it returns, in seconds.
    """

    rank: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class ReturnQuery:
    """Question when a refused caller is to return.

    :param rank: rank of its request; 0 is the most urgent.
    :param waiting: prompts of this and more urgent ranks that wait for engines.
    :param shortest: shortest useful time until it returns, in seconds.
    :param needed: time that the request needs once it has returned, in seconds.
    :param time_left: time until the caller gives up, in seconds.
    :param draw: random number from 0 to below 1.
    """

    rank: int
    waiting: int
    shortest: float
    needed: float
    time_left: float
    draw: float


class ConstantReturn(Policy):
    """Baseline that gives every caller the shortest useful time."""

    def reset(self):
        """Do nothing: nothing is learned."""
        return self

    def observe(self, event, now):
        """Ignore an event."""

    def decide(self, query, now):
        """Return ``shortest`` of a :class:`ReturnQuery`."""
        return query.shortest


class SpreadReturn(Policy):
    """Policy that spreads the returns over the time in which the queue drains.

    More urgent callers return first, since only callers of their own and more urgent
    ranks are in front of them.

    :param window: time constant of the measured rate, in seconds.
    :param spread: fraction of the time by which it is shortened at random, so that
        callers refused at the same moment don't return at the same moment.
    :param max_returns: number of callers whose return is expected that are remembered
        of each rank.
    :param max_ranks: number of ranks that are told apart.
    """

    def __init__(self, *, window=2.0, spread=0.25, max_returns=4096, max_ranks=8):
        self.window = window
        self.spread = spread
        self.max_returns = max_returns
        self.max_ranks = max_ranks

    def reset(self):
        """Check the arguments and forget rate and returns.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if not self.window > 0.0 or not 0.0 <= self.spread < 1.0:
            raise SettingError(
                f"window is {self.window!r} and spread {self.spread!r}",
                remedy="set window above 0 and spread from 0 to below 1",
            )
        if self.max_returns < 1 or self.max_ranks < 1:
            raise SettingError(
                f"max_returns is {self.max_returns!r} and max_ranks {self.max_ranks!r}",
                remedy="set both to 1 or more",
            )
        self.rate_ = 0.0
        self.sent_at_ = 0.0
        #: For each rank the times at which refused callers return.
        self.returns_ = [SortedList() for _ in range(self.max_ranks)]
        return self

    def observe(self, event, now):
        """Record a :class:`PromptSent` or a :class:`CallerRefused`.

        :param event: one of them.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, PromptSent):
            self.rate_ = self.get_rate(now) + 1.0 / self.window
            self.sent_at_ = now
        elif isinstance(event, CallerRefused):
            returns = self.returns_[self._get_index(event.rank)]
            del returns[: returns.bisect_right(now)]
            if len(returns) < self.max_returns:
                returns.add(now + event.seconds)

    def get_rate(self, now):
        """Return the prompts that this entry sends in a second.

        :param now: monotonic time, in seconds.
        """
        age = max(0.0, now - self.sent_at_)
        return self.rate_ * math.exp(-age / self.window)

    def _get_index(self, rank):
        return min(max(rank, 0), self.max_ranks - 1)

    def _count_returns(self, rank, now):
        """Return the expected callers of a rank and more urgent ones."""
        ranks = self.returns_[: self._get_index(rank) + 1]
        return sum(len(times) - times.bisect_right(now) for times in ranks)

    def decide(self, query, now):
        """Answer a :class:`ReturnQuery`, without recording the return.

        :param query: a :class:`ReturnQuery`.
        :param now: monotonic time, in seconds.
        :return: seconds, at most one third of the caller's time left.
        """
        latest = max(0.0, query.time_left * MAX_RETURN_FRACTION)
        if query.time_left - latest < query.needed:
            # It can't be served any more. An earlier return would only add load.
            return latest
        rate = self.get_rate(now)
        ahead = query.waiting + self._count_returns(query.rank, now)
        drain = ahead / rate if rate > 0.0 else math.inf
        spread = 1.0 - self.spread * query.draw
        return min(latest, max(query.shortest, min(drain, latest) * spread))
