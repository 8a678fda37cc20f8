import resource
import unittest

import trio

from standins.users_platform import Behaviour
from wasabistage.edge._forward import MAX_HELD_BYTES
from wasabistage.http1._channel import READ_BYTES
from wasabistage.platform.tests.edge_case import PROMPT, EdgeCase

BLOCK = b"x" * 4096
SEALED = (
    b"HTTP/1.1 200 OK\r\nWasabistage-Request-Id: ID\r\nWasabistage-Response-Seal: s\r\n"
)
CHUNKED = SEALED + b"Transfer-Encoding: chunked\r\n\r\n"
CALLERS = 40
PATIENCE_SECONDS = 3.0  # for which the callers wait, as HEADERS say
#: Memory by which a process may grow under endless responses to all callers at a time:
#: the budget of held bodies, each of which is copied once, and for each channel four
#: buffers of a read (socket, receive buffer of the parser, event, piece).
MAX_GROWTH_BYTES = 2 * MAX_HELD_BYTES + CALLERS * 4 * READ_BYTES

PLAIN_PHASES = (
    ("headers", (SEALED, b"X-Header: " + BLOCK + b"\r\n")),
    ("interim", (b"", b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n" * 50)),
    ("body", (SEALED + b"\r\n", BLOCK)),
    ("refusal", (b"HTTP/1.1 503 Full\r\nWasabistage-Not-Executed: 1\r\n\r\n", BLOCK)),
    (
        "other",
        (
            b"",
            b"HTTP/1.1 200 OK\r\nWasabistage-Request-Id: o\r\n"
            b"Content-Length: 4096\r\n\r\n" + BLOCK,
        ),
    ),
)


def get_resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * resource.getpagesize()


class EndlessPlainTest(EdgeCase):
    def test_reads_go_to_another_server_and_purchases_are_not_repeated(self):
        async def test():
            for name, endless in PLAIN_PHASES:
                with self.subTest(name):
                    for server in self.platform.plain[:1]:
                        server.behaviour = Behaviour(endless=endless)
                    for _ in range(3):
                        reply = await self.call(b"/read/x")
                        self.assertEqual(reply.status, 200)
            for server in self.platform.plain:
                server.behaviour = Behaviour(endless=PLAIN_PHASES[2][1])
            before = sum(len(s.runs) for s in self.platform.plain)
            reply = await self.call(b"/buy/x", method=b"POST")
            self.assertEqual(reply.status, 502)
            after = sum(len(s.runs) for s in self.platform.plain)
            self.assertEqual(after - before, 1)

        self.play(test)

    def test_memory_is_bounded_with_many_callers(self):
        async def test():
            before, highest = get_resident_bytes(), 0
            for server in self.platform.plain:
                server.behaviour = Behaviour(endless=(SEALED + b"\r\n", BLOCK))

            async def call(number):
                request_id = (b"Wasabistage-Request-Id", b"id-%d" % number)
                begun_at = trio.current_time()
                reply = await self.call(b"/buy/x", request_id, method=b"POST")
                if reply.status == 504:
                    # On a busy machine, its time may be over before a bound is reached.
                    elapsed = trio.current_time() - begun_at
                    self.assertGreaterEqual(elapsed, PATIENCE_SECONDS)
                else:
                    self.assertIn(reply.status, (502, 503))

            async def sample():
                nonlocal highest
                while True:
                    highest = max(highest, get_resident_bytes())
                    await trio.sleep(0.01)

            async with trio.open_nursery() as sampling:
                sampling.start_soon(sample)
                async with trio.open_nursery() as callers:
                    for number in range(CALLERS):
                        callers.start_soon(call, number)
                sampling.cancel_scope.cancel()
            self.assertLess(highest - before, MAX_GROWTH_BYTES)

        self.play(test)


class EndlessStreamTest(EdgeCase):
    def test_event_without_an_end_is_no_answer(self):
        async def test():
            endless = (CHUNKED, b"1000\r\n" + BLOCK + b"\r\n")
            self.platform.engines[0].behaviour = Behaviour(endless=endless)
            statuses = set()
            for _ in range(6):
                reply = await self.call(b"/chat/x", *PROMPT, method=b"POST")
                statuses.add(reply.status)
                self.assertNotIn(BLOCK, reply.body)
            self.assertEqual(statuses, {200})

        self.play(test)


if __name__ == "__main__":
    unittest.main()
