"""Events, queries, actions and views about backend servers."""

from dataclasses import dataclass
from enum import StrEnum


class NoticeSource(StrEnum):
    """Who says that a backend server is leaving."""

    LIST = "list"
    REPORT = "report"


class ServerState(StrEnum):
    """What this instance believes about a backend server."""

    READY = "ready"
    LEAVING = "leaving"
    SUSPECT = "suspect"


@dataclass(frozen=True, kw_only=True, order=True)
class LeavingNotice:
    """Event, wire message: one source's newest word on whether a server leaves.

    A source stamps its own words, so entries may pass them on in any order and any
    number of times: the highest stamp of a source wins.

    :param server: name of the backend server.
    :param source: who said it.
    :param stamp: (life, number) of the source; compares in order of time.
    :param leaving: what it said.
    """

    server: str
    source: NoticeSource
    stamp: tuple[str, int]
    leaving: bool


@dataclass(frozen=True, kw_only=True)
class ServersListed:
    """Event: the platform's list was read.

    :param version: number of the list's state, counting up; its own time in
        milliseconds does.
    :param live: names of the backend servers that it shows as live.
    :param leaving: names of those that it shows as leaving.
    """

    version: int
    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class ServerReportReceived:
    """Event: a backend server reported its load.

    :param server: name of the backend server.
    :param incarnation: id of its process life; sorts by start time.
    :param sequence: counts up with each report of a life.
    :param draining: whether it says that it is leaving.
    """

    server: str
    incarnation: str
    sequence: int
    draining: bool = False


@dataclass(frozen=True, kw_only=True)
class ServerCallEnded:
    """Event: a call to a backend server ended.

    :param server: name of the backend server.
    :param ok: whether the server answered.
    """

    server: str
    ok: bool


@dataclass(frozen=True, kw_only=True)
class UsableServersQuery:
    """Query: which of these servers may be given new work?

    :param servers: names of the servers that could run the request.
    """

    servers: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class UsableServers:
    """Decision: servers that may be given new work.

    :param ready: those without any doubt.
    :param suspect: doubtful ones kept so that the choice is never empty.
    """

    ready: tuple[str, ...]
    suspect: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class SendNotices:
    """Action: tell every peer entry instance these words.

    :param notices: the words, at most ``max_gossip`` of the policy.
    """

    notices: tuple[LeavingNotice, ...]


@dataclass(frozen=True, kw_only=True)
class NoticesQuery:
    """Query of a peer: which servers leave? Answered by :class:`SendNotices`."""


@dataclass(frozen=True, kw_only=True)
class NoticesReceived:
    """Event: a peer answered a :class:`NoticesQuery`; its words were observed."""


@dataclass(frozen=True, kw_only=True)
class RequestNotices:
    """Action: ask every peer a :class:`NoticesQuery`, observe the words, then
    :class:`NoticesReceived` with the first answer.
    """
