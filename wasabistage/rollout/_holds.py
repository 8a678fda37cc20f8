"""Grants held by this process, and the next action for each."""

import math
from dataclasses import dataclass
from enum import Enum, auto

from wasabistage.rollout._messages import (
    AppendRecord,
    ReadServer,
    ReleaseRecord,
    SendOrder,
)


class GrantPhase(Enum):
    """Phase of a held grant."""

    #: A report of the server is awaited.
    READING = auto()
    #: An order is being sent or carried out.
    ORDERING = auto()
    #: No further order is sent; the release is not in the log yet.
    RELEASING = auto()


@dataclass
class HeldGrant:
    """A grant held by this process; times are monotonic, in seconds.

    :param slot: number of the slot.
    :param server: name of the backend server.
    :param fencing: fencing number of the grant.
    :param send_deadline: time up to which an order may be sent.
    :param expires_at: end of the lease.
    :param granted_at: time when the grant was read from the log.
    :param phase: a :class:`GrantPhase`.
    :param attempt: number of the last order; 0 before the first.
    :param read_requested_at: time of the last :class:`ReadServer`.
    :param ordered_at: time when the last order was decided on.
    :param order_ended_at: time when the last order had ended.
    :param release_appended_at: time of the last append of the release.
    """

    slot: int
    server: str
    fencing: int
    send_deadline: float
    expires_at: float
    granted_at: float
    phase: GrantPhase = GrantPhase.READING
    attempt: int = 0
    read_requested_at: float = -math.inf
    ordered_at: float = -math.inf
    order_ended_at: float = -math.inf
    release_appended_at: float = -math.inf


class HeldGrants:
    """Grants held by this process and their orders.

    :param order_time: longest time from the sending of an order to its end, in seconds.
    :param send_time: longest time from the decision on an order to its sending, in
        seconds.
    :param retry_time: time until a server is read again, in seconds.
    :param append_time: time until a release that does not show in the log is appended
        again, in seconds.
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
        """Start no further order; release each grant once its order has ended."""
        self.draining_ = True

    def add(self, slot, state, append_started_at, now):
        """Add a grant that was accepted.

        :param slot: number of the slot.
        :param state: the :class:`SlotState` with the grant.
        :param append_started_at: time when the append of the grant started, monotonic,
            in seconds.
        :param now: monotonic time, in seconds.
        """
        if state.fencing in self.grants_:
            return
        self.grants_[state.fencing] = HeldGrant(
            slot=slot,
            server=state.grant.server,
            fencing=state.fencing,
            send_deadline=append_started_at + state.grant.lease - self.order_time,
            expires_at=append_started_at + state.grant.lease,
            granted_at=now,
        )

    def remove_ended(self, fencings):
        """Remove the grants that have ended according to the log.

        :param fencings: fencing numbers of the grants in force.
        """
        self.grants_ = {f: held for f, held in self.grants_.items() if f in fencings}

    def get_servers_being_ordered(self):
        """Return the servers to which this process has an order in progress.

        :return: a set of names.
        """
        return {
            held.server
            for held in self.grants_.values()
            if held.phase is GrantPhase.ORDERING
        }

    def record_order_end(self, event, now):
        """Record that an order is known to have ended.

        :param event: an :class:`OrderEnded`.
        :param now: monotonic time, in seconds.
        """
        held = self.grants_.get(event.fencing)
        if held is not None and held.attempt == event.attempt:
            # The answer to the order is not relied on; the server is read again.
            held.phase = GrantPhase.READING
            held.order_ended_at = now
            held.read_requested_at = -math.inf

    def may_send(self, order, now):
        """Return whether an order may be sent now.

        :param order: the :class:`SendOrder`.
        :param now: monotonic time, in seconds.
        :return: ``True`` if the order is the last one of its grant, and neither the
            send deadline of the grant nor ``send_time`` has passed.
        """
        held = self.grants_.get(order.fencing)
        if held is None or held.phase is not GrantPhase.ORDERING:
            return False
        if held.attempt != order.attempt:
            return False
        return now <= min(held.send_deadline, held.ordered_at + self.send_time)

    def tick(self, versions, now):
        """Return the next actions for all held grants.

        :param versions: the :class:`VersionView`.
        :param now: monotonic time, in seconds.
        :return: a list of :class:`AppendRecord`, :class:`ReadServer` and
            :class:`SendOrder`.
        """
        actions = []
        for held in list(self.grants_.values()):
            actions += self._advance(held, versions, now)
        return actions

    def _advance(self, held, versions, now):
        """Return the next actions for a held grant."""
        if held.phase is GrantPhase.ORDERING:
            if now - held.ordered_at <= self.send_time + self.order_time:
                return []
            held.phase = GrantPhase.READING
            held.order_ended_at = now
        if self.draining_:
            held.phase = GrantPhase.RELEASING
        if held.phase is GrantPhase.RELEASING:
            return self._release(held, now)
        report = versions.reports_.get(held.server)
        # A report that was requested while the order was in progress may describe the
        # state before the order.
        since = max(held.granted_at, held.order_ended_at)
        if report is not None and report.asked_at >= since and not report.loading:
            return self._compare(held, report, versions, now)
        never_sent = held.attempt == 0 and now > held.send_deadline
        if never_sent or now > held.expires_at + self.order_time:
            # The server does not answer, but no order of this grant can be in progress.
            held.phase = GrantPhase.RELEASING
            return self._release(held, now)
        if now - held.read_requested_at < self.retry_time:
            return []
        held.read_requested_at = now
        return [ReadServer(server=held.server)]

    def _compare(self, held, report, versions, now):
        """Order the server if it does not match its target; release otherwise."""
        target = versions.targets_.get(held.server)
        is_done = (
            target is None or target.is_met_by(report.runs) or now > held.send_deadline
        )
        if is_done:
            held.phase = GrantPhase.RELEASING
            return self._release(held, now)
        held.phase = GrantPhase.ORDERING
        held.ordered_at = now
        held.attempt += 1
        order = SendOrder(
            server=held.server,
            fencing=held.fencing,
            attempt=held.attempt,
            target=target,
        )
        return [order]

    def _release(self, held, now):
        if now - held.release_appended_at < self.append_time:
            return []
        held.release_appended_at = now
        record = ReleaseRecord(
            record_id=self.make_id(), slot=held.slot, grant=held.fencing
        )
        return [AppendRecord(record=record)]
