import unittest
from dataclasses import replace

from wasabistage.exceptions import SettingError
from wasabistage.rollout import (
    NO_RECORD,
    NO_VERSION,
    AppendRecord,
    DrainStarted,
    GrantFold,
    GrantRecord,
    LogRecord,
    PlaceChanged,
    ReadServer,
    ReleaseRecord,
    ReportTimeBounds,
    RolloutPolicy,
    RoutableQuery,
    SendOrder,
    ServerReported,
    Target,
    TargetsChanged,
    decode_order_record,
    encode_order_record,
)

V1 = Target(versions={"x": "v1"})
V2 = Target(versions={"x": "v2"})
QUERY = RoutableQuery(model="x", servers=("m0", "m1"))


def grant(number, supersedes=-1, slot=0, server="m0", config_version=0):
    return GrantRecord(
        record_id=str(number),
        slot=slot,
        server=server,
        holder="a",
        incarnation="1",
        lease=10.0,
        supersedes=supersedes,
        config_version=config_version,
    )


def runs(server, target, at, loading=False):
    return ServerReported(server=server, runs=target, loading=loading, asked_at=at)


def make(place=0, **arguments):
    policy = RolloutPolicy("a", "1", **arguments).reset()
    policy.observe(PlaceChanged(place=place), 0.0)
    policy.observe(TargetsChanged(config_version=1, targets={"m0": V2, "m1": V2}), 0.0)
    return policy


def get_granted_slots(sent_at=0.0, read_at=0.5):
    """Return a policy that holds a grant and has read the server's old version."""
    policy = make()
    policy.observe(runs("m0", V1, sent_at), sent_at)
    (action,) = policy.tick(sent_at)
    policy.observe(LogRecord(offset=7, record=action.record), read_at)
    return policy


class TestFold(unittest.TestCase):
    def test_first_claim_in_the_log_wins(self):
        fold = GrantFold().reset()
        self.assertTrue(fold.apply(0, grant(1)))
        self.assertFalse(fold.apply(1, grant(2)))
        self.assertEqual(fold.state(0).fencing, 0)

    def test_repeats_and_foreign_records_are_skipped(self):
        fold = GrantFold().reset()
        fold.apply(0, grant(1))
        fold.apply(1, ReleaseRecord(record_id="r", slot=0, grant=0))
        self.assertFalse(fold.apply(2, grant(1, supersedes=1)))
        self.assertFalse(fold.apply(1, grant(3, supersedes=1)))
        self.assertFalse(fold.apply(3, "unknown"))
        self.assertEqual(fold.get_granted_slots(), [])

    def test_one_order_per_server_and_takeover_for_the_same_server_only(self):
        fold = GrantFold().reset()
        fold.apply(0, grant(1))
        self.assertFalse(fold.apply(1, grant(2, slot=1)))
        self.assertFalse(fold.apply(2, grant(3, supersedes=0, server="m1")))
        self.assertTrue(fold.apply(3, grant(4, supersedes=0)))
        self.assertFalse(fold.apply(4, ReleaseRecord(record_id="r", slot=0, grant=0)))
        self.assertFalse(fold.apply(5, grant(5, slot=2, server="m2")))

    def test_claim_on_an_older_configuration_is_overtaken(self):
        fold = GrantFold().reset()
        fold.apply(0, grant(1, config_version=4))
        self.assertFalse(fold.apply(1, grant(2, slot=1, server="m1")))

    def test_trimmed_log_is_taken_up_at_a_carry_record(self):
        whole = GrantFold().reset()
        whole.apply(0, grant(1))
        late = GrantFold(first_offset=1).reset()
        records = [
            (1, ReleaseRecord(record_id="r", slot=0, grant=0)),
            (2, whole.carry("c")),
            (3, grant(2, supersedes=1)),
        ]
        for offset, record in records:
            whole.apply(offset, record)
            late.apply(offset, record)
        self.assertEqual(late.states_, whole.states_)
        self.assertEqual(late.state(0).fencing, 3)

    def test_carry_record_from_before_a_missing_record_is_not_taken(self):
        whole = GrantFold().reset()
        carry = whole.carry("c")
        late = GrantFold(first_offset=1).reset()
        late.apply(1, carry)
        late.apply(2, grant(2))
        self.assertFalse(late.complete_)
        self.assertEqual(late.get_granted_slots(), [])


