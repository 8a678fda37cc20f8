"""Events, queries and actions of the account limiters, and demand reports."""

from dataclasses import dataclass, field

from wasabistage.declarations import ClientAccount


@dataclass(frozen=True, kw_only=True)
class AccountDemand:
    """Recent demand of one account for one service at one entry.

    :param service: name of the service.
    :param account: name of the client account.
    :param rate: cost of the arriving requests, in tokens per second; includes refused
        requests.
    :param slots: mean number of slots that this rate occupies.
    """

    service: str
    account: str
    rate: float
    slots: float


@dataclass(frozen=True, kw_only=True)
class DemandReport:
    """Event: an entry has reported its demand; :class:`SendReport` sends it to peers.

    :param entry: name of the entry instance that the report is about, or of the cell,
        a group of entry instances that reports as one.
    :param incarnation: number that increases with each start of that entry.
    :param sequence: number that increases with each report of an incarnation.
    :param heard: names of the peers from which the sender has a recent report.
    :param demands: the largest demands at that entry.
    """

    entry: str
    incarnation: int
    sequence: int
    heard: tuple[str, ...] = ()
    demands: tuple[AccountDemand, ...] = ()


@dataclass(frozen=True, kw_only=True)
class EntriesChanged:
    """Event: the deployment's entry instances have changed.

    :param members: number of entry instances by name: 1 for an entry instance, the
        number of its instances for a cell. Includes this entry's own name.
    """

    members: dict[str, int]


@dataclass(frozen=True, kw_only=True)
class AccountsChanged:
    """Event: a configuration with different client accounts has come into force.

    :param accounts: client accounts by name.
    """

    accounts: dict[str, ClientAccount]


@dataclass(frozen=True, kw_only=True)
class SlotShareQuery:
    """Query: this entry's share of a service's slots.

    :param service: name of the service.
    :param slots: number of slots of all its backend servers.
    """

    service: str
    slots: int


@dataclass(frozen=True, kw_only=True)
class SlotShare:
    """Decision: this entry's share of a service's slots.

    :param slots: number of slots that this entry may use.
    :param weights: weight by account name at this entry.
    :param saturated: names of the accounts whose demand exceeds their fair share.
    """

    slots: int
    weights: dict[str, float] = field(default_factory=dict)
    saturated: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Allow:
    """Action: let the request through; it is within its account's limit.

    :param request_id: id of the request.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True)
class SendReport:
    """Action: send a demand report to every peer.

    :param report: a :class:`DemandReport`.
    """

    report: DemandReport
