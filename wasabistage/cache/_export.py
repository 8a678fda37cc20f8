"""Export before eviction: which sessions' pieces are copied to a store, and when."""

from abc import abstractmethod
from bisect import bisect_left
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.utils import Sentinel

BUCKET_BOUNDS = tuple(2.0**power for power in range(26))
PRIOR_RETURNS = 1.0
PRIOR_LOST = 1.0
DECAY = 0.999

NOT_WORTH = Sentinel("NOT_WORTH")
BACKLOG_FULL = Sentinel("BACKLOG_FULL")


@dataclass(frozen=True, kw_only=True)
class SessionReturned:
    """A session came back.

    :param idle_seconds: seconds since its last turn.
    """

    idle_seconds: float


@dataclass(frozen=True, kw_only=True)
class GivenUp:
    """A session was forgotten without a return.

    :param idle_seconds: seconds since its last turn.
    """

    idle_seconds: float


@dataclass(frozen=True, kw_only=True)
class BacklogChanged:
    """The bytes that wait for export over one link changed.

    :param size: bytes waiting.
    """

    size: int


@dataclass(frozen=True, kw_only=True)
class ExportQuery:
    """Asks whether a session's new pieces should be exported.

    :param session: session key.
    :param history_tokens: tokens in the session's whole pieces.
    :param size: bytes not yet in the store.
    :param idle_seconds: seconds since its last turn.
    :param link_rate: rate of the link, in bytes a second.
    :param prefill_rate: prompt tokens that a server computes a second.
    """

    session: str
    history_tokens: int
    size: int
    idle_seconds: float
    link_rate: float
    prefill_rate: float


@dataclass(frozen=True, kw_only=True)
class Export:
    """Export the pieces.

    :param session: session key.
    :param value: expected seconds of prompt work saved, per second on the link.
    """

    session: str
    value: float


class BaseExportPolicy(Policy):
    """Base of the export policies.

    :param max_backlog: bytes of backlog per link beyond which nothing is exported.
    """

    def __init__(self, *, max_backlog=1 << 30):
        self.max_backlog = max_backlog

    def reset(self):
        """Check the arguments and forget what was learned."""
        if self.max_backlog <= 0:
            raise SettingError(
                "max_backlog is not positive", remedy="set max_backlog above 0"
            )
        self.backlog_ = 0
        return self

    def observe(self, event, now):
        """Take in the backlog.

        :param event: any event of this module; others are ignored.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, BacklogChanged):
            self.backlog_ = event.size

    def decide(self, query, now):
        """Answer an :class:`ExportQuery`.

        :param query: :class:`ExportQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`Export`, ``NOT_WORTH`` or ``BACKLOG_FULL``.
        """
        if self.backlog_ + query.size > self.max_backlog:
            return BACKLOG_FULL.because(f"{self.backlog_} bytes wait for export")
        return self._judge(query, now)

    @abstractmethod
    def _judge(self, query, now):
        """Decide within the bound of the backlog."""


class NoExport(BaseExportPolicy):
    """Baseline: nothing is exported."""

    def _judge(self, query, now):
        return NOT_WORTH.because("export is off")


class ExportAll(BaseExportPolicy):
    """Baseline: everything is exported while the backlog has room."""

    def _judge(self, query, now):
        return Export(session=query.session, value=1.0)


class ExportPolicy(BaseExportPolicy):
    """Exports what is worth its link time.

    The value is the prompt work that a return would save, times the odds of a
    return after the silence so far, by the second on the link. The price of a link
    second grows as the backlog fills. A long history is worth an export at any
    price, for its recompute hurts most.

    :param max_backlog: see :class:`BaseExportPolicy`.
    :param price: value that an export needs on an idle link, 0 or more.
    :param full_price: value that it needs at a full backlog.
    :param floor_tokens: history that is exported whatever its value, in tokens.
    """

    def __init__(
        self, *, max_backlog=1 << 30, price=0.5, full_price=20.0, floor_tokens=32768
    ):
        super().__init__(max_backlog=max_backlog)
        self.price = price
        self.full_price = full_price
        self.floor_tokens = floor_tokens

    def reset(self):
        """Check the arguments and forget the return times."""
        if not 0 <= self.price <= self.full_price:
            raise SettingError(
                "price is negative or above full_price",
                remedy="set 0 <= price <= full_price",
            )
        self.returned_ = [0.0] * (len(BUCKET_BOUNDS) + 1)
        self.lost_ = [0.0] * (len(BUCKET_BOUNDS) + 1)
        return super().reset()

    def observe(self, event, now):
        """Learn the times to return; see :meth:`BaseExportPolicy.observe`."""
        super().observe(event, now)
        if isinstance(event, SessionReturned):
            self._count(self.returned_, event.idle_seconds)
        elif isinstance(event, GivenUp):
            self._count(self.lost_, event.idle_seconds)

    def _count(self, histogram, idle_seconds):
        for counts in (self.returned_, self.lost_):
            for place in range(len(counts)):
                counts[place] *= DECAY
        histogram[bisect_left(BUCKET_BOUNDS, idle_seconds)] += 1.0

    def odds(self, idle_seconds):
        """Return the odds that a session still returns.

        :param idle_seconds: seconds since its last turn.
        :return: probability, 0 to 1.
        """
        place = bisect_left(BUCKET_BOUNDS, idle_seconds)
        returned = sum(self.returned_[place:]) + PRIOR_RETURNS
        lost = sum(self.lost_[place:]) + PRIOR_LOST
        return returned / (returned + lost)

    def _judge(self, query, now):
        saved = query.history_tokens / query.prefill_rate
        spent = max(1, query.size) / query.link_rate
        value = self.odds(query.idle_seconds) * saved / spent
        filled = self.backlog_ / self.max_backlog
        price = self.price + (self.full_price - self.price) * filled
        if value < price and query.history_tokens < self.floor_tokens:
            return NOT_WORTH.because(f"value {value:.2f} is below price {price:.2f}")
        return Export(session=query.session, value=value)
