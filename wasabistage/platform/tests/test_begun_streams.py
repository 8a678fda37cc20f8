"""Streams that have begun and whose engine then fails or falls silent."""

import unittest

from standins.users_platform import Behaviour
from wasabistage.platform.tests.edge_case import PROMPT, EdgeCase

ID = b"Wasabistage-Request-Id"


def make_stream(count):
    """Return the events of a whole stream."""
    return b"".join(
        b"id: %d\ndata: piece %d\n\n" % (number, number)
        for number in range(1, count + 1)
    )


class BegunStreamTest(EdgeCase):
    async def ask_stream(self):
        """Request a stream; return its status and body."""
        self.count = getattr(self, "count", 0) + 1
        # New parts each time: kept ones lead to the engine that has them.
        parts = b"a%x:500,b%x:400" % (self.count, self.count)
        headers = [*PROMPT[:-1], (b"Wasabistage-Prompt-Prefix", parts)]
        headers.append((ID, b"stream-%d" % self.count))
        reply = await self.call(b"/chat/x", *headers, method=b"POST")
        return reply.status, reply.body

    # Guards against streams that are cut, since the engine that would continue them
    # counts as too late by the time since the request (issue 38, LOST).
    def test_stream_that_breaks_after_its_objective_is_continued(self):
        async def test():
            broken, sound = self.platform.engines
            broken.behaviour = Behaviour(events=5, pause=0.3, break_after=4)
            sound.behaviour = Behaviour(events=5, pause=0.01)
            while not any(b"last-event-id" in run.fields for run in sound.runs):
                self.assertEqual(await self.ask_stream(), (200, make_stream(5)))

        self.play(test)


if __name__ == "__main__":
    unittest.main()
