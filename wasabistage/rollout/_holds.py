"""Grants that this process holds, and the next step of each."""

import math
from dataclasses import dataclass
from enum import Enum, auto

from wasabistage.rollout._messages import (
    AppendRecord,
    ReadServer,
    ReleaseRecord,
    SendOrder,
)


class Progress(Enum):
    """How far the order of a grant held here has come."""

    READING = auto()
    ORDERED = auto()
    ENDED = auto()


@dataclass
class Hold:
    """A grant held by this process; times are monotonic, in seconds."""

    slot: int
    server: str
    fencing: int
    send_until: float
    lapses_at: float
    granted_at: float
    progress: Progress = Progress.READING
    attempt: int = 0
    asked_at: float = -math.inf
    ordered_at: float = -math.inf
    ended_at: float = -math.inf
    release_appended_at: float = -math.inf


class HeldOrders:
    """The grants held here and their orders.

    :param order_time: longest time from the sending of an order to its end, in seconds.
    :param send_time: longest time from the decision for an order to its sending, in
        seconds.
    :param retry_time: wait until a server is asked again, in seconds.
    :param append_time: wait for an append to show in the log before the next try, in
        seconds.
    :param make_id: function that returns a new record id.
    """

    def __init__(self, order_time, send_time, retry_time, append_time, make_id):
        self.order_time = order_time
        self.send_time = send_time
        self.retry_time = retry_time
        self.append_time = append_time
        self.make_id = make_id

    def reset(self):
        """Forget every grant.

        :return: the object itself.
        """
        self.grants_ = {}
        self.draining_ = False
        return self

    def drain(self):
        """Begin no further order; give back each grant once its order has ended."""
        self.draining_ = True

    def take(self, slot, state, started, now):
        """Note a grant that took effect.

        :param slot: number of the slot.
        :param state: the :class:`SlotState` with the grant.
        :param started: when its append began, monotonic seconds.
        :param now: monotonic time, in seconds.
        """
        if state.fencing in self.grants_:
            return
        self.grants_[state.fencing] = Hold(
            slot=slot,
            server=state.grant.server,
            fencing=state.fencing,
            send_until=started + state.grant.lease - self.order_time,
            lapses_at=started + state.grant.lease,
            granted_at=now,
        )

    def keep(self, fencings):
        """Forget the grants that the log says have ended.

        :param fencings: fencing numbers of the grants in force.
        """
        self.grants_ = {f: hold for f, hold in self.grants_.items() if f in fencings}

    def being_ordered(self):
        """Name the servers with an order of this process under way.

        :return: a set of names.
        """
        return {
            hold.server
            for hold in self.grants_.values()
            if hold.progress is Progress.ORDERED
        }

    def end(self, event, now):
        """Note that an order has surely ended.

        :param event: a :class:`OrderEnded`.
        :param now: monotonic time, in seconds.
        """
        hold = self.grants_.get(event.fencing)
        if hold is not None and hold.attempt == event.attempt:
            # What the server says afterwards counts, not the call's own answer.
            hold.progress = Progress.READING
            hold.ended_at = now
            hold.asked_at = -math.inf

    def may_send(self, order, now):
        """Tell whether an order may leave now.

        :param order: the :class:`SendOrder`.
        :param now: monotonic time, in seconds.
        :return: ``True`` if its grant is still held for long enough.
        """
        hold = self.grants_.get(order.fencing)
        if hold is None or hold.progress is not Progress.ORDERED:
            return False
        if hold.attempt != order.attempt:
            return False
        return now <= min(hold.send_until, hold.ordered_at + self.send_time)

    def tick(self, versions, now):
        """Go on with every order.

        :param versions: the :class:`VersionView`.
        :param now: monotonic time, in seconds.
        :return: a list of :class:`AppendRecord`, :class:`ReadServer` and
            :class:`SendOrder`.
        """
        actions = []
        for hold in list(self.grants_.values()):
            actions += self._advance(hold, versions, now)
        return actions

    def _advance(self, hold, versions, now):
        """Return the next actions for a grant held here."""
        if hold.progress is Progress.ORDERED:
            if now - hold.ordered_at <= self.send_time + self.order_time:
                return []
            hold.progress = Progress.READING
            hold.ended_at = now
        if self.draining_:
            hold.progress = Progress.ENDED
        if hold.progress is Progress.ENDED:
            return self._release(hold, now)
        runs = versions.reports_.get(hold.server)
        # What was read while the order was under way may be from before it.
        since = max(hold.granted_at, hold.ended_at)
        if runs is not None and runs.asked_at >= since and not runs.loading:
            return self._compare(hold, runs, versions, now)
        never_sent = hold.attempt == 0 and now > hold.send_until
        if never_sent or now > hold.lapses_at + self.order_time:
            # Out of reach: nothing sent under this grant can be under way any more.
            hold.progress = Progress.ENDED
            return self._release(hold, now)
        if now - hold.asked_at < self.retry_time:
            return []
        hold.asked_at = now
        return [ReadServer(server=hold.server)]

    def _compare(self, hold, runs, versions, now):
        target = versions.targets_.get(hold.server)
        done = target is None or target.met_by(runs.runs) or now > hold.send_until
        if done:
            hold.progress = Progress.ENDED
            return self._release(hold, now)
        hold.progress = Progress.ORDERED
        hold.ordered_at = now
        hold.attempt += 1
        order = SendOrder(
            server=hold.server,
            fencing=hold.fencing,
            attempt=hold.attempt,
            target=target,
        )
        return [order]

    def _release(self, hold, now):
        if now - hold.release_appended_at < self.append_time:
            return []
        hold.release_appended_at = now
        record = ReleaseRecord(
            record_id=self.make_id(), slot=hold.slot, grant=hold.fencing
        )
        return [AppendRecord(record=record)]
