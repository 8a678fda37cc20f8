"""Messages of the index of stores."""

from dataclasses import dataclass
from enum import IntEnum


class Tier(IntEnum):
    """Where a store keeps an object."""

    MEMORY = 0
    DISK = 1


class StoreFault(IntEnum):
    """What a store was seen to do."""

    UNREACHABLE = 0
    BAD_CONTENT = 1
    FULL = 2


@dataclass(frozen=True, kw_only=True)
class PrefixCommitted:
    """A commit record was written or was seen in a listing.

    :param store: name of the store.
    :param tail: key of the record's last piece.
    :param pieces: pieces in the record.
    :param session: session key from :func:`session_key`, or ``""``.
    :param replaces: tail of the session's previous record here, or ``""``.
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
    """A committed prefix was freed, or proved unusable on reading.

    :param store: name of the store.
    :param tail: key of the record's last piece.
    """

    store: str
    tail: str


@dataclass(frozen=True, kw_only=True)
class StoreFailed:
    """A read or write of a store failed.

    :param store: name of the store.
    :param fault: a :class:`StoreFault`.
    """

    store: str
    fault: StoreFault


@dataclass(frozen=True, kw_only=True)
class StoreReplied:
    """A read or write of a store succeeded.

    :param store: name of the store.
    """

    store: str


@dataclass(frozen=True, kw_only=True)
class StoreEmptied:
    """A store came back empty, or is gone for good.

    :param store: name of the store.
    """

    store: str


@dataclass(frozen=True, kw_only=True)
class StoredPrefixQuery:
    """Asks which stores hold how much of a prompt.

    :param keys: the prompt's piece keys, in order.
    """

    keys: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class StoredSessionQuery:
    """Asks which stores hold a named session.

    :param session: session key from :func:`session_key`.
    """

    session: str


@dataclass(frozen=True, kw_only=True)
class StoreRankingQuery:
    """Asks where a session's pieces should be written.

    :param session: session key, or the first piece's key.
    """

    session: str


@dataclass(frozen=True, kw_only=True)
class StoreHolding:
    """What one store is believed to hold.

    :param store: name of the store.
    :param tail: key of the record to read.
    :param pieces: pieces from the start of the prompt.
    :param tier: a :class:`Tier`.
    :param trust: belief in it, 0 to 1.
    """

    store: str
    tail: str
    pieces: int
    tier: Tier
    trust: float


@dataclass(frozen=True, kw_only=True)
class RequestRecords:
    """Action: ask a store for a listing of its commit records.

    :param store: name of the store.
    """

    store: str
