"""The load benchmarks measure what they say, the same on every run."""

import csv
import json
import tempfile
import unittest
from pathlib import Path
from random import Random
from unittest import mock

from benchmarks import fairness, floods, retries
from benchmarks._load import Outcome, account_sizes, make_arrivals
from benchmarks._report import Aim, Figures, format_table, parse_options
from benchmarks._report import publish_figures as publish
from wasabistage.admission import RankedFairQueue, StrictPriority
from wasabistage.base import Rank
from wasabistage.retries import RetryPolicy


def draw(seed, rate=50.0):
    return make_arrivals(
        Random(seed),
        rate=rate,
        start=1.0,
        end=101.0,
        rank=Rank.URGENT,
        accounts=account_sizes(4),
        entries=range(7),
    )


class TestLoad(unittest.TestCase):
    def test_arrivals_are_seeded_and_have_the_mean_asked_for(self):
        self.assertEqual(draw(3), draw(3))
        self.assertNotEqual(draw(3), draw(4))
        arrivals = draw(3)
        self.assertAlmostEqual(len(arrivals) / 100.0, 50.0, delta=5.0)
        mean = sum(a.tokens for a in arrivals) / len(arrivals)
        self.assertAlmostEqual(mean, 1000.0, delta=100.0)

    def test_a_late_or_missing_first_byte_is_not_good(self):
        arrival = draw(3)[0]
        self.assertFalse(Outcome(arrival).good)
        self.assertTrue(Outcome(arrival, granted_at=arrival.at).good)
        self.assertFalse(Outcome(arrival, granted_at=arrival.at + 5.0).good)


class TestFloods(unittest.TestCase):
    def play(self, make_queue):
        with (
            mock.patch.object(floods, "FLOOD_START", 3.0),
            mock.patch.object(floods, "FLOOD_END", 9.0),
            mock.patch.object(floods, "END", 9.0),
        ):
            return floods.play(make_queue, floods.make_load(1, Rank.BACKGROUND, 3.0))

    def test_urgent_work_is_served_in_a_background_flood(self):
        outcomes = self.play(RankedFairQueue)
        urgent = floods.during(outcomes, 3.0, 9.0, Rank.URGENT)
        self.assertGreater(len(urgent), 10)
        self.assertGreater(floods.goodput(urgent), 0.99)
        flood = floods.during(outcomes, 3.0, 9.0)
        self.assertGreater(floods.early_refusals(flood), 0.9)

    def test_every_arrival_has_one_outcome(self):
        for make_queue in (RankedFairQueue, StrictPriority):
            for outcome in self.play(make_queue):
                granted = outcome.granted_at is not None
                self.assertNotEqual(granted, outcome.refused_at is not None)


class TestLimit(unittest.TestCase):
    def test_the_limit_is_held_with_two_entries_cut_off(self):
        with (
            mock.patch.object(fairness, "LIMIT_START", 4.0),
            mock.patch.object(fairness, "LIMIT_END", 8.0),
        ):
            names = [f"entry-{n}" for n in range(7)]
            limiters = [fairness.ShareLimiter(entry=n).reset() for n in names]
            rates, cut = fairness.LIMIT_SCENARIOS["limit, skewed, two cut off"]
            passed = fairness.LimitLoop(limiters, rates, cut).run(Random(1))
        self.assertLess(passed, 1.1 * fairness.LIMIT)
        self.assertGreater(passed, 0.9 * fairness.LIMIT)


class TestRetries(unittest.TestCase):
    def test_attempts_are_bounded_while_a_third_fails(self):
        with mock.patch.object(retries, "END", 13.0):
            loop = retries.RetryLoop(
                RetryPolicy().reset(), Random(1), retries.third_fails, False
            )
            requests = loop.run(retries.steady)
        fault = retries.between(requests, 10.0, 13.0)
        attempts = sum(request.attempts for request in fault) / len(fault)
        self.assertLess(attempts, 1.15)
        self.assertGreater(attempts, 1.0)
        self.assertEqual(retries.goodput(retries.between(requests, 0.0, 9.0)), 1.0)


class TestReport(unittest.TestCase):
    def test_misses_are_shown_and_files_written(self):
        figures = Figures()
        for value in (1.0, 3.0, 2.0):
            figures.add("scenario", "policy", "met", value, Aim(at_least=2.0))
            figures.add("scenario", "policy", "missed", value, Aim(at_most=1.5))
        with tempfile.TemporaryDirectory() as folder:
            paths = {kind: str(Path(folder) / kind) for kind in ("json", "csv", "png")}
            argv = [f"--{kind}={path}" for kind, path in paths.items()]
            options = parse_options("test", [*argv, "--seed=7"])
            with mock.patch("builtins.print"):
                publish("title", figures, options)
            with Path(paths["csv"]).open(encoding="utf-8") as file:
                rows = list(csv.reader(file))
            document = json.loads(Path(paths["json"]).read_text(encoding="utf-8"))
            self.assertGreater(Path(paths["png"]).stat().st_size, 1000)
        self.assertEqual([row[-1] for row in rows[1:]], ["met", "MISSED"])
        self.assertEqual(document["seed"], 7)
        self.assertIn("Python", document["machine"])
        self.assertIn("seed 7", format_table("t", figures.rows(), options))


if __name__ == "__main__":
    unittest.main()
