"""Log records, events, queries and actions of the rollout policies."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class Target:
    """Models, adapters and role of a backend server, as declared or as reported.

    :param versions: weight version of each model, by name of the model.
    :param adapters: names of the adapters of all models.
    :param role: role of the server, such as ``prefill``; empty for the default.
    """

    versions: dict[str, str]
    adapters: tuple[str, ...] = ()
    role: str = ""

    def is_met_by(self, runs):
        """Return whether a server that runs ``runs`` needs no order.

        Additional models and adapters on the server are accepted.

        :param runs: what the server reports, a :class:`Target`, or ``None``.
        :return: ``True`` if the server runs everything that is declared.
        """
        return (
            runs is not None
            and self.versions.items() <= runs.versions.items()
            and set(self.adapters) <= set(runs.adapters)
            and self.role == runs.role
        )


@dataclass(frozen=True, kw_only=True)
class GrantRecord:
    """Log record: a lease on a slot, which allows its holder to order one server.

    The offset of the record in the log is the fencing number of the orders.

    :param record_id: unique id; repeated appends of a record count once.
    :param slot: number of the slot, from 0.
    :param server: name of the backend server.
    :param holder: name of the entry instance that holds the lease.
    :param incarnation: id of the holder's process life.
    :param lease: duration of the lease, in seconds, from the start of the append.
    :param supersedes: offset of the slot's last accepted record, ``NO_OFFSET`` if there
        is none. A grant that names another offset is rejected.
    :param config_version: version of the configuration that the holder acts on.
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
    """Log record: a grant has ended, and its slot is free.

    :param record_id: unique id.
    :param slot: number of the slot.
    :param grant: offset of the grant.
    """

    record_id: str
    slot: int
    grant: int


@dataclass(frozen=True, kw_only=True)
class SlotState:
    """State of a slot, folded from the log.

    :param last: offset of the slot's last accepted record.
    :param grant: the grant in force, or ``None``.
    :param fencing: offset of that grant; -1 if there is none.
    """

    last: int
    grant: GrantRecord | None = None
    fencing: int = -1


@dataclass(frozen=True, kw_only=True)
class CarryRecord:
    """Log record: a checkpoint of all slots, written before older records are trimmed.

    :param record_id: unique id.
    :param as_of: offset of the last record that the checkpoint includes.
    :param slots: the slots that have had a record, as (number, state).
    :param config_version: highest configuration version among the grants.
    """

    record_id: str
    as_of: int
    slots: tuple[tuple[int, SlotState], ...]
    config_version: int = 0


@dataclass(frozen=True, kw_only=True)
class LogRecord:
    """Event: a record of the order stream was read; events come in order of offset.

    :param offset: offset of the record.
    :param record: a :class:`GrantRecord`, :class:`ReleaseRecord` or
        :class:`CarryRecord`.
    """

    offset: int
    record: object


@dataclass(frozen=True, kw_only=True)
class AppendEnded:
    """Event: an append returned or failed; only the log shows whether it took effect.

    :param record_id: id of the record.
    """

    record_id: str


@dataclass(frozen=True, kw_only=True)
class TargetsChanged:
    """Event: a configuration came into force on this instance.

    :param config_version: version of the configuration.
    :param targets: target of each declared server, by name of the server.
    :param slots: number of slots, which bounds the concurrent orders of the deployment;
        0 keeps the ``slots`` argument of the policy.
    """

    config_version: int
    targets: dict[str, Target]
    slots: int = 0


@dataclass(frozen=True, kw_only=True)
class PlaceChanged:
    """Event: this instance's place in the order of the live instances changed.

    :param place: number of instances that come before this one. The instance at place
        0 appends grants at once; others wait longer the higher their place is.
    """

    place: int


@dataclass(frozen=True, kw_only=True)
class DrainStarted:
    """Event: this instance is going to stop and releases the grants that it holds."""


@dataclass(frozen=True, kw_only=True)
class ServerReported:
    """Event: a backend server reported what it runs.

    :param server: name of the backend server.
    :param runs: what the server runs; ``None`` if it runs nothing.
    :param loading: whether the server is loading weights.
    :param asked_at: lower bound on the time when the report was made, monotonic, in
        seconds: the time of the request, or for a load report the value from
        :class:`ReportTimeBounds`.
    """

    server: str
    runs: Target | None
    loading: bool
    asked_at: float


@dataclass(frozen=True, kw_only=True)
class OrderEnded:
    """Event: the call that carried an order returned or failed.

    :param fencing: fencing number of the order.
    :param attempt: number of the order within its grant.
    :param refused: whether the server refused the order because it has seen a higher
        fencing number.
    """

    fencing: int
    attempt: int = 1
    refused: bool = False


@dataclass(frozen=True, kw_only=True)
class RoutableQuery:
    """Query: which of the given servers may run a new request for a model?

    :param model: name of the model.
    :param servers: names of the servers considered.
    """

    model: str
    servers: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class RoutableServers:
    """Decision: servers for a new request, and the weight version that it uses.

    A request uses a single version, which is part of the keys of its cache pieces.

    :param version: the declared weight version.
    :param servers: names of the servers that report the declared version.
    :param old_version: the version declared before; empty if no server may serve it.
    :param old_servers: names of the servers that still report the old version.
    """

    version: str
    servers: tuple[str, ...]
    old_version: str = ""
    old_servers: tuple[str, ...] = ()


@dataclass(frozen=True, kw_only=True)
class AppendRecord:
    """Action: append a record to the order stream.

    :param record: a :class:`GrantRecord`, :class:`ReleaseRecord` or
        :class:`CarryRecord`.
    """

    record: object


@dataclass(frozen=True, kw_only=True)
class ReadServer:
    """Action: request a report from a server and observe it as :class:`ServerReported`.

    :param server: name of the backend server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class SendOrder:
    """Action: send an order, if ``may_send`` allows it right before the send.

    :param server: name of the backend server.
    :param fencing: fencing number of the order.
    :param attempt: number of the order within its grant.
    :param target: what the server is to run.
    """

    server: str
    fencing: int
    target: Target
    attempt: int = 1
