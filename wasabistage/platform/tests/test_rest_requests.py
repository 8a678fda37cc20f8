"""Pattern: servers turn requests away and ask for a time without any."""

import unittest

from standins.users_platform import Behaviour
from wasabistage.platform.tests.edge_case import EdgeCase


class RestTest(EdgeCase):
    # Guards against requests that reach a server in the time for which it wants none
    # (letter 7, BUDGET).
    def test_server_that_asks_for_rest_gets_no_request_until_its_end(self):
        async def test():
            server = self.platform.plain[0]
            headers = ((b"Retry-After", b"1.2"),)
            server.behaviour = Behaviour(is_full=True, headers=headers)
            while not server.refusals:
                self.assertEqual((await self.ask()).status, 200)
            begun_at = self.timer.now()
            server.behaviour = Behaviour()
            while self.timer.now() < begun_at + 1.1:
                self.assertEqual((await self.ask()).status, 200)
            self.assertEqual(server.runs, [])
            while not server.runs:
                await self.ask()

        self.play(test)

    def test_request_that_can_not_wait_is_refused_at_once_with_the_time(self):
        async def test():
            for server in self.platform.plain:
                headers = ((b"Retry-After", b"2.5"),)
                server.behaviour = Behaviour(is_full=True, headers=headers)
            for _ in range(3):
                await self.ask(milliseconds=1000)
            for server in self.platform.plain:
                server.behaviour = Behaviour()
            begun_at = self.timer.now()
            reply = await self.ask(milliseconds=1000)
            self.assertEqual(reply.status, 503)
            self.assertLess(self.timer.now() - begun_at, 0.3)
            self.assertTrue(1.0 < float(reply.fields[b"retry-after"]) <= 2.5)

        self.play(test)

    def test_request_that_can_wait_is_served_after_the_rest(self):
        async def test():
            for server in self.platform.plain:
                headers = ((b"Retry-After", b"0.8"),)
                server.behaviour = Behaviour(is_full=True, headers=headers)
            for _ in range(3):
                await self.ask(milliseconds=600)
            for server in self.platform.plain:
                server.behaviour = Behaviour()
            self.assertEqual((await self.ask()).status, 200)

        self.play(test)

    def test_bad_values_bar_no_server(self):
        async def test():
            for value in (b"-5", b"soon", b"nan", b"Fri, 31 Dec 1999 23:59:59 GMT"):
                for server in self.platform.plain:
                    headers = ((b"Retry-After", value),)
                    server.behaviour = Behaviour(is_full=True, headers=headers)
                await self.ask()
                for server in self.platform.plain:
                    server.behaviour = Behaviour()
                self.assertEqual((await self.ask()).status, 200)

        self.play(test)


if __name__ == "__main__":
    unittest.main()
