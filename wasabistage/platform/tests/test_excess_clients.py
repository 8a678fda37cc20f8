"""Clients outside the limits against a process with little memory.

Each test starts a process of its own with lowered limits, plays one crowd of clients,
and checks what does not depend on the machine's speed. The runner runs this module
alone.
"""

import os
import re
import socket
import tempfile
import unittest
from contextlib import closing
from pathlib import Path

import trio

from standins.edge_program import HOSTS_PER_NETWORK, EdgeProgram
from standins.users_platform import Behaviour, StandinPlatform
from wasabistage.http1 import ChannelError, HttpClient
from wasabistage.platform.tests import client_crowds as crowds
from wasabistage.platform.tests.edge_case import HEADERS, PORTS
from wasabistage.timing import BootTimeTimerService

#: Memory and descriptors of the machine, as the settings of the tests give them. The
#: process may take no more.
MEMORY_MB = 64
MAX_FDS = 256
LIMIT_SECONDS = 60.0  # for one test
SETTLE_SECONDS = 0.5  # after a crowd has sent; what it sent has been read by then
SAMPLE_SECONDS = 0.02
ANSWER_BYTES = 1_000_000  # of a large response, below the bound of plain ones
LARGE_ANSWER = (
    b"HTTP/1.1 200 OK\r\nWasabistage-Request-Id: ID\r\nWasabistage-Response-Seal: s\r\n"
    b"Content-Length: %d\r\n\r\n" % ANSWER_BYTES
) + b"x" * ANSWER_BYTES
FIRST_NETWORK, NETWORKS = 60, 60  # loopback networks, one for each test process
STANDINS = 6  # listeners of the platform's stand-ins
ORDINARY_PATH = b"/read/x"


def find_free_port():
    """Return the first of some ports that no other process on this machine uses."""
    for port in PORTS:
        try:
            for offset in range(STANDINS):
                with socket.socket() as sock:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    sock.bind(("127.0.0.1", port + offset))
        except OSError:
            continue
        return port


class ExcessCase(unittest.TestCase):
    """Runs a platform and one process with lowered limits around each test."""

    program = None

    def play(self, crowd, listener="callers", behaviour=None):
        """Play a crowd and check the process during and after it.

        :param crowd: a :class:`wasabistage.platform.tests.client_crowds.Crowd`.
        :param listener: attribute of :class:`EdgeProgram` with the address.
        :param behaviour: how plain servers answer during the crowd, or ``None``.
        """

        async def run():
            with trio.fail_after(LIMIT_SECONDS):
                async with trio.open_nursery() as nursery:
                    await self._play(nursery, crowd, listener, behaviour)
                    nursery.cancel_scope.cancel()

        with tempfile.TemporaryDirectory() as folder:
            self.folder = folder
            try:
                trio.run(run)
            finally:
                if self.program is not None:
                    self.program.process.kill()
                    self.program.process.wait()

    async def _play(self, nursery, crowd, listener, behaviour):
        platform = StandinPlatform(find_free_port())
        await platform.start(nursery)
        limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
        high, low = divmod(os.getpid(), NETWORKS)
        self.program = EdgeProgram(
            high % NETWORKS * HOSTS_PER_NETWORK,
            f"127.{FIRST_NETWORK + low}",
            platform.store.address,
            self.folder,
            limits=limits,
        )
        self.program.start()
        await self._wait_until_answered()
        self.highest_fds = 0
        nursery.start_soon(self._sample_fds)
        for server in platform.plain:
            server.behaviour = behaviour or Behaviour()
        host, _, port = getattr(self.program, listener).rpartition(":")
        socks = await crowd.play((host, int(port)))
        await trio.sleep(SETTLE_SECONDS)
        for server in platform.plain:
            server.behaviour = Behaviour()
        # The channels of the crowd are still open.
        await self._wait_until_answered()
        await self._wait_until_ready()
        self._check()
        for sock in socks:
            sock.close()

    def _check(self):
        self.assertTrue(self.program.is_running)
        memory_mb = self._read_peak_memory_mb()
        print(f"{self.id()}: {memory_mb:.0f} MB, {self.highest_fds} descriptors")
        with self.subTest("memory"):
            self.assertLess(memory_mb, MEMORY_MB)
        with self.subTest("descriptors"):
            self.assertLessEqual(self.highest_fds, MAX_FDS)

    def _read_peak_memory_mb(self):
        text = Path(f"/proc/{self.program.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+) kB", text)[1]) / 1000.0

    async def _sample_fds(self):
        folder = f"/proc/{self.program.process.pid}/fd"
        while True:
            self.highest_fds = max(self.highest_fds, len(os.listdir(folder)))
            await trio.sleep(SAMPLE_SECONDS)

    async def _wait_until_answered(self):
        """Make an ordinary request until it is answered; each on a new channel."""
        await self._wait_for_ok(self.program.callers, ORDINARY_PATH, HEADERS)

    async def _wait_until_ready(self):
        await self._wait_for_ok(self.program.readiness, b"/v1/ready", ())

    async def _wait_for_ok(self, address, path, headers):
        while True:
            self.assertTrue(self.program.is_running)
            with closing(HttpClient(address, BootTimeTimerService())) as client:
                client.host = b"h.example"
                try:
                    reply = await client.call(
                        b"GET", path, headers=headers, timeout=5.0
                    )
                except ChannelError:
                    reply = None
            if reply is not None and reply.status == 200:
                return
            await trio.sleep(0.1)


