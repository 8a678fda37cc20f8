"""Index of the prefixes committed in stores, compact enough for 830,000 sessions."""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.cache._keys import truncate_key
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
from wasabistage.cache._table import HASH_MULTIPLIER, WORD_MASK, CompactTable
from wasabistage.exceptions import SettingError

MAX_STORES = 255  # events of further stores are ignored
TIER_BITS = 1
STORE_BITS = 8
PIECES_BITS = 16
TIMESTAMP_SHIFT_BITS = TIER_BITS + STORE_BITS + PIECES_BITS
TAIL_WORD_BITS = 64
TAIL_WORD_MASK = (1 << TAIL_WORD_BITS) - 1


@dataclass
class _StoreState:
    """State of one store.

    :param number: number of the store in packed words.
    :param trust: moving average of its outcomes, from 0 (all failed) to 1.
    :param failures: failures to reach it since its last success.
    :param retry_at: monotonic time before which it is neither read nor written, in
        seconds.
    :param full_until: monotonic time before which it is not written, in seconds.
    :param needs_listing: whether its records are to be listed when it is tried again.
    """

    number: int
    trust: float = 1.0
    failures: int = 0
    retry_at: float = float("-inf")
    full_until: float = float("-inf")
    needs_listing: bool = False


class StoreIndex(Policy):
    """Compact index of committed prefixes, with a table by tail key and one by session.

    A row holds a 64-bit key and one packed word (time, pieces, store, tier). A
    session's row also holds the tail key. At the bound, the row with the oldest time
    among a sample is evicted. A store that can't be reached is neither read nor written
    until a delay has passed, which doubles with each failure. A full store is not
    written for a fixed time.

    :param max_sessions: maximum number of rows in each of the two tables.
    :param retry_delay: time without reads and writes after a first failure, in seconds.
    :param max_retry_delay: bound of the doubled delay, in seconds.
    :param full_delay: time without writes after a store was full, in seconds.
    :param trust_gain: weight of the newest outcome in the moving average that gives a
        store's trust, above 0, up to 1.
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
        """Check the arguments and remove all stores and prefixes."""
        for name in ("max_sessions", "retry_delay", "max_retry_delay", "full_delay"):
            if getattr(self, name) <= 0:
                raise SettingError(
                    f"{name} is {getattr(self, name)}, not above 0",
                    remedy=f"set {name} above 0",
                )
        if not 0 < self.trust_gain <= 1:
            raise SettingError(
                f"trust_gain is {self.trust_gain}, not above 0 and up to 1",
                remedy="set trust_gain above 0 and to 1 or less",
            )
        self.stores_ = {}
        self.names_ = {}  # store number to name
        self.next_number_ = 0
        # Rows of prefixes by tail key and rows of sessions by session key.
        self.tails_ = CompactTable(columns=1, max_rows=self.max_sessions)
        self.sessions_ = CompactTable(columns=3, max_rows=self.max_sessions)
        return self

    @property
    def memory_bytes(self):
        """Memory of the tables, in bytes."""
        return self.tails_.memory_bytes + self.sessions_.memory_bytes

    def _get_or_add_store(self, name):
        """Return a store's state, added if it is new; ``None`` above ``MAX_STORES``."""
        state = self.stores_.get(name)
        if state is None and len(self.stores_) < MAX_STORES:
            state = self.stores_[name] = _StoreState(self._allocate_store_number())
            self.names_[state.number] = name
        return state

    def _allocate_store_number(self):
        while self.next_number_ % (1 << STORE_BITS) in self.names_:
            self.next_number_ += 1
        number = self.next_number_ % (1 << STORE_BITS)
        self.next_number_ += 1
        return number

    def _build_row_key(self, short_key, state):
        """Return the table key of a truncated key in one store."""
        return short_key ^ ((state.number + 1) * HASH_MULTIPLIER & WORD_MASK)

    def _pack_word(self, pieces, state, tier, now):
        """Pack a row's word, with the time in whole seconds as the highest bits."""
        pieces = min(pieces, (1 << PIECES_BITS) - 1)
        word = max(0, int(now))
        word = (word << PIECES_BITS) | pieces
        word = (word << STORE_BITS) | state.number
        return (word << TIER_BITS) | int(tier)

    def _unpack_word(self, word):
        tier = Tier(word & ((1 << TIER_BITS) - 1))
        number = (word >> TIER_BITS) & ((1 << STORE_BITS) - 1)
        pieces = (word >> (TIER_BITS + STORE_BITS)) & ((1 << PIECES_BITS) - 1)
        return pieces, number, tier

    def observe(self, event, now):
        """Update the index with an event of a store.

        :param event: :class:`PrefixCommitted`, :class:`PrefixDropped`,
            :class:`StoreFailed`, :class:`StoreReplied` or :class:`StoreEmptied`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, StoreEmptied):
            self._remove_store(event.store)
            return
        state = self._get_or_add_store(event.store)
        if state is None:
            return
        if isinstance(event, PrefixCommitted):
            self._record_commit(event, state, now)
        elif isinstance(event, PrefixDropped):
            self.tails_.remove(self._build_row_key(truncate_key(event.tail), state))
            state.trust -= self.trust_gain * state.trust
        elif isinstance(event, StoreFailed):
            self._record_failure(event, state, now)
        elif isinstance(event, StoreReplied):
            state.failures = 0
            state.retry_at = float("-inf")
            state.trust += self.trust_gain * (1.0 - state.trust)

    def _remove_store(self, name):
        """Remove a store and its rows.

        Its number is released only after its rows are removed. Otherwise a new store
        with that number would take over the remaining rows.
        """
        state = self.stores_.pop(name, None)
        if state is None:
            return
        for table in (self.tails_, self.sessions_):
            rows = [
                key
                for key, words in table.rows()
                if self._unpack_word(words[0])[1] == state.number
            ]
            for key in rows:
                table.remove(key)
        del self.names_[state.number]

    def _record_commit(self, event, state, now):
        if event.replaces and event.replaces != event.tail:
            self.tails_.remove(self._build_row_key(truncate_key(event.replaces), state))
        word = self._pack_word(event.pieces, state, event.tier, now)
        self.tails_.put(self._build_row_key(truncate_key(event.tail), state), word)
        if event.session:
            tail = int(event.tail, 16)
            key = self._build_row_key(truncate_key(event.session), state)
            self.sessions_.put(key, word, tail >> TAIL_WORD_BITS, tail & TAIL_WORD_MASK)

    def _record_failure(self, event, state, now):
        if event.fault is StoreFault.FULL:
            state.full_until = now + self.full_delay
            return
        state.trust -= self.trust_gain * state.trust
        if event.fault is StoreFault.UNREACHABLE:
            # The exponent is bounded to keep the power small.
            delay = self.retry_delay * 2 ** min(state.failures, 16)
            state.retry_at = now + min(delay, self.max_retry_delay)
            state.failures += 1
            state.needs_listing = True

    def decide(self, query, now):
        """Return the stores that hold a prefix, or the stores to write one to.

        :param query: :class:`StoredPrefixQuery`, :class:`StoredSessionQuery` or
            :class:`StoreRankingQuery`.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`StoreHolding`; for :class:`StoreRankingQuery`, a
            tuple of store names, best first.
        """
        if isinstance(query, StoreRankingQuery):
            return self._rank_stores(query.session, now)
        holdings = []
        for name, state in self.stores_.items():
            if now < state.retry_at:
                continue
            holding = self._find_holding(query, name, state)
            if holding is not None:
                holdings.append(holding)
        return tuple(holdings)

    def _find_holding(self, query, name, state):
        if isinstance(query, StoredSessionQuery):
            words = self.sessions_.get(
                self._build_row_key(truncate_key(query.session), state)
            )
            if words is None:
                return None
            tail = f"{(words[1] << TAIL_WORD_BITS) | words[2]:032x}"
            row = self.tails_.get(self._build_row_key(truncate_key(tail), state))
            return self._build_holding(name, state, tail, row) if row else None
        for tail in reversed(query.keys):
            words = self.tails_.get(self._build_row_key(truncate_key(tail), state))
            if words is not None:
                return self._build_holding(name, state, tail, words)
        return None

    def _build_holding(self, name, state, tail, words):
        pieces, _, tier = self._unpack_word(words[0])
        return StoreHolding(
            store=name, tail=tail, pieces=pieces, tier=tier, trust=state.trust
        )

    def _rank_stores(self, session, now):
        """Return the writable stores, ranked by rendezvous hashing.

        The ranking of a session is stable, so that it keeps its store.
        """
        scored_stores = [
            (
                self._build_row_key(truncate_key(session), state) * HASH_MULTIPLIER
                & WORD_MASK,
                name,
            )
            for name, state in self.stores_.items()
            if now >= state.retry_at and now >= state.full_until
        ]
        return tuple(name for _, name in sorted(scored_stores))

    def tick(self, now):
        """Request the records of stores that were unreachable and may be tried again.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`RequestRecords`.
        """
        actions = []
        for name, state in self.stores_.items():
            if state.needs_listing and now >= state.retry_at:
                state.needs_listing = False
                actions.append(RequestRecords(store=name))
        return actions
