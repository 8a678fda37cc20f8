import collections
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.membership import CellPlan, FullMesh, rank_by_hash

BUDGET_BYTES_PER_SECOND = 6000
MEMBERS = [(f"entry-{n:03}", f"d{n % 16:02}") for n in range(400)]
NAMES = [name for name, _ in MEMBERS]


class TestGossip(unittest.TestCase):
    def test_400_entries_fit_budget_with_cells_and_not_with_full_mesh(self):
        CellPlan().check_budget(BUDGET_BYTES_PER_SECOND)
        self.assertGreater(
            FullMesh(400, 1100).total().bytes_per_second, 20 * BUDGET_BYTES_PER_SECOND
        )
        with self.assertRaises(SettingError):
            CellPlan(neighbours=24, interval=0.5).check_budget(BUDGET_BYTES_PER_SECOND)

    def test_total_is_sum_of_costs(self):
        plan = CellPlan()
        costs = plan.estimate_costs()
        self.assertAlmostEqual(
            plan.total().bytes_per_second, sum(cost.bytes_per_second for cost in costs)
        )

    def test_each_entry_is_assigned_to_one_cell_of_its_domain(self):
        cells = CellPlan().assign_cells(MEMBERS)
        self.assertEqual(sorted(sum(cells.values(), ())), sorted(NAMES))
        self.assertEqual({len(cell) for cell in cells.values()}, {25})

    def test_each_instance_of_a_cell_is_heard_by_equally_many(self):
        plan = CellPlan()
        cell = next(iter(plan.assign_cells(MEMBERS).values()))
        heard = collections.Counter(
            name for sender in cell for name in plan.select_neighbours(sender, cell)
        )
        self.assertEqual(set(heard.values()), {plan.neighbours})

    def test_removed_instance_changes_watchers_of_its_servers_only(self):
        plan = CellPlan()
        servers = [f"s{n}" for n in range(70)]
        cell = NAMES[:25]
        before = {server: plan.select_watchers(server, cell) for server in servers}
        after = {server: plan.select_watchers(server, cell[1:]) for server in servers}
        for server in servers:
            if cell[0] not in before[server]:
                self.assertEqual(before[server], after[server])

    def test_configuration_tree_reaches_each_instance_once_in_its_depth(self):
        plan = CellPlan()
        level, reached, depth = [min(NAMES)], [min(NAMES)], 0
        while len(reached) < len(NAMES):
            level = [
                child for name in level for child in plan.select_children(name, NAMES)
            ]
            reached += level
            depth += 1
        self.assertEqual(sorted(reached), sorted(NAMES))
        self.assertEqual(depth, plan.get_tree_depth())

    def test_digests_of_different_cells_are_received_by_different_members(self):
        plan = CellPlan()
        receivers = {
            plan.select_digest_receiver(f"c{n}", NAMES[:25]) for n in range(15)
        }
        self.assertGreater(len(receivers), 7)

    def test_rank_by_hash_of_many_keys_is_even(self):
        firsts = collections.Counter(
            rank_by_hash(str(n), ("a", "b", "c", "d"))[0] for n in range(2000)
        )
        self.assertLess(max(firsts.values()), 600)
