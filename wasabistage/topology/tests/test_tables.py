import unittest

from wasabistage.topology import (
    FleetMember,
    FleetMemberTable,
    LoadRow,
    LoadTable,
    SentReports,
    subtract_loads,
)


class MemberTableTest(unittest.TestCase):
    def setUp(self):
        self.table = FleetMemberTable(timeout=1.0)

    def test_members_are_those_of_all_live_sources(self):
        a, b, c = (FleetMember(name=name) for name in "abc")
        self.table.observe("a", [a, b], 0.0)
        self.table.observe("c", [c], 0.5)
        self.assertEqual(set(self.table.get_members()), {"a", "b", "c"})
        self.assertEqual(self.table.tick(1.2), ["a"])
        self.assertEqual(set(self.table.get_members()), {"c"})

    def test_member_that_a_source_no_longer_reports_is_gone(self):
        a, b = FleetMember(name="a"), FleetMember(name="b")
        self.table.observe("a", [a, b], 0.0)
        self.table.observe("a", [a], 0.1)
        self.assertEqual(set(self.table.get_members()), {"a"})

    def test_changed_member_replaces_the_earlier_one(self):
        self.table.observe("a", [FleetMember(name="a")], 0.0)
        self.table.get_members()
        self.table.observe("a", [FleetMember(name="a", is_ready=True)], 0.1)
        self.assertTrue(self.table.get_members()["a"].is_ready)

    def test_source_may_have_its_own_timeout(self):
        self.table.observe("fleet", [FleetMember(name="a")], 0.0, 5.0)
        self.assertEqual(self.table.tick(4.0), [])
        self.assertEqual(self.table.tick(5.1), ["fleet"])


class LoadTest(unittest.TestCase):
    def test_events_add_up_until_they_are_taken(self):
        table = LoadTable()
        table.observe("a", {"e": LoadRow(sent=100, reserved=50, runs=2, ok=1)}, 1.0)
        table.observe("a", {"e": LoadRow(sent=20, reserved=60, runs=3, failed=1)}, 2.0)
        table.observe("b", {"e": LoadRow(sent=5), "f": LoadRow(reserved=9)}, 2.0)
        self.assertTrue(table.has_counts)
        self.assertEqual(
            table.take(2.0),
            {
                "e": LoadRow(sent=125, reserved=60, runs=3, ok=1, failed=1),
                "f": LoadRow(reserved=9),
            },
        )
        table.remove("a")
        self.assertEqual(table.take(3.0), {"f": LoadRow(reserved=9)})

    def test_outcomes_of_other_domains_do_not_count(self):
        table = LoadTable()
        row = LoadRow(sent=7, ok=1, failed=2, byte_age=0.1)
        table.observe("a", {"e": row}, 1.0, is_near=False)
        self.assertEqual(table.take(1.0), {"e": LoadRow(sent=7, any_byte_age=0.1)})

    def test_last_byte_of_all_entries_counts(self):
        table = LoadTable()
        table.observe("a", {"e": LoadRow(byte_age=0.9)}, 1.0)
        table.observe("b", {"e": LoadRow(byte_age=0.2)}, 1.0)
        self.assertEqual(table.take(1.5)["e"].byte_age, 0.7)
        self.assertEqual(table.take(1.6), {})

    def test_own_load_is_subtracted_once(self):
        reports = SentReports()
        reports.record(1.0, {"e": LoadRow(sent=100, reserved=40, runs=1, ok=2)})
        reports.record(2.0, {"e": LoadRow(sent=10, reserved=30, runs=2)})
        reports.record(3.0, {"e": LoadRow(sent=7, reserved=20)})
        own = reports.take(2.0)
        self.assertEqual(own, {"e": LoadRow(sent=110, reserved=30, runs=2, ok=2)})
        totals = {"e": LoadRow(sent=150, reserved=30, runs=5, ok=2), "f": LoadRow(3)}
        self.assertEqual(
            subtract_loads(totals, own),
            {"e": LoadRow(sent=40, runs=3), "f": LoadRow(sent=3)},
        )
        self.assertEqual(reports.take(2.0)["e"].sent, 0)
        self.assertEqual(reports.take(3.0)["e"].sent, 7)


if __name__ == "__main__":
    unittest.main()
