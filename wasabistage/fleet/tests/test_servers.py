import unittest
from dataclasses import replace

from wasabistage.fleet import RETURN_TIME, ServerRecord, ServerTable

RECORD = ServerRecord(
    server="s1", incarnation=7, service="app", address="10.0.0.1:80", slots=4
)


class ServerTableTest(unittest.TestCase):
    def setUp(self):
        self.table = ServerTable()
        self.table.observe(RECORD, 0.0)

    def find_usable(self):
        return [record.server for record in self.table.find_usable("app")]

    def test_vanished_entry_is_gone_at_once_while_the_list_is_read(self):
        self.assertTrue(self.table.remove("s1", 10.0))
        self.assertEqual(self.find_usable(), [])

    def test_entry_that_lapsed_in_an_outage_is_kept_until_it_had_time_to_return(self):
        self.table.start_outage()
        self.assertFalse(self.table.remove("s1", 10.0))
        self.assertEqual(self.table.tick(30.0), [])
        self.table.end_outage(30.0)
        self.assertEqual(self.table.tick(30.0 + RETURN_TIME - 0.1), [])
        self.assertEqual(self.find_usable(), ["s1"])
        self.assertEqual(self.table.tick(30.01 + RETURN_TIME), ["s1"])
        self.assertEqual(self.find_usable(), [])

    def test_entry_that_returned_stays(self):
        self.table.start_outage()
        self.table.remove("s1", 10.0)
        self.table.end_outage(12.0)
        self.table.observe(RECORD, 12.5)
        self.assertEqual(self.table.tick(20.0), [])
        self.assertEqual(self.find_usable(), ["s1"])

    def test_leaving_server_gets_no_work_and_does_not_come_back(self):
        self.table.observe(replace(RECORD, is_leaving=True), 1.0)
        self.table.observe(RECORD, 2.0)
        self.assertEqual(self.find_usable(), [])
        self.table.start_outage()
        self.assertTrue(self.table.remove("s1", 3.0))
        self.table.observe(RECORD, 4.0)
        self.assertEqual(self.find_usable(), [])

    def test_next_life_of_a_server_is_another_server(self):
        self.table.remove("s1", 1.0)
        self.table.observe(replace(RECORD, incarnation=8), 2.0)
        self.assertEqual(self.find_usable(), ["s1"])
        self.assertFalse(self.table.observe(RECORD, 3.0))
        self.assertEqual(self.table.get("s1").incarnation, 8)

    def test_newer_life_at_an_address_replaces_the_older(self):
        self.table.observe(replace(RECORD, server="s2", incarnation=9), 1.0)
        self.assertEqual(self.find_usable(), ["s2"])

    def test_server_whose_address_answers_for_another_is_gone(self):
        self.assertTrue(self.table.remove_replaced(RECORD))
        self.assertFalse(self.table.remove_replaced(RECORD))
        self.table.observe(RECORD, 1.0)
        self.assertEqual(self.find_usable(), [])
        self.table.observe(replace(RECORD, incarnation=8), 2.0)
        self.assertEqual(self.find_usable(), ["s1"])


if __name__ == "__main__":
    unittest.main()
