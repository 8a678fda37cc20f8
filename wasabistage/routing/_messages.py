"""Messages of the routing decision."""

from dataclasses import dataclass
from enum import StrEnum

from wasabistage.base import Rank
from wasabistage.cache import ServerHolding, StoreHolding


class Plan(StrEnum):
    """How a prompt's history gets to the backend server."""

    HOLD = "hold"
    FETCH = "fetch"
    RECOMPUTE = "recompute"


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A backend server that may be chosen.

    :param server: name of the backend server.
    :param version: weight version that the server itself reported.
    :param usable: whether health and membership allow new work.
    :param weight: share of its normal work, 0 to 1, below 1 in slow start.
    :param failure_domain: failure domain it stands in.
    """

    server: str
    version: str
    usable: bool = True
    weight: float = 1.0
    failure_domain: str = ""


@dataclass(frozen=True, kw_only=True)
class RouteQuery:
    """Asks for the backend server of one prompt.

    :param account: name of the client account.
    :param model: name of the model.
    :param version: weight version declared in the configuration in force.
    :param session: session key, or ``""``.
    :param piece_keys: the prompt's piece keys, made with account and version.
    :param prompt_tokens: prompt length, in tokens.
    :param piece_tokens: tokens in one piece.
    :param piece_bytes: bytes of KV cache in one piece.
    :param rank: rank of the call.
    :param candidates: tuple of :class:`Candidate`.
    :param held: tuple of :class:`ServerHolding` from the prefix index.
    :param stored: tuple of :class:`StoreHolding` from the store index.
    :param draw: seeded number from 0 up to 1, for spreading.
    """

    account: str
    model: str
    version: str
    piece_keys: tuple[str, ...] = ()
    prompt_tokens: int
    piece_tokens: int = 2048
    piece_bytes: int = 1
    rank: Rank = Rank.INTERACTIVE
    candidates: tuple[Candidate, ...] = ()
    held: tuple[ServerHolding, ...] = ()
    stored: tuple[StoreHolding, ...] = ()
    session: str = ""
    draw: float = 0.0


@dataclass(frozen=True, kw_only=True)
class RouteDecision:
    """The chosen backend server and plan.

    :param server: name of the backend server.
    :param plan: a :class:`Plan`.
    :param store: store to fetch from, or ``""``.
    :param tail: tail key of the commit record to read, or ``""``.
    :param pieces: pieces reused in all, held ones and fetched ones.
    :param fetched: pieces fetched, the last of ``pieces``.
    :param tokens: prompt tokens expected to be computed.
    :param predicted_first_token: seconds.
    :param check_fetch_after: seconds after which an unfinished fetch is to be asked
        about with :class:`FetchProgress`; 0 without a fetch.
    :param alternatives: other servers, best first.
    """

    server: str
    plan: Plan
    store: str = ""
    tail: str = ""
    pieces: int = 0
    fetched: int = 0
    tokens: int = 0
    predicted_first_token: float = 0.0
    check_fetch_after: float = 0.0
    alternatives: tuple[str, ...] = ()
