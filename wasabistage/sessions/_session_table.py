"""Compact, bounded table of the backend server that served each session last.

Its answers are hints: they may be out of date.
"""

import hashlib
from array import array
from dataclasses import dataclass

from wasabistage.exceptions import SettingError
from wasabistage.utils import Sentinel

NO_SESSION = Sentinel("NO_SESSION", "the session is not in the table")
SLOTS_PER_SET = 16
MAX_SERVERS = 65535  # the array of server numbers holds 16-bit integers
LOAD_FACTOR = 0.6  # fraction of the slots in use at ``capacity``


@dataclass(frozen=True, kw_only=True)
class SessionHint:
    """Decision: the backend server that served a session last.

    :param server: name of the backend server.
    :param pieces: number of KV cache pieces of its history.
    :param last_served_at: time at which it was served last, in whole seconds.
    """

    server: str
    pieces: int
    last_served_at: int


class SessionTable:
    """Set-associative table of sessions in flat arrays.

    The key of a session is a 64-bit hash of (client account, session). Two sessions
    with equal hashes get each other's hint. This costs time but discloses no data,
    because the keys of the pieces contain the account. In a full set, the least
    recently served session is evicted and counted in ``evicted_``.

    :param capacity: number of sessions that the table is sized for.
    """

    def __init__(self, capacity=100_000):
        self.capacity = capacity

    def reset(self):
        """Check the arguments and remove every session.

        :return: the table itself.
        :raises SettingError: if an argument is out of range.
        """
        if self.capacity < 1:
            raise SettingError(
                f"the session table has capacity {self.capacity}; the minimum is 1",
                remedy="set capacity to 1 or more, such as 100000",
            )
        self.sets_ = max(1, int(self.capacity / LOAD_FACTOR / SLOTS_PER_SET))
        slots = self.sets_ * SLOTS_PER_SET
        self.keys_ = array("Q", bytes(8 * slots))
        self.last_seen_ = array("I", bytes(4 * slots))
        self.piece_counts_ = array("I", bytes(4 * slots))
        self.server_numbers_ = array("H", bytes(2 * slots))
        self.server_names_ = [""]
        self.numbers_by_server_ = {}
        self.size_ = 0
        self.evicted_ = 0
        return self

    def record(self, account, session, server, pieces, now):
        """Record that a backend server served a session.

        :param account: name of the client account.
        :param session: the caller's name of the session.
        :param server: name of the backend server.
        :param pieces: number of KV cache pieces of its history.
        :param now: time in seconds; kept as whole seconds.
        """
        key = self._compute_key(account, session)
        slot = self._find_slot(key)
        if slot < 0:
            slot = self._allocate_slot(key)
        self.keys_[slot] = key
        self.last_seen_[slot] = int(now)
        self.piece_counts_[slot] = pieces
        self.server_numbers_[slot] = self._get_server_number(server)

    def lookup(self, account, session):
        """Return the backend server that served a session last.

        :param account: name of the client account.
        :param session: the caller's name of the session.
        :return: a :class:`SessionHint`, or :data:`NO_SESSION`.
        """
        slot = self._find_slot(self._compute_key(account, session))
        if slot < 0:
            return NO_SESSION
        return SessionHint(
            server=self.server_names_[self.server_numbers_[slot]],
            pieces=self.piece_counts_[slot],
            last_served_at=self.last_seen_[slot],
        )

    def remove(self, account, session):
        """Remove a session.

        :param account: name of the client account.
        :param session: the caller's name of the session.
        """
        slot = self._find_slot(self._compute_key(account, session))
        if slot >= 0:
            self.keys_[slot] = 0
            self.size_ -= 1

    def memory(self):
        """Return the size of the arrays.

        :return: bytes.
        """
        columns = (
            self.keys_,
            self.last_seen_,
            self.piece_counts_,
            self.server_numbers_,
        )
        return sum(column.itemsize * len(column) for column in columns)

    def _compute_key(self, account, session):
        account_bytes = account.encode()
        data = len(account_bytes).to_bytes(4, "big") + account_bytes + session.encode()
        digest = hashlib.blake2b(data, digest_size=8).digest()
        # The key 0 marks an empty slot.
        return int.from_bytes(digest, "big") or 1

    def _find_slot(self, key):
        first = key % self.sets_ * SLOTS_PER_SET
        try:
            return self.keys_.index(key, first, first + SLOTS_PER_SET)
        except ValueError:
            return -1

    def _allocate_slot(self, key):
        first = key % self.sets_ * SLOTS_PER_SET
        try:
            slot = self.keys_.index(0, first, first + SLOTS_PER_SET)
            self.size_ += 1
            return slot
        except ValueError:
            self.evicted_ += 1
            return min(
                range(first, first + SLOTS_PER_SET), key=self.last_seen_.__getitem__
            )

    def _get_server_number(self, server):
        number = self.numbers_by_server_.get(server)
        if number is None:
            if len(self.server_names_) >= MAX_SERVERS:
                # Most of the names belong to servers that no longer exist. Starting
                # over loses hints only.
                self.reset()
            number = len(self.server_names_)
            self.server_names_.append(server)
            self.numbers_by_server_[server] = number
        return number
