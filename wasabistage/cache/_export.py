"""Policies that decide which pieces are copied to a store before their eviction."""

from abc import abstractmethod
from bisect import bisect_left
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.utils import Sentinel

# From 1 s to 388 days.
BUCKET_BOUNDS_SECONDS = tuple(2.0**exponent for exponent in range(26))
# Pseudo-counts: without observations, the probability of a return is 0.5.
PRIOR_RETURNED_SESSIONS = 1.0
PRIOR_EXPIRED_SESSIONS = 1.0
DECAY_FACTOR = 0.999  # of all counts, at each observation

NOT_WORTH = Sentinel("NOT_WORTH")
BACKLOG_FULL = Sentinel("BACKLOG_FULL")


@dataclass(frozen=True, kw_only=True)
class SessionReturned:
    """Event: a session sent another prompt.

    :param idle_seconds: time since its previous turn, in seconds.
    """

    idle_seconds: float


@dataclass(frozen=True, kw_only=True)
class SessionExpired:
    """Event: a session was removed from the session table without another prompt.

    :param idle_seconds: time since its last turn, in seconds.
    """

    idle_seconds: float


@dataclass(frozen=True, kw_only=True)
class BacklogChanged:
    """Event: the number of bytes queued for export over one link changed.

    :param size: bytes queued.
    """

    size: int


@dataclass(frozen=True, kw_only=True)
class ExportQuery:
    """Query: whether a session's new pieces should be exported.

    :param session: session key.
    :param history_tokens: tokens in the session's complete pieces.
    :param size: size of the pieces that the store lacks, in bytes.
    :param idle_seconds: time since the session's last turn, in seconds.
    :param link_rate: rate of the link, in bytes per second.
    :param prefill_rate: prompt tokens that a server computes per second.
    """

    session: str
    history_tokens: int
    size: int
    idle_seconds: float
    link_rate: float
    prefill_rate: float


@dataclass(frozen=True, kw_only=True)
class ExportPieces:
    """Action: export the session's new pieces.

    :param session: session key.
    :param value: expected prefill time saved per second of link time.
    """

    session: str
    value: float


class BaseExportPolicy(Policy):
    """Base of the export policies; it bounds the bytes queued per link.

    :param max_backlog: bytes queued for export above which nothing more is exported.
    """

    def __init__(self, *, max_backlog=1 << 30):
        self.max_backlog = max_backlog

    def reset(self):
        """Check the arguments and clear the learned state."""
        if self.max_backlog <= 0:
            raise SettingError(
                f"max_backlog is {self.max_backlog} bytes, not above 0",
                remedy="set max_backlog to 1 or more",
            )
        self.backlog_ = 0
        return self

    def observe(self, event, now):
        """Record the number of bytes queued for export.

        :param event: :class:`BacklogChanged`; other events are ignored.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, BacklogChanged):
            self.backlog_ = event.size

    def decide(self, query, now):
        """Answer an :class:`ExportQuery`.

        :param query: :class:`ExportQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`ExportPieces`, ``NOT_WORTH`` or ``BACKLOG_FULL``.
        """
        if self.backlog_ + query.size > self.max_backlog:
            return BACKLOG_FULL.with_reason(
                f"export of {query.size} bytes does not fit:"
                f" {self.backlog_} of {self.max_backlog} bytes are queued"
            )
        return self._decide_within_backlog(query, now)

    @abstractmethod
    def _decide_within_backlog(self, query, now):
        """Answer an :class:`ExportQuery` whose bytes fit into the bound."""


class NoExport(BaseExportPolicy):
    """Baseline policy that exports nothing."""

    def _decide_within_backlog(self, query, now):
        return NOT_WORTH.with_reason("export is off")


class ExportAll(BaseExportPolicy):
    """Baseline policy that exports everything up to the bound of queued bytes."""

    def _decide_within_backlog(self, query, now):
        return ExportPieces(session=query.session, value=1.0)


class ExportPolicy(BaseExportPolicy):
    """Policy that exports pieces whose expected saving justifies the link time.

    The value of an export is the prefill time that it saves if the session returns,
    times the probability of a return, divided by the link time. The probability is
    estimated from the idle times of earlier sessions. An export needs a minimum value,
    called the price, which grows linearly with the bytes queued. A long history is
    exported whatever its value, because recomputing it takes longest.

    :param max_backlog: see :class:`BaseExportPolicy`.
    :param price: minimum value of an export while nothing is queued, 0 or more.
    :param full_price: minimum value of an export when ``max_backlog`` is reached.
    :param floor_tokens: length of history from which every export is made, in tokens.
    """

    def __init__(
        self, *, max_backlog=1 << 30, price=0.5, full_price=20.0, floor_tokens=32768
    ):
        super().__init__(max_backlog=max_backlog)
        self.price = price
        self.full_price = full_price
        self.floor_tokens = floor_tokens

    def reset(self):
        """Check the arguments and clear the recorded idle times."""
        if not 0 <= self.price <= self.full_price:
            raise SettingError(
                f"price is {self.price} and full_price is {self.full_price},"
                " expected 0 <= price <= full_price",
                remedy="set price to 0 or more and full_price to price or more",
            )
        self.returned_ = [0.0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
        self.lost_ = [0.0] * (len(BUCKET_BOUNDS_SECONDS) + 1)
        return super().reset()

    def observe(self, event, now):
        """Record the idle time of a session; see :meth:`BaseExportPolicy.observe`."""
        super().observe(event, now)
        if isinstance(event, SessionReturned):
            self._record(self.returned_, event.idle_seconds)
        elif isinstance(event, SessionExpired):
            self._record(self.lost_, event.idle_seconds)

    def _record(self, histogram, idle_seconds):
        for counts in (self.returned_, self.lost_):
            for bucket in range(len(counts)):
                counts[bucket] *= DECAY_FACTOR
        histogram[bisect_left(BUCKET_BOUNDS_SECONDS, idle_seconds)] += 1.0

    def return_probability(self, idle_seconds):
        """Return the probability that a session sends another prompt.

        :param idle_seconds: time since its last turn, in seconds.
        :return: probability, 0 to 1.
        """
        bucket = bisect_left(BUCKET_BOUNDS_SECONDS, idle_seconds)
        returned = sum(self.returned_[bucket:]) + PRIOR_RETURNED_SESSIONS
        expired = sum(self.lost_[bucket:]) + PRIOR_EXPIRED_SESSIONS
        return returned / (returned + expired)

    def _decide_within_backlog(self, query, now):
        saved_seconds = query.history_tokens / query.prefill_rate
        spent_seconds = max(1, query.size) / query.link_rate
        value = (
            self.return_probability(query.idle_seconds) * saved_seconds / spent_seconds
        )
        filled_fraction = self.backlog_ / self.max_backlog
        price = self.price + (self.full_price - self.price) * filled_fraction
        if value < price and query.history_tokens < self.floor_tokens:
            return NOT_WORTH.with_reason(
                f"value {value:.2f} is below the price of {price:.2f}"
            )
        return ExportPieces(session=query.session, value=value)
