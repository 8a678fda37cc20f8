import itertools
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.routing import (
    EvacuationOrdered,
    EvacuationPolicy,
    EvacuationQuery,
    EvacuationWithdrawn,
)


class EvacuationPolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = EvacuationPolicy(max_domains=2).reset()

    def observe(self, kind, offset, name="a"):
        return self.policy.observe(kind(failure_domain=name, offset=offset), 0.0)

    def is_evacuated(self, name="a"):
        return self.policy.decide(EvacuationQuery(failure_domain=name), 0.0)

    def test_order_holds_until_it_is_withdrawn(self):
        self.assertFalse(self.is_evacuated())
        self.assertTrue(self.observe(EvacuationOrdered, 5))
        self.assertFalse(self.observe(EvacuationOrdered, 6))
        self.assertTrue(self.is_evacuated())
        self.assertFalse(self.is_evacuated("b"))
        self.assertTrue(self.observe(EvacuationWithdrawn, 7))
        self.assertFalse(self.is_evacuated())

    # Guards against an order that another entry tells late, after its withdrawal; the
    # simple approach obeys what arrives last.
    def test_the_newest_record_counts_in_any_order_of_arrival(self):
        records = (
            (EvacuationOrdered, 3),
            (EvacuationWithdrawn, 5),
            (EvacuationOrdered, 8),
            (EvacuationWithdrawn, 9),
        )
        for arrivals in itertools.permutations(records):
            self.policy.reset()
            for kind, offset in arrivals:
                self.observe(kind, offset)
            self.assertFalse(self.is_evacuated())
            self.observe(EvacuationOrdered, 10)
            self.observe(EvacuationWithdrawn, 9)
            self.assertTrue(self.is_evacuated())

    def test_orders_are_never_forgotten(self):
        for number in range(9):
            self.observe(EvacuationOrdered, number, f"d{number}")
        self.assertEqual(len(self.policy.get_domains()), 9)
        for number in range(9):
            self.observe(EvacuationWithdrawn, 20 + number, f"d{number}")
        self.assertEqual(self.policy.get_domains(), [])
        self.assertEqual(len(self.policy.withdrawn_), 2)

    def test_reset_with_bad_arguments_raises(self):
        with self.assertRaises(SettingError):
            EvacuationPolicy(max_domains=0).reset()


if __name__ == "__main__":
    unittest.main()
