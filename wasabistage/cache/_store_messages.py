"""Messages of :class:`StoreIndex`."""

from dataclasses import dataclass
from enum import IntEnum


class Tier(IntEnum):
    """The medium on which a store keeps an object."""

    MEMORY = 0
    DISK = 1


class StoreFault(IntEnum):
    """The way in which a read or write of a store failed."""

    UNREACHABLE = 0
    BAD_CONTENT = 1
    FULL = 2


@dataclass(frozen=True, kw_only=True)
class PrefixCommitted:
    """Event: a commit record was written, or was found in a listing of a store.

    :param store: name of the store.
    :param tail: key of the record's last piece.
    :param pieces: number of pieces in the record.
    :param session: session key from :func:`session_key`, or ``""``.
    :param replaces: tail key of the session's previous record in this store, which the
        new one replaces, or ``""``.
    :param tier: tier that holds the pieces.
    """

    store: str
    tail: str
    pieces: int
    session: str = ""
    replaces: str = ""
    tier: Tier = Tier.MEMORY


@dataclass(frozen=True, kw_only=True)
class PrefixDropped:
    """Event: a committed prefix was freed, or could not be used when it was read.

    :param store: name of the store.
    :param tail: key of the record's last piece.
    """

    store: str
    tail: str


@dataclass(frozen=True, kw_only=True)
class StoreFailed:
    """Event: a read or write of a store failed.

    :param store: name of the store.
    :param fault: a :class:`StoreFault`.
    """

    store: str
    fault: StoreFault


@dataclass(frozen=True, kw_only=True)
class StoreReplied:
    """Event: a read or write of a store succeeded.

    :param store: name of the store.
    """

    store: str


@dataclass(frozen=True, kw_only=True)
class StoreEmptied:
    """Event: a store restarted without its content, or was removed.

    :param store: name of the store.
    """

    store: str


@dataclass(frozen=True, kw_only=True)
class StoredPrefixQuery:
    """Query: which stores hold how many leading pieces of a prompt.

    :param keys: the prompt's piece keys, in order.
    """

    keys: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class StoredSessionQuery:
    """Query: which stores hold pieces of a named session.

    :param session: session key from :func:`session_key`.
    """

    session: str


@dataclass(frozen=True, kw_only=True)
class StoreRankingQuery:
    """Query: to which stores a session's pieces should be written.

    :param session: key by which the stores are ranked: the session key, or the key of
        the prompt's first piece.
    """

    session: str


@dataclass(frozen=True, kw_only=True)
class StoreHolding:
    """The pieces of a prompt that one store probably holds.

    :param store: name of the store.
    :param tail: key of the record's last piece, under which the record is read.
    :param pieces: number of pieces held, from the start of the prompt.
    :param tier: tier that holds the pieces, a :class:`Tier`.
    :param trust: confidence that the store holds them, 0 to 1.
    """

    store: str
    tail: str
    pieces: int
    tier: Tier
    trust: float


@dataclass(frozen=True, kw_only=True)
class RequestRecords:
    """Action: request a listing of a store's commit records.

    :param store: name of the store.
    """

    store: str
