import math
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.topology import ReaderPolicy, ReadQuery

#: Store calls of the whole fleet.
MAX_READS_PER_SECOND = 30.0


def make_query(**fields):
    return ReadQuery(**{"rank": 0, "readers": 3, "age": 0.5, **fields})


class ReaderPolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = ReaderPolicy().reset()

    def decide(self, **fields):
        return self.policy.decide(make_query(**fields), 0.0)

    def test_first_relays_read_all_the_time(self):
        decisions = [self.decide(rank=rank) for rank in range(5)]
        self.assertEqual(decisions, [True, True, True, False, False])

    def test_further_relays_take_over_one_after_another(self):
        ages = [2.5, 3.0, 3.3]
        for rank, age in zip((3, 4, 5), ages, strict=True):
            self.assertFalse(self.decide(rank=rank, age=age - 0.4))
            self.assertTrue(self.decide(rank=rank, age=age + 0.41))

    def test_topic_without_an_age_bound_is_left_to_its_readers(self):
        self.assertFalse(self.decide(rank=4, age=100.0, has_age_bound=False))
        self.assertFalse(self.decide(rank=math.inf, age=100.0, has_age_bound=False))

    def test_follower_without_a_relay_reads_before_keys_end(self):
        for draw in (0.0, 0.99):
            query = {"rank": math.inf, "is_connected": False, "draw": draw}
            self.assertFalse(self.decide(age=2.9, fleet_size=401, **query))
            self.assertTrue(self.decide(age=4.0, fleet_size=401, **query))

    def test_retries_of_a_reader_grow_to_a_bound(self):
        seconds = [
            self.policy.get_retry_seconds(make_query(), failures)
            for failures in range(1, 8)
        ]
        self.assertEqual(seconds[:4], [0.1, 0.2, 0.4, 0.8])
        self.assertEqual(seconds[-1], 1.0)

    def test_arguments_are_checked(self):
        for name in ("max_age", "follower_age", "follower_reads"):
            with self.assertRaises(SettingError):
                ReaderPolicy(**{name: 0}).reset()


class StoreOutageTest(unittest.TestCase):
    """Pattern: the store is away for 9 s; all entries know it."""

    def count_reads(self, size, relays):
        policy = ReaderPolicy().reset()
        reads = 0
        for number in range(size):
            rank = number if number < relays else math.inf
            draw = number / size
            due, failures = 0.0, 0
            for step in range(900):
                now = step / 100.0
                query = make_query(rank=rank, age=now + 0.5, fleet_size=size, draw=draw)
                if now >= due and policy.decide(query, now):
                    reads += 1
                    failures += 1
                    due = now + policy.get_retry_seconds(query, failures)
        return reads

    def test_calls_of_the_fleet_stay_few_at_any_size(self):
        for size, relays in ((7, 7), (65, 6), (195, 12), (401, 32)):
            topics = 3
            rate = topics * self.count_reads(size, relays) / 9.0
            self.assertLessEqual(rate, MAX_READS_PER_SECOND, size)


if __name__ == "__main__":
    unittest.main()
