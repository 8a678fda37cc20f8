import random
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.routing import (
    PaceEstimator,
    PaceNewsQuery,
    PaceQuery,
    PaceReported,
    SlowMoments,
)

ENGINES = 15
MOMENT_SECONDS = 0.6
SLOW_SHARE, SLOW = 0.15, 2.5
RESPONSES_PER_SECOND = 13  # of one engine, to all entries of the failure domain


class SlowMomentsTest(unittest.TestCase):
    def setUp(self):
        self.moments = SlowMoments().reset()

    def report(self, factor, now, server="e"):
        self.moments.observe(PaceReported(server=server, factor=factor), now)

    def is_slow(self, now, server="e"):
        return self.moments.decide(PaceQuery(server=server), now)

    def is_news(self, factor, now):
        query = PaceNewsQuery(server="e", factor=factor)
        return self.moments.decide(query, now)

    # Guards against long prompts on an engine whose slow moment is known to another
    # entry.
    def test_moments_of_15_engines_are_found_and_end(self):
        """Pattern: one engine in seven is 2.5 times as slow for 0.6 s, by turns."""
        rng, now = random.Random(1), 0.0
        average = PaceEstimator().reset()
        found = averaged = slow = told = reports = 0
        factors = {}
        while now < 60.0:
            if int(now / MOMENT_SECONDS) not in factors:
                factors[int(now / MOMENT_SECONDS)] = [
                    SLOW if rng.random() < SLOW_SHARE else 1.0 for _ in range(ENGINES)
                ]
            engine = rng.randrange(ENGINES)
            factor = factors[int(now / MOMENT_SECONDS)][engine]
            name = f"e{engine}"
            if factor == SLOW:
                slow += 1
                found += self.is_slow(now, name)
                # Each of 22 entries sees the responses to its own requests.
                averaged += average.decide(PaceQuery(server=name), now) >= 1.5
            query = PaceNewsQuery(server=name, factor=factor)
            told += self.moments.decide(query, now)
            reports += 1
            self.report(factor, now, name)
            if rng.random() < 1 / 22:
                average.observe(PaceReported(server=name, factor=factor), now)
            now += 1.0 / (ENGINES * RESPONSES_PER_SECOND)
        self.assertGreater(found, 0.8 * slow)
        self.assertLess(averaged, 0.4 * slow)
        self.assertLess(told, 0.2 * reports)

    def test_report_counts_for_a_moment(self):
        self.report(2.5, 1.0)
        self.assertTrue(self.is_slow(1.5))
        self.assertFalse(self.is_slow(1.7))

    def test_usual_pace_ends_a_moment(self):
        self.report(2.5, 1.0)
        self.report(1.0, 1.2)
        self.assertFalse(self.is_slow(1.3))

    def test_only_a_change_is_news(self):
        self.assertFalse(self.is_news(1.0, 1.0))
        self.assertTrue(self.is_news(2.5, 1.0))
        self.report(2.5, 1.0)
        self.assertFalse(self.is_news(2.4, 1.1))
        self.assertTrue(self.is_news(1.0, 1.2))

    # Guards against values that a server or another entry sends by mistake.
    def test_odd_factors_are_ignored(self):
        for factor in (0.0, -1.0, float("nan"), float("inf")):
            self.report(factor, 1.0)
        self.assertFalse(self.is_slow(1.0))

    def test_arguments_are_checked(self):
        for arguments in ({"slow_factor": 1.0}, {"max_age": 0.0}):
            with self.assertRaises(SettingError):
                SlowMoments(**arguments).reset()
