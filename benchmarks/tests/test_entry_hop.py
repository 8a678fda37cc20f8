"""The entry hop on a real entry, for a moment, and its arithmetic."""

import unittest

from benchmarks.entry_hop import (
    CLIENTS,
    SERVING_MB,
    Load,
    make_fleet,
    measure_first_token,
    measure_idle,
    measure_load,
    split_cost,
)


def load(requests, tokens, seconds):
    return Load(requests=requests, tokens=tokens, seconds=seconds, wall=1.0, resident=1)


class TestSplitCost(unittest.TestCase):
    def test_cost_of_a_request_and_of_a_token_are_told_apart(self):
        few = load(10, 80, 10 * (0.005 + 8 * 0.0002))
        many = load(4, 800, 4 * (0.005 + 200 * 0.0002))
        request, token = split_cost(few, many)
        self.assertAlmostEqual(request, 5000.0)
        self.assertAlmostEqual(token, 200.0)


class TestHop(unittest.TestCase):
    def test_requests_go_both_ways_and_the_entry_stays_small(self):
        with make_fleet() as fleet:
            fleet.publish()
            fleet.wait_served()
            through, direct = measure_first_token(fleet, 3)
            _, resident = measure_idle(fleet, 0.2)
            found = measure_load(fleet, 8, 0.5, 0.0)
            shortest = measure_load(fleet, 8, 0.0, 0.0)
        self.assertEqual((len(through), len(direct)), (3, 3))
        self.assertGreater(found.requests, 0)
        self.assertEqual(found.tokens, 8 * found.requests)
        self.assertEqual(shortest.requests, CLIENTS)
        self.assertLess(max(resident, found.resident), SERVING_MB * 1e6)


if __name__ == "__main__":
    unittest.main()
