"""Which entry instances are alive, from heartbeats, the list and own calls."""

import math

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.membership._messages import (
    MAX_SILENT,
    Heartbeat,
    HeartbeatQuery,
    HomeQuery,
    HomeState,
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

USABLE_STATES = (MemberState.SERVING,)


class MembershipPolicy(Policy):
    """Join of the lagging list, direct heartbeats and the outcome of own calls.

    An instance is *suspect* once it is silent here; it is *gone* once enough others
    are silent of it too, or the list has dropped it, or the silence lasts long. A
    source alone never empties the candidates: below ``min_candidates`` the suspects
    heard last are kept.

    :param instance: name of this instance.
    :param incarnation: id of this process life.
    :param failure_domain: this instance's failure domain.
    :param caller_address: this instance's ``IP:PORT`` for callers.
    :param peer_address: this instance's ``IP:PORT`` for other entry instances.
    :param interval: time between heartbeats, in seconds.
    :param suspect_after: silence that makes an instance suspect, in seconds.
    :param gone_after: silence that is enough without witnesses, in seconds.
    :param forget_after: silence after which an unlisted one is forgotten, in seconds.
    :param witnesses: others that must be silent of an instance as well.
    :param failures: failed calls in a row that count as silence.
    :param min_candidates: candidates that are never removed by silence.
    :param max_members: bound of the table; further instances are counted in
        ``dropped_`` and left out.
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
        """Check the arguments and forget every member.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if not self.instance or not self.incarnation:
            raise SettingError(
                "instance and incarnation must not be empty",
                remedy="name the instance in its settings",
            )
        if not 0 < self.interval < self.suspect_after < self.gone_after:
            raise SettingError(
                "need 0 < interval < suspect_after < gone_after",
                remedy="lower the heartbeat interval or raise the timeouts",
            )
        self.records_ = {}
        self.sequence_ = 0
        self.next_beat_ = -math.inf
        self.last_tick_ = math.inf
        self.list_size_ = 0
        self.dropped_ = 0
        self.stale_ = 0
        return self

    def observe(self, event, now):
        """Learn from a heartbeat, a listing or an ended call.

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

        :param query: :class:`MemberViewQuery`, :class:`HomeQuery` or
            :class:`HeartbeatQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`MemberView`, :class:`HomeState` or :class:`Heartbeat`.
        """
        match query:
            case MemberViewQuery():
                return self._view(now)
            case HomeQuery():
                return self._home(query, now)
            case HeartbeatQuery():
                return self._heartbeat(query, now)

    def tick(self, now):
        """Report changed members and say when to send heartbeats.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`MemberChanged` and :class:`SendHeartbeats`.
        """
        self._excuse_own_pause(now)
        self._forget(now)
        actions = []
        for record in self.records_.values():
            state = self._state(record, now)
            if state != record.state:
                actions.append(
                    MemberChanged(
                        instance=record.instance, before=record.state, after=state
                    )
                )
                record.state = state
        if now >= self.next_beat_:
            # A late tick sends one heartbeat, not all that were missed.
            self.next_beat_ = max(self.next_beat_, now) + self.interval
            actions.append(SendHeartbeats(addresses=self._peer_addresses()))
        return actions

    def _excuse_own_pause(self, now):
        """Take no silence for evidence that passed while this process was paused."""
        if now - self.last_tick_ > self.suspect_after:
            for record in self.records_.values():
                record.known_at = now
        self.last_tick_ = now

    def _record(self, instance, now):
        record = self.records_.get(instance)
        if record is None:
            if len(self.records_) >= self.max_members:
                self.dropped_ += 1
                return None
            record = MemberRecord(instance, known_at=now)
            self.records_[instance] = record
        return record

    def _observe_heartbeat(self, beat, now):
        if beat.instance == self.instance:
            return
        record = self._record(beat.instance, now)
        if record is None:
            return
        if not self._is_newer(record, beat, now):
            self.stale_ += 1
            return
        if beat.incarnation != record.incarnation:
            record.known_at = now
        for name in Heartbeat.__dataclass_fields__:
            if name != "silent":
                setattr(record, name, getattr(beat, name))
        self._mark_heard(record, now)
        record.silent = frozenset(beat.silent[:MAX_SILENT])

    def _is_newer(self, record, beat, now):
        if beat.incarnation == record.incarnation:
            return beat.sequence > record.sequence
        if beat.incarnation > record.incarnation:
            return True
        # A host clock that went back makes a new life sort first; it wins once the
        # recorded one has been silent.
        return now - record.heard_at > self.suspect_after

    def _mark_heard(self, record, now):
        record.heard_at = now
        record.failures = 0
        record.refused_at = -math.inf

    def _observe_listing(self, listing, now):
        self.list_size_ = len(listing.instances)
        for record in self.records_.values():
            record.listed = False
        for listed in listing.instances:
            if listed.instance == self.instance:
                continue
            record = self._record(listed.instance, now)
            if record is None:
                continue
            record.listed = True
            record.listed_leaving = listed.leaving
            if now - record.heard_at > self.suspect_after:
                # Its own words are fresher than the list while it is heard.
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
        return now - max(record.heard_at, record.known_at) > self.suspect_after

    def _state(self, record, now):
        silent = self._is_silent(record, now)
        if silent and self._is_gone(record, now):
            return MemberState.GONE
        if record.phase is MemberPhase.DRAINING or record.listed_leaving:
            return MemberState.DRAINING
        return MemberState.SUSPECT if silent else MemberState.SERVING

    def _is_gone(self, record, now):
        since = max(record.heard_at, record.known_at)
        if now - since > self.gone_after:
            return True
        if self._is_isolated(now):
            return False
        # An empty list is no evidence: the list itself may have been lost.
        if self.list_size_ and not record.listed:
            return True
        others = [
            other
            for other in self.records_.values()
            if other is not record and not self._is_silent(other, now)
        ]
        needed = min(self.witnesses, len(others))
        agreeing = sum(record.instance in other.silent for other in others)
        return needed > 0 and agreeing >= needed

    def _is_isolated(self, now):
        heard = [record.heard_at for record in self.records_.values()]
        return bool(heard) and now - max(heard) > self.suspect_after

    def _member(self, record, now):
        return Member(
            instance=record.instance,
            incarnation=record.incarnation,
            state=self._state(record, now),
            failure_domain=record.failure_domain,
            caller_address=record.caller_address,
            peer_address=record.peer_address,
            load=record.load,
            age=now - record.heard_at,
            config_version=record.config_version,
            newest_offset=record.newest_offset,
        )

    def _view(self, now):
        members = [self._member(self.records_[name], now) for name in self.records_]
        members.sort(key=lambda member: member.instance)
        candidates = [m for m in members if m.state in USABLE_STATES]
        if len(candidates) < self.min_candidates:
            candidates += self._last_resort(members, len(candidates))
        return MemberView(
            members=tuple(members),
            candidates=tuple(candidates),
            isolated=self._is_isolated(now),
        )

    def _last_resort(self, members, have):
        doubtful = [m for m in members if m.state is MemberState.SUSPECT]
        doubtful += [
            m
            for m in members
            if m.state is MemberState.GONE
            and self.records_[m.instance].phase is MemberPhase.SERVING
        ]
        doubtful.sort(key=lambda m: (m.state is MemberState.GONE, m.age))
        return doubtful[: self.min_candidates - have]

    def _home(self, query, now):
        if query.instance == self.instance:
            same = query.incarnation == self.incarnation
            return HomeState.LIVE if same else HomeState.REPLACED
        record = self.records_.get(query.instance)
        if record is None:
            return HomeState.SILENT
        if record.incarnation > query.incarnation:
            return HomeState.REPLACED
        if record.incarnation != query.incarnation or self._is_silent(record, now):
            return HomeState.SILENT
        return HomeState.LIVE

    def _heartbeat(self, query, now):
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
            silent=tuple(silent[:MAX_SILENT]),
        )

    def _peer_addresses(self):
        # Those believed gone are tried too, or a healed cut would stay.
        addresses = {record.peer_address for record in self.records_.values()}
        return tuple(sorted(addresses - {"", self.peer_address}))

    def _forget(self, now):
        ended = [
            record.instance
            for record in self.records_.values()
            if not record.listed
            and now - max(record.heard_at, record.known_at) > self.forget_after
        ]
        for instance in ended:
            del self.records_[instance]
