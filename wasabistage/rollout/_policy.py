"""Orders to backend servers under leases granted by the log."""

import math

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.rollout._fold import GrantFold
from wasabistage.rollout._holds import HeldOrders
from wasabistage.rollout._messages import (
    AppendEnded,
    AppendRecord,
    CarryRecord,
    DrainStarted,
    GrantRecord,
    LogRecord,
    OrderEnded,
    PlaceChanged,
    ServerReported,
    TargetsChanged,
)
from wasabistage.rollout._versions import VersionView

MAX_SENT_CLAIMS = 256
#: Age of a report from which on other servers are ordered first.
SILENT_SECONDS = 2.0
#: Slots that every instance's fold knows, whatever number is declared at present.
MAX_SLOTS = 64


class RolloutPolicy(Policy):
    """Brings every backend server to its declared target, a few at a time.

    Each order needs a grant for one of ``slots`` slots. A holder counts its lease from
    before its append, others from their reading of the record, so the holder's ends
    first. It stops sending ``order_time`` before the end, so that an order that it did
    send has ended by then. A successor waits ``order_time`` longer than the lease,
    reads what the server runs, and corrects it.

    :param instance: name of this instance.
    :param incarnation: id of this process life.
    :param slots: orders at a time over the whole deployment.
    :param lease: time that a holder may act, in seconds.
    :param order_time: longest time from the sending of an order to its end, in seconds.
    :param send_time: longest time from the decision for an order to its sending, in
        seconds.
    :param stagger: wait per place before this instance begins, in seconds.
    :param retry_time: wait until a server is asked again, in seconds.
    :param append_time: wait for an append to show in the log before the next try, in
        seconds.
    :param keep_share: share of a model's reporting servers that go on serving new
        requests while one of them is changed.
    :param fresh_time: age up to which a server counts as reporting, in seconds.
    :param serve_old: whether new requests may use servers that still report the
        version declared before; each request then keeps to that one version.
    :param carry_time: time between records that carry the slots forward, in seconds;
        well below half the time that the log keeps records.
    :param first_offset: offset from which the log is read; above 0 if it was trimmed.
    """

    def __init__(
        self,
        instance,
        incarnation,
        *,
        slots=2,
        lease=10.0,
        order_time=3.0,
        send_time=1.0,
        stagger=0.5,
        retry_time=0.5,
        append_time=2.0,
        keep_share=0.5,
        fresh_time=10.0,
        serve_old=False,
        carry_time=600.0,
        first_offset=0,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.slots = slots
        self.lease = lease
        self.order_time = order_time
        self.send_time = send_time
        self.stagger = stagger
        self.retry_time = retry_time
        self.append_time = append_time
        self.keep_share = keep_share
        self.fresh_time = fresh_time
        self.serve_old = serve_old
        self.carry_time = carry_time
        self.first_offset = first_offset

    def reset(self):
        """Check the arguments and forget everything learned.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if not 0 < self.order_time < self.lease / 2:
            raise SettingError(
                "order_time must be positive and below half the lease",
                remedy="raise the lease above twice the longest order",
            )
        self.fold_ = GrantFold(MAX_SLOTS, self.first_offset).reset()
        self.version_view_ = VersionView(self.serve_old).reset()
        self.place_ = 0
        self.declared_slots_ = 0
        self.held_grants_ = HeldOrders(
            self.order_time,
            self.send_time,
            self.retry_time,
            self.append_time,
            self._record_id,
        ).reset()
        self.claims_ = {}
        self.seen_at_ = {}
        self.wanted_since_ = {}
        self.progress_at_ = -math.inf
        self.next_append_ = -math.inf
        self.carry_due_ = None
        self.counter_ = 0
        return self

    def slot_count(self):
        """Return the number of slots.

        :return: orders at a time over the whole deployment.
        """
        return min(self.declared_slots_ or self.slots, MAX_SLOTS)

    def observe(self, event, now):
        """Learn from the log, the configuration, a server or an ended order.

        :param event: :class:`LogRecord`, :class:`AppendEnded`,
            :class:`TargetsChanged`, :class:`PlaceChanged`, :class:`DrainStarted`,
            :class:`ServerReported` or :class:`OrderEnded`.
        :param now: monotonic time, in seconds.
        """
        match event:
            case LogRecord():
                self._observe_record(event, now)
            case AppendEnded():
                self.next_append_ = min(self.next_append_, now + self.append_time)
            case TargetsChanged():
                if self.version_view_.declare(event):
                    self.wanted_since_ = {}
                    self.declared_slots_ = event.slots
            case PlaceChanged():
                self.place_ = event.place
            case DrainStarted():
                self.held_grants_.drain()
            case ServerReported():
                self.version_view_.report(event)
            case OrderEnded():
                self.held_grants_.end(event, now)

    def decide(self, query, now):
        """Name the servers that a new request may use.

        :param query: a :class:`RoutableQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`RoutableServers`, or :data:`NO_VERSION`.
        """
        return self.version_view_.routable(query, self.held_grants_.being_ordered())

    def tick(self, now):
        """Go on with the orders held here and claim slots.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`AppendRecord`, :class:`ReadServer` and
            :class:`SendOrder`.
        """
        actions = self._carry(now) + self.held_grants_.tick(self.version_view_, now)
        may_claim = self.fold_.complete_ and not self.held_grants_.draining_
        if may_claim and now >= self.next_append_:
            takeover = self._next_takeover(now)
            claims = [takeover] if takeover else self._next_claims(now)
            for claim in claims:
                self.next_append_ = now + self.append_time
                self._remember_claim(claim, now)
                actions.append(AppendRecord(record=claim))
        return actions

    def may_send(self, order, now):
        """Tell whether an order may leave now.

        Call it after every suspension point and right before the send, without a
        suspension point between. An order that was held up for ``send_time`` may not
        leave any more, or it would meet the next attempt of the same grant.

        :param order: the :class:`SendOrder`.
        :param now: monotonic time, read for this call, in seconds.
        :return: ``True`` if the grant is still held for long enough.
        """
        return self.held_grants_.may_send(order, now)

    def _observe_record(self, event, now):
        record = event.record
        if isinstance(record, CarryRecord):
            self._plan_carry(now)
        if not self.fold_.apply(event.offset, record):
            self._drop_claim(record, now)
            return
        self.progress_at_ = now
        for slot, state in self.fold_.get_granted_slots():
            self.seen_at_.setdefault(state.fencing, now)
            mine = state.grant.incarnation == self.incarnation
            if mine and state.fencing not in self.held_grants_.grants_:
                self._take_hold(slot, state, now)
        held = {state.fencing for _, state in self.fold_.get_granted_slots()}
        self.held_grants_.keep(held)
        self.seen_at_ = {f: at for f, at in self.seen_at_.items() if f in held}

    def _plan_carry(self, now):
        # Later places wait longer, so that mostly one instance writes.
        self.carry_due_ = now + self.carry_time + self.place_ * self.append_time

    def _carry(self, now):
        if self.carry_due_ is None:
            self._plan_carry(now)
        if not self.fold_.complete_ or now < self.carry_due_:
            return []
        self._plan_carry(now)
        return [AppendRecord(record=self.fold_.carry(self._record_id()))]

    def _drop_claim(self, record, now):
        if getattr(record, "record_id", None) in self.claims_:
            del self.claims_[record.record_id]
            self.next_append_ = min(self.next_append_, now)

    def _take_hold(self, slot, state, now):
        # A claim that isn't remembered is so old that nothing may be sent for it.
        started = self.claims_.pop(state.grant.record_id, -math.inf)
        self.next_append_ = min(self.next_append_, now)
        self.held_grants_.take(slot, state, started, now)

    def _next_takeover(self, now):
        for slot, state in self.fold_.get_granted_slots():
            if state.fencing in self.held_grants_.grants_:
                continue
            wait = state.grant.lease + self.order_time + self.place_ * self.stagger
            if now > self.seen_at_[state.fencing] + wait:
                return self._claim(slot, state, state.grant.server)
        return None

    def _next_claims(self, now):
        free = [
            slot
            for slot in range(self.slot_count())
            if self.fold_.state(slot).grant is None
        ]
        ordered = {state.grant.server for _, state in self.fold_.get_granted_slots()}
        # A slot above the declared number may be held still.
        free = free[: max(0, self.slot_count() - len(ordered))]
        claims = []
        for server in self._freshest_first(now):
            if len(claims) == len(free):
                break
            if server not in ordered and self._is_due(server, len(claims), now):
                slot = free[len(claims)]
                claims.append(self._claim(slot, self.fold_.state(slot), server))
        return claims

    def _freshest_first(self, now):
        """Return the servers; those that went silent, maybe for good, come last."""
        runs = self.version_view_.reports_

        def is_silent(server):
            return server in runs and now - runs[server].asked_at > SILENT_SECONDS

        return sorted(self.version_view_.targets_, key=is_silent)

    def _is_due(self, server, claimed, now):
        if not self.version_view_.is_due(server, now - self.fresh_time):
            self.wanted_since_.pop(server, None)
            return False
        since = self.wanted_since_.setdefault(server, now)
        # While others get on, it isn't this instance's turn.
        if now - max(since, self.progress_at_) < self.place_ * self.stagger:
            return False
        return self._keeps_capacity(server, claimed, now)

    def _keeps_capacity(self, server, claimed, now):
        busy = {state.grant.server for _, state in self.fold_.get_granted_slots()}
        if server in busy or not self.version_view_.serves(server):
            return True
        peers = self.version_view_.reporting_peers(server, now - self.fresh_time)
        serving = sum(
            name not in busy and self.version_view_.serves(name) for name in peers
        )
        return serving - claimed - 1 >= math.floor(self.keep_share * len(peers))

    def _claim(self, slot, state, server):
        return GrantRecord(
            record_id=self._record_id(),
            slot=slot,
            server=server,
            holder=self.instance,
            incarnation=self.incarnation,
            lease=self.lease,
            supersedes=state.last,
            config_version=self.version_view_.config_version_,
        )

    def _remember_claim(self, claim, now):
        self.claims_[claim.record_id] = now
        if len(self.claims_) > MAX_SENT_CLAIMS:
            del self.claims_[next(iter(self.claims_))]

    def _record_id(self):
        self.counter_ += 1
        return f"{self.incarnation}/{self.counter_}"
