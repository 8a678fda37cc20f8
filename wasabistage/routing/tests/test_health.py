"""Tests of the health policies.

They cover circuit breakers, outliers, slow start, servers that leave, and the bound on
ejected servers.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.routing import (
    CallEnded,
    CallStarted,
    Health,
    HealthPolicy,
    HealthQuery,
    NoEjection,
    PeerCallsEnded,
    ServerAppeared,
    ServerLeaving,
)

SERVERS = "abcdef"


def make_policy(kind=HealthPolicy, starts_slowly=False, **arguments):
    policy = kind(**arguments).reset()
    for name in SERVERS:
        event = ServerAppeared(
            server=name, service="m", incarnation="1", starts_slowly=starts_slowly
        )
        policy.observe(event, 0.0)
    return policy


def call(policy, server, now, ok=True, seconds=1.0):
    policy.observe(CallStarted(server=server), now)
    policy.observe(CallEnded(server=server, ok=ok, seconds=seconds), now)


def get_health(policy, server, now):
    found = policy.decide(HealthQuery(service="m"), now)
    return next(item for item in found if item.server == server)


def get_usable_servers(policy, now):
    found = policy.decide(HealthQuery(service="m"), now)
    return {item.server for item in found if item.usable}


class TestHealthPolicy(unittest.TestCase):
    def run_calls_with_failures(self, policy, servers, now=0.0):
        """Run 40 calls on every server; a third of those on ``servers`` fail."""
        for number in range(40):
            for server in SERVERS:
                bad = server in servers and number % 3 == 0
                call(policy, server, now, ok=not bad)

    def test_server_failing_one_call_in_three_is_ejected_except_by_baseline(self):
        policy = make_policy()
        self.run_calls_with_failures(policy, "a")
        self.assertEqual(get_usable_servers(policy, 0.0), set("bcdef"))
        baseline = make_policy(NoEjection)
        self.run_calls_with_failures(baseline, "a")
        self.assertEqual(get_usable_servers(baseline, 0.0), set(SERVERS))

    def test_successful_probes_lead_to_slow_start_and_then_closed(self):
        policy = make_policy()
        self.run_calls_with_failures(policy, "a")
        self.assertTrue(get_health(policy, "a", 2.0).usable)
        for _ in range(3):
            policy.observe(CallStarted(server="a"), 2.0)
        self.assertFalse(get_health(policy, "a", 2.0).usable)
        for _ in range(3):
            policy.observe(CallEnded(server="a", ok=True, seconds=1.0), 2.1)
        self.assertEqual(get_health(policy, "a", 2.1).state, Health.SLOW_START)
        self.assertAlmostEqual(get_health(policy, "a", 2.1).weight, 0.1)
        self.assertAlmostEqual(get_health(policy, "a", 7.1).weight, 0.55)
        policy.tick(12.2)
        self.assertEqual(get_health(policy, "a", 12.2).state, Health.CLOSED)

    def test_failed_probe_doubles_open_delay(self):
        policy = make_policy()
        self.run_calls_with_failures(policy, "a")
        call(policy, "a", 2.0, ok=False)
        self.assertFalse(get_health(policy, "a", 5.9).usable)
        self.assertTrue(get_health(policy, "a", 6.0).usable)

    def test_half_open_server_with_lost_probes_reopens_and_is_usable_later(self):
        policy = make_policy()
        self.run_calls_with_failures(policy, "a")
        for _ in range(3):
            policy.observe(CallStarted(server="a"), 2.0)
        policy.tick(62.0)
        self.assertTrue(get_health(policy, "a", 70.0).usable)

    def test_slow_server_is_ejected_unless_all_are_slow(self):
        policy = make_policy()
        for _ in range(20):
            for server in SERVERS:
                call(policy, server, 0.0, seconds=5.0 if server == "a" else 1.0)
        self.assertEqual(get_usable_servers(policy, 0.0), set("bcdef"))
        policy = make_policy()
        for number in range(60):
            for server in SERVERS:
                call(policy, server, 0.0, seconds=1.0 + 4.0 * (number > 20))
        self.assertEqual(get_usable_servers(policy, 0.0), set(SERVERS))

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(SERVERS),
                st.sampled_from(["ok", "bad", "slow", "leave"]),
                st.floats(0, 3),
            ),
            max_size=150,
        )
    )
    def test_any_events_keep_at_least_half_of_staying_servers_usable(self, steps):
        policy, now = make_policy(min_outcomes=2), 0.0
        for server, outcome, wait in steps:
            now += wait
            if outcome == "leave":
                policy.observe(ServerLeaving(server=server), now)
            else:
                seconds = 9.0 if outcome == "slow" else 1.0
                call(policy, server, now, ok=outcome != "bad", seconds=seconds)
            policy.tick(now)
            found = policy.decide(HealthQuery(service="m"), now)
            staying = [item for item in found if item.state is not Health.LEAVING]
            self.assertGreaterEqual(
                2 * sum(item.usable for item in staying), len(staying)
            )

    def test_all_servers_failing_keeps_majority_usable(self):
        policy = make_policy()
        self.run_calls_with_failures(policy, SERVERS)
        self.assertEqual(len(get_usable_servers(policy, 0.0)), 4)
        found = policy.decide(HealthQuery(service="m"), 0.0)
        self.assertEqual(sum(item.state is Health.OPEN for item in found), 2)

    def test_open_server_is_usable_again_when_others_leave(self):
        policy = make_policy()
        self.run_calls_with_failures(policy, "ab")
        self.assertEqual(get_usable_servers(policy, 0.0), set("cdef"))
        for server in "cde":
            policy.observe(ServerLeaving(server=server), 0.0)
        self.assertEqual(len(get_usable_servers(policy, 0.0)), 2)

    def test_server_with_calls_queued_for_a_while_is_not_ejected(self):
        policy = make_policy()
        for number in range(64):
            for server in SERVERS:
                waited = server == "a" and number % 4 < 2
                call(policy, server, 0.0, seconds=9.0 if waited else 1.0)
        self.assertEqual(get_usable_servers(policy, 0.0), set(SERVERS))

    def test_servers_failing_alike_are_not_ejected(self):
        policy = make_policy()
        for _ in range(7):
            for server in SERVERS:
                call(policy, server, 0.0)
        for number in range(40):
            for server in SERVERS:
                call(policy, server, 0.0, ok=number % 3 != 0)
        self.assertEqual(get_usable_servers(policy, 0.0), set(SERVERS))

    def test_leaving_server_is_unusable_until_new_incarnation(self):
        for kind in (HealthPolicy, NoEjection):
            policy = make_policy(kind)
            policy.observe(ServerLeaving(server="a", incarnation="1"), 1.0)
            call(policy, "a", 1.0)
            again = ServerAppeared(server="a", service="m", incarnation="1")
            policy.observe(again, 2.0)
            self.assertNotIn("a", get_usable_servers(policy, 99.0))
            policy.observe(
                ServerAppeared(server="a", service="m", incarnation="2"), 100.0
            )
            policy.observe(ServerLeaving(server="a", incarnation="1"), 100.0)
            self.assertIn("a", get_usable_servers(policy, 100.0))

    def test_new_servers_have_equal_weights_in_slow_start(self):
        policy = make_policy(starts_slowly=True)
        found = policy.decide(HealthQuery(service="m"), 1.0)
        self.assertEqual({item.weight for item in found}, {found[0].weight})
        self.assertEqual(len(get_usable_servers(policy, 1.0)), 6)


class PeerOutcomesTest(unittest.TestCase):
    """Pattern: 32 entries of a failure domain make two calls a second each."""

    def setUp(self):
        self.policy = HealthPolicy(
            min_outcomes=3, failure_share=0.5, open_delay=0.5, max_open_delay=4.0
        ).reset()
        for server in SERVERS:
            event = ServerAppeared(server=server, service="s", incarnation="1")
            self.policy.observe(event, 0.0)

    def get_state(self, server):
        return self.policy.servers_[server].state

    def observe(self, server, ok, failed, now, draw=0.0):
        event = PeerCallsEnded(server=server, ok=ok, failed=failed, draw=draw)
        self.policy.observe(event, now)

    def test_failures_of_others_eject_a_server(self):
        self.observe(SERVERS[0], 0, 4, 1.0)
        self.assertIs(self.get_state(SERVERS[0]), Health.OPEN)

    def test_failures_of_few_entries_eject_nobody(self):
        for step in range(20):
            self.observe(SERVERS[0], 20, 4, 0.4 * step)
        self.assertIsNot(self.get_state(SERVERS[0]), Health.OPEN)

    def test_failed_probe_of_another_entry_postpones_the_own_one(self):
        self.observe(SERVERS[0], 0, 4, 1.0)
        state = self.policy.servers_[SERVERS[0]]
        self.assertEqual(state.retry_at, 1.5)
        self.observe(SERVERS[0], 0, 1, 1.4, draw=0.5)
        self.assertEqual(state.retry_at, 2.4)

    def test_served_probe_of_another_entry_allows_the_own_one(self):
        self.observe(SERVERS[0], 0, 4, 1.0)
        self.observe(SERVERS[0], 2, 0, 1.1)
        self.assertLessEqual(self.policy.servers_[SERVERS[0]].retry_at, 1.1)

    def test_unknown_server_is_ignored(self):
        self.observe("unknown", 0, 9, 1.0)
        self.assertNotIn("unknown", self.policy.servers_)
