"""Transfers over a store's limited link: what moves next."""

from abc import abstractmethod
from dataclasses import dataclass, field

from wasabistage.base import Policy
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
RATE_GAIN = 0.2

QUEUE_FULL = Sentinel("QUEUE_FULL")
LINK_IDLE = Sentinel("LINK_IDLE")


@dataclass
class _Transfer:
    offer: TransferQuery
    order: int
    sent: int = 0

    @property
    def get_unsent_bytes(self):
        return self.offer.size - self.sent


@dataclass
class _Link:
    rate: float
    waiting: dict = field(default_factory=dict)
    flying: dict = field(default_factory=dict)
    served: dict = field(default_factory=dict)
    virtual: float = 0.0
    budget: float = 0.0
    filled: float = 0.0
    measured: bool = False


class BaseLinkScheduler(Policy):
    """Base of the link schedulers: offers, chunks, cancels and bounds.

    An offer beyond the queue's bound is refused with ``QUEUE_FULL``: a refused
    fetch is recomputed, refused staging or export is left out.

    :param link_rate: first guess of a link's rate, in bytes a second.
    :param max_queue: transfers queued per link and kind.
    """

    def __init__(self, *, link_rate=1.25e9, max_queue=1024):
        self.link_rate = link_rate
        self.max_queue = max_queue

    def reset(self):
        """Check the arguments and forget all transfers."""
        if self.link_rate <= 0 or self.max_queue <= 0:
            raise SettingError(
                "link_rate or max_queue is not positive", remedy="set both above 0"
            )
        self.links_ = {}
        self.transfers_ = {}
        self.offered_ = 0
        return self

    def observe(self, event, now):
        """Take in a moved chunk, a cancel or a promotion.

        :param event: :class:`ChunkMoved`, :class:`TransferCancelled` or
            :class:`TransferPromoted`.
        :param now: monotonic time, in seconds.
        """
        transfer = self.transfers_.get(event.transfer)
        if transfer is None:
            return
        link = self.links_[transfer.offer.link]
        if isinstance(event, TransferCancelled):
            self._drop(link, event.transfer)
        elif isinstance(event, TransferPromoted):
            self._promote(transfer, event)
        elif isinstance(event, ChunkMoved):
            self._moved(link, transfer, event)

    def _drop(self, link, name):
        link.waiting.pop(name, None)
        link.flying.pop(name, None)
        self.transfers_.pop(name, None)

    def _promote(self, transfer, event):
        offer = transfer.offer
        transfer.offer = TransferQuery(
            transfer=offer.transfer,
            link=offer.link,
            kind=TransferKind.FETCH,
            size=offer.size,
            rank=event.rank,
            account=offer.account,
        )

    def _moved(self, link, transfer, event):
        name = event.transfer
        link.flying.pop(name, None)
        if event.size <= 0 or transfer.get_unsent_bytes <= 0:
            self._drop(link, name)
        else:
            link.waiting[name] = transfer
        if event.size >= MIN_CHUNK_BYTES and event.seconds > 0:
            sample = event.size / event.seconds
            # The first measurement replaces the guess, which may be far off.
            gain = RATE_GAIN if link.measured else 1.0
            link.rate += gain * (sample - link.rate)
            link.measured = True

    def decide(self, query, now):
        """Answer an :class:`TransferQuery` or a :class:`NextChunkQuery`.

        :param query: :class:`TransferQuery` or :class:`NextChunkQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`TransferQueued` or ``QUEUE_FULL``; :class:`Chunk` or
            ``LINK_IDLE``.
        """
        if isinstance(query, TransferQuery):
            return self._offer(query, now)
        link = self.links_.get(query.link)
        transfer = self._pick(link, now) if link else None
        if transfer is None:
            return LINK_IDLE.because("nothing may move now")
        return self._send(link, transfer)

    def _offer(self, offer, now):
        link = self.links_.get(offer.link)
        if link is None:
            if len(self.links_) >= MAX_LINKS:
                return QUEUE_FULL.because(f"more than {MAX_LINKS} links")
            link = self.links_[offer.link] = _Link(self.link_rate, filled=now)
        queued = sum(
            item.offer.kind is offer.kind
            for group in (link.waiting, link.flying)
            for item in group.values()
        )
        if queued >= self.max_queue:
            return QUEUE_FULL.because(f"{queued} transfers wait on {offer.link}")
        self._join(link, offer.account)
        self.offered_ += 1
        transfer = _Transfer(offer, self.offered_)
        self.transfers_[offer.transfer] = transfer
        link.waiting[offer.transfer] = transfer
        return TransferQueued(get_bytes_ahead=self._ahead(link, transfer))

    def _join(self, link, account):
        """Start an idle account level with those served now.

        What it moved long ago does not hold it back, nor does it overtake for
        having moved nothing. At the bound idle accounts are forgotten.
        """
        groups = (link.waiting, link.flying)
        active = {item.offer.account for group in groups for item in group.values()}
        if account in active:
            return
        if len(link.served) >= MAX_ACCOUNTS:
            link.served = {name: link.served.get(name, 0) for name in active}
        link.served[account] = max(link.served.get(account, 0), link.virtual)

    def _send(self, link, transfer):
        size = min(transfer.get_unsent_bytes, self._chunk_bytes(link, transfer))
        chunk = Chunk(
            transfer=transfer.offer.transfer,
            kind=transfer.offer.kind,
            offset=transfer.sent,
            size=size,
            last=size == transfer.get_unsent_bytes,
        )
        transfer.sent += size
        del link.waiting[chunk.transfer]
        link.flying[chunk.transfer] = transfer
        account = transfer.offer.account
        link.virtual = link.served.get(account, 0)
        link.served[account] = link.virtual + size
        return chunk

    def get_bytes_ahead(self, transfer):
        """Return the bytes that go before a transfer's next byte.

        :param transfer: id of the transfer.
        :return: bytes; 0 if the transfer is not known.
        """
        state = self.transfers_.get(transfer)
        if state is None:
            return 0
        return self._ahead(self.links_[state.offer.link], state)

    def get_unsent_bytes(self, transfer):
        """Return the bytes of a transfer that are not yet on their way.

        :param transfer: id of the transfer.
        :return: bytes; 0 if the transfer is not known.
        """
        state = self.transfers_.get(transfer)
        return state.get_unsent_bytes if state else 0

    def rate(self, link):
        """Return the rate measured on a link.

        :param link: name of the link.
        :return: bytes a second; 0 while nothing was moved.
        """
        state = self.links_.get(link)
        return state.rate if state is not None and state.measured else 0.0

    def backlog(self, link, kind):
        """Return the bytes that wait on a link.

        :param link: name of the link.
        :param kind: the :class:`TransferKind` up to which to count.
        :return: bytes.
        """
        state = self.links_.get(link)
        if state is None:
            return 0
        return sum(
            item.get_unsent_bytes
            for item in state.waiting.values()
            if item.offer.kind <= kind
        )

    @abstractmethod
    def _pick(self, link, now):
        """Return the waiting transfer to move next, or ``None``."""

    @abstractmethod
    def _ahead(self, link, transfer):
        """Return the bytes that go before a transfer."""

    @abstractmethod
    def _chunk_bytes(self, link, transfer):
        """Return the size of a transfer's next chunk."""


