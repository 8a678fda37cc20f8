"""Schedulers that select the next chunk to carry over a store's link."""

from abc import abstractmethod
from dataclasses import dataclass, field, replace

from wasabistage.base import Policy
from wasabistage.cache._chunk_times import MAX_GROWTH, ChunkTimes
from wasabistage.cache._transfer_messages import (
    Chunk,
    ChunkMoved,
    TransferCancelled,
    TransferKind,
    TransferPromoted,
    TransferQuery,
    TransferQueued,
)
from wasabistage.exceptions import SettingError
from wasabistage.utils import Sentinel

MAX_LINKS = 4096
MAX_ACCOUNTS = 4096
MIN_CHUNK_BYTES = 4096
#: Maximum time of a chunk's bytes at the rate of a link with a long latency.
MAX_CHUNK_SECONDS = 0.1

QUEUE_FULL = Sentinel("QUEUE_FULL")
LINK_IDLE = Sentinel("LINK_IDLE")


@dataclass
class _Transfer:
    """State of one transfer.

    :param query: the :class:`TransferQuery`.
    :param number: place in the order of arrival.
    :param sent_bytes: bytes of the chunks that were started.
    """

    query: TransferQuery
    number: int
    sent_bytes: int = 0

    @property
    def unsent_bytes(self):
        return self.query.size - self.sent_bytes


@dataclass
class _Link:
    """State of one link.

    :param times: :class:`ChunkTimes` of its chunks.
    :param waiting: dict of id to queued transfer without a chunk in flight.
    :param in_flight: dict of id to transfer with a chunk in flight.
    :param served_bytes: dict of client account to its bytes for fair queueing.
    :param virtual_time_bytes: virtual time of fair queueing, in bytes.
    :param background_budget_bytes: level of the token bucket of staging and export.
    :param refilled_at: time of the last refill of the token bucket.
    """

    times: ChunkTimes
    waiting: dict = field(default_factory=dict)
    in_flight: dict = field(default_factory=dict)
    served_bytes: dict = field(default_factory=dict)
    virtual_time_bytes: float = 0.0
    background_budget_bytes: float = 0.0
    refilled_at: float = 0.0

    @property
    def rate(self):
        """Throughput of the link's chunks, in bytes per second."""
        return self.times.throughput


