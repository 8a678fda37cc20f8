import random
import unittest
from collections import Counter
from dataclasses import replace

from wasabistage.exceptions import SettingError
from wasabistage.topology import (
    AddressQuery,
    AddressRequested,
    EntrySelector,
    FleetMember,
)

DOMAINS = ("a", "b", "c")
STRONG, WEAK = 2.15, 0.5
#: Callers of each failure domain and the channels that each has open.
CALLERS = 300
CHANNELS = 6
STEP_SECONDS = 2.0
NEVER = 10**9  # more callers than there are: all entries are named


def build_fleet(strong=6, weak=61):
    """Return entries in turn over the failure domains, as dict of name to member."""
    capacities = [STRONG] * strong + [WEAK] * weak
    return {
        f"entry-{number}": FleetMember(
            name=f"entry-{number}",
            failure_domain=DOMAINS[number % len(DOMAINS)],
            callers=f"entry-{number}:80",
            is_ready=True,
            capacity=capacity,
        )
        for number, capacity in enumerate(capacities)
    }


class Callers:
    """Callers that choose at random among the addresses that they are named.

    :param selector: an :class:`EntrySelector`.
    :param has_own_ips: whether each caller has an IP of its own, or all of a failure
        domain share one.
    """

    def __init__(self, selector, *, has_own_ips=True):
        self.random = random.Random(1)
        self.selector = selector
        self.channels = {}
        self.moved = 0
        self.now = 0.0
        for domain in DOMAINS:
            for number in range(CALLERS):
                ip = f"{domain}-{number}" if has_own_ips else domain
                self.channels[domain, number, ip] = []
                selector.observe(AddressRequested(caller=ip), 0.0)

    def step(self, members):
        """Have every caller ask once, and move its channels."""
        self.now += STEP_SECONDS
        for (domain, _, ip), held in self.channels.items():
            query = AddressQuery(
                members=tuple(members.values()),
                failure_domain=domain,
                caller=ip,
                draws=tuple(self.random.random() for _ in members),
            )
            self.selector.observe(AddressRequested(caller=ip), self.now)
            named = [item.name for item in self.selector.decide(query, self.now)]
            kept = [name for name in held if name in named]
            self.moved += len(held) - len(kept)
            while len(kept) < CHANNELS:
                kept.append(self.random.choice(named))
            held[:] = kept

    def count(self):
        """Return the number of channels of each entry."""
        return Counter(name for held in self.channels.values() for name in held)

    def get_loads(self, members):
        """Return each entry's channels relative to its capacity, 1 on average."""
        counts = self.count()
        total = sum(item.capacity for item in members.values())
        fair = {
            name: item.capacity / total * counts.total()
            for name, item in members.items()
        }
        return {name: counts[name] / fair[name] for name in members}


class UnequalEntriesTest(unittest.TestCase):
    """Pattern: six strong entries beside 61 weak ones."""

    def play(self, members, **params):
        callers = Callers(EntrySelector(**params).reset())
        callers.step(members)
        return callers

    def test_strong_entries_get_more_channels_than_if_all_are_named(self):
        members = build_fleet()
        weighted = self.play(members).get_loads(members)
        everyone = self.play(members, min_callers=NEVER, max_callers=NEVER)
        everyone = everyone.get_loads(members)
        strong = [name for name in members if members[name].capacity == STRONG]
        # With all named, a strong entry has 0.3 of its share and a weak one 1.3.
        self.assertLess(max(everyone[name] for name in strong), 0.4)
        self.assertGreater(min(weighted[name] for name in strong), 0.6)
        # The most loaded entry is a weak one, and has less than without weighting.
        self.assertLess(max(weighted.values()), max(everyone.values()))

    def test_no_entry_is_without_callers(self):
        members = build_fleet()
        loads = self.play(members).get_loads(members)
        self.assertGreater(min(loads.values()), 0.5)

    def test_answers_to_one_caller_do_not_change(self):
        """Guards against a new random draw for each answer, which moves channels."""
        members = build_fleet()
        callers = self.play(members)
        for _ in range(5):
            callers.step(members)
        self.assertEqual(callers.moved, 0)

    def test_stop_of_an_entry_moves_no_other_channels(self):
        members = build_fleet()
        callers = self.play(members)
        for name in ("entry-0", "entry-30"):
            lost = callers.count()[name]
            members[name] = replace(members[name], is_ready=False)
            callers.step(members)
            # The size of the subsets stays the same here: one joins for each that left.
            self.assertEqual(callers.moved, lost)
            self.assertEqual(callers.count()[name], 0)
            callers.moved = 0

    def test_start_of_an_entry_moves_as_many_channels_as_it_gets(self):
        members = build_fleet()
        stopped = {name: members[name] for name in members if name != "entry-1"}
        callers = self.play(stopped)
        callers.step(members)
        # It replaces an entry where it is named, in 1 of 8 places of a caller at most.
        self.assertLess(callers.moved, len(callers.channels) * CHANNELS / 8)

    def test_slow_entry_gets_less_and_others_keep_their_channels(self):
        members = build_fleet()
        callers = self.play(members)
        before = callers.count()["entry-0"]
        members["entry-0"] = replace(members["entry-0"], capacity=STRONG / 4)
        callers.step(members)
        after = callers.count()["entry-0"]
        self.assertLess(after, 0.6 * before)
        self.assertEqual(callers.moved, before - after)


