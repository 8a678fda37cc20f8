"""Pattern: a server counts as silent after its response has begun."""

import unittest
from unittest import mock

import trio

from standins.users_platform import Behaviour
from wasabistage.http1 import CallerChannel, Channel
from wasabistage.platform.tests.edge_case import PROMPT, EdgeCase
from wasabistage.routing import WAIT

SILENT_SECONDS = 0.5  # time after which a server counts as silent in these tests
SLOW_SECONDS = 1.5  # several checks for silence longer
HEAD = (
    b"HTTP/1.1 200 OK\r\nWasabistage-Request-Id: ID\r\nWasabistage-Response-Seal: s\r\n"
)
PIECE_COUNT = 12
BODY_HEAD = HEAD + b"Content-Length: %d\r\n\r\n" % PIECE_COUNT
EVENT = b"id: 1\ndata: piece 1\n\n"
STREAM_HEAD = HEAD + (
    b"Wasabistage-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
)


class BegunAnswerTest(EdgeCase):
    def play(self, test):
        """Run a test with a shorter limit of silence."""

        async def run():
            self.edge.state.silence.first_limit = SILENT_SECONDS
            self.edge.state.silence.stream_limit = SILENT_SECONDS
            await test()

        super().play(run)

    async def ask_at(self, server, path=b"/read/x", headers=(), method=b"GET"):
        """Ask until a request has reached a server; return the last reply."""
        while True:
            reply = await self.ask(path, headers, method)
            if server.runs:
                return reply

    def delay_writes(self, name):
        """Delay one method of the channels of callers, for each call."""
        method, callers = getattr(CallerChannel, name), self.edge.callers

        async def call_slowly(channel, *arguments):
            # The stand-in servers write with the same class.
            if channel in callers.channels:
                await trio.sleep(SLOW_SECONDS)
            await method(channel, *arguments)

        return mock.patch.object(CallerChannel, name, call_slowly)

    # Guards against a channel that is closed without an answer, since the attempt was
    # cancelled while its answer was written to the caller (soak seed 4009; LOST).
    def test_write_of_a_plain_answer_is_not_cancelled(self):
        async def test():
            with self.delay_writes("respond"):
                reply = await self.ask()
            self.assertEqual(reply.status, 200)
            self.assertTrue(reply.body)

        self.play(test)

    # Guards against the same when the server is found silent just after the head has
    # been received: the attempt would only notice the cancellation in its write.
    def test_server_is_found_silent_as_its_head_arrives(self):
        read_head = Channel.read_head

        async def read_and_find_silent(channel):
            silence = self.edge.state.silence
            head = await read_head(channel)
            if b"wasabistage-response-seal" not in head.fields:
                return head  # of the record store, while no server has answered
            names = [server.server for server in self.platform.plain]
            # Only here: the process looks for silent servers by itself, too.
            with mock.patch.object(silence, "tick", lambda now: names):
                await self.edge._cancel_silent_attempts(None)
            return head

        async def test():
            read = mock.patch.object(Channel, "read_head", read_and_find_silent)
            with read:
                reply = await self.ask()
            self.assertEqual(reply.status, 200)
            self.assertEqual(sum(len(item.runs) for item in self.platform.plain), 1)

        self.play(test)

    # Guards against a stream that breaks off, since nothing is read from its server
    # while an event is written to a slow caller.
    def test_write_of_an_event_is_not_cancelled(self):
        async def test():
            for engine in self.platform.engines:
                engine.behaviour = Behaviour(events=1)
            with self.delay_writes("send_piece"):
                reply = await self.ask(b"/chat/x", PROMPT, b"POST")
            self.assertEqual((reply.status, reply.body), (200, EVENT))

        self.play(test)

    # Guards against a repeated request whose first server was sending the body.
    def test_body_that_arrives_slowly_is_not_cancelled(self):
        async def test():
            for server in self.platform.plain:
                server.behaviour = Behaviour(endless=(BODY_HEAD, b"x"), pause=0.1)
            reply = await self.ask()
            self.assertEqual((reply.status, reply.body), (200, b"x" * PIECE_COUNT))
            self.assertEqual(sum(len(item.runs) for item in self.platform.plain), 1)

        self.play(test)

    # Guards against requests that wait for the rest of a body until their deadline.
    def test_body_that_stops_is_moved(self):
        async def test():
            server = self.platform.plain[0]
            server.behaviour = Behaviour(endless=(BODY_HEAD + b"x", b""), pause=0.1)
            reply = await self.ask_at(server)
            self.assertEqual(reply.status, 200)
            self.assertNotIn(b"x", reply.body)

        self.play(test)

    # Guards against streams that wait for a silent server until their deadline.
    def test_stream_is_moved_before_its_response_begins(self):
        async def test():
            engine = self.platform.engines[0]
            engine.behaviour = Behaviour(endless=(b"", b""), pause=0.1)
            reply = await self.ask_at(engine, b"/chat/x", PROMPT, b"POST")
            numbers = [b"id: %d\n" % number in reply.body for number in range(1, 4)]
            self.assertEqual((reply.status, numbers), (200, [True] * 3))

        self.play(test)

    def check_whole_stream(self, reply):
        counts = [reply.body.count(b"id: %d\n" % number) for number in range(1, 4)]
        self.assertEqual((reply.status, counts), (200, [1, 1, 1]))

    async def check_resumed(self, first):
        """Check that a stream is continued whose engine sends only the first bytes."""
        engine = self.platform.engines[0]
        engine.behaviour = Behaviour(endless=(first, b""), pause=0.1)
        reply = await self.ask_at(engine, b"/chat/x", PROMPT, b"POST")
        self.check_whole_stream(reply)

    def test_stream_that_stops_is_resumed(self):
        async def test():
            chunk = b"%x\r\n%s\r\n" % (len(EVENT), EVENT)
            await self.check_resumed(STREAM_HEAD + chunk)

        self.play(test)

    # Guards against an answer that is taken from a silent server before its first event
    # for a repeat which the gate then refuses by the age of the request (review/14).
    def test_stream_without_event_is_resumed_late(self):
        async def test():
            # Later than the gate lets a request begin that has no answer yet.
            self.edge.state.silence.first_limit = 3 * SILENT_SECONDS
            await self.check_resumed(STREAM_HEAD)

        self.play(test)

    # Guards against several streams that leave a silent server for the same room.
    def test_streams_leave_a_silent_server_one_at_a_time(self):
        async def test():
            engine = self.platform.engines[0]
            engine.behaviour = Behaviour(endless=(STREAM_HEAD, b""), pause=0.1)
            replies = []

            async def ask():
                replies.append(await self.ask(b"/chat/x", PROMPT, b"POST"))

            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(ask)
            for reply in replies:
                self.check_whole_stream(reply)
            moved = [line["moved"] for line in self.events("server_silent")]
            self.assertGreater(len(moved), 1)
            self.assertEqual(set(moved), {1})

        self.play(test)

    # Guards against a begun answer that is taken from its server, and then waits for
    # room at another one until its caller gives up.
    def test_stream_stays_where_it_has_begun_while_the_gate_has_no_room(self):
        async def test():
            gate = self.edge.state.gate
            decide, engines = gate.decide, self.platform.engines
            for engine in engines:
                engine.behaviour = Behaviour(pause=1.5 * SILENT_SECONDS)

            def wait_if_begun(query, now):
                return WAIT if query.last_event_at is not None else decide(query, now)

            with mock.patch.object(gate, "decide", wait_if_begun):
                reply = await self.ask(b"/chat/x", PROMPT, b"POST")
            self.check_whole_stream(reply)
            self.assertEqual(sum(len(engine.runs) for engine in engines), 1)
            self.assertEqual(gate.waiting_, {})

        self.play(test)


if __name__ == "__main__":
    unittest.main()
