"""Base of the tests that run edge processes against the stand-in platform."""

import itertools
import os
import socket
import unittest

import trio

from standins.users_platform import StandinPlatform
from wasabistage.edge._process import EdgeProcess
from wasabistage.edge._settings import (
    BoundsSection,
    EdgeSettings,
    InstanceSection,
    ListenSection,
    PeersSection,
    RecordsSection,
)
from wasabistage.http1 import HttpClient
from wasabistage.platform import UsersPlatform
from wasabistage.telemetry import MemoryLineLog
from wasabistage.timing import BootTimeTimerService

#: Ports below those that the system hands out, in blocks that are large enough for all
#: tests of a module.
BLOCK = 1000
BLOCKS = 21
LOWEST_PORT = 11000


def reserve_block():
    """Reserve a block of ports for this process among the tests side by side.

    The last port of the block stays bound until the process ends.

    :return: the bound socket and the first port of the block.
    """
    for number in range(BLOCKS):
        first = LOWEST_PORT + (os.getpid() + number) % BLOCKS * BLOCK
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", first + BLOCK - 1))
        except OSError:
            sock.close()
            continue
        return sock, first
    raise OSError(f"all {BLOCKS} blocks of ports are in use")


RESERVATION, FIRST_PORT = reserve_block()
PORTS = itertools.count(FIRST_PORT, 20)
LIMIT = 20.0  # seconds that one test may take
SHOWN_LINES = 40  # last lines of the log that a failed test prints
HEADERS = (
    (b"Wasabistage-Request-Id", b"id-1"),
    (b"Wasabistage-Deadline-Ms", b"3000"),
    (b"Authorization", b"Bearer k1"),
)
PROMPT = (
    (b"Wasabistage-Model", b"m"),
    (b"Wasabistage-Token-Count", b"900,20"),
    (b"Wasabistage-Prompt-Prefix", b"aa:500,bb:400"),
)


def make_settings(name, base, store, **bounds):
    """Return the settings of an edge process on ports from ``base`` on."""
    return EdgeSettings(
        instance=InstanceSection(
            name=name, failure_domain="a", ip="127.0.0.1", first_start=True
        ),
        listen=ListenSection(
            callers=f"127.0.0.1:{base}",
            readiness=f"127.0.0.1:{base + 1}",
            directory=f"127.0.0.1:{base + 1}",
            peers=f"127.0.0.1:{base + 2}",
            gossip_port=base + 3,
            metrics_port=base + 4,
        ),
        records=RecordsSection(store=store),
        peers=PeersSection(),
        bounds=BoundsSection(**bounds),
    )


class EdgeCase(unittest.TestCase):
    """Runs a platform and one edge process around each test."""

    bounds = {}
    log = MemoryLineLog()

    def play(self, test):
        """Run an asynchronous test with everything started.

        :param test: asynchronous function without arguments.
        """

        async def run():
            with trio.fail_after(LIMIT):
                async with trio.open_nursery() as nursery:
                    await self.start(nursery)
                    await test()
                    nursery.cancel_scope.cancel()

        try:
            trio.run(run)
        except BaseException:
            for line in self.log.lines[-SHOWN_LINES:]:
                print(line)
            raise

    async def start(self, nursery):
        """Start the platform and the edge; wait until it is ready."""
        self.nursery = nursery
        self.platform = StandinPlatform(next(PORTS))
        await self.platform.start(nursery)
        base = next(PORTS)
        address = self.platform.store.address
        settings = make_settings("edge-1", base, address, **self.bounds)
        self.edge = EdgeProcess(settings, os.devnull, UsersPlatform)
        self.edge.state.log = MemoryLineLog()
        self.log = self.edge.state.log
        nursery.start_soon(self.edge.run)
        self.timer = BootTimeTimerService()
        self.client = HttpClient(settings.listen.callers, self.timer)
        self.directory = HttpClient(settings.listen.directory, self.timer)
        # Engines are needed with their versions, so every server must be listed.
        await self.until(
            lambda: (
                self.edge.state.is_ready
                and len(self.edge.state.servers.servers) == len(self.platform.servers)
            )
        )

    async def until(self, condition):
        """Wait until a condition holds."""
        while not condition():
            await trio.sleep(0.01)

    async def call(self, path, *headers, method=b"GET", client=None, replaced=()):
        """Call the edge as a caller."""
        names = {name for name, _ in headers} | set(replaced)
        kept = [row for row in HEADERS if row[0] not in names]
        client = client or self.client
        client.host = b"h.example"
        body = b"b" if method == b"POST" else b""
        return await client.call(method, path, body, [*kept, *headers], timeout=5.0)

    async def ask(self, path=b"/read/x", headers=(), method=b"GET", milliseconds=3000):
        """Call the edge with an id of its own."""
        self.request_count = getattr(self, "request_count", 0) + 1
        own = (b"Wasabistage-Request-Id", b"ask-%d" % self.request_count)
        patience = (b"Wasabistage-Deadline-Ms", b"%d" % milliseconds)
        return await self.call(path, own, patience, *headers, method=method)

    def clear_runs(self):
        """Forget the requests that the servers have run."""
        for server in self.platform.servers:
            server.runs.clear()

    def events(self, name):
        """Return the log lines of one event."""
        return [line for line in self.log.lines if line["event"] == name]
