"""Messages of the routing decision."""

from dataclasses import dataclass
from enum import StrEnum

from wasabistage.base import Rank
from wasabistage.cache import ServerHolding, StoreHolding


class Plan(StrEnum):
    """Source of the KV cache for a prompt's prefix on the backend server.

    ``HOLD``: the server holds it; ``FETCH``: the server fetches it from a store;
    ``RECOMPUTE``: the server computes the whole prompt.
    """

    HOLD = "hold"
    FETCH = "fetch"
    RECOMPUTE = "recompute"


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A backend server that the router may select.

    :param server: name of the backend server.
    :param version: weight version that the server itself reported.
    :param usable: whether health and membership allow new work.
    :param weight: fraction of its normal share of work, 0 to 1; below 1 during a slow
        start.
    :param failure_domain: failure domain of the server, or ``""``.
    """

    server: str
    version: str
    usable: bool = True
    weight: float = 1.0
    failure_domain: str = ""


@dataclass(frozen=True, kw_only=True)
class RouteQuery:
    """Question which backend server takes a prompt.

    :param account: name of the client account.
    :param model: name of the model.
    :param version: weight version declared in the configuration in force.
    :param session: session key, or ``""``.
    :param piece_keys: keys of the prompt's pieces, derived from account and version
        among others.
    :param prompt_tokens: length of the prompt, in tokens.
    :param piece_tokens: tokens in one piece.
    :param piece_bytes: bytes of KV cache in one piece.
    :param rank: rank of the call.
    :param candidates: tuple of :class:`Candidate`.
    :param held: tuple of :class:`ServerHolding` from the prefix index.
    :param stored: tuple of :class:`StoreHolding` from the store index.
    :param draw: random number from 0 to below 1 that selects among equal servers.
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
    """The selected backend server and the plan for its KV cache.

    :param server: name of the backend server.
    :param plan: a :class:`Plan`.
    :param store: store to fetch from, or ``""``.
    :param tail: tail key of the commit record to read, or ``""``.
    :param pieces: number of reused pieces, held and fetched together.
    :param fetched: number of fetched pieces, which are the last ones of ``pieces``.
    :param tokens: prompt tokens that the server has to compute.
    :param predicted_first_token: predicted time to the first token, in seconds.
    :param check_fetch_after: time after which to send a :class:`FetchProgressQuery` for
        an unfinished fetch, in seconds; 0 without a fetch.
    :param alternatives: names of the other eligible servers, best first.
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
