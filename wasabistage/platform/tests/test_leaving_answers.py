"""Pattern: servers tell in their answers that they leave."""

import unittest

from standins.users_platform import Behaviour
from wasabistage.platform.tests.edge_case import PROMPT, EdgeCase

LEAVING = (b"Server-Leaving", b"1")


class LeavingInAnswersTest(EdgeCase):
    # Guards against requests that reach a server after it has said in an answer that it
    # leaves (letter 7, DRAIN).
    def test_server_that_says_so_in_an_answer_gets_no_new_request(self):
        async def test():
            leaving = self.platform.plain[0]
            leaving.behaviour = Behaviour(headers=(LEAVING,))
            while not leaving.runs:
                await self.ask()
            self.clear_runs()
            for _ in range(12):
                self.assertEqual((await self.ask()).status, 200)
            self.assertEqual(leaving.runs, [])
            (line,) = self.events("server_leaving")
            self.assertEqual(line["server"], leaving.server)

        self.play(test)

    def test_errors_streams_and_refusals_count_as_well(self):
        async def test():
            engine = self.platform.engines[0]
            engine.behaviour = Behaviour(headers=(LEAVING,), events=30, pause=0.02)
            while not engine.runs:
                await self.ask(b"/chat/x", PROMPT, b"POST")
            failing = self.platform.plain[0]
            failing.behaviour = Behaviour(status=500, headers=(LEAVING,))
            full = self.platform.plain[1]
            full.behaviour = Behaviour(is_full=True, headers=(LEAVING,))
            for _ in range(12):
                await self.ask()
            left = {line["server"] for line in self.events("server_leaving")}
            self.assertEqual(left, {engine.server, failing.server, full.server})

        self.play(test)

    def test_other_values_bar_no_server(self):
        async def test():
            for server in self.platform.plain:
                headers = ((b"Server-Leaving", b"0"),)
                server.behaviour = Behaviour(headers=headers)
            for _ in range(6):
                self.assertEqual((await self.ask()).status, 200)
            self.assertEqual(self.events("server_leaving"), [])

        self.play(test)

    def test_next_process_of_the_server_is_used(self):
        async def test():
            server = self.platform.plain[0]
            server.behaviour = Behaviour(headers=(LEAVING,))
            while not server.runs:
                await self.ask()
            server.behaviour, server.born = Behaviour(), 2
            self.platform.store.put(server.server, server.entry(), "keyed.servers")
            servers = self.edge.state.servers
            await self.until(lambda: len(servers.find_usable("app")) == 3)
            self.clear_runs()
            while not server.runs:
                await self.ask()

        self.play(test)


if __name__ == "__main__":
    unittest.main()
