"""The capacity page: slopes, formulas, tables, and one small fleet."""

import unittest
from pathlib import Path
from unittest import mock

import trio

from benchmarks.capacity._fleets import FleetCost, measure_fleet
from benchmarks.capacity._model import (
    BYTES_BOUND,
    MEMORY_BOUND,
    PLANNED,
    SESSIONS,
    Measured,
    fit,
    fit_processes,
    total,
    work_out,
)
from benchmarks.capacity._page import fleet_table, replace_table, target_table
from benchmarks.capacity._slopes import measure_policies, point
from benchmarks.capacity._wire import count_bytes, make_gossip
from benchmarks.once_explorer import _costs
from wasabistage.membership import CellPlan
from wasabistage.sessions import SessionTable

ROOT = Path(__file__).resolve().parent.parent.parent
TABLES = ("slopes", "processes", "target")


def fleet(entries, servers, core, calls):
    return FleetCost(
        entries=entries,
        servers=servers,
        core=core,
        core_most=core,
        resident=80.0,
        calls=calls,
        processes=entries + servers,
        total=1000.0,
    )


FLEETS = [
    fleet(3, 10, 0.04, 4.0),
    fleet(7, 10, 0.06, 12.0),
    fleet(7, 20, 0.08, 12.0),
]


class TestModel(unittest.TestCase):
    def test_a_line_is_found(self):
        base, slope = fit([(1, 5.0), (2, 7.0), (4, 11.0)])
        self.assertAlmostEqual(base, 3.0)
        self.assertAlmostEqual(slope, 2.0)
        self.assertEqual(fit([(3, 4.0)]), (4.0, 0.0))

    def test_cost_of_entries_and_of_servers_are_told_apart(self):
        slopes = fit_processes(FLEETS)
        self.assertAlmostEqual(slopes.entry, 0.005)
        self.assertAlmostEqual(slopes.call, 0.0025)
        self.assertAlmostEqual(slopes.server, 0.002)

    def test_nearest_size_is_looked_up(self):
        rows = [point("r", size, "things", "us", float(size)) for size in (10, 200)]
        self.assertEqual(Measured(rows).at("r", "us", 150), 200.0)

    def test_target_adds_up_the_planned_roles(self):
        with mock.patch.object(_costs, "KEYS", 200):
            measured = Measured(measure_policies(short=True))
        lines = work_out(measured, FLEETS, 1400.0, (8000.0, 300.0))
        roles = [line.role for line in lines]
        self.assertLessEqual(set(PLANNED), set(roles))
        planned = [line for line in lines if line.role in PLANNED]
        self.assertAlmostEqual(total(lines).core, sum(line.core for line in planned))
        relay = next(line for line in lines if line.role.startswith("relay"))
        self.assertAlmostEqual(relay.core, 230_000 / 400 * 300 / 1e4)
        self.assertEqual(len(target_table(lines)), len(lines) + 2)

    def test_sessions_and_the_cell_plan_keep_to_the_bounds(self):
        table = SessionTable(SESSIONS).reset()
        self.assertLess(table.memory() / 1e6, MEMORY_BOUND / 4)
        self.assertLess(CellPlan().total().bytes_per_second, BYTES_BOUND)


class TestWire(unittest.TestCase):
    def test_bytes_of_a_call_grow_with_what_it_tells(self):
        quiet = trio.run(count_bytes, make_gossip())
        busy = trio.run(count_bytes, make_gossip(accounts=10))
        self.assertGreater(quiet, 400)
        self.assertGreater(busy, quiet + 10 * 30)
        self.assertLess(busy, 4000)


class TestPage(unittest.TestCase):
    def test_a_table_is_replaced_between_its_markers_only(self):
        text = "a\n<!-- t: written by make capacity -->\nold\n<!-- end of t -->\nb"
        once = replace_table(text, "t", ["new"])
        self.assertNotIn("old", once)
        self.assertTrue(once.startswith("a\n") and once.endswith("\nb"))
        self.assertEqual(replace_table(once, "t", ["new"]), once)
        with self.assertRaises(ValueError):
            replace_table("no markers", "t", [])

    def test_the_page_has_every_marker(self):
        text = (ROOT / "docs" / "CAPACITY.md").read_text(encoding="utf-8")
        for name in TABLES:
            self.assertNotEqual(replace_table(text, name, ["x"]), text)


class TestFleet(unittest.TestCase):
    def test_an_idle_fleet_is_measured(self):
        found = measure_fleet(2, 7, 1.0)
        self.assertEqual((found.entries, found.servers), (2, 11))
        self.assertGreater(found.calls, 0.0)
        self.assertLess(found.resident, MEMORY_BOUND)
        self.assertEqual(len(fleet_table([found])), 3)


if __name__ == "__main__":
    unittest.main()
