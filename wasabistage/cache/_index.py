"""Which backend servers hold which pieces, from late and lossy cache events."""

from collections import deque
from dataclasses import dataclass, field

from wasabistage.base import Policy
from wasabistage.cache._keys import short_key
from wasabistage.exceptions import SettingError

MAX_SERVERS = 4096
MAX_RETIRED_INCARNATIONS = 8
TRUST_GAIN = 0.2


@dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """What an engine published about its own cache.

    :param server: name of the backend server.
    :param incarnation: random id of that server process's life.
    :param sequence: number of the event in that life, from 1.
    :param stored: tuple of piece keys now held.
    :param removed: tuple of piece keys no longer held.
    """

    server: str
    incarnation: str
    sequence: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class CacheListing:
    """All pieces that an engine held after one event.

    :param server: name of the backend server.
    :param incarnation: random id of that server process's life.
    :param sequence: number of the last event that the listing includes.
    :param keys: tuple of all piece keys held.
    """

    server: str
    incarnation: str
    sequence: int
    keys: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class CacheSequenceReport:
    """A backend server was asked for events and named its newest one.

    :param server: name of the backend server.
    :param incarnation: random id of that server process's life.
    :param sequence: number of its newest published event.
    """

    server: str
    incarnation: str
    sequence: int


@dataclass(frozen=True, kw_only=True)
class PrefixOutcome:
    """How many of the expected pieces an engine really reused.

    :param server: name of the backend server.
    :param expected: pieces that the index promised.
    :param found: pieces that the engine reused.
    """

    server: str
    expected: int
    found: int