class TestRollout(unittest.TestCase):
    def test_bad_lease_is_refused(self):
        with self.assertRaises(SettingError):
            RolloutPolicy("a", "1", lease=1.0).reset()

    def test_server_is_read_before_it_is_ordered(self):
        policy = get_granted_slots()
        self.assertFalse(any(isinstance(a, SendOrder) for a in policy.tick(0.6)))
        policy.observe(runs("m0", V1, 0.7), 0.7)
        order = next(a for a in policy.tick(0.8) if isinstance(a, SendOrder))
        self.assertEqual((order.fencing, order.target), (7, V2))

    def order(self, policy, now):
        policy.observe(runs("m0", V1, now), now)
        return next(a for a in policy.tick(now) if isinstance(a, SendOrder))

    def test_sending_ends_well_before_the_lease(self):
        policy = get_granted_slots(sent_at=100.0, read_at=104.0)
        order = self.order(policy, 106.8)
        self.assertTrue(policy.may_send(order, 107.0))
        self.assertFalse(policy.may_send(order, 107.1))

    def test_order_held_up_may_not_meet_the_next_attempt(self):
        policy = get_granted_slots()
        first = self.order(policy, 1.0)
        self.assertFalse(policy.may_send(first, 2.1))
        self.assertEqual(policy.tick(5.0), [])
        policy.tick(5.1)
        second = self.order(policy, 5.2)
        self.assertFalse(policy.may_send(first, 5.3))
        self.assertTrue(policy.may_send(second, 5.3))

    def test_overtaken_holder_may_not_send(self):
        policy = get_granted_slots()
        order = self.order(policy, 0.9)
        self.assertTrue(policy.may_send(order, 1.0))
        successor = grant(9, supersedes=7, config_version=1)
        policy.observe(LogRecord(offset=9, record=successor), 1.0)
        self.assertFalse(policy.may_send(order, 1.0))

    def test_matching_server_frees_the_slot(self):
        policy = get_granted_slots()
        policy.observe(runs("m0", V2, 0.7), 0.7)
        records = [a.record for a in policy.tick(0.8) if isinstance(a, AppendRecord)]
        self.assertIsInstance(records[0], ReleaseRecord)

    def test_successor_waits_lease_and_longest_order(self):
        policy = make(place=1)
        other = GrantRecord(
            record_id="x",
            slot=0,
            server="m0",
            holder="b",
            incarnation="2",
            lease=10.0,
            supersedes=-1,
        )
        policy.observe(LogRecord(offset=0, record=other), 5.0)
        self.assertEqual(policy.tick(18.4), [])
        (action,) = policy.tick(18.6)
        self.assertEqual(action.record.supersedes, 0)

    def test_slots_are_carried_forward_by_one_instance(self):
        first, second = make(carry_time=60.0), make(place=1, carry_time=60.0)
        for policy in (first, second):
            self.assertEqual(policy.tick(0.0), [])
        (action,) = first.tick(60.0)
        self.assertEqual(second.tick(60.0), [])
        for policy in (first, second):
            policy.observe(LogRecord(offset=4, record=action.record), 60.5)
            self.assertEqual(policy.tick(64.0), [])

    def test_forgotten_claim_gives_no_right_to_send(self):
        policy = make()
        policy.observe(LogRecord(offset=3, record=grant(1, config_version=1)), 50.0)
        policy.observe(runs("m0", V1, 50.0), 50.0)
        self.assertFalse(any(isinstance(a, SendOrder) for a in policy.tick(50.0)))

    def test_only_reported_declared_version_is_routable(self):
        policy = make()
        policy.observe(runs("m0", V1, 0.0), 0.0)
        self.assertTrue(NO_VERSION.has_same_name(policy.decide(QUERY, 0.0)))
        policy.observe(runs("m1", V2, 0.1), 0.1)
        answer = policy.decide(QUERY, 0.1)
        self.assertEqual((answer.version, answer.servers), ("v2", ("m1",)))
        policy.observe(runs("m1", V1, 0.0), 0.2)
        self.assertEqual(policy.decide(QUERY, 0.2).servers, ("m1",))
        policy.observe(runs("m1", V2, 0.3, loading=True), 0.3)
        self.assertTrue(NO_VERSION.has_same_name(policy.decide(QUERY, 0.3)))

    def test_version_declared_before_is_named_apart_when_it_may_serve(self):
        policy = make(serve_old=True)
        v3 = Target(versions={"x": "v3"})
        changed = TargetsChanged(config_version=2, targets={"m0": v3, "m1": v3})
        policy.observe(changed, 1.0)
        policy.observe(runs("m0", V2, 1.0), 1.0)
        policy.observe(runs("m1", V1, 1.0), 1.0)
        answer = policy.decide(QUERY, 1.0)
        self.assertEqual((answer.version, answer.servers), ("v3", ()))
        self.assertEqual((answer.old_version, answer.old_servers), ("v2", ("m0",)))

    def test_each_model_of_a_server_counts(self):
        both = Target(versions={"x": "v2", "y": "w2"}, adapters=("a",))
        more = Target(versions={"x": "v2", "y": "w2", "z": "1"}, adapters=("a", "b"))
        self.assertTrue(both.met_by(more))
        self.assertFalse(more.met_by(both))
        policy = make()
        policy.observe(TargetsChanged(config_version=2, targets={"m0": both}), 0.0)
        policy.observe(runs("m0", V2, 0.0), 0.0)
        query = RoutableQuery(model="x", servers=("m0",))
        self.assertEqual(policy.decide(query, 0.0).servers, ("m0",))
        query = RoutableQuery(model="y", servers=("m0",))
        self.assertTrue(NO_VERSION.has_same_name(policy.decide(query, 0.0)))
        self.assertEqual([a.record.server for a in policy.tick(0.1)], ["m0"])

    def test_declared_slots_bound_the_claims(self):
        for slots, claims in ((1, 1), (2, 2), (0, 2)):
            policy = make()
            targets = {name: V2 for name in ("m0", "m1", "m2", "m3", "m4", "m5")}
            changed = TargetsChanged(config_version=2, targets=targets, slots=slots)
            policy.observe(changed, 0.0)
            for name in targets:
                policy.observe(runs(name, V1, 0.0), 0.0)
            self.assertEqual(len(policy.tick(0.1)), claims)

    def test_others_wait_while_the_first_gets_on(self):
        policy = make(place=1, stagger=0.5)
        policy.observe(runs("m1", V1, 0.0), 0.0)
        policy.tick(0.0)
        record = replace(grant(1, config_version=1), incarnation="2")
        policy.observe(LogRecord(offset=0, record=record), 0.4)
        self.assertEqual(policy.tick(0.8), [])
        self.assertEqual(len(policy.tick(0.9)), 1)

    def test_silent_servers_come_last_and_hold_no_slot_for_long(self):
        policy = make(slots=1)
        policy.observe(runs("m0", V1, 0.0), 0.0)
        policy.observe(runs("m1", V1, 4.0), 4.0)
        (claim,) = policy.tick(4.0)
        self.assertEqual(claim.record.server, "m1")
        policy.observe(LogRecord(offset=0, record=claim.record), 4.1)
        self.assertIsInstance(policy.tick(11.0)[0], ReadServer)
        (release,) = policy.tick(11.1)
        self.assertIsInstance(release.record, ReleaseRecord)
        policy.observe(LogRecord(offset=1, record=release.record), 14.2)
        self.assertEqual(policy.tick(14.2), [])

    def test_draining_instance_gives_back_and_claims_no_more(self):
        policy = get_granted_slots()
        policy.observe(DrainStarted(), 0.6)
        policy.observe(runs("m0", V1, 0.6), 0.6)
        (action,) = policy.tick(0.6)
        self.assertIsInstance(action.record, ReleaseRecord)
        released = LogRecord(offset=8, record=action.record)
        policy.observe(released, 0.7)
        self.assertEqual(policy.tick(5.0), [])

    def test_report_age_from_sequence_numbers(self):
        ages = ReportTimeBounds(largest_lag=5.0).reset()
        self.assertEqual(ages.estimate_earliest_time("m0", "1", 4, 10.0), 5.0)
        self.assertEqual(ages.estimate_earliest_time("m0", "1", 4, 11.0), 6.0)
        self.assertEqual(ages.estimate_earliest_time("m0", "1", 5, 12.0), 11.0)
        self.assertEqual(ages.estimate_earliest_time("m0", "1", 5, 13.0), 11.0)
        self.assertIsNone(ages.estimate_earliest_time("m0", "1", 4, 14.0))
        self.assertEqual(ages.estimate_earliest_time("m0", "2", 0, 14.0), 13.0)

    def test_records_survive_the_log(self):
        fold = GrantFold().reset()
        fold.apply(3, grant(1))
        release = ReleaseRecord(record_id="r", slot=0, grant=3)
        for record in (grant(1), release, fold.carry("c")):
            self.assertEqual(decode_order_record(encode_order_record(record)), record)
        for data in (b"", b"{}", b'{"grant": 1}', b"\xff"):
            self.assertTrue(NO_RECORD.has_same_name(decode_order_record(data)))

    def test_role_change_keeps_a_majority_routable(self):
        policy = make(keep_share=1.0)
        policy.observe(runs("m0", Target(versions={"x": "v2"}, role="p"), 0.0), 0.0)
        policy.observe(runs("m1", V2, 0.0), 0.0)
        self.assertEqual(policy.tick(0.1), [])
