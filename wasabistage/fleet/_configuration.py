"""What operators declare: routes, services, cache stores, client accounts, limits."""

from dataclasses import dataclass, field
from enum import StrEnum


class RouteKind(StrEnum):
    """What a route's requests may do.

    ``IDEMPOTENT`` requests may run more than once, ``ONCE`` requests may not, and
    ``STREAM`` requests are answered by a stream of events.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True)
class Route:
    """One route.

    :param name: its name.
    :param host: host that it belongs to, lower case.
    :param path_prefix: prefix of the paths, bytes.
    :param kind: a :class:`RouteKind`.
    :param targets: tuple of (service, weight).
    :param timeout: longest time from a request to its answer, in seconds.
    :param objective: time to the answer, or the first event, in seconds.
    :param rank: 0 is the most urgent.
    :param max_servers: servers to which one request may be sent.
    :param is_anonymous: whether requests need no key.
    :param has_prompt: whether requests carry a prompt for a model engine.
    :param is_resumable: whether a stream may go on at another server.
    """

    name: str
    host: str
    path_prefix: bytes
    kind: RouteKind
    targets: tuple[tuple[str, float], ...]
    timeout: float
    objective: float
    rank: int = 0
    max_servers: int = 1
    is_anonymous: bool = False
    has_prompt: bool = False
    is_resumable: bool = False

    @property
    def is_repeatable(self):
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """What the operators say of a service's model engines.

    :param slots: requests in one batch.
    :param memory_tokens: KV cache memory, in tokens.
    :param token_bytes: KV cache bytes of one token.
    :param link_bytes_per_second: bytes a second over an engine's link.
    :param max_event_reads: calls for cache events that a server holds at once.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_bytes_per_second: float
    max_event_reads: int = 1


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service with backend servers.

    :param name: its name.
    :param max_connections: channels that one server takes from all callers together.
    :param engine: an :class:`EngineSpec`, or ``None`` for a plain service.
    """

    name: str
    max_connections: int = 0
    engine: EngineSpec | None = None


@dataclass(frozen=True, kw_only=True)
class CacheStore:
    """A store of KV cache.

    :param name: its name.
    :param address: ``IP:PORT``.
    :param failure_domain: failure domain it stands in.
    :param capacity_tokens: room, in tokens.
    :param link_bytes_per_second: bytes a second over its link.
    :param first_byte_seconds: seconds that each transfer waits besides.
    :param never_evicts: whether it drops nothing by itself.
    :param max_event_reads: calls for cache events that it holds at once.
    """

    name: str
    address: str
    failure_domain: str
    capacity_tokens: int
    link_bytes_per_second: float
    first_byte_seconds: float = 0.0
    never_evicts: bool = False
    max_event_reads: int = 1


@dataclass(frozen=True, kw_only=True)
class ClientAccount:
    """A client account.

    :param name: its name.
    :param keys: its bearer keys.
    :param rank: rank of all its requests, or ``None`` for the routes' own.
    :param is_dedicated: whether it shares no KV cache with others.
    """

    name: str
    keys: frozenset[str]
    rank: int | None = None
    is_dedicated: bool = False


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take.

    :param header_bytes: bytes of a request's headers.
    :param body_bytes: bytes of a request's body.
    :param header_timeout_seconds: time to send the headers.
    :param idle_timeout_seconds: time that a channel may be idle.
    """

    header_bytes: int = 65536
    body_bytes: int = 4 << 20
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """All that operators declared, of one version.

    :param version: its version; versions increase.
    :param routes: tuple of :class:`Route`.
    :param services: dict of name to :class:`Service`.
    :param stores: dict of name to :class:`CacheStore`.
    :param accounts: dict of name to :class:`ClientAccount`; empty if no keys are used.
    :param limits: a :class:`CallerLimits`.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict = field(default_factory=dict)
    stores: dict = field(default_factory=dict)
    accounts: dict = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
