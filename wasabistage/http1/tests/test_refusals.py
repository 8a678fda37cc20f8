import unittest

import trio
from trio.testing import open_stream_to_socket_listener

from wasabistage.clients import HoldingPolicy
from wasabistage.fleet import CallerLimits
from wasabistage.http1 import (
    Answer,
    CallerChannel,
    ChannelsFullError,
    Intake,
    send_unavailable,
    serve_answers,
)
from wasabistage.timing import TrioTimerService

LIMIT_SECONDS = 20.0
KIB = 1024
LIMITS = CallerLimits(
    header_bytes=16 * KIB,
    body_bytes=512 * KIB,
    header_timeout_seconds=0.5,
    idle_timeout_seconds=1.0,
)
POST = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"


def chunk(data, extension=b""):
    return b"%x%s\r\n" % (len(data), extension) + data + b"\r\n"


class RefusalCase(unittest.TestCase):
    """Serves one listener and talks to it in plain bytes."""

    def play(self, test, memory=8192 * KIB, channels=100):
        async def run():
            with trio.fail_after(LIMIT_SECONDS):
                async with trio.open_nursery() as nursery:
                    await self._start(nursery, memory, channels)
                    await test()
                    nursery.cancel_scope.cancel()

        trio.run(run)

    async def _start(self, nursery, memory, channels):
        timer = TrioTimerService()
        policy = HoldingPolicy(
            limit=memory, max_unfinished=50, max_channels={"callers": channels}
        )
        self.causes, self.bodies = [], []
        self.intake = Intake(policy.reset(), timer, self.causes.append)

        def answer(request):
            self.bodies.append(bytes(request.body))
            return Answer(status=200, body=b"%d" % len(request.body))

        async def serve(stream):
            try:
                channel = CallerChannel(
                    stream.socket, timer, LIMITS, self.intake, "callers"
                )
            except ChannelsFullError:
                await send_unavailable(stream.socket)
                return
            try:
                await serve_answers(channel, answer)
            finally:
                channel.release()
                stream.socket.close()

        self.listener = (await trio.open_tcp_listeners(0, host="127.0.0.1"))[0]
        nursery.start_soon(trio.serve_listeners, serve, [self.listener])

    async def wait_until_released(self):
        """Wait until nothing is held; refused channels stay open for a short time."""
        while self.intake.policy.held_:
            await trio.sleep(0.01)

    async def connect(self):
        return await open_stream_to_socket_listener(self.listener)

    async def get_status(self, *pieces, pause=0.0):
        """Send pieces on a new channel; return the status of the first response."""
        async with await self.connect() as stream:
            try:
                for piece in pieces:
                    await stream.send_all(piece)
                    await trio.sleep(pause)
            except trio.BrokenResourceError:
                pass  # refused while it was sending
            return await read_status(stream)


async def read_status(stream):
    data = b""
    while b"\r\n" not in data:
        piece = await stream.receive_some(4096)
        if not piece:
            return None
        data += piece
    return int(data.split()[1])


