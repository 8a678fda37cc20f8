"""The edge process: starts its tasks, drains on a signal, then stops."""

import os
import secrets
import signal
import sys
import traceback
from functools import partial

import msgspec
import trio

from wasabistage.edge._caches import CacheWatcher
from wasabistage.edge._callers import CallerHandler, DirectoryHandler
from wasabistage.edge._cold_servers import count_cold_servers
from wasabistage.edge._crash_watch import CrashWatch
from wasabistage.edge._explain import Explainer
from wasabistage.edge._facts import SHARED_TOPICS, FactExchange
from wasabistage.edge._fleet_view import FleetView
from wasabistage.edge._forward import Forwarder
from wasabistage.edge._handlers import RequestHandler
from wasabistage.edge._intake import (
    DIRECTORY,
    LINE_INTERVAL_SECONDS,
    METRICS,
    PEERS,
    READINESS,
    create_intake,
)
from wasabistage.edge._load_exchange import LoadExchange
from wasabistage.edge._notices import NoticeTask
from wasabistage.edge._old_parts import FREE_INTERVAL_SECONDS, OldPartCleaner
from wasabistage.edge._orders import OrderTask
from wasabistage.edge._peer_messages import PeerEntry
from wasabistage.edge._peers import PEER_REPORT_INTERVAL_SECONDS, ReportTask
from wasabistage.edge._settings import load_edge_settings
from wasabistage.edge._snapshots import SnapshotClient, SnapshotHandler
from wasabistage.edge._state import EdgeState
from wasabistage.edge._version_watch import CHECK_INTERVAL_SECONDS
from wasabistage.edge._watches import (
    ConfigurationWatch,
    EntryWatch,
    OrderWatch,
    ServerWatch,
)
from wasabistage.exceptions import SettingError
from wasabistage.fleet import StoreError, Topic, get_era
from wasabistage.http1 import Answer, listen, serve_channels
from wasabistage.routing import ServerRemoved
from wasabistage.telemetry import BoundedLineLog, TextMetrics
from wasabistage.timing import BootTimeTimerService

EXIT_BAD_SETTINGS = 2
INCARNATION_BYTES = 6
HEALTH_INTERVAL_SECONDS = 0.25  # pause between two checks for timed changes
SILENCE_INTERVAL_SECONDS = 0.1  # pause between two checks for silent servers
TOPICS_INTERVAL_SECONDS = 0.1  # pause between two checks for large records to request
SETTINGS_INTERVAL_SECONDS = 2.0  # pause between two checks of the settings file
#: Fraction of ``stop_s`` left for open requests after the last channel is accepted.
FINAL_DRAIN_FRACTION = 0.25
#: Fraction of that time after which requests that are still open are cut, so that the
#: process ends by itself.
FINAL_WAIT_FRACTION = 0.8
#: A draining process stops accepting channels once it has had no open request for three
#: times this period.
IDLE_TIMEOUT_SECONDS = 1.0
LAST_RESPONSE_SECONDS = 0.2  # for the final responses of requests that are ended
DRAIN_INTERVAL_SECONDS = 0.05  # pause between two checks for open requests
REGISTER_RETRY_SECONDS = 0.5
REGISTER_INTERVAL_SECONDS = 0.02  # pause between two checks for the known entries
ERA_INTERVAL_SECONDS = 0.25  # pause between two looks at the era of the store
#: Shortest time over which all entries write their records again, and their largest
#: rate together. Servers and operators write at the same time.
MIN_REGISTER_SPREAD_SECONDS = 1.0
MAX_REGISTRATIONS_PER_SECOND = 100.0
TASK_RESTART_SECONDS = 0.2  # pause before a failed task is restarted
IDLE_CHANNELS_INTERVAL_SECONDS = 1.0


class MetricsHandler(RequestHandler):
    """Answers every request with the metrics as text, or with an explanation.

    :param state: an :class:`EdgeState`.
    :param explainer: an :class:`Explainer`.
    """

    def __init__(self, state, explainer):
        super().__init__(state)
        self.explainer = explainer

    def answer(self, request):
        """See :meth:`RequestHandler.answer`."""
        if self.explainer.accepts(request):
            return self.explainer.answer(request)
        return Answer(
            status=200,
            headers=((b"Content-Type", b"text/plain"),),
            body=self.state.metrics.render(),
        )


