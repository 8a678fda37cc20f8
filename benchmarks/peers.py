"""Time of one call between two entries: grpclib on trio_asyncio and on asyncio.

Client and server stand in one process, so a call's time holds the work of both.
"""

import argparse
import asyncio
import statistics
import time

import trio
import trio_asyncio
from grpclib.client import Channel, UnaryUnaryMethod
from grpclib.server import Server

from wasabistage.entry import STATUS, PeerClient, StatusAsk, StatusTold
from wasabistage.entry._peers import KEY_HEADER, PATH, MsgpackCodec, PeerServer
from wasabistage.observe import MemoryMetrics

ADDRESS = "127.0.0.1:20991"
KEY = "0123456789abcdef"
WARM_UP = 50
MICROSECONDS = 1e6
TOLD = StatusTold(
    instance="entry-1",
    incarnation="0a",
    failure_domain="a",
    phase="serving",
    config_version=1,
    config_doubtful=False,
    everywhere=True,
    running=0,
    waiting=0,
    members=(),
    servers=(),
    metrics={},
)


async def answer(question):
    """Answer with a status of fixed content."""
    return TOLD


async def measure(call, count):
    """Time calls one after the other.

    :param call: asynchronous function that makes one call.
    :param count: how many calls are timed.
    :return: list of seconds.
    """
    seconds = []
    for number in range(WARM_UP + count):
        started = time.perf_counter()
        await call()
        if number >= WARM_UP:
            seconds.append(time.perf_counter() - started)
    return seconds


async def run_on_trio(count):
    """Time calls through :class:`PeerClient`, as entries make them."""
    async with trio_asyncio.open_loop(), trio.open_nursery() as nursery:
        server = PeerServer(ADDRESS, KEY)
        server.serve(STATUS, answer)
        await nursery.start(server.run)
        client = PeerClient(KEY, MemoryMetrics())
        seconds = await measure(
            lambda: client.call(ADDRESS, STATUS, StatusAsk()), count
        )
        client.close()
        nursery.cancel_scope.cancel()
    return seconds


class PlainServer(PeerServer):
    """The same server, with its handlers on asyncio."""

    def _adapt(self, handler):
        async def reply(stream):
            await stream.send_message(await handler(await stream.recv_message()))

        return reply


async def run_on_asyncio(count):
    """Time the same calls on asyncio alone."""
    host, _, port = ADDRESS.rpartition(":")
    mapping = PlainServer(ADDRESS, KEY)
    mapping.serve(STATUS, answer)
    server = Server([mapping], codec=MsgpackCodec())
    await server.start(host, int(port))
    channel = Channel(host, int(port), codec=MsgpackCodec())
    stub = UnaryUnaryMethod(channel, PATH + STATUS.name, STATUS.request, STATUS.reply)
    headers = {KEY_HEADER: KEY}
    seconds = await measure(lambda: stub(StatusAsk(), metadata=headers), count)
    channel.close()
    server.close()
    await server.wait_closed()
    return seconds


def report(name, seconds):
    """Print median and 95th percentile."""
    ordered = sorted(seconds)
    high = ordered[int(0.95 * len(ordered))] * MICROSECONDS
    middle = statistics.median(ordered) * MICROSECONDS
    print(f"{name:<24} median {middle:8.0f} us   p95 {high:8.0f} us")


def main(argv=None):
    """Run the benchmark.

    :param argv: command-line arguments; ``None`` for those of the process.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=1000)
    count = parser.parse_args(argv).calls
    report("grpclib on trio_asyncio", trio.run(run_on_trio, count))
    report("grpclib on asyncio", asyncio.run(run_on_asyncio(count)))


if __name__ == "__main__":
    main()
