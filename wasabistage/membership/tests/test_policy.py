import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.exceptions import SettingError
from wasabistage.membership import (
    Heartbeat,
    HeartbeatOnlyMembership,
    HeartbeatQuery,
    IncarnationQuery,
    IncarnationState,
    InstancesListed,
    ListedInstance,
    ListOnlyMembership,
    MemberPhase,
    MembershipPolicy,
    MemberState,
    MemberViewQuery,
    PeerCallEnded,
)

NAMES = ("b", "c", "d", "e")


def make_heartbeat(instance, sequence, incarnation="1", **fields):
    return Heartbeat(
        instance=instance,
        incarnation=incarnation,
        sequence=sequence,
        peer_address=f"{instance}:1",
        caller_address=f"{instance}:2",
        **fields,
    )


def make_listing(*names, leaving=()):
    listed = (
        ListedInstance(
            instance=name,
            caller_address=f"{name}:2",
            peer_address=f"{name}:1",
            leaving=name in leaving,
        )
        for name in names
    )
    return InstancesListed(instances=tuple(listed))


def make_policy(policy_class=MembershipPolicy, **arguments):
    return policy_class("a", "1", **arguments).reset()


def send_heartbeats(policy, until, names=NAMES, start=0.0, **fields):
    """Observe heartbeats of all names every 0.5 s; return the time of the next one."""
    now = start
    while now <= until:
        for name in names:
            policy.observe(make_heartbeat(name, int(now * 10), **fields), now)
        policy.tick(now)
        now += 0.5
    return now


def get_states(policy, now):
    members = policy.decide(MemberViewQuery(), now).members
    return {member.instance: member.state for member in members}


def get_candidates(policy, now):
    return {m.instance for m in policy.decide(MemberViewQuery(), now).candidates}


