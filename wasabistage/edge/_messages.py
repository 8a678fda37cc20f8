"""Messages between the tasks of an edge process and its :class:`PlatformAdapter`."""

from dataclasses import dataclass, field
from enum import StrEnum, auto


class BadRequestError(Exception):
    """A caller's request is invalid and can't be forwarded.

    :param status: HTTP status of the response to the caller.
    :param message: the reason, for the log.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A section of a prompt whose KV cache may be kept and fetched on its own.

    :param part: id of the part.
    :param tokens: its length, in tokens.
    """

    part: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """The prompt of a request.

    :param model: name of the model.
    :param prompt_tokens: length of the whole prompt, in tokens.
    :param output_tokens: largest number of tokens to generate.
    :param parts: tuple of :class:`PromptPart`, in the order of the prompt; the last
        one belongs to the request alone or to its session.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A decoded request of a caller.

    :param request_id: id that the caller gives to each of its attempts.
    :param method: HTTP method, bytes.
    :param target: request target as received, bytes.
    :param host: host without port, lower case.
    :param path: path as received, without the query, bytes.
    :param key: bearer key of the client account, or ``""``.
    :param patience: time for which the caller waits for the response, in seconds, or
        ``None`` if the caller names none.
    :param last_event: id of the last stream event that the caller received, or ``""``.
    :param prompt: a :class:`Prompt`, or ``None``.
    :param headers: headers to forward, (name, value) pairs of bytes.
    :param body: bytes.
    :param begun_at: time at which the first byte was received, monotonic seconds.
    """

    request_id: str
    method: bytes
    target: bytes
    host: str
    path: bytes
    key: str = ""
    patience: float | None = None
    last_event: str = ""
    prompt: Prompt | None = None
    headers: tuple = ()
    body: bytes = b""
    begun_at: float = 0.0

    @property
    def size(self):
        """Bytes of the body, which a server holds."""
        return len(self.body)


@dataclass(frozen=True, kw_only=True)
class Dispatch:
    """Parameters with which a request is sent to a backend server.

    :param server: id of the only server that may run it.
    :param time_left: time until the deadline, in seconds.
    :param account: name of the client account, or ``""``.
    :param forwards_key: whether the caller's key is forwarded to the server, which is
        the case only if no client accounts are declared.
    :param weight_version: weight version that the server must run, or ``None``.
    :param cache_key: key under which the server caches the prompt's parts, or ``""``.
    :param urgency: from 0, the most urgent, to 9, or ``None``.
    :param fetch_from: for each part the address to fetch it from, or ``""``.
    :param save_to: for each part the address to save it to, or ``""``.
    :param fetch_until: time on the servers' wall clock after which a fetch is
        discarded, in seconds, or ``None``.
    :param last_event: id of the event after which a stream resumes, or ``""``.
    """

    server: str
    time_left: float
    account: str = ""
    forwards_key: bool = False
    weight_version: int | None = None
    cache_key: str = ""
    urgency: int | None = None
    fetch_from: tuple[str, ...] = ()
    save_to: tuple[str, ...] = ()
    fetch_until: float | None = None
    last_event: str = ""


@dataclass(frozen=True, kw_only=True)
class ServerLoad:
    """The load that a server reports with a response.

    :param running: number of running requests.
    :param waiting: number of waiting requests.
    :param slots: number of requests that the server runs at once.
    :param pace: duration of work relative to the usual one, above 0, or ``None`` if
        the server doesn't report it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """Metadata in the headers of a backend server's response.

    :param request_id: id of the request that the response belongs to, or ``""``.
    :param is_not_run: whether the server states that it did not run the request.
    :param promises_not_run: whether callers take the status for a statement that the
        request was not run.
    :param is_verified_success: whether a success status may be forwarded to the caller:
        the headers prove that the server itself made the response.
    :param is_event_stream: whether the body is a stream of events; ``None`` if the
        response doesn't name its type.
    :param closes_channel: whether the server closes the channel after this response.
    :param is_leaving: whether the server announces that it stops.
    :param weight_version: weight version that made the response, or ``None``.
    :param load: a :class:`ServerLoad`, or ``None``.
    :param retry_after: time after which to retry, in seconds, or ``None``.
    :param server: id of the server, or ``""``.
    :param cold_left: time for which the server stays cold, in seconds, or ``None`` if
        the response doesn't tell.
    """

    request_id: str = ""
    is_not_run: bool = False
    promises_not_run: bool = False
    is_verified_success: bool = False
    is_event_stream: bool | None = None
    closes_channel: bool = False
    is_leaving: bool = False
    weight_version: int | None = None
    load: ServerLoad | None = None
    retry_after: float | None = None
    server: str = ""
    cold_left: float | None = None


@dataclass(frozen=True, kw_only=True)
class EngineReport:
    """The state that a model engine reports.

    :param versions: dict of model to weight version.
    :param is_loading: whether the engine is carrying out an order.
    :param orders: number of orders accepted since the engine started.
    :param clock: the servers' wall clock, in seconds, or ``None``.
    :param incarnation: id of the engine's process, or ``None``; a restart changes it.
    :param running: number of running requests.
    :param waiting: number of waiting requests.
    """

    versions: dict = field(default_factory=dict)
    is_loading: bool = False
    orders: int = 0
    clock: float | None = None
    incarnation: int | None = None
    running: int = 0
    waiting: int = 0


@dataclass(frozen=True, kw_only=True)
class CacheEvent:
    """A cached part changed at an engine or store.

    :param cache_key: key under which it is cached.
    :param part: id of the part.
    :param tokens: number of tokens cached now; 0 if the part was removed.
    """

    cache_key: str
    part: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class CacheEvents:
    """Result of one read of cache events, or of a listing.

    :param epoch: number that changes when the source restarts.
    :param position: position from which to read next.
    :param has_gap: whether events were lost.
    :param events: tuple of :class:`CacheEvent`.
    :param clock: the servers' wall clock, in seconds, or ``None``.
    """

    epoch: int
    position: int
    has_gap: bool
    events: tuple
    clock: float | None = None


class OrderMethod(StrEnum):
    """What an engine does with running requests when it loads weights.

    ``FINISH_RUNS``: they end before the load. ``KEEP_RUNS``: they continue with the new
    version.
    """

    FINISH_RUNS = auto()
    KEEP_RUNS = auto()


@dataclass(frozen=True, kw_only=True)
class VersionOrder:
    """An order to a model engine to load a weight version.

    :param server: id of the only server that may accept it.
    :param model: name of the model.
    :param version: the weight version.
    :param holder: name of the entry that sends the order and holds the lease.
    :param fencing: fencing number of the lease.
    :param method: an :class:`OrderMethod`.
    :param orders: number of orders that the server must have accepted before this one,
        or ``None`` for any.
    """

    server: str
    model: str
    version: int
    holder: str
    fencing: int
    method: OrderMethod = OrderMethod.FINISH_RUNS
    orders: int | None = None


@dataclass(frozen=True, kw_only=True)
class NamedWeightVersion:
    """A weight version named by the operators.

    :param model: name of the model.
    :param version: the version that its servers are to run.
    """

    model: str
    version: int


class OrderAnswer(StrEnum):
    """A server's answer to an order.

    ``ACCEPTED``: the server carries out the order. ``HOLDS``: it already runs the
    version. ``BUSY``: another order is in progress, or was accepted first. ``FENCED``:
    a newer holder has sent an order. ``REFUSED``: the server can't carry it out.
    """

    ACCEPTED = auto()
    HOLDS = auto()
    BUSY = auto()
    FENCED = auto()
    REFUSED = auto()