class EdgeProcess:
    """The tasks of one edge process.

    :param settings: an :class:`EdgeSettings`.
    :param settings_path: path of the settings file, which is checked for changes.
    :param platform: function that creates the :class:`PlatformAdapter` from a timer
        service.
    """

    def __init__(self, settings, settings_path, platform):
        self.settings = settings
        self.settings_path = settings_path
        timer = BootTimeTimerService()
        log = BoundedLineLog(settings.instance.name, timer)
        incarnation = secrets.token_hex(INCARNATION_BYTES)
        self.state = EdgeState(
            settings, timer, platform(timer), log, TextMetrics(), incarnation
        )
        self.state.view = FleetView(self.state)
        self.state.loads = LoadExchange(self.state, PEER_REPORT_INTERVAL_SECONDS)
        self.state.facts = FactExchange(self.state)
        self.state.reports = ReportTask(self.state)
        self.state.notices = NoticeTask(self.state)
        self.state.snapshots = SnapshotClient(self.state)
        self.state.crash_watch = CrashWatch(self.state)
        self.state.intake, self.refusals = create_intake(self.state)
        self.callers = CallerHandler(self.state, Forwarder(self.state))
        self.directory = DirectoryHandler(self.state)
        #: Cancelled to stop accepting channels of callers.
        self.accept_scope = trio.CancelScope()
        self.are_evacuations_stale = False
        #: Modification time of the settings file, in nanoseconds.
        self.settings_changed_at = None

    async def run(self):
        """Run until a stop signal, drain, then stop."""
        state = self.state
        state.log.write("started", incarnation=state.incarnation)
        # Signals are handled from the start, so that an early one drains, too.
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                await self._wait_for_stop_signal(signals)
                await self._drain()
                nursery.cancel_scope.cancel()
        state.log.write("stopped", open_requests=state.open_requests)

    async def _start(self, nursery):
        state, addresses = self.state, self.settings.listen
        store_address = self.settings.records.store
        self.store = self._create_record_store(store_address)
        watch_classes = {
            Topic.CONFIGURATION: ConfigurationWatch,
            Topic.SERVERS: ServerWatch,
            Topic.ENTRIES: EntryWatch,
            Topic.ORDERS: OrderWatch,
        }
        watches = {
            topic: watch_class(state, self._create_record_store(store_address))
            for topic, watch_class in watch_classes.items()
        }
        state.facts.watches = {str(topic): watches[topic] for topic in SHARED_TOPICS}
        await state.reports.open()
        await state.notices.open()
        await self._listen(nursery, addresses.callers, self.callers.serve, True)
        metrics_address = f"{self.settings.instance.ip}:{addresses.metrics_port}"
        explainer = Explainer(state, self.directory.selector)
        listeners = [
            (addresses.readiness, READINESS, self.directory),
            (addresses.directory, DIRECTORY, self.directory),
            (addresses.peers, PEERS, SnapshotHandler(state)),
            (metrics_address, METRICS, MetricsHandler(state, explainer)),
        ]
        if addresses.readiness == addresses.directory:
            listeners.pop(0)
        for address, group, handler in listeners:
            await self._listen(nursery, address, partial(handler.serve, group))
        tasks = [watch.run for watch in watches.values()]
        if state.notices.sock is not None:
            tasks += [state.notices.run_sending, state.notices.run_receiving]
        tasks += [
            state.reports.run_receiving,
            state.reports.run_early_sending,
            state.snapshots.run,
            CacheWatcher(state).run,
            OrderTask(state, self.store, watches[Topic.ORDERS]).run,
            self._register,
        ]
        subscriptions = (
            (PEER_REPORT_INTERVAL_SECONDS, state.reports.send_periodically),
            (HEALTH_INTERVAL_SECONDS, self._update_health),
            (HEALTH_INTERVAL_SECONDS, state.crash_watch.tick),
            (SILENCE_INTERVAL_SECONDS, self._cancel_silent_attempts),
            (CHECK_INTERVAL_SECONDS, self.callers.forwarder.version_watch.tick),
            (IDLE_CHANNELS_INTERVAL_SECONDS, self._close_idle_channels),
            (LINE_INTERVAL_SECONDS, self.refusals.write_lines),
            (FREE_INTERVAL_SECONDS, OldPartCleaner(state).free_old_parts),
            (SETTINGS_INTERVAL_SECONDS, self._check_settings_file),
            (TOPICS_INTERVAL_SECONDS, state.snapshots.request_wanted_records),
        )
        for period, receive in subscriptions:
            tasks.append(partial(state.timer.run_subscription, period, receive))
        for task in tasks:
            nursery.start_soon(self._keep_running, task)

    def _create_record_store(self, address):
        return self.state.platform.create_record_store(address, self.state.store_era)

    async def _keep_running(self, task):
        """Run a task and restart it if it fails, so that the process survives."""
        while True:
            try:
                await task()
                return
            except Exception as error:
                self._record_error(error)
                await trio.sleep(TASK_RESTART_SECONDS)

    async def _listen(self, nursery, address, serve, is_public=False):
        sock = await listen(address)
        accept_scope = self.accept_scope if is_public else None
        nursery.start_soon(
            serve_channels, sock, serve, self._record_error, accept_scope
        )

    def _record_error(self, error):
        self.state.metrics.count("task.failure", label=type(error).__name__)
        frames = traceback.extract_tb(get_first_cause(error).__traceback__)[-3:]
        self.state.log.write(
            "task_failed",
            error=type(error).__name__,
            reason=str(get_first_cause(error)),
            places=[f"{frame.name}:{frame.lineno}" for frame in frames],
        )

    async def _register(self):
        """Append the record that gives other entries the address of this one.

        It replaces the record of an earlier process, which is read first. A store that
        has returned from an older copy may have lost it, so it is written again.
        """
        watch = self.state.facts.watches[str(Topic.ENTRIES)]
        while not watch.is_known:
            await trio.sleep(REGISTER_INTERVAL_SECONDS)
        instance = self.settings.instance
        entry = PeerEntry(
            ip=instance.ip,
            failure_domain=instance.failure_domain,
            weight=instance.weight,
            capacity=self.settings.capacity,
            incarnation=self.state.incarnation,
        )
        value = msgspec.json.encode(entry)
        era = 0
        while True:
            # Another entry may tell an era before the store does, or a wrong one.
            era = max(era, watch.era, await self._append_registration(value))
            while max(self.state.store_era.era, watch.era) <= era:
                await trio.sleep(ERA_INTERVAL_SECONDS)
            entries = len(self.state.view.get_members())
            spread = get_registration_spread(entries)
            await trio.sleep(spread * self.state.random.random())

    async def _append_registration(self, value):
        """Append the record of this entry; return the era that it was written in."""
        while True:
            try:
                place = await self.store.append(
                    Topic.ENTRIES, value, key=self.settings.instance.name
                )
            except StoreError as error:
                self.state.log.write("registration_failed", reason=str(error))
                await trio.sleep(REGISTER_RETRY_SECONDS)
                continue
            self.state.view.record_registration(self.state.incarnation)
            return get_era(place)

    async def _update_health(self, tick):
        now = self.state.timer.now()
        for server in self.state.servers.tick(now):
            self.state.log.write("server_lapsed", server=server)
            self.state.health.observe(ServerRemoved(server=server), now)
        self._check_evacuations_confirmed(now)
        self.state.pace.tick(now)
        self.state.cold_allowance.tick(now)
        self.state.metrics.gauge("servers.cold", count_cold_servers(self.state, now))
        self.state.metrics.gauge("fleet.entries", self.state.entry_count or 0)
        for change in self.state.health.tick(now):
            self.state.log.write(
                "server_health", server=change.server, state=str(change.state)
            )

    def _check_evacuations_confirmed(self, now):
        """Log when orders to evacuate may be unknown for longer than their bound."""
        watch = self.state.facts.watches[str(Topic.CONFIGURATION)]
        age = now - watch.confirmed_at
        are_stale = age > self.settings.bounds.evacuate_ms / 1000.0
        if watch.is_known and are_stale != self.are_evacuations_stale:
            self.are_evacuations_stale = are_stale
            event = "evacuations_unconfirmed" if are_stale else "evacuations_confirmed"
            self.state.log.write(event, age=round(age, 3))

    async def _cancel_silent_attempts(self, tick):
        now, forwarder = trio.current_time(), self.callers.forwarder
        forwarder.slow_writes.tick()
        has_moved_begun = False
        for server in self.state.silence.tick(self.state.timer.now()):
            moved = []
            for wait in self.state.repeatable_waits.get(server, ()):
                # Several would take the same room.
                if wait.exchange.has_begun and has_moved_begun:
                    continue
                if wait.is_too_long(now) and forwarder.retries.prepare_move(wait):
                    moved.append(wait)
                    has_moved_begun |= wait.exchange.has_begun
            if moved:
                self.state.log.write("server_silent", server=server, moved=len(moved))
            for wait in moved:
                wait.scope.cancel()

    async def _close_idle_channels(self, tick):
        now = self.state.timer.now()
        for pool in self.state.pools.values():
            pool.close_expired(now)

    async def _wait_for_stop_signal(self, signals):
        async for number in signals:
            if number == signal.SIGHUP:
                self._reload_settings()
                continue
            self.state.log.write("stop_requested", open=self.state.open_requests)
            return

    async def _check_settings_file(self, tick):
        try:
            changed_at = os.stat(self.settings_path).st_mtime_ns
        except OSError as error:
            self.state.log.write("settings_missing", reason=str(error))
            return
        if self.settings_changed_at not in (None, changed_at):
            self._reload_settings()
        self.settings_changed_at = changed_at

    def _reload_settings(self):
        """Read the settings again and apply those that may change at run time."""
        try:
            new_settings = load_edge_settings(self.settings_path)
        except SettingError as error:
            self.state.log.write("settings_refused", reason=str(error))
            return
        self.settings.peers = new_settings.peers
        self.settings.bounds = new_settings.bounds
        self.settings.regions = new_settings.regions
        self.state.log.write("settings_reloaded")

    async def _drain(self):
        """Report that this entry is not ready, then wait for open requests to end."""
        state = self.state
        state.is_draining = True
        stop_seconds = self.settings.bounds.stop_s
        final_seconds = stop_seconds * FINAL_DRAIN_FRACTION * FINAL_WAIT_FRACTION
        stop_after = stop_seconds * (1.0 - FINAL_DRAIN_FRACTION)
        state.stops_at = state.timer.now() + stop_after + final_seconds
        await state.reports.send_report()
        started_at = trio.current_time()
        for channel in self.callers.channels:
            channel.closing = True
        idle_since = started_at
        while trio.current_time() - started_at < stop_after:
            await trio.sleep(DRAIN_INTERVAL_SECONDS)
            if state.open_requests:
                idle_since = trio.current_time()
            elif trio.current_time() - idle_since > 3.0 * IDLE_TIMEOUT_SECONDS:
                break
        self.accept_scope.cancel()
        for channel in list(self.callers.channels):
            if channel.idle:
                channel.close()
        await self._wait_for_open_requests(final_seconds)
        self.callers.end_open_requests()
        await self._wait_for_open_requests(LAST_RESPONSE_SECONDS)

    async def _wait_for_open_requests(self, seconds):
        with trio.move_on_after(seconds):
            while self.state.open_requests:
                await trio.sleep(DRAIN_INTERVAL_SECONDS)


def get_registration_spread(entries):
    """Return the time over which all entries write their records again, in seconds.

    :param entries: number of entries.
    """
    return max(MIN_REGISTER_SPREAD_SECONDS, entries / MAX_REGISTRATIONS_PER_SECOND)


def get_first_cause(error):
    """Return the first exception of an exception group, or the exception itself."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def check_edge(path):
    """Read the settings of an edge process; exit if they are invalid.

    :param path: path of the settings, an INI file.
    :return: an :class:`EdgeSettings`.
    """
    try:
        return load_edge_settings(path)
    except SettingError as error:
        print(f"bad_setting: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def run_edge(path, platform):
    """Run an edge process until it receives a stop signal.

    :param path: path of its settings, an INI file.
    :param platform: function that creates the :class:`PlatformAdapter` from a timer
        service.
    """
    settings = check_edge(path)
    trio.run(EdgeProcess(settings, path, platform).run)
