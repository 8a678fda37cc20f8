import unittest

from wasabistage.exceptions import SettingError
from wasabistage.retries import ClientRetryPolicy, RetryPolicy

BAD = (
    {"max_attempts": 0},
    {"max_saved": 0.5},
    {"ratio": -0.1},
    {"floor": -0.1},
    {"base_delay": -0.1},
    {"max_delay": -0.1},
)


class TestParams(unittest.TestCase):
    def test_arguments_out_of_range_are_refused_at_reset(self):
        for make in (RetryPolicy, ClientRetryPolicy):
            for params in BAD:
                with self.subTest(policy=make.__name__, params=params):
                    with self.assertRaises(SettingError):
                        make(**params).reset()

    def test_defaults_work(self):
        for make in (RetryPolicy, ClientRetryPolicy):
            policy = make()
            self.assertIs(policy.reset(), policy)
