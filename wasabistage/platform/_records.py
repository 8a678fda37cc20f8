"""Records that the operators and the servers write."""

import json
import math
from typing import Any

import msgspec

from wasabistage.edge import NamedWeightVersion
from wasabistage.fleet import (
    CacheStore,
    CallerLimits,
    ClientAccount,
    Configuration,
    EngineSpec,
    Route,
    RouteKind,
    ServerRecord,
    Service,
)
from wasabistage.utils import Int64, UnreadableError, decode_data

MILLISECONDS_PER_SECOND = 1000.0
BYTES_PER_MEGABIT = 125_000.0
CONFIGURATION_KEY = "config"
VERSION_PREFIX = "version/"
EVACUATION_PREFIX = "evacuate/"
MAX_SHOWN = 64  # characters of a wrong value that an error shows
MAX_PORT_DIGITS = 5
KINDS = {
    "idempotent": RouteKind.IDEMPOTENT,
    "non_idempotent": RouteKind.ONCE,
    "streaming": RouteKind.STREAM,
}
READY = "ready"
DRAINING = "draining"


class WireTarget(msgspec.Struct):
    """A service with its share of a route."""

    service: str
    weight: float = 1.0


class WireRoute(msgspec.Struct, rename="camel"):
    """A route as the operators write it."""

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    #: Time within which an answer earns its full worth, not a deadline.
    goal_ms: float = 1000.0
    #: A rank, 0 first.
    priority: Int64 = 0
    service: str = ""
    split: list[WireTarget] = []
    #: Servers that one request may be sent to, not tries.
    attempts: Int64 = 1
    anonymous: bool = False
    #: Requests carry a prompt whose parts servers may have cached.
    sticky: bool = False
    resumable: bool = False
    #: Longest pause between two events of a stream that is on time. A value that is no
    #: number above 0 counts as missing.
    gap_target_ms: Any = None
    #: An empty list allows every region.
    allowed_regions: list[str] | None = None


class WireEngine(msgspec.Struct, rename="camel"):
    """What a service of model engines has."""

    slots: Int64 = 1
    #: In tokens.
    kv_capacity: Int64 = 0
    kv_token_bytes: Int64 = 1
    link_mbps: float = 1000.0
    #: Calls for cache events held at once, not requests.
    max_inflight: Int64 = 1


class WireService(msgspec.Struct, rename="camel"):
    """A service, or a store of KV cache if it has a store's address."""

    name: str
    max_conns: Int64 = 0
    engine: WireEngine | None = None
    kv_store_addr: str = ""
    zone: str = ""
    kv_capacity: Int64 = 0
    link_mbps: float = 1000.0
    max_inflight: Int64 = 1
    #: The store drops nothing by itself.
    is_managed: bool = False
    #: Seconds for which a server is cold after a start, and requests per second that a
    #: cold server tolerates. A value that is no number above 0 counts as missing.
    cold_s: Any = None
    cold_per_s: Any = None
    #: Added to each transfer, in milliseconds.
    first_ms: float = msgspec.field(default=0.0, name="first_ms")


class WireLimits(msgspec.Struct, rename="camel"):
    """Bounds on callers."""

    max_header_bytes: Int64 = 65536
    max_body_bytes: Int64 = 4 << 20
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class WireTenant(msgspec.Struct):
    """A client account."""

    name: str
    keys: list[str] = []
    priority: Int64 | None = None
    dedicated: bool = False
    allowed_regions: list[str] | None = msgspec.field(
        default=None, name="allowedRegions"
    )


class WireConfiguration(msgspec.Struct):
    """The whole configuration."""

    version: Int64
    routes: list[WireRoute]
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)
    #: An empty list means that every key is unknown, a missing one that none is needed.
    tenants: list[WireTenant] | None = None


class WireModel(msgspec.Struct):
    """A model that a server holds."""

    name: str
    version: Int64 = 1


