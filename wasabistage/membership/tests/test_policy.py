import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.exceptions import SettingError
from wasabistage.membership import (
    Heartbeat,
    HeartbeatOnlyMembership,
    HeartbeatQuery,
    HomeQuery,
    HomeState,
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


def beat(instance, sequence, incarnation="1", **fields):
    return Heartbeat(
        instance=instance,
        incarnation=incarnation,
        sequence=sequence,
        peer_address=f"{instance}:1",
        caller_address=f"{instance}:2",
        **fields,
    )


def listing(*names, leaving=()):
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


def make(kind=MembershipPolicy, **arguments):
    return kind("a", "1", **arguments).reset()


def feed(policy, until, names=NAMES, start=0.0, **fields):
    now = start
    while now <= until:
        for name in names:
            policy.observe(beat(name, int(now * 10), **fields), now)
        policy.tick(now)
        now += 0.5
    return now


def states(policy, now):
    members = policy.decide(MemberViewQuery(), now).members
    return {member.instance: member.state for member in members}


def candidates(policy, now):
    return {m.instance for m in policy.decide(MemberViewQuery(), now).candidates}


class TestMembership(unittest.TestCase):
    def test_bad_arguments_are_refused(self):
        with self.assertRaises(SettingError):
            make(interval=5.0)

    def test_silence_and_witnesses_remove_before_the_list_does(self):
        policy = make()
        policy.observe(listing(*NAMES), 0.0)
        feed(policy, 5.0)
        feed(policy, 8.0, names=("c", "d", "e"), start=5.5, silent=("b",))
        self.assertIs(states(policy, 8.0)["b"], MemberState.GONE)
        self.assertEqual(candidates(policy, 8.0), {"c", "d", "e"})

    def test_one_direction_cut_here_is_only_suspect(self):
        policy = make()
        policy.observe(listing(*NAMES), 0.0)
        feed(policy, 5.0)
        feed(policy, 8.0, names=("c", "d", "e"), start=5.5)
        self.assertIs(states(policy, 8.0)["b"], MemberState.SUSPECT)

    def test_without_witnesses_a_cut_instance_is_removed(self):
        policy = make(HeartbeatOnlyMembership)
        feed(policy, 5.0)
        feed(policy, 8.0, names=("c", "d", "e"), start=5.5)
        self.assertIs(states(policy, 8.0)["b"], MemberState.GONE)

    def test_empty_list_removes_nobody(self):
        for kind, left in ((MembershipPolicy, 4), (ListOnlyMembership, 0)):
            policy = make(kind, min_candidates=0)
            policy.observe(listing(*NAMES), 0.0)
            feed(policy, 3.0)
            policy.observe(listing(), 3.0)
            self.assertEqual(len(candidates(policy, 3.0)), left, kind.__name__)

    def test_stale_list_does_not_resurrect_a_dead_one(self):
        policy = make()
        feed(policy, 5.0)
        feed(policy, 8.0, names=("c", "d", "e"), start=5.5, silent=("b",))
        policy.observe(listing(*NAMES), 8.0)
        self.assertNotIn("b", candidates(policy, 8.0))

    def test_own_isolation_keeps_last_candidates(self):
        policy = make()
        feed(policy, 5.0)
        for step in range(50, 80):
            policy.tick(step / 2.0)
        view = policy.decide(MemberViewQuery(), 40.0)
        self.assertTrue(view.isolated)
        self.assertEqual(len(view.candidates), policy.min_candidates)

    def test_own_pause_is_no_evidence_against_others(self):
        policy = make()
        policy.observe(listing(*NAMES), 0.0)
        feed(policy, 5.0)
        policy.tick(60.0)
        self.assertEqual(candidates(policy, 60.1), set(NAMES))

    def test_refused_connection_is_suspect_at_once(self):
        policy = make()
        feed(policy, 5.0)
        policy.observe(PeerCallEnded(instance="b", ok=False, refused=True), 5.1)
        self.assertIs(states(policy, 5.1)["b"], MemberState.SUSPECT)
        policy.observe(beat("b", 99), 5.2)
        self.assertIs(states(policy, 5.2)["b"], MemberState.SERVING)

    def test_paused_process_comes_back(self):
        policy = make()
        feed(policy, 5.0)
        now = feed(policy, 30.0, names=("c", "d", "e"), start=5.5, silent=("b",))
        self.assertIs(states(policy, now)["b"], MemberState.GONE)
        policy.observe(beat("b", 400), now)
        self.assertIs(states(policy, now)["b"], MemberState.SERVING)
        home = HomeQuery(instance="b", incarnation="1")
        self.assertIs(policy.decide(home, now), HomeState.LIVE)

    def test_restarted_process_is_another(self):
        policy = make()
        feed(policy, 5.0)
        policy.observe(beat("b", 1, incarnation="2"), 5.1)
        policy.observe(beat("b", 99, phase=MemberPhase.DRAINING), 5.2)
        home = HomeQuery(instance="b", incarnation="1")
        self.assertIs(policy.decide(home, 5.2), HomeState.REPLACED)
        self.assertIs(states(policy, 5.2)["b"], MemberState.SERVING)
        self.assertEqual(policy.stale_, 1)

    def test_clock_set_back_on_restart_is_accepted_after_silence(self):
        policy = make()
        policy.observe(beat("b", 1, incarnation="9"), 0.0)
        policy.observe(beat("b", 1, incarnation="2"), 1.0)
        self.assertEqual(policy.stale_, 1)
        policy.observe(beat("b", 2, incarnation="2"), 3.0)
        self.assertEqual(policy.records_["b"].incarnation, "2")

    def test_draining_is_no_candidate(self):
        policy = make()
        feed(policy, 2.0)
        policy.observe(beat("b", 99, phase=MemberPhase.DRAINING), 2.1)
        policy.observe(listing(*NAMES, leaving=("c",)), 2.1)
        self.assertEqual(candidates(policy, 2.2), {"d", "e"})

    def test_table_is_bounded(self):
        policy = make(max_members=2)
        feed(policy, 0.0)
        self.assertEqual(len(policy.records_), 2)
        self.assertEqual(policy.dropped_, 2)

    def test_heartbeat_names_silent_peers(self):
        policy = make()
        feed(policy, 5.0)
        feed(policy, 7.0, names=("c",), start=5.5)
        heartbeat = policy.decide(HeartbeatQuery(), 7.0)
        self.assertEqual(heartbeat.silent, ("b", "d", "e"))

    @settings(max_examples=150, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.one_of(
                st.tuples(
                    st.just("beat"), st.sampled_from(NAMES), st.sampled_from("123")
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
    def test_candidates_never_run_out_and_lives_never_go_back(self, events):
        policy = make(forget_after=1e9)
        now, heard, highest = 0.0, set(), {}
        for sequence, (kind, subject, extra) in enumerate(events):
            if kind == "beat":
                policy.observe(beat(subject, sequence, incarnation=extra), now)
                heard.add(subject)
                record = policy.records_[subject]
                recent = now - highest.get(subject, ("", -9.0))[1] <= 1.75
                if recent:
                    self.assertGreaterEqual(record.incarnation, highest[subject][0])
                highest[subject] = (record.incarnation, record.heard_at)
            elif kind == "list":
                policy.observe(listing(*subject), now)
                heard |= subject
            elif kind == "fail":
                event = PeerCallEnded(instance=subject, ok=False, refused=extra)
                policy.observe(event, now)
            else:
                now += subject
            policy.tick(now)
            least = min(policy.min_candidates, len(heard))
            self.assertGreaterEqual(len(candidates(policy, now)), least)
