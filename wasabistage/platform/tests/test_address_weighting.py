"""Pattern: many callers of one failure domain, before strong and weak entries."""

import json
import unittest
from collections import Counter
from dataclasses import replace

import trio

from wasabistage.platform.tests.edge_case import EdgeCase
from wasabistage.topology import EntryCapacity, FleetMember

CALLERS = 120
MEMBERS_SECONDS = 60.0  # longer than the test: no other entry sends reports


def build_members(strong=2, weak=18):
    return [
        FleetMember(
            name=f"other-{number}",
            failure_domain="a",
            callers=f"10.0.0.{number + 1}:80",
            is_ready=True,
            capacity=2.15 if number < strong else 0.5,
        )
        for number in range(strong + weak)
    ]


class AddressWeightingTest(EdgeCase):
    async def resolve(self, number):
        """Request addresses from an IP of its own, as one of many callers."""
        host, _, port = self.directory.address.rpartition(":")
        with trio.socket.socket() as sock:
            await sock.bind((f"127.0.1.{number + 1}", 0))
            await sock.connect((host, int(port)))
            await sock.send(b"GET /v1/resolve?zone=a HTTP/1.1\r\nHost: d\r\n\r\n")
            data = b""
            while b"}" not in data:
                data += await sock.recv(65536)
        return set(json.loads(data.partition(b"\r\n\r\n")[2])["addresses"])

    async def resolve_all(self):
        return [await self.resolve(number) for number in range(CALLERS)]

    def set_members(self, members):
        table, now = self.edge.state.view.table, self.timer.now()
        table.observe("other-0", list(members), now, MEMBERS_SECONDS)

    # Guards against weak entries that get as many channels as strong ones.
    def test_callers_are_led_to_strong_entries_and_stay_there(self):
        async def test():
            members = build_members()
            self.set_members(members)
            self.edge.state.view.capacity = EntryCapacity(0.5).reset()
            first = await self.resolve_all()
            self.assertEqual(len(first[0]), 21)
            named = await self.resolve_all()
            self.assertEqual(len(self.events("address_weighting")), 1)
            self.assertEqual({len(item) for item in named}, {8})
            counts = Counter(address for item in named for address in item)
            self.assertGreater(counts["10.0.0.1:80"], 0.9 * CALLERS)
            self.assertLess(counts["10.0.0.9:80"], 0.6 * CALLERS)
            self.assertEqual(await self.resolve_all(), named)
            # One entry stops: the other addresses of each caller stay.
            members[1] = replace(members[1], is_ready=False)
            self.set_members(members)
            for before, after in zip(named, await self.resolve_all(), strict=True):
                self.assertEqual(before - after, before & {"10.0.0.2:80"})
                self.assertEqual(len(after), 8)

        self.play(test)

    # Guards against a change for deployments whose entries are alike.
    def test_entries_that_are_alike_are_all_named(self):
        async def test():
            self.set_members([replace(item, capacity=0.5) for item in build_members()])
            self.edge.state.view.capacity = EntryCapacity(0.5).reset()
            await self.resolve_all()
            for item in await self.resolve_all():
                self.assertEqual(len(item), 21)

        self.play(test)


if __name__ == "__main__":
    unittest.main()
