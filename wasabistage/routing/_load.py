"""Messages about load, dispatches, transfers and first-token times."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """A backend server's own report of its load.

    :param server: name of the backend server.
    :param version: weight version that it serves.
    :param queued_tokens: prompt tokens waiting or being computed.
    :param running: requests running.
    :param lag: seconds since the load was measured.
    :param model: name of the model, or ``""``.
    """

    server: str
    version: str = ""
    queued_tokens: int = 0
    running: int = 0
    lag: float = 0.0
    model: str = ""


@dataclass(frozen=True, kw_only=True)
class Dispatched:
    """A request was sent to a backend server.

    :param request: id of the attempt.
    :param server: name of the backend server.
    :param tokens: prompt tokens that it has to compute.
    """

    request: str
    server: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class PeerDispatched:
    """Another entry instance says what it sent to a backend server.

    :param server: name of the backend server.
    :param tokens: prompt tokens sent since that instance last said so.
    :param lag: seconds since then, about the middle of that time.
    """

    server: str
    tokens: int
    lag: float = 0.0


@dataclass(frozen=True, kw_only=True)
class FirstToken:
    """The first token of an attempt arrived.

    :param request: id of the attempt.
    :param seconds: time since the dispatch, fetches not included.
    :param computed: prompt tokens that were computed, if the engine says so.
    :param learn: ``False`` where the server had to wait for a fetch, so that the time
        tells nothing of its rate.
    """

    request: str
    seconds: float
    computed: int | None = None
    learn: bool = True


@dataclass(frozen=True, kw_only=True)
class DispatchEnded:
    """An attempt failed or was cancelled before its first token.

    :param request: id of the attempt.
    """

    request: str


@dataclass(frozen=True, kw_only=True)
class FetchCompleted:
    """Pieces were moved from a store to a backend server.

    :param store: name from :func:`get_link_name`; each tier has its own rate.
    :param size: bytes moved.
    :param seconds: time taken on the wire, queueing not included.
    """

    store: str
    size: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class LinkQueue:
    """What waits on a store's link ahead of a new fetch.

    :param store: name from :func:`get_link_name`.
    :param size: bytes ahead of a new urgent fetch.
    :param rate: rate that the link's scheduler measures, in bytes a second; 0 if
        unknown. No estimate takes the link for faster than that.
    """

    store: str
    size: int
    rate: float = 0.0


@dataclass(frozen=True, kw_only=True)
class EstimateQuery:
    """Asks for the first-token time of one way to serve a prompt.

    :param server: name of the backend server.
    :param tokens: prompt tokens to compute.
    :param store: store to fetch from, or ``""``.
    :param size: bytes to fetch.
    """

    server: str
    tokens: int
    store: str = ""
    size: int = 0


@dataclass(frozen=True, kw_only=True)
class Estimate:
    """A predicted first-token time.

    :param seconds: time from now to the first token.
    :param queue: part spent waiting for earlier work.
    :param fetch: part spent on the link, overlapped with the queue.
    """

    seconds: float
    queue: float
    fetch: float


@dataclass(frozen=True, kw_only=True)
class FetchProgress:
    """Asks whether an unfinished fetch is still better than recomputing.

    :param server: name of the backend server.
    :param store: name from :func:`get_link_name`.
    :param ahead: bytes that go over the link before the fetch's next byte.
    :param size: bytes of the fetch left.
    :param tokens: prompt tokens in the pieces that are not yet there.
    """

    server: str
    store: str
    ahead: int
    size: int
    tokens: int


@dataclass(frozen=True, kw_only=True)
class KeepFetching:
    """The fetch goes on.

    :param check_after: seconds after which to ask again.
    """

    check_after: float
