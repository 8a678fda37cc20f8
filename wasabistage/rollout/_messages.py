"""Log records, events, queries and actions of the rollout policies."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Target:
    """What a backend server is to run.

    :param versions: weight version of each of its models.
    :param adapters: names of the adapters, over all its models.
    :param role: role of the server, such as ``prefill``; empty for the default.
    """

    versions: dict[str, str]
    adapters: tuple[str, ...] = ()
    role: str = ""

    def met_by(self, runs):
        """Tell whether a server that runs something needs no order.

        A further model or adapter that it holds does no harm.

        :param runs: a :class:`Target`, or ``None``.
        :return: ``True`` if all that is declared is there.
        """
        return (
            runs is not None
            and self.versions.items() <= runs.versions.items()
            and set(self.adapters) <= set(runs.adapters)
            and self.role == runs.role
        )


@dataclass(frozen=True, kw_only=True)
class GrantRecord:
    """Log record: a slot, and with it the right to order one server, is claimed.

    The record's offset is the fencing number.

    :param record_id: unique id, so that a repeated append counts once.
    :param slot: number of the slot, from 0.
    :param server: name of the backend server.
    :param holder: name of the claiming entry instance.
    :param incarnation: id of its process life.
    :param lease: how long the holder may act, in seconds from before its append.
    :param supersedes: offset of the slot's last accepted record; ``NO_OFFSET`` if
        there is none. A claim that names another one is overtaken.
    :param config_version: configuration version that the claimer acts on.
    """

    record_id: str
    slot: int
    server: str
    holder: str
    incarnation: str
    lease: float
    supersedes: int
    config_version: int = 0


@dataclass(frozen=True, kw_only=True)
class ReleaseRecord:
    """Log record: the order of a grant has ended.

    :param record_id: unique id.
    :param slot: number of the slot.
    :param grant: offset of the grant that ends.
    """

    record_id: str
    slot: int
    grant: int


@dataclass(frozen=True, kw_only=True)
class SlotState:
    """A slot as folded from the log.

    :param last: offset of its last accepted record.
    :param grant: the grant in force, or ``None``.
    :param fencing: offset of that grant.
    """

    last: int
    grant: GrantRecord | None = None
    fencing: int = -1


@dataclass(frozen=True, kw_only=True)
class CarryRecord:
    """Log record: the folded slots, written before older records are trimmed.

    :param record_id: unique id.
    :param as_of: offset up to which the log was folded.
    :param slots: the slots that had a record, as (number, state).
    :param config_version: highest configuration version among the grants.
    """

    record_id: str
    as_of: int
    slots: tuple[tuple[int, SlotState], ...]
    config_version: int = 0


@dataclass(frozen=True, kw_only=True)
class LogRecord:
    """Event: a record of the order stream was read; in order of offset.

    :param offset: its offset.
    :param record: a :class:`GrantRecord`, :class:`ReleaseRecord` or
        :class:`CarryRecord`.
    """

    offset: int
    record: object


@dataclass(frozen=True, kw_only=True)
class AppendEnded:
    """Event: an append ended; whether it took effect shows in the log only.

    :param record_id: id of the record.
    """

    record_id: str


@dataclass(frozen=True, kw_only=True)
class TargetsChanged:
    """Event: a configuration is in force here.

    :param config_version: its version.
    :param targets: what each declared server is to run.
    :param slots: orders at a time over the whole deployment; 0 takes the policy's.
    """

    config_version: int
    targets: dict[str, Target]
    slots: int = 0


@dataclass(frozen=True, kw_only=True)
class PlaceChanged:
    """Event: this instance's place among those that may begin an order.

    :param place: 0 begins at once, others wait in turn.
    """

    place: int


@dataclass(frozen=True, kw_only=True)
class DrainStarted:
    """Event: this instance is to end; it gives back what it holds."""


@dataclass(frozen=True, kw_only=True)
class ServerReported:
    """Event: a backend server said what it runs.

    :param server: name of the backend server.
    :param runs: what it runs; ``None`` if it runs nothing.
    :param loading: whether it is loading.
    :param asked_at: when it was asked, monotonic seconds; a load report takes its
        arrival less the largest lag.
    """

    server: str
    runs: Target | None
    loading: bool
    asked_at: float


@dataclass(frozen=True, kw_only=True)
class OrderEnded:
    """Event: the call that carried an order ended, or failed.

    :param fencing: fencing number of the order.
    :param attempt: number of the order within its grant.
    :param refused: whether the server refused it for an old fencing number.
    """

    fencing: int
    attempt: int = 1
    refused: bool = False


@dataclass(frozen=True, kw_only=True)
class RoutableQuery:
    """Query: which of these servers may run a new request for a model?

    :param model: name of the model.
    :param servers: names of the servers considered.
    """

    model: str
    servers: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class RoutableServers:
    """Decision: servers for a new request, and the weight version it uses.

    A request uses one version, which is part of every key of its cache pieces.

    :param version: the declared weight version.
    :param servers: names of the servers that reported it.
    :param old_version: the version declared before; empty if it isn't served.
    :param old_servers: names of the servers that still report that one.
    """

    version: str
    servers: tuple[str, ...]
    old_version: str = ""
    old_servers: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class AppendRecord:
    """Action: append a record to the order stream.

    :param record: the record.
    """

    record: object


@dataclass(frozen=True, kw_only=True)
class ReadServer:
    """Action: ask a server what it runs and observe :class:`ServerReported`.

    :param server: name of the backend server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class SendOrder:
    """Action: send an order if ``may_send`` still allows it at that very moment.

    :param server: name of the backend server.
    :param fencing: fencing number to send along.
    :param attempt: number of the order within its grant.
    :param target: what the server is to run.
    """

    server: str
    fencing: int
    target: Target
    attempt: int = 1
