"""Messages of the link schedulers."""

from dataclasses import dataclass
from enum import IntEnum

from wasabistage.base import Rank


class TransferKind(IntEnum):
    """The purpose of a transfer; a lower value has priority."""

    FETCH = 0
    STAGE = 1
    EXPORT = 2


@dataclass(frozen=True, kw_only=True)
class TransferQuery:
    """Query: whether a transfer may be queued; it is queued if so.

    :param transfer: id of the transfer.
    :param link: name of the store whose link it uses.
    :param kind: a :class:`TransferKind`.
    :param size: bytes to transfer, above 0.
    :param rank: rank of the request that waits for the transfer.
    :param account: name of the client account; accounts share the link fairly.
    :param piece_bytes: size of a piece that is carried as a whole, in bytes.
    """

    transfer: str
    link: str
    kind: TransferKind
    size: int
    rank: Rank = Rank.INTERACTIVE
    account: str = ""
    piece_bytes: int = 1


@dataclass(frozen=True, kw_only=True)
class TransferQueued:
    """Answer: the transfer was queued.

    :param bytes_ahead: unsent bytes of the transfers that have priority over it now.
    """

    bytes_ahead: int


@dataclass(frozen=True, kw_only=True)
class NextChunkQuery:
    """Query: which chunk the link should carry next.

    :param link: name of the store whose link it is.
    """

    link: str


@dataclass(frozen=True, kw_only=True)
class Chunk:
    """Action: carry a range of a transfer's bytes over the link.

    :param transfer: id of the transfer.
    :param kind: :class:`TransferKind` of the transfer.
    :param offset: offset of the first byte in the transfer.
    :param size: length of the range, in bytes.
    :param last: whether the chunk ends the transfer.
    """

    transfer: str
    kind: TransferKind
    offset: int
    size: int
    last: bool


@dataclass(frozen=True, kw_only=True)
class ChunkMoved:
    """Event: a chunk was carried over the link, or failed.

    :param transfer: id of the transfer.
    :param size: bytes carried; 0 for a failure, which ends the transfer.
    :param seconds: time that the chunk took on the link.
    """

    transfer: str
    size: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class TransferCancelled:
    """Event: a transfer was cancelled because no request needs it any more.

    :param transfer: id of the transfer.
    """

    transfer: str


@dataclass(frozen=True, kw_only=True)
class TransferPromoted:
    """Event: a request started to wait for a staging transfer.

    The transfer becomes a fetch with the rank of the request.

    :param transfer: id of the transfer.
    :param rank: rank of that request.
    """

    transfer: str
    rank: Rank
