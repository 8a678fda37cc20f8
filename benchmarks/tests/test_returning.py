"""The benchmark of returning prompts, on a short run."""

import unittest
from dataclasses import replace

from benchmarks.returning import ARMS, PIECE_TOKENS, make_turns, run_arm

SECONDS, WARM = 300.0, 120.0
CONTENDED_SECONDS = 600.0


def run(name, seed=3, seconds=SECONDS, **changes):
    arm = next(arm for arm in ARMS if arm.name.strip() == name)
    return run_arm(replace(arm, **changes), seed, seconds, WARM)


class TestReturning(unittest.TestCase):
    def test_arrivals_repeat_and_histories_grow(self):
        turns = make_turns(5, SECONDS)
        self.assertEqual(turns, make_turns(5, SECONDS))
        self.assertNotEqual(turns, make_turns(6, SECONDS))
        for turn in turns:
            self.assertLessEqual(turn.history, turn.prompt)
        sizes = sorted(turn.prompt for turn in turns)
        self.assertGreater(sizes[-1], 4 * sizes[len(sizes) // 2])
        self.assertGreater(sizes[len(sizes) // 2], PIECE_TOKENS)

    def test_stores_cut_recompute_and_no_fetch_waits_behind_background(self):
        full = run("predictive + export + staging")
        self.assertEqual(full, run("predictive + export + staging"))
        plain = run("no store, predictive")
        self.assertLess(full.recompute, 0.5 * plain.recompute)
        self.assertLess(full.p95, plain.p95)
        self.assertEqual(full.behind, 0)
        self.assertEqual(plain.fetch_link, 0)

    def test_only_the_baseline_link_lets_fetches_wait_behind_background(self):
        behind = {"first-come link": 0, "predictive + export + staging": 0}
        for name in behind:
            for seed in range(1, 4):
                result = run(name, seed, CONTENDED_SECONDS, link_share=0.3)
                behind[name] += result.behind
        self.assertGreater(behind["first-come link"], 0)
        self.assertEqual(behind["predictive + export + staging"], 0)

    def test_lost_store_is_survived(self):
        half = run("half the store gone")
        self.assertEqual(half.returns, run("no store, predictive").returns)
