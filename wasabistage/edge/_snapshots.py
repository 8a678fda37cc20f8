"""Snapshots of topics, whole states and missing facts, between entries over HTTP."""

import msgspec
import trio

from wasabistage.edge._handlers import RequestHandler
from wasabistage.edge._peer_messages import (
    BATCH_DECODER,
    ENCODER,
    SNAPSHOT_DECODER,
    STATE_DECODER,
    FactBatch,
)
from wasabistage.fleet import StoreError, Topic
from wasabistage.http1 import Answer, ChannelError, HttpClient
from wasabistage.topology import FactCursor, MissingFacts
from wasabistage.utils import UnreadableError, decode_data

SNAPSHOT_TIMEOUT_SECONDS = 0.4  # peers answer in some milliseconds
STATE_TIMEOUT_SECONDS = 2.0  # a state of 1 MB takes a second on the slowest links
#: Time for which a starting entry waits for the addresses of the others.
ENTRIES_WAIT_SECONDS = 0.2
ENTRIES_CHECK_SECONDS = 0.01  # pause between two looks for them
MAX_ASKED_ENTRIES = 8  # by a starting entry
MAX_SNAPSHOT_BYTES = 8 << 20  # twice the largest configuration
MAX_BATCH_BYTES = 1 << 20
MAX_CLIENTS = 64
SNAPSHOT_PATH = b"/facts/"
STATE_PATH = b"/state/"
LOG_PATH = b"/log/"
GONE = 410


class SnapshotHandler(RequestHandler):
    """Serves snapshots, states and facts to other entries.

    :param state: an :class:`EdgeState`.
    """

    def answer(self, request):
        """See :meth:`RequestHandler.answer`."""
        path, _, name = request.target.decode("latin-1").rpartition("/")
        if path == "/facts":
            return self._answer_snapshot(name)
        if path == "/state":
            return self._answer_state(name)
        if path.startswith("/log/"):
            return self._answer_batch(path.removeprefix("/log/"), name)
        return Answer(status=404)

    def _answer_snapshot(self, topic):
        watch = self.state.facts.watches.get(topic)
        if watch is None or not watch.is_known:
            return Answer(status=404)
        snapshot = watch.build_snapshot(self.state.timer.now())
        return Answer(status=200, body=ENCODER.encode(snapshot))

    def _answer_state(self, name):
        if self.state.facts.get_log(name) is None:
            return Answer(status=404)
        return Answer(
            status=200, body=ENCODER.encode(self.state.facts.build_state(name))
        )

    def _answer_batch(self, name, position):
        log = self.state.facts.get_log(name)
        if log is None or not position.isdigit() or len(position) > 18:
            return Answer(status=404)
        facts = log.read(int(position), MAX_BATCH_BYTES)
        if not isinstance(facts, list):
            return Answer(status=GONE)
        batch = FactBatch(log.log, int(position), [msgspec.Raw(item) for item in facts])
        return Answer(status=200, body=ENCODER.encode(batch))


