"""Pattern: a failure domain returns cold, before entries that can't hear each other."""

import unittest

from wasabistage.edge._fleet_view import COLD_HOLD_BACK_SECONDS
from wasabistage.edge.tests.fleet_case import Fleet
from wasabistage.routing import AllowanceQuery, ColdAllowance

BOUND = 30
SERVERS = ("s1", "s2", "s3")
SETTLE_SECONDS = 14.0


def get_total(fleet, server):
    """Return the requests that all entries may send to a cold server in a second."""
    allowance, total = ColdAllowance().reset(), 0
    for entry in fleet.entries.values():
        rank, count = entry.state.view.get_cold_rank(server)
        query = AllowanceQuery(server=server, bound=BOUND, rank=rank, count=count)
        total += allowance.decide(query, fleet.now).share
    return total


class ColdShareTest(unittest.TestCase):
    def play(self, size, domains, disturb, seconds=14.0, is_first_start=False):
        """Return the totals of each interval after a disturbance."""
        totals = []

        def check(fleet):
            totals.append([get_total(fleet, server) for server in SERVERS])

        fleet = Fleet(size, domains, is_first_start=is_first_start)
        if not is_first_start:
            fleet.play(SETTLE_SECONDS, check)
        disturb(fleet)
        fleet.play(seconds, check)
        self.assertLessEqual(max(map(max, totals)), BOUND)
        return totals

    # Guards against more than one bound for entries that lose each other, whether they
    # reach the store or not.
    def test_entries_that_lose_each_other_share_one_bound(self):
        def isolate_all(fleet):
            fleet.sides = {
                entry.name: number
                for number, entry in enumerate(fleet.entries.values())
            }

        def split_domains(fleet):
            domains = [entry.domain for entry in fleet.entries.values()]
            fleet.sides = {
                entry.name: domains.index(entry.domain)
                for entry in fleet.entries.values()
            }

        def isolate_without_store(fleet):
            isolate_all(fleet)
            fleet.is_store_up = False

        def deafen_relays(fleet):
            fleet.is_deaf = fleet.get_relays()

        def kill_relays(fleet):
            fleet.kill(fleet.get_relays())

        for disturb in (
            isolate_all,
            split_domains,
            isolate_without_store,
            deafen_relays,
            kill_relays,
        ):
            for size, domains in ((14, 2), (58, 4)):
                with self.subTest(disturb=disturb.__name__, size=size):
                    totals = self.play(size, domains, disturb)
                    self.assertEqual(max(map(max, totals)), BOUND)

    # Guards against entries of new names that other entries don't know yet, while some
    # are cut off.
    def test_new_and_restarted_entries_share_one_bound(self):
        def replace(fleet):
            killed = sorted(entry.name for entry in fleet.entries.values())[::3]
            fleet.kill(killed)
            for _ in killed:
                fleet.add(4)
            names = sorted(entry.name for entry in fleet.entries.values())
            fleet.sides = {name: number % 5 for number, name in enumerate(names)}
            for entry in list(fleet.entries.values())[::4]:
                entry.reaches_store = False

        for size in (14, 58):
            self.play(size, 4, replace, seconds=2.5 * COLD_HOLD_BACK_SECONDS)

    def test_starting_fleets_use_the_bound_soon(self):
        for size, domains in ((1, 1), (7, 4), (58, 4)):
            for is_first_start in (False, True):
                with self.subTest(size=size, is_first_start=is_first_start):
                    totals = self.play(
                        size,
                        domains,
                        lambda fleet: None,
                        seconds=8.0,
                        is_first_start=is_first_start,
                    )
                    self.assertEqual(totals[-1], [BOUND] * len(SERVERS))

    # Guards against a share that a process spends once more after a restart, and
    # against one that is spent while others may be unknown.
    def test_restarted_process_and_one_without_the_store_have_no_share(self):
        fleet = Fleet(3, 1)
        fleet.play(SETTLE_SECONDS)
        first, second, third = fleet.entries.values()
        fleet.kill([first.name])
        fleet.numbers = iter([0])
        restarted = fleet.add(1)
        self.assertEqual(restarted.name, first.name)

        def check(fleet):
            rank, _ = restarted.state.view.get_cold_rank("s1")
            self.assertIsNone(rank)

        fleet.play(COLD_HOLD_BACK_SECONDS - 1.0, check)
        fleet.play(3.0)
        self.assertIsNotNone(restarted.state.view.get_cold_rank("s1")[0])
        third.reaches_store = False
        fleet.sides = {third.name: 1}
        fleet.play(COLD_HOLD_BACK_SECONDS + 1.0)
        self.assertIsNone(third.state.view.get_cold_rank("s1")[0])
        self.assertIsNotNone(second.state.view.get_cold_rank("s1")[0])


if __name__ == "__main__":
    unittest.main()
