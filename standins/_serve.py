"""Serve one quart application on one address until the process is told to stop."""

import signal

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

GRACE_SECONDS = 1.0


async def serve_app(app, address):
    """Serve until SIGTERM or SIGINT.

    :param app: a :class:`quart_trio.QuartTrio` application.
    :param address: ``IP:PORT`` to listen on.
    """
    config = Config()
    config.bind = [address]
    config.errorlog = None
    config.accesslog = None
    config.graceful_timeout = GRACE_SECONDS
    stopped = trio.Event()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_wait_for_signal, stopped)
        await serve(app, config, shutdown_trigger=stopped.wait)
        nursery.cancel_scope.cancel()


async def _wait_for_signal(stopped):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            stopped.set()
            return
