"""Ends an entry process without cutting what is under way."""

import trio

from wasabistage.entry._gossip import ChangePhase
from wasabistage.entry._once import CountUnsettled
from wasabistage.entry._rollout import CountOrders
from wasabistage.membership import (
    CloseListeners,
    DrainPolicy,
    DrainRequested,
    Exit,
    HandOverWork,
    MemberPhase,
    RemainingWork,
    Withdraw,
)
from wasabistage.observe import make_logger

TICK_SECONDS = 0.05
HANDOVER_SHARE = 0.25
log = make_logger("drain")


class Drainer:
    """Carries the steps of the drain out.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param app: the :class:`wasabistage.entry._app.CallerApp`.
    :param completions: the :class:`wasabistage.entry._completions.CompletionServer`.
    :param once: the task of non-idempotent calls.
    :param gossip: the task that talks to peers.
    :param rollout: the task that orders backend servers.
    """

    def __init__(self, context, app, completions, once, gossip, rollout):
        self.context = context
        self.app = app
        self.completions = completions
        self.once = once
        self.gossip = gossip
        self.rollout = rollout
        settings = context.settings
        handover = settings.drain_timeout * HANDOVER_SHARE
        address_time = min(
            settings.address_lifetime, settings.drain_timeout - 2 * handover
        )
        self.policy = DrainPolicy(
            address_time=address_time,
            handover_time=handover,
            bound=settings.drain_timeout,
        ).reset()

    async def run(self):
        """Drain and return once the process may end."""
        now = self.context.timers.now
        self.policy.observe(DrainRequested(), now())
        while True:
            self.policy.observe(await self._count_work(), now())
            for action in self.policy.tick(now()):
                if isinstance(action, Exit):
                    self._report(action)
                    return
                self._carry_out(action)
            await trio.sleep(TICK_SECONDS)

    async def _count_work(self):
        streams = len(self.completions.open_streams)
        outcomes = await self.once.ask(CountUnsettled())
        outcomes += await self.rollout.ask(CountOrders())
        return RemainingWork(
            requests=self.app.running,
            streams=streams,
            outcomes=outcomes,
        )

    def _carry_out(self, action):
        if isinstance(action, Withdraw):
            self.gossip.tell(ChangePhase(phase=MemberPhase.DRAINING))
        elif isinstance(action, CloseListeners):
            self.app.closed = True
        elif isinstance(action, HandOverWork):
            self.completions.hand_over()

    def _report(self, action):
        facts = {
            "cut_requests": action.remaining_work.requests,
            "cut_streams": action.remaining_work.streams,
            "cut_outcomes": action.remaining_work.outcomes,
            "seconds": round(action.elapsed_seconds, 3),
        }
        log.info("drained", extra=facts)
