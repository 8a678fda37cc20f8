import collections
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.membership import CellPlan, FullMesh, rank_by_hash

BUDGET = 6000  # bytes a second
MEMBERS = [(f"entry-{n:03}", f"d{n % 16:02}") for n in range(400)]
NAMES = [name for name, _ in MEMBERS]


class TestGossip(unittest.TestCase):
    def test_target_size_fits_with_cells_only(self):
        CellPlan().check(BUDGET)
        self.assertGreater(FullMesh(400, 1100).total().bytes, 20 * BUDGET)
        with self.assertRaises(SettingError):
            CellPlan(neighbours=24, interval=0.5).check(BUDGET)

    def test_parts_add_up(self):
        plan = CellPlan()
        parts = plan.costs()
        self.assertAlmostEqual(plan.total().bytes, sum(part.bytes for part in parts))

    def test_cells_hold_each_entry_once_within_its_domain(self):
        cells = CellPlan().cells_of(MEMBERS)
        self.assertEqual(sorted(sum(cells.values(), ())), sorted(NAMES))
        self.assertEqual({len(cell) for cell in cells.values()}, {25})

    def test_everyone_is_heard_by_as_many(self):
        plan = CellPlan()
        cell = next(iter(plan.cells_of(MEMBERS).values()))
        heard = collections.Counter(
            name for own in cell for name in plan.neighbours_of(own, cell)
        )
        self.assertEqual(set(heard.values()), {plan.neighbours})

    def test_watchers_move_only_when_they_go(self):
        plan = CellPlan()
        servers = [f"s{n}" for n in range(70)]
        cell = NAMES[:25]
        before = {server: plan.watchers_of(server, cell) for server in servers}
        after = {server: plan.watchers_of(server, cell[1:]) for server in servers}
        for server in servers:
            if cell[0] not in before[server]:
                self.assertEqual(before[server], after[server])

    def test_configuration_tree_reaches_everyone_once(self):
        plan = CellPlan()
        level, reached, depth = [min(NAMES)], [min(NAMES)], 0
        while len(reached) < len(NAMES):
            level = [c for name in level for c in plan.children_of(name, NAMES)]
            reached += level
            depth += 1
        self.assertEqual(sorted(reached), sorted(NAMES))
        self.assertEqual(depth, plan.tree_depth())

    def test_digests_arrive_at_different_members(self):
        plan = CellPlan()
        receivers = {plan.digest_receiver(f"c{n}", NAMES[:25]) for n in range(15)}
        self.assertGreater(len(receivers), 7)

    def test_ranking_is_even(self):
        firsts = collections.Counter(
            rank_by_hash(str(n), ("a", "b", "c", "d"))[0] for n in range(2000)
        )
        self.assertLess(max(firsts.values()), 600)
