"""Runs one entry process from its start to its end."""

import secrets
import signal

import trio
import trio_asyncio
from hypercorn.config import Config
from hypercorn.trio import serve

from wasabistage.declarations import Deployment
from wasabistage.entry._addresses import AddressAnswerer
from wasabistage.entry._app import CallerApp
from wasabistage.entry._completions import CompletionServer
from wasabistage.entry._config import ConfigTask
from wasabistage.entry._context import ConfigInForce, EntryContext
from wasabistage.entry._peers import PeerClient, PeerServer
from wasabistage.entry._plain import PlainServer
from wasabistage.entry._routing import RoutingTask
from wasabistage.entry._timer import TrioTimerService
from wasabistage.observe import Tracer, make_log_handler, make_logger, make_metrics
from wasabistage.platform import HttpLogClient, make_http_client
from wasabistage.utils import Watched

INCARNATION_BYTES = 8
LOG_TIMEOUT_SECONDS = 3.0
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
        self.stopped = None

    async def run(self):
        """Start every part, serve, and drain on SIGTERM or SIGINT."""
        self.stopped = trio.Event()
        async with trio_asyncio.open_loop():
            async with make_http_client() as http:
                await self._run_parts(self._make_context(http))

    def _make_context(self, http):
        settings = self.settings
        metrics = make_metrics(settings.statsd, settings.statsd_prefix)
        empty = ConfigInForce(
            version=0, deployment=Deployment(name=settings.deployment)
        )
        return EntryContext(
            settings=settings,
            incarnation=secrets.token_hex(INCARNATION_BYTES),
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
            config=Watched(empty),
        )

    async def _run_parts(self, context):
        routing = RoutingTask(context)
        app = CallerApp(
            context,
            CompletionServer(context, routing),
            PlainServer(context, routing),
            AddressAnswerer(context),
        )
        peers = PeerServer(self.settings.peer_listen, self.settings.peer_key)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._wait_for_signal)
            await nursery.start(peers.run)
            await nursery.start(ConfigTask(context).run)
            await nursery.start(routing.run)
            log.info("started", extra={"incarnation": context.incarnation})
            await serve(
                app.build(), self._server_config(), shutdown_trigger=self.stopped.wait
            )
            log.info("stopped")
            nursery.cancel_scope.cancel()
        context.peers.close()
        context.tracer.close()

    def _server_config(self):
        settings = self.settings
        config = Config()
        config.bind = [settings.listen]
        config.errorlog = None
        config.accesslog = None
        config.graceful_timeout = settings.drain_timeout
        config.keep_alive_timeout = settings.idle_timeout
        config.read_timeout = None
        config.h11_max_incomplete_size = settings.max_header_bytes
        config.include_server_header = False
        return config

    async def _wait_for_signal(self):
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                log.info("draining")
                self.stopped.set()
                return
