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


def make_grant(record_id, supersedes=-1, slot=0, server="m0", config_version=0):
    return GrantRecord(
        record_id=str(record_id),
        slot=slot,
        server=server,
        holder="a",
        incarnation="1",
        lease=10.0,
        supersedes=supersedes,
        config_version=config_version,
    )


def make_report(server, target, at, loading=False):
    return ServerReported(server=server, runs=target, loading=loading, asked_at=at)


def make_policy(place=0, **arguments):
    policy = RolloutPolicy("a", "1", **arguments).reset()
    policy.observe(PlaceChanged(place=place), 0.0)
    policy.observe(TargetsChanged(config_version=1, targets={"m0": V2, "m1": V2}), 0.0)
    return policy


def make_holder(append_started_at=0.0, read_at=0.5):
    """Return a policy that holds a grant at offset 7 for m0, which reports V1."""
    policy = make_policy()
    policy.observe(make_report("m0", V1, append_started_at), append_started_at)
    (action,) = policy.tick(append_started_at)
    policy.observe(LogRecord(offset=7, record=action.record), read_at)
    return policy


class TestGrantFold(unittest.TestCase):
    def test_first_of_two_concurrent_grants_is_accepted(self):
        fold = GrantFold().reset()
        self.assertTrue(fold.apply(0, make_grant(1)))
        self.assertFalse(fold.apply(1, make_grant(2)))
        self.assertEqual(fold.state(0).fencing, 0)

    def test_repeated_and_unknown_records_are_ignored(self):
        fold = GrantFold().reset()
        fold.apply(0, make_grant(1))
        fold.apply(1, ReleaseRecord(record_id="r", slot=0, grant=0))
        self.assertFalse(fold.apply(2, make_grant(1, supersedes=1)))
        self.assertFalse(fold.apply(1, make_grant(3, supersedes=1)))
        self.assertFalse(fold.apply(3, "unknown"))
        self.assertEqual(fold.get_granted_slots(), [])

    def test_server_has_one_grant_and_slot_is_taken_over_for_it_only(self):
        fold = GrantFold().reset()
        fold.apply(0, make_grant(1))
        self.assertFalse(fold.apply(1, make_grant(2, slot=1)))
        self.assertFalse(fold.apply(2, make_grant(3, supersedes=0, server="m1")))
        self.assertTrue(fold.apply(3, make_grant(4, supersedes=0)))
        self.assertFalse(fold.apply(4, ReleaseRecord(record_id="r", slot=0, grant=0)))
        self.assertFalse(fold.apply(5, make_grant(5, slot=2, server="m2")))

    def test_grant_on_an_older_configuration_is_rejected(self):
        fold = GrantFold().reset()
        fold.apply(0, make_grant(1, config_version=4))
        self.assertFalse(fold.apply(1, make_grant(2, slot=1, server="m1")))

    def test_trimmed_log_with_a_carry_record_gives_the_complete_state(self):
        complete = GrantFold().reset()
        complete.apply(0, make_grant(1))
        resumed = GrantFold(first_offset=1).reset()
        records = [
            (1, ReleaseRecord(record_id="r", slot=0, grant=0)),
            (2, complete.build_carry_record("c")),
            (3, make_grant(2, supersedes=1)),
        ]
        for offset, record in records:
            complete.apply(offset, record)
            resumed.apply(offset, record)
        self.assertEqual(resumed.states_, complete.states_)
        self.assertEqual(resumed.state(0).fencing, 3)

    def test_carry_record_that_does_not_cover_a_missing_record_is_rejected(self):
        complete = GrantFold().reset()
        carry = complete.build_carry_record("c")
        resumed = GrantFold(first_offset=1).reset()
        resumed.apply(1, carry)
        resumed.apply(2, make_grant(2))
        self.assertFalse(resumed.complete_)
        self.assertEqual(resumed.get_granted_slots(), [])


