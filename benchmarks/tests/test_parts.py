"""The model of parts and engines repeats, and shows what map and gate are for."""

import unittest

from benchmarks.parts import ARMS, READ_AGAIN, SCENARIOS, Run, measure

CALM, BURST, LOST = SCENARIOS
OWN, NO_GATE, PLAIN = ARMS
SEED = 1


class TestParts(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.figures = {
            (scenario.name, arm.name): measure(arm, scenario, SEED)
            for scenario in (CALM, BURST)
            for arm in (OWN, PLAIN)
        }

    def test_runs_repeat_by_seed(self):
        again = measure(OWN, CALM, SEED)
        self.assertEqual(again, self.figures[CALM.name, OWN.name])
        self.assertNotEqual(again, measure(OWN, CALM, SEED + 1))

    def test_calm_load_reads_less_than_a_tenth_of_the_shared_tokens_again(self):
        self.assertLessEqual(self.figures[CALM.name, OWN.name][READ_AGAIN], 0.1)
        self.assertGreater(self.figures[CALM.name, PLAIN.name][READ_AGAIN], 0.1)

    def test_burst_leaves_more_prompts_in_time_than_least_work(self):
        own = self.figures[BURST.name, OWN.name]["in time"]
        self.assertGreater(own, 2 * self.figures[BURST.name, PLAIN.name]["in time"])

    def test_every_prompt_is_served_or_refused(self):
        run = Run(OWN, CALM, SEED).play()
        for prompt in run.prompts:
            ends = (prompt.first_at, prompt.refused_at)
            self.assertEqual(ends.count(None), 1)


if __name__ == "__main__":
    unittest.main()
