"""Health policies: breaker, outliers, slow start, leaving, the majority."""

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
    ServerAppeared,
    ServerLeaving,
)

SERVERS = "abcdef"


def make_policy(kind=HealthPolicy, starts_slowly=False, **arguments):
    policy = kind(**arguments).reset()
    for name in SERVERS:
        seen = ServerAppeared(
            server=name, service="m", incarnation="1", starts_slowly=starts_slowly
        )
        policy.observe(seen, 0.0)
    return policy


def call(policy, server, now, ok=True, seconds=1.0):
    policy.observe(CallStarted(server=server), now)
    policy.observe(CallEnded(server=server, ok=ok, seconds=seconds), now)


def health(policy, server, now):
    found = policy.decide(HealthQuery(service="m"), now)
    return next(item for item in found if item.server == server)


def usable(policy, now):
    found = policy.decide(HealthQuery(service="m"), now)
    return {item.server for item in found if item.usable}


class TestHealthPolicy(unittest.TestCase):
    def fail_calls(self, policy, servers, now=0.0):
        for number in range(40):
            for server in SERVERS:
                bad = server in servers and number % 3 == 0
                call(policy, server, now, ok=not bad)

    def test_one_failing_call_in_three_is_ejected_and_the_baseline_keeps_it(self):
        policy = make_policy()
        self.fail_calls(policy, "a")
        self.assertEqual(usable(policy, 0.0), set("bcdef"))
        baseline = make_policy(NoEjection)
        self.fail_calls(baseline, "a")
        self.assertEqual(usable(baseline, 0.0), set(SERVERS))

    def test_probes_then_slow_start_then_full_share(self):
        policy = make_policy()
        self.fail_calls(policy, "a")
        self.assertTrue(health(policy, "a", 2.0).usable)
        for _ in range(3):
            policy.observe(CallStarted(server="a"), 2.0)
        self.assertFalse(health(policy, "a", 2.0).usable)
        for _ in range(3):
            policy.observe(CallEnded(server="a", ok=True, seconds=1.0), 2.1)
        self.assertEqual(health(policy, "a", 2.1).state, Health.SLOW_START)
        self.assertAlmostEqual(health(policy, "a", 2.1).weight, 0.1)
        self.assertAlmostEqual(health(policy, "a", 7.1).weight, 0.55)
        policy.tick(12.2)
        self.assertEqual(health(policy, "a", 12.2).state, Health.CLOSED)

    def test_failed_probe_doubles_the_delay(self):
        policy = make_policy()
        self.fail_calls(policy, "a")
        call(policy, "a", 2.0, ok=False)
        self.assertFalse(health(policy, "a", 5.9).usable)
        self.assertTrue(health(policy, "a", 6.0).usable)

    def test_lost_probe_does_not_block_for_ever(self):
        policy = make_policy()
        self.fail_calls(policy, "a")
        for _ in range(3):
            policy.observe(CallStarted(server="a"), 2.0)
        policy.tick(62.0)
        self.assertTrue(health(policy, "a", 70.0).usable)

    def test_slow_server_is_ejected_but_not_where_all_are_slow(self):
        policy = make_policy()
        for _ in range(20):
            for server in SERVERS:
                call(policy, server, 0.0, seconds=5.0 if server == "a" else 1.0)
        self.assertEqual(usable(policy, 0.0), set("bcdef"))
        policy = make_policy()
        for number in range(60):
            for server in SERVERS:
                call(policy, server, 0.0, seconds=1.0 + 4.0 * (number > 20))
        self.assertEqual(usable(policy, 0.0), set(SERVERS))

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
    def test_majority_of_those_that_stay_is_never_ejected(self, steps):
        policy, now = make_policy(min_outcomes=2), 0.0
        for server, what, wait in steps:
            now += wait
            if what == "leave":
                policy.observe(ServerLeaving(server=server), now)
            else:
                seconds = 9.0 if what == "slow" else 1.0
                call(policy, server, now, ok=what != "bad", seconds=seconds)
            policy.tick(now)
            found = policy.decide(HealthQuery(service="m"), now)
            staying = [item for item in found if item.state is not Health.LEAVING]
            self.assertGreaterEqual(
                2 * sum(item.usable for item in staying), len(staying)
            )

    def test_all_failing_keeps_the_majority(self):
        policy = make_policy()
        self.fail_calls(policy, SERVERS)
        self.assertEqual(len(usable(policy, 0.0)), 4)
        found = policy.decide(HealthQuery(service="m"), 0.0)
        self.assertEqual(sum(item.state is Health.OPEN for item in found), 2)

    def test_open_servers_return_where_the_others_leave(self):
        policy = make_policy()
        self.fail_calls(policy, "ab")
        self.assertEqual(usable(policy, 0.0), set("cdef"))
        for server in "cde":
            policy.observe(ServerLeaving(server=server), 0.0)
        self.assertEqual(len(usable(policy, 0.0)), 2)

    def test_queueing_for_a_while_is_not_taken_for_slowness(self):
        policy = make_policy()
        for number in range(64):
            for server in SERVERS:
                waited = server == "a" and number % 4 < 2
                call(policy, server, 0.0, seconds=9.0 if waited else 1.0)
        self.assertEqual(usable(policy, 0.0), set(SERVERS))

    def test_no_server_is_ejected_for_failing_as_all_do(self):
        policy = make_policy()
        for _ in range(7):
            for server in SERVERS:
                call(policy, server, 0.0)
        for number in range(40):
            for server in SERVERS:
                call(policy, server, 0.0, ok=number % 3 != 0)
        self.assertEqual(usable(policy, 0.0), set(SERVERS))

    def test_leaving_ends_new_work_at_once_and_nothing_revives_that_life(self):
        for kind in (HealthPolicy, NoEjection):
            policy = make_policy(kind)
            policy.observe(ServerLeaving(server="a", incarnation="1"), 1.0)
            call(policy, "a", 1.0)
            again = ServerAppeared(server="a", service="m", incarnation="1")
            policy.observe(again, 2.0)
            self.assertNotIn("a", usable(policy, 99.0))
            policy.observe(
                ServerAppeared(server="a", service="m", incarnation="2"), 100.0
            )
            policy.observe(ServerLeaving(server="a", incarnation="1"), 100.0)
            self.assertIn("a", usable(policy, 100.0))

    def test_all_new_servers_start_slowly_but_together(self):
        policy = make_policy(starts_slowly=True)
        found = policy.decide(HealthQuery(service="m"), 1.0)
        self.assertEqual({item.weight for item in found}, {found[0].weight})
        self.assertEqual(len(usable(policy, 1.0)), 6)
