"""Pattern: servers return cold, with entries that can't hear each other before them."""

import os
import unittest

import trio

from standins.users_platform import Behaviour
from wasabistage.edge._process import EdgeProcess
from wasabistage.edge._settings import PeersSection
from wasabistage.http1 import HttpClient
from wasabistage.platform import UsersPlatform
from wasabistage.platform.tests.edge_case import PORTS, EdgeCase, make_settings
from wasabistage.telemetry import MemoryLineLog

COLD_SECONDS = 3.0
RATE = 4
BOUND = 8  # 4 requests per second, 1.5 times, and 2
COLD_BOUNDS = {"cold_excess": 1.5, "cold_slack": 2.0}


def get_busiest_second(times):
    """Return the most requests in a span of one second."""
    return max(
        (sum(begin <= at <= begin + 1.0 for at in times) for begin in times), default=0
    )


def count_events(edge, name):
    """Return the number of lines of one event in the log of an entry."""
    return sum(line["event"] == name for line in edge.state.log.lines)


class ColdCase(EdgeCase):
    bounds = COLD_BOUNDS

    async def limit(self, cold_seconds=COLD_SECONDS, rate=RATE):
        """Limit the requests to cold servers in the configuration."""
        service = {"name": "app", "coldS": cold_seconds, "coldPerS": rate}
        self.platform.publish(version=2, services=[service])
        await self.until(lambda: self.edge.state.routes.configuration.version == 2)

    async def list(self, server, **changes):
        """Write the record of a server and wait until the entry has read it."""
        watch = self.edge.state.facts.watches["servers"]
        known = watch.newest_records.get(server.server)
        entry = server.entry(**changes)
        self.platform.store.put(server.server, entry, "keyed.servers")
        await self.until(lambda: watch.newest_records.get(server.server) is not known)

    async def ask_many(self, count, seconds, client=None):
        """Send requests at an even rate; return the replies."""
        replies = []

        async def ask(number):
            name = (b"Wasabistage-Request-Id", b"many-%d" % number)
            patience = (b"Wasabistage-Deadline-Ms", b"3000")
            replies.append(await self.call(b"/read/x", name, patience, client=client))

        async with trio.open_nursery() as nursery:
            for number in range(count):
                nursery.start_soon(ask, number)
                await trio.sleep(seconds / count)
        return replies


class ColdServerTest(ColdCase):
    # Guards against more requests to a cold server than it tolerates, while warm
    # servers could take them.
    def test_cold_server_gets_few_requests_until_it_is_warm(self):
        async def test():
            await self.limit()
            cold = self.platform.plain[0]
            await self.list(cold, coldLeftMs=1500)
            replies = await self.ask_many(80, 1.2)
            self.assertEqual({reply.status for reply in replies}, {200})
            self.assertLessEqual(get_busiest_second(cold.arrivals), BOUND)
            self.assertGreater(len(cold.arrivals), 0)
            while get_busiest_second(cold.arrivals) <= BOUND:
                await self.ask_many(60, 0.3)

        self.play(test)

    # Guards against a whole allowance on top of what was sent just before.
    def test_requests_to_a_server_that_becomes_cold_without_restart_count(self):
        async def test():
            await self.limit()
            cold = self.platform.plain[0]
            await self.ask_many(60, 0.1)
            self.assertGreater(len(cold.arrivals), BOUND)
            await self.list(cold, coldLeftMs=3000)
            before = len(cold.arrivals)
            await self.ask_many(90, 2.0)
            self.assertGreater(len(cold.arrivals), before)
            for at in cold.arrivals[before:]:
                same_second = [item for item in cold.arrivals if at - 1.0 <= item <= at]
                self.assertLessEqual(len(same_second), BOUND)

        self.play(test)

    # Guards against a restarted server that gets the load of a warm one until its
    # record is read.
    def test_server_that_breaks_connections_may_be_cold(self):
        async def test():
            await self.limit(60.0)
            server = self.platform.plain[0]
            for other in self.platform.plain:
                other.behaviour = Behaviour(pause=0.5, down_seconds=0.3)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.ask_many, 6, 0.1)
                await self.until(lambda: server.runs)
                server.life_scope.cancel()
            self.assertEqual(len(self.events("server_maybe_cold")), 1)
            for other in self.platform.plain:
                other.behaviour = Behaviour()
            server.arrivals.clear()
            await trio.sleep(0.6)  # the breaker takes some of it
            await self.ask_many(120, 2.0)
            self.assertLessEqual(get_busiest_second(server.arrivals), BOUND)
            # Its record says that the next process is warm.
            while not self.events("server_warmth"):
                await self.list(server, coldLeftMs=0)
                await trio.sleep(0.3)
            server.arrivals.clear()
            while get_busiest_second(server.arrivals) <= BOUND:
                await self.ask_many(60, 0.3)

        self.play(test)

    def test_plain_request_waits_while_all_servers_are_cold(self):
        async def test():
            await self.limit()
            for server in self.platform.plain:
                await self.list(server, coldLeftMs=3000)
            replies = await self.ask_many(3 * BOUND + 4, 0.2)
            self.assertEqual({reply.status for reply in replies}, {200})
            for server in self.platform.plain:
                self.assertLessEqual(get_busiest_second(server.arrivals), BOUND)

        self.play(test)

    # Guards against requests that wait in vain, and refusals without a time.
    def test_request_that_can_not_wait_is_refused_at_once_with_a_time(self):
        async def test():
            self.edge.state.settings.bounds.cold_slack = 0.0
            await self.limit(60.0, rate=0.5)  # less than one request in a second
            for server in self.platform.plain:
                await self.list(server, coldLeftMs=60000)
            reply = await self.ask()
            self.assertEqual(reply.status, 503)
            self.assertTrue(0.0 < float(reply.fields[b"retry-after"]) <= 2.0)
            await self.until(lambda: self.events("request_given_up"))
            self.assertIn("are cold", self.events("request_given_up")[0]["reason"])
            self.assertEqual(self.events("request_timed_out"), [])

        self.play(test)

    def test_odd_cold_times_keep_the_server_listed(self):
        async def test():
            await self.limit()
            server = self.platform.plain[0]
            for value in (float("inf"), -5, "soon", 10**400, None, [1], float("nan")):
                await self.list(server, coldLeftMs=value, slots=9)
                self.assertIsNotNone(self.edge.state.servers.get(server.server))
                self.assertEqual((await self.ask()).status, 200)
            self.assertEqual(self.events("record_unreadable"), [])

        self.play(test)


