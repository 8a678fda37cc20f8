"""Configuration: routes, services, cache stores, client accounts and limits."""

from dataclasses import dataclass, field
from enum import StrEnum
from functools import cached_property


class RouteKind(StrEnum):
    """Kind of a route's requests.

    ``IDEMPOTENT`` requests may run more than once, ``ONCE`` requests must not, and
    ``STREAM`` requests are answered by a stream of events.
    """

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, kw_only=True)
class Route:
    """Route of requests to services, by host and path prefix.

    :param name: name of the route.
    :param host: host of the requests, in lower case.
    :param path_prefix: prefix of the requests' paths, bytes.
    :param kind: a :class:`RouteKind`.
    :param targets: tuple of (service name, weight); requests are split by weight.
    :param timeout: maximum time from a request to its answer, in seconds.
    :param objective: target time to the answer, or to the first event of a stream, in
        seconds.
    :param rank: rank of the requests; 0 is the most urgent.
    :param max_servers: maximum number of servers to which one request is sent.
    :param is_anonymous: whether requests need no bearer key.
    :param has_prompt: whether requests carry a prompt for a model engine.
    :param is_resumable: whether another server may continue an interrupted stream.
    :param allowed_regions: regions to whose servers requests may be sent; all if empty.
    :param max_gap: longest pause between two events of a stream that is on time, in
        seconds; 0 if the route declares none.
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
    allowed_regions: frozenset[str] = frozenset()
    max_gap: float = 0.0

    @property
    def is_repeatable(self):
        """Whether a request may run more than once."""
        return self.kind is RouteKind.IDEMPOTENT or self.is_resumable


@dataclass(frozen=True, kw_only=True)
class EngineSpec:
    """Declared properties of each model engine of a service.

    :param slots: maximum number of requests in one batch.
    :param memory_tokens: KV cache memory, in tokens.
    :param token_bytes: KV cache size of one token, in bytes.
    :param link_bytes_per_second: rate of an engine's link, in bytes per second.
    :param max_event_reads: maximum number of concurrent reads of cache events that a
        server keeps open.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_bytes_per_second: float
    max_event_reads: int = 1


@dataclass(frozen=True, kw_only=True)
class Service:
    """Service that backend servers run.

    :param name: name of the service.
    :param max_connections: maximum number of connections that one server accepts from
        all its clients together.
    :param engine: an :class:`EngineSpec`, or ``None`` for a service without a model.
    :param cold_seconds: time for which a server is cold after a start during traffic,
        in seconds, or ``None`` if its servers are never cold.
    :param cold_rate: requests per second that one cold server tolerates, or ``None``
        if they are not limited.
    """

    name: str
    max_connections: int = 0
    engine: EngineSpec | None = None
    cold_seconds: float | None = None
    cold_rate: float | None = None


@dataclass(frozen=True, kw_only=True)
class CacheStore:
    """Store of KV cache.

    :param name: name of the store.
    :param address: ``IP:PORT``.
    :param failure_domain: name of its failure domain.
    :param capacity_tokens: capacity, in tokens.
    :param link_bytes_per_second: rate of its link, in bytes per second.
    :param first_byte_seconds: latency of a transfer until its first byte, in seconds.
    :param never_evicts: whether it evicts nothing by itself, so that entries must free
        its memory.
    :param max_event_reads: maximum number of concurrent reads of cache events that it
        keeps open.
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
    """Account of a client, identified by its bearer keys.

    :param name: name of the account.
    :param keys: its bearer keys.
    :param rank: rank of all its requests, or ``None`` to use the rank of each route.
    :param is_dedicated: whether it shares no KV cache with other accounts.
    :param allowed_regions: regions to whose servers its requests may be sent; all if
        empty.
    """

    name: str
    keys: frozenset[str]
    rank: int | None = None
    is_dedicated: bool = False
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class CallerLimits:
    """Limits for requests and connections of callers.

    :param header_bytes: maximum size of a request's headers, in bytes.
    :param body_bytes: maximum size of a request's body, in bytes.
    :param header_timeout_seconds: maximum time to send the headers, in seconds.
    :param idle_timeout_seconds: maximum time that a connection may be idle, in seconds.
    """

    header_bytes: int = 65536
    body_bytes: int = 4 << 20
    header_timeout_seconds: float = 10.0
    idle_timeout_seconds: float = 60.0


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of everything that the operators declare.

    :param version: version number; a newer configuration has a higher one.
    :param routes: tuple of :class:`Route`.
    :param services: dict of name to :class:`Service`.
    :param stores: dict of name to :class:`CacheStore`.
    :param accounts: dict of name to :class:`ClientAccount`; ``None`` if no keys are
        used. With an empty one, every key is unknown.
    :param limits: a :class:`CallerLimits`.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict = field(default_factory=dict)
    stores: dict = field(default_factory=dict)
    accounts: dict | None = None
    limits: CallerLimits = CallerLimits()

    @cached_property
    def dedicated_accounts(self):
        """Names of the client accounts that share no KV cache, a frozenset."""
        accounts = (self.accounts or {}).values()
        return frozenset(item.name for item in accounts if item.is_dedicated)
