import unittest
from dataclasses import replace

from wasabistage.exceptions import SettingError
from wasabistage.topology import FleetMember, RolePlan, RoleQuery, rank_members

SIZES = (7, 65, 195, 401)
DOMAINS = {7: 4, 65: 3, 195: 6, 401: 16}
FAST_WEIGHT, SLOW_WEIGHT = 100.0**2, 10.0**2


def build_fleet(size):
    """Return a fleet in which one entry in ten has a fast link."""
    domains = DOMAINS[size]
    members = {}
    for number in range(size):
        name = f"entry-{number}"
        members[name] = FleetMember(
            name=name,
            failure_domain=f"domain-{number % domains}",
            ip=f"10.0.{number // 250}.{number % 250}",
            weight=FAST_WEIGHT if number // domains % 10 == 0 else SLOW_WEIGHT,
        )
    return members


def decide(members, name, followed=()):
    query = RoleQuery(name=name, members=members, followed_relays=frozenset(followed))
    return RolePlan().reset().decide(query)


class RankTest(unittest.TestCase):
    def test_order_of_the_others_is_kept(self):
        members = list(build_fleet(65).values())
        ranked = rank_members(members, "topic")
        without = rank_members([item for item in members if item != ranked[0]], "topic")
        self.assertEqual(without, ranked[1:])

    def test_weight_is_the_share_of_first_places(self):
        light = FleetMember(name="light", weight=1.0)
        heavy = FleetMember(name="heavy", weight=3.0)
        first = sum(
            rank_members([light, heavy], f"role-{number}")[0] == heavy
            for number in range(2000)
        )
        self.assertAlmostEqual(first / 2000, 0.75, delta=0.04)


class RolePlanTest(unittest.TestCase):
    def test_all_entries_compute_the_same_relays(self):
        for size in SIZES:
            members = build_fleet(size)
            seen = {
                tuple(sorted(decide(members, name).relays))
                for name in list(members)[:20]
            }
            self.assertEqual(len(seen), 1)

    def test_each_domain_has_relays_and_groups_are_bounded(self):
        for size in SIZES[1:]:
            members = build_fleet(size)
            relays = decide(members, "entry-0").relays
            for domain in {item.failure_domain for item in members.values()}:
                inside = [m for m in members.values() if m.failure_domain == domain]
                chosen = [m for m in relays.values() if m.failure_domain == domain]
                self.assertGreaterEqual(len(chosen), 2)
                self.assertLessEqual(len(inside) / len(chosen), 20.0)

    def test_small_fleet_is_a_mesh(self):
        members = build_fleet(7)
        roles = decide(members, "entry-3")
        self.assertEqual(set(roles.relays), set(members))
        self.assertTrue(roles.is_relay)

    def test_fast_entries_carry_the_facts(self):
        members = build_fleet(195)
        relays = decide(members, "entry-0").relays.values()
        fast = sum(item.weight == FAST_WEIGHT for item in relays)
        self.assertGreater(fast / len(relays), 0.7)

    def test_followers_prefer_their_domain_and_spread_over_its_relays(self):
        members = build_fleet(195)
        counts = {}
        for name, member in members.items():
            roles = decide(members, name)
            if roles.is_relay:
                continue
            first = roles.relays[roles.candidates[0]]
            self.assertEqual(first.failure_domain, member.failure_domain)
            counts[first.name] = counts.get(first.name, 0) + 1
        self.assertEqual(len(counts), 12)
        # No relay has more than four fifths of the followers of its domain, 31 at most.
        self.assertLessEqual(max(counts.values()), 0.8 * 31)

    def test_lost_domain_leaves_relays_of_others_to_follow(self):
        members = build_fleet(195)
        members = {
            name: item
            for name, item in members.items()
            if item.failure_domain != "domain-0" or name == "entry-0"
        }
        roles = decide(members, "entry-0")
        self.assertTrue(roles.is_relay)
        self.assertTrue(roles.candidates)

    def test_stopping_entry_is_relay_last(self):
        members = build_fleet(195)
        relay = next(iter(decide(members, "entry-0").relays))
        members[relay] = replace(members[relay], weight=1e-3)
        self.assertNotIn(relay, decide(members, "entry-0").relays)

    def test_followed_entries_exchange_facts_as_relays(self):
        members = build_fleet(195)
        relays = decide(members, "entry-0").relays
        other = next(name for name in members if name not in relays)
        roles = decide(members, "entry-0", [other])
        self.assertIn(other, roles.relays)
        self.assertNotIn(other, roles.candidates)

    def test_arguments_are_checked(self):
        with self.assertRaises(SettingError):
            RolePlan(mesh_size=0).reset()


class ReaderTest(unittest.TestCase):
    def test_each_topic_has_one_reader_of_each_rank(self):
        for size in SIZES:
            members = build_fleet(size)
            relays = decide(members, "entry-0").relays
            ranks = sorted(
                decide(members, name).get_reader_rank(name, "servers")
                for name in relays
            )
            self.assertEqual(ranks, list(range(len(relays))))

    def test_followers_read_nothing(self):
        members = build_fleet(195)
        roles = decide(members, "entry-0")
        follower = next(name for name in members if name not in roles.relays)
        rank = decide(members, follower).get_reader_rank(follower, "servers")
        self.assertEqual(rank, float("inf"))

    def test_next_in_rank_reads_what_the_first_cannot(self):
        members = build_fleet(195)
        roles = decide(members, "entry-0")
        first, second = roles.rank_readers("10.0.0.1:80", "domain-2")[:2]
        self.assertEqual(members[first].failure_domain, "domain-2")
        rank = roles.get_reader_rank(second, "10.0.0.1:80", "domain-2", {first})
        self.assertEqual(rank, 0)

    def test_sources_are_spread_over_the_relays(self):
        members = build_fleet(195)
        roles = decide(members, "entry-0")
        counts = {}
        for number in range(120):
            domain = f"domain-{number % 6}"
            name = roles.rank_readers(f"10.1.0.{number}:80", domain)[0]
            counts[name] = counts.get(name, 0) + 1
        self.assertGreaterEqual(len(counts), 8)


class DutyAfterDeathsTest(unittest.TestCase):
    """Pattern: relays die one after another; every topic keeps a reader."""

    def test_no_topic_is_without_a_reader(self):
        for size in SIZES:
            members = build_fleet(size)
            while len(members) > 2:
                roles = decide(members, next(iter(members)))
                reader = roles.rank_readers("configuration")[0]
                self.assertIn(reader, members)
                own = decide(members, reader)
                self.assertEqual(own.get_reader_rank(reader, "configuration"), 0)
                del members[reader]


if __name__ == "__main__":
    unittest.main()