class TestRolloutPolicy(unittest.TestCase):
    def test_lease_below_twice_order_time_raises_setting_error(self):
        with self.assertRaises(SettingError):
            RolloutPolicy("a", "1", lease=1.0).reset()

    def test_server_is_ordered_only_after_a_report_newer_than_the_grant(self):
        policy = make_holder()
        self.assertFalse(any(isinstance(a, SendOrder) for a in policy.tick(0.6)))
        policy.observe(make_report("m0", V1, 0.7), 0.7)
        order = next(a for a in policy.tick(0.8) if isinstance(a, SendOrder))
        self.assertEqual((order.fencing, order.target), (7, V2))

    def get_order(self, policy, now):
        policy.observe(make_report("m0", V1, now), now)
        return next(a for a in policy.tick(now) if isinstance(a, SendOrder))

    def test_order_may_not_be_sent_in_the_last_order_time_of_the_lease(self):
        policy = make_holder(append_started_at=100.0, read_at=104.0)
        order = self.get_order(policy, 106.8)
        self.assertTrue(policy.may_send(order, 107.0))
        self.assertFalse(policy.may_send(order, 107.1))

    def test_order_delayed_beyond_send_time_may_not_be_sent(self):
        policy = make_holder()
        first = self.get_order(policy, 1.0)
        self.assertFalse(policy.may_send(first, 2.1))
        self.assertEqual(policy.tick(5.0), [])
        policy.tick(5.1)
        second = self.get_order(policy, 5.2)
        self.assertFalse(policy.may_send(first, 5.3))
        self.assertTrue(policy.may_send(second, 5.3))

    def test_holder_may_not_send_after_its_grant_was_superseded(self):
        policy = make_holder()
        order = self.get_order(policy, 0.9)
        self.assertTrue(policy.may_send(order, 1.0))
        successor = make_grant(9, supersedes=7, config_version=1)
        policy.observe(LogRecord(offset=9, record=successor), 1.0)
        self.assertFalse(policy.may_send(order, 1.0))

    def test_grant_of_a_server_that_matches_its_target_is_released(self):
        policy = make_holder()
        policy.observe(make_report("m0", V2, 0.7), 0.7)
        records = [a.record for a in policy.tick(0.8) if isinstance(a, AppendRecord)]
        self.assertIsInstance(records[0], ReleaseRecord)

    def test_successor_waits_for_lease_order_time_and_stagger(self):
        policy = make_policy(place=1)
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

    def test_carry_record_is_appended_by_one_instance_only(self):
        first, second = (
            make_policy(carry_time=60.0),
            make_policy(place=1, carry_time=60.0),
        )
        for policy in (first, second):
            self.assertEqual(policy.tick(0.0), [])
        (action,) = first.tick(60.0)
        self.assertEqual(second.tick(60.0), [])
        for policy in (first, second):
            policy.observe(LogRecord(offset=4, record=action.record), 60.5)
            self.assertEqual(policy.tick(64.0), [])

    def test_own_grant_that_is_not_pending_allows_no_order(self):
        policy = make_policy()
        policy.observe(
            LogRecord(offset=3, record=make_grant(1, config_version=1)), 50.0
        )
        policy.observe(make_report("m0", V1, 50.0), 50.0)
        self.assertFalse(any(isinstance(a, SendOrder) for a in policy.tick(50.0)))

    def test_only_servers_that_report_the_declared_version_are_routable(self):
        policy = make_policy()
        policy.observe(make_report("m0", V1, 0.0), 0.0)
        self.assertTrue(NO_VERSION.has_same_name(policy.decide(QUERY, 0.0)))
        policy.observe(make_report("m1", V2, 0.1), 0.1)
        answer = policy.decide(QUERY, 0.1)
        self.assertEqual((answer.version, answer.servers), ("v2", ("m1",)))
        policy.observe(make_report("m1", V1, 0.0), 0.2)
        self.assertEqual(policy.decide(QUERY, 0.2).servers, ("m1",))
        policy.observe(make_report("m1", V2, 0.3, loading=True), 0.3)
        self.assertTrue(NO_VERSION.has_same_name(policy.decide(QUERY, 0.3)))

    def test_servers_with_the_old_version_are_listed_apart_with_serve_old(self):
        policy = make_policy(serve_old=True)
        v3 = Target(versions={"x": "v3"})
        changed = TargetsChanged(config_version=2, targets={"m0": v3, "m1": v3})
        policy.observe(changed, 1.0)
        policy.observe(make_report("m0", V2, 1.0), 1.0)
        policy.observe(make_report("m1", V1, 1.0), 1.0)
        answer = policy.decide(QUERY, 1.0)
        self.assertEqual((answer.version, answer.servers), ("v3", ()))
        self.assertEqual((answer.old_version, answer.old_servers), ("v2", ("m0",)))

    def test_server_that_misses_one_of_its_models_is_ordered(self):
        both = Target(versions={"x": "v2", "y": "w2"}, adapters=("a",))
        more = Target(versions={"x": "v2", "y": "w2", "z": "1"}, adapters=("a", "b"))
        self.assertTrue(both.is_met_by(more))
        self.assertFalse(more.is_met_by(both))
        policy = make_policy()
        policy.observe(TargetsChanged(config_version=2, targets={"m0": both}), 0.0)
        policy.observe(make_report("m0", V2, 0.0), 0.0)
        query = RoutableQuery(model="x", servers=("m0",))
        self.assertEqual(policy.decide(query, 0.0).servers, ("m0",))
        query = RoutableQuery(model="y", servers=("m0",))
        self.assertTrue(NO_VERSION.has_same_name(policy.decide(query, 0.0)))
        self.assertEqual([a.record.server for a in policy.tick(0.1)], ["m0"])

    def test_declared_slots_limit_the_new_grants(self):
        for slots, grant_count in ((1, 1), (2, 2), (0, 2)):
            policy = make_policy()
            targets = {name: V2 for name in ("m0", "m1", "m2", "m3", "m4", "m5")}
            changed = TargetsChanged(config_version=2, targets=targets, slots=slots)
            policy.observe(changed, 0.0)
            for name in targets:
                policy.observe(make_report(name, V1, 0.0), 0.0)
            self.assertEqual(len(policy.tick(0.1)), grant_count)

    def test_instance_at_a_later_place_waits_while_grants_are_accepted(self):
        policy = make_policy(place=1, stagger=0.5)
        policy.observe(make_report("m1", V1, 0.0), 0.0)
        policy.tick(0.0)
        record = replace(make_grant(1, config_version=1), incarnation="2")
        policy.observe(LogRecord(offset=0, record=record), 0.4)
        self.assertEqual(policy.tick(0.8), [])
        self.assertEqual(len(policy.tick(0.9)), 1)

    def test_stale_server_is_ordered_last_and_unread_one_is_released(self):
        policy = make_policy(slots=1)
        policy.observe(make_report("m0", V1, 0.0), 0.0)
        policy.observe(make_report("m1", V1, 4.0), 4.0)
        (append,) = policy.tick(4.0)
        self.assertEqual(append.record.server, "m1")
        policy.observe(LogRecord(offset=0, record=append.record), 4.1)
        self.assertIsInstance(policy.tick(11.0)[0], ReadServer)
        (release,) = policy.tick(11.1)
        self.assertIsInstance(release.record, ReleaseRecord)
        policy.observe(LogRecord(offset=1, record=release.record), 14.2)
        self.assertEqual(policy.tick(14.2), [])

    def test_draining_instance_releases_its_grant_and_appends_no_other(self):
        policy = make_holder()
        policy.observe(DrainStarted(), 0.6)
        policy.observe(make_report("m0", V1, 0.6), 0.6)
        (action,) = policy.tick(0.6)
        self.assertIsInstance(action.record, ReleaseRecord)
        released = LogRecord(offset=8, record=action.record)
        policy.observe(released, 0.7)
        self.assertEqual(policy.tick(5.0), [])

    def test_report_time_is_bounded_by_the_request_of_the_previous_report(self):
        ages = ReportTimeBounds(max_lag=5.0).reset()
        self.assertEqual(ages.estimate_earliest_time("m0", "1", 4, 10.0), 5.0)
        self.assertEqual(ages.estimate_earliest_time("m0", "1", 4, 11.0), 6.0)
        self.assertEqual(ages.estimate_earliest_time("m0", "1", 5, 12.0), 11.0)
        self.assertEqual(ages.estimate_earliest_time("m0", "1", 5, 13.0), 11.0)
        self.assertIsNone(ages.estimate_earliest_time("m0", "1", 4, 14.0))
        self.assertEqual(ages.estimate_earliest_time("m0", "2", 0, 14.0), 13.0)

    def test_encoded_record_is_decoded_and_invalid_bytes_give_no_record(self):
        fold = GrantFold().reset()
        fold.apply(3, make_grant(1))
        release = ReleaseRecord(record_id="r", slot=0, grant=3)
        for record in (make_grant(1), release, fold.build_carry_record("c")):
            self.assertEqual(decode_order_record(encode_order_record(record)), record)
        for data in (b"", b"{}", b'{"grant": 1}', b"\xff"):
            self.assertTrue(NO_RECORD.has_same_name(decode_order_record(data)))

    def test_role_change_is_not_ordered_if_keep_share_is_one(self):
        policy = make_policy(keep_share=1.0)
        policy.observe(
            make_report("m0", Target(versions={"x": "v2"}, role="p"), 0.0), 0.0
        )
        policy.observe(make_report("m1", V2, 0.0), 0.0)
        self.assertEqual(policy.tick(0.1), [])