class WireServer(msgspec.Struct):
    """A server's own record."""

    service: str
    address: str
    state: str
    born: Int64 = 0
    zone: str = ""
    slots: Int64 = 1
    models: list[WireModel] = []
    #: Milliseconds for which it stays cold, as of when the record was written. Whatever
    #: it holds, the rest of the record is used.
    cold_left_ms: Any = msgspec.field(default=None, name="coldLeftMs")


class WireNamedVersion(msgspec.Struct):
    """Weights named by the operators."""

    model: str
    version: Int64


CONFIGURATION_DECODER = msgspec.json.Decoder(WireConfiguration)
SERVER_DECODER = msgspec.json.Decoder(WireServer)
NAMED_DECODER = msgspec.json.Decoder(WireNamedVersion)


def decode_configuration(value):
    """Decode a configuration.

    :param value: bytes.
    :return: a :class:`wasabistage.fleet.Configuration`.
    :raises UnreadableError: if it can't be used.
    """
    try:
        wire = decode_data(CONFIGURATION_DECODER, value)
        routes = tuple(make_route(item) for item in wire.routes)
    except KeyError as error:
        raise UnreadableError(f"{error} is no kind of request") from error
    except UnicodeError as error:
        raise UnreadableError(str(error)) from error
    services = [item for item in wire.services if not item.kv_store_addr]
    stores = [item for item in wire.services if is_address(item.kv_store_addr)]
    return Configuration(
        version=wire.version,
        routes=routes,
        services={item.name: make_service(item) for item in services},
        stores={item.name: make_store(item) for item in stores},
        accounts=make_accounts(wire.tenants),
        limits=make_limits(wire.limits),
    )


def make_route(wire):
    """Return a :class:`wasabistage.fleet.Route`."""
    targets = tuple((item.service, item.weight) for item in wire.split)
    return Route(
        name=wire.name,
        host=wire.host.lower(),
        path_prefix=wire.path_prefix.encode(),
        kind=KINDS[wire.kind],
        targets=targets or ((wire.service, 1.0),),
        timeout=wire.timeout_ms / MILLISECONDS_PER_SECOND,
        objective=wire.goal_ms / MILLISECONDS_PER_SECOND,
        rank=wire.priority,
        max_servers=max(1, wire.attempts),
        is_anonymous=wire.anonymous,
        has_prompt=wire.sticky,
        is_resumable=wire.resumable,
        allowed_regions=frozenset(wire.allowed_regions or ()),
        max_gap=to_seconds(get_amount(wire.gap_target_ms)) or 0.0,
    )


def make_service(wire):
    """Return a :class:`wasabistage.fleet.Service`."""
    engine = wire.engine and EngineSpec(
        slots=wire.engine.slots,
        memory_tokens=wire.engine.kv_capacity,
        token_bytes=wire.engine.kv_token_bytes,
        link_bytes_per_second=wire.engine.link_mbps * BYTES_PER_MEGABIT,
        max_event_reads=wire.engine.max_inflight,
    )
    return Service(
        name=wire.name,
        max_connections=wire.max_conns,
        engine=engine,
        cold_seconds=get_amount(wire.cold_s) or None,
        cold_rate=get_amount(wire.cold_per_s) or None,
    )


def get_amount(value):
    """Return a number that is not negative, infinite included; ``None`` for all else.

    :param value: any decoded JSON.
    """
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        number = float(value)
    except OverflowError:
        number = math.inf if value > 0 else -math.inf
    return number if number >= 0.0 else None


def make_store(wire):
    """Return a :class:`wasabistage.fleet.CacheStore`."""
    return CacheStore(
        name=wire.name,
        address=wire.kv_store_addr,
        failure_domain=wire.zone,
        capacity_tokens=wire.kv_capacity,
        link_bytes_per_second=wire.link_mbps * BYTES_PER_MEGABIT,
        first_byte_seconds=wire.first_ms / MILLISECONDS_PER_SECOND,
        never_evicts=wire.is_managed,
        max_event_reads=wire.max_inflight,
    )


