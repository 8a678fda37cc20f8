import unittest

from wasabistage.base import Policy, Rank
from wasabistage.exceptions import OverloadError
from wasabistage.utils import Sentinel


class Echo(Policy):
    """Policy that answers with its argument."""

    def __init__(self, answer=1):
        self.answer = answer

    def reset(self):
        return self

    def observe(self, event, now):
        pass

    def decide(self, query, now):
        return self.answer


class TestBase(unittest.TestCase):
    def test_params_are_stored_as_given(self):
        self.assertEqual(Echo(answer=3).get_params(), {"answer": 3})

    def test_urgent_sorts_first(self):
        self.assertEqual(min(Rank), Rank.URGENT)

    def test_error_names_remedy(self):
        error = OverloadError("queue is full", remedy="retry later", retry_after=2.0)
        self.assertIn("retry later", str(error))
        self.assertEqual(error.ran, "no")

    def test_sentinel_is_falsy_and_keeps_reason(self):
        absent = Sentinel("NO_SERVER").with_reason("all are leaving")
        self.assertFalse(absent)
        self.assertTrue(Sentinel("NO_SERVER").has_same_name(absent))
        self.assertEqual(absent.reason, "all are leaving")
