"""Index of the pieces that backend servers hold, built from their cache events.

Cache events may be late, duplicated or lost.
"""

from collections import deque
from dataclasses import dataclass, field

from wasabistage.base import Policy
from wasabistage.cache._keys import truncate_key
from wasabistage.exceptions import SettingError

MAX_SERVERS = 4096  # events of further servers are ignored
MAX_RETIRED_INCARNATIONS = 8
TRUST_SMOOTHING_FACTOR = 0.2  # weight of the newest outcome in the moving average


@dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """Event: an engine stored pieces in its cache or removed them.

    :param server: name of the backend server.
    :param incarnation: random id of the server process.
    :param sequence: number of the event in that incarnation, from 1.
    :param stored: tuple of the keys of the stored pieces.
    :param removed: tuple of the keys of the removed pieces.
    """

    server: str
    incarnation: str
    sequence: int
    stored: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class CacheListing:
    """Event: an engine listed all pieces that it holds.

    :param server: name of the backend server.
    :param incarnation: random id of the server process.
    :param sequence: number of the last event that the listing includes.
    :param keys: tuple of all piece keys held.
    """

    server: str
    incarnation: str
    sequence: int
    keys: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class CacheSequenceReport:
    """Event: a backend server reported the number of its newest cache event.

    It shows that the server is alive, and reveals events that were lost.

    :param server: name of the backend server.
    :param incarnation: random id of the server process.
    :param sequence: number of its newest published event.
    """

    server: str
    incarnation: str
    sequence: int


@dataclass(frozen=True, kw_only=True)
class PrefixOutcome:
    """Event: an engine reported how many of the expected pieces it reused.

    :param server: name of the backend server.
    :param expected: number of leading pieces that the index predicted.
    :param found: number of these pieces that the engine reused.
    """

    server: str
    expected: int
    found: int


