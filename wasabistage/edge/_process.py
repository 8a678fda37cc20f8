"""One edge process: starts its tasks, drains on a signal, ends."""

import os
import secrets
import signal
import sys
import traceback
from functools import partial

import msgspec
import trio

from wasabistage.edge._caches import CacheWatches
from wasabistage.edge._callers import CallerDesk, DirectoryDesk
from wasabistage.edge._desk import AnswerDesk
from wasabistage.edge._facts import SHARED_TOPICS, FactsClient, FactsDesk
from wasabistage.edge._forward import Forwarder
from wasabistage.edge._frees import FREE_PERIOD, OldPartCleaner
from wasabistage.edge._orders import OrderTask
from wasabistage.edge._peers import GOSSIP_PERIOD, GossipTask, PeerEntry
from wasabistage.edge._settings import load_edge_settings
from wasabistage.edge._state import EdgeState
from wasabistage.edge._watches import (
    ConfigurationWatch,
    EntryWatch,
    OrderWatch,
    ServerWatch,
)
from wasabistage.exceptions import SettingError
from wasabistage.fleet import StoreError, Topic
from wasabistage.http1 import Answer, listen, serve_channels
from wasabistage.routing import ServerRemoved
from wasabistage.telemetry import BoundedLineLog, TextMetrics
from wasabistage.timing import BootTimeTimerService

EXIT_BAD_SETTINGS = 2
INCARNATION_BYTES = 6
HEALTH_PERIOD = 0.25  # seconds between two looks at timed changes
SILENCE_PERIOD = 0.1  # seconds between two looks for silent servers
SETTINGS_PERIOD = 2.0  # seconds between two looks at the settings file
#: Part of the time to stop that is left for answers after the last accepted channel.
FINAL_SHARE = 0.25
IDLE_BEFORE_END = 1.0  # seconds without a request before a drained process ends
DRAIN_LOOK = 0.05  # seconds between two looks at what is under way
REGISTER_RETRY = 0.5  # seconds until a failed registration is tried again
TASK_RESTART = 0.2  # seconds until a task that failed runs again
CLEAN_PERIOD = 1.0  # seconds between two closings of expired idle channels


class MetricsDesk(AnswerDesk):
    """Answers every request with the metrics as text.

    :param state: an :class:`EdgeState`.
    """

    def answer(self, request):
        """See :meth:`AnswerDesk.answer`."""
        return Answer(
            status=200,
            headers=((b"Content-Type", b"text/plain"),),
            body=self.state.metrics.render(),
        )


