"""Messages of the health policies."""

from dataclasses import dataclass
from enum import StrEnum


class Health(StrEnum):
    """State of a backend server, as far as new work is concerned."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"
    SLOW_START = "slow_start"
    LEAVING = "leaving"


@dataclass(frozen=True, kw_only=True)
class ServerAppeared:
    """A server appeared or reported a new incarnation.

    :param server: name of the backend server.
    :param service: service or model by which servers are compared.
    :param incarnation: id of the process's life.
    :param starts_slowly: whether it starts with a slow start.
    """

    server: str
    service: str
    incarnation: str = ""
    starts_slowly: bool = True


@dataclass(frozen=True, kw_only=True)
class ServerLeaving:
    """The live list, the server, a refusal or a peer says that a server leaves.

    :param server: name of the backend server.
    :param incarnation: the life that leaves; another life is not affected.
    """

    server: str
    incarnation: str = ""


@dataclass(frozen=True, kw_only=True)
class ServerRemoved:
    """A server is gone from the declarations.

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
class CallEnded:
    """A call came to its end.

    :param server: name of the backend server.
    :param ok: ``False`` for a failure that is the server's own.
    :param seconds: time taken per unit of expected time, or plain seconds where
        calls are alike.
    """

    server: str
    ok: bool
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class HealthQuery:
    """Asks which servers of a service may get new work.

    :param service: service or model.
    """

    service: str


@dataclass(frozen=True, kw_only=True)
class ServerHealth:
    """The health of one server.

    :param server: name of the backend server.
    :param state: a :class:`Health`.
    :param usable: whether it may get new work now.
    :param weight: share of its normal work, 0 to 1.
    """

    server: str
    state: Health
    usable: bool
    weight: float


@dataclass(frozen=True, kw_only=True)
class HealthChanged:
    """Action: log and count a change of state.

    :param server: name of the backend server.
    :param state: the new :class:`Health`.
    """

    server: str
    state: Health
