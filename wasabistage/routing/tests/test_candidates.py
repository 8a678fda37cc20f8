import random
import unittest
from dataclasses import dataclass

from wasabistage.exceptions import SettingError
from wasabistage.routing import CandidateQuery, CandidateSelector

ENTRIES = 195
DOMAINS = 6


@dataclass(frozen=True)
class Engine:
    server: str
    address: str
    failure_domain: str


def build_engines(count):
    return [
        Engine(f"e{n}", f"10.0.0.{n}:80", f"domain-{n % DOMAINS}") for n in range(count)
    ]


class CandidateSelectorTest(unittest.TestCase):
    def setUp(self):
        self.selector = CandidateSelector().reset()

    def decide(self, engines, domain="domain-0", holders=(), draw=0.0):
        query = CandidateQuery(
            servers=engines,
            failure_domain=domain,
            holders=frozenset(holders),
            draw=draw,
        )
        return self.selector.decide(query, 0.0)

    def test_few_engines_are_all_scored(self):
        engines = build_engines(6)
        self.assertEqual(self.decide(engines), engines)

    def test_number_is_bounded_at_any_size(self):
        for count in (50, 200, 1100):
            for draw in (0.0, 0.37, 0.99):
                chosen = self.decide(build_engines(count), draw=draw)
                self.assertEqual(len(chosen), self.selector.limit)
                self.assertEqual(len(set(chosen)), len(chosen))

    def test_near_engines_and_holders_are_among_them(self):
        engines = build_engines(50)
        holders = {engines[7].address, engines[20].address}
        for draw in (0.0, 0.5, 0.9):
            chosen = self.decide(engines, holders=holders, draw=draw)
            addresses = {item.address for item in chosen}
            self.assertLessEqual(holders, addresses)
            near = [item for item in chosen if item.failure_domain == "domain-0"]
            self.assertEqual(len(near), 8)

    def test_arguments_are_checked(self):
        with self.assertRaises(SettingError):
            CandidateSelector(near=0).reset()


class LostDomainTest(unittest.TestCase):
    """Pattern: the engines of one failure domain are lost; its load spreads."""

    def test_load_spreads_over_all_other_engines(self):
        selection, rng = CandidateSelector().reset(), random.Random(1)
        engines = [
            item for item in build_engines(50) if item.failure_domain != "domain-0"
        ]
        counts = dict.fromkeys((item.server for item in engines), 0)
        for _ in range(20000):
            query = CandidateQuery(
                servers=engines, failure_domain="domain-0", draw=rng.random()
            )
            counts[selection.decide(query, 0.0)[rng.randrange(10)].server] += 1
        self.assertLess(max(counts.values()), 1.5 * min(counts.values()))


if __name__ == "__main__":
    unittest.main()