class FewCallersTest(unittest.TestCase):
    """Pattern: all callers of a failure domain share one IP."""

    def test_all_entries_are_named(self):
        """Guards against a few weak entries that carry a whole failure domain."""
        members = build_fleet()
        shared = Callers(EntrySelector().reset(), has_own_ips=False)
        shared.step(members)
        never = EntrySelector(min_callers=NEVER, max_callers=NEVER).reset()
        everyone = Callers(never, has_own_ips=False)
        everyone.step(members)
        self.assertEqual(shared.count(), everyone.count())
        forced = Callers(EntrySelector(min_callers=1).reset(), has_own_ips=False)
        forced.step(members)
        worst = max(shared.get_loads(members).values())
        self.assertGreater(max(forced.get_loads(members).values()), 1.5 * worst)

    def test_weighting_does_not_flap_around_its_bound(self):
        selector = EntrySelector(min_callers=10, caller_timeout=100.0).reset()
        for number in range(10):
            self.assertFalse(selector.is_weighted_)
            selector.observe(AddressRequested(caller=f"c{number}"), number)
        self.assertTrue(selector.is_weighted_)
        selector.observe(AddressRequested(caller="c9"), 103.5)
        self.assertTrue(selector.is_weighted_)
        selector.observe(AddressRequested(caller="c9"), 200.0)
        self.assertFalse(selector.is_weighted_)

    def test_number_of_remembered_callers_is_bounded(self):
        selector = EntrySelector(max_callers=100).reset()
        for number in range(1000):
            selector.observe(AddressRequested(caller=f"c{number}"), 0.0)
        self.assertEqual(len(selector.callers_), 100)


class AlikeEntriesTest(unittest.TestCase):
    """Pattern: no capacity is declared, or all machines are alike."""

    def select(self, members, domain="a", caller="c1"):
        selector = EntrySelector(min_callers=1).reset()
        selector.observe(AddressRequested(caller="c1"), 0.0)
        draws = random.Random(1)
        query = AddressQuery(
            members=tuple(members),
            failure_domain=domain,
            caller=caller,
            draws=tuple(draws.random() for _ in members),
        )
        return selector.decide(query, 0.0)

    def build(self, count, *capacities):
        return [
            FleetMember(
                name=f"e{number}",
                failure_domain="a",
                callers=f"e{number}:80",
                is_ready=True,
                capacity=capacities[number % len(capacities)],
            )
            for number in range(count)
        ]

    def test_all_are_named_in_random_order(self):
        for capacities in ((0.0,), (0.5,), (0.5, 0.6)):
            members = self.build(40, *capacities)
            found = self.select(members)
            self.assertEqual(len(found), 40)
            self.assertNotEqual(found, members)

    def test_unknown_capacity_of_one_leaves_all_named(self):
        """Guards the time in which older builds run beside this one."""
        for unknown in (0.0, float("nan"), float("inf"), -1.0):
            self.assertEqual(len(self.select(self.build(40, 2.15, 0.5, unknown))), 40)

    def test_unknown_caller_is_named_all(self):
        self.assertEqual(len(self.select(self.build(40, 2.0, 0.5), caller="")), 40)

    def test_fewer_entries_than_the_least_subset_are_all_named(self):
        self.assertEqual(len(self.select(self.build(7, 2.0, 0.1))), 7)

    def test_no_ready_entry_gives_no_address(self):
        members = [replace(item, is_ready=False) for item in self.build(3, 1.0, 2.0)]
        self.assertEqual(self.select(members), [])

    def test_invalid_arguments_are_refused(self):
        for arguments in (
            {"min_near": 0},
            {"min_near": 65},
            {"min_callers": 0},
            {"alike_ratio": 0.5},
            {"min_callers": 5, "max_callers": 4},
        ):
            with self.assertRaises(SettingError):
                EntrySelector(**arguments).reset()


if __name__ == "__main__":
    unittest.main()
