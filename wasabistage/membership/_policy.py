"""Estimate of which entry instances are live, from heartbeats, list and calls."""

import math

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.membership._messages import (
    MAX_SILENT_INSTANCES,
    Heartbeat,
    HeartbeatQuery,
    IncarnationQuery,
    IncarnationState,
    InstancesListed,
    Member,
    MemberChanged,
    MemberPhase,
    MemberState,
    MemberView,
    MemberViewQuery,
    PeerCallEnded,
    SendHeartbeats,
)
from wasabistage.membership._records import MemberRecord

CANDIDATE_STATES = (MemberState.SERVING,)


class MembershipPolicy(Policy):
    """Failure detector that combines heartbeats, the platform's list and own calls.

    An instance is *silent* if this one hasn't heard it for ``suspect_after``, if its
    connections are refused, or if several calls in a row failed. A silent instance
    is *suspect*. It is *gone* if enough witnesses report it as silent as well, if
    the list no longer contains it, or if it isn't heard for ``gone_after``. A witness
    is another member that isn't silent here.

    If fewer than ``min_candidates`` members are serving, suspect and then gone
    members fill up the candidates, those heard last first. A fault of a single source
    thus never leaves them empty. Members in the state draining are no candidates.

    :param instance: name of this instance.
    :param incarnation: id of this instance's incarnation.
    :param failure_domain: this instance's failure domain.
    :param caller_address: this instance's ``IP:PORT`` for callers.
    :param peer_address: this instance's ``IP:PORT`` for other entry instances.
    :param interval: time between heartbeats, in seconds.
    :param suspect_after: silence after which an instance is suspect, in seconds.
    :param gone_after: silence after which an instance is gone even without
        witnesses, in seconds.
    :param forget_after: silence after which an unlisted instance is removed from the
        table, in seconds.
    :param witnesses: number of witnesses that must report a silent instance; all
        witnesses, if there are fewer.
    :param failures: failed calls in a row that count as silence.
    :param min_candidates: number of candidates up to which suspect and gone members
        are added.
    :param max_members: maximum number of instances in the table; heartbeats and list
        entries of further instances are dropped and counted in
        ``dropped_instances_``.
    """

    def __init__(
        self,
        instance,
        incarnation,
        *,
        failure_domain="",
        caller_address="",
        peer_address="",
        interval=0.5,
        suspect_after=1.75,
        gone_after=15.0,
        forget_after=120.0,
        witnesses=2,
        failures=3,
        min_candidates=2,
        max_members=1024,
    ):
        self.instance = instance
        self.incarnation = incarnation
        self.failure_domain = failure_domain
        self.caller_address = caller_address
        self.peer_address = peer_address
        self.interval = interval
        self.suspect_after = suspect_after
        self.gone_after = gone_after
        self.forget_after = forget_after
        self.witnesses = witnesses
        self.failures = failures
        self.min_candidates = min_candidates
        self.max_members = max_members

    def reset(self):
        """Check the arguments and remove every member.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if not self.instance or not self.incarnation:
            raise SettingError(
                f"instance is {self.instance!r} and incarnation is "
                f"{self.incarnation!r}; neither may be empty",
                remedy="set the name of the instance in its settings",
            )
        if not 0 < self.interval < self.suspect_after < self.gone_after:
            raise SettingError(
                f"interval is {self.interval} s, suspect_after is "
                f"{self.suspect_after} s and gone_after is {self.gone_after} s; "
                "need 0 < interval < suspect_after < gone_after",
                remedy="lower interval, or raise suspect_after and gone_after",
            )
        self.records_ = {}
        self.sequence_ = 0
        self.next_heartbeat_at_ = -math.inf
        self.last_tick_at_ = math.inf
        self.listed_count_ = 0
        self.dropped_instances_ = 0
        self.stale_heartbeats_ = 0
        return self

    def observe(self, event, now):
        """Record a heartbeat, a listing or an ended call.

        :param event: :class:`Heartbeat`, :class:`InstancesListed` or
            :class:`PeerCallEnded`.
        :param now: monotonic time, in seconds.
        """
        match event:
            case Heartbeat():
                self._observe_heartbeat(event, now)
            case InstancesListed():
                self._observe_listing(event, now)
            case PeerCallEnded():
                self._observe_call(event, now)

    def decide(self, query, now):
        """Answer a query.

        :param query: :class:`MemberViewQuery`, :class:`IncarnationQuery` or
            :class:`HeartbeatQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`MemberView`, :class:`IncarnationState` or :class:`Heartbeat`.
        """
        match query:
            case MemberViewQuery():
                return self._build_view(now)
            case IncarnationQuery():
                return self._get_incarnation_state(query, now)
            case HeartbeatQuery():
                return self._build_heartbeat(query, now)

    def tick(self, now):
        """Return the state changes of members and the heartbeats that are due.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`MemberChanged` and :class:`SendHeartbeats`.
        """
        self._discount_own_pause(now)
        self._remove_expired(now)
        actions = []
        for record in self.records_.values():
            state = self._get_state(record, now)
            if state != record.state:
                actions.append(
                    MemberChanged(
                        instance=record.instance, before=record.state, after=state
                    )
                )
                record.state = state
        if now >= self.next_heartbeat_at_:
            # After a late tick, one heartbeat is sent, not one for each interval.
            self.next_heartbeat_at_ = max(self.next_heartbeat_at_, now) + self.interval
            actions.append(SendHeartbeats(addresses=self._get_peer_addresses()))
        return actions

    def _discount_own_pause(self, now):
        """Discount the silence of others while this process itself was paused."""
        if now - self.last_tick_at_ > self.suspect_after:
            for record in self.records_.values():
                record.observed_since = now
        self.last_tick_at_ = now

    def _get_or_add_record(self, instance, now):
        record = self.records_.get(instance)
        if record is None:
            if len(self.records_) >= self.max_members:
                self.dropped_instances_ += 1
                return None
            record = MemberRecord(instance, observed_since=now)
            self.records_[instance] = record
        return record

    def _observe_heartbeat(self, heartbeat, now):
        if heartbeat.instance == self.instance:
            return
        record = self._get_or_add_record(heartbeat.instance, now)
        if record is None:
            return
        if not self._is_newer(record, heartbeat, now):
            self.stale_heartbeats_ += 1
            return
        if heartbeat.incarnation != record.incarnation:
            record.observed_since = now
        for name in Heartbeat.__dataclass_fields__:
            if name != "silent":
                setattr(record, name, getattr(heartbeat, name))
        self._mark_heard(record, now)
        record.silent = frozenset(heartbeat.silent[:MAX_SILENT_INSTANCES])

    def _is_newer(self, record, heartbeat, now):
        if heartbeat.incarnation == record.incarnation:
            return heartbeat.sequence > record.sequence
        if heartbeat.incarnation > record.incarnation:
            return True
        # If the host's clock was set back, a new incarnation sorts before the recorded
        # one. It is accepted once the recorded one has been silent.
        return now - record.heard_at > self.suspect_after

    def _mark_heard(self, record, now):
        record.heard_at = now
        record.failures = 0
        record.refused_at = -math.inf

    def _observe_listing(self, listing, now):
        self.listed_count_ = len(listing.instances)
        for record in self.records_.values():
            record.listed = False
        for listed in listing.instances:
            if listed.instance == self.instance:
                continue
            record = self._get_or_add_record(listed.instance, now)
            if record is None:
                continue
            record.listed = True
            record.listed_leaving = listed.leaving
            if now - record.heard_at > self.suspect_after:
                # While the instance is heard, its heartbeats are newer than the list.
                record.caller_address = listed.caller_address
                record.peer_address = listed.peer_address
                record.failure_domain = listed.failure_domain

    def _observe_call(self, call, now):
        record = self.records_.get(call.instance)
        if record is None:
            return
        if call.ok:
            self._mark_heard(record, now)
            return
        record.failures += 1
        if call.refused:
            record.refused_at = now

    def _is_silent(self, record, now):
        if now - record.refused_at <= self.gone_after:
            return True
        if record.failures >= self.failures:
            return True
        return now - max(record.heard_at, record.observed_since) > self.suspect_after

    def _get_state(self, record, now):
        is_silent = self._is_silent(record, now)
        if is_silent and self._is_gone(record, now):
            return MemberState.GONE
        if record.phase is MemberPhase.DRAINING or record.listed_leaving:
            return MemberState.DRAINING
        return MemberState.SUSPECT if is_silent else MemberState.SERVING

    def _is_gone(self, record, now):
        silent_since = max(record.heard_at, record.observed_since)
        if now - silent_since > self.gone_after:
            return True
        if self._is_isolated(now):
            return False
        # An empty list is no evidence, since the platform may have lost its list.
        if self.listed_count_ and not record.listed:
            return True
        witnesses = [
            witness
            for witness in self.records_.values()
            if witness is not record and not self._is_silent(witness, now)
        ]
        needed = min(self.witnesses, len(witnesses))
        agreeing = sum(record.instance in witness.silent for witness in witnesses)
        return needed > 0 and agreeing >= needed

    def _is_isolated(self, now):
        heard_times = [record.heard_at for record in self.records_.values()]
        return bool(heard_times) and now - max(heard_times) > self.suspect_after

    def _build_member(self, record, now):
        return Member(
            instance=record.instance,
            incarnation=record.incarnation,
            state=self._get_state(record, now),
            failure_domain=record.failure_domain,
            caller_address=record.caller_address,
            peer_address=record.peer_address,
            load=record.load,
            age=now - record.heard_at,
            config_version=record.config_version,
            newest_offset=record.newest_offset,
        )

    def _build_view(self, now):
        members = [
            self._build_member(self.records_[name], now) for name in self.records_
        ]
        members.sort(key=lambda member: member.instance)
        candidates = [m for m in members if m.state in CANDIDATE_STATES]
        if len(candidates) < self.min_candidates:
            candidates += self._select_fallback_candidates(members, len(candidates))
        return MemberView(
            members=tuple(members),
            candidates=tuple(candidates),
            is_isolated=self._is_isolated(now),
        )

    def _select_fallback_candidates(self, members, candidate_count):
        fallback = [m for m in members if m.state is MemberState.SUSPECT]
        fallback += [
            m
            for m in members
            if m.state is MemberState.GONE
            and self.records_[m.instance].phase is MemberPhase.SERVING
        ]
        fallback.sort(key=lambda m: (m.state is MemberState.GONE, m.age))
        return fallback[: self.min_candidates - candidate_count]

    def _get_incarnation_state(self, query, now):
        if query.instance == self.instance:
            is_current = query.incarnation == self.incarnation
            return IncarnationState.LIVE if is_current else IncarnationState.REPLACED
        record = self.records_.get(query.instance)
        if record is None:
            return IncarnationState.SILENT
        if record.incarnation > query.incarnation:
            return IncarnationState.REPLACED
        if record.incarnation != query.incarnation or self._is_silent(record, now):
            return IncarnationState.SILENT
        return IncarnationState.LIVE

    def _build_heartbeat(self, query, now):
        self.sequence_ += 1
        silent = sorted(
            record.instance
            for record in self.records_.values()
            if self._is_silent(record, now)
        )
        return Heartbeat(
            instance=self.instance,
            incarnation=self.incarnation,
            sequence=self.sequence_,
            failure_domain=self.failure_domain,
            caller_address=self.caller_address,
            peer_address=self.peer_address,
            load=query.load,
            phase=query.phase,
            config_version=query.config_version,
            newest_offset=query.newest_offset,
            silent=tuple(silent[:MAX_SILENT_INSTANCES]),
        )

    def _get_peer_addresses(self):
        # Gone members get heartbeats as well. Otherwise, the two sides of a network
        # partition wouldn't hear each other again after it ends.
        addresses = {record.peer_address for record in self.records_.values()}
        return tuple(sorted(addresses - {"", self.peer_address}))

    def _remove_expired(self, now):
        expired = [
            record.instance
            for record in self.records_.values()
            if not record.listed
            and now - max(record.heard_at, record.observed_since) > self.forget_after
        ]
        for instance in expired:
            del self.records_[instance]