class LargeBodyTest(ExcessCase):
    # Guards against a process that runs out of memory by bodies over the limit.
    def test_bodies_over_the_limit_announced(self):
        self.play(crowds.ANNOUNCED_OVER_LIMIT)

    def test_bodies_over_the_limit_unannounced(self):
        self.play(crowds.UNANNOUNCED_OVER_LIMIT)


class UnfinishedBodyTest(ExcessCase):
    # Guards against a process that runs out of memory by many bodies within the limit
    # that are stopped just short of their end.
    def test_announced_bodies_stopped_short(self):
        self.play(crowds.ANNOUNCED_SHORT)

    def test_chunks_of_64_kib_stopped_short(self):
        self.play(crowds.CHUNKS_OF_64_KIB)

    # Guards against a process that is busy with the framing of tiny chunks.
    def test_chunks_of_8_bytes_stopped_short(self):
        self.play(crowds.CHUNKS_OF_8_BYTES)

    def test_chunks_of_1_byte_stopped_short(self):
        self.play(crowds.CHUNKS_OF_1_BYTE)


class EndlessFramingTest(ExcessCase):
    # Guards against memory and descriptors that heads without an end hold.
    def test_heads_without_end_trickled(self):
        self.play(crowds.TRICKLED_HEADS)

    # Guards against buffers that grow by bytes that belong to no body.
    def test_chunk_extension_without_end(self):
        self.play(crowds.ENDLESS_EXTENSION)

    def test_chunk_extensions_without_end(self):
        self.play(crowds.ENDLESS_EXTENSIONS)

    def test_trailers_without_end(self):
        self.play(crowds.ENDLESS_TRAILERS)

    def test_many_headers(self):
        self.play(crowds.MANY_HEADERS)

    def test_pipelined_requests(self):
        self.play(crowds.PIPELINED)


class SlowReaderTest(ExcessCase):
    # Guards against responses that pile up for callers that do not read them.
    def test_slow_readers_of_large_responses(self):
        self.play(crowds.SLOW_READERS, behaviour=Behaviour(raw=LARGE_ANSWER))


class SilentChannelTest(ExcessCase):
    # Guards against a process without descriptors for servers and the store.
    def test_silent_channels_of_callers(self):
        self.play(crowds.SILENT)

    def test_silent_channels_to_the_readiness_listener(self):
        self.play(crowds.SILENT, "readiness")


class OtherListenerTest(ExcessCase):
    # Guards against the same by the listeners that are not the callers'.
    def test_bodies_to_the_directory(self):
        self.play(crowds.CHUNKS_OF_64_KIB, "directory")

    def test_bodies_to_the_peers_listener(self):
        self.play(crowds.ANNOUNCED_SHORT, "peers")

    def test_bodies_to_the_metrics_listener(self):
        self.play(crowds.UNANNOUNCED_OVER_LIMIT, "metrics")


if __name__ == "__main__":
    unittest.main()
