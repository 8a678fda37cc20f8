"""Reports that entries send each other by UDP datagrams."""

from itertools import islice

import msgspec
import trio

from wasabistage.edge._facts import to_row
from wasabistage.edge._fleet_view import (
    FLEET_TIMEOUT_SECONDS,
    FOLLOWER_TIMEOUT_SECONDS,
    build_member,
)
from wasabistage.edge._peer_messages import (
    DATAGRAM_DECODER,
    ENCODER,
    EncodedReportDatagram,
    PeerReport,
)
from wasabistage.fleet import Topic
from wasabistage.rollout import (
    PeerOrderEnded,
    ServerOrdered,
    ServerVersionReported,
    VersionNamed,
)
from wasabistage.topology import (
    FactCursor,
    FactOutbox,
    MissingFacts,
    select_busiest,
)
from wasabistage.utils import decode_data

PEER_REPORT_INTERVAL_SECONDS = 0.2
#: Intervals between two reports of an entry without load.
TICKS_PER_REPORT = 2
MIN_EARLY_INTERVAL_SECONDS = 0.02  # pause between two early reports
#: The same in a fleet with followers, of which one relay has many.
MIN_EARLY_FLEET_INTERVAL_SECONDS = 0.15
PEER_TIMEOUT_SECONDS = 1.2  # three to six lost reports in a row
MAX_FACTS_BYTES = 24000  # of the facts in a datagram
MAX_DATAGRAM_BYTES = 60000  # below the largest UDP payload
MAX_VERSIONS = 64  # rows in a report
MAX_EPOCH_ROWS = 64  # cache stores in a report, some 4 KB
MAX_UNREADABLE_IPS = 256  # of which one unreadable report was logged
MAX_LOAD_ROWS = 500  # some 25 KB; with the facts a datagram is not above its bound
INTRODUCTION_INTERVAL_SECONDS = 0.5  # between two to the same entry


class Peer:
    """Another entry.

    :param report: its last :class:`PeerReport`.
    :param received_at: time at which the report was received, monotonic seconds.
    """

    def __init__(self, report, received_at):
        self.report = report
        self.received_at = received_at


