"""Events, queries and actions of the admission policies.

A service has a number of *slots*, one for each request that its backend servers can
run at a time. A request is *queued* until a slot is granted to it, and *running*
until it finishes or is cancelled.
"""

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
    """Event: a request has arrived and needs a slot.

    :param request_id: id, unique among queued and running requests.
    :param account: name of the client account.
    :param rank: rank of the declared call.
    :param service: name of the service.
    :param cost: estimated cost, in tokens.
    :param deadline_at: time by which the first byte must arrive, monotonic seconds.
    """

    request_id: str
    account: str
    rank: Rank
    service: str
    cost: float
    deadline_at: float


@dataclass(frozen=True, kw_only=True)
class FirstByteReceived:
    """Event: the first byte of a running request's response has arrived.

    :param request_id: id of a running request.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True)
class RequestFinished:
    """Event: a running request has ended and its slot is free.

    :param request_id: id of a running request.
    :param cost: actual cost, in tokens; ``None`` if only the estimate is known.
    """

    request_id: str
    cost: float | None = None


@dataclass(frozen=True, kw_only=True)
class RequestCancelled:
    """Event: the caller has disconnected; its request is removed, queued or running.

    :param request_id: id of a queued or running request.
    """

    request_id: str


@dataclass(frozen=True, kw_only=True)
class CapacityChanged:
    """Event: the number of slots of a service has changed.

    :param service: name of the service.
    :param slots: for a queueing policy, the number of requests that this entry
        instance may have running; for :class:`EntryAdmission`, the number that all
        backend servers of the service run at a time.
    """

    service: str
    slots: int


@dataclass(frozen=True, kw_only=True)
class AccountWeightsChanged:
    """Event: the weights of the client accounts for a service have changed.

    :param service: name of the service.
    :param weights: weight by account name; other accounts have weight 1.
    :param saturated: names of the accounts whose demand exceeds their fair share.
    """

    service: str
    weights: dict[str, float] = field(default_factory=dict)
    saturated: frozenset[str] = frozenset()


@dataclass(frozen=True, kw_only=True)
class RankFloorsChanged:
    """Event: a configuration with different rank floors has come into force.

    :param floors: minimum fraction of the slots by rank, 0 to 1.
    """

    floors: dict[Rank, float]


@dataclass(frozen=True, kw_only=True)
class WaitQuery:
    """Query: how long a request would be queued.

    :param service: name of the service.
    :param rank: rank of the declared call.
    :param account: name of the client account.
    """

    service: str
    rank: Rank
    account: str


@dataclass(frozen=True, kw_only=True)
class WaitEstimate:
    """Decision: the predicted wait of a request.

    :param wait_seconds: 90th percentile of the time until a slot is granted.
    :param first_byte_seconds: mean time from the grant to the first byte.
    """

    wait_seconds: float
    first_byte_seconds: float


@dataclass(frozen=True, kw_only=True)
class GrantSlot:
    """Action: give the request a slot and send it to a backend server now.

    :param request_id: id of the request.
    :param waited: time it was queued, in seconds.
    """

    request_id: str
    waited: float


@dataclass(frozen=True, kw_only=True)
class Refuse:
    """Action: refuse a request at arrival; it is not run.

    :param request_id: id of the request.
    :param reason: the cause, one of this package's sentinels.
    :param retry_after: time after which a retry can succeed, in seconds.
    """

    request_id: str
    reason: Sentinel
    retry_after: float

    def build_error(self):
        """Build the error that is sent to the caller.

        :return: a :class:`wasabistage.exceptions.WasabistageError`.
        """
        remedy = f"try again in {self.retry_after:.1f} s"
        error_classes = {"EXPIRED": DeadlineError, "NO_CAPACITY": UnavailableError}
        error_class = error_classes.get(self.reason.name, OverloadError)
        return error_class(
            self.reason.reason, remedy=remedy, retry_after=self.retry_after
        )


@dataclass(frozen=True, kw_only=True)
class Drop(Refuse):
    """Action: remove a queued request and refuse it; it is not run.

    A request is dropped if its deadline passes while it is queued, or if the queue is
    full and its account has the highest queued cost divided by weight.
    """
