"""Which backend servers may be given new work, and the sign that one is leaving."""

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
    """What is known of one server; times are monotonic, in seconds."""

    notices: dict[NoticeSource, LeavingNotice] = field(default_factory=dict)
    reported_at: float = -math.inf
    listed: bool = False
    failures: int = 0
    failed_at: float = -math.inf


class BackendMembership(Policy):
    """Declared servers, less those leaving, with the doubtful ones last.

    A *leaving* word of any source stops new work at once, also on the last server;
    a failure, a silence or an absence from the list is only a doubt, and doubts
    never empty the choice: below ``keep_share`` of the servers that aren't leaving,
    the least doubtful are kept.

    :param servers: names of the declared backend servers.
    :param silent_after: silence of a server that has reported before, in seconds.
    :param failures: failed calls in a row that make a server doubtful.
    :param doubt_time: time until a failed server is tried again, in seconds.
    :param regossip: time between repeats of the words that say leaving, in seconds.
    :param max_gossip: words in one message; the rest goes with the next.
    :param keep_share: share of the servers that doubts can't remove.
    :param pause_time: time between ticks that means that this process was paused, in
        seconds. What it knows may then be too old, so that it asks its peers first.
    :param ask_time: longest wait for their answer, in seconds.
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
        """Check the arguments and forget everything learned.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if self.max_gossip < 1 or not 0 < self.keep_share <= 1:
            raise SettingError(
                "need max_gossip >= 1 and 0 < keep_share <= 1",
                remedy="use max_gossip=64 and keep_share=0.5",
            )
        self.records_ = {name: ServerRecord() for name in self.servers}
        self.pending_ = {}
        self.next_gossip_ = -math.inf
        self.last_tick_ = None
        self.asked_until_ = -math.inf
        self.listed_ = 0
        self.unknown_ = 0
        return self

    def set_servers(self, servers):
        """Take over the servers of a new configuration, keeping what is known.

        :param servers: names of the declared backend servers.
        """
        self.records_ = {
            name: self.records_.get(name) or ServerRecord() for name in servers
        }
        self.pending_ = {
            key: sign for key, sign in self.pending_.items() if key[0] in self.records_
        }

    def observe(self, event, now):
        """Learn from a listing, a report, a peer's word or an ended call.

        :param event: :class:`ServersListed`, :class:`ServerReportReceived`,
            :class:`LeavingNotice` or :class:`ServerCallEnded`.
        :param now: monotonic time, in seconds.
        """
        match event:
            case ServersListed():
                self._observe_listing(event)
            case ServerReportReceived():
                self._observe_report(event, now)
            case LeavingNotice():
                self._merge(event)
            case ServerCallEnded():
                self._observe_call(event, now)
            case NoticesReceived():
                self.asked_until_ = -math.inf

    def decide(self, query, now):
        """Name the servers that may be given new work, or tell a peer who leaves.

        :param query: a :class:`UsableServersQuery` or a peer's :class:`NoticesQuery`.
        :param now: monotonic time, in seconds.
        :return: :class:`UsableServers`, :data:`NO_SERVER` with a reason or
            :data:`NOT_FRESH`; for a peer :class:`SendNotices`.
        """
        if isinstance(query, NoticesQuery):
            return SendNotices(notices=tuple(self._leaving_signs()))
        if self._was_paused(now) or now < self.asked_until_:
            return NOT_FRESH
        known = [name for name in query.servers if name in self.records_]
        staying = [name for name in known if not self.is_leaving(name)]
        if not staying:
            reason = "every server is leaving" if known else "no server is declared"
            return NO_SERVER.because(reason)
        ready = [name for name in staying if not self._doubt(name, now)]
        doubtful = [name for name in staying if name not in ready]
        doubtful.sort(key=lambda name: self._doubt(name, now))
        kept = max(1, math.ceil(self.keep_share * len(staying))) - len(ready)
        return UsableServers(
            ready=tuple(ready), suspect=tuple(doubtful[: max(0, kept)])
        )

    def tick(self, now):
        """Pass words on: new ones at once, those that say leaving repeatedly.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`SendNotices` and :class:`RequestNotices`.
        """
        actions = self._ask_after_pause(now)
        if now >= self.next_gossip_:
            self.next_gossip_ = now + self.regossip
            for sign in self._leaving_signs():
                self.pending_[sign.server, sign.source] = sign
        if not self.pending_:
            return actions
        keys = list(self.pending_)[: self.max_gossip]
        notices = tuple(self.pending_.pop(key) for key in keys)
        return [*actions, SendNotices(notices=notices)]

    def is_leaving(self, server):
        """Tell whether any source's newest word says that the server leaves.

        :param server: name of the backend server.
        :return: ``True`` if it must not be given new work.
        """
        record = self.records_.get(server)
        return record is not None and any(
            sign.leaving for sign in record.notices.values()
        )

    def state(self, server, now):
        """Return what is believed about a declared server.

        :param server: name of the backend server.
        :param now: monotonic time, in seconds.
        :return: a :class:`ServerState`.
        """
        if self.is_leaving(server):
            return ServerState.LEAVING
        return ServerState.SUSPECT if self._doubt(server, now) else ServerState.READY

    def _was_paused(self, now):
        return self.last_tick_ is not None and now - self.last_tick_ > self.pause_time

    def _ask_after_pause(self, now):
        paused = self._was_paused(now)
        started = self.last_tick_ is None
        self.last_tick_ = now
        if paused:
            self.asked_until_ = now + self.ask_time
        return [RequestNotices()] if paused or started else []

    def _leaving_signs(self):
        return [
            sign
            for record in self.records_.values()
            for sign in record.notices.values()
            if sign.leaving
        ]

    def _observe_listing(self, listing):
        self.listed_ = len(listing.live) + len(listing.leaving)
        for name, record in self.records_.items():
            record.listed = name in listing.live or name in listing.leaving
            if record.listed:
                self._merge(
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
            self.unknown_ += 1
            return
        record.reported_at = now
        sign = LeavingNotice(
            server=report.server,
            source=NoticeSource.REPORT,
            stamp=(report.incarnation, report.sequence),
            leaving=report.draining,
        )
        self._merge(sign)

    def _merge(self, sign):
        record = self.records_.get(sign.server)
        if record is None:
            self.unknown_ += 1
            return
        known = record.notices.get(sign.source)
        if known is not None and known.stamp >= sign.stamp:
            return
        record.notices[sign.source] = sign
        # A changed word is news to the others; a repeated one isn't.
        if sign.leaving != (known is not None and known.leaving):
            self.pending_[sign.server, sign.source] = sign

    def _observe_call(self, call, now):
        record = self.records_.get(call.server)
        if record is None:
            return
        if call.ok:
            record.failures = 0
            return
        record.failures += 1
        record.failed_at = now

    def _doubt(self, server, now):
        record = self.records_[server]
        doubt = 0
        failing = record.failures >= self.failures
        if failing and now - record.failed_at < self.doubt_time:
            doubt += 2
        has_reported = record.reported_at > -math.inf
        if has_reported and now - record.reported_at > self.silent_after:
            doubt += 2
        # An empty list is no evidence; absence from a filled one is a weak doubt.
        if self.listed_ and not record.listed and not has_reported:
            doubt += 1
        return doubt


class ListOnlyServers(BackendMembership):
    """Baseline that learns of leaving servers from the platform's list alone."""

    def observe(self, event, now):
        """Learn from a listing; other events are ignored.

        :param event: any event of :class:`BackendMembership`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, ServersListed):
            self._observe_listing(event)

    def tick(self, now):
        """Pass nothing on.

        :param now: monotonic time, in seconds.
        :return: an empty list.
        """
        return []