class UnlimitedTest(ColdCase):
    bounds = {}

    # Guards against limits in deployments whose settings ask for none.
    def test_without_settings_cold_servers_are_not_limited(self):
        async def test():
            await self.limit()
            for server in self.platform.plain:
                await self.list(server, coldLeftMs=3000)
            replies = await self.ask_many(90, 0.5)
            self.assertEqual({reply.status for reply in replies}, {200})
            arrivals = [len(server.arrivals) for server in self.platform.plain]
            self.assertGreater(max(arrivals), BOUND)

        self.play(test)


class IsolatedEntriesTest(ColdCase):
    """Two entries share the store alone; neither hears the other."""

    async def start(self, nursery):
        await super().start(nursery)
        self.clients, self.edges, self.scopes = [], [self.edge], []
        for number in range(2):
            await self.start_entry(f"edge-{number + 2}")

    async def start_entry(self, name, first_start=True):
        base = next(PORTS)
        address = self.platform.store.address
        settings = make_settings(name, base, address, **self.bounds)
        settings.instance.first_start = first_start
        # No process listens there.
        settings.peers = PeersSection(seeds="127.0.0.9:9")
        edge = EdgeProcess(settings, os.devnull, UsersPlatform)
        edge.state.log = MemoryLineLog()
        scope = trio.CancelScope()

        async def run():
            with scope:
                await edge.run()

        self.nursery.start_soon(run)
        await self.until(lambda: edge.state.is_ready)
        self.scopes.append(scope)
        self.edges.append(edge)
        client = HttpClient(settings.listen.callers, self.timer)
        self.clients.append(client)

    async def make_cold(self, **changes):
        """Write that all plain servers are cold; wait until all entries know it."""
        for server in self.platform.plain:
            await self.list(server, coldLeftMs=60000, **changes)
        await self.until(
            lambda: all(
                edge.state.metrics.render().count(b"servers_cold 3")
                for edge in self.edges
            )
        )

    async def load(self, seconds):
        """Send requests to all entries; check what the servers get."""
        async with trio.open_nursery() as nursery:
            for client in (self.client, *self.clients):
                count = int(24 * seconds)
                nursery.start_soon(self.ask_many, count, seconds, client)
        for server in self.platform.plain:
            self.assertLessEqual(get_busiest_second(server.arrivals), BOUND)

    # Guards against a whole allowance for each entry that hears no other.
    def test_entries_that_hear_nobody_stay_within_one_bound(self):
        async def test():
            await self.limit(60.0)
            await trio.sleep(3.5)  # entries of a new fleet wait before they share
            await self.make_cold()
            await self.load(2.5)
            for server in self.platform.plain:
                self.assertGreater(len(server.arrivals), BOUND)

        self.play(test)

    # Guards against a share that a process spends once more after its restart, while
    # a failure domain returns cold twice.
    def test_restarted_entries_stay_within_the_bound(self):
        async def test():
            await self.limit(60.0)
            await trio.sleep(3.5)
            await self.make_cold()
            for number in range(2):
                await self.load(0.5)
                self.scopes[number].cancel()
                self.edges.pop(1)
                self.clients.pop(0)
                await self.start_entry(f"edge-{number + 2}", first_start=False)
                await self.make_cold(born=number + 2)
            await self.load(1.0)
            for server in self.platform.plain:
                self.assertGreater(len(server.arrivals), 0)

        self.play(test)


if __name__ == "__main__":
    unittest.main()