class EdgeProcess:
    """The tasks of one edge process.

    :param settings: an :class:`EdgeSettings`.
    :param settings_path: path of its file, looked at for changes.
    :param platform: makes the :class:`PlatformAdapter` from a timer service.
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
        self.state.gossip = GossipTask(self.state)
        self.state.facts = FactsClient(self.state)
        self.callers = CallerDesk(self.state, Forwarder(self.state))
        self.directory = DirectoryDesk(self.state)
        #: Ends the accepting of callers' channels.
        self.accepting = trio.CancelScope()
        self.settings_changed_at = None

    async def run(self):
        """Run until drained."""
        state = self.state
        state.log.write("started", incarnation=state.incarnation)
        # Signals are watched first: one that comes early must drain, too.
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGHUP) as signals:
            async with trio.open_nursery() as nursery:
                await self._start(nursery)
                await self._follow_signals(signals)
                await self._drain()
                nursery.cancel_scope.cancel()
        state.log.write("stopped", open_requests=state.open_requests)

    async def _start(self, nursery):
        state, listen_at = self.state, self.settings.listen
        store_at = self.settings.records.store
        self.store = state.platform.create_record_store(store_at)
        watches = {
            Topic.CONFIGURATION: ConfigurationWatch,
            Topic.SERVERS: ServerWatch,
            Topic.ENTRIES: EntryWatch,
            Topic.ORDERS: OrderWatch,
        }
        running = {
            topic: watch(state, state.platform.create_record_store(store_at))
            for topic, watch in watches.items()
        }
        shared = {str(topic): running[topic] for topic in SHARED_TOPICS}
        await state.gossip.open()
        await self._listen(nursery, listen_at.callers, self.callers.serve, True)
        for address in dict.fromkeys((listen_at.readiness, listen_at.directory)):
            await self._listen(nursery, address, self.directory.serve)
        facts = FactsDesk(state, shared)
        await self._listen(nursery, listen_at.peers, facts.serve)
        metrics_at = f"{self.settings.instance.ip}:{listen_at.metrics_port}"
        await self._listen(nursery, metrics_at, MetricsDesk(state).serve)
        tasks = [watch.run for watch in running.values()]
        tasks += [
            state.gossip.run_receiving,
            state.gossip.run_early,
            CacheWatches(state).run,
            OrderTask(state, self.store, running[Topic.ORDERS]).run,
            self._register,
        ]
        subscriptions = (
            (GOSSIP_PERIOD, state.gossip.run_sending),
            (HEALTH_PERIOD, self._tick_health),
            (SILENCE_PERIOD, self._look_for_silence),
            (CLEAN_PERIOD, self._close_idle),
            (FREE_PERIOD, OldPartCleaner(state).look),
            (SETTINGS_PERIOD, self._look_at_settings),
        )
        for period, receive in subscriptions:
            tasks.append(partial(state.timer.run_subscription, period, receive))
        for task in tasks:
            nursery.start_soon(self._keep_running, task)

    async def _keep_running(self, task):
        """Run a task, and again if it fails: one failure must not end the process."""
        while True:
            try:
                await task()
                return
            except Exception as error:
                self._note_error(error)
                await trio.sleep(TASK_RESTART)

    async def _listen(self, nursery, address, serve, is_public=False):
        sock = await listen(address)
        accepting = self.accepting if is_public else None
        nursery.start_soon(serve_channels, sock, serve, self._note_error, accepting)

    def _note_error(self, error):
        self.state.metrics.count("task.failure", label=type(error).__name__)
        frames = traceback.extract_tb(first_cause(error).__traceback__)[-3:]
        self.state.log.write(
            "task_failed",
            error=type(error).__name__,
            reason=str(first_cause(error)),
            places=[f"{frame.name}:{frame.lineno}" for frame in frames],
        )

    async def _register(self):
        """Tell the other entries where this one is."""
        instance = self.settings.instance
        value = msgspec.json.encode(PeerEntry(ip=instance.ip))
        while True:
            try:
                await self.store.append(Topic.ENTRIES, value, key=instance.name)
                return
            except StoreError as error:
                self.state.log.write("registration_failed", reason=str(error))
                await trio.sleep(REGISTER_RETRY)

    async def _tick_health(self, tick):
        now = self.state.timer.now()
        for server in self.state.servers.tick(now):
            self.state.log.write("server_lapsed", server=server)
            self.state.health.observe(ServerRemoved(server=server), now)
        for change in self.state.health.tick(now):
            self.state.log.write(
                "server_health", server=change.server, state=str(change.state)
            )

    async def _look_for_silence(self, tick):
        for server in self.state.silence.tick(self.state.timer.now()):
            scopes = self.state.movable.get(server, ())
            if scopes:
                self.state.log.write("server_silent", server=server, moved=len(scopes))
            for scope in list(scopes):
                scope.cancel()

    async def _close_idle(self, tick):
        now = self.state.timer.now()
        for pool in self.state.pools.values():
            pool.close_expired(now)

    async def _follow_signals(self, signals):
        async for number in signals:
            if number == signal.SIGHUP:
                self._reload()
                continue
            self.state.log.write("stop_requested", open=self.state.open_requests)
            return

    async def _look_at_settings(self, tick):
        try:
            changed_at = os.stat(self.settings_path).st_mtime_ns
        except OSError as error:
            self.state.log.write("settings_missing", reason=str(error))
            return
        if self.settings_changed_at not in (None, changed_at):
            self._reload()
        self.settings_changed_at = changed_at

    def _reload(self):
        """Take over the settings that may change while the process runs."""
        try:
            fresh = load_edge_settings(self.settings_path)
        except SettingError as error:
            self.state.log.write("settings_refused", reason=str(error))
            return
        self.settings.peers = fresh.peers
        self.settings.bounds = fresh.bounds
        self.state.log.write("settings_reloaded")

    async def _drain(self):
        """Leave the directory, finish what is under way, then end."""
        state = self.state
        state.is_draining = True
        state.stops_at = state.timer.now() + self.settings.bounds.stop_s
        await state.gossip.tell()
        stop_after = self.settings.bounds.stop_s * (1.0 - FINAL_SHARE)
        begun = trio.current_time()
        for channel in self.callers.channels:
            channel.closing = True
        idle_since = begun
        while trio.current_time() - begun < stop_after:
            await trio.sleep(DRAIN_LOOK)
            if state.open_requests:
                idle_since = trio.current_time()
            elif trio.current_time() - idle_since > 3.0 * IDLE_BEFORE_END:
                break
        self.accepting.cancel()
        for channel in list(self.callers.channels):
            if channel.idle:
                channel.close()
        with trio.move_on_after(self.settings.bounds.stop_s * FINAL_SHARE * 0.8):
            while state.open_requests:
                await trio.sleep(DRAIN_LOOK)


def first_cause(error):
    """Return the first exception in a group, or the exception itself."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def check_edge(path):
    """Read the settings of an edge process; end the process if they are bad.

    :param path: path of the settings, an INI file.
    :return: an :class:`EdgeSettings`.
    """
    try:
        return load_edge_settings(path)
    except SettingError as error:
        print(f"bad_setting: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)


def run_edge(path, platform):
    """Run an edge process until it is told to stop.

    :param path: path of its settings, an INI file.
    :param platform: makes the :class:`PlatformAdapter` from a timer service.
    """
    settings = check_edge(path)
    trio.run(EdgeProcess(settings, path, platform).run)
