"""Promises of the retry policies."""

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
    RetryPolicy,
    RetryQuery,
    RetryWithNewKey,
    TryEntry,
    backoff_delay,
)

SERVERS = ("x", "y", "z")


def ask(policy, now=0.0, **arguments):
    query = {
        "service": "s",
        "idempotent": True,
        "failure": Failure.LOST,
        "failed": ("x",),
        "candidates": SERVERS,
        "deadline_at": now + 10.0,
    }
    return policy.decide(RetryQuery(**(query | arguments)), now)


def ask_client(now=0.0, **arguments):
    query = {
        "failure": Failure.LOST,
        "idempotent": False,
        "tried": ("e1",),
        "entries": ("e1", "e2", "e3"),
        "entries_until": now + 30.0,
        "deadline_at": now + 60.0,
    }
    policy = ClientRetryPolicy().reset()
    return policy.decide(ClientRetryQuery(**(query | arguments)), now)


class TestServerRetries(unittest.TestCase):
    def test_what_may_have_run_is_never_repeated(self):
        for policy in (RetryPolicy(), AlwaysRetry(), NeverRetry()):
            policy.reset()
            for failure in Failure:
                answer = ask(policy, failure=failure, idempotent=False)
                if failure is not Failure.NOT_SENT:
                    self.assertEqual(answer, NOT_IDEMPOTENT)
                answer = ask(policy, failure=failure, answer_begun=True)
                self.assertEqual(answer, ANSWER_BEGUN)

    def test_other_servers_first(self):
        retry = ask(RetryPolicy().reset(), tried_servers=("x", "z"), attempts=2)
        self.assertEqual(retry.servers, ("y",))

    def test_an_overloaded_server_is_left_alone_until_it_asks(self):
        policy = RetryPolicy().reset()
        arguments = {"failure": Failure.OVERLOAD, "candidates": ("x",)}
        self.assertEqual(ask(policy, **arguments), NO_SERVER)
        retry = ask(policy, **arguments, retry_after=3.0)
        self.assertGreaterEqual(retry.delay, 3.0)
        self.assertEqual(retry.servers, ("x",))

    def test_a_retry_past_the_deadline_is_not_made(self):
        policy = RetryPolicy().reset()
        self.assertEqual(ask(policy, deadline_at=0.0), DEADLINE_TOO_NEAR)
        self.assertTrue(ask(policy))

    @seed(5)
    @settings(max_examples=100, deadline=None, database=None)
    @given(st.lists(st.sampled_from(["s", "t"]), max_size=400), st.floats(0, 10.0))
    def test_retries_stay_within_the_budget(self, services, step):
        policy = RetryPolicy().reset()
        retries, now = {"s": 0, "t": 0}, 0.0
        for service in services:
            now += step / 100
            policy.observe(FirstAttemptSent(service=service), now)
            for _ in range(3):
                retries[service] += bool(ask(policy, now, service=service))
        for service, count in retries.items():
            fresh = services.count(service)
            bound = 1 + policy.ratio * fresh + policy.floor * now
            self.assertLessEqual(count, bound + 1e-6)

    def test_the_budget_is_each_service_s_own(self):
        policy = RetryPolicy(ratio=0.0, floor=0.0).reset()
        self.assertTrue(ask(policy, service="s"))
        self.assertEqual(ask(policy, service="s"), BUDGET_SPENT)
        self.assertTrue(ask(policy, service="t"))

    def test_backoff_grows_within_its_bound(self):
        delays = [backoff_delay(n, 1.0, 0.1, 2.0) for n in range(1, 100)]
        self.assertEqual(delays[:3], [0.1, 0.2, 0.4])
        self.assertEqual(max(delays), 2.0)
        self.assertEqual(backoff_delay(5, 0.0, 0.1, 2.0), 0.0)

    def test_bad_arguments_are_refused(self):
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
    def test_nothing_that_may_have_run_gets_a_new_key(
        self, failure, status, ran, flags, retry_after
    ):
        idempotent, has_key, is_ticket, may_have_run, resumable = flags
        decision = ask_client(
            failure=failure,
            status=status,
            ran=ran,
            idempotent=idempotent,
            has_key=has_key,
            has_ticket=has_key and is_ticket,
            may_have_run=may_have_run,
            resumable=resumable,
            retry_after=retry_after,
        )
        not_run = failure is Failure.NOT_SENT or ran is Ran.NO
        if isinstance(decision, RetryWithNewKey):
            self.assertTrue(has_key and not_run and not may_have_run)
        if isinstance(decision, TryEntry) and not idempotent and not has_key:
            self.assertTrue(not_run and not may_have_run)
        if decision and retry_after:
            self.assertGreaterEqual(decision.delay, retry_after)

    def test_a_begun_stream_is_resumed_elsewhere(self):
        decision = ask_client(resumable=True, position=17)
        self.assertIsInstance(decision, ResumeStream)
        self.assertEqual((decision.entry, decision.position), ("e2", 17))

    def test_entries_are_asked_for_when_none_is_left_or_fresh(self):
        for arguments in ({"tried": ("e1", "e2", "e3")}, {"entries_until": 0.0}):
            decision = ask_client(idempotent=True, **arguments)
            self.assertEqual(decision.entry, "")

    def test_a_ticket_whose_home_was_never_reached_is_replaced(self):
        ticket = {"has_key": True, "has_ticket": True}
        decision = ask_client(failure=Failure.NOT_SENT, **ticket)
        self.assertIsInstance(decision, RetryWithNewKey)
        decision = ask_client(failure=Failure.NOT_SENT, may_have_run=True, **ticket)
        self.assertIsInstance(decision, TryEntry)

    def test_a_lost_answer_without_a_key_is_not_repeated(self):
        self.assertEqual(ask_client(), OUTCOME_UNKNOWN)
        self.assertIsInstance(ask_client(has_key=True), TryEntry)


if __name__ == "__main__":
    unittest.main()
