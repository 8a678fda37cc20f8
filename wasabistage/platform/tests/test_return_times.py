"""Pattern: a burst of prompts, 2.5 times what two engines run at once."""

import unittest
from unittest import mock

import trio

from standins.users_platform import Behaviour
from wasabistage.edge._fleet_view import FleetView
from wasabistage.platform.tests.edge_case import PROMPT, EdgeCase

SLOTS = 16  # of both engines
CALLS = 40
OBJECTIVE = 0.5
TIME_LEFT = 3.0


def set_crowded(view, entries):
    view.is_crowded = True


class ReturnTimesTest(EdgeCase):
    async def burst(self):
        """Send all prompts at once; return the ``Retry-After`` of the refused ones."""
        for engine in self.platform.engines:
            engine.behaviour = Behaviour(pause=0.5)
        times = []

        async def call():
            reply = await self.ask(b"/chat/x", PROMPT, b"POST", int(1000 * TIME_LEFT))
            if reply.status == 503:
                times.append(float(reply.fields[b"retry-after"]))

        async with trio.open_nursery() as nursery:
            for _ in range(CALLS):
                nursery.start_soon(call)
        return times

    # Guards against a second wave: callers that are refused together and told the same.
    def test_refused_callers_are_told_different_times(self):
        async def test():
            self.edge.settings.engines.spread_returns = True
            with mock.patch.object(FleetView, "_update_crowded", set_crowded):
                self.edge.state.view.is_crowded = True
                times = await self.burst()
            self.assertGreater(len(times), CALLS - 2 * SLOTS)
            # The header has two digits, so that few values lie between its bounds.
            self.assertGreater(len(set(times)), 5)
            self.assertGreater(max(times) - min(times), 0.1)
            # A third of the time left, which is less than the whole.
            self.assertLess(max(times), TIME_LEFT / 3.0)
            self.assertGreater(max(times), OBJECTIVE)

        self.play(test)

    # Guards against a change for fleets in which each entry has its share of slots.
    def test_in_a_small_fleet_all_are_told_the_objective(self):
        async def test():
            self.edge.settings.engines.spread_returns = True
            self.assertEqual(set(await self.burst()), {OBJECTIVE})

        self.play(test)

    # Guards against a change for deployments that don't request it.
    def test_without_the_setting_all_are_told_the_objective(self):
        async def test():
            self.assertEqual(set(await self.burst()), {OBJECTIVE})

        self.play(test)


if __name__ == "__main__":
    unittest.main()
