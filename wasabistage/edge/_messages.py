"""What passes between the tasks of an edge process and its adapter."""

from dataclasses import dataclass, field
from enum import StrEnum, auto


class BadRequestError(Exception):
    """The caller's request can't be passed on.

    :param status: HTTP status that says why.
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status


@dataclass(frozen=True, kw_only=True)
class PromptPart:
    """A part of a prompt.

    :param part: its id.
    :param tokens: its length, in tokens.
    """

    part: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """The prompt of a request.

    :param model: name of the model.
    :param prompt_tokens: its whole length, in tokens.
    :param output_tokens: most tokens that are generated.
    :param parts: tuple of :class:`PromptPart` in order; the last one is the request's
        own or its session's.
    """

    model: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...] = ()


@dataclass(frozen=True, kw_only=True)
class CallerRequest:
    """A request of a caller, decoded.

    :param request_id: id of this attempt, given by the caller.
    :param method: bytes.
    :param target: request target as it came, bytes.
    :param host: host without port, lower case.
    :param path: path as it came, without the query, bytes.
    :param key: bearer key, or ``""``.
    :param patience: how long the caller waits, in seconds, or ``None``.
    :param last_event: id of the last event that the caller has, or ``""``.
    :param prompt: a :class:`Prompt`, or ``None``.
    :param headers: headers to pass on, (name, value) pairs of bytes.
    :param body: bytes.
    :param begun_at: when its first byte came, monotonic seconds.
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


@dataclass(frozen=True, kw_only=True)
class Dispatch:
    """How a request is sent to a backend server.

    :param server: id of the only server that may run it.
    :param time_left: seconds that the server may take.
    :param account: name of the client account, or ``""``.
    :param forwards_key: whether the caller's key goes on to the server, which is so
        only where no client accounts are declared.
    :param weight_version: weight version that the server must run, or ``None``.
    :param cache_key: text under which the server keeps the prompt's parts, or ``""``.
    :param urgency: 0 to 9, 0 first, or ``None``.
    :param fetch_from: for each part the address to fetch it from, or ``""``.
    :param save_to: for each part the address to save it to, or ``""``.
    :param fetch_until: servers' wall clock after which a fetch is discarded, in
        seconds, or ``None``.
    :param last_event: id of the event after which a stream goes on, or ``""``.
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
    """The load that a server tells with a response.

    :param running: requests running.
    :param waiting: requests waiting.
    :param slots: requests that it processes at once.
    """

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, kw_only=True)
class ResponseMetadata:
    """What the headers of a server's response say besides the response itself.

    :param request_id: id of the request that it answers, or ``""``.
    :param is_not_run: whether the server states that it did not run the request.
    :param is_verified_success: whether it may be passed on as a success.
    :param is_leaving: whether the server closes the channel after this response.
    :param weight_version: weight version of the answer, or ``None``.
    :param load: a :class:`ServerLoad`, or ``None``.
    :param retry_after: seconds, or ``None``.
    :param server: id of the server, or ``""``.
    """

    request_id: str = ""
    is_not_run: bool = False
    is_verified_success: bool = False
    is_leaving: bool = False
    weight_version: int | None = None
    load: ServerLoad | None = None
    retry_after: float | None = None
    server: str = ""


@dataclass(frozen=True, kw_only=True)
class EngineReport:
    """The state that a model engine reports.

    :param versions: dict of model to weight version.
    :param is_loading: whether an order is in progress.
    :param orders: number of orders accepted since its start.
    :param clock: the servers' wall clock, in seconds, or ``None``.
    :param incarnation: start of its process, or ``None``.
    :param running: requests running.
    :param waiting: requests waiting.
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
    """A part of KV cache changed at an engine or store.

    :param cache_key: text under which it lies.
    :param part: id of the part.
    :param tokens: tokens kept now; 0 if it is gone.
    """

    cache_key: str
    part: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class CacheEvents:
    """What one read of cache events or a listing returned.

    :param epoch: number of the source's life.
    :param position: where to read on.
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
    """What happens to the runs under way at an engine that loads weights.

    ``FINISH_RUNS``: they end first. ``KEEP_RUNS``: they go on under the new version.
    """

    FINISH_RUNS = auto()
    KEEP_RUNS = auto()


@dataclass(frozen=True, kw_only=True)
class VersionOrder:
    """An order to a model engine to load a weight version.

    :param server: id of the only server that may take it.
    :param model: name of the model.
    :param version: the weight version.
    :param holder: name of the entry that orders.
    :param fencing: fencing number.
    :param method: an :class:`OrderMethod`.
    :param orders: orders that the server must have accepted before, or ``None``.
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
    """How a server answered an order.

    ``ACCEPTED``: it is being carried out. ``HOLDS``: it already holds. ``BUSY``:
    another order is in progress, or came first. ``FENCED``: a newer holder ordered
    before. ``REFUSED``: it can't be carried out here.
    """

    ACCEPTED = auto()
    HOLDS = auto()
    BUSY = auto()
    FENCED = auto()
    REFUSED = auto()
