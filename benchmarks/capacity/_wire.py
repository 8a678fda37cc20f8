"""Bytes of one gossip call on the wire, through a relay that counts them."""

import trio
import trio_asyncio

from benchmarks.capacity._slopes import point
from wasabistage.admission import AccountDemand, DemandReport
from wasabistage.cache import PrefixCommitted
from wasabistage.entry._peers import PeerClient, PeerServer
from wasabistage.entry._wire import GOSSIP, Gossip, GossipReply
from wasabistage.membership import Heartbeat
from wasabistage.observe import MemoryMetrics

HOST = "127.0.0.1"
KEY = "0123456789abcdef0123456789abcdef"
CALLS = 50
#: Client accounts in the demand report of a usual call.
BUSY_ACCOUNTS = 10
CHUNK = 1 << 16
#: Addresses of IP and TCP in front of each segment; one segment each way a call.
SEGMENT_BYTES = 52


def make_heartbeat():
    """Build a heartbeat of a usual size."""
    return Heartbeat(
        instance="entry-0001",
        incarnation="0" * 28,
        sequence=1 << 20,
        failure_domain="domain-01",
        caller_address="10.100.100.100:8080",
        peer_address="10.100.100.100:8081",
        load=0.5,
        config_version=1 << 20,
        newest_offset=1 << 30,
    )


def make_gossip(accounts=0, commits=0):
    """Build a gossip message.

    :param accounts: client accounts in its demand report.
    :param commits: commit records in it.
    :return: a :class:`wasabistage.entry._wire.Gossip`.
    """
    demands = tuple(
        AccountDemand(
            service="hints", account=f"account-{number}", rate=1234.5, slots=2.5
        )
        for number in range(accounts)
    )
    report = DemandReport(
        entry="entry-0001", incarnation=1 << 40, sequence=1 << 20, demands=demands
    )
    records = tuple(
        PrefixCommitted(store="store-1", tail="0" * 32, pieces=20, session="0" * 32)
        for _ in range(commits)
    )
    return Gossip(heartbeat=make_heartbeat(), demand=report, commits=records)


class CountingRelay:
    """Passes connections on and counts their bytes.

    :param target: port that it passes them on to.
    """

    def __init__(self, target):
        self.target = target
        self.bytes = 0

    async def serve(self, stream):
        """Pass one connection on."""
        async with await trio.open_tcp_stream(HOST, self.target) as other:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, stream, other)
                nursery.start_soon(self._copy, other, stream)

    async def _copy(self, source, sink):
        try:
            async for data in source:
                self.bytes += len(data)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return


async def count_bytes(gossip):
    """Send a message many times and count.

    :param gossip: the message.
    :return: bytes of one call, both ways, headers of the segments included.
    """

    async def answer(request):
        return GossipReply(heartbeat=make_heartbeat())

    listeners = await trio.open_tcp_listeners(0, host=HOST)
    port = listeners[0].socket.getsockname()[1]
    spare = await trio.open_tcp_listeners(0, host=HOST)
    target = spare[0].socket.getsockname()[1]
    await spare[0].aclose()
    relay = CountingRelay(target)
    server = PeerServer(f"{HOST}:{target}", KEY)
    server.serve(GOSSIP, answer)
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        await nursery.start(server.run)
        nursery.start_soon(trio.serve_listeners, relay.serve, listeners)
        client = PeerClient(KEY, MemoryMetrics())
        await client.call(f"{HOST}:{port}", GOSSIP, gossip)
        before = relay.bytes
        for _ in range(CALLS):
            await client.call(f"{HOST}:{port}", GOSSIP, gossip)
        counted = relay.bytes - before
        client.close()
        nursery.cancel_scope.cancel()
    return counted / CALLS + 2 * SEGMENT_BYTES


def measure_wire():
    """Measure the gossip of a quiet and of a busy entry.

    :return: a list of :class:`benchmarks.capacity._slopes.Slope`.
    """
    rows = []
    for accounts, commits in ((0, 0), (10, 0), (10, 4), (100, 0)):
        size = trio.run(count_bytes, make_gossip(accounts, commits))
        what = f"accounts, {commits} commit records"
        rows.append(point("gossip", accounts, what, "bytes per call", size))
    return rows
