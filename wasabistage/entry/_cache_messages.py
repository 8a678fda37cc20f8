"""Messages of the task that knows where cache pieces are."""

from dataclasses import dataclass

from wasabistage.base import Rank
from wasabistage.cache import TransferKind, cache_salt


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """What the cache needs to know of a prompt.

    :param account: name of the client account.
    :param model: the :class:`wasabistage.declarations.Model`.
    :param session: name of the session; empty for none.
    :param keys: piece keys.
    :param tokens: prompt length, in tokens.
    :param rank: rank of the call.
    """

    account: str
    model: object
    session: str
    keys: tuple
    tokens: int
    rank: Rank

    @property
    def piece_bytes(self):
        """Bytes of KV cache in one piece."""
        return self.model.piece_tokens * self.model.token_bytes

    @property
    def salt(self):
        """Cache salt of the account, model and version."""
        return cache_salt(self.account, self.model.name, self.model.version)


@dataclass(frozen=True, kw_only=True)
class FindPieces:
    """Asks where a prompt's pieces are; answered by :class:`FoundPieces`.

    :param prompt: the :class:`Prompt`.
    """

    prompt: Prompt


@dataclass(frozen=True, kw_only=True)
class FoundPieces:
    """Where a prompt's pieces are.

    :param held: tuple of :class:`wasabistage.cache.ServerHolding`.
    :param stored: tuple of :class:`wasabistage.cache.StoreHolding`.
    :param queues: tuple of :class:`wasabistage.routing.LinkQueueMeasured`.
    """

    held: tuple
    stored: tuple
    queues: tuple


@dataclass(frozen=True, kw_only=True)
class FetchPieces:
    """Asks to import pieces; answered by :class:`Fetched`.

    :param prompt: the :class:`Prompt`.
    :param store: name of the store.
    :param tail: tail key of the commit record.
    :param server: name of the backend server.
    :param first: first piece to import.
    :param pieces: end of the pieces to import.
    :param kind: why they move.
    """

    prompt: Prompt
    store: str
    tail: str
    server: str
    first: int
    pieces: int
    kind: TransferKind = TransferKind.FETCH


@dataclass(frozen=True, kw_only=True)
class Fetched:
    """How a fetch ended.

    :param pieces: pieces attached.
    :param size: bytes moved.
    :param seconds: time on the wire.
    """

    pieces: int = 0
    size: int = 0
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class TurnEnded:
    """Tells that a prompt was answered.

    :param prompt: the :class:`Prompt`.
    :param server: name of the backend server.
    :param expected: pieces that routing expected to be reused.
    :param cached_tokens: prompt tokens that the engine reused.
    """

    prompt: Prompt
    server: str
    expected: int
    cached_tokens: int


@dataclass(frozen=True, kw_only=True)
class SessionAnnounced:
    """Tells that a caller asked for an entry and named a session.

    :param account: name of the client account.
    :param session: name of the session.
    """

    account: str
    session: str


@dataclass(frozen=True, kw_only=True)
class AskProgress:
    """Asks how far a transfer is; answered by :class:`Progress`.

    :param transfer: identifier of the transfer.
    """

    transfer: str


@dataclass(frozen=True, kw_only=True)
class Progress:
    """How far a transfer is.

    :param ahead: bytes that go over the link before its next one.
    :param left: bytes left, 0 once it ended.
    :param pieces: pieces left.
    """

    ahead: int = 0
    left: int = 0
    pieces: int = 0
