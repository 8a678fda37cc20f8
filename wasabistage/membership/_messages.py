"""Events, queries, actions and views of the membership policies."""

from dataclasses import dataclass
from enum import StrEnum


class MemberPhase(StrEnum):
    """What a process says about itself."""

    SERVING = "serving"
    DRAINING = "draining"


class MemberState(StrEnum):
    """What this instance believes about another one."""

    SERVING = "serving"
    DRAINING = "draining"
    SUSPECT = "suspect"
    GONE = "gone"


class HomeState(StrEnum):
    """What is known of one incarnation, for keys whose home it is."""

    LIVE = "live"
    SILENT = "silent"
    REPLACED = "replaced"


def build_incarnation_id(started_ms, random_bytes):
    """Build the id of one process life; ids of one instance sort by start time.

    :param started_ms: wall-clock start time, in milliseconds since 1970.
    :param random_bytes: at least 8 random bytes.
    :return: a hexadecimal text.
    """
    return f"{started_ms:012x}{random_bytes.hex()}"


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Event and wire message: one entry instance tells another about itself.

    :param instance: name of the sender.
    :param incarnation: id of the sender's process life.
    :param sequence: counts up with each heartbeat of an incarnation.
    :param failure_domain: the sender's failure domain.
    :param caller_address: ``IP:PORT`` for callers.
    :param peer_address: ``IP:PORT`` for other entry instances.
    :param load: share of its capacity in use; 1 is full.
    :param phase: whether it takes new work.
    :param config_version: configuration version in force there.
    :param newest_offset: newest log offset it knows of.
    :param silent: instances that it has not heard lately, at most
        :data:`MAX_SILENT`.
    """

    instance: str
    incarnation: str
    sequence: int
    failure_domain: str = ""
    caller_address: str = ""
    peer_address: str = ""
    load: float = 0.0
    phase: MemberPhase = MemberPhase.SERVING
    config_version: int = 0
    newest_offset: int = 0
    silent: tuple[str, ...] = ()


MAX_SILENT = 16


@dataclass(frozen=True, kw_only=True)
class ListedInstance:
    """One entry instance as the platform's list shows it.

    :param instance: name.
    :param caller_address: ``IP:PORT`` for callers.
    :param peer_address: ``IP:PORT`` for other entry instances.
    :param failure_domain: its failure domain.
    :param leaving: whether the list marks it as leaving.
    """

    instance: str
    caller_address: str
    peer_address: str
    failure_domain: str = ""
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class InstancesListed:
    """Event: the platform's list was read; it lags and may be empty.

    :param instances: the listed entry instances.
    """

    instances: tuple[ListedInstance, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PeerCallEnded:
    """Event: a call to another entry instance ended.

    :param instance: the instance that was called.
    :param ok: whether an answer came.
    :param refused: whether the connection was refused, so no process listens.
    """

    instance: str
    ok: bool
    refused: bool = False


@dataclass(frozen=True, kw_only=True)
class MemberViewQuery:
    """Query: which entry instances are there? Answered by :class:`MemberView`."""


@dataclass(frozen=True, kw_only=True)
class HomeQuery:
    """Query: does this incarnation live? Answered by :class:`HomeState`.

    :param instance: name of the instance.
    :param incarnation: id of the process life.
    """

    instance: str
    incarnation: str


@dataclass(frozen=True, kw_only=True)
class HeartbeatQuery:
    """Query: this instance's next heartbeat.

    :param load: share of its capacity in use.
    :param phase: whether it takes new work.
    :param config_version: configuration version in force.
    :param newest_offset: newest log offset known.
    """

    load: float = 0.0
    phase: MemberPhase = MemberPhase.SERVING
    config_version: int = 0
    newest_offset: int = 0


@dataclass(frozen=True, kw_only=True)
class Member:
    """One entry instance in a view.

    :param instance: name.
    :param incarnation: id of its process life; empty when known from the list only.
    :param state: what is believed about it.
    :param failure_domain: its failure domain.
    :param caller_address: ``IP:PORT`` for callers.
    :param peer_address: ``IP:PORT`` for other entry instances.
    :param load: share of its capacity in use when last heard.
    :param age: seconds since it was last heard; ``inf`` if never.
    :param config_version: configuration version it last reported.
    :param newest_offset: newest log offset it last reported.
    """

    instance: str
    incarnation: str = ""
    state: MemberState = MemberState.SERVING
    failure_domain: str = ""
    caller_address: str = ""
    peer_address: str = ""
    load: float = 0.0
    age: float = 0.0
    config_version: int = 0
    newest_offset: int = 0


@dataclass(frozen=True, kw_only=True)
class MemberView:
    """Decision: the entry instances as believed now.

    :param members: every known member, sorted by name.
    :param candidates: those that may be given new work.
    :param isolated: whether nobody was heard lately, so that the fault may be here.
    """

    members: tuple[Member, ...]
    candidates: tuple[Member, ...]
    isolated: bool = False


@dataclass(frozen=True, kw_only=True)
class SendHeartbeats:
    """Action: send a fresh heartbeat to each address.

    :param addresses: peer addresses, ``IP:PORT``.
    """

    addresses: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class MemberChanged:
    """Action: tell the parts that follow membership.

    :param instance: name.
    :param before: the state before; ``None`` for a new member.
    :param after: the state now.
    """

    instance: str
    before: MemberState | None
    after: MemberState
