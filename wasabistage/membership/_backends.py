"""Estimate of which backend servers may be given new work."""

import math
from dataclasses import dataclass, field

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.membership._server_messages import (
    LeavingNotice,
    NoticeSource,
    NoticesQuery,
    NoticesReceived,
    RequestNotices,
    SendNotices,
    ServerCallEnded,
    ServerReportReceived,
    ServersListed,
    ServerState,
    UsableServers,
)
from wasabistage.utils import Sentinel

NOT_FRESH = Sentinel("NOT_FRESH", "this process was paused and asks its peers first")
NO_SERVER = Sentinel("NO_SERVER", "no declared backend server can take new work")


@dataclass
class ServerRecord:
    """Latest known state of one backend server; times are monotonic, in seconds.

    :param notices: newest notice of each source.
    :param reported_at: time of its newest report.
    :param listed: whether the platform's newest list contains it.
    :param failed_calls: number of failed calls in a row.
    :param failed_at: time of the last failed call.
    """

    notices: dict[NoticeSource, LeavingNotice] = field(default_factory=dict)
    reported_at: float = -math.inf
    listed: bool = False
    failed_calls: int = 0
    failed_at: float = -math.inf


class BackendMembership(Policy):
    """Selection of the declared backend servers that may be given new work.

    A notice of any source that a server is leaving excludes the server at once, even
    if no other one remains. Failed calls, missing reports and absence from the list
    only make a server suspect. If fewer than the fraction ``keep_share`` of the servers
    that aren't leaving are ready, suspect servers are added up to that fraction, the
    least suspect first.

    :param servers: names of the declared backend servers.
    :param silent_after: time without reports after which a server that has reported
        before is suspect, in seconds.
    :param failures: failed calls in a row that make a server suspect.
    :param doubt_time: time after the last failed call until a server is ready again,
        in seconds.
    :param regossip: time between repetitions of leaving notices, in seconds.
    :param max_gossip: maximum number of notices in one message; the others follow in
        the next one.
    :param keep_share: fraction of the servers that aren't leaving, up to which
        suspect ones are kept.
    :param pause_time: time between ticks above which this process counts as paused,
        in seconds. Since its knowledge may then be outdated, it asks its peers
        before it gives out new work.
    :param ask_time: maximum wait for an answer of a peer, in seconds.
    """

    def __init__(
        self,
        servers=(),
        *,
        silent_after=8.0,
        failures=3,
        doubt_time=2.0,
        regossip=1.0,
        max_gossip=64,
        keep_share=0.5,
        pause_time=2.0,
        ask_time=1.0,
    ):
        self.servers = servers
        self.silent_after = silent_after
        self.failures = failures
        self.doubt_time = doubt_time
        self.regossip = regossip
        self.max_gossip = max_gossip
        self.keep_share = keep_share
        self.pause_time = pause_time
        self.ask_time = ask_time

    def reset(self):
        """Check the arguments and remove everything learned.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if self.max_gossip < 1 or not 0 < self.keep_share <= 1:
            raise SettingError(
                f"max_gossip is {self.max_gossip} and keep_share is "
                f"{self.keep_share}; need max_gossip >= 1 and 0 < keep_share <= 1",
                remedy="set max_gossip to 64 and keep_share to 0.5",
            )
        self.records_ = {name: ServerRecord() for name in self.servers}
        self.pending_notices_ = {}
        self.next_gossip_at_ = -math.inf
        self.last_tick_at_ = None
        self.notices_deadline_ = -math.inf
        self.listed_count_ = 0
        self.unknown_server_events_ = 0
        return self

    def set_servers(self, servers):
        """Replace the declared servers, keeping what is known of those that remain.

        :param servers: names of the declared backend servers.
        """
        self.records_ = {
            name: self.records_.get(name) or ServerRecord() for name in servers
        }
        self.pending_notices_ = {
            key: notice
            for key, notice in self.pending_notices_.items()
            if key[0] in self.records_
        }

    def observe(self, event, now):
        """Record a listing, a report, a notice, an ended call or a peer's answer.

        :param event: :class:`ServersListed`, :class:`ServerReportReceived`,
            :class:`LeavingNotice`, :class:`ServerCallEnded` or
                :class:`NoticesReceived`.
        :param now: monotonic time, in seconds.
        """
        match event:
            case ServersListed():
                self._observe_listing(event)
            case ServerReportReceived():
                self._observe_report(event, now)
            case LeavingNotice():
                self._merge_notice(event)
            case ServerCallEnded():
                self._observe_call(event, now)
            case NoticesReceived():
                self.notices_deadline_ = -math.inf

    def decide(self, query, now):
        """Select the servers that may be given new work, or the notices for a peer.

        :param query: a :class:`UsableServersQuery` or a peer's :class:`NoticesQuery`.
        :param now: monotonic time, in seconds.
        :return: for a :class:`UsableServersQuery`, :class:`UsableServers`,
            :data:`NO_SERVER` with a reason or :data:`NOT_FRESH`; for a
            :class:`NoticesQuery`, :class:`SendNotices`.
        """
        if isinstance(query, NoticesQuery):
            return SendNotices(notices=tuple(self._get_leaving_notices()))
        if self._was_paused(now) or now < self.notices_deadline_:
            return NOT_FRESH
        known = [name for name in query.servers if name in self.records_]
        staying = [name for name in known if not self.is_leaving(name)]
        if not staying:
            reason = "every server is leaving" if known else "no server is declared"
            return NO_SERVER.with_reason(reason)
        ready = [name for name in staying if not self._get_suspicion_level(name, now)]
        suspect = [name for name in staying if name not in ready]
        suspect.sort(key=lambda name: self._get_suspicion_level(name, now))
        missing_count = max(1, math.ceil(self.keep_share * len(staying))) - len(ready)
        return UsableServers(
            ready=tuple(ready), suspect=tuple(suspect[: max(0, missing_count)])
        )

    def tick(self, now):
        """Relay notices: changed ones at once, leaving notices repeatedly.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`SendNotices` and :class:`RequestNotices`.
        """
        actions = self._request_notices_after_pause(now)
        if now >= self.next_gossip_at_:
            self.next_gossip_at_ = now + self.regossip
            for notice in self._get_leaving_notices():
                self.pending_notices_[notice.server, notice.source] = notice
        if not self.pending_notices_:
            return actions
        keys = list(self.pending_notices_)[: self.max_gossip]
        notices = tuple(self.pending_notices_.pop(key) for key in keys)
        return [*actions, SendNotices(notices=notices)]

    def is_leaving(self, server):
        """Return whether the newest notice of any source says that a server leaves.

        :param server: name of the backend server.
        :return: ``True`` if the server must not be given new work.
        """
        record = self.records_.get(server)
        return record is not None and any(
            notice.leaving for notice in record.notices.values()
        )

    def get_state(self, server, now):
        """Return the estimated state of a declared server.

        :param server: name of the backend server.
        :param now: monotonic time, in seconds.
        :return: a :class:`ServerState`.
        """
        if self.is_leaving(server):
            return ServerState.LEAVING
        return (
            ServerState.SUSPECT
            if self._get_suspicion_level(server, now)
            else ServerState.READY
        )

    def _was_paused(self, now):
        return (
            self.last_tick_at_ is not None
            and now - self.last_tick_at_ > self.pause_time
        )

    def _request_notices_after_pause(self, now):
        was_paused = self._was_paused(now)
        is_first_tick = self.last_tick_at_ is None
        self.last_tick_at_ = now
        if was_paused:
            self.notices_deadline_ = now + self.ask_time
        return [RequestNotices()] if was_paused or is_first_tick else []

    def _get_leaving_notices(self):
        return [
            notice
            for record in self.records_.values()
            for notice in record.notices.values()
            if notice.leaving
        ]

    def _observe_listing(self, listing):
        self.listed_count_ = len(listing.live) + len(listing.leaving)
        for name, record in self.records_.items():
            record.listed = name in listing.live or name in listing.leaving
            if record.listed:
                self._merge_notice(
                    LeavingNotice(
                        server=name,
                        source=NoticeSource.LIST,
                        stamp=("", listing.version),
                        leaving=name in listing.leaving,
                    )
                )

    def _observe_report(self, report, now):
        record = self.records_.get(report.server)
        if record is None:
            self.unknown_server_events_ += 1
            return
        record.reported_at = now
        notice = LeavingNotice(
            server=report.server,
            source=NoticeSource.REPORT,
            stamp=(report.incarnation, report.sequence),
            leaving=report.draining,
        )
        self._merge_notice(notice)

    def _merge_notice(self, notice):
        record = self.records_.get(notice.server)
        if record is None:
            self.unknown_server_events_ += 1
            return
        previous = record.notices.get(notice.source)
        if previous is not None and previous.stamp >= notice.stamp:
            return
        record.notices[notice.source] = notice
        # Only a notice that changes the state is relayed at once.
        if notice.leaving != (previous is not None and previous.leaving):
            self.pending_notices_[notice.server, notice.source] = notice

    def _observe_call(self, call, now):
        record = self.records_.get(call.server)
        if record is None:
            return
        if call.ok:
            record.failed_calls = 0
            return
        record.failed_calls += 1
        record.failed_at = now

    def _get_suspicion_level(self, server, now):
        """Return the suspicion level of a server, 0 if it is ready."""
        record = self.records_[server]
        level = 0
        is_failing = record.failed_calls >= self.failures
        if is_failing and now - record.failed_at < self.doubt_time:
            level += 2
        has_reported = record.reported_at > -math.inf
        if has_reported and now - record.reported_at > self.silent_after:
            level += 2
        # An empty list is no evidence, since the platform may have lost its list.
        # Absence from a non-empty list is weak evidence.
        if self.listed_count_ and not record.listed and not has_reported:
            level += 1
        return level


class ListOnlyBackendMembership(BackendMembership):
    """Baseline that relies on the platform's list alone."""

    def observe(self, event, now):
        """Record a listing and ignore other events.

        :param event: any event of :class:`BackendMembership`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, ServersListed):
            self._observe_listing(event)

    def tick(self, now):
        """Relay no notices.

        :param now: monotonic time, in seconds.
        :return: an empty list.
        """
        return []
