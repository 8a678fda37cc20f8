"""Explored orders of events: promises hold, and break without each mechanism."""

import doctest
import random
import unittest
from collections import Counter

import wasabistage.once
from benchmarks.once_explorer import (
    EARLY_TRIM,
    FAULTS,
    MUTANTS,
    VARIANTS,
    run_schedule,
)

SCHEDULES = 20
SEARCHED = 150
TICKETS, LOG_FIRST, UNCHECKED = VARIANTS
SHOWING = {
    "no read-back": ("kill",),
    "any claim": ("append_late",),
    "any abandon": ("server_lost", "cut"),
    "ignored abandon": ("server_lost", "cut"),
    "no expiry": ("kill",),
    "any home": ("pause",),
    "reused ticket": (),
    "unmarked refusal": (),
    "hasty not run": ("server_lost", "cut"),
    "hasty retry": ("server_lost", "cut"),
}


def explore(variant):
    ends, broken = Counter(), []
    for seed in range(SCHEDULES):
        rng = random.Random(seed)
        faults = rng.sample(FAULTS, rng.randint(0, 4))
        result = run_schedule(seed, variant, faults)
        ends += result.ends
        if result.violations:
            broken.append((seed, faults, result))
    return ends, broken


def breaks(variant, faults):
    seeds = range(SEARCHED)
    return any(run_schedule(seed, variant, faults).violations for seed in seeds)


class TestExplored(unittest.TestCase):
    def test_tickets_keep_the_promises(self):
        ends, broken = explore(TICKETS)
        self.assertEqual(broken, [])
        self.assertGreater(ends["served"], ends.total() / 2)

    def test_log_first_keeps_the_promises(self):
        ends, broken = explore(LOG_FIRST)
        self.assertEqual(broken, [])
        self.assertGreater(ends["served"], ends.total() / 2)

    def test_baseline_breaks_them(self):
        result = run_schedule(0, UNCHECKED, ("cut",))
        self.assertGreater(result.doubled, 0)
        self.assertGreater(result.false_no, 0)

    def test_tickets_serve_while_the_log_is_down(self):
        ends = Counter()
        for seed in range(10):
            result = run_schedule(seed, TICKETS, (), outage=(0.5, 300.0), stops=False)
            ends += result.ends
        self.assertGreaterEqual(ends["served"], 0.99 * ends.total())

    def test_carrying_forward_survives_an_early_trim(self):
        for seed in range(10):
            self.assertEqual(run_schedule(seed, EARLY_TRIM, ("kill",)).violations, 0)


class TestSwitchedOff(unittest.TestCase):
    def test_every_variant_has_its_faults(self):
        self.assertEqual({variant.name for variant in MUTANTS}, set(SHOWING))

    def test_each_mechanism_is_missed(self):
        for variant in MUTANTS:
            with self.subTest(off=variant.name):
                self.assertTrue(breaks(variant, SHOWING[variant.name]))


class TestDocumentation(unittest.TestCase):
    def test_example_runs(self):
        self.assertEqual(doctest.testmod(wasabistage.once).failed, 0)
