"""Events, queries and actions of the admission policies."""

from dataclasses import dataclass, field

from wasabistage.base import Rank
from wasabistage.exceptions import DeadlineError, OverloadError, UnavailableError
from wasabistage.utils import Sentinel

QUEUE_FULL = Sentinel("QUEUE_FULL", "the queue is full and this account fills most")
DEADLINE_UNREACHABLE = Sentinel(
    "DEADLINE_UNREACHABLE", "the predicted wait exceeds the deadline"
)
EXPIRED = Sentinel("EXPIRED", "the deadline passed while the request was queued")
NO_CAPACITY = Sentinel("NO_CAPACITY", "the service has no slot at this entry")
ACCOUNT_LIMIT = Sentinel("ACCOUNT_LIMIT", "the client account is at its common limit")
NO_ESTIMATE = Sentinel("NO_ESTIMATE", "the service is not known yet")


@dataclass(frozen=True, kw_only=True)
class RequestArrived:
    """Event: a request asks for a slot.

    :param request_id: id, unique among the requests under way.
    :param account: name of the client account.
    :param rank: rank of the declared call.
    :param service: name of the service.
    :param cost: estimated cost, in tokens.
    :param deadline_at: latest useful time of the first byte, monotonic seconds.
    """

    request_id: str
    account: str
    rank: Rank
    service: str
    cost: float
    deadline_at: float


@dataclass(frozen=True, kw_only=True)
class FirstByteReceived:
    """Event: the first byte of a granted request's answer arrived.

    :param request_id: id of a granted request.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True)
class RequestFinished:
    """Event: a granted request has ended and its slot is free.

    :param request_id: id of a granted request.
    :param cost: actual cost, in tokens; ``None`` keeps the estimate.
    """

    request_id: str
    cost: float | None = None


@dataclass(frozen=True, kw_only=True)
class RequestCancelled:
    """Event: the caller has gone; the request is removed wherever it stands.

    :param request_id: id of a queued or granted request.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True)
class CapacityChanged:
    """Event: this entry instance's slots for a service have changed.

    :param service: name of the service.
    :param slots: requests at a time that this entry may have running.
    """

    service: str
    slots: int


@dataclass(frozen=True, kw_only=True)
class WeightsChanged:
    """Event: the accounts' weights for a service have changed.

    :param service: name of the service.
    :param weights: weight by name of the account; others have weight 1.
    :param saturated: accounts that ask for more than their fair share.
    """

    service: str
    weights: dict[str, float] = field(default_factory=dict)
    saturated: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class RankFloorsChanged:
    """Event: a configuration with other rank floors is in force.

    :param floors: least share of capacity by rank, 0 to 1.
    """

    floors: dict[Rank, float]


@dataclass(frozen=True, kw_only=True)
class WaitQuery:
    """Query: how long would this request wait?

    :param service: name of the service.
    :param rank: rank of the declared call.
    :param account: name of the client account.
    """

    service: str
    rank: Rank
    account: str


@dataclass(frozen=True, kw_only=True)
class WaitEstimate:
    """Decision: the predicted wait for a slot.

    :param wait: seconds until a slot is granted, for nine requests in ten.
    :param first_byte: seconds from the grant to the first byte.
    """

    wait: float
    first_byte: float


@dataclass(frozen=True, kw_only=True)
class GrantSlot:
    """Action: send the request to a backend server now.

    :param request_id: id of the request.
    :param waited: seconds it was queued.
    """

    request_id: str
    waited: float


@dataclass(frozen=True, kw_only=True)
class Refuse:
    """Action: answer the caller that the request was not run.

    :param request_id: id of the request.
    :param reason: why, one of this package's sentinels.
    :param retry_after: seconds after which a retry makes sense.
    """

    request_id: str
    reason: Sentinel
    retry_after: float

    def build_error(self):
        """Build the typed error for the caller.

        :return: a :class:`wasabistage.exceptions.WasabistageError`.
        """
        remedy = f"try again in {self.retry_after:.1f} s"
        kinds = {"EXPIRED": DeadlineError, "NO_CAPACITY": UnavailableError}
        error = kinds.get(self.reason.name, OverloadError)
        return error(self.reason.reason, remedy=remedy, retry_after=self.retry_after)


@dataclass(frozen=True, kw_only=True)
class Drop(Refuse):
    """Action: a queued request is refused after it had been accepted.

    It is sent for work that expired in the queue and for work that gave way to a
    lighter account at a full queue. The request was not run.
    """
