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
    RetryQuery,
    WindowRetryPolicy,
)

FACTS = {"service": "s", "idempotent": True, "deadline_at": 10.0, "max_attempts": 3}


class WindowRetryPolicyTest(unittest.TestCase):
    def setUp(self):
        self.retries = WindowRetryPolicy(ratio=0.0, extra=5, window=10.0).reset()

    def ask(self, failure=Failure.LOST, now=0.0, **facts):
        query = RetryQuery(failure=failure, **{**FACTS, **facts})
        return self.retries.decide(query, now)

    def test_bad_values_are_refused(self):
        for facts in ({"ratio": -1}, {"max_connects": 0}, {"min_time_left": -1.0}):
            values = {"ratio": 0.0, "extra": 5, "window": 10.0, **facts}
            with self.subTest(facts), self.assertRaises(SettingError):
                WindowRetryPolicy(**values).reset()

    def test_retries_at_once_and_leaves_the_server_to_routing(self):
        retry = self.ask()
        self.assertEqual((retry.delay, retry.servers), (0.0, ()))

    def test_what_may_not_repeat_does_not(self):
        self.assertTrue(self.ask(idempotent=False).is_(NOT_IDEMPOTENT))
        self.assertTrue(self.ask(answer_begun=True).is_(ANSWER_BEGUN))
        self.assertTrue(self.ask(now=9.999).is_(DEADLINE_TOO_NEAR))
        self.assertTrue(self.ask(attempts=3).is_(ATTEMPTS_SPENT))

    def test_server_that_was_not_reached_costs_no_budget(self):
        for unsent_attempts in (1, 2, 3):
            self.assertTrue(
                self.ask(Failure.NOT_SENT, unsent_attempts=unsent_attempts, attempts=9)
            )
        self.assertTrue(self.ask(Failure.NOT_SENT, unsent_attempts=4).is_(NO_SERVER))
        self.assertEqual(sum(bool(self.ask()) for _ in range(9)), 4)

    def test_budgets_are_the_services_own_and_shared_by_the_entries(self):
        self.assertEqual(sum(bool(self.ask(entry_count=4)) for _ in range(9)), 1)
        self.assertTrue(self.ask(entry_count=4).is_(BUDGET_SPENT))
        self.assertTrue(self.ask(entry_count=4, service="other"))

    def test_requests_earn_retries_and_their_window_ends(self):
        retries = WindowRetryPolicy(ratio=0.5, extra=0, window=10.0).reset()
        query = RetryQuery(failure=Failure.LOST, **{**FACTS, "deadline_at": 99.0})
        self.assertTrue(retries.decide(query, 0.0).is_(BUDGET_SPENT))
        for _ in range(3):
            retries.observe(FirstAttemptSent(service="s"), 1.0)
        self.assertTrue(retries.decide(query, 2.0))
        self.assertTrue(retries.decide(query, 2.0).is_(BUDGET_SPENT))
        self.assertTrue(retries.decide(query, 12.5).is_(BUDGET_SPENT))


if __name__ == "__main__":
    unittest.main()