class SizeTest(RefusalCase):
    # Guards against a body that is read although its head says that it is too large.
    def test_announced_length_over_the_limit_is_refused_at_the_head(self):
        async def test():
            head = POST + b"Content-Length: 524289\r\n\r\n"
            self.assertEqual(await self.get_status(head), 413)
            self.assertEqual(self.causes, ["large"])

        self.play(test)

    def test_chunked_body_is_refused_when_it_passes_the_limit(self):
        async def test():
            pieces = [chunk(b"x" * 65536)] * 8
            status = await self.get_status(CHUNKED, *pieces, chunk(b"x"))
            self.assertEqual(status, 413)

        self.play(test)

    def test_bodies_up_to_the_limit_are_served_however_they_are_cut(self):
        async def test():
            whole = bytes(range(256)) * 2048
            lines = b"line\n" * 20000
            cases = [
                [POST + b"Content-Length: 524288\r\n\r\n", whole],
                [
                    CHUNKED,
                    *(chunk(whole[n : n + 65536]) for n in range(0, 524288, 65536)),
                ],
                [CHUNKED + b"".join(chunk(b"x") for _ in range(3000))],
                [CHUNKED, chunk(lines)],
            ]
            bodies = [whole, whole, b"x" * 3000, lines]
            for pieces, body in zip(cases, bodies, strict=True):
                if pieces[0].startswith(CHUNKED):
                    pieces.append(b"0\r\n\r\n")
                self.assertEqual(await self.get_status(*pieces), 200)
                self.assertEqual(self.bodies.pop(), body)

        self.play(test)

    def test_long_heads_and_trailers_are_refused(self):
        async def test():
            many = b"a:b\r\n" * 1100
            short = b"a:b\r\n" * 120
            cases = [
                (POST + b"x" * 20 * KIB, 431),
                (POST + many + b"\r\n", 431),
                (POST + short * 8 + b"\r\n", 200),
                (CHUNKED + b"0\r\n" + many + b"\r\n", 431),
                (CHUNKED + b"0\r\n" + short + b"\r\n", 200),
                (CHUNKED + b"1;" + b"x" * 20 * KIB, 431),
                (b"\x01\r\n\r\n", 400),
            ]
            for data, status in cases:
                with self.subTest(data[:60], size=len(data)):
                    self.assertEqual(await self.get_status(data), status)

        self.play(test)

    def test_body_of_framing_is_refused(self):
        async def test():
            piece = chunk(b"x", b";" + b"x" * 4000)
            self.assertEqual(await self.get_status(CHUNKED, *[piece] * 60), 400)
            self.assertIn("framing", self.causes)

        self.play(test)


class SlowTest(RefusalCase):
    # Guards against requests that hold memory as they never end.
    def test_head_and_body_that_stop_get_408(self):
        async def test():
            for data in (POST, POST + b"Content-Length: 9\r\n\r\n12", CHUNKED):
                self.assertEqual(await self.get_status(data), 408)
            self.assertEqual(self.causes, ["slow"] * 3)
            await self.wait_until_released()

        self.play(test)

    def test_silent_channel_is_closed_without_a_response(self):
        async def test():
            self.assertIsNone(await self.get_status())
            self.assertEqual(self.causes, [])

        self.play(test)


class MemoryTest(RefusalCase):
    # Guards against a caller that is asked for a body for which there is no room.
    def test_body_is_asked_for_only_if_there_is_room(self):
        async def test():
            head = POST + b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n"
            self.assertEqual(await self.get_status(head % 1000), 100)
            self.assertEqual(await self.get_status(head % 400_000), 503)

        self.play(test, memory=300 * KIB)

    # Guards against refused requests whose memory is not released.
    def test_unfinished_bodies_stay_under_the_bound_and_get_503(self):
        async def test():
            streams = []
            for _ in range(20):
                stream = await self.connect()
                await stream.send_all(POST + b"Content-Length: 500000\r\n\r\n")
                await stream.send_all(b"x" * 400_000)
                streams.append(stream)
            self.assertEqual(await self.get_status(GET), 200)
            statuses = [await read_status(stream) for stream in streams]
            self.assertLessEqual(set(statuses), {408, 503})
            self.assertIn(503, statuses)
            for stream in streams:
                await stream.aclose()
            await self.wait_until_released()

        self.play(test, memory=2048 * KIB)

    def test_new_channel_replaces_a_silent_one(self):
        async def test():
            streams = [await self.connect() for _ in range(20)]
            self.assertEqual(await self.get_status(GET), 200)
            self.assertIn("channels", self.causes)
            self.assertLessEqual(len(self.intake.holders), 8)
            for stream in streams:
                await stream.aclose()

        self.play(test, channels=8)


class PipelineTest(RefusalCase):
    def test_requests_sent_ahead_are_answered_in_order(self):
        async def test():
            posts = [
                POST + b"Content-Length: %d\r\n\r\n" % size + b"x" * size
                for size in range(30)
            ]
            data = b""
            async with await self.connect() as stream:
                await stream.send_all(b"".join(posts))
                while data.count(b"HTTP/1.1 200") < 30 or not data.endswith(b"29"):
                    data += await stream.receive_some(65536)
            self.assertEqual([len(body) for body in self.bodies], list(range(30)))

        self.play(test)


if __name__ == "__main__":
    unittest.main()
