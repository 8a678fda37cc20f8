"""Policy that orders backend servers under leases granted by the log."""

import math

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.rollout._fold import GrantFold
from wasabistage.rollout._holds import HeldGrants
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

MAX_PENDING_GRANTS = 256
#: Servers whose last report is older than this are ordered after the others.
STALE_REPORT_SECONDS = 2.0
#: Number of slots in the fold of every instance, and the bound on the declared number.
MAX_SLOTS = 64


class RolloutPolicy(Policy):
    """Policy that orders backend servers to run their declared targets.

    Each order needs a grant for one of ``slots`` slots, which bounds the concurrent
    orders of the deployment. The holder counts its lease from before it appends the
    grant, other instances from when they read it, so the lease ends first for the
    holder. The holder sends no order in the last ``order_time`` of its lease, so that
    every order has ended by the end of the lease. A successor waits for the lease and a
    further ``order_time``, reads what the server runs, and orders it again if needed.

    :param instance: name of this instance.
    :param incarnation: id of this process life.
    :param slots: number of slots, unless the configuration declares another number.
    :param lease: duration of a grant, in seconds.
    :param order_time: longest time from the sending of an order to its end, in seconds.
    :param send_time: longest time from the decision on an order to its sending, in
        seconds.
    :param stagger: delay per place of the instance before it appends a grant, in
        seconds.
    :param retry_time: time until a server is read again, in seconds.
    :param append_time: time until a record that does not show in the log is appended
        again, in seconds.
    :param keep_share: fraction of a model's reporting servers that must keep serving
        new requests while others are ordered.
    :param fresh_time: age up to which a report counts, in seconds.
    :param serve_old: whether new requests may use servers that still report the
        version declared before; each request then uses that version throughout.
    :param carry_time: interval of carry records, in seconds; set it well below half the
        retention period of the log.
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
        :raises SettingError: if ``order_time`` is not above 0 and below half the lease.
        """
        if not 0 < self.order_time < self.lease / 2:
            raise SettingError(
                f"order_time is {self.order_time} s; it must be above 0 and below half"
                f" the lease, {self.lease / 2} s",
                remedy="set lease to more than twice order_time, or lower order_time",
            )
        self.fold_ = GrantFold(MAX_SLOTS, self.first_offset).reset()
        self.version_view_ = VersionView(self.serve_old).reset()
        self.place_ = 0
        self.declared_slots_ = 0
        self.held_grants_ = HeldGrants(
            self.order_time,
            self.send_time,
            self.retry_time,
            self.append_time,
            self._make_record_id,
        ).reset()
        self.pending_grants_ = {}
        self.grant_read_at_ = {}
        self.due_since_ = {}
        self.last_accepted_at_ = -math.inf
        self.next_append_at_ = -math.inf
        self.next_carry_at_ = None
        self.record_count_ = 0
        return self

    def get_slot_count(self):
        """Return the number of slots.

        :return: bound on the concurrent orders of the deployment.
        """
        return min(self.declared_slots_ or self.slots, MAX_SLOTS)

    def observe(self, event, now):
        """Learn from the log, the configuration, a server's report or an ended order.

        :param event: :class:`LogRecord`, :class:`AppendEnded`,
            :class:`TargetsChanged`, :class:`PlaceChanged`, :class:`DrainStarted`,
            :class:`ServerReported` or :class:`OrderEnded`.
        :param now: monotonic time, in seconds.
        """
        match event:
            case LogRecord():
                self._observe_record(event, now)
            case AppendEnded():
                self.next_append_at_ = min(self.next_append_at_, now + self.append_time)
            case TargetsChanged():
                if self.version_view_.set_targets(event):
                    self.due_since_ = {}
                    self.declared_slots_ = event.slots
            case PlaceChanged():
                self.place_ = event.place
            case DrainStarted():
                self.held_grants_.drain()
            case ServerReported():
                self.version_view_.record_report(event)
            case OrderEnded():
                self.held_grants_.record_order_end(event, now)

    def decide(self, query, now):
        """Select the servers that a new request may use.

        :param query: a :class:`RoutableQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`RoutableServers`, or :data:`NO_VERSION`.
        """
        return self.version_view_.select_routable(
            query, self.held_grants_.get_servers_being_ordered()
        )

    def tick(self, now):
        """Return the next actions for the held grants, and the grants to append.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`AppendRecord`, :class:`ReadServer` and
            :class:`SendOrder`.
        """
        actions = self._append_due_carry(now) + self.held_grants_.tick(
            self.version_view_, now
        )
        may_append = self.fold_.complete_ and not self.held_grants_.draining_
        if may_append and now >= self.next_append_at_:
            takeover = self._select_takeover(now)
            grants = [takeover] if takeover else self._select_grants(now)
            for grant in grants:
                self.next_append_at_ = now + self.append_time
                self._add_pending_grant(grant, now)
                actions.append(AppendRecord(record=grant))
        return actions

    def may_send(self, order, now):
        """Return whether an order may be sent now.

        Call it after every suspension point and right before the send, with no
        suspension point between the call and the send. An order that was delayed for
        longer than ``send_time`` is not sent, as it could overlap with the next order
        of the same grant.

        :param order: the :class:`SendOrder`.
        :param now: monotonic time, read for this call, in seconds.
        :return: ``True`` if the order may be sent.
        """
        return self.held_grants_.may_send(order, now)

    def _observe_record(self, event, now):
        record = event.record
        if isinstance(record, CarryRecord):
            self._schedule_carry(now)
        if not self.fold_.apply(event.offset, record):
            self._remove_rejected_grant(record, now)
            return
        self.last_accepted_at_ = now
        for slot, state in self.fold_.get_granted_slots():
            self.grant_read_at_.setdefault(state.fencing, now)
            is_own = state.grant.incarnation == self.incarnation
            if is_own and state.fencing not in self.held_grants_.grants_:
                self._add_held_grant(slot, state, now)
        in_force = {state.fencing for _, state in self.fold_.get_granted_slots()}
        self.held_grants_.remove_ended(in_force)
        self.grant_read_at_ = {
            f: at for f, at in self.grant_read_at_.items() if f in in_force
        }

    def _schedule_carry(self, now):
        # The delay by place lets one instance write most of the carry records.
        self.next_carry_at_ = now + self.carry_time + self.place_ * self.append_time

    def _append_due_carry(self, now):
        if self.next_carry_at_ is None:
            self._schedule_carry(now)
        if not self.fold_.complete_ or now < self.next_carry_at_:
            return []
        self._schedule_carry(now)
        return [
            AppendRecord(record=self.fold_.build_carry_record(self._make_record_id()))
        ]

    def _remove_rejected_grant(self, record, now):
        if getattr(record, "record_id", None) in self.pending_grants_:
            del self.pending_grants_[record.record_id]
            self.next_append_at_ = min(self.next_append_at_, now)

    def _add_held_grant(self, slot, state, now):
        # The append of a grant that is no longer pending started at an unknown time, so
        # its lease counts as expired and no order is sent under it.
        started_at = self.pending_grants_.pop(state.grant.record_id, -math.inf)
        self.next_append_at_ = min(self.next_append_at_, now)
        self.held_grants_.add(slot, state, started_at, now)

    def _select_takeover(self, now):
        """Return a grant that supersedes an expired one, or ``None``."""
        for slot, state in self.fold_.get_granted_slots():
            if state.fencing in self.held_grants_.grants_:
                continue
            wait = state.grant.lease + self.order_time + self.place_ * self.stagger
            if now > self.grant_read_at_[state.fencing] + wait:
                return self._build_grant(slot, state, state.grant.server)
        return None

    def _select_grants(self, now):
        """Return grants on free slots for the servers that are to be ordered next."""
        free = [
            slot
            for slot in range(self.get_slot_count())
            if self.fold_.state(slot).grant is None
        ]
        granted_servers = {
            state.grant.server for _, state in self.fold_.get_granted_slots()
        }
        # Slots above the current number of slots may still have a grant in force.
        free = free[: max(0, self.get_slot_count() - len(granted_servers))]
        grants = []
        for server in self._sort_stale_last(now):
            if len(grants) == len(free):
                break
            if server not in granted_servers and self._may_order(
                server, len(grants), now
            ):
                slot = free[len(grants)]
                grants.append(self._build_grant(slot, self.fold_.state(slot), server))
        return grants

    def _sort_stale_last(self, now):
        """Return the declared servers, those with a stale report last."""
        reports = self.version_view_.reports_

        def is_stale(server):
            return (
                server in reports
                and now - reports[server].asked_at > STALE_REPORT_SECONDS
            )

        return sorted(self.version_view_.targets_, key=is_stale)

    def _may_order(self, server, selected_count, now):
        if not self.version_view_.differs_from_target(server, now - self.fresh_time):
            self.due_since_.pop(server, None)
            return False
        since = self.due_since_.setdefault(server, now)
        # While records of other instances are accepted, this one keeps waiting.
        if now - max(since, self.last_accepted_at_) < self.place_ * self.stagger:
            return False
        return self._leaves_capacity(server, selected_count, now)

    def _leaves_capacity(self, server, selected_count, now):
        """Return whether enough servers keep serving while a server is ordered."""
        granted_servers = {
            state.grant.server for _, state in self.fold_.get_granted_slots()
        }
        if server in granted_servers or not self.version_view_.can_serve(server):
            return True
        peers = self.version_view_.find_reporting_peers(server, now - self.fresh_time)
        serving = sum(
            name not in granted_servers and self.version_view_.can_serve(name)
            for name in peers
        )
        return serving - selected_count - 1 >= math.floor(self.keep_share * len(peers))

    def _build_grant(self, slot, state, server):
        return GrantRecord(
            record_id=self._make_record_id(),
            slot=slot,
            server=server,
            holder=self.instance,
            incarnation=self.incarnation,
            lease=self.lease,
            supersedes=state.last,
            config_version=self.version_view_.config_version_,
        )

    def _add_pending_grant(self, grant, now):
        self.pending_grants_[grant.record_id] = now
        if len(self.pending_grants_) > MAX_PENDING_GRANTS:
            del self.pending_grants_[next(iter(self.pending_grants_))]

    def _make_record_id(self):
        self.record_count_ += 1
        return f"{self.incarnation}/{self.record_count_}"