@dataclass(frozen=True, kw_only=True)
class EngineCacheRemoved:
    """A backend server left or died; its pieces are gone.

    :param server: name of the backend server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class PrefixQuery:
    """Asks which servers hold how much of a prompt.

    :param keys: the prompt's piece keys, in order.
    """

    keys: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class ServerHolding:
    """What one server is believed to hold.

    :param server: name of the backend server.
    :param pieces: pieces held from the start of the prompt.
    :param trust: belief in it, 0 to 1.
    """

    server: str
    pieces: int
    trust: float


@dataclass(frozen=True, kw_only=True)
class RequestListing:
    """Action: ask a server for a listing of its pieces.

    :param server: name of the backend server.
    """

    server: str


@dataclass
class _ServerState:
    incarnation: str
    sequence: int = 0
    doubtful: bool = False
    heard: float = 0.0
    asked: float = float("-inf")
    trust: float = 1.0
    pieces: dict = field(default_factory=dict)
    journal: deque = field(default_factory=deque)
    retired: deque = field(
        default_factory=lambda: deque(maxlen=MAX_RETIRED_INCARNATIONS)
    )


class PrefixIndex(Policy):
    """Index of hints; the engine has the last word.

    A gap in the event numbers marks a server doubtful until a listing replaces its
    pieces. A late event only removes: what it stored may have been removed since.
    At its bound a server's least recently used piece is forgotten; a server beyond
    the bound of servers is not indexed.

    :param max_pieces: pieces remembered per server.
    :param journal_events: events per server kept for replay over a listing.
    :param listing_retry: seconds between two requests for one listing.
    :param max_age: seconds without news after which a listing is requested.
    :param doubt_trust: factor on the trust in a doubtful server, 0 to 1.
    """

    def __init__(
        self,
        *,
        max_pieces=16384,
        journal_events=128,
        listing_retry=2.0,
        max_age=60.0,
        doubt_trust=0.5,
    ):
        self.max_pieces = max_pieces
        self.journal_events = journal_events
        self.listing_retry = listing_retry
        self.max_age = max_age
        self.doubt_trust = doubt_trust

    def reset(self):
        """Check the arguments and forget all servers."""
        for name in ("max_pieces", "journal_events", "listing_retry", "max_age"):
            if getattr(self, name) <= 0:
                raise SettingError(
                    f"{name} is not positive", remedy=f"set {name} above 0"
                )
        if not 0 <= self.doubt_trust <= 1:
            raise SettingError(
                "doubt_trust is out of range", remedy="set doubt_trust from 0 to 1"
            )
        self.servers_ = {}
        self.gaps_ = 0
        self.duplicates_ = 0
        return self

    def observe(self, event, now):
        """Take in an event, a listing, an outcome or a departure.

        :param event: :class:`CacheEvent`, :class:`CacheSequenceReport`,
            :class:`CacheListing`, :class:`PrefixOutcome` or
                :class:`EngineCacheRemoved`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, CacheEvent):
            self._take_event(event, now)
        elif isinstance(event, CacheSequenceReport):
            self._take_quiet(event, now)
        elif isinstance(event, CacheListing):
            self._take_listing(event, now)
        elif isinstance(event, PrefixOutcome):
            self._take_outcome(event)
        elif isinstance(event, EngineCacheRemoved):
            self.servers_.pop(event.server, None)

    def _state(self, event, now):
        """Return the state of the event's life, or ``None`` to ignore the event."""
        state = self.servers_.get(event.server)
        if state is None:
            if len(self.servers_) >= MAX_SERVERS:
                return None
            state = self.servers_[event.server] = _ServerState(event.incarnation)
        if event.incarnation in state.retired:
            return None
        if event.incarnation != state.incarnation:
            fresh = _ServerState(event.incarnation, retired=state.retired)
            fresh.retired.append(state.incarnation)
            state = self.servers_[event.server] = fresh
        state.heard = now
        return state

    def _take_event(self, event, now):
        state = self._state(event, now)
        if state is None:
            return
        if event.sequence <= state.sequence:
            self.duplicates_ += 1
            self._apply_late(state, event)
            return
        if event.sequence > state.sequence + 1:
            self.gaps_ += 1
            state.doubtful = True
        state.sequence = event.sequence
        state.journal.append(event)
        if len(state.journal) > self.journal_events:
            state.journal.popleft()
        self._apply(state, event)

    def _take_quiet(self, event, now):
        """Refresh a server's age; an event that never came shows here as a gap."""
        state = self._state(event, now)
        if state is not None and event.sequence > state.sequence:
            self.gaps_ += 1
            state.doubtful = True

    def _apply(self, state, event):
        for key in event.removed:
            state.pieces.pop(short_key(key), None)
        for key in event.stored:
            short = short_key(key)
            state.pieces.pop(short, None)
            state.pieces[short] = event.sequence
        while len(state.pieces) > self.max_pieces:
            del state.pieces[next(iter(state.pieces))]

    def _apply_late(self, state, event):
        for key in event.removed:
            short = short_key(key)
            if state.pieces.get(short, event.sequence + 1) <= event.sequence:
                del state.pieces[short]

    def _take_listing(self, listing, now):
        state = self._state(listing, now)
        if state is None:
            return
        later = [item for item in state.journal if item.sequence > listing.sequence]
        missing = max(0, state.sequence - listing.sequence) - len(later)
        if missing and not state.doubtful:
            return
        state.pieces = {}
        whole = CacheEvent(
            server=listing.server,
            incarnation=listing.incarnation,
            sequence=listing.sequence,
            stored=listing.keys,
        )
        self._apply(state, whole)
        for event in later:
            self._apply(state, event)
        state.sequence = max(state.sequence, listing.sequence)
        state.doubtful = missing > 0
        state.asked = float("-inf")

    def _take_outcome(self, event):
        state = self.servers_.get(event.server)
        if state is None or event.expected <= 0:
            return
        share = min(1.0, event.found / event.expected)
        state.trust += TRUST_GAIN * (share - state.trust)

    def decide(self, query, now):
        """Answer a :class:`PrefixQuery`.

        :param query: :class:`PrefixQuery`.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`ServerHolding`, only servers that hold a piece.
        """
        shorts = [short_key(key) for key in query.keys]
        holdings = []
        for server, state in self.servers_.items():
            pieces = self._count(state, shorts)
            if pieces:
                trust = self._trust(state, now)
                holdings.append(
                    ServerHolding(server=server, pieces=pieces, trust=trust)
                )
        return tuple(holdings)

    def _count(self, state, shorts):
        count = 0
        for short in shorts:
            sequence = state.pieces.pop(short, None)
            if sequence is None:
                break
            state.pieces[short] = sequence
            count += 1
        return count

    def _trust(self, state, now):
        factor = self.doubt_trust if state.doubtful else 1.0
        age = max(0.0, now - state.heard)
        return state.trust * factor * self.max_age / (self.max_age + age)

    def tick(self, now):
        """Request listings of doubtful and of silent servers.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`RequestListing`.
        """
        actions = []
        for server, state in self.servers_.items():
            stale = now - state.heard > self.max_age
            due = now - state.asked >= self.listing_retry
            if (state.doubtful or stale) and due:
                state.asked = now
                actions.append(RequestListing(server=server))
        return actions
