import unittest

from wasabistage.exceptions import SettingError
from wasabistage.retries import ClientRetryPolicy, RetryPolicy

OUT_OF_RANGE = (
    {"max_attempts": 0},
    {"max_saved": 0.5},
    {"ratio": -0.1},
    {"floor": -0.1},
    {"base_delay": -0.1},
    {"max_delay": -0.1},
)


class TestParams(unittest.TestCase):
    def test_reset_with_an_argument_out_of_range_raises(self):
        for policy_class in (RetryPolicy, ClientRetryPolicy):
            for params in OUT_OF_RANGE:
                with self.subTest(policy=policy_class.__name__, params=params):
                    with self.assertRaises(SettingError):
                        policy_class(**params).reset()

    def test_reset_with_default_arguments_returns_the_policy(self):
        for policy_class in (RetryPolicy, ClientRetryPolicy):
            policy = policy_class()
            self.assertIs(policy.reset(), policy)
