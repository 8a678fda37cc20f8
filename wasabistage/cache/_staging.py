"""Staging: moving stored pieces closer to a server before their prompt arrives.

Staging loads pieces into a store's memory or imports them into a server. A caller that
asks for the list of entries and names a session will probably send that session's next
prompt.
"""

from collections import OrderedDict
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.cache._index import ServerHolding
from wasabistage.cache._store_messages import StoreHolding, Tier
from wasabistage.exceptions import SettingError

USED_SMOOTHING_FACTOR = 0.05  # weight of the newest outcome in the moving average
# While imports are stopped, one import in this many requests is still made.
REQUESTS_PER_PROBE = 20


@dataclass(frozen=True, kw_only=True)
class StagingQuery:
    """Query: what to stage for a session that will probably send a prompt.

    :param session: session key.
    :param server: name of the backend server that will probably serve the prompt.
    :param piece_bytes: bytes of KV cache in one piece.
    :param stored: tuple of :class:`StoreHolding`, the session's pieces in stores.
    :param held: tuple of :class:`ServerHolding`, the session's pieces in servers.
    :param queue_seconds: time that a new transfer waits in the link's queue, in
        seconds.
    """

    session: str
    server: str
    piece_bytes: int
    stored: tuple[StoreHolding, ...] = ()
    held: tuple[ServerHolding, ...] = ()
    queue_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class StagingUsed:
    """Event: the prompt arrived and used the staged pieces.

    :param session: session key.
    """

    session: str


@dataclass(frozen=True, kw_only=True)
class LoadIntoMemory:
    """Action: have a store copy a record's pieces from disk to memory.

    :param session: session key.
    :param store: name of the store.
    :param tail: tail key of the commit record.
    """

    session: str
    store: str
    tail: str


@dataclass(frozen=True, kw_only=True)
class ImportPieces:
    """Action: copy pieces to a server, by a transfer of kind ``STAGE``.

    :param session: session key.
    :param store: name of the store.
    :param tail: tail key of the commit record.
    :param server: name of the backend server.
    :param first: index of the first piece to copy.
    :param pieces: index after the last piece to copy.
    """

    session: str
    store: str
    tail: str
    server: str
    first: int
    pieces: int


class NoStaging(Policy):
    """Baseline policy that stages nothing."""

    def reset(self):
        """Do nothing."""
        return self

    def observe(self, event, now):
        """Ignore the event."""

    def decide(self, query, now):
        """Return no actions."""
        return ()


class StagingPolicy(Policy):
    """Policy that loads stored pieces into memory and imports them into servers.

    Loading into memory is cheap, so it is limited only by ``max_open``. Imports take
    link time. They stop while the link's queue is long or when few earlier imports were
    used. In the latter case, one import in ``REQUESTS_PER_PROBE`` requests is still
    made, so that the policy notices when imports become useful again.

    :param max_open: maximum number of sessions with an import that is neither used nor
        expired; at the maximum, nothing is staged.
    :param expiry: time after which an unused import counts as wasted, in seconds.
    :param min_used: fraction of used imports below which imports stop, 0 to 1.
    :param max_link_seconds: waiting time in the link's queue above which nothing is
        imported, in seconds.
    """

    def __init__(
        self, *, max_open=256, expiry=30.0, min_used=0.3, max_link_seconds=0.2
    ):
        self.max_open = max_open
        self.expiry = expiry
        self.min_used = min_used
        self.max_link_seconds = max_link_seconds

    def reset(self):
        """Check the arguments and clear the staged sessions."""
        if self.max_open <= 0 or self.expiry <= 0:
            raise SettingError(
                f"max_open is {self.max_open} and expiry is {self.expiry} s,"
                " both must be above 0",
                remedy="set max_open to 1 or more and expiry above 0",
            )
        if not 0 <= self.min_used <= 1:
            raise SettingError(
                f"min_used is {self.min_used}, not between 0 and 1",
                remedy="set min_used to 0 or more and 1 or less",
            )
        self.open_ = OrderedDict()  # session key to time of its import, in seconds
        self.used_share_ = 1.0  # moving average, 0 to 1
        self.asked_ = 0  # imports considered, made or not
        return self

    def observe(self, event, now):
        """Record that staged pieces were used.

        :param event: :class:`StagingUsed`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, StagingUsed) and event.session in self.open_:
            del self.open_[event.session]
            self.used_share_ += USED_SMOOTHING_FACTOR * (1.0 - self.used_share_)

    def decide(self, query, now):
        """Answer a :class:`StagingQuery`.

        :param query: :class:`StagingQuery`.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`LoadIntoMemory` and :class:`ImportPieces`.
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
            load = LoadIntoMemory(
                session=query.session, store=best.store, tail=best.tail
            )
            actions.append(load)
        if self._may_import(query):
            actions.append(self._build_import(query, best))
            self.open_[query.session] = now
        return tuple(actions)

    def _may_import(self, query):
        """Return whether an import may be made now, and count the request."""
        self.asked_ += 1
        is_useful = (
            self.used_share_ >= self.min_used or self.asked_ % REQUESTS_PER_PROBE == 0
        )
        return is_useful and query.queue_seconds <= self.max_link_seconds

    def _build_import(self, query, best):
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
        """Remove expired sessions and count their imports as wasted.

        :param now: monotonic time, in seconds.
        :return: an empty list.
        """
        while self.open_:
            session, started_at = next(iter(self.open_.items()))
            if now - started_at < self.expiry:
                break
            del self.open_[session]
            self.used_share_ -= USED_SMOOTHING_FACTOR * self.used_share_
        return []
