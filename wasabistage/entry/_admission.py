"""The task that admits requests."""

from dataclasses import dataclass

import trio

from wasabistage.admission import (
    AccountsChanged,
    CapacityChanged,
    DemandReport,
    EntriesChanged,
    EntryAdmission,
    FirstByteReceived,
    GrantSlot,
    RankedFairQueue,
    RankFloorsChanged,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    SendReport,
    ShareLimiter,
)
from wasabistage.entry._gossip import ReportLoad
from wasabistage.entry._task import LATER, TickingTask
from wasabistage.exceptions import WasabistageError
from wasabistage.membership import MemberState
from wasabistage.observe import make_logger

LOAD_STEP = 0.05
log = make_logger("admission")
LIVE_STATES = (MemberState.SERVING, MemberState.DRAINING, MemberState.SUSPECT)


@dataclass(frozen=True, kw_only=True)
class SlotsOfService:
    """Tells the slots of a service's backend servers together.

    :param service: name of the service.
    :param slots: requests that they run at a time.
    """

    service: str
    slots: int


class AdmissionTask(TickingTask):
    """Owns the queues and limits of this entry.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    """

    name = "admission"
    tick_seconds = 0.1

    def __init__(self, context):
        super().__init__(context)
        deployment = context.config.value.deployment
        self.policy = EntryAdmission(
            limiter=ShareLimiter(
                entry=context.settings.name,
                accounts=deployment.accounts,
                incarnation=int(context.incarnation[:12], 16),
            ),
            queue=RankedFairQueue(rank_floors=deployment.rank_floors),
        ).reset()
        self.waiting = {}
        self.gossip = None
        self.deployment = deployment
        self.members = {}
        self.slots = {}
        self.load = 1.0

    async def handle(self, message, reply):
        """Handle a message; see :meth:`Task.handle`."""
        now = self.context.timers.now()
        match message:
            case RequestArrived():
                self.waiting[message.request_id] = reply
                self._carry_out(self.policy.observe(message, now))
            case (
                DemandReport()
                | FirstByteReceived()
                | RequestFinished()
                | RequestCancelled()
            ):
                if isinstance(message, RequestCancelled):
                    self.waiting.pop(message.request_id, None)
                self._carry_out(self.policy.observe(message, now))
            case SlotsOfService():
                self._set_slots(message, now)
            case _:
                self._tick(now)
        return LATER

    def _tick(self, now):
        self._follow_config(now)
        self._follow_members(now)
        self._report_load()
        self._carry_out(self.policy.tick(now))

    def _report_load(self):
        """Tell the peers how full this entry is; full while it knows no slot.

        Addresses of a full entry are answered last, so that callers leave one alone
        that has just started.
        """
        running = sum(self.policy.limiter_.in_flight_counts_.values())
        share = sum(self.slots.values()) / max(1, len(self.members))
        load = min(1.0, running / share) if share else 1.0
        if self.gossip is not None and abs(load - self.load) >= LOAD_STEP:
            self.load = load
            self.gossip.tell(ReportLoad(load=load))

    def _set_slots(self, message, now):
        if self.slots.get(message.service) == message.slots:
            return
        self.slots[message.service] = message.slots
        event = CapacityChanged(service=message.service, slots=message.slots)
        self._carry_out(self.policy.observe(event, now))

    def _follow_config(self, now):
        deployment = self.context.config.value.deployment
        if deployment is self.deployment:
            return
        self.deployment = deployment
        event = AccountsChanged(accounts=deployment.accounts)
        self._carry_out(self.policy.observe(event, now))
        floors = RankFloorsChanged(floors=deployment.rank_floors)
        self._carry_out(self.policy.observe(floors, now))

    def _follow_members(self, now):
        view = self.gossip.view.value if self.gossip else None
        if view is None:
            return
        members = {m.instance: 1 for m in view.members if m.state in LIVE_STATES}
        members[self.context.settings.name] = 1
        if members != self.members:
            self.members = members
            event = EntriesChanged(members=members)
            self._carry_out(self.policy.observe(event, now))

    def _carry_out(self, actions):
        for action in actions or ():
            match action:
                case GrantSlot():
                    reply = self.waiting.pop(action.request_id, None)
                    if reply is not None:
                        reply.set(action)
                case Refuse():
                    reason = action.reason.name.lower()
                    self.metrics.count("request.refused", label=reason)
                    log.info(
                        "a request was refused",
                        extra={"request_id": action.request_id, "reason": reason},
                    )
                    reply = self.waiting.pop(action.request_id, None)
                    if reply is not None:
                        reply.fail(action.build_error())
                case SendReport():
                    if self.gossip is not None:
                        self.gossip.tell(action.report)

    async def acquire(self, arrive):
        """Wait for a slot.

        :param arrive: a :class:`wasabistage.admission.RequestArrived`.
        :return: a :class:`Slot`, to be released by the caller.
        :raises WasabistageError: if the request is refused; it was not run.
        """
        try:
            await self.ask(arrive)
        except trio.Cancelled:
            self.tell(RequestCancelled(request_id=arrive.request_id))
            raise
        except WasabistageError:
            self.metrics.count("request.refused", label=arrive.rank.name.lower())
            raise
        return Slot(self, arrive.request_id)


class Slot:
    """A granted slot.

    :param admission: the :class:`AdmissionTask`.
    :param request_id: identifier of the request.
    """

    def __init__(self, admission, request_id):
        self.admission = admission
        self.request_id = request_id
        self.cost = None
        self.released = False

    def first_byte(self):
        """Tell that the first byte of the answer arrived."""
        self.admission.tell(FirstByteReceived(request_id=self.request_id))

    def release(self):
        """Give the slot back, once."""
        if self.released:
            return
        self.released = True
        self.admission.tell(RequestFinished(request_id=self.request_id, cost=self.cost))
