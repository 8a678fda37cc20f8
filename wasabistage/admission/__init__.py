"""Admission of requests by rank, fairness, account limits and deadlines.

One task owns one :class:`EntryAdmission`, passes it events and carries out the
returned actions::

    admission = EntryAdmission(
        limiter=ShareLimiter(entry=name, accounts=deployment.accounts),
        queue=RankedFairQueue(rank_floors=deployment.rank_floors),
    ).reset()

    # when the slots of all backend servers of a service change
    admission.observe(CapacityChanged(service=service, slots=slots), now)
    # when the entry instances change, and when a peer's report arrives
    admission.observe(EntriesChanged(members={"entry-1": 1, "entry-2": 1}), now)
    admission.observe(report, now)
    # when a request arrives, its first byte arrives, it ends, or its caller disconnects
    arrived = RequestArrived(request_id=request_id, account=account, ...)
    actions = admission.observe(arrived, now)
    admission.observe(FirstByteReceived(request_id=request_id), now)
    finished = RequestFinished(request_id=request_id, cost=tokens)
    actions = admission.observe(finished, now)
    actions = admission.observe(RequestCancelled(request_id=request_id), now)
    # every 50 to 250 ms
    actions = admission.tick(now)

Each action is a :class:`GrantSlot` (dispatch the request now), :class:`Refuse` or
:class:`Drop` (send the caller ``action.build_error()``; the request was not run), or
:class:`SendReport` (send ``action.report`` to every peer). An action may be about
another request than the event: a finished request frees a slot for another one, and a
full queue drops a request of another account. Every granted request must end with
exactly one :class:`RequestFinished` or :class:`RequestCancelled`, also if its backend
server fails; a retry keeps the grant of its request.
"""

from wasabistage.admission._account_limiter import AccountLimiter
from wasabistage.admission._base import AdmissionPolicy
from wasabistage.admission._baselines import FirstComeFirstServed, StrictPriority
from wasabistage.admission._demand_messages import (
    AccountDemand,
    AccountsChanged,
    Allow,
    DemandReport,
    EntriesChanged,
    SendReport,
    SlotShare,
    SlotShareQuery,
)
from wasabistage.admission._entry import EntryAdmission
from wasabistage.admission._hold_policy import HoldPolicy, HoldQuery
from wasabistage.admission._limits import EqualShareLimiter, ShareLimiter
from wasabistage.admission._messages import (
    ACCOUNT_LIMIT,
    DEADLINE_UNREACHABLE,
    EXPIRED,
    NO_CAPACITY,
    NO_ESTIMATE,
    QUEUE_FULL,
    AccountWeightsChanged,
    CapacityChanged,
    Drop,
    FirstByteReceived,
    GrantSlot,
    RankFloorsChanged,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    WaitEstimate,
    WaitQuery,
)
from wasabistage.admission._ranked import RankedFairQueue
from wasabistage.admission._shares import apportion, compute_max_min_shares

__all__ = [
    "ACCOUNT_LIMIT",
    "AccountDemand",
    "AccountLimiter",
    "AccountWeightsChanged",
    "AccountsChanged",
    "AdmissionPolicy",
    "Allow",
    "CapacityChanged",
    "DEADLINE_UNREACHABLE",
    "DemandReport",
    "Drop",
    "EXPIRED",
    "EntriesChanged",
    "EntryAdmission",
    "EqualShareLimiter",
    "FirstByteReceived",
    "FirstComeFirstServed",
    "GrantSlot",
    "HoldPolicy",
    "HoldQuery",
    "NO_CAPACITY",
    "NO_ESTIMATE",
    "QUEUE_FULL",
    "RankFloorsChanged",
    "RankedFairQueue",
    "Refuse",
    "RequestArrived",
    "RequestCancelled",
    "RequestFinished",
    "SendReport",
    "ShareLimiter",
    "SlotShare",
    "SlotShareQuery",
    "StrictPriority",
    "WaitEstimate",
    "WaitQuery",
    "apportion",
    "compute_max_min_shares",
]