class ReportTask:
    """Sends and receives reports on a UDP socket, in the role of this entry.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.sock = None
        #: Position in the log of each entry whose facts this one receives.
        self.cursors = {}
        #: ``clock`` and incarnation of the last report of each entry.
        self.clocks = {}
        #: Entries that don't know the relays and wait to be told: (name, IP).
        self.introductions = []
        self.introduced_at = {}
        self.announced = {}
        #: IPs whose unreadable reports were logged.
        self.unreadable_ips = set()
        #: Servers with an order that this entry has sent or is about to send.
        self.ordering = set()
        #: Set to send a report before the next interval.
        self.early_event = trio.Event()
        #: Rows of server, incarnation, model, version for the next report to relays,
        #: and to followers.
        self.group_versions = []
        self.fleet_versions = []
        #: Entries of which facts are missing: name to IP, name of the log and
        #: ``MissingFacts``; and those from which they are being requested.
        self.gaps = {}
        self.open_gaps = set()
        self.gap_event = trio.Event()
        self.ticks = 0
        #: Facts to be sent to other relays, and to followers.
        self.own_outbox = FactOutbox(state.facts.own_log)
        self.fleet_outbox = FactOutbox(state.facts.fleet_log)

    def record_version(self, server, incarnation, model, version):
        """Record the version that a server runs, for the next report."""
        row = (server, incarnation, model, version)
        self.group_versions.append(row)
        self.fleet_versions.append(row)

    def notify_facts(self):
        """Send the facts that were added to the logs soon."""
        self.early_event.set()

    async def open(self):
        """Open the socket and add the addresses of the seeds."""
        settings = self.state.settings
        self.sock = trio.socket.socket(type=trio.socket.SOCK_DGRAM)
        address = (settings.instance.ip, settings.listen.gossip_port)
        await self.sock.bind(address)
        for seed in settings.peers.seeds.split(","):
            ip = seed.strip().rpartition(":")[0]
            if ip and ip != settings.instance.ip:
                self.state.view.seed_ips.append(ip)

    async def send_periodically(self, tick):
        """Send reports and remove silent peers; called by the timer service.

        :param tick: unused.
        """
        self.remove_silent_peers()
        view = self.state.view
        view.update_roles()
        has_new_relay = view.select_relay()
        self.ticks += 1
        suspects = self.state.crash_watch.build_rows(is_relay=False)
        is_idle = self.state.loads.is_idle() and not (self.ordering or suspects)
        # Followers leave a relay that is silent for a few intervals.
        may_skip = is_idle and not has_new_relay and not view.get_followers()
        if may_skip and self.ticks % TICKS_PER_REPORT:
            return
        await self.send_report()

    async def run_early_sending(self):
        """Send facts and large prompts before the next interval, until cancelled."""
        while True:
            await self.early_event.wait()
            self.early_event = trio.Event()
            await self._send_introductions()
            if self.state.view.is_large:
                await self._send_as_relay(has_loads=False)
                await trio.sleep(MIN_EARLY_FLEET_INTERVAL_SECONDS)
            else:
                await self.send_report()
                await trio.sleep(MIN_EARLY_INTERVAL_SECONDS)

    async def send_report(self):
        """Send the report that the role of this entry requires."""
        view, loads, now = self.state.view, self.state.loads, self.state.timer.now()
        own = self.state.settings.instance.name
        rows = loads.take_own(now)
        for server in self.ordering:
            self.state.swap.observe(ServerOrdered(server=server), now)
        if view.get_roles().is_relay:
            loads.group.observe(own, rows, now)
            loads.fleet.observe(own, rows, now)
            await self._send_as_relay(has_loads=True)
        else:
            loads.group.remove(own)
            loads.sent_reports.record(now, rows)
            await self._send_as_follower(rows, now)

    async def _send_as_follower(self, rows, now):
        """Send a report to the followed relay, or to the seeds if there is none."""
        view = self.state.view
        versions, self.group_versions = self.group_versions, []
        self.fleet_versions = []
        report = self._build_report(
            now, rows, follows=view.followed, versions=versions[-MAX_VERSIONS:]
        )
        relay = view.get_roles().relays.get(view.followed)
        if relay is not None:
            await self._send(report, [(relay.name, relay.ip)])
        else:
            await self._send(report, [("", ip) for ip in view.seed_ips])

    async def _send_as_relay(self, *, has_loads):
        """Send a report to the other relays, and one to the followers."""
        view, now = self.state.view, self.state.timer.now()
        followers = view.get_followers()
        if not view.get_roles().is_relay and not followers:
            return
        own = self.state.settings.instance.name
        targets = {
            name: member.ip
            for name, member in view.get_roles().relays.items()
            if name != own
        }
        report = self._build_relay_report(now, followers, has_loads)
        probes = view.select_probes(targets) if has_loads else []
        await self._send(report, [*targets.items(), *probes])
        if has_loads:
            self._announce_members()
        report = self._build_fleet_report(now, has_loads)
        targets = [(name, peer.report.ip) for name, peer in followers.items()]
        await self._send(report, targets)

    def _build_relay_report(self, now, followers, has_loads):
        """Build the report for other relays, on this entry and its followers."""
        members = [build_member(peer.report) for peer in followers.values()]
        if members:
            members.append(self.state.view.build_own_member())
        versions, self.group_versions = self.group_versions, []
        return self._build_report(
            now,
            self.state.loads.group.take(now) if has_loads else {},
            is_relay=True,
            has_loads=has_loads,
            waiting=self.state.view.count_waiting(is_group=True),
            versions=versions[-MAX_VERSIONS:],
            members=[to_row(item) for item in members],
            **self._take_facts(self.own_outbox, "read_at"),
        )

    def _build_fleet_report(self, now, has_loads):
        """Build the report for followers, on the whole fleet."""
        view = self.state.view
        versions, self.fleet_versions = self.fleet_versions, []
        return self._build_report(
            now,
            self.state.loads.fleet.take(now) if has_loads else {},
            is_relay=True,
            has_loads=has_loads,
            waiting=view.count_waiting(is_group=False),
            versions=versions[-MAX_VERSIONS:],
            has_store=view.is_store_reached(),
            ordering=self._get_all_ordering(),
            **self._take_facts(self.fleet_outbox, "confirmed_at"),
        )

    def _take_facts(self, outbox, confirmation):
        """Return the fields of a report with the next facts and the ages of topics.

        :param outbox: a :class:`wasabistage.topology.FactOutbox`.
        :param confirmation: attribute of a :class:`RecordWatch`: the time at which the
            topic was confirmed.
        """
        first, facts = outbox.take(MAX_FACTS_BYTES)
        fields = {
            "log": outbox.log.log,
            "first": first,
            "facts": [msgspec.Raw(fact) for fact in facts],
        }
        if not outbox.is_empty:
            self.early_event.set()
        return {**fields, "ages": self._get_ages(outbox, confirmation)}

    def _get_ages(self, outbox, confirmation):
        """Return the ages of the topics whose records were all taken from an outbox.

        Facts on caches don't hold them back: after a start of the whole fleet they take
        seconds to send, and the followers' keys would become stale meanwhile.
        """
        exchange, now, ages = self.state.facts, self.state.timer.now(), {}
        for topic, watch in exchange.watches.items():
            age = now - getattr(watch, confirmation)
            is_sent = exchange.has_taken_records(outbox, topic)
            if is_sent and age < FLEET_TIMEOUT_SECONDS:
                ages[topic] = (age, watch.newest_fact)
        return ages

    def _get_all_ordering(self):
        ordering = set(self.ordering)
        for peer in self.state.peers.values():
            ordering.update(peer.report.ordering)
        return sorted(ordering)

    def _build_report(self, clock, loads, **fields):
        own = self.state.view.build_own_member()
        common = {
            "has_store": self.state.view.has_store,
            "has_loads": True,
            "ordering": sorted(self.ordering),
            "named": self.state.swap.get_named_version_ages(self.state.timer.now()),
            "unreadable": sorted(self.state.view.unreadable),
            "fleet_size": len(self.state.view.get_members()),
            "waiting": len(self.state.gate.waiting_),
            "suspects": self.state.crash_watch.build_rows(
                is_relay=fields.get("is_relay", False)
            ),
            "configuration_version": self.state.get_configuration_version(),
            "epochs": self._get_epoch_ages(),
        }
        return PeerReport(
            name=own.name,
            incarnation=self.state.incarnation,
            ip=own.ip,
            callers=own.callers,
            failure_domain=own.failure_domain,
            weight=own.weight,
            is_ready=own.is_ready,
            capacity=own.capacity,
            clock=clock,
            loads=select_busiest(loads, MAX_LOAD_ROWS),
            **{**common, **fields},
        )

    def _get_epoch_ages(self):
        state = self.state
        addresses = islice(state.get_store_addresses(), MAX_EPOCH_ROWS)
        return state.parts.get_epoch_ages(addresses, state.timer.now())

    async def _send(self, report, targets):
        """Send a report.

        :param report: a :class:`PeerReport`.
        :param targets: list of (name, IP); the name is ``""`` if it is unknown.
        """
        data = msgspec.Raw(ENCODER.encode(report))
        port = self.state.settings.listen.gossip_port
        for name, ip in targets:
            clock, incarnation = self.clocks.get(name, (None, ""))
            datagram = ENCODER.encode(EncodedReportDatagram(clock, incarnation, data))
            try:
                await self.sock.sendto(datagram, (ip, port))
            except (OSError, ValueError):
                self.state.metrics.count("peer.failures")

    async def _send_introductions(self):
        """Tell entries that know nobody which entries are relays."""
        introductions, self.introductions = self.introductions, []
        if introductions:
            rows = [
                to_row(item) for item in self.state.view.get_roles().relays.values()
            ]
            report = self._build_report(
                self.state.timer.now(), {}, has_loads=False, members=rows
            )
            await self._send(report, introductions)

    def _announce_members(self):
        """Tell the followers which entries have appeared, changed or gone."""
        rows = {
            name: to_row(item) for name, item in self.state.view.get_members().items()
        }
        for name, row in rows.items():
            if self.announced.get(name) != row:
                self.state.facts.publish_member(row, is_live=True)
        for name in set(self.announced) - set(rows):
            self.state.facts.publish_member(self.announced[name], is_live=False)
        self.announced = rows

    async def run_receiving(self):
        """Receive reports until cancelled."""
        while True:
            data, sender = await self.sock.recvfrom(MAX_DATAGRAM_BYTES)
            try:
                message = decode_data(DATAGRAM_DECODER, data)
                is_own_echo = message.echoed == self.state.incarnation
                echo = message.echo if is_own_echo else None
                self.handle_report(message.report, echo, self.state.timer.now())
            except Exception as error:
                # Reports of others must not wait for the task to start again.
                self._record_unreadable(sender[0], error)

    def _record_unreadable(self, ip, error):
        self.state.metrics.count("peer.failures")
        if ip in self.unreadable_ips:
            return
        if len(self.unreadable_ips) >= MAX_UNREADABLE_IPS:
            self.unreadable_ips.clear()
        self.unreadable_ips.add(ip)
        self.state.log.write(
            "report_unreadable", ip=ip, error=type(error).__name__, reason=str(error)
        )

    def handle_report(self, report, echo, now):
        """Apply a peer's report to the state of this entry.

        :param report: a :class:`PeerReport`.
        :param echo: ``clock`` of the last report that the peer has received from this
            entry, or ``None``.
        :param now: monotonic time, in seconds.
        """
        state, own = self.state, self.state.settings.instance.name
        known = state.peers.get(report.name)
        if report.name == own or is_outdated(report, known):
            return
        if known is None:
            state.log.write("peer_found", peer=report.name, ip=report.ip)
        state.peers[report.name] = Peer(report, now)
        self.clocks[report.name] = (report.clock, report.incarnation)
        state.view.record_report(report, now)
        self._introduce(report, now)
        is_followed = report.name == state.view.followed
        if report.is_relay and report.log:
            self._handle_facts(report, echo, now, is_followed)
        if report.has_loads:
            state.loads.observe(report, echo, now, is_followed)
        self._handle_rollout(report, known, now)
        for address, epoch, age in report.epochs:
            state.parts.observe_epoch_age(address, epoch, age, now)
        state.crash_watch.merge(report.suspects, now)
        if report.follows == own and (known is None or known.report.follows != own):
            # A new follower gets its first report at once.
            self.early_event.set()

    def _introduce(self, report, now):
        """Have an entry told the relays if it takes itself for one."""
        is_relay = report.name in self.state.view.get_roles().relays
        if not report.is_relay or is_relay or has_fleet_facts(report):
            return
        last = self.introduced_at.get(report.name, float("-inf"))
        if now - last > INTRODUCTION_INTERVAL_SECONDS:
            self.introduced_at[report.name] = now
            self.introductions.append((report.name, report.ip))
            self.early_event.set()

    def _handle_facts(self, report, echo, now, is_followed):
        """Apply the facts of a relay, or request those that are missing."""
        is_for_followers = has_fleet_facts(report)
        if is_for_followers and not is_followed:
            return
        key = f"{report.name}/{'fleet' if is_for_followers else 'own'}"
        cursor = self.cursors.setdefault(key, FactCursor())
        new = cursor.accept(report.log, report.first, report.facts)
        if isinstance(new, MissingFacts):
            self.request_gap(report, new)
            if echo is not None:
                self._confirm_topics(report, echo, has_gap=True)
            return
        for fact in new:
            self.state.facts.apply(fact, report.ip)
        if is_for_followers:
            self.state.view.refresh_members(now)
        if echo is not None:
            self._confirm_topics(report, echo)

    def _confirm_topics(self, report, echo, *, has_gap=False):
        """Record that topics were confirmed, unless a record of theirs is missing.

        Records are applied in order, so that an entry with the newest one of a topic
        has all of them, whatever other facts it lacks.

        :param report: a :class:`PeerReport`.
        :param echo: time of the last own report that the peer had received.
        :param has_gap: whether facts before those of the report are being requested.
        """
        exchange = self.state.facts
        for topic, (age, newest) in report.ages.items():
            watch = exchange.watches.get(topic)
            if watch is None or not age >= 0:
                continue
            if newest > watch.newest_fact:
                if not has_gap:
                    exchange.missed_offsets[topic] = (newest, report.ip)
            elif not exchange.is_missing(topic):
                watch.confirm(echo - age)

    def request_gap(self, report, gap):
        """Have missing facts requested.

        :param report: the :class:`PeerReport` after the gap.
        :param gap: a :class:`wasabistage.topology.MissingFacts`.
        """
        log = "fleet" if has_fleet_facts(report) else "own"
        self.gaps.setdefault(report.name, (report.ip, log, gap))
        self.gap_event.set()

    def _handle_rollout(self, report, known, now):
        swap = self.state.swap
        if known is not None:
            for server in set(known.report.ordering) - set(report.ordering):
                swap.observe(PeerOrderEnded(server=server), now)
        for server in report.ordering:
            swap.observe(ServerOrdered(server=server), now)
        for model, version, age in report.named:
            event = VersionNamed(model=model, version=version, age=age)
            swap.observe(event, now)
        for server, incarnation, model, version in report.versions:
            event = ServerVersionReported(
                server=server, incarnation=incarnation, model=model, version=version
            )
            swap.observe(event, now)
        self.fleet_versions += report.versions
        if not report.is_relay:
            self.group_versions += report.versions

    def remove_silent_peers(self):
        """Remove the peers that sent no report within their time limit."""
        now, state = self.state.timer.now(), self.state
        own = state.settings.instance.name
        state.view.table.tick(now)
        for name, peer in list(state.peers.items()):
            is_follower = peer.report.follows == own
            limit = FOLLOWER_TIMEOUT_SECONDS if is_follower else PEER_TIMEOUT_SECONDS
            if now - peer.received_at <= limit:
                continue
            del state.peers[name]
            self.clocks.pop(name, None)
            self.introduced_at.pop(name, None)
            state.view.table.remove_source(name)
            state.loads.remove(name, now)
            state.log.write(
                "peer_lost", peer=name, silent=round(now - peer.received_at, 3)
            )
        watch = state.facts.watches.get(str(Topic.SERVERS))
        if watch is not None:
            watch.check_age()


def is_outdated(report, known):
    """Return whether a report was sent before the last one of the same process.

    :param report: a :class:`PeerReport`.
    :param known: the :class:`Peer` as known before, or ``None``.
    """
    return (
        known is not None
        and known.report.incarnation == report.incarnation
        and report.clock < known.report.clock
    )


def has_fleet_facts(report):
    """Return whether a report has facts for the followers of its sender."""
    return report.log.endswith("/fleet")
