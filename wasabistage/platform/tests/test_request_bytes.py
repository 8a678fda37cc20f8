"""Pattern: slow servers crash if the requests that they hold exceed their memory."""

import unittest
from collections import Counter

import trio

from standins.users_platform import Behaviour
from wasabistage.platform.tests.edge_case import EdgeCase
from wasabistage.platform.tests.test_slow_readers import build_headers

BODY = b"x" * 300_000
CALLS = 20
SERVERS = 3


class PostCase(EdgeCase):
    async def post_all(self):
        """Post all bodies at once; return the statuses."""
        statuses = Counter()
        for server in self.platform.plain:
            server.behaviour = Behaviour(pause=1.0)

        async def post(number):
            headers = build_headers(b"post-%d" % number, 3000)
            reply = await self.client.call(b"POST", b"/buy/x", BODY, headers, 10.0)
            statuses[reply.status] += 1

        self.client.host = b"h.example"
        async with trio.open_nursery() as nursery:
            for number in range(CALLS):
                nursery.start_soon(post, number)
        return statuses


class RequestBytesTest(PostCase):
    bounds = {"server_request_mb": 1.0}

    # Guards against servers that crash one after another under large requests.
    def test_servers_hold_no_more_than_they_may(self):
        async def test():
            most = 0
            limiter = self.edge.state.request_bytes

            async def sample():
                nonlocal most
                while True:
                    most = max([most, *limiter.open_bytes_.values()])
                    await trio.sleep(0.005)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(sample)
                statuses = await self.post_all()
                nursery.cancel_scope.cancel()
            self.assertLessEqual(most, 1_000_000)
            self.assertGreater(statuses[200], 0)
            self.assertGreater(statuses[503], 0)
            # What was refused was not run.
            runs = sum(len(server.runs) for server in self.platform.plain)
            self.assertLessEqual(runs, CALLS - statuses[503])
            self.assertEqual(limiter.open_bytes_, {})
            self.assertEqual((await self.ask(b"/buy/x", method=b"POST")).status, 200)

        self.play(test)


class NoBoundTest(PostCase):
    # Guards against a change for deployments that request no bound.
    def test_nothing_is_refused_without_the_setting(self):
        async def test():
            statuses = await self.post_all()
            self.assertEqual(statuses[503], 0)
            self.assertGreater(statuses[200], 3 * SERVERS)

        self.play(test)


if __name__ == "__main__":
    unittest.main()
