"""Tests of the policies for retries at backend servers and at entries."""

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from wasabistage.base import Ran
from wasabistage.exceptions import SettingError
from wasabistage.retries import (
    ANSWER_BEGUN,
    BUDGET_SPENT,
    DEADLINE_TOO_NEAR,
    NO_SERVER,
    NOT_IDEMPOTENT,
    OUTCOME_UNKNOWN,
    AlwaysRetry,
    ClientRetryPolicy,
    ClientRetryQuery,
    Failure,
    FirstAttemptSent,
    NeverRetry,
    ResumeStream,
    RetryAtEntry,
    RetryPolicy,
    RetryQuery,
    RetryWithNewKey,
    compute_backoff_delay,
)

SERVERS = ("x", "y", "z")


def decide_server_retry(policy, now=0.0, **arguments):
    query = {
        "service": "s",
        "idempotent": True,
        "failure": Failure.LOST,
        "tried_servers": ("x",),
        "candidates": SERVERS,
        "deadline_at": now + 10.0,
    }
    return policy.decide(RetryQuery(**(query | arguments)), now)


def decide_client_retry(now=0.0, **arguments):
    query = {
        "failure": Failure.LOST,
        "idempotent": False,
        "tried_entries": ("e1",),
        "entries": ("e1", "e2", "e3"),
        "entries_valid_until": now + 30.0,
        "deadline_at": now + 60.0,
    }
    policy = ClientRetryPolicy().reset()
    return policy.decide(ClientRetryQuery(**(query | arguments)), now)


class TestServerRetries(unittest.TestCase):
    def test_call_that_may_have_run_or_has_a_begun_answer_is_not_retried(self):
        for policy in (RetryPolicy(), AlwaysRetry(), NeverRetry()):
            policy.reset()
            for failure in Failure:
                decision = decide_server_retry(
                    policy, failure=failure, idempotent=False
                )
                if failure is not Failure.NOT_SENT:
                    self.assertEqual(decision, NOT_IDEMPOTENT)
                decision = decide_server_retry(
                    policy, failure=failure, answer_begun=True
                )
                self.assertEqual(decision, ANSWER_BEGUN)

    def test_retry_goes_to_a_server_that_was_not_tried(self):
        retry = decide_server_retry(
            RetryPolicy().reset(), tried_servers=("x", "z"), attempts=2
        )
        self.assertEqual(retry.servers, ("y",))

    def test_overloaded_server_is_retried_only_after_its_retry_after(self):
        policy = RetryPolicy().reset()
        arguments = {"failure": Failure.OVERLOAD, "candidates": ("x",)}
        self.assertEqual(decide_server_retry(policy, **arguments), NO_SERVER)
        retry = decide_server_retry(policy, **arguments, retry_after=3.0)
        self.assertGreaterEqual(retry.delay, 3.0)
        self.assertEqual(retry.servers, ("x",))

    def test_retry_after_the_deadline_is_refused(self):
        policy = RetryPolicy().reset()
        self.assertEqual(
            decide_server_retry(policy, deadline_at=0.0), DEADLINE_TOO_NEAR
        )
        self.assertTrue(decide_server_retry(policy))

    @seed(5)
    @settings(max_examples=100, deadline=None, database=None)
    @given(st.lists(st.sampled_from(["s", "t"]), max_size=400), st.floats(0, 10.0))
    def test_retries_of_random_traffic_stay_within_the_budget(self, services, step):
        policy = RetryPolicy().reset()
        retries, now = {"s": 0, "t": 0}, 0.0
        for service in services:
            now += step / 100
            policy.observe(FirstAttemptSent(service=service), now)
            for _ in range(3):
                retries[service] += bool(
                    decide_server_retry(policy, now, service=service)
                )
        for service, count in retries.items():
            first_attempts = services.count(service)
            bound = 1 + policy.ratio * first_attempts + policy.floor * now
            self.assertLessEqual(count, bound + 1e-6)

    def test_exhausted_budget_of_a_service_does_not_limit_other_services(self):
        policy = RetryPolicy(ratio=0.0, floor=0.0).reset()
        self.assertTrue(decide_server_retry(policy, service="s"))
        self.assertEqual(decide_server_retry(policy, service="s"), BUDGET_SPENT)
        self.assertTrue(decide_server_retry(policy, service="t"))

    def test_backoff_doubles_up_to_its_bound(self):
        delays = [compute_backoff_delay(n, 1.0, 0.1, 2.0) for n in range(1, 100)]
        self.assertEqual(delays[:3], [0.1, 0.2, 0.4])
        self.assertEqual(max(delays), 2.0)
        self.assertEqual(compute_backoff_delay(5, 0.0, 0.1, 2.0), 0.0)

    def test_reset_with_bad_arguments_raises(self):
        for policy in (RetryPolicy(ratio=-1.0), ClientRetryPolicy(max_attempts=0)):
            with self.assertRaises(SettingError):
                policy.reset()


class TestClientRetries(unittest.TestCase):
    @seed(5)
    @settings(max_examples=400, deadline=None, database=None)
    @given(
        st.sampled_from(list(Failure)),
        st.sampled_from([None, 400, 401, 409, 410, 429, 500, 503]),
        st.sampled_from(list(Ran)),
        st.tuples(*[st.booleans()] * 5),
        st.sampled_from([None, 2.0]),
    )
    def test_request_that_may_have_run_gets_no_new_key(
        self, failure, status, ran, flags, retry_after
    ):
        idempotent, has_key, key_is_ticket, may_have_run, resumable = flags
        decision = decide_client_retry(
            failure=failure,
            status=status,
            ran=ran,
            idempotent=idempotent,
            has_key=has_key,
            has_ticket=has_key and key_is_ticket,
            may_have_run=may_have_run,
            resumable=resumable,
            retry_after=retry_after,
        )
        not_run = failure is Failure.NOT_SENT or ran is Ran.NO
        if isinstance(decision, RetryWithNewKey):
            self.assertTrue(has_key and not_run and not may_have_run)
        if isinstance(decision, RetryAtEntry) and not idempotent and not has_key:
            self.assertTrue(not_run and not may_have_run)
        if decision and retry_after:
            self.assertGreaterEqual(decision.delay, retry_after)

    def test_stream_that_broke_off_is_resumed_at_another_entry(self):
        decision = decide_client_retry(resumable=True, position=17)
        self.assertIsInstance(decision, ResumeStream)
        self.assertEqual((decision.entry, decision.position), ("e2", 17))

    def test_entry_is_empty_when_all_were_tried_or_the_list_expired(self):
        for arguments in (
            {"tried_entries": ("e1", "e2", "e3")},
            {"entries_valid_until": 0.0},
        ):
            decision = decide_client_retry(idempotent=True, **arguments)
            self.assertEqual(decision.entry, "")

    def test_ticket_is_replaced_only_if_no_attempt_may_have_run(self):
        ticket = {"has_key": True, "has_ticket": True}
        decision = decide_client_retry(failure=Failure.NOT_SENT, **ticket)
        self.assertIsInstance(decision, RetryWithNewKey)
        decision = decide_client_retry(
            failure=Failure.NOT_SENT, may_have_run=True, **ticket
        )
        self.assertIsInstance(decision, RetryAtEntry)

    def test_lost_answer_is_retried_only_with_a_key(self):
        self.assertEqual(decide_client_retry(), OUTCOME_UNKNOWN)
        self.assertIsInstance(decide_client_retry(has_key=True), RetryAtEntry)


if __name__ == "__main__":
    unittest.main()