class TestMembership(unittest.TestCase):
    def test_reset_with_interval_above_suspect_after_raises_setting_error(self):
        with self.assertRaises(SettingError):
            make_policy(interval=5.0)

    def test_silent_instance_with_witnesses_is_gone_while_still_listed(self):
        policy = make_policy()
        policy.observe(make_listing(*NAMES), 0.0)
        send_heartbeats(policy, 5.0)
        send_heartbeats(policy, 8.0, names=("c", "d", "e"), start=5.5, silent=("b",))
        self.assertIs(get_states(policy, 8.0)["b"], MemberState.GONE)
        self.assertEqual(get_candidates(policy, 8.0), {"c", "d", "e"})

    def test_silent_instance_without_agreeing_witnesses_is_suspect(self):
        policy = make_policy()
        policy.observe(make_listing(*NAMES), 0.0)
        send_heartbeats(policy, 5.0)
        send_heartbeats(policy, 8.0, names=("c", "d", "e"), start=5.5)
        self.assertIs(get_states(policy, 8.0)["b"], MemberState.SUSPECT)

    def test_heartbeat_only_baseline_removes_silent_instance(self):
        policy = make_policy(HeartbeatOnlyMembership)
        send_heartbeats(policy, 5.0)
        send_heartbeats(policy, 8.0, names=("c", "d", "e"), start=5.5)
        self.assertIs(get_states(policy, 8.0)["b"], MemberState.GONE)

    def test_empty_list_removes_candidates_of_list_only_baseline_alone(self):
        for policy_class, expected in ((MembershipPolicy, 4), (ListOnlyMembership, 0)):
            policy = make_policy(policy_class, min_candidates=0)
            policy.observe(make_listing(*NAMES), 0.0)
            send_heartbeats(policy, 3.0)
            policy.observe(make_listing(), 3.0)
            self.assertEqual(
                len(get_candidates(policy, 3.0)), expected, policy_class.__name__
            )

    def test_stale_list_does_not_restore_gone_instance(self):
        policy = make_policy()
        send_heartbeats(policy, 5.0)
        send_heartbeats(policy, 8.0, names=("c", "d", "e"), start=5.5, silent=("b",))
        policy.observe(make_listing(*NAMES), 8.0)
        self.assertNotIn("b", get_candidates(policy, 8.0))

    def test_isolated_instance_keeps_min_candidates(self):
        policy = make_policy()
        send_heartbeats(policy, 5.0)
        for step in range(50, 80):
            policy.tick(step / 2.0)
        view = policy.decide(MemberViewQuery(), 40.0)
        self.assertTrue(view.is_isolated)
        self.assertEqual(len(view.candidates), policy.min_candidates)

    def test_own_pause_removes_no_candidates(self):
        policy = make_policy()
        policy.observe(make_listing(*NAMES), 0.0)
        send_heartbeats(policy, 5.0)
        policy.tick(60.0)
        self.assertEqual(get_candidates(policy, 60.1), set(NAMES))

    def test_refused_connection_makes_instance_suspect_until_heard(self):
        policy = make_policy()
        send_heartbeats(policy, 5.0)
        policy.observe(PeerCallEnded(instance="b", ok=False, refused=True), 5.1)
        self.assertIs(get_states(policy, 5.1)["b"], MemberState.SUSPECT)
        policy.observe(make_heartbeat("b", 99), 5.2)
        self.assertIs(get_states(policy, 5.2)["b"], MemberState.SERVING)

    def test_gone_instance_is_serving_again_after_heartbeat(self):
        policy = make_policy()
        send_heartbeats(policy, 5.0)
        now = send_heartbeats(
            policy, 30.0, names=("c", "d", "e"), start=5.5, silent=("b",)
        )
        self.assertIs(get_states(policy, now)["b"], MemberState.GONE)
        policy.observe(make_heartbeat("b", 400), now)
        self.assertIs(get_states(policy, now)["b"], MemberState.SERVING)
        query = IncarnationQuery(instance="b", incarnation="1")
        self.assertIs(policy.decide(query, now), IncarnationState.LIVE)

    def test_restarted_instance_replaces_incarnation_and_drops_late_heartbeats(self):
        policy = make_policy()
        send_heartbeats(policy, 5.0)
        policy.observe(make_heartbeat("b", 1, incarnation="2"), 5.1)
        policy.observe(make_heartbeat("b", 99, phase=MemberPhase.DRAINING), 5.2)
        query = IncarnationQuery(instance="b", incarnation="1")
        self.assertIs(policy.decide(query, 5.2), IncarnationState.REPLACED)
        self.assertIs(get_states(policy, 5.2)["b"], MemberState.SERVING)
        self.assertEqual(policy.stale_heartbeats_, 1)

    def test_incarnation_with_clock_set_back_is_accepted_after_silence(self):
        policy = make_policy()
        policy.observe(make_heartbeat("b", 1, incarnation="9"), 0.0)
        policy.observe(make_heartbeat("b", 1, incarnation="2"), 1.0)
        self.assertEqual(policy.stale_heartbeats_, 1)
        policy.observe(make_heartbeat("b", 2, incarnation="2"), 3.0)
        self.assertEqual(policy.records_["b"].incarnation, "2")

    def test_draining_and_leaving_instances_are_no_candidates(self):
        policy = make_policy()
        send_heartbeats(policy, 2.0)
        policy.observe(make_heartbeat("b", 99, phase=MemberPhase.DRAINING), 2.1)
        policy.observe(make_listing(*NAMES, leaving=("c",)), 2.1)
        self.assertEqual(get_candidates(policy, 2.2), {"d", "e"})

    def test_instances_above_max_members_are_dropped_and_counted(self):
        policy = make_policy(max_members=2)
        send_heartbeats(policy, 0.0)
        self.assertEqual(len(policy.records_), 2)
        self.assertEqual(policy.dropped_instances_, 2)

    def test_heartbeat_contains_names_of_silent_peers(self):
        policy = make_policy()
        send_heartbeats(policy, 5.0)
        send_heartbeats(policy, 7.0, names=("c",), start=5.5)
        heartbeat = policy.decide(HeartbeatQuery(), 7.0)
        self.assertEqual(heartbeat.silent, ("b", "d", "e"))

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.one_of(
                st.tuples(
                    st.just("heartbeat"), st.sampled_from(NAMES), st.sampled_from("123")
                ),
                st.tuples(
                    st.just("list"),
                    st.frozensets(st.sampled_from(NAMES)),
                    st.just(""),
                ),
                st.tuples(st.just("fail"), st.sampled_from(NAMES), st.booleans()),
                st.tuples(st.just("wait"), st.floats(0.0, 40.0), st.just("")),
            ),
            max_size=30,
        )
    )
    def test_any_events_leave_min_candidates_and_keep_newest_incarnation(self, events):
        policy = make_policy(forget_after=1e9)
        # last_seen: (incarnation, time heard) by name, as of its last heartbeat
        now, known, last_seen = 0.0, set(), {}
        for sequence, (kind, subject, extra) in enumerate(events):
            if kind == "heartbeat":
                policy.observe(
                    make_heartbeat(subject, sequence, incarnation=extra), now
                )
                known.add(subject)
                record = policy.records_[subject]
                was_heard = now - last_seen.get(subject, ("", -9.0))[1] <= 1.75
                if was_heard:
                    self.assertGreaterEqual(record.incarnation, last_seen[subject][0])
                last_seen[subject] = (record.incarnation, record.heard_at)
            elif kind == "list":
                policy.observe(make_listing(*subject), now)
                known |= subject
            elif kind == "fail":
                event = PeerCallEnded(instance=subject, ok=False, refused=extra)
                policy.observe(event, now)
            else:
                now += subject
            policy.tick(now)
            expected = min(policy.min_candidates, len(known))
            self.assertGreaterEqual(len(get_candidates(policy, now)), expected)
