"""A relay of TCP connections that a test can cut, in one direction or in both."""

import threading
from dataclasses import dataclass

import trio

CHUNK_BYTES = 1 << 16
STEP_SECONDS = 0.02


@dataclass
class Cut:
    """What is cut.

    :ivar to_server: bytes towards the server are held back.
    :ivar to_caller: bytes towards the caller are held back.
    :ivar refuse: connections are closed at once, old and new ones.
    """

    to_server: bool = False
    to_caller: bool = False
    refuse: bool = False


class Relay:
    """Relays connections in a thread of the test's own process.

    :param listen: ``IP:PORT`` to listen on.
    :param target: ``IP:PORT`` to relay to.
    """

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.cut = Cut()
        self.token = None
        self.scope = trio.CancelScope()
        self.ready = threading.Event()
        self.thread = threading.Thread(target=trio.run, args=(self._run,), daemon=True)

    def start(self):
        """Start to relay."""
        self.thread.start()
        self.ready.wait()

    def stop(self):
        """Stop and close every connection."""
        self.token.run_sync_soon(self.scope.cancel)
        self.thread.join()

    async def _run(self):
        self.token = trio.lowlevel.current_trio_token()
        host, _, port = self.listen.rpartition(":")
        with self.scope:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(int(port), host=host)
                self.ready.set()
                await trio.serve_listeners(
                    self._relay, listeners, handler_nursery=nursery
                )

    async def _relay(self, caller):
        host, _, port = self.target.rpartition(":")
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await caller.aclose()
            return
        async with caller, server, trio.open_nursery() as nursery:
            nursery.start_soon(self._watch, nursery.cancel_scope)
            nursery.start_soon(
                self._copy, caller, server, "to_server", nursery.cancel_scope
            )
            nursery.start_soon(
                self._copy, server, caller, "to_caller", nursery.cancel_scope
            )

    async def _watch(self, scope):
        while not self.cut.refuse:
            await trio.sleep(STEP_SECONDS)
        scope.cancel()

    async def _copy(self, source, sink, direction, scope):
        try:
            while data := await source.receive_some(CHUNK_BYTES):
                while getattr(self.cut, direction):
                    await trio.sleep(STEP_SECONDS)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
