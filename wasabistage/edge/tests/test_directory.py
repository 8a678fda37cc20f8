import random
import unittest
from types import SimpleNamespace

from wasabistage.edge._callers import MAX_ADDRESSES, DirectoryHandler
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
    def get_addresses(self, members, domain):
        view = SimpleNamespace(get_members=lambda: members)
        state = SimpleNamespace(view=view, random=random.Random(1))
        return DirectoryHandler(state).get_addresses(domain)

    def test_callers_are_led_to_entries_of_their_domain(self):
        found = self.get_addresses(build_members("abc", 30), "b")
        self.assertEqual(len(found), 30)
        self.assertTrue(all(address.startswith("b-") for address in found))

    def test_few_entries_of_a_domain_do_not_carry_its_callers_alone(self):
        found = self.get_addresses(build_members("abcd", 2), "a")
        self.assertEqual({address[0] for address in found}, set("abcd"))

    def test_entries_that_are_not_ready_are_left_out(self):
        members = build_members("a", 20, ready=False) | build_members("b", 3)
        self.assertEqual(len(self.get_addresses(members, "a")), 3)

    def test_number_of_addresses_is_bounded(self):
        found = self.get_addresses(build_members("abc", 200), "unknown")
        self.assertEqual(len(found), MAX_ADDRESSES)


if __name__ == "__main__":
    unittest.main()
