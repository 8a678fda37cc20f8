"""Which stores hold committed prefixes, compact enough for 830,000 sessions."""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.cache._keys import short_key
from wasabistage.cache._store_messages import (
    PrefixCommitted,
    PrefixDropped,
    RequestRecords,
    StoredSessionQuery,
    StoreEmptied,
    StoreFailed,
    StoreFault,
    StoreHolding,
    StoreRankingQuery,
    StoreReplied,
    Tier,
)
from wasabistage.cache._table import SPREAD, WORD_MASK, CompactTable
from wasabistage.exceptions import SettingError

MAX_STORES = 255
TIER_BITS = 1
STORE_BITS = 8
COUNT_BITS = 16
STAMP_SHIFT = TIER_BITS + STORE_BITS + COUNT_BITS
HALF_BITS = 64
HALF_MASK = (1 << HALF_BITS) - 1


@dataclass
class _StoreState:
    number: int
    trust: float = 1.0
    failures: int = 0
    retry_at: float = float("-inf")
    full_until: float = float("-inf")
    unlisted: bool = False


class StoreIndex(Policy):
    """Compact index of committed prefixes, by record tail and by session.

    A row holds a 64-bit key and one packed word (time, pieces, store, tier); a
    session's row holds the tail as well. At the bound the least recently stamped of
    a sample is dropped. A store that fails is not offered until a growing delay has
    passed; a full one is not written to for a while.

    :param max_sessions: committed prefixes remembered.
    :param retry_delay: seconds without reads after a first failure, then doubled.
    :param max_retry_delay: bound of that delay, in seconds.
    :param full_delay: seconds without writes after a store was full.
    :param trust_gain: weight of the newest outcome in a store's trust, 0 to 1.
    """

    def __init__(
        self,
        *,
        max_sessions=1_000_000,
        retry_delay=1.0,
        max_retry_delay=30.0,
        full_delay=10.0,
        trust_gain=0.2,
    ):
        self.max_sessions = max_sessions
        self.retry_delay = retry_delay
        self.max_retry_delay = max_retry_delay
        self.full_delay = full_delay
        self.trust_gain = trust_gain

    def reset(self):
        """Check the arguments and forget everything."""
        for name in ("max_sessions", "retry_delay", "max_retry_delay", "full_delay"):
            if getattr(self, name) <= 0:
                raise SettingError(
                    f"{name} is not positive", remedy=f"set {name} above 0"
                )
        if not 0 < self.trust_gain <= 1:
            raise SettingError(
                "trust_gain is out of range", remedy="set trust_gain above 0, up to 1"
            )
        self.stores_ = {}
        self.names_ = {}
        self.next_number_ = 0
        self.tails_ = CompactTable(columns=1, max_rows=self.max_sessions)
        self.sessions_ = CompactTable(columns=3, max_rows=self.max_sessions)
        return self

    @property
    def size(self):
        """Memory of the tables, in bytes."""
        return self.tails_.size + self.sessions_.size

    def _store(self, name):
        """Return a store's state, or ``None`` beyond the bound of stores."""
        state = self.stores_.get(name)
        if state is None and len(self.stores_) < MAX_STORES:
            state = self.stores_[name] = _StoreState(self._free_number())
            self.names_[state.number] = name
        return state

    def _free_number(self):
        while self.next_number_ % (1 << STORE_BITS) in self.names_:
            self.next_number_ += 1
        number = self.next_number_ % (1 << STORE_BITS)
        self.next_number_ += 1
        return number

    def _row_key(self, short, state):
        return short ^ ((state.number + 1) * SPREAD & WORD_MASK)

    def _pack(self, pieces, state, tier, now):
        pieces = min(pieces, (1 << COUNT_BITS) - 1)
        word = max(0, int(now))
        word = (word << COUNT_BITS) | pieces
        word = (word << STORE_BITS) | state.number
        return (word << TIER_BITS) | int(tier)

    def _unpack(self, word):
        tier = Tier(word & ((1 << TIER_BITS) - 1))
        number = (word >> TIER_BITS) & ((1 << STORE_BITS) - 1)
        pieces = (word >> (TIER_BITS + STORE_BITS)) & ((1 << COUNT_BITS) - 1)
        return pieces, number, tier

    def observe(self, event, now):
        """Take in a commit, a drop, a failure, a reply or an emptied store.

        :param event: :class:`PrefixCommitted`, :class:`PrefixDropped`,
            :class:`StoreFailed`,
            :class:`StoreReplied` or :class:`StoreEmptied`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, StoreEmptied):
            self._empty(event.store)
            return
        state = self._store(event.store)
        if state is None:
            return
        if isinstance(event, PrefixCommitted):
            self._commit(event, state, now)
        elif isinstance(event, PrefixDropped):
            self.tails_.remove(self._row_key(short_key(event.tail), state))
            state.trust -= self.trust_gain * state.trust
        elif isinstance(event, StoreFailed):
            self._fail(event, state, now)
        elif isinstance(event, StoreReplied):
            state.failures = 0
            state.retry_at = float("-inf")
            state.trust += self.trust_gain * (1.0 - state.trust)

    def _empty(self, name):
        """Give the store's number up only after its rows are gone."""
        state = self.stores_.pop(name, None)
        if state is None:
            return
        for table in (self.tails_, self.sessions_):
            rows = [
                key
                for key, words in table.rows()
                if self._unpack(words[0])[1] == state.number
            ]
            for key in rows:
                table.remove(key)
        del self.names_[state.number]

    def _commit(self, event, state, now):
        if event.replaces and event.replaces != event.tail:
            self.tails_.remove(self._row_key(short_key(event.replaces), state))
        word = self._pack(event.pieces, state, event.tier, now)
        self.tails_.put(self._row_key(short_key(event.tail), state), word)
        if event.session:
            tail = int(event.tail, 16)
            key = self._row_key(short_key(event.session), state)
            self.sessions_.put(key, word, tail >> HALF_BITS, tail & HALF_MASK)

    def _fail(self, event, state, now):
        if event.fault is StoreFault.FULL:
            state.full_until = now + self.full_delay
            return
        state.trust -= self.trust_gain * state.trust
        if event.fault is StoreFault.UNREACHABLE:
            delay = self.retry_delay * 2 ** min(state.failures, 16)
            state.retry_at = now + min(delay, self.max_retry_delay)
            state.failures += 1
            state.unlisted = True

    def decide(self, query, now):
        """Answer which stores hold a prefix, or where to write one.

        :param query: :class:`StoredPrefixQuery`, :class:`StoredSessionQuery` or
            :class:`StoreRankingQuery`.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`StoreHolding`; for a :class:`StoreRankingQuery` a
            tuple of store names, best first.
        """
        if isinstance(query, StoreRankingQuery):
            return self._rank_stores(query.session, now)
        holdings = []
        for name, state in self.stores_.items():
            if now < state.retry_at:
                continue
            holding = self._holding(query, name, state)
            if holding is not None:
                holdings.append(holding)
        return tuple(holdings)

    def _holding(self, query, name, state):
        if isinstance(query, StoredSessionQuery):
            words = self.sessions_.get(self._row_key(short_key(query.session), state))
            if words is None:
                return None
            tail = f"{(words[1] << HALF_BITS) | words[2]:032x}"
            alive = self.tails_.get(self._row_key(short_key(tail), state))
            return self._offer(name, state, tail, alive) if alive else None
        for tail in reversed(query.keys):
            words = self.tails_.get(self._row_key(short_key(tail), state))
            if words is not None:
                return self._offer(name, state, tail, words)
        return None

    def _offer(self, name, state, tail, words):
        pieces, _, tier = self._unpack(words[0])
        return StoreHolding(
            store=name, tail=tail, pieces=pieces, tier=tier, trust=state.trust
        )

    def _rank_stores(self, session, now):
        """Rank writable stores by rendezvous hash, so a session keeps its store."""
        usable = [
            (self._row_key(short_key(session), state) * SPREAD & WORD_MASK, name)
            for name, state in self.stores_.items()
            if now >= state.retry_at and now >= state.full_until
        ]
        return tuple(name for _, name in sorted(usable))

    def tick(self, now):
        """Request listings of stores that were out of reach.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`RequestRecords`.
        """
        actions = []
        for name, state in self.stores_.items():
            if state.unlisted and now >= state.retry_at:
                state.unlisted = False
                actions.append(RequestRecords(store=name))
        return actions
