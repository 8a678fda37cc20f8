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


class BegunStreamCase(EdgeCase):
    async def ask_stream(self):
        """Request a stream; return its status and body."""
        self.count = getattr(self, "count", 0) + 1
        # New parts each time: kept ones lead to the engine that has them.
        parts = b"a%x:500,b%x:400" % (self.count, self.count)
        headers = [*PROMPT[:-1], (b"Wasabistage-Prompt-Prefix", parts)]
        headers.append((ID, b"stream-%d" % self.count))
        reply = await self.call(b"/chat/x", *headers, method=b"POST")
        return reply.status, reply.body


class BegunStreamTest(BegunStreamCase):
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

    # Guards against streams that are cut for the silence of their engine although no
    # other could continue them (issue 38, LOST).
    def test_stream_stays_at_a_silent_engine_if_there_is_no_other(self):
        async def test():
            kept, gone = self.platform.engines
            self.platform.store.put(gone.server, None, "keyed.servers")
            await self.until(lambda: len(self.edge.state.servers.servers) == 4)
            kept.behaviour = Behaviour(events=2, stall=(1, 2.0))
            self.assertEqual(await self.ask_stream(), (200, make_stream(2)))
            self.assertEqual(len(kept.runs), 1)

        self.play(test)


class SpentBudgetTest(BegunStreamCase):
    bounds = {"retry_ratio": 1e-9, "retry_extra": 1e-9}

    # Guards against streams that are cut for the silence of their engine although no
    # repeat is left to continue them (the same).
    def test_stream_stays_at_a_silent_engine_if_no_repeat_is_left(self):
        async def test():
            for engine in self.platform.engines:
                engine.behaviour = Behaviour(events=2, stall=(1, 2.0))
            self.assertEqual(await self.ask_stream(), (200, make_stream(2)))
            self.assertEqual(sum(len(s.runs) for s in self.platform.engines), 1)

        self.play(test)


if __name__ == "__main__":
    unittest.main()