class SnapshotClient:
    """Requests snapshots, states and facts from other entries.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.clients = {}

    async def request(self, topic, ip=None):
        """Request the snapshot of a topic.

        :param topic: name of the topic.
        :param ip: IP of the entry to ask; ``None`` for any, preferably one that reaches
            the record store.
        :return: a tuple of :class:`TopicSnapshot` and the time of the request,
            monotonic seconds.
        :raises StoreError: if no other entry is known, or the entry gave no snapshot.
        """
        ip = ip or self._select_ip()
        requested_at = self.state.timer.now()
        target = SNAPSHOT_PATH + topic.encode()
        try:
            reply = await self._call(ip, target, SNAPSHOT_TIMEOUT_SECONDS)
            if reply.status != 200:
                raise StoreError(f"peer {ip} has not read the topic yet")
            return decode_data(SNAPSHOT_DECODER, reply.body), requested_at
        except (ChannelError, UnreadableError) as error:
            raise StoreError(f"peer {ip} sent no snapshot: {error}") from error

    async def request_from_several(self, topic):
        """Request the snapshot of a topic from several entries at once.

        :param topic: name of the topic.
        :return: list of tuples as of :meth:`request`, from those that answered in time;
            the one with the newest end is the last.
        """
        found = []

        async def request_from(ip):
            try:
                found.append(await self.request(topic, ip))
            except StoreError:
                # An entry that has just started, too, knows nothing.
                return

        with trio.move_on_after(SNAPSHOT_TIMEOUT_SECONDS):
            await self._wait_for_entries()
            async with trio.open_nursery() as nursery:
                for ip in self._select_several_ips():
                    nursery.start_soon(request_from, ip)
        return sorted(found, key=lambda item: item[0].end)

    async def _wait_for_entries(self):
        """Wait until the topic of entries was read, for some time at most."""
        watch = self.state.facts.watches.get(str(Topic.ENTRIES))
        with trio.move_on_after(ENTRIES_WAIT_SECONDS):
            while watch is not None and not watch.is_known:
                await trio.sleep(ENTRIES_CHECK_SECONDS)

    def _select_several_ips(self):
        state, view = self.state, self.state.view
        ips = {peer.report.ip for peer in state.peers.values()}
        ips |= {entry.ip for entry in view.known_entries.values()} | set(view.seed_ips)
        ips = sorted(ips - {state.settings.instance.ip})
        return state.random.sample(ips, min(len(ips), MAX_ASKED_ENTRIES))

    async def _call(self, ip, target, timeout):
        if ip not in self.clients:
            if len(self.clients) >= MAX_CLIENTS:
                self.clients.pop(next(iter(self.clients))).close()
            port = self.state.settings.listen.peers.rpartition(":")[2]
            self.clients[ip] = HttpClient(
                f"{ip}:{port}", self.state.timer, MAX_SNAPSHOT_BYTES
            )
        return await self.clients[ip].call(b"GET", target, timeout=timeout)

    def _select_ip(self):
        state, view = self.state, self.state.view
        own = state.settings.instance.ip
        ips = [peer.report.ip for peer in state.peers.values() if peer.report.has_store]
        ips = ips or [peer.report.ip for peer in state.peers.values()]
        ips = ips or [entry.ip for entry in view.known_entries.values()]
        ips = [ip for ip in ips or view.seed_ips if ip != own]
        if not ips:
            raise StoreError("no other entry is known")
        return state.random.choice(ips)

    async def run(self):
        """Request missing facts whenever a report shows a gap, until cancelled."""
        reports = self.state.reports
        async with trio.open_nursery() as nursery:
            while True:
                await reports.gap_event.wait()
                reports.gap_event = trio.Event()
                for name, (ip, log, gap) in list(reports.gaps.items()):
                    if name not in reports.open_gaps:
                        reports.open_gaps.add(name)
                        nursery.start_soon(self._close_gap, name, ip, log, gap)

    async def _close_gap(self, name, ip, log, gap):
        reports, exchange = self.state.reports, self.state.facts
        cursor = reports.cursors.setdefault(f"{name}/{log}", FactCursor())
        try:
            if gap.position is not None:
                target = LOG_PATH + f"{log}/{gap.position}".encode()
                reply = await self._call(ip, target, STATE_TIMEOUT_SECONDS)
                if reply.status == 200:
                    batch = decode_data(BATCH_DECODER, reply.body)
                    new = cursor.accept(batch.log, batch.first, batch.facts)
                    if not isinstance(new, MissingFacts):
                        for fact in new:
                            exchange.apply(fact, ip)
                        return
            requested_at = self.state.timer.now()
            target = STATE_PATH + log.encode()
            reply = await self._call(ip, target, STATE_TIMEOUT_SECONDS)
            if reply.status != 200:
                raise ChannelError(f"the peer answered {reply.status}")
            fleet_state = decode_data(STATE_DECODER, reply.body)
            exchange.apply_state(fleet_state, requested_at)
            cursor.set(fleet_state.log, fleet_state.position)
        except (ChannelError, UnreadableError) as error:
            self.state.metrics.count("peer.failures")
            self.state.log.write("peer_state_missing", peer=name, reason=str(error))
        finally:
            reports.gaps.pop(name, None)
            reports.open_gaps.discard(name)

    async def request_wanted_records(self, tick):
        """Request the records that were too large or missed.

        An entry that turns out not to have such a record told nonsense, or was not
        asked as it is gone; who reads the topic next tells of the record again. Called
        by the timer service.

        :param tick: unused.
        """
        exchange = self.state.facts
        for key, (record, ip) in list(exchange.wanted_records.items()):
            topic, _ = key
            watch = exchange.watches[topic]
            if not watch.is_newer(record) or await self._request_topic(topic, ip):
                exchange.wanted_records.pop(key, None)
        for topic, (offset, ip) in list(exchange.missed_offsets.items()):
            watch = exchange.watches[topic]
            if watch.newest_fact >= offset or await self._request_topic(topic, ip):
                exchange.missed_offsets.pop(topic, None)
        await self._request_newer_configuration()

    async def _request_newer_configuration(self):
        """Request the configuration of an entry that reports a newer version."""
        state, topic = self.state, str(Topic.CONFIGURATION)
        watch = state.facts.watches[topic]
        name = watch.find_newer_peer()
        if name is None:
            return
        report = state.peers[name].report
        is_applied = await self._request_topic(topic, report.ip)
        if is_applied:
            # Without effect if that version is in force now.
            watch.claims.refute(name, report.configuration_version)

    async def _request_topic(self, topic, ip):
        """Apply the snapshot of an entry, or of any if that one sends no reports.

        :param topic: name of the topic.
        :param ip: IP of the entry.
        :return: whether a snapshot was applied.
        """
        peers = self.state.peers.values()
        is_live = any(peer.report.ip == ip for peer in peers)
        try:
            snapshot, requested_at = await self.request(topic, ip if is_live else None)
        except StoreError as error:
            self.state.log.write("facts_missing", topic=topic, reason=str(error))
            return False
        self.state.facts.watches[topic].apply_snapshot(snapshot, requested_at)
        return True
