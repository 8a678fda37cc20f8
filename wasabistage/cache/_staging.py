"""Staging ahead: a caller's question for an entry is the first sign of a return."""

from collections import OrderedDict
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.cache._index import ServerHolding
from wasabistage.cache._store_messages import StoreHolding, Tier
from wasabistage.exceptions import SettingError

USED_GAIN = 0.05
PROBE_EVERY = 20


@dataclass(frozen=True, kw_only=True)
class StagingQuery:
    """Asks what to stage for a session that probably returns.

    :param session: session key.
    :param server: backend server likely to be chosen.
    :param piece_bytes: bytes of KV cache in one piece.
    :param stored: tuple of :class:`StoreHolding` of the session.
    :param held: tuple of :class:`ServerHolding` of the session's pieces.
    :param queue_seconds: time that the link's queue takes before a new transfer.
    """

    session: str
    server: str
    piece_bytes: int
    stored: tuple[StoreHolding, ...] = ()
    held: tuple[ServerHolding, ...] = ()
    queue_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class StagingUsed:
    """The prompt came, and used what was staged.

    :param session: session key.
    """

    session: str


@dataclass(frozen=True, kw_only=True)
class Lift:
    """Action: have a store lift a record's pieces from disk to memory.

    :param session: session key.
    :param store: name of the store.
    :param tail: tail key of the commit record.
    """

    session: str
    store: str
    tail: str


@dataclass(frozen=True, kw_only=True)
class ImportPieces:
    """Action: move pieces to a server, as a transfer of kind ``STAGE``.

    :param session: session key.
    :param store: name of the store.
    :param tail: tail key of the commit record.
    :param server: name of the backend server.
    :param first: first piece to move.
    :param pieces: end of the pieces to move.
    """

    session: str
    store: str
    tail: str
    server: str
    first: int
    pieces: int


class NoStaging(Policy):
    """Baseline: nothing is staged."""

    def reset(self):
        """Do nothing."""
        return self

    def observe(self, event, now):
        """Ignore the event."""

    def decide(self, query, now):
        """Return no action."""
        return ()


class StagingPolicy(Policy):
    """Lifts stored pieces, and imports them while this proves useful.

    Lifting is cheap and always done. Imports take link time, so they stop when the
    link has a queue, when too many are open, or when few of them get used; one in
    ``PROBE_EVERY`` is then still tried, to notice a change.

    :param max_open: sessions staged and not yet used or expired; more are refused.
    :param expiry: seconds after which unused staging counts as wasted.
    :param min_used: share of use below which imports stop, 0 to 1.
    :param max_link_seconds: link queue above which nothing is imported, in seconds.
    """

    def __init__(
        self, *, max_open=256, expiry=30.0, min_used=0.3, max_link_seconds=0.2
    ):
        self.max_open = max_open
        self.expiry = expiry
        self.min_used = min_used
        self.max_link_seconds = max_link_seconds

    def reset(self):
        """Check the arguments and forget what is staged."""
        if self.max_open <= 0 or self.expiry <= 0:
            raise SettingError(
                "max_open or expiry is not positive", remedy="set both above 0"
            )
        if not 0 <= self.min_used <= 1:
            raise SettingError(
                "min_used is out of range", remedy="set min_used from 0 to 1"
            )
        self.open_ = OrderedDict()
        self.used_share_ = 1.0
        self.asked_ = 0
        return self

    def observe(self, event, now):
        """Learn that staging was used.

        :param event: :class:`StagingUsed`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, StagingUsed) and event.session in self.open_:
            del self.open_[event.session]
            self.used_share_ += USED_GAIN * (1.0 - self.used_share_)

    def decide(self, query, now):
        """Answer a :class:`StagingQuery`.

        :param query: :class:`StagingQuery`.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`Lift` and :class:`ImportPieces` actions.
        """
        if query.session in self.open_ or not query.stored:
            return ()
        if len(self.open_) >= self.max_open:
            return ()
        best = max(
            query.stored, key=lambda item: (item.pieces * item.trust, -item.tier)
        )
        held = max((item.pieces for item in query.held), default=0)
        if best.pieces <= held:
            return ()
        actions = []
        if best.tier is Tier.DISK:
            lift = Lift(session=query.session, store=best.store, tail=best.tail)
            actions.append(lift)
        if self._may_import(query):
            actions.append(self._import(query, best))
            self.open_[query.session] = now
        return tuple(actions)

    def _may_import(self, query):
        self.asked_ += 1
        useful = self.used_share_ >= self.min_used or self.asked_ % PROBE_EVERY == 0
        return useful and query.queue_seconds <= self.max_link_seconds

    def _import(self, query, best):
        first = 0
        for holding in query.held:
            if holding.server == query.server:
                first = min(holding.pieces, best.pieces)
        return ImportPieces(
            session=query.session,
            store=best.store,
            tail=best.tail,
            server=query.server,
            first=first,
            pieces=best.pieces,
        )

    def tick(self, now):
        """Count expired staging as wasted.

        :param now: monotonic time, in seconds.
        :return: no actions.
        """
        while self.open_:
            session, since = next(iter(self.open_.items()))
            if now - since < self.expiry:
                break
            del self.open_[session]
            self.used_share_ -= USED_GAIN * self.used_share_
        return []
