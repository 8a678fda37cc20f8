"""Messages of the policies that track backend servers."""

from dataclasses import dataclass
from enum import StrEnum


class NoticeSource(StrEnum):
    """Source of a notice: the platform's list, or the backend server's own report."""

    LIST = "list"
    REPORT = "report"


class ServerState(StrEnum):
    """State of a backend server as this entry instance estimates it."""

    READY = "ready"
    LEAVING = "leaving"
    SUSPECT = "suspect"


@dataclass(frozen=True, kw_only=True, order=True)
class LeavingNotice:
    """Event and peer message: a notice whether a backend server is leaving.

    Each source stamps its notices, so that entry instances may relay them in any
    order and any number of times: the notice with the highest stamp of a source wins.

    :param server: name of the backend server.
    :param source: source of the notice.
    :param stamp: (incarnation, number) of the source; stamps sort by time.
    :param leaving: whether the server is leaving, according to the source.
    """

    server: str
    source: NoticeSource
    stamp: tuple[str, int]
    leaving: bool


@dataclass(frozen=True, kw_only=True)
class ServersListed:
    """Event: the platform's list of instances was read.

    :param version: increasing number of the list's state, such as its time stamp in
        milliseconds.
    :param live: names of the backend servers listed as live.
    :param leaving: names of the backend servers listed as leaving.
    """

    version: int
    live: frozenset[str] = frozenset()
    leaving: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class ServerReportReceived:
    """Event: a backend server reported its state.

    :param server: name of the backend server.
    :param incarnation: id of the server's incarnation; ids sort by start time.
    :param sequence: number of the report within the incarnation, increasing.
    :param draining: whether the server reports that it is leaving.
    """

    server: str
    incarnation: str
    sequence: int
    draining: bool = False


@dataclass(frozen=True, kw_only=True)
class ServerCallEnded:
    """Event: a call to a backend server ended.

    :param server: name of the backend server.
    :param ok: whether the call was answered.
    """

    server: str
    ok: bool


@dataclass(frozen=True, kw_only=True)
class UsableServersQuery:
    """Query: which of these servers may be given new work?

    Answered by :class:`UsableServers`.

    :param servers: names of the backend servers that could run the request.
    """

    servers: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class UsableServers:
    """Decision: backend servers that may be given new work.

    :param ready: names of the servers that aren't suspect.
    :param suspect: names of suspect servers kept as a fallback, the least doubtful
        first.
    """

    ready: tuple[str, ...]
    suspect: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class SendNotices:
    """Action: send these notices to every peer.

    Also the answer to a :class:`NoticesQuery`.

    :param notices: the notices: at most ``max_gossip`` of the policy in an action; in
        an answer, every notice that a server is leaving.
    """

    notices: tuple[LeavingNotice, ...]


@dataclass(frozen=True, kw_only=True)
class NoticesQuery:
    """Query by a peer: which servers are leaving? Answered by :class:`SendNotices`."""


@dataclass(frozen=True, kw_only=True)
class NoticesReceived:
    """Event: a peer answered a :class:`NoticesQuery`.

    The notices of its answer have been observed before.
    """


@dataclass(frozen=True, kw_only=True)
class RequestNotices:
    """Action: send every peer a :class:`NoticesQuery`.

    For each answer, its notices are to be observed first and then
    :class:`NoticesReceived`. The first answer ends the wait of the policy.
    """
