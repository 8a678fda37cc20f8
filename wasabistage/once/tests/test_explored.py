"""Explore random event schedules of the once-only policies.

Three properties are checked: a call runs at most once, a call that was replied to as
not run never runs, and all attempts of a key get the same outcome. The policies hold
them in every schedule. Each mutant, which has one mechanism disabled, violates at
least one of them in some schedule.
"""

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

SCHEDULE_COUNT = 20
MAX_MUTANT_SCHEDULES = 150
TICKETS, LOG_FIRST, UNCHECKED = VARIANTS
# Faults that reveal the violations of a mutant, by its name.
REVEALING_FAULTS = {
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
    ends, violating = Counter(), []
    for seed in range(SCHEDULE_COUNT):
        rng = random.Random(seed)
        faults = rng.sample(FAULTS, rng.randint(0, 4))
        result = run_schedule(seed, variant, faults)
        ends += result.ends
        if result.violations:
            violating.append((seed, faults, result))
    return ends, violating


def violates(variant, faults):
    seeds = range(MAX_MUTANT_SCHEDULES)
    return any(run_schedule(seed, variant, faults).violations for seed in seeds)


class TestExploredSchedules(unittest.TestCase):
    def test_ticket_policy_under_faults_has_no_violations(self):
        ends, violating = explore(TICKETS)
        self.assertEqual(violating, [])
        self.assertGreater(ends["served"], ends.total() / 2)

    def test_log_first_policy_under_faults_has_no_violations(self):
        ends, violating = explore(LOG_FIRST)
        self.assertEqual(violating, [])
        self.assertGreater(ends["served"], ends.total() / 2)

    def test_unchecked_baseline_repeats_calls_and_reports_run_calls_as_not_run(self):
        result = run_schedule(0, UNCHECKED, ("cut",))
        self.assertGreater(result.doubled, 0)
        self.assertGreater(result.false_no, 0)

    def test_tickets_are_served_while_log_is_down(self):
        ends = Counter()
        for seed in range(10):
            result = run_schedule(seed, TICKETS, (), outage=(0.5, 300.0), stops=False)
            ends += result.ends
        self.assertGreaterEqual(ends["served"], 0.99 * ends.total())

    def test_early_trim_with_carried_records_causes_no_violation(self):
        for seed in range(10):
            self.assertEqual(run_schedule(seed, EARLY_TRIM, ("kill",)).violations, 0)


class TestMutants(unittest.TestCase):
    def test_every_mutant_has_revealing_faults(self):
        self.assertEqual({variant.name for variant in MUTANTS}, set(REVEALING_FAULTS))

    def test_each_mutant_violates_in_some_schedule(self):
        for variant in MUTANTS:
            with self.subTest(mutant=variant.name):
                self.assertTrue(violates(variant, REVEALING_FAULTS[variant.name]))


class TestDocstring(unittest.TestCase):
    def test_package_example_runs(self):
        self.assertEqual(doctest.testmod(wasabistage.once).failed, 0)