def make_accounts(wire_tenants):
    """Return the client accounts by name, or ``None`` if no list is declared."""
    if wire_tenants is None:
        return None
    return {item.name: make_account(item) for item in wire_tenants}


def make_account(wire):
    """Return a :class:`wasabistage.fleet.ClientAccount`."""
    return ClientAccount(
        name=wire.name,
        keys=frozenset(wire.keys),
        rank=wire.priority,
        is_dedicated=wire.dedicated,
        allowed_regions=frozenset(wire.allowed_regions or ()),
    )


def make_limits(wire):
    """Return a :class:`wasabistage.fleet.CallerLimits`."""
    return CallerLimits(
        header_bytes=wire.max_header_bytes,
        body_bytes=wire.max_body_bytes,
        header_timeout_seconds=wire.header_timeout_ms / MILLISECONDS_PER_SECOND,
        idle_timeout_seconds=wire.idle_timeout_ms / MILLISECONDS_PER_SECOND,
    )


def is_address(text):
    """Tell whether a text is ``IP:PORT``."""
    host, _, port = text.rpartition(":")
    numbers = host.split(".")
    return (
        is_number(port)
        and 0 < int(port) < 65536
        and len(numbers) == 4
        and all(is_number(item) and int(item) < 256 for item in numbers)
    )


def is_number(text):
    """Tell whether a text is a whole number of a few ASCII digits."""
    return len(text) <= MAX_PORT_DIGITS and text.isascii() and text.isdigit()


def decode_server(record):
    """Decode a server's record.

    :param record: a :class:`wasabistage.fleet.StoredRecord` with a value.
    :return: a :class:`wasabistage.fleet.ServerRecord`.
    :raises UnreadableError: if it names no server to use.
    """
    wire = decode_server_value(record.value)
    if wire.state not in (READY, DRAINING):
        raise UnreadableError(f"{wire.state[:MAX_SHOWN]!r} is no state of a server")
    if not is_address(wire.address):
        raise UnreadableError(f"{wire.address[:MAX_SHOWN]!r} is not IP:PORT")
    return ServerRecord(
        server=record.key,
        incarnation=wire.born,
        service=wire.service,
        address=wire.address,
        failure_domain=wire.zone,
        slots=max(1, wire.slots),
        is_leaving=wire.state == DRAINING,
        versions={item.name: item.version for item in wire.models},
        cold_left=to_seconds(get_amount(wire.cold_left_ms)),
    )


def decode_server_value(value):
    """Decode the value of a server's record.

    :param value: bytes.
    :return: a :class:`WireServer`.
    :raises UnreadableError: if it can't be decoded.
    """
    try:
        return decode_data(SERVER_DECODER, value)
    except UnreadableError as error:
        # A time without end may be written as Infinity or 1e999, which no strict
        # decoder takes. The server may have started again, so the rest matters.
        try:
            return msgspec.convert(json.loads(value), WireServer)
        except (ValueError, RecursionError, OverflowError):
            raise error from None


def to_seconds(milliseconds):
    """Return seconds, or ``None`` for ``None``."""
    if milliseconds is None:
        return None
    return milliseconds / MILLISECONDS_PER_SECOND


def decode_named_version(record):
    """Decode a record that names a weight version.

    :param record: a :class:`wasabistage.fleet.StoredRecord`.
    :return: a :class:`wasabistage.edge.NamedWeightVersion`, or ``None`` if the record
        is another one.
    :raises UnreadableError: if it can't be decoded.
    """
    if not record.key.startswith(VERSION_PREFIX) or record.value is None:
        return None
    wire = decode_data(NAMED_DECODER, record.value)
    return NamedWeightVersion(model=wire.model, version=wire.version)


def decode_evacuation(key):
    """Return the failure domain that a record of the operators is an order to evacuate.

    :param key: key of the record; whatever its value is, the order holds.
    :return: name of the failure domain, or ``None`` if the record is another one.
    """
    if not key.startswith(EVACUATION_PREFIX):
        return None
    return key.removeprefix(EVACUATION_PREFIX)
