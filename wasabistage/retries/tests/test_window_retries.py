import unittest

from wasabistage.exceptions import SettingError
from wasabistage.retries import (
    ANSWER_BEGUN,
    ATTEMPTS_SPENT,
    BUDGET_SPENT,
    DEADLINE_TOO_NEAR,
    NO_SERVER,
    NOT_IDEMPOTENT,
    Failure,
    FirstAttemptSent,
    RetryDropped,
    RetryQuery,
    RetrySent,
    WindowRetryPolicy,
)

DEFAULTS = {"service": "s", "idempotent": True, "deadline_at": 10.0, "max_attempts": 3}


class WindowRetryPolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = WindowRetryPolicy(ratio=0.0, extra=5, window=10.0).reset()

    def decide_retry(self, failure=Failure.LOST, now=0.0, **arguments):
        query = RetryQuery(failure=failure, **{**DEFAULTS, **arguments})
        return self.policy.decide(query, now)

    def test_reset_with_bad_arguments_raises(self):
        for arguments in ({"ratio": -1}, {"max_connects": 0}, {"min_time_left": -1.0}):
            values = {"ratio": 0.0, "extra": 5, "window": 10.0, **arguments}
            with self.subTest(arguments), self.assertRaises(SettingError):
                WindowRetryPolicy(**values).reset()

    def test_retry_has_no_delay_and_any_server(self):
        retry = self.decide_retry()
        self.assertEqual((retry.delay, retry.servers), (0.0, ()))

    def test_retry_that_is_not_allowed_is_refused_with_its_reason(self):
        self.assertTrue(
            self.decide_retry(idempotent=False).has_same_name(NOT_IDEMPOTENT)
        )
        self.assertTrue(
            self.decide_retry(answer_begun=True).has_same_name(ANSWER_BEGUN)
        )
        self.assertTrue(self.decide_retry(now=9.999).has_same_name(DEADLINE_TOO_NEAR))
        self.assertTrue(self.decide_retry(attempts=3).has_same_name(ATTEMPTS_SPENT))

    def test_attempt_that_was_not_sent_takes_nothing_from_the_budget(self):
        for unsent_attempts in (1, 2, 3):
            self.assertTrue(
                self.decide_retry(
                    Failure.NOT_SENT, unsent_attempts=unsent_attempts, attempts=9
                )
            )
        self.assertTrue(
            self.decide_retry(Failure.NOT_SENT, unsent_attempts=4).has_same_name(
                NO_SERVER
            )
        )
        self.assertEqual(sum(bool(self.decide_retry()) for _ in range(9)), 4)

    def test_budget_is_separate_per_service_and_shared_by_entries(self):
        self.assertEqual(
            sum(bool(self.decide_retry(entry_count=4)) for _ in range(9)), 1
        )
        self.assertTrue(self.decide_retry(entry_count=4).has_same_name(BUDGET_SPENT))
        self.assertTrue(self.decide_retry(entry_count=4, service="other"))

    def test_requests_allow_retries_only_within_their_window(self):
        policy = WindowRetryPolicy(ratio=0.5, extra=0, window=10.0).reset()
        query = RetryQuery(failure=Failure.LOST, **{**DEFAULTS, "deadline_at": 99.0})
        self.assertTrue(policy.decide(query, 0.0).has_same_name(BUDGET_SPENT))
        for _ in range(4):
            policy.observe(FirstAttemptSent(service="s"), 1.0)
        self.assertTrue(policy.decide(query, 2.0))
        policy.observe(RetrySent(service="s"), 2.0)
        self.assertTrue(policy.decide(query, 2.0).has_same_name(BUDGET_SPENT))
        self.assertTrue(policy.decide(query, 12.5).has_same_name(BUDGET_SPENT))

    def test_dropped_retry_is_given_back(self):
        self.assertTrue(self.decide_retry(entry_count=4).takes_budget)
        self.assertFalse(self.decide_retry(entry_count=4))
        self.policy.observe(RetryDropped(service="s"), 0.0)
        self.assertTrue(self.decide_retry(entry_count=4))
        unsent = self.decide_retry(Failure.NOT_SENT, unsent_attempts=1)
        self.assertFalse(unsent.takes_budget)


if __name__ == "__main__":
    unittest.main()
