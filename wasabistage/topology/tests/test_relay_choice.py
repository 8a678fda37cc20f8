import unittest

from wasabistage.exceptions import SettingError
from wasabistage.topology import RelayChoice, RelayQuery, RelayReported

CANDIDATES = ("a", "b", "c")


class RelayChoiceTest(unittest.TestCase):
    def setUp(self):
        self.choice = RelayChoice(timeout=0.7, avoid_time=3.0).reset()

    def decide(self, now, candidates=CANDIDATES):
        return self.choice.decide(RelayQuery(candidates=candidates), now)

    def report(self, relay, now):
        self.choice.observe(RelayReported(relay=relay), now)

    def test_relay_that_reports_is_kept(self):
        self.assertEqual(self.decide(0.0), "a")
        for step in range(1, 20):
            self.report("a", 0.2 * step)
            self.assertEqual(self.decide(0.2 * step + 0.1), "a")

    def test_silent_relay_is_passed_over_within_a_second(self):
        self.decide(0.0)
        self.report("a", 1.0)
        self.assertEqual(self.decide(1.6), "a")
        self.assertEqual(self.decide(1.8), "b")

    def test_each_silent_relay_is_passed_over_in_turn(self):
        found = [self.decide(0.8 * step) for step in range(3)]
        self.assertEqual(found, ["a", "b", "c"])

    def test_relay_that_was_left_is_avoided_for_a_time(self):
        self.decide(0.0)
        self.assertEqual(self.decide(0.8), "b")
        self.report("b", 1.0)
        self.assertEqual(self.decide(1.1, ("a", "c")), "c")
        self.report("c", 4.0)
        self.assertEqual(self.decide(4.1, ("a", "b")), "a")

    def test_relay_that_is_no_candidate_is_left_though_it_reports(self):
        self.decide(0.0)
        self.report("a", 0.1)
        self.assertEqual(self.decide(0.2, ("b", "c")), "b")

    def test_reports_of_others_keep_nothing(self):
        self.decide(0.0)
        self.report("b", 0.6)
        self.assertEqual(self.decide(0.8), "b")

    def test_only_relay_is_tried_again(self):
        self.assertEqual(self.decide(0.0, ("a",)), "a")
        self.assertEqual(self.decide(0.8, ("a",)), "a")

    def test_relay_itself_follows_nobody(self):
        self.decide(0.0)
        self.assertEqual(self.decide(0.1, ()), "")

    def test_arguments_are_checked(self):
        with self.assertRaises(SettingError):
            RelayChoice(timeout=0).reset()


if __name__ == "__main__":
    unittest.main()
