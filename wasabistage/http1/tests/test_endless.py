import socket
import unittest
from functools import partial

import trio

from wasabistage.http1 import ByteBudget, ChannelError, NoRoomError, open_channel
from wasabistage.http1._channel import MAX_SKIPPED_BYTES, READ_BYTES

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"x" * 4096
MAX_BODY_BYTES = 100_000
LIMIT_SECONDS = 10.0
SOCKET_BUFFER_BYTES = 65536  # of each socket; the system doubles it for its own use
#: Bytes that a server may have sent before its channel is closed: the largest bound of
#: the reader, one read beyond it, and what the two sockets hold.
MAX_SENT_BYTES = MAX_SKIPPED_BYTES + READ_BYTES + 2 * 2 * SOCKET_BUFFER_BYTES

#: Name, first bytes, repeated bytes.
PHASES = (
    ("status line", b"", BLOCK),
    ("headers", OK, b"X-Header: " + BLOCK + b"\r\n"),
    ("one header", OK + b"X-Header: ", BLOCK),
    ("interim responses", b"", b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" * 50),
    ("body without length", OK + b"\r\n", BLOCK),
    ("body in chunks", CHUNKED, b"1000\r\n" + BLOCK + b"\r\n"),
    ("chunk extension", CHUNKED + b"5;", BLOCK),
    ("chunk size", CHUNKED, b"0" * 4096),
    ("trailers", CHUNKED + b"0\r\n", b"X-Trailer: " + BLOCK + b"\r\n"),
)


class EndlessServer:
    """Server that sends bytes on each channel until it is closed.

    :param first: first bytes.
    :param repeated: bytes to repeat.
    :param pause: pause between two sends, in seconds.
    """

    def __init__(self, first, repeated, pause=0.0):
        self.first = first
        self.repeated = repeated
        self.pause = pause
        self.sent = 0
        self.is_closed = trio.Event()

    async def serve(self, stream):
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)
        try:
            await stream.receive_some(65536)
            await stream.send_all(self.first)
            while True:
                await stream.send_all(self.repeated)
                self.sent += len(self.repeated)
                await trio.sleep(self.pause)
        except trio.BrokenResourceError:
            self.is_closed.set()


async def read_response(channel):
    headers = [(b"Host", b"h")]
    await channel.send_request(b"GET", b"/", headers, b"")
    await channel.read_head()
    return await channel.read_body(MAX_BODY_BYTES)


class EndlessResponseTest(unittest.TestCase):
    def play(self, test, *arguments):
        async def run():
            with trio.fail_after(LIMIT_SECONDS):
                await test(*arguments)

        trio.run(run)

    async def read_from(self, server, read=read_response):
        async with trio.open_nursery() as nursery:
            open_listeners = partial(trio.serve_tcp, host="127.0.0.1")
            listeners = await nursery.start(open_listeners, server.serve, 0)
            address = listeners[0].socket.getsockname()
            channel = await open_channel(address, 1.0)
            channel.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES
            )
            try:
                with self.assertRaises(ChannelError):
                    await read(channel)
            finally:
                channel.close()
            await server.is_closed.wait()
            nursery.cancel_scope.cancel()

    def test_each_phase_is_bounded(self):
        for name, first, repeated in PHASES:
            with self.subTest(name):
                server = EndlessServer(first, repeated)
                self.play(self.read_from, server)
                self.assertLess(server.sent, MAX_SENT_BYTES)

    def test_skipped_responses_are_bounded(self):
        async def skip(channel):
            await channel.send_request(b"GET", b"/", [(b"Host", b"h")], b"")
            while True:
                await channel.read_head()
                await channel.skip_response()

        extra = b"HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n" + BLOCK
        server = EndlessServer(b"", extra)
        self.play(self.read_from, server, skip)
        self.assertLess(server.sent, MAX_SENT_BYTES)

    # Guards against small responses that fail while large ones use up the budget.
    def test_small_body_is_read_while_the_budget_is_used_up(self):
        budget = ByteBudget(1000, free_bytes=100)
        with budget.hold() as large, budget.hold() as small:
            large.add(1100)
            with self.assertRaises(NoRoomError):
                large.add(1)
            small.add(100)
            with self.assertRaises(NoRoomError):
                small.add(1)
            large.finish()
            small.add(1)
            self.assertEqual(budget.held, 1)
        self.assertEqual(budget.held, 0)

    def test_many_bodies_share_a_budget(self):
        async def test():
            budget = ByteBudget(2 * MAX_BODY_BYTES)
            highest = 0

            async def read(channel):
                await channel.send_request(b"GET", b"/", [(b"Host", b"h")], b"")
                await channel.read_head()
                with budget.hold() as hold:
                    try:
                        await channel.read_body(MAX_BODY_BYTES, hold)
                    finally:
                        nonlocal highest
                        highest = max(highest, budget.held)

            async with trio.open_nursery() as nursery:
                for _ in range(20):
                    server = EndlessServer(OK + b"\r\n", BLOCK, pause=0.002)
                    nursery.start_soon(self.read_from, server, read)
            self.assertEqual(budget.held, 0)
            self.assertLessEqual(highest, 2 * MAX_BODY_BYTES)

        self.play(test)
