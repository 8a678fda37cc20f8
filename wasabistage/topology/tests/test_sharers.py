import unittest

from wasabistage.topology import SharerTable


class SharerTableTest(unittest.TestCase):
    def setUp(self):
        self.table = SharerTable(hold=60.0)

    def test_entry_alone_is_one(self):
        self.assertEqual(self.table.count(), 1)

    # Guards against shares that grow while entries are only cut off (issue 29, BUDGET).
    def test_silent_entry_counts_until_the_hold_is_over(self):
        self.table.observe(["a", "b", "c"], 0.0)
        self.table.observe(["a"], 59.0)
        self.table.tick(59.0)
        self.assertEqual(self.table.count(), 3)
        self.table.tick(61.0)
        self.assertEqual(self.table.count(), 1)

    def test_names_are_one_object_until_they_change(self):
        self.table.observe(["a", "b"], 0.0)
        names = self.table.get_names()
        self.table.observe(["b", "a"], 50.0)
        self.assertIs(self.table.get_names(), names)
        self.table.observe(["c"], 50.0)
        self.assertEqual(self.table.get_names(), {"a", "b", "c"})
        self.table.observe(["b"], 100.0)
        self.table.tick(111.0)
        self.assertEqual(self.table.get_names(), {"b"})

    def test_entry_that_returns_counts_once(self):
        self.table.observe(["a", "b"], 0.0)
        self.table.observe(["b"], 50.0)
        self.table.tick(70.0)
        self.table.observe(["a"], 70.0)
        self.assertEqual(self.table.count(), 2)


if __name__ == "__main__":
    unittest.main()
