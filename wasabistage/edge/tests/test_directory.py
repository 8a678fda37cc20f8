import random
import unittest
from types import SimpleNamespace

from wasabistage.edge._callers import MAX_ADDRESSES, DirectoryHandler
from wasabistage.fleet import Configuration, Route, RouteKind, RouteTable
from wasabistage.topology import FleetMember


def build_members(domains, each, ready=True):
    return {
        f"{domain}-{number}": FleetMember(
            name=f"{domain}-{number}",
            failure_domain=domain,
            callers=f"{domain}-{number}:80",
            is_ready=ready,
        )
        for domain in domains
        for number in range(each)
    }


class DirectoryTest(unittest.TestCase):
    def get_addresses(self, members, domain, region="", host="", regions=()):
        routes = RouteTable()
        route = Route(
            name="r",
            host="h.example",
            path_prefix=b"/",
            kind=RouteKind.IDEMPOTENT,
            targets=(("s", 1.0),),
            timeout=1.0,
            objective=1.0,
            allowed_regions=frozenset({"west"}),
        )
        routes.apply_configuration(
            Configuration(version=1, routes=(route,), services={}, stores={})
        )
        state = SimpleNamespace(
            view=SimpleNamespace(get_members=lambda: members),
            random=random.Random(1),
            settings=SimpleNamespace(regions=dict(regions)),
            routes=routes,
        )
        return DirectoryHandler(state).get_addresses(domain, region, host)

    def test_callers_are_led_to_entries_of_their_domain(self):
        found = self.get_addresses(build_members("abc", 30), "b")
        self.assertEqual(len(found), 30)
        self.assertTrue(all(address.startswith("b-") for address in found))

    def test_few_entries_of_a_domain_do_not_carry_its_callers_alone(self):
        found = self.get_addresses(build_members("abcd", 2), "a")
        self.assertEqual({address[0] for address in found}, set("abcd"))

    def test_entries_of_the_own_region_are_preferred_then_those_of_a_home_region(self):
        regions = {"a": "east", "b": "east", "c": "west", "d": "north"}
        for each, region, host, expected in (
            (5, "east", "h.example", "ab"),
            (5, "", "h.example", "ab"),  # the region of the caller's failure domain
            (5, "west", "", "cabd"),
            (3, "east", "H.example:80", "abc"),
            (1, "north", "h.example", "dcab"),
        ):
            members = build_members("abcd", each)
            found = self.get_addresses(members, "a", region, host, regions)
            domains = list(dict.fromkeys(address[0] for address in found))
            self.assertEqual(set(domains), set(expected))
            tiers = [regions[address[0]] for address in found]
            self.assertEqual(tiers[0], region or "east")
            if "c" in expected and region != "west" and host:
                self.assertLess(
                    max(i for i, tier in enumerate(tiers) if tier == tiers[0]),
                    tiers.index("west"),
                )

    def test_entries_that_are_not_ready_are_left_out(self):
        members = build_members("a", 20, ready=False) | build_members("b", 3)
        self.assertEqual(len(self.get_addresses(members, "a")), 3)

    def test_number_of_addresses_is_bounded(self):
        found = self.get_addresses(build_members("abc", 200), "unknown")
        self.assertEqual(len(found), MAX_ADDRESSES)


if __name__ == "__main__":
    unittest.main()
