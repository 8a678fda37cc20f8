import unittest
from dataclasses import replace

from wasabistage.fleet import RETURN_TIMEOUT_SECONDS, ServerRecord, ServerTable

RECORD = ServerRecord(
    server="s1", incarnation=7, service="app", address="10.0.0.1:80", slots=4
)


class ServerTableTest(unittest.TestCase):
    def setUp(self):
        self.table = ServerTable()
        self.table.observe(RECORD, 0.0)

    def find_usable(self):
        return [record.server for record in self.table.find_usable("app")]

    def test_vanished_record_while_list_is_readable_removes_server_at_once(self):
        self.assertTrue(self.table.remove("s1", 10.0))
        self.assertEqual(self.find_usable(), [])

    def test_record_vanished_in_outage_keeps_server_until_return_timeout(self):
        self.table.start_outage()
        self.assertFalse(self.table.remove("s1", 10.0))
        self.assertEqual(self.table.tick(30.0), [])
        self.table.end_outage(30.0)
        self.assertEqual(self.table.tick(30.0 + RETURN_TIMEOUT_SECONDS - 0.1), [])
        self.assertEqual(self.find_usable(), ["s1"])
        self.assertEqual(self.table.tick(30.01 + RETURN_TIMEOUT_SECONDS), ["s1"])
        self.assertEqual(self.find_usable(), [])

    def test_record_listed_again_after_outage_keeps_server(self):
        self.table.start_outage()
        self.table.remove("s1", 10.0)
        self.table.end_outage(12.0)
        self.table.observe(RECORD, 12.5)
        self.assertEqual(self.table.tick(20.0), [])
        self.assertEqual(self.find_usable(), ["s1"])

    # Guards against servers that are never used again after their records lapsed for
    # silence (issue 30, A 3).
    def test_same_process_is_usable_again_when_its_record_returns(self):
        self.table.remove("s1", 1.0)
        self.assertTrue(self.table.observe(RECORD, 2.0))
        self.assertEqual(self.find_usable(), ["s1"])
        self.table.start_outage()
        self.table.remove("s1", 3.0)
        self.table.end_outage(4.0)
        self.assertEqual(self.table.tick(4.1 + RETURN_TIMEOUT_SECONDS), ["s1"])
        self.assertTrue(self.table.observe(RECORD, 9.0))
        self.assertEqual(self.find_usable(), ["s1"])

    def test_leaving_server_is_unusable_and_stays_removed(self):
        self.table.observe(replace(RECORD, is_leaving=True), 1.0)
        self.table.observe(RECORD, 2.0)
        self.assertEqual(self.find_usable(), [])
        self.table.start_outage()
        self.assertTrue(self.table.remove("s1", 3.0))
        self.table.observe(RECORD, 4.0)
        self.assertEqual(self.find_usable(), [])

    def test_new_incarnation_after_removal_is_usable_and_old_one_ignored(self):
        self.table.remove("s1", 1.0)
        self.table.observe(replace(RECORD, incarnation=8), 2.0)
        self.assertEqual(self.find_usable(), ["s1"])
        self.assertFalse(self.table.observe(RECORD, 3.0))
        self.assertEqual(self.table.get("s1").incarnation, 8)

    def test_higher_incarnation_at_same_address_hides_lower_one(self):
        self.table.observe(replace(RECORD, server="s2", incarnation=9), 1.0)
        self.assertEqual(self.find_usable(), ["s2"])

    def test_replaced_server_is_removed_until_its_next_incarnation(self):
        self.assertTrue(self.table.remove_replaced(RECORD))
        self.assertFalse(self.table.remove_replaced(RECORD))
        self.table.observe(RECORD, 1.0)
        self.assertEqual(self.find_usable(), [])
        self.table.observe(replace(RECORD, incarnation=8), 2.0)
        self.assertEqual(self.find_usable(), ["s1"])

    # Guards against a server that is never used again since another one answers at an
    # address that it had before (issue 38, review/3).
    def test_same_process_at_another_address_is_usable(self):
        moved = replace(RECORD, address="10.0.0.2:80")
        self.table.remove_replaced(RECORD)
        self.assertTrue(self.table.observe(moved, 1.0))
        self.assertFalse(self.table.remove_replaced(RECORD))
        self.assertEqual(self.find_usable(), ["s1"])
        self.table.observe(replace(moved, is_leaving=True), 2.0)
        self.table.remove("s1", 3.0)
        self.assertFalse(self.table.observe(moved, 4.0))


if __name__ == "__main__":
    unittest.main()
