"""Messages of the link schedulers."""

from dataclasses import dataclass
from enum import IntEnum

from wasabistage.base import Rank


class TransferKind(IntEnum):
    """Why bytes move; a lower value goes first."""

    FETCH = 0
    STAGE = 1
    EXPORT = 2


@dataclass(frozen=True, kw_only=True)
class TransferQuery:
    """Asks to queue a transfer.

    :param transfer: id of the transfer.
    :param link: name of the store whose link it uses.
    :param kind: a :class:`TransferKind`.
    :param size: bytes to move, above 0.
    :param rank: rank of the request that waits for it.
    :param account: client account, for fair sharing.
    """

    transfer: str
    link: str
    kind: TransferKind
    size: int
    rank: Rank = Rank.INTERACTIVE
    account: str = ""


@dataclass(frozen=True, kw_only=True)
class TransferQueued:
    """The transfer is queued.

    :param ahead: bytes that go before it, as far as known now.
    """

    ahead: int


@dataclass(frozen=True, kw_only=True)
class NextChunkQuery:
    """Asks what the link should move next.

    :param link: name of the link.
    """

    link: str


@dataclass(frozen=True, kw_only=True)
class Chunk:
    """Bytes to move now.

    :param transfer: id of the transfer.
    :param kind: its :class:`TransferKind`.
    :param offset: first byte.
    :param size: bytes to move.
    :param last: whether the transfer is complete after it.
    """

    transfer: str
    kind: TransferKind
    offset: int
    size: int
    last: bool


@dataclass(frozen=True, kw_only=True)
class ChunkMoved:
    """A chunk was moved, or failed.

    :param transfer: id of the transfer.
    :param size: bytes moved; 0 for a failure, which ends the transfer.
    :param seconds: time on the wire.
    """

    transfer: str
    size: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class TransferCancelled:
    """Nobody needs the transfer any more.

    :param transfer: id of the transfer.
    """

    transfer: str


@dataclass(frozen=True, kw_only=True)
class TransferPromoted:
    """A request now waits for a transfer that was staged ahead.

    :param transfer: id of the transfer.
    :param rank: rank of that request.
    """

    transfer: str
    rank: Rank
