"""Admission of requests: ranks, fairness, limits and deadlines.

Wiring into a task. One task owns one :class:`EntryAdmission`, feeds it events and
carries the returned actions out::

    admission = EntryAdmission(
        limiter=ShareLimiter(entry=name, accounts=deployment.accounts),
        queue=RankedFairQueue(rank_floors=deployment.rank_floors),
    ).reset()

    # slots of all the service's backend servers together, whenever they change
    admission.observe(CapacityChanged(service=service, slots=slots), now)
    # the entry instances, whenever they change; a peer's report, when it comes
    admission.observe(EntriesChanged(members={"entry-1": 1, "entry-2": 1}), now)
    admission.observe(report, now)
    # a request arrives; its answer's first byte; its end, or its caller gone
    actions = admission.observe(arrive, now)
    admission.observe(FirstByteReceived(request_id=request_id), now)
    actions = admission.observe(RequestFinished(request_id=request_id, cost=tokens), now)
    actions = admission.observe(RequestCancelled(request_id=request_id), now)
    # every 50 to 250 ms
    actions = admission.tick(now)

Each action is a :class:`GrantSlot` (dispatch that request now), :class:`Refuse` or
:class:`Drop` (answer it with ``action.build_error()``; it was not run), or
:class:`SendReport` (send ``action.report`` to every peer). Actions name requests
that may not be the one in the event: a finished request frees a slot for another, and a
full queue sheds another account's request. Every granted request must be ended by
exactly one :class:`RequestFinished` or :class:`RequestCancelled`, also when its backend
server failed; a retry keeps the grant of its request.
"""

from wasabistage.admission._base import AdmissionPolicy
from wasabistage.admission._baselines import FirstComeFirstServed, StrictPriority
from wasabistage.admission._common_limit import CommonLimit
from wasabistage.admission._delays import DelayedRequests, HoldQuery
from wasabistage.admission._demand_messages import (
    AccountDemand,
    AccountsChanged,
    Allow,
    DemandReport,
    EntriesChanged,
    SendReport,
    Share,
    SlotShareQuery,
)
from wasabistage.admission._entry import EntryAdmission
from wasabistage.admission._limits import EqualShareLimiter, ShareLimiter
from wasabistage.admission._messages import (
    ACCOUNT_LIMIT,
    DEADLINE_UNREACHABLE,
    EXPIRED,
    NO_CAPACITY,
    NO_ESTIMATE,
    QUEUE_FULL,
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
    WeightsChanged,
)
from wasabistage.admission._ranked import RankedFairQueue
from wasabistage.admission._shares import apportion, fill_shares

__all__ = [
    "ACCOUNT_LIMIT",
    "AccountDemand",
    "AccountsChanged",
    "AdmissionPolicy",
    "RequestArrived",
    "RequestCancelled",
    "CapacityChanged",
    "CommonLimit",
    "DEADLINE_UNREACHABLE",
    "DelayedRequests",
    "DemandReport",
    "Drop",
    "EXPIRED",
    "EntriesChanged",
    "EntryAdmission",
    "RequestFinished",
    "FirstByteReceived",
    "FirstComeFirstServed",
    "RankFloorsChanged",
    "GrantSlot",
    "HoldQuery",
    "NO_CAPACITY",
    "NO_ESTIMATE",
    "Allow",
    "EqualShareLimiter",
    "QUEUE_FULL",
    "RankedFairQueue",
    "Refuse",
    "SendReport",
    "Share",
    "ShareLimiter",
    "SlotShareQuery",
    "StrictPriority",
    "WaitEstimate",
    "WaitQuery",
    "WeightsChanged",
    "apportion",
    "fill_shares",
]
