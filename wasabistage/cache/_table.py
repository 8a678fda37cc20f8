"""Compact hash table with 64-bit keys and a bounded number of rows."""

from array import array

WORD_BYTES = 8
MAX_LOAD_FACTOR = 0.75  # rows per slot above which a shard grows
GROWTH_FACTOR = 1.5
INITIAL_SLOTS = 64
EVICTION_SAMPLE_ROWS = 16
ROWS_PER_SHARD = 4096
SHARD_HASH_SHIFT_BITS = 32  # the upper half of the hash selects the shard
WORD_MASK = (1 << 64) - 1
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 / golden ratio, for Fibonacci hashing


class _Shard:
    """Hash table of unsigned 64-bit words, with open addressing and linear probing.

    Key 0 marks an empty slot, so a row with key 0 is stored under key 1. A slot, used
    or empty, takes ``8 * (1 + columns)`` bytes.

    :param columns: value words per row, 1 or more.
    :param max_rows: maximum number of rows.
    """

    def __init__(self, columns, max_rows):
        self.columns = columns
        self.max_rows = max_rows
        self.evicted_rows = 0
        self.scan_slot = 0
        self._allocate(INITIAL_SLOTS)

    def _allocate(self, slot_count):
        self.slot_count = slot_count
        self.keys = array("Q", bytes(WORD_BYTES * slot_count))
        self.values = [
            array("Q", bytes(WORD_BYTES * slot_count)) for _ in range(self.columns)
        ]
        self.row_count = 0

    def __len__(self):
        return self.row_count

    @property
    def memory_bytes(self):
        """Memory of all slots, in bytes."""
        return WORD_BYTES * self.slot_count * (1 + self.columns)

    def _home_slot(self, key):
        return ((key * HASH_MULTIPLIER) & WORD_MASK) % self.slot_count

    def _find_slot(self, key):
        """Return the slot that holds the key, or else the empty slot for it."""
        keys = self.keys
        slot = self._home_slot(key)
        while keys[slot] and keys[slot] != key:
            slot = slot + 1 if slot + 1 < self.slot_count else 0
        return slot

    def get(self, key):
        """Return a row's value words.

        :param key: 64-bit integer; 0 is taken as 1.
        :return: a tuple of integers, or ``None`` if there is no such row.
        """
        slot = self._find_slot(key or 1)
        if not self.keys[slot]:
            return None
        return tuple(column[slot] for column in self.values)

    def put(self, key, *words):
        """Set a row; evict an old row if there is no room.

        :param key: 64-bit integer; 0 is taken as 1.
        :param words: one integer per column.
        """
        key = key or 1
        slot = self._find_slot(key)
        if not self.keys[slot]:
            slot = self._make_room(key, slot)
        self.keys[slot] = key
        for column, word in zip(self.values, words, strict=True):
            column[slot] = word

    def _make_room(self, key, slot):
        """Evict a row or grow if needed, and return the slot for the new row."""
        if self.row_count >= self.max_rows:
            self._evict()
            slot = self._find_slot(key)
        elif self.row_count + 1 > MAX_LOAD_FACTOR * self.slot_count:
            self._grow()
            slot = self._find_slot(key)
        self.row_count += 1
        return slot

    def _grow(self):
        rows = list(self.rows())
        max_slots = int(self.max_rows / MAX_LOAD_FACTOR) + 2
        self._allocate(min(int(self.slot_count * GROWTH_FACTOR) + 1, max_slots))
        for key, words in rows:
            self.put(key, *words)

    def rows(self):
        """Iterate over the rows.

        :return: an iterator of key and tuple of words.
        """
        for slot, key in enumerate(self.keys):
            if key:
                yield key, tuple(column[slot] for column in self.values)

    def _evict(self):
        """Evict the row with the smallest first word among a sample."""
        oldest, sampled = None, 0
        while sampled < EVICTION_SAMPLE_ROWS and sampled < self.row_count:
            self.scan_slot = (self.scan_slot + 1) % self.slot_count
            if not self.keys[self.scan_slot]:
                continue
            sampled += 1
            first_word = self.values[0][self.scan_slot]
            if oldest is None or first_word < oldest[0]:
                oldest = (first_word, self.keys[self.scan_slot])
        self.remove(oldest[1])
        self.evicted_rows += 1

    def remove(self, key):
        """Remove a row if there is one.

        :param key: 64-bit integer; 0 is taken as 1.
        :return: whether a row was removed.
        """
        slot = self._find_slot(key or 1)
        if not self.keys[slot]:
            return False
        self.row_count -= 1
        self._clear_slot(slot)
        return True

    def _clear_slot(self, empty_slot):
        """Empty a slot and shift later rows back, so that probing finds every row."""
        slot = empty_slot
        while True:
            slot = (slot + 1) % self.slot_count
            if not self.keys[slot]:
                break
            home = self._home_slot(self.keys[slot])
            if (slot - home) % self.slot_count < (slot - empty_slot) % self.slot_count:
                continue
            self.keys[empty_slot] = self.keys[slot]
            for column in self.values:
                column[empty_slot] = column[slot]
            empty_slot = slot
        self.keys[empty_slot] = 0


class CompactTable:
    """Hash table of rows of unsigned 64-bit words, split into shards.

    Shards grow one at a time, so that the owning task is blocked only briefly. When a
    shard is full, the row with the smallest first word among a sample is evicted. With
    a time as first word, this approximates LRU eviction. Shards fill unevenly, so a few
    rows are evicted shortly before the table holds ``max_rows``.

    :param columns: value words per row, 1 or more.
    :param max_rows: maximum number of rows.
    """

    def __init__(self, *, columns=1, max_rows=1_000_000):
        self.columns = columns
        self.max_rows = max_rows
        shard_count = max(1, max_rows // ROWS_PER_SHARD)
        self.shards = [
            _Shard(columns, max_rows // shard_count) for _ in range(shard_count)
        ]

    def __len__(self):
        return sum(shard.row_count for shard in self.shards)

    @property
    def memory_bytes(self):
        """Memory of all slots, used and empty, in bytes."""
        return sum(shard.memory_bytes for shard in self.shards)

    @property
    def evicted_rows(self):
        """Number of rows evicted so far."""
        return sum(shard.evicted_rows for shard in self.shards)

    def _get_shard(self, key):
        hash_value = (key * HASH_MULTIPLIER) & WORD_MASK
        return self.shards[(hash_value >> SHARD_HASH_SHIFT_BITS) % len(self.shards)]

    def get(self, key):
        """Return a row's value words.

        :param key: 64-bit integer; 0 is taken as 1.
        :return: a tuple of integers, or ``None`` if there is no such row.
        """
        return self._get_shard(key or 1).get(key)

    def put(self, key, *words):
        """Set a row; evict an old row if there is no room.

        :param key: 64-bit integer; 0 is taken as 1.
        :param words: one integer per column.
        """
        self._get_shard(key or 1).put(key, *words)

    def remove(self, key):
        """Remove a row if there is one.

        :param key: 64-bit integer; 0 is taken as 1.
        :return: whether a row was removed.
        """
        return self._get_shard(key or 1).remove(key)

    def rows(self):
        """Iterate over the rows.

        :return: an iterator of key and tuple of words.
        """
        for shard in self.shards:
            yield from shard.rows()
