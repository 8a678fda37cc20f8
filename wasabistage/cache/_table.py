"""A compact bounded table of 64-bit keys, for very many remembered items."""

from array import array

WORD_BYTES = 8
LOAD_LIMIT = 0.75
GROWTH = 1.5
FIRST_SLOTS = 64
EVICTION_SAMPLE = 16
SHARD_ROWS = 4096
SHARD_SHIFT = 32
WORD_MASK = (1 << 64) - 1
SPREAD = 0x9E3779B97F4A7C15


class _Shard:
    """Open-addressed table of unsigned 64-bit words.

    A row takes ``8 * (1 + columns)`` bytes, plus the share of empty slots.
    """

    def __init__(self, columns, max_rows):
        self.columns = columns
        self.max_rows = max_rows
        self.evicted = 0
        self.hand = 0
        self._build(FIRST_SLOTS)

    def _build(self, slots):
        self.slots = slots
        self.keys = array("Q", bytes(WORD_BYTES * slots))
        self.values = [
            array("Q", bytes(WORD_BYTES * slots)) for _ in range(self.columns)
        ]
        self.count = 0

    def __len__(self):
        return self.count

    @property
    def size(self):
        """Memory of the table, in bytes."""
        return WORD_BYTES * self.slots * (1 + self.columns)

    def _home(self, key):
        return ((key * SPREAD) & WORD_MASK) % self.slots

    def _find(self, key):
        """Return the key's slot, or the empty slot where it would go."""
        keys = self.keys
        slot = self._home(key)
        while keys[slot] and keys[slot] != key:
            slot = slot + 1 if slot + 1 < self.slots else 0
        return slot

    def get(self, key):
        """Return a row's value words.

        :param key: 64-bit integer.
        :return: a tuple of integers, or ``None``.
        """
        slot = self._find(key or 1)
        if not self.keys[slot]:
            return None
        return tuple(column[slot] for column in self.values)

    def put(self, key, *words):
        """Set a row, dropping an old one at the bound.

        :param key: 64-bit integer; 0 is taken as 1.
        :param words: one integer per column.
        """
        key = key or 1
        slot = self._find(key)
        if not self.keys[slot]:
            slot = self._room(key, slot)
        self.keys[slot] = key
        for column, word in zip(self.values, words, strict=True):
            column[slot] = word

    def _room(self, key, slot):
        if self.count >= self.max_rows:
            self._evict()
            slot = self._find(key)
        elif self.count + 1 > LOAD_LIMIT * self.slots:
            self._grow()
            slot = self._find(key)
        self.count += 1
        return slot

    def _grow(self):
        rows = list(self.rows())
        limit = int(self.max_rows / LOAD_LIMIT) + 2
        self._build(min(int(self.slots * GROWTH) + 1, limit))
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
        oldest, seen = None, 0
        while seen < EVICTION_SAMPLE and seen < self.count:
            self.hand = (self.hand + 1) % self.slots
            if not self.keys[self.hand]:
                continue
            seen += 1
            stamp = self.values[0][self.hand]
            if oldest is None or stamp < oldest[0]:
                oldest = (stamp, self.keys[self.hand])
        self.remove(oldest[1])
        self.evicted += 1

    def remove(self, key):
        """Remove a row if there is one.

        :param key: 64-bit integer.
        :return: whether there was one.
        """
        hole = self._find(key or 1)
        if not self.keys[hole]:
            return False
        self.count -= 1
        self._close(hole)
        return True

    def _close(self, hole):
        """Shift later rows back, so that probing never meets a false end."""
        slot = hole
        while True:
            slot = (slot + 1) % self.slots
            if not self.keys[slot]:
                break
            home = self._home(self.keys[slot])
            if (slot - home) % self.slots < (slot - hole) % self.slots:
                continue
            self.keys[hole] = self.keys[slot]
            for column in self.values:
                column[hole] = column[slot]
            hole = slot
        self.keys[hole] = 0


class CompactTable:
    """Table of rows of unsigned 64-bit words, in small separately growing shards.

    Shards grow one at a time, so that the owning task stalls only briefly. At
    the bound of a shard, the row with the smallest first word among a sample is
    dropped, so the first word should grow with time (an approximate LRU). Shards
    fill unevenly: a few rows are dropped shortly before ``max_rows`` is reached.

    :param columns: value words per row, 1 or more.
    :param max_rows: rows kept at most.
    """

    def __init__(self, *, columns=1, max_rows=1_000_000):
        self.columns = columns
        self.max_rows = max_rows
        shards = max(1, max_rows // SHARD_ROWS)
        self.shards = [_Shard(columns, max_rows // shards) for _ in range(shards)]

    def __len__(self):
        return sum(shard.count for shard in self.shards)

    @property
    def size(self):
        """Memory of the rows and empty slots, in bytes."""
        return sum(shard.size for shard in self.shards)

    @property
    def evicted(self):
        """Rows dropped at the bound so far."""
        return sum(shard.evicted for shard in self.shards)

    def _shard(self, key):
        spread = (key * SPREAD) & WORD_MASK
        return self.shards[(spread >> SHARD_SHIFT) % len(self.shards)]

    def get(self, key):
        """Return a row's value words.

        :param key: 64-bit integer; 0 is taken as 1.
        :return: a tuple of integers, or ``None``.
        """
        return self._shard(key or 1).get(key)

    def put(self, key, *words):
        """Set a row, dropping an old one at the bound.

        :param key: 64-bit integer; 0 is taken as 1.
        :param words: one integer per column.
        """
        self._shard(key or 1).put(key, *words)

    def remove(self, key):
        """Remove a row if there is one.

        :param key: 64-bit integer; 0 is taken as 1.
        :return: whether there was one.
        """
        return self._shard(key or 1).remove(key)

    def rows(self):
        """Iterate over the rows.

        :return: an iterator of key and tuple of words.
        """
        for shard in self.shards:
            yield from shard.rows()
