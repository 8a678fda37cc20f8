"""Events, queries and actions of the common limits and slot shares."""

from dataclasses import dataclass, field

from wasabistage.declarations import ClientAccount


@dataclass(frozen=True, kw_only=True)
class AccountDemand:
    """What one account recently asked of one service at one entry.

    :param service: name of the service.
    :param account: name of the client account.
    :param rate: cost asked for, in tokens a second, refused work included.
    :param slots: slots that this rate keeps busy.
    """

    service: str
    account: str
    rate: float
    slots: float


@dataclass(frozen=True, kw_only=True)
class DemandReport:
    """Event: a peer's demand; also what :class:`SendReport` carries to the peers.

    :param entry: name of the entry instance, or of the cell.
    :param incarnation: number that grows with each start of this entry.
    :param sequence: number that grows with each report of an incarnation.
    :param heard: names of the peers whose reports the sender holds as fresh.
    :param demands: the largest demands.
    """

    entry: str
    incarnation: int
    sequence: int
    heard: tuple[str, ...] = ()
    demands: tuple[AccountDemand, ...] = ()


@dataclass(frozen=True, kw_only=True)
class EntriesChanged:
    """Event: the deployment's entry instances have changed.

    :param members: number of equal parts by name of the entry, usually 1. This
        entry's own name is among them.
    """

    members: dict[str, int]


@dataclass(frozen=True, kw_only=True)
class AccountsChanged:
    """Event: a configuration with other client accounts is in force.

    :param accounts: client accounts by name.
    """

    accounts: dict[str, ClientAccount]


@dataclass(frozen=True, kw_only=True)
class SlotShareQuery:
    """Query: this entry's share of a service's slots.

    :param service: name of the service.
    :param slots: slots of all its backend servers together.
    """

    service: str
    slots: int


@dataclass(frozen=True, kw_only=True)
class Share:
    """Decision: this entry's share of a service.

    :param slots: slots that this entry may have in use.
    :param weights: weight by account at this entry.
    :param saturated: accounts that ask for more than their fair share.
    """

    slots: int
    weights: dict[str, float] = field(default_factory=dict)
    saturated: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class Allow:
    """Action: the request is within its account's common limit.

    :param request_id: id of the request.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True)
class SendReport:
    """Action: send the report to every peer.

    :param report: a :class:`DemandReport`.
    """

    report: DemandReport
