"""Pattern: a server falls silent while its events are written to a slow caller."""

import unittest
from unittest import mock

import trio

from standins.users_platform import Behaviour
from wasabistage.http1 import CallerChannel, ChannelError
from wasabistage.platform.tests.edge_case import PROMPT, EdgeCase

SLOW_SECONDS = 1.5  # above the time after which an engine counts as silent


class CancelledWriteTest(EdgeCase):
    # Guards against a stream that goes on without the events whose write was cancelled
    # (issue 30, A 6; ORDER).
    def test_stream_is_not_resumed_after_a_cancelled_write(self):
        send_piece, count = CallerChannel.send_piece, 0

        async def send_slowly(channel, data):
            nonlocal count
            if data.startswith(b"id: 2\n") and not count:
                count += 1
                await trio.sleep(SLOW_SECONDS)
            await send_piece(channel, data)

        async def test():
            self.edge.state.silence.stream_limit = 0.3
            for engine in self.platform.engines:
                engine.behaviour = Behaviour(events=4, pause=0.05)
            # The stand-in engines write their events with the same class.
            patch = patched(self.edge.callers)
            with mock.patch.object(CallerChannel, "send_piece", patch):
                try:
                    reply = await self.call(b"/chat/x", *PROMPT, method=b"POST")
                except ChannelError:
                    return
            numbers = [b"id: %d\n" % number in reply.body for number in range(1, 5)]
            self.assertEqual(numbers, [True] * 4)

        def patched(callers):
            async def send(channel, data):
                if channel in callers.channels:
                    await send_slowly(channel, data)
                else:
                    await send_piece(channel, data)

            return send

        self.play(test)


if __name__ == "__main__":
    unittest.main()
