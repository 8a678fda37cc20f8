"""Runs one entry process from its start to its end."""

import secrets
import signal
import time

import trio
import trio_asyncio
from hypercorn.config import Config
from hypercorn.trio import serve

from wasabistage.declarations import Deployment
from wasabistage.entry._admission import AdmissionTask
from wasabistage.entry._app import CallerApp
from wasabistage.entry._cache import CacheTask
from wasabistage.entry._completions import CompletionServer
from wasabistage.entry._config import ConfigTask
from wasabistage.entry._context import ConfigInForce, EntryContext
from wasabistage.entry._drain import Drainer
from wasabistage.entry._gossip import GossipListeners, GossipTask
from wasabistage.entry._once import OnceTask
from wasabistage.entry._peers import PeerClient, PeerServer, log_loop_error
from wasabistage.entry._plain import PlainServer
from wasabistage.entry._rollout import RolloutTask
from wasabistage.entry._routing import RoutingTask
from wasabistage.entry._status import StatusAnswerer
from wasabistage.entry._streams import StreamsTask
from wasabistage.entry._wire import (
    CONFIG,
    GOSSIP,
    ONCE,
    SIGNS,
    STATUS,
    TRACE,
    SignsAnswer,
)
from wasabistage.membership import NoticesQuery, build_incarnation_id
from wasabistage.observe import Tracer, make_log_handler, make_logger, make_metrics
from wasabistage.reference import HttpLogClient, make_http_client
from wasabistage.timing import TrioTimerService
from wasabistage.utils import WatchedValue

INCARNATION_BYTES = 8
LOG_TIMEOUT_SECONDS = 3.0
MILLISECONDS_PER_SECOND = 1000
#: Time for idle connections to close once nothing is under way.
CLOSE_SECONDS = 0.5
log = make_logger("process")


def run_entry(settings):
    """Run an entry process until it is told to stop.

    :param settings: the :class:`wasabistage.settings.EntrySettings`.
    """
    handler = make_log_handler(settings.name, settings.log_level, settings.log_file)
    with handler.applicationbound():
        trio.run(EntryProcess(settings).run)


class EntryProcess:
    """One entry process.

    :param settings: the :class:`wasabistage.settings.EntrySettings`.
    """

    def __init__(self, settings):
        self.settings = settings

    async def run(self):
        """Start every part, serve, and drain on SIGTERM or SIGINT."""
        async with trio_asyncio.open_loop() as loop:
            loop.set_exception_handler(log_loop_error)
            async with make_http_client() as http:
                context = self._make_context(http)
                parts = EntryParts(context)
                try:
                    await parts.run()
                finally:
                    parts.plain.close()
                    context.peers.close()
                    context.tracer.close()

    def _make_context(self, http):
        settings = self.settings
        metrics = make_metrics(settings.statsd, settings.statsd_prefix)
        empty = ConfigInForce(
            version=0, deployment=Deployment(name=settings.deployment)
        )
        started_ms = int(time.time() * MILLISECONDS_PER_SECOND)
        return EntryContext(
            settings=settings,
            incarnation=build_incarnation_id(
                started_ms, secrets.token_bytes(INCARNATION_BYTES)
            ),
            timers=TrioTimerService(),
            metrics=metrics,
            tracer=Tracer(
                settings.name,
                settings.trace_spans,
                settings.trace_file,
                settings.trace_share,
            ),
            http=http,
            log=HttpLogClient(http, settings.log, LOG_TIMEOUT_SECONDS),
            peers=PeerClient(settings.peer_key, metrics),
            config=WatchedValue(empty),
        )


class EntryParts:
    """The tasks of one entry, wired to each other.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    """

    def __init__(self, context):
        self.context = context
        self.admission = AdmissionTask(context)
        self.cache = CacheTask(context)
        self.routing = RoutingTask(context, self.admission, self.cache)
        self.config = ConfigTask(context)
        self.streams = StreamsTask(context)
        listeners = GossipListeners(
            self.routing, self.admission, self.config, self.streams, self.cache
        )
        self.gossip = GossipTask(context, listeners)
        for task in (self.admission, self.cache, self.routing, self.config):
            task.gossip = self.gossip
        self.rollout = RolloutTask(context, self.routing, self.gossip)
        self.routing.rollout = self.rollout
        self.plain = PlainServer(context, self.admission, self.routing)
        self.once = OnceTask(context, self.plain, self.gossip)
        self.completions = CompletionServer(
            context,
            self.admission,
            self.routing,
            self.cache,
            self.streams,
            self.gossip,
        )
        self.app = CallerApp(
            context, self.completions, self.plain, self.once, self.gossip, self.cache
        )
        self.status = StatusAnswerer(
            context, self.config, self.gossip, self.routing, self.app
        )
        self.drainer = Drainer(
            context,
            self.app,
            self.completions,
            self.once,
            self.gossip,
            self.rollout,
        )
        self.stopped = trio.Event()

    @property
    def tasks(self):
        """The tasks in the order in which they start."""
        return (
            self.cache,
            self.admission,
            self.streams,
            self.routing,
            self.gossip,
            self.config,
            self.once,
            self.rollout,
        )

    async def run(self):
        """Run until drained."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_for_signal)
            await nursery.start(self._peer_server().run)
            for task in self.tasks:
                await nursery.start(task.run)
            log.info("started", extra={"incarnation": self.context.incarnation})
            await serve(
                self.app.build(),
                self._server_config(),
                shutdown_trigger=self.stopped.wait,
            )
            log.info("stopped")
            nursery.cancel_scope.cancel()

    def _peer_server(self):
        settings = self.context.settings
        server = PeerServer(settings.peer_listen, settings.peer_key)
        server.serve(GOSSIP, self.gossip.answer_peer)
        server.serve(CONFIG, self.config.answer_peer)
        server.serve(SIGNS, self._answer_signs)
        server.serve(ONCE, self.once.answer_peer)
        server.serve(STATUS, self.status.status)
        server.serve(TRACE, self.status.trace)
        return server

    async def _answer_signs(self, question):
        gossip = await self.routing.ask(NoticesQuery())
        return SignsAnswer(signs=gossip.notices)

    def _server_config(self):
        settings = self.context.settings
        config = Config()
        config.bind = [settings.listen]
        config.errorlog = None
        config.accesslog = None
        config.graceful_timeout = CLOSE_SECONDS
        config.keep_alive_timeout = settings.idle_timeout
        config.read_timeout = None
        config.h11_max_incomplete_size = settings.max_header_bytes
        config.include_server_header = False
        return config

    async def _wait_for_signal(self):
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                log.info("draining")
                await self.drainer.run()
                self.stopped.set()
                return
