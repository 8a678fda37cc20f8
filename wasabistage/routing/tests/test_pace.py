import math
import random
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.routing import (
    Candidate,
    Dispatched,
    DispatchEnded,
    LeastOutstandingRouter,
    LoadReport,
    PaceEstimator,
    PaceQuery,
    PaceReported,
    RouteQuery,
)

SERVERS = ("a", "b", "c")
WORK_SECONDS = 0.0225
OBJECTIVE_SECONDS = 0.125


class PaceEstimatorTest(unittest.TestCase):
    def setUp(self):
        self.pace = PaceEstimator().reset()

    def decide(self, server, now):
        return self.pace.decide(PaceQuery(server=server), now)

    def test_unknown_server_works_as_usual(self):
        self.assertEqual(self.decide("a", 3.0), 1.0)

    def test_reports_are_averaged(self):
        self.pace.observe(PaceReported(server="a", factor=8.0), 1.0)
        first = self.decide("a", 1.0)
        self.assertTrue(1.5 < first < 8.0)
        for step in range(12):
            event = PaceReported(server="a", factor=8.0)
            self.pace.observe(event, 1.0 + 0.02 * step)
        self.assertGreater(self.decide("a", 1.22), 6.0)

    def test_estimate_returns_without_reports(self):
        for step in range(20):
            event = PaceReported(server="a", factor=8.0)
            self.pace.observe(event, 0.02 * step)
        self.assertLess(self.decide("a", 3.4), 1.1)
        self.pace.tick(60.0)
        self.assertEqual(self.pace.servers_, {})

    def test_invalid_factors_are_ignored_and_huge_ones_bounded(self):
        for factor in (0.0, -3.0, math.inf, math.nan):
            self.pace.observe(PaceReported(server="a", factor=factor), 1.0)
        self.assertEqual(self.decide("a", 1.0), 1.0)
        for step in range(40):
            event = PaceReported(server="a", factor=1e30)
            self.pace.observe(event, 1.0 + step * 1e-3)
        self.assertLessEqual(self.decide("a", 1.04), 16.0)

    def test_arguments_are_checked(self):
        for arguments in ({"gain": 0}, {"half_life": 0}, {"max_factor": 1}):
            with self.assertRaises(SettingError):
                PaceEstimator(**arguments).reset()


class SlowSecondTest(unittest.TestCase):
    """Pattern: one of three servers works eight times slower for a second."""

    def play(self, seed, uses_pace):
        """Return the share of requests that meet their objective."""
        rng = random.Random(seed)
        pace = PaceEstimator().reset()
        router = LeastOutstandingRouter().reset()
        free_at = dict.fromkeys(SERVERS, ())
        ended, served, now = [], [], 0.0
        for number in range(600):
            now += rng.expovariate(60.0)
            for end_at, request, server, factor in sorted(ended):
                if end_at <= now:
                    ended.remove((end_at, request, server, factor))
                    router.observe(DispatchEnded(request=request), end_at)
                    pace.observe(PaceReported(server=server, factor=factor), end_at)
                    running = sum(end > end_at for end in free_at[server])
                    router.observe(LoadReport(server=server, running=running), end_at)
            weights = {
                server: 1.0 / pace.decide(PaceQuery(server=server), now)
                if uses_pace
                else 1.0
                for server in SERVERS
            }
            candidates = tuple(
                Candidate(server=server, version="", weight=weights[server])
                for server in SERVERS
            )
            query = RouteQuery(
                account="",
                model="",
                version="",
                prompt_tokens=1,
                candidates=candidates,
                draw=rng.random(),
            )
            server = router.decide(query, now).server
            factor = 8.0 if server == "a" and 3.0 < now < 4.0 else 1.0
            factor *= math.exp(rng.gauss(0.0, 0.2))
            seconds = WORK_SECONDS * factor * rng.uniform(0.7, 1.3)
            free_at[server] = (*free_at[server][-40:], now + seconds)
            ended.append((now + seconds, str(number), server, factor))
            router.observe(Dispatched(request=str(number), server=server, tokens=0), 0)
            if 3.0 < now < 4.0:
                served.append(seconds <= OBJECTIVE_SECONDS)
        return sum(served) / len(served)

    def test_requests_avoid_the_slow_server(self):
        with_pace = [self.play(seed, True) for seed in range(20)]
        without = [self.play(seed, False) for seed in range(20)]
        late_with = 1.0 - sum(with_pace) / len(with_pace)
        late_without = 1.0 - sum(without) / len(without)
        self.assertGreater(late_without, 0.0)
        self.assertLess(late_with, 0.6 * late_without)