class BaseLinkScheduler(Policy):
    """Base of the link schedulers; it keeps the queues of transfers and their bounds.

    A transfer beyond the bound of the queue is refused with ``QUEUE_FULL``. The pieces
    of a refused fetch are recomputed; a refused staging or export is omitted.

    :param link_rate: initial estimate of a link's rate, in bytes per second.
    :param max_queue: maximum number of transfers per link and kind, queued or in
        flight.
    """

    def __init__(self, *, link_rate=1.25e9, max_queue=1024):
        self.link_rate = link_rate
        self.max_queue = max_queue

    def reset(self):
        """Check the arguments and remove all transfers."""
        if self.link_rate <= 0 or self.max_queue <= 0:
            raise SettingError(
                f"link_rate is {self.link_rate} bytes per second and max_queue is"
                f" {self.max_queue}, both must be above 0",
                remedy="set link_rate above 0 and max_queue to 1 or more",
            )
        self.links_ = {}
        self.transfers_ = {}
        self.offered_ = 0
        return self

    def observe(self, event, now):
        """Update a transfer by an event.

        :param event: :class:`ChunkMoved`, :class:`TransferCancelled` or
            :class:`TransferPromoted`.
        :param now: monotonic time, in seconds.
        """
        transfer = self.transfers_.get(event.transfer)
        if transfer is None:
            return
        link = self.links_[transfer.query.link]
        if isinstance(event, TransferCancelled):
            self._remove(link, event.transfer)
        elif isinstance(event, TransferPromoted):
            self._promote_to_fetch(transfer, event)
        elif isinstance(event, ChunkMoved):
            self._record_chunk(link, transfer, event)

    def _remove(self, link, transfer_id):
        link.waiting.pop(transfer_id, None)
        link.in_flight.pop(transfer_id, None)
        self.transfers_.pop(transfer_id, None)

    def _promote_to_fetch(self, transfer, event):
        transfer.query = replace(
            transfer.query, kind=TransferKind.FETCH, rank=event.rank
        )

    def _record_chunk(self, link, transfer, event):
        transfer_id = event.transfer
        link.in_flight.pop(transfer_id, None)
        if event.size <= 0 or transfer.unsent_bytes <= 0:
            self._remove(link, transfer_id)
        else:
            link.waiting[transfer_id] = transfer
        if event.size > 0 and event.seconds > 0:
            link.times.update(event.size, event.seconds)

    def decide(self, query, now):
        """Answer a :class:`TransferQuery` or a :class:`NextChunkQuery`.

        :param query: :class:`TransferQuery` or :class:`NextChunkQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`TransferQueued` or ``QUEUE_FULL``; :class:`Chunk` or
            ``LINK_IDLE``.
        """
        if isinstance(query, TransferQuery):
            return self._enqueue(query, now)
        link = self.links_.get(query.link)
        transfer = self._select(link, now) if link else None
        if transfer is None:
            return LINK_IDLE.with_reason("no chunk may start now")
        return self._start_chunk(link, transfer)

    def _enqueue(self, query, now):
        link = self.links_.get(query.link)
        if link is None:
            if len(self.links_) >= MAX_LINKS:
                return QUEUE_FULL.with_reason(
                    f"{query.link} would exceed the bound of {MAX_LINKS} links"
                )
            times = ChunkTimes(rate=self.link_rate)
            link = self.links_[query.link] = _Link(times, refilled_at=now)
        queued = sum(
            item.query.kind is query.kind
            for group in (link.waiting, link.in_flight)
            for item in group.values()
        )
        if queued >= self.max_queue:
            return QUEUE_FULL.with_reason(
                f"{queued} transfers of kind {query.kind.name} wait on {query.link},"
                f" at most {self.max_queue} may"
            )
        self._activate_account(link, query.account)
        self.offered_ += 1
        transfer = _Transfer(query, self.offered_)
        self.transfers_[query.transfer] = transfer
        link.waiting[query.transfer] = transfer
        return TransferQueued(bytes_ahead=self._count_bytes_ahead(link, transfer))

    def _activate_account(self, link, account):
        """Raise an idle account's served bytes to the link's virtual time.

        As in start-time fair queueing, the virtual time is the served bytes of the
        account that was served last. An account gains no priority by having been idle,
        and a new account gains none over accounts that were served before. At
        ``MAX_ACCOUNTS``, idle accounts are removed.
        """
        transfer_groups = (link.waiting, link.in_flight)
        active = {
            item.query.account for group in transfer_groups for item in group.values()
        }
        if account in active:
            return
        if len(link.served_bytes) >= MAX_ACCOUNTS:
            link.served_bytes = {
                name: link.served_bytes.get(name, 0) for name in active
            }
        link.served_bytes[account] = max(
            link.served_bytes.get(account, 0), link.virtual_time_bytes
        )

    def _start_chunk(self, link, transfer):
        """Build a transfer's next chunk and record it as in flight."""
        size = self._get_chunk_bytes(link, transfer)
        chunk = Chunk(
            transfer=transfer.query.transfer,
            kind=transfer.query.kind,
            offset=transfer.sent_bytes,
            size=size,
            last=size == transfer.unsent_bytes,
        )
        transfer.sent_bytes += size
        del link.waiting[chunk.transfer]
        link.in_flight[chunk.transfer] = transfer
        account = transfer.query.account
        link.virtual_time_bytes = link.served_bytes.get(account, 0)
        link.served_bytes[account] = link.virtual_time_bytes + size
        return chunk

    def _get_chunk_bytes(self, link, transfer):
        """Return the size of a transfer's next chunk: whole pieces, or its rest."""
        piece_bytes = transfer.query.piece_bytes
        least = max(MIN_CHUNK_BYTES, piece_bytes)
        wanted = self._get_max_chunk_bytes(link, transfer)
        times = link.times
        if wanted <= least and times.is_measured and not times.has_spread:
            # The smallest chunks alone never show the latency of the link.
            wanted = least if times.mean_size > 2 * least else MAX_GROWTH * least
        pieces = max(1, wanted // piece_bytes)
        return min(transfer.unsent_bytes, pieces * piece_bytes)

    def get_bytes_ahead(self, transfer):
        """Return the bytes that are carried before a transfer's next byte.

        :param transfer: id of the transfer.
        :return: bytes; 0 if the transfer is not known.
        """
        state = self.transfers_.get(transfer)
        if state is None:
            return 0
        return self._count_bytes_ahead(self.links_[state.query.link], state)

    def get_unsent_bytes(self, transfer):
        """Return the bytes of a transfer whose chunks have not started.

        :param transfer: id of the transfer.
        :return: bytes; 0 if the transfer is not known.
        """
        state = self.transfers_.get(transfer)
        return state.unsent_bytes if state else 0

    def rate(self, link):
        """Return the rate measured on a link.

        :param link: name of the link.
        :return: bytes per second, with the latency of each chunk; 0 before the first
            measurement.
        """
        state = self.links_.get(link)
        return state.rate if state is not None and state.times.is_measured else 0.0

    def backlog(self, link, kind):
        """Return the bytes that wait on a link.

        Transfers with a chunk in flight are not counted.

        :param link: name of the link.
        :param kind: lowest-priority :class:`TransferKind` to count; kinds with higher
            priority are included.
        :return: bytes.
        """
        state = self.links_.get(link)
        if state is None:
            return 0
        return sum(
            item.unsent_bytes
            for item in state.waiting.values()
            if item.query.kind <= kind
        )

    @abstractmethod
    def _select(self, link, now):
        """Return the queued transfer whose chunk goes next, or ``None``."""

    @abstractmethod
    def _count_bytes_ahead(self, link, transfer):
        """Return the bytes that are carried before a transfer's next byte."""

    @abstractmethod
    def _get_max_chunk_bytes(self, link, transfer):
        """Return the largest size of a transfer's next chunk, in bytes."""


class FifoLinkScheduler(BaseLinkScheduler):
    """Baseline scheduler: one transfer at a time, in order of arrival, in one chunk."""

    def _select(self, link, now):
        if link.in_flight or not link.waiting:
            return None
        return min(link.waiting.values(), key=lambda item: item.number)

    def _count_bytes_ahead(self, link, transfer):
        transfer_groups = (link.waiting, link.in_flight)
        total_bytes = sum(
            item.unsent_bytes for group in transfer_groups for item in group.values()
        )
        return total_bytes - transfer.unsent_bytes

    def _get_max_chunk_bytes(self, link, transfer):
        return transfer.unsent_bytes


class LinkScheduler(BaseLinkScheduler):
    """Scheduler by priority: fetches by rank, then staging, then export.

    Transfers are carried in short chunks. A fetch may start while a chunk of staging or
    export is in flight. Staging and export start only on an idle link and within their
    share of the link, so that a fetch competes with at most one short chunk. Among
    transfers of one kind and rank, the client account with the fewest bytes served goes
    first.

    :param link_rate: see :class:`BaseLinkScheduler`.
    :param max_queue: see :class:`BaseLinkScheduler`.
    :param chunk_seconds: time that the bytes of one chunk may take at the link's rate,
        in seconds; more on a link with a longer latency.
    :param background_share: fraction of the link's rate that staging and export may
        use, above 0, up to 1.
    :param burst_seconds: time over which an unused share accumulates, in seconds.
    """

    def __init__(
        self,
        *,
        link_rate=1.25e9,
        max_queue=1024,
        chunk_seconds=0.005,
        background_share=0.7,
        burst_seconds=0.5,
    ):
        super().__init__(link_rate=link_rate, max_queue=max_queue)
        self.chunk_seconds = chunk_seconds
        self.background_share = background_share
        self.burst_seconds = burst_seconds

    def reset(self):
        """Check the arguments and remove all transfers."""
        if self.chunk_seconds <= 0 or self.burst_seconds <= 0:
            raise SettingError(
                f"chunk_seconds is {self.chunk_seconds} and burst_seconds is"
                f" {self.burst_seconds}, both must be above 0",
                remedy="set chunk_seconds and burst_seconds above 0",
            )
        if not 0 < self.background_share <= 1:
            raise SettingError(
                f"background_share is {self.background_share}, not above 0 and up to 1",
                remedy="set background_share above 0 and to 1 or less",
            )
        return super().reset()

    def _sort_key(self, link, transfer):
        """Return the key that orders transfers; the smallest has priority."""
        query = transfer.query
        served_bytes = link.served_bytes.get(query.account, 0)
        return (query.kind, query.rank, served_bytes, transfer.number)

    def _select(self, link, now):
        if not link.waiting:
            return None
        best = min(link.waiting.values(), key=lambda item: self._sort_key(link, item))
        is_fetch = best.query.kind is TransferKind.FETCH
        kinds_in_flight = {item.query.kind for item in link.in_flight.values()}
        if is_fetch:
            return None if TransferKind.FETCH in kinds_in_flight else best
        if kinds_in_flight or not self._take_from_budget(link, best, now):
            return None
        return best

    def _take_from_budget(self, link, transfer, now):
        """Refill the token bucket of background chunks and take a chunk from it.

        A chunk larger than the full bucket is let through when the bucket is full.

        :return: whether the chunk may start.
        """
        rate = link.rate * self.background_share
        link.background_budget_bytes += rate * max(0.0, now - link.refilled_at)
        link.background_budget_bytes = min(
            link.background_budget_bytes, rate * self.burst_seconds
        )
        link.refilled_at = now
        size = self._get_chunk_bytes(link, transfer)
        if (
            link.background_budget_bytes < size
            and link.background_budget_bytes < rate * self.burst_seconds
        ):
            return False
        link.background_budget_bytes -= size
        return True

    def _count_bytes_ahead(self, link, transfer):
        own_key = self._sort_key(link, transfer)
        transfer_groups = (link.waiting, link.in_flight)
        return sum(
            item.unsent_bytes
            for group in transfer_groups
            for item in group.values()
            if item is not transfer and self._sort_key(link, item) < own_key
        )

    def _get_max_chunk_bytes(self, link, transfer):
        # Half of a chunk's time may be latency.
        seconds = max(self.chunk_seconds, min(link.times.latency, MAX_CHUNK_SECONDS))
        return max(MIN_CHUNK_BYTES, link.times.get_size(seconds))
