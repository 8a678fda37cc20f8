"""Messages about load, dispatches, transfers and the time to the first token."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class LoadReport:
    """A backend server's own report of its load.

    :param server: name of the backend server.
    :param version: weight version that it serves.
    :param queued_tokens: prompt tokens that wait or are being computed.
    :param running: number of running requests.
    :param lag: time since the load was measured, in seconds.
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
    """Another entry instance dispatched requests to a backend server.

    :param server: name of the backend server.
    :param tokens: prompt tokens dispatched since the instance's last such message.
    :param lag: age of these dispatches, about that of the middle of the period, in
        seconds.
    """

    server: str
    tokens: int
    lag: float = 0.0


@dataclass(frozen=True, kw_only=True)
class FirstTokenArrived:
    """The first token of an attempt arrived.

    :param request: id of the attempt.
    :param seconds: time since the dispatch, without fetches, in seconds.
    :param computed: prompt tokens that were computed, or ``None`` if the engine does
        not report them.
    :param learn: whether the time is a sample of the server's prefill rate; ``False``
        if it includes a wait for something else, such as a fetch.
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
    """A fetch of pieces from a store to a backend server completed.

    :param store: name from :func:`get_link_name`; each tier has its own rate.
    :param size: bytes transferred.
    :param seconds: time of the transfer, without queueing, in seconds.
    """

    store: str
    size: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class LinkQueueMeasured:
    """The queue of a store's link was measured.

    :param store: name from :func:`get_link_name`.
    :param size: bytes queued ahead of a new urgent fetch.
    :param rate: rate measured by the scheduler of the link, in bytes per second; 0 if
        unknown. It is an upper bound of the estimated rate.
    """

    store: str
    size: int
    rate: float = 0.0


@dataclass(frozen=True, kw_only=True)
class EstimateQuery:
    """Question for the time to the first token if a server takes a prompt.

    :param server: name of the backend server.
    :param tokens: prompt tokens to compute.
    :param store: name from :func:`get_link_name` of the link to fetch over, or ``""``.
    :param size: bytes to fetch; 0 for no fetch.
    """

    server: str
    tokens: int
    store: str = ""
    size: int = 0


@dataclass(frozen=True, kw_only=True)
class Estimate:
    """A predicted time to the first token.

    :param seconds: time from now to the first token, in seconds.
    :param queue: time of earlier work on the server, in seconds.
    :param fetch: time of the fetch, in seconds; it overlaps with ``queue``.
    """

    seconds: float
    queue: float
    fetch: float


@dataclass(frozen=True, kw_only=True)
class FetchProgressQuery:
    """Question whether an unfinished fetch is still faster than recomputing.

    :param server: name of the backend server.
    :param store: name from :func:`get_link_name`.
    :param ahead: bytes that the link transfers before the next byte of the fetch.
    :param size: remaining bytes of the fetch.
    :param tokens: prompt tokens in the pieces that have not arrived.
    """

    server: str
    store: str
    ahead: int
    size: int
    tokens: int


@dataclass(frozen=True, kw_only=True)
class KeepFetching:
    """Answer that an unfinished fetch should continue.

    :param check_after: time after which to ask again, in seconds.
    """

    check_after: float
