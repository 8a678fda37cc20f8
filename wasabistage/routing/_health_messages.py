"""Messages of the health policies."""

from dataclasses import dataclass
from enum import StrEnum


class Health(StrEnum):
    """State of a backend server with regard to new work.

    The names are those of a circuit breaker: a server in state ``CLOSED`` receives
    work, a server in state ``OPEN`` does not, and a server in state ``HALF_OPEN``
    receives a few probes.
    """

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"
    SLOW_START = "slow_start"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class ServerAppeared:
    """A server appeared, or reported a new incarnation.

    :param server: name of the backend server.
    :param service: name of the service or model; a server is compared with the others
        of it.
    :param incarnation: id of the server process, which changes with each restart.
    :param starts_slowly: whether the server begins with a slow start.
    """

    server: str
    service: str
    incarnation: str = ""
    starts_slowly: bool = True


@dataclass(frozen=True, kw_only=True)
class ServerLeaving:
    """A server announced that it stops.

    The announcement comes from the list of live servers, from a report or a refusal of
    the server itself, or from a peer.

    :param server: name of the backend server.
    :param incarnation: the incarnation that leaves; a server with another one is not
        affected. ``""`` for the current one.
    """

    server: str
    incarnation: str = ""


@dataclass(frozen=True, kw_only=True)
class ServerRemoved:
    """A server was removed from the declarations.

    :param server: name of the backend server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class CallStarted:
    """A call was sent to a server.

    :param server: name of the backend server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class PeerCallsEnded:
    """Calls of other entries to a server ended.

    :param server: id of the server.
    :param ok: number of calls that succeeded.
    :param failed: number of calls that failed for the server's fault.
    :param draw: random number from 0 to below 1 that spreads the entries' probes.
    """

    server: str
    ok: int
    failed: int
    draw: float = 0.0


@dataclass(frozen=True, kw_only=True)
class CallEnded:
    """A call ended.

    :param server: name of the backend server.
    :param ok: ``False`` for a failure that the server caused.
    :param seconds: duration of the call in seconds, or its ratio to the expected
        duration if calls differ in length.
    """

    server: str
    ok: bool
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class HealthQuery:
    """Question which servers of a service may receive new work.

    :param service: service or model.
    """

    service: str


@dataclass(frozen=True, kw_only=True)
class ServerHealth:
    """The health of one server.

    :param server: name of the backend server.
    :param state: a :class:`Health`.
    :param usable: whether it may receive new work now.
    :param weight: fraction of its normal share of work, 0 to 1.
    """

    server: str
    state: Health
    usable: bool
    weight: float


@dataclass(frozen=True, kw_only=True)
class HealthChanged:
    """The state of a server changed; the change is to be logged and counted.

    :param server: name of the backend server.
    :param state: the new :class:`Health`.
    """

    server: str
    state: Health
