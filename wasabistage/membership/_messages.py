"""Messages of the policies that track entry instances."""

from dataclasses import dataclass
from enum import StrEnum


class MemberPhase(StrEnum):
    """MemberPhase that an entry instance reports in its heartbeats."""

    SERVING = "serving"
    DRAINING = "draining"


class MemberState(StrEnum):
    """State of another entry instance as this one estimates it."""

    SERVING = "serving"
    DRAINING = "draining"
    SUSPECT = "suspect"
    GONE = "gone"


class IncarnationState(StrEnum):
    """State of one incarnation of an entry instance.

    ``LIVE``: heard lately. ``SILENT``: not heard lately, or unknown. ``REPLACED``: a
    later incarnation of the same instance has been heard. A home is the entry
    instance that handles the calls of a once-only key.
    """

    LIVE = "live"
    SILENT = "silent"
    REPLACED = "replaced"


def build_incarnation_id(started_ms, random_bytes):
    """Build the id of an incarnation, which is one run of a process.

    The ids of one instance sort by start time.

    :param started_ms: wall-clock start time, in milliseconds since 1970.
    :param random_bytes: at least 8 random bytes.
    :return: a hexadecimal string.
    """
    return f"{started_ms:012x}{random_bytes.hex()}"


@dataclass(frozen=True, kw_only=True)
class Heartbeat:
    """Event and peer message: an entry instance reports its own state.

    :param instance: name of the sender.
    :param incarnation: id of the sender's incarnation.
    :param sequence: number of the heartbeat within the incarnation, increasing.
    :param failure_domain: failure domain of the sender.
    :param caller_address: ``IP:PORT`` for callers.
    :param peer_address: ``IP:PORT`` for other entry instances.
    :param load: fraction of the sender's capacity in use; 1 is full.
    :param phase: whether the sender takes new work.
    :param config_version: configuration version in force at the sender.
    :param newest_offset: newest log offset known to the sender.
    :param silent: names of instances that the sender considers silent, at most
        :data:`MAX_SILENT_INSTANCES`.
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


MAX_SILENT_INSTANCES = 16


@dataclass(frozen=True, kw_only=True)
class ListedInstance:
    """One entry instance in the platform's list of instances.

    :param instance: name of the instance.
    :param caller_address: ``IP:PORT`` for callers.
    :param peer_address: ``IP:PORT`` for other entry instances.
    :param failure_domain: failure domain of the instance.
    :param leaving: whether the list marks the instance as leaving.
    """

    instance: str
    caller_address: str
    peer_address: str
    failure_domain: str = ""
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class InstancesListed:
    """Event: the platform's list of instances was read.

    The list lags behind the true state and may be empty by mistake.

    :param instances: the listed entry instances.
    """

    instances: tuple[ListedInstance, ...] = ()


@dataclass(frozen=True, kw_only=True)
class PeerCallEnded:
    """Event: a call to another entry instance ended.

    :param instance: name of the called instance.
    :param ok: whether the call was answered.
    :param refused: whether the connection was refused, so that no process listens.
    """

    instance: str
    ok: bool
    refused: bool = False


@dataclass(frozen=True, kw_only=True)
class MemberViewQuery:
    """Query: which entry instances are known? Answered by :class:`MemberView`."""


@dataclass(frozen=True, kw_only=True)
class IncarnationQuery:
    """Query: is this incarnation live? Answered by :class:`IncarnationState`.

    :param instance: name of the instance.
    :param incarnation: id of the incarnation.
    """

    instance: str
    incarnation: str


@dataclass(frozen=True, kw_only=True)
class HeartbeatQuery:
    """Query: what is this instance's next heartbeat? Answered by :class:`Heartbeat`.

    :param load: fraction of this instance's capacity in use; 1 is full.
    :param phase: whether this instance takes new work.
    :param config_version: configuration version in force.
    :param newest_offset: newest log offset known.
    """

    load: float = 0.0
    phase: MemberPhase = MemberPhase.SERVING
    config_version: int = 0
    newest_offset: int = 0


@dataclass(frozen=True, kw_only=True)
class Member:
    """One entry instance in a :class:`MemberView`.

    :param instance: name of the instance.
    :param incarnation: id of its incarnation; empty if it is known from the
        platform's list alone.
    :param state: estimated state.
    :param failure_domain: failure domain of the instance.
    :param caller_address: ``IP:PORT`` for callers.
    :param peer_address: ``IP:PORT`` for other entry instances.
    :param load: fraction of its capacity in use, as last reported.
    :param age: time since the instance was last heard, in seconds; ``inf`` if never.
    :param config_version: configuration version that it last reported.
    :param newest_offset: newest log offset that it last reported.
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
    """Decision: the other entry instances and their estimated states.

    :param members: every known instance but this one, sorted by name.
    :param candidates: members that may be given new work.
    :param is_isolated: whether no member has been heard lately, so that the fault may
        lie with this instance.
    """

    members: tuple[Member, ...]
    candidates: tuple[Member, ...]
    is_isolated: bool = False


@dataclass(frozen=True, kw_only=True)
class SendHeartbeats:
    """Action: send a new heartbeat to each address.

    :param addresses: ``IP:PORT`` for other entry instances.
    """

    addresses: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class MemberChanged:
    """Notification by ``tick``: the estimated state of a member changed.

    :param instance: name of the member.
    :param before: previous state; ``None`` for a new member.
    :param after: current state.
    """

    instance: str
    before: MemberState | None
    after: MemberState
