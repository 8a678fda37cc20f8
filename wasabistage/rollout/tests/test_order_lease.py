import unittest

from wasabistage.exceptions import SettingError
from wasabistage.rollout import (
    NOT_MY_TURN,
    NOT_READ,
    OTHER_HOLDS,
    TOO_SOON,
    LeaseQuery,
    LeaseRecord,
    LeaseRecordAppended,
    OrderFenced,
    OrderLease,
    TopicRead,
)


def wave(offset, holder, *servers, incarnation="life"):
    return LeaseRecord(
        offset=offset, holder=holder, incarnation=incarnation, servers=servers
    )


def ask(*servers, place=0):
    return LeaseQuery(servers=servers, place=place)


class OrderLeaseTest(unittest.TestCase):
    def setUp(self):
        self.lease = OrderLease(
            "a", "life", lease=1.5, turn_time=3.0, stagger=0.3
        ).reset()

    def hold(self, now, *servers):
        claim = self.lease.decide(ask(*servers), now)
        record = wave(claim.expected_end, "a", *claim.servers)
        self.lease.observe(LeaseRecordAppended(record=record, begun_at=now), now + 0.01)

    def test_bad_times_are_refused(self):
        with self.assertRaises(SettingError):
            OrderLease("a", "life", lease=0.0).reset()

    def test_nothing_is_claimed_before_the_topic_was_read(self):
        self.assertTrue(self.lease.decide(ask("s1"), 0.0).has_same_name(NOT_READ))
        self.lease.observe(TopicRead(end=0), 0.1)
        self.assertEqual(self.lease.decide(ask("s1"), 0.1).expected_end, 0)

    def test_later_places_wait(self):
        self.lease.observe(TopicRead(end=0), 0.0)
        self.assertTrue(
            self.lease.decide(ask("s1", place=2), 0.0).has_same_name(NOT_MY_TURN)
        )
        self.assertTrue(self.lease.decide(ask("s1", place=2), 0.7))

    def test_orders_leave_only_within_the_lease_and_for_named_servers(self):
        self.lease.observe(TopicRead(end=0), 0.0)
        self.hold(10.0, "s1")
        self.assertTrue(self.lease.may_send("s1", 11.49))
        self.assertFalse(self.lease.may_send("s1", 11.5))
        self.assertFalse(self.lease.may_send("s2", 10.1))

    def test_next_wave_keeps_the_permission_of_the_one_before(self):
        self.lease.observe(TopicRead(end=0), 0.0)
        self.hold(10.0, "s1")
        self.hold(10.3, "s2")
        self.assertTrue(self.lease.may_send("s1", 10.5))
        self.assertTrue(self.lease.may_send("s2", 10.5))

    def test_successor_waits_for_the_lease_and_then_for_the_turn(self):
        self.lease.observe(wave(0, "b", "s1"), 10.0)
        self.assertTrue(
            self.lease.decide(ask("s1", "s2"), 11.0).has_same_name(OTHER_HOLDS)
        )
        claim = self.lease.decide(ask("s1", "s2"), 11.6)
        self.assertEqual(claim.servers, ("s2",))
        self.assertTrue(self.lease.decide(ask("s1"), 11.6).has_same_name(TOO_SOON))
        self.assertEqual(self.lease.decide(ask("s1"), 14.6).servers, ("s1",))

    def test_servers_of_another_holder_are_barred_until_the_turn_has_passed(self):
        self.lease.observe(wave(0, "b", "s1", "s2"), 10.0)
        self.hold(11.6, "s3")
        self.assertEqual(self.lease.excluded_servers(11.7), {"s1", "s2"})
        self.assertEqual(self.lease.excluded_servers(14.5), frozenset())

    def test_record_of_another_ends_the_own_lease_and_raises_the_number(self):
        self.lease.observe(TopicRead(end=0), 0.0)
        self.hold(10.0, "s1")
        first = self.lease.fencing_
        self.lease.observe(wave(1, "b", "s2"), 10.2)
        self.assertFalse(self.lease.may_send("s1", 10.3))
        self.assertGreater(self.lease.fencing_, first)

    def test_number_stays_while_the_holder_stays(self):
        self.lease.observe(TopicRead(end=0), 0.0)
        self.hold(10.0, "s1")
        first = self.lease.fencing_
        self.hold(20.0, "s2")
        self.assertEqual(self.lease.fencing_, first)

    def test_refusal_by_a_server_ends_the_lease(self):
        self.lease.observe(TopicRead(end=0), 0.0)
        self.hold(10.0, "s1")
        self.lease.observe(OrderFenced(), 10.1)
        self.assertFalse(self.lease.may_send("s1", 10.2))

    def test_old_record_read_again_changes_nothing(self):
        self.lease.observe(TopicRead(end=0), 0.0)
        self.hold(10.0, "s1")
        self.lease.observe(wave(0, "a", "s1"), 10.2)
        self.assertTrue(self.lease.may_send("s1", 10.3))


if __name__ == "__main__":
    unittest.main()
