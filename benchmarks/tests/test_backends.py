"""The benchmark of backend servers, on short runs."""

import unittest

from benchmarks.backends import ARMS, SCENARIOS, SERVERS, Run

SECONDS = 60.0


def run(scenario, arm, seconds=SECONDS):
    scenario = next(item for item in SCENARIOS if item.name == scenario)
    arm = next(item for item in ARMS if item.name == arm)
    return Run(arm, scenario, 2, seconds).play()


class TestBackends(unittest.TestCase):
    def test_failing_server_gets_little_work_and_the_same_run_repeats(self):
        found = run("one fails 1 in 3", "predictive + health")
        self.assertEqual(found, run("one fails 1 in 3", "predictive + health"))
        plain = run("one fails 1 in 3", "predictive, no ejection")
        self.assertLess(found.bad_share, 0.5 * plain.bad_share)
        self.assertLess(found.attempts, plain.attempts)

    def test_majority_stays_in_use_whatever_fails(self):
        for scenario in SCENARIOS:
            found = run(scenario.name, "predictive + health", 42.0)
            self.assertGreater(2 * found.min_usable, SERVERS, scenario.name)

    def test_leaving_server_gets_no_work_after_three_seconds(self):
        self.assertEqual(run("one leaving", "predictive + health").late_work, 0)

    def test_hearing_of_peers_dispatches_makes_up_for_lagging_reports(self):
        heard = run("healthy, lag 1 s", "predictive + health")
        alone = run("healthy, lag 1 s", "predictive, no gossip")
        self.assertLess(heard.p95, alone.p95)
