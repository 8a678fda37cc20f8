import unittest

from wasabistage.exceptions import SettingError
from wasabistage.topology import EntryCapacity, IntervalPassed, compute_capacity


class ComputeCapacityTest(unittest.TestCase):
    def test_scarcest_resource_binds(self):
        self.assertEqual(compute_capacity(2.15, 100.0, 8192), 2.15)
        self.assertEqual(compute_capacity(0.516, 5.0, 4100), 0.5)
        self.assertEqual(compute_capacity(2.0, 1000.0, 800), 0.2)

    def test_fewer_descriptors_than_files_need_leave_some_capacity(self):
        self.assertGreater(compute_capacity(1.0, 100.0, 10), 0.0)


class EntryCapacityTest(unittest.TestCase):
    """Pattern: other processes of a machine take its processor for seconds."""

    def setUp(self):
        self.policy = EntryCapacity(2.0).reset()
        self.now = 0.0

    def play(self, seconds, interval):
        """Run the periodic task with one interval for a time; return the changes."""
        changes, end = [], self.now + seconds
        while self.now < end:
            self.now += interval
            before = self.policy.share_
            self.policy.observe(IntervalPassed(seconds=interval), self.now)
            if self.policy.share_ != before:
                changes.append(self.policy.share_)
        return changes

    def test_capacity_follows_lasting_slowness_in_steps(self):
        self.assertEqual(self.play(10.0, 0.2), [])
        self.assertEqual(self.play(20.0, 0.5), [0.5])
        self.assertEqual(self.policy.decide(None, self.now), 1.0)
        self.assertEqual(self.play(20.0, 1.2), [0.25])
        self.assertEqual(self.play(60.0, 0.2), [0.5, 1.0])

    def test_alternating_slowness_moves_callers_rarely(self):
        """Guards against a capacity, and thus channels, that change every second."""
        changes = []
        for _ in range(30):
            changes += self.play(1.0, 0.6)
            changes += self.play(1.0, 0.2)
        self.assertLessEqual(len(changes), 2)

    def test_one_pause_of_the_process_changes_nothing(self):
        self.play(10.0, 0.2)
        self.assertEqual(self.play(4.0, 4.0), [])

    def test_intervals_that_are_no_time_are_ignored(self):
        for seconds in (0.0, -1.0, float("nan")):
            self.policy.observe(IntervalPassed(seconds=seconds), 1.0)
        self.assertEqual(self.policy.decide(None, 1.0), 2.0)

    def test_unknown_capacity_stays_unknown(self):
        self.assertEqual(EntryCapacity(0.0).reset().decide(None, 0.0), 0.0)

    def test_invalid_arguments_are_refused(self):
        for arguments in ((-1.0, {}), (float("nan"), {}), (1.0, {"window": 0.0})):
            with self.assertRaises(SettingError):
                EntryCapacity(arguments[0], **arguments[1]).reset()


if __name__ == "__main__":
    unittest.main()
