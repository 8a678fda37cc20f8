"""Where each session was served last; compact, bounded, and only a hint."""

import hashlib
from array import array
from dataclasses import dataclass

from wasabistage.exceptions import SettingError
from wasabistage.utils import Sentinel

NO_SESSION = Sentinel("NO_SESSION", "the session was not seen here lately")
WAYS = 16
MAX_SERVERS = 65535
LOAD_FACTOR = 0.6  # filled share at the stated capacity


@dataclass(frozen=True, kw_only=True)
class SessionHint:
    """Decision: where a session was served last.

    :param server: name of the backend server.
    :param pieces: number of KV cache pieces of its history.
    :param last_seen: when it was last served, in whole seconds.
    """

    server: str
    pieces: int
    last_seen: int


class SessionTable:
    """Set-associative table of sessions in flat arrays.

    A session is found by a 64-bit hash of (client account, session). Two sessions
    with equal hashes get each other's hint, which costs time but shows no data: the
    piece keys contain the account. In a full set the session seen longest ago gives
    way, and ``evicted_`` counts it.

    :param capacity: sessions to be remembered.
    """

    def __init__(self, capacity=100_000):
        self.capacity = capacity

    def reset(self):
        """Check the arguments and forget every session.

        :return: the table itself.
        :raises SettingError: if an argument is out of range.
        """
        if self.capacity < 1:
            raise SettingError(
                "capacity must be positive", remedy="use capacity=100000"
            )
        self.sets_ = max(1, int(self.capacity / LOAD_FACTOR / WAYS))
        slots = self.sets_ * WAYS
        self.keys_ = array("Q", bytes(8 * slots))
        self.seen_ = array("I", bytes(4 * slots))
        self.pieces_ = array("I", bytes(4 * slots))
        self.server_ = array("H", bytes(2 * slots))
        self.names_ = [""]
        self.numbers_ = {}
        self.size_ = 0
        self.evicted_ = 0
        return self

    def record(self, account, session, server, pieces, now):
        """Note that a session was served.

        :param account: name of the client account.
        :param session: the caller's name of the session.
        :param server: name of the backend server.
        :param pieces: number of KV cache pieces of its history.
        :param now: time in seconds; kept as whole seconds.
        """
        key = self._key(account, session)
        slot = self._find(key)
        if slot < 0:
            slot = self._free_slot(key)
        self.keys_[slot] = key
        self.seen_[slot] = int(now)
        self.pieces_[slot] = pieces
        self.server_[slot] = self._number(server)

    def lookup(self, account, session):
        """Find where a session was served last.

        :param account: name of the client account.
        :param session: the caller's name of the session.
        :return: a :class:`SessionHint`, or :data:`NO_SESSION`.
        """
        slot = self._find(self._key(account, session))
        if slot < 0:
            return NO_SESSION
        return SessionHint(
            server=self.names_[self.server_[slot]],
            pieces=self.pieces_[slot],
            last_seen=self.seen_[slot],
        )

    def forget(self, account, session):
        """Drop a session.

        :param account: name of the client account.
        :param session: the caller's name of the session.
        """
        slot = self._find(self._key(account, session))
        if slot >= 0:
            self.keys_[slot] = 0
            self.size_ -= 1

    def memory(self):
        """Return the memory of the arrays.

        :return: bytes.
        """
        columns = (self.keys_, self.seen_, self.pieces_, self.server_)
        return sum(column.itemsize * len(column) for column in columns)

    def _key(self, account, session):
        label = account.encode()
        text = len(label).to_bytes(4, "big") + label + session.encode()
        digest = hashlib.blake2b(text, digest_size=8).digest()
        # 0 marks an empty slot.
        return int.from_bytes(digest, "big") or 1

    def _find(self, key):
        first = key % self.sets_ * WAYS
        try:
            return self.keys_.index(key, first, first + WAYS)
        except ValueError:
            return -1

    def _free_slot(self, key):
        first = key % self.sets_ * WAYS
        try:
            slot = self.keys_.index(0, first, first + WAYS)
            self.size_ += 1
            return slot
        except ValueError:
            self.evicted_ += 1
            return min(range(first, first + WAYS), key=self.seen_.__getitem__)

    def _number(self, server):
        number = self.numbers_.get(server)
        if number is None:
            if len(self.names_) >= MAX_SERVERS:
                # Names of servers long gone fill the list; hints to them are dead.
                self.reset()
            number = len(self.names_)
            self.names_.append(server)
            self.numbers_[server] = number
        return number
