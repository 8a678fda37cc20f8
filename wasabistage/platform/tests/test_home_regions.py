"""Pattern: servers of an allowed region fail while others of the service are idle."""

import unittest

from standins.users_platform import Behaviour
from wasabistage.edge._choice import build_part_stores
from wasabistage.fleet import CacheStore
from wasabistage.http1 import ChannelError
from wasabistage.platform.tests.edge_case import PROMPT, EdgeCase

ROUTE = {
    "host": "h.example",
    "timeoutMs": 3000,
    "goalMs": 500,
    "attempts": 3,
    "service": "app",
    "kind": "idempotent",
}


class HomeRegionTest(EdgeCase):
    async def start(self, nursery):
        await super().start(nursery)
        state = self.edge.state
        zones = {"p0": "Z1", "p1": "z2", "p2": "z3", "e0": "Z1", "e1": "z3"}
        for server in self.platform.servers:
            record = server.entry(zone=zones[server.server])
            self.platform.store.put(server.server, record, "keyed.servers")
        await self.until(
            lambda: all(
                state.servers.get(name).failure_domain == zone
                for name, zone in zones.items()
            )
        )
        state.settings.regions = {"Z1": "east", "z2": "west", "z3": "north"}
        self.plain = dict(
            zip(("east", "west", "north"), self.platform.plain, strict=True)
        )

    async def publish(self, route_regions=None, account_regions=None):
        """Publish routes and an account with home regions."""
        regions = {} if route_regions is None else {"allowedRegions": route_regions}
        chat = {"service": "llm", "kind": "streaming", "sticky": True}
        routes = [
            {**ROUTE, **regions, "name": "read", "pathPrefix": "/read/"},
            {**ROUTE, **regions, **chat, "name": "chat", "pathPrefix": "/chat/"},
        ]
        account = {"name": "small", "keys": ["k1"]}
        if account_regions is not None:
            account["allowedRegions"] = account_regions
        self.version = getattr(self, "version", 1) + 1
        self.platform.publish(self.version, routes=routes, tenants=[account])
        state = self.edge.state
        await self.until(lambda: state.routes.configuration.version == self.version)

    async def get_regions(self, count=12):
        """Return the regions whose plain servers get requests."""
        for server in self.platform.plain:
            server.arrivals.clear()
        for _ in range(count):
            self.assertEqual((await self.ask()).status, 200)
        return {name for name, server in self.plain.items() if server.arrivals}

    def test_route_and_account_limit_the_regions_together(self):
        async def test():
            for route, account, expected in (
                (None, None, {"east", "west", "north"}),
                ([], [], {"east", "west", "north"}),
                (["east"], None, {"east"}),
                (None, ["west", "north"], {"west", "north"}),
                (["east", "west"], ["west", "north"], {"west"}),
            ):
                await self.publish(route, account)
                self.assertEqual(await self.get_regions(24), expected)

        self.play(test)

    # Guards against retries that leave the allowed regions.
    def test_retries_stay_and_nothing_usable_is_refused_at_once(self):
        async def test():
            await self.publish(["east", "nowhere"])
            for server in (self.platform.plain[0], self.platform.engines[0]):
                server.behaviour = Behaviour(is_full=True)
            self.assertEqual((await self.ask()).status, 503)
            for server in (*self.platform.plain[1:], self.platform.engines[1]):
                self.assertEqual(server.arrivals, [])
            await self.publish(["nowhere"])
            for path, headers in ((b"/read/x", ()), (b"/chat/x", PROMPT)):
                begun_at = self.timer.now()
                reply = await self.ask(path, headers, b"POST")
                self.assertEqual(reply.status, 503)
                self.assertGreater(float(reply.fields[b"retry-after"]), 0.0)
                self.assertLess(self.timer.now() - begun_at, 1.0)
            # Lines are written after the responses.
            await self.until(lambda: len(self.events("request_given_up")) == 3)
            for line in self.events("request_given_up")[1:]:
                self.assertIn("in the allowed regions nowhere", line["reason"])
            for server in (*self.platform.plain[1:], self.platform.engines[1]):
                self.assertEqual(server.arrivals, [])

        self.play(test)

    # Guards against a stream that is resumed in another region.
    def test_broken_stream_is_not_resumed_elsewhere(self):
        async def test():
            await self.publish(["east"])
            self.platform.engines[0].behaviour = Behaviour(break_after=1)
            with self.assertRaises(ChannelError):
                await self.ask(b"/chat/x", PROMPT, b"POST")
            self.assertEqual(len(self.platform.engines[0].arrivals), 1)
            self.assertEqual(self.platform.engines[1].arrivals, [])

        self.play(test)

    def test_servers_of_unknown_regions_are_not_allowed(self):
        async def test():
            await self.publish(["east"])
            del self.edge.state.settings.regions["Z1"]
            self.assertEqual((await self.ask()).status, 503)
            # Without any region, everything is in one and nothing is limited.
            self.edge.state.settings.regions.clear()
            self.assertEqual((await self.ask()).status, 200)

        self.play(test)

    def test_cache_stores_of_other_regions_are_left_out(self):
        async def test():
            await self.publish(["east"])
            state = self.edge.state
            for domain in ("Z1", "z2", "unknown"):
                state.routes.configuration.stores[domain] = CacheStore(
                    name=domain,
                    address=f"{domain}:1",
                    failure_domain=domain,
                    capacity_tokens=1,
                    link_bytes_per_second=1.0,
                )
            stores = build_part_stores(state, (frozenset({"east"}),))
            self.assertEqual([store.address for store in stores], ["Z1:1"])
            self.assertEqual(len(build_part_stores(state)), 3)

        self.play(test)


if __name__ == "__main__":
    unittest.main()