@dataclass(frozen=True, kw_only=True)
class EngineCacheRemoved:
    """Event: a backend server was removed or has expired; its pieces are lost.

    :param server: name of the backend server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class PrefixQuery:
    """Query: which servers hold how many leading pieces of a prompt.

    :param keys: the prompt's piece keys, in order.
    """

    keys: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class ServerHolding:
    """The pieces of a prompt that one server probably holds.

    :param server: name of the backend server.
    :param pieces: number of pieces held, from the start of the prompt.
    :param trust: confidence in this number, 0 to 1.
    """

    server: str
    pieces: int
    trust: float


@dataclass(frozen=True, kw_only=True)
class RequestListing:
    """Action: request a listing of a server's pieces.

    :param server: name of the backend server.
    """

    server: str


@dataclass
class _ServerState:
    """State of one incarnation of a server.

    :param incarnation: random id of the server process.
    :param sequence: number of its newest applied event.
    :param has_gap: whether events are missing and no listing has replaced them.
    :param heard_at: monotonic time of its last event, report or listing, in seconds.
    :param requested_at: monotonic time of the last request for its listing, in seconds.
    :param trust: moving average of the fraction of predicted pieces reused, 0 to 1.
    :param pieces: dict of truncated key to the number of the event that stored it,
        least recently used first.
    :param recent_events: its newest events, oldest first.
    :param retired_incarnations: earlier incarnations, whose events are ignored.
    """

    incarnation: str
    sequence: int = 0
    has_gap: bool = False
    heard_at: float = 0.0
    requested_at: float = float("-inf")
    trust: float = 1.0
    pieces: dict = field(default_factory=dict)
    recent_events: deque = field(default_factory=deque)
    retired_incarnations: deque = field(
        default_factory=lambda: deque(maxlen=MAX_RETIRED_INCARNATIONS)
    )


class PrefixIndex(Policy):
    """Index of the pieces that each server probably holds.

    Its answers are hints: an engine computes the pieces that turn out to be missing.
    After a gap in the event numbers, a server's pieces are incomplete until a listing
    replaces them. An event that arrives late only removes pieces, because the
    pieces that it stored may have been removed since. Beyond ``max_pieces``, a server's
    least recently used piece is evicted. Servers beyond ``MAX_SERVERS`` are ignored.

    :param max_pieces: maximum number of pieces indexed per server.
    :param journal_events: newest events kept per server, to be applied again after a
        listing that is older than they are.
    :param listing_retry: time between two requests for one server's listing, in
        seconds.
    :param max_age: time without events after which a listing is requested, in seconds;
        after this time, the trust in the server is half as high.
    :param doubt_trust: factor for the trust in a server whose pieces are incomplete, 0
        to 1.
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
        """Check the arguments and remove all servers."""
        for name in ("max_pieces", "journal_events", "listing_retry", "max_age"):
            if getattr(self, name) <= 0:
                raise SettingError(
                    f"{name} is {getattr(self, name)}, not above 0",
                    remedy=f"set {name} above 0",
                )
        if not 0 <= self.doubt_trust <= 1:
            raise SettingError(
                f"doubt_trust is {self.doubt_trust}, not between 0 and 1",
                remedy="set doubt_trust to 0 or more and 1 or less",
            )
        self.servers_ = {}
        self.gaps_ = 0
        self.duplicates_ = 0  # including late events
        return self

    def observe(self, event, now):
        """Update the index with an event of a server.

        :param event: :class:`CacheEvent`, :class:`CacheSequenceReport`,
            :class:`CacheListing`, :class:`PrefixOutcome` or
            :class:`EngineCacheRemoved`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, CacheEvent):
            self._observe_event(event, now)
        elif isinstance(event, CacheSequenceReport):
            self._observe_sequence(event, now)
        elif isinstance(event, CacheListing):
            self._observe_listing(event, now)
        elif isinstance(event, PrefixOutcome):
            self._observe_outcome(event)
        elif isinstance(event, EngineCacheRemoved):
            self.servers_.pop(event.server, None)

    def _update_state(self, event, now):
        """Record the time of an event and return the state of its incarnation.

        A new server or incarnation is added. The result is ``None`` if the event is to
        be ignored.
        """
        state = self.servers_.get(event.server)
        if state is None:
            if len(self.servers_) >= MAX_SERVERS:
                return None
            state = self.servers_[event.server] = _ServerState(event.incarnation)
        if event.incarnation in state.retired_incarnations:
            return None
        if event.incarnation != state.incarnation:
            new_state = _ServerState(
                event.incarnation, retired_incarnations=state.retired_incarnations
            )
            new_state.retired_incarnations.append(state.incarnation)
            state = self.servers_[event.server] = new_state
        state.heard_at = now
        return state

    def _observe_event(self, event, now):
        state = self._update_state(event, now)
        if state is None:
            return
        if event.sequence <= state.sequence:
            self.duplicates_ += 1
            self._apply_late_event(state, event)
            return
        if event.sequence > state.sequence + 1:
            self.gaps_ += 1
            state.has_gap = True
        state.sequence = event.sequence
        state.recent_events.append(event)
        if len(state.recent_events) > self.journal_events:
            state.recent_events.popleft()
        self._apply_event(state, event)

    def _observe_sequence(self, event, now):
        """Record that a server is alive, and detect a gap after the last event."""
        state = self._update_state(event, now)
        if state is not None and event.sequence > state.sequence:
            self.gaps_ += 1
            state.has_gap = True

    def _apply_event(self, state, event):
        for key in event.removed:
            state.pieces.pop(truncate_key(key), None)
        for key in event.stored:
            short_key = truncate_key(key)
            state.pieces.pop(short_key, None)
            state.pieces[short_key] = event.sequence
        while len(state.pieces) > self.max_pieces:
            del state.pieces[next(iter(state.pieces))]

    def _apply_late_event(self, state, event):
        """Remove the pieces that a late event removed, unless stored again since."""
        for key in event.removed:
            short_key = truncate_key(key)
            if state.pieces.get(short_key, event.sequence + 1) <= event.sequence:
                del state.pieces[short_key]

    def _observe_listing(self, listing, now):
        """Replace a server's pieces by a listing and apply the newer events again.

        A listing is ignored if some event newer than it is no longer kept, unless
        events are missing anyway.
        """
        state = self._update_state(listing, now)
        if state is None:
            return
        later_events = [
            item for item in state.recent_events if item.sequence > listing.sequence
        ]
        missing_events = max(0, state.sequence - listing.sequence) - len(later_events)
        if missing_events and not state.has_gap:
            return
        state.pieces = {}
        listing_event = CacheEvent(
            server=listing.server,
            incarnation=listing.incarnation,
            sequence=listing.sequence,
            stored=listing.keys,
        )
        self._apply_event(state, listing_event)
        for event in later_events:
            self._apply_event(state, event)
        state.sequence = max(state.sequence, listing.sequence)
        state.has_gap = missing_events > 0
        # Another listing may be requested at once.
        state.requested_at = float("-inf")

    def _observe_outcome(self, event):
        state = self.servers_.get(event.server)
        if state is None or event.expected <= 0:
            return
        reused_fraction = min(1.0, event.found / event.expected)
        state.trust += TRUST_SMOOTHING_FACTOR * (reused_fraction - state.trust)

    def decide(self, query, now):
        """Answer a :class:`PrefixQuery`.

        :param query: :class:`PrefixQuery`.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`ServerHolding`, one for each server that holds a
            piece.
        """
        short_keys = [truncate_key(key) for key in query.keys]
        holdings = []
        for server, state in self.servers_.items():
            pieces = self._count_pieces(state, short_keys)
            if pieces:
                trust = self._estimate_trust(state, now)
                holdings.append(
                    ServerHolding(server=server, pieces=pieces, trust=trust)
                )
        return tuple(holdings)

    def _count_pieces(self, state, short_keys):
        """Count the leading pieces that a server holds and mark them as used."""
        count = 0
        for short_key in short_keys:
            sequence = state.pieces.pop(short_key, None)
            if sequence is None:
                break
            state.pieces[short_key] = sequence
            count += 1
        return count

    def _estimate_trust(self, state, now):
        factor = self.doubt_trust if state.has_gap else 1.0
        silent_seconds = max(0.0, now - state.heard_at)
        return state.trust * factor * self.max_age / (self.max_age + silent_seconds)

    def tick(self, now):
        """Request listings of servers with missing events or without recent events.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`RequestListing`.
        """
        actions = []
        for server, state in self.servers_.items():
            is_silent = now - state.heard_at > self.max_age
            is_due = now - state.requested_at >= self.listing_retry
            if (state.has_gap or is_silent) and is_due:
                state.requested_at = now
                actions.append(RequestListing(server=server))
        return actions
