"""Pattern: an engine reports that its machine is slow, or reports nonsense."""

import unittest

from standins.users_platform import Behaviour
from wasabistage.platform.tests.edge_case import PROMPT, EdgeCase
from wasabistage.routing import PaceQuery

BAD_FIGURES = (b"", b"0", b"-4", b"soon", b"1e9", b"9" * 40, b"nan", b"-")


class ServerPaceTest(EdgeCase):
    async def ask_chat(self):
        reply = await self.ask(b"/chat/x", PROMPT, b"POST")
        self.assertEqual(reply.status, 200)

    def get_pace(self, engine):
        query = PaceQuery(server=engine.server)
        return self.edge.state.pace.decide(query, self.edge.state.timer.now())

    # Guards against a figure that is used for plain services alone.
    def test_engine_that_reports_a_slow_machine_gets_fewer_prompts(self):
        async def test():
            slow, usual = self.platform.engines
            for engine, figure in ((slow, b"900"), (usual, b"100")):
                headers = ((b"Wasabistage-Server-Load", b"1,0,8," + figure),)
                engine.behaviour = Behaviour(events=1, headers=headers)
            while self.get_pace(slow) < 2.0:
                await self.ask_chat()
            self.clear_runs()
            for _ in range(10):
                await self.ask_chat()
            self.assertLess(len(slow.runs), len(usual.runs))
            self.assertEqual(self.get_pace(usual), 1.0)

        self.play(test)

    def test_bad_figures_change_nothing(self):
        async def test():
            for figure in BAD_FIGURES:
                for engine in self.platform.engines:
                    headers = ((b"Wasabistage-Server-Load", b"1,0,8," + figure),)
                    engine.behaviour = Behaviour(events=1, headers=headers)
                await self.ask_chat()
                for engine in self.platform.engines:
                    self.assertEqual(self.get_pace(engine), 1.0)

        self.play(test)


if __name__ == "__main__":
    unittest.main()
