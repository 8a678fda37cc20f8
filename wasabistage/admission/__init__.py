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
    admission.observe(FirstByte(request_id=request_id), now)
    actions = admission.observe(Finished(request_id=request_id, cost=tokens), now)
    actions = admission.observe(Cancelled(request_id=request_id), now)
    # every 50 to 250 ms
    actions = admission.tick(now)

Each action is a :class:`Grant` (dispatch that request now), :class:`Refuse` or
:class:`Drop` (answer it with ``action.as_error()``; it was not run), or
:class:`SendReport` (send ``action.report`` to every peer). Actions name requests
that may not be the one in the event: a finished request frees a slot for another,
and a full queue sheds another account's request. Every granted request must be
ended by exactly one :class:`Finished` or :class:`Cancelled`, also when its backend
server failed; a retry keeps the grant of its request.
"""

from wasabistage.admission._base import AdmissionPolicy
from wasabistage.admission._baselines import FirstComeFirstServed, StrictPriority
from wasabistage.admission._common_limit import CommonLimit
from wasabistage.admission._delays import DelayedRequests, HoldQuery
from wasabistage.admission._demand_messages import (
    AccountDemand,
    AccountsChanged,
    DemandReport,
    EntriesChanged,
    Pass,
    SendReport,
    Share,
    ShareQuery,
)
from wasabistage.admission._entry import EntryAdmission
from wasabistage.admission._limits import PerEntryLimit, ShareLimiter
from wasabistage.admission._messages import (
    ACCOUNT_LIMIT,
    DEADLINE_UNREACHABLE,
    EXPIRED,
    NO_CAPACITY,
    NO_ESTIMATE,
    QUEUE_FULL,
    Arrive,
    Cancelled,
    CapacityChanged,
    Drop,
    Finished,
    FirstByte,
    FloorsChanged,
    Grant,
    Refuse,
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
    "Arrive",
    "Cancelled",
    "CapacityChanged",
    "CommonLimit",
    "DEADLINE_UNREACHABLE",
    "DelayedRequests",
    "DemandReport",
    "Drop",
    "EXPIRED",
    "EntriesChanged",
    "EntryAdmission",
    "Finished",
    "FirstByte",
    "FirstComeFirstServed",
    "FloorsChanged",
    "Grant",
    "HoldQuery",
    "NO_CAPACITY",
    "NO_ESTIMATE",
    "Pass",
    "PerEntryLimit",
    "QUEUE_FULL",
    "RankedFairQueue",
    "Refuse",
    "SendReport",
    "Share",
    "ShareLimiter",
    "ShareQuery",
    "StrictPriority",
    "WaitEstimate",
    "WaitQuery",
    "WeightsChanged",
    "apportion",
    "fill_shares",
]
