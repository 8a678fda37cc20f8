"""Pattern: operators evacuate a failure domain while requests run and wait there."""

import os
import unittest

import trio

from standins.users_platform import Behaviour
from wasabistage.edge._process import EdgeProcess
from wasabistage.http1 import HttpClient
from wasabistage.platform import UsersPlatform
from wasabistage.platform.tests.edge_case import (
    PORTS,
    PROMPT,
    EdgeCase,
    make_settings,
)
from wasabistage.telemetry import MemoryLineLog


class EvacuationTest(EdgeCase):
    async def start(self, nursery):
        await super().start(nursery)
        self.near = self.platform.plain[0], self.platform.engines[0]
        state = self.edge.state
        for server in self.near:
            record = server.entry(zone="x")
            self.platform.store.put(server.server, record, "keyed.servers")
        await self.until(
            lambda: all(
                state.servers.get(server.server).failure_domain == "x"
                for server in self.near
            )
        )

    async def evacuate(self, zone, value="now"):
        """Order an evacuation, or withdraw it, and wait until it is in force."""
        event = "evacuation_withdrawn" if value is None else "evacuation_ordered"
        before = len(self.events(event))
        self.platform.store.put(f"evacuate/{zone}", value)
        await self.until(lambda: len(self.events(event)) > before)

    async def ask_chat(self, milliseconds=3000):
        return await self.ask(b"/chat/x", PROMPT, b"POST", milliseconds)

    # Guards against first attempts, prompts and retries that are sent to a failure
    # domain after the order.
    def test_servers_get_nothing_until_the_order_is_withdrawn(self):
        async def test():
            await self.evacuate("x")
            # Another server fails, so that each request is sent again.
            self.platform.plain[1].behaviour = Behaviour(status=500)
            for _ in range(12):
                self.assertEqual((await self.ask()).status, 200)
                self.assertEqual((await self.ask_chat()).status, 200)
            for server in self.near:
                self.assertEqual(server.arrivals, [])
            await self.evacuate("x", None)
            # Engines of the own failure domain are preferred otherwise.
            self.platform.engines[1].behaviour = Behaviour(is_full=True)
            while not all(server.arrivals for server in self.near):
                await self.ask()
                await self.ask_chat()

        self.play(test)

    def test_runs_in_progress_finish(self):
        async def test():
            engine = self.near[1]
            self.platform.engines[1].behaviour = Behaviour(is_full=True)
            engine.behaviour = Behaviour(pause=0.3)
            async with trio.open_nursery() as nursery:
                replies = []

                async def ask():
                    replies.append(await self.ask_chat())

                nursery.start_soon(ask)
                await self.until(lambda: engine.runs)
                await self.evacuate("x")
            self.assertEqual(replies[0].status, 200)
            self.assertIn(b"piece 3", replies[0].body)

        self.play(test)

    # Guards against prompts that wait before an engine of the failure domain and are
    # sent there once it has room.
    def test_prompts_that_wait_are_decided_anew(self):
        async def test():
            far, near = self.platform.engines[1], self.near[1]
            for server in (far, near):
                server.behaviour = Behaviour(pause=0.25)
            replies = []

            async def ask():
                replies.append(await self.ask_chat())

            async with trio.open_nursery() as nursery:
                for _ in range(24):
                    nursery.start_soon(ask)
                await self.until(lambda: self.edge.state.gate.waiting_)
                await self.evacuate("x")
                count = len(near.arrivals)
            self.assertEqual(len(near.arrivals), count)
            self.assertTrue({reply.status for reply in replies} <= {200, 503})

        self.play(test)

    # Guards against late refusals when the last failure domain is evacuated: the order
    # is obeyed.
    def test_last_failure_domain_is_evacuated_and_requests_are_refused_at_once(self):
        async def test():
            await self.evacuate("a")
            await self.evacuate("x", {"by": "operator"})
            self.platform.store.is_down = True
            for ask in (self.ask, self.ask_chat):
                begun_at = self.timer.now()
                reply = await ask()
                self.assertEqual(reply.status, 503)
                self.assertGreater(float(reply.fields[b"retry-after"]), 0.0)
                self.assertLess(self.timer.now() - begun_at, 1.0)
            await self.until(lambda: len(self.events("request_given_up")) == 2)
            for line in self.events("request_given_up"):
                self.assertIn("evacuated: a, x", line["reason"])
            for server in self.platform.servers:
                self.assertEqual(server.arrivals, [])

        self.play(test)

    def test_unknown_failure_domain_harms_nothing(self):
        async def test():
            await self.evacuate("nowhere")
            self.assertEqual(self.events("evacuation_ordered")[-1]["servers"], 0)
            self.assertEqual((await self.ask()).status, 200)
            server = self.platform.plain[2]
            self.platform.store.put(
                server.server, server.entry(zone="nowhere"), "keyed.servers"
            )
            get = self.edge.state.servers.get
            await self.until(lambda: get(server.server).failure_domain == "nowhere")
            server.arrivals.clear()
            for _ in range(9):
                self.assertEqual((await self.ask()).status, 200)
            self.assertEqual(server.arrivals, [])

        self.play(test)

    # Guards against an order that is forgotten by a restart of all entries.
    def test_started_process_obeys_an_order_that_it_did_not_see(self):
        async def test():
            await self.evacuate("x")
            base = next(PORTS)
            settings = make_settings("edge-2", base, self.platform.store.address)
            edge = EdgeProcess(settings, os.devnull, UsersPlatform)
            edge.state.log = MemoryLineLog()
            self.nursery.start_soon(edge.run)
            client = HttpClient(settings.listen.callers, self.timer)
            await self.until(lambda: edge.state.is_ready)
            for _ in range(9):
                reply = await self.call(b"/read/x", client=client)
                self.assertEqual(reply.status, 200)
            for server in self.near:
                self.assertEqual(server.arrivals, [])

        self.play(test)


if __name__ == "__main__":
    unittest.main()