class FifoLinkScheduler(BaseLinkScheduler):
    """Baseline: whole transfers, first come first served."""

    def _pick(self, link, now):
        if link.flying or not link.waiting:
            return None
        return min(link.waiting.values(), key=lambda item: item.order)

    def _ahead(self, link, transfer):
        groups = (link.waiting, link.flying)
        get_unsent_bytes = sum(
            item.get_unsent_bytes for group in groups for item in group.values()
        )
        return get_unsent_bytes - transfer.get_unsent_bytes

    def _chunk_bytes(self, link, transfer):
        return transfer.get_unsent_bytes


class LinkScheduler(BaseLinkScheduler):
    """Fetches by rank first, then staging, then export, all in short chunks.

    A fetch may start while a chunk of lower kind is still on the wire; staging and
    export start only on an idle link, and within their share of it, so that a fetch
    never waits behind more than one short chunk. Within a kind and rank, the client
    account that has moved least goes first.

    :param link_rate: see :class:`BaseLinkScheduler`.
    :param max_queue: see :class:`BaseLinkScheduler`.
    :param chunk_seconds: longest time of one chunk on the wire, in seconds.
    :param background_share: share of the link that staging and export may use, above
        0, up to 1.
    :param burst_seconds: unused share that may be saved up, in seconds.
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
        """Check the arguments and forget all transfers."""
        if self.chunk_seconds <= 0 or self.burst_seconds <= 0:
            raise SettingError(
                "chunk_seconds or burst_seconds is not positive",
                remedy="set both above 0",
            )
        if not 0 < self.background_share <= 1:
            raise SettingError(
                "background_share is out of range",
                remedy="set background_share above 0, up to 1",
            )
        return super().reset()

    def _order(self, link, transfer):
        offer = transfer.offer
        served = link.served.get(offer.account, 0)
        return (offer.kind, offer.rank, served, transfer.order)

    def _pick(self, link, now):
        if not link.waiting:
            return None
        best = min(link.waiting.values(), key=lambda item: self._order(link, item))
        fetching = best.offer.kind is TransferKind.FETCH
        kinds = {item.offer.kind for item in link.flying.values()}
        if fetching:
            return None if TransferKind.FETCH in kinds else best
        if kinds or not self._spend(link, best, now):
            return None
        return best

    def _spend(self, link, transfer, now):
        """Take a background chunk from the budget, if there is enough."""
        rate = link.rate * self.background_share
        link.budget += rate * max(0.0, now - link.filled)
        link.budget = min(link.budget, rate * self.burst_seconds)
        link.filled = now
        size = min(transfer.get_unsent_bytes, self._chunk_bytes(link, transfer))
        if link.budget < size and link.budget < rate * self.burst_seconds:
            return False
        link.budget -= size
        return True

    def _ahead(self, link, transfer):
        mine = self._order(link, transfer)
        groups = (link.waiting, link.flying)
        return sum(
            item.get_unsent_bytes
            for group in groups
            for item in group.values()
            if item is not transfer and self._order(link, item) < mine
        )

    def _chunk_bytes(self, link, transfer):
        return max(MIN_CHUNK_BYTES, int(link.rate * self.chunk_seconds))
