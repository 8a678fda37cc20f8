"""The messages that entry instances send each other, and their methods."""

from dataclasses import dataclass

from wasabistage.admission import DemandReport
from wasabistage.cache import PrefixCommitted
from wasabistage.declarations import ConfigState
from wasabistage.entry._peers import PeerMethod
from wasabistage.membership import Heartbeat, LeavingNotice
from wasabistage.observe import SpanRecord
from wasabistage.once import Reply as OnceReply
from wasabistage.routing import PeerDispatched


@dataclass(frozen=True, kw_only=True)
class Gossip:
    """What an entry tells its peers about itself, in one message.

    :param heartbeat: its heartbeat.
    :param signs: words on leaving backend servers.
    :param demand: its demand, if due.
    :param resumed: identifiers of streams that callers resumed here lately.
    :param commits: commit records written lately.
    :param dispatched: prompt tokens sent lately, by backend server.
    """

    heartbeat: Heartbeat
    signs: tuple[LeavingNotice, ...] = ()
    demand: DemandReport | None = None
    resumed: tuple[str, ...] = ()
    commits: tuple[PrefixCommitted, ...] = ()
    dispatched: tuple[PeerDispatched, ...] = ()


@dataclass(frozen=True, kw_only=True)
class GossipReply:
    """The receiver's own heartbeat.

    :param heartbeat: its heartbeat.
    """

    heartbeat: Heartbeat


@dataclass(frozen=True, kw_only=True)
class SignsAsk:
    """Asks a peer which backend servers leave, after a pause of this process."""


@dataclass(frozen=True, kw_only=True)
class SignsAnswer:
    """A peer's words on leaving backend servers.

    :param signs: the words.
    """

    signs: tuple[LeavingNotice, ...]


@dataclass(frozen=True, kw_only=True)
class ConfigAsk:
    """Asks a peer for its folded configuration state."""


@dataclass(frozen=True, kw_only=True)
class ConfigTold:
    """A peer's folded configuration state.

    :param state: the state; ``None`` if it knows none.
    """

    state: ConfigState | None


@dataclass(frozen=True, kw_only=True)
class OnceForward:
    """Hands an attempt of a non-idempotent call to the key's home.

    The sender has authenticated the caller and admitted the call.

    :param attempt: identifier of the attempt at the sender.
    :param home: incarnation that must take it.
    :param account: name of the client account.
    :param key: idempotency key.
    :param service: name of the service.
    :param method: HTTP method.
    :param path: path within the service.
    :param query: raw query string.
    :param body: body.
    :param headers: headers that are passed on.
    :param request_id: identifier of the request.
    :param remaining: seconds that the caller still waits.
    :param inquire: whether the caller only asks what became of the key.
    :param traceparent: trace context.
    """

    attempt: str
    home: str
    account: str
    key: str
    service: str
    method: str
    path: str
    query: bytes
    body: bytes
    headers: dict[str, str]
    request_id: str
    remaining: float
    inquire: bool = False
    traceparent: str = ""


@dataclass(frozen=True, kw_only=True)
class OnceAnswered:
    """How the home answered a forwarded attempt.

    :param reply: the home's reply; ``None`` if the receiver is another incarnation.
    """

    reply: OnceReply | None


@dataclass(frozen=True, kw_only=True)
class StatusAsk:
    """Asks an entry for its status."""


@dataclass(frozen=True, kw_only=True)
class MemberStatus:
    """One entry instance as another one sees it.

    :param instance: its name.
    :param state: what is believed about it.
    :param age: seconds since it was last heard.
    :param config_version: configuration version it reported.
    """

    instance: str
    state: str
    age: float
    config_version: int


@dataclass(frozen=True, kw_only=True)
class ServerStatus:
    """One backend server as an entry sees it.

    :param server: its name.
    :param state: what is believed about it.
    :param running: requests that it reported as running.
    :param queued: requests that it reported as waiting.
    :param versions: weight version by model that it reported.
    """

    server: str
    state: str
    running: int
    queued: int
    versions: dict[str, str]


@dataclass(frozen=True, kw_only=True)
class StatusTold:
    """Status of one entry.

    :param instance: its name.
    :param incarnation: identifier of its process's life.
    :param failure_domain: its failure domain.
    :param phase: ``serving`` or ``draining``.
    :param config_version: configuration version in force; 0 for none.
    :param config_doubtful: whether a newer version may exist.
    :param everywhere: whether every live entry reported that version.
    :param running: requests under way.
    :param waiting: requests among them that wait to be admitted.
    :param members: the entries as it sees them.
    :param servers: the backend servers as it sees them.
    :param metrics: its counters and gauges.
    """

    instance: str
    incarnation: str
    failure_domain: str
    phase: str
    config_version: int
    config_doubtful: bool
    everywhere: bool
    running: int
    waiting: int
    members: tuple[MemberStatus, ...]
    servers: tuple[ServerStatus, ...]
    metrics: dict[str, float]


@dataclass(frozen=True, kw_only=True)
class TraceAsk:
    """Asks an entry for the spans of a request.

    :param request_id: identifier of the request.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True)
class TraceTold:
    """The spans that an entry holds of a request.

    :param spans: the spans.
    """

    spans: tuple[SpanRecord, ...]


GOSSIP = PeerMethod(name="Gossip", request=Gossip, reply=GossipReply)
SIGNS = PeerMethod(name="Signs", request=SignsAsk, reply=SignsAnswer)
CONFIG = PeerMethod(name="Config", request=ConfigAsk, reply=ConfigTold)
ONCE = PeerMethod(name="Once", request=OnceForward, reply=OnceAnswered)
STATUS = PeerMethod(name="Status", request=StatusAsk, reply=StatusTold)
TRACE = PeerMethod(name="Trace", request=TraceAsk, reply=TraceTold)
