"""Random schedules of faults, and the violations that occur without a mechanism."""

import os
import unittest

from wasabistage.rollout import GrantRecord, RolloutPolicy, SendOrder, Target
from wasabistage.rollout.tests.world import World

#: Number of seeds; ``tools.proofs`` sets a larger one.
SCHEDULE_COUNT = int(os.environ.get("WASABISTAGE_SCHEDULES", "16"))
PUBLICATION_COUNT = 10
SETTLE_SECONDS = 70.0


class WithoutLeaseCheck(RolloutPolicy):
    """Policy that sends orders without checking its lease."""

    def may_send(self, order, now):
        return True


class WithoutLeaseWait(RolloutPolicy):
    """Policy that takes over a grant without waiting for its lease to end."""

    def _select_takeover(self, now):
        for slot, state in self.fold_.get_granted_slots():
            if state.fencing not in self.held_grants_.grants_:
                return self._build_grant(slot, state, state.grant.server)
        return None


class WithoutCorrection(RolloutPolicy):
    """Policy that orders a server once per configuration version.

    It takes any grant in the log as proof that the order took effect.
    """

    def reset(self):
        self.ordered = set()
        return super().reset()

    def observe(self, event, now):
        super().observe(event, now)
        record = getattr(event, "record", None)
        if isinstance(record, GrantRecord):
            self.ordered.add((record.server, record.config_version))

    def _select_grants(self, now):
        return [
            grant
            for grant in super()._select_grants(now)
            if (grant.server, grant.config_version) not in self.ordered
        ]


class WithoutSlotLimit(RolloutPolicy):
    """Policy with a slot for every server."""

    def get_slot_count(self):
        return 6


def run_schedule(seed, policy_class=RolloutPolicy, checks_fencing=True):
    world = World(seed, policy_class, checks_fencing)
    world.run(1.0)
    for number in range(PUBLICATION_COUNT):
        world.publish("v2" if number % 2 else "v3")
        world.run(world.now + world.rng.uniform(2.0, 10.0), faults=True)
    world.log_down_until = 0.0
    for entry in world.entries:
        entry.paused_until = min(entry.paused_until, world.now + 30.0)
    world.run(world.now + SETTLE_SECONDS)
    return world


def find_violations(world):
    found = set()
    if world.max_loading > 2:
        found.add("too many loads")
    if world.versions() != {"v2"}:
        found.add("wrong version")
    if any(world.granted_slots()):
        found.add("slot not freed")
    return found


class TestSchedules(unittest.TestCase):
    def test_random_schedules_cause_no_violation(self):
        for checks_fencing in (True, False):
            for seed in range(SCHEDULE_COUNT):
                with self.subTest(seed=seed, checks_fencing=checks_fencing):
                    self.assertEqual(
                        find_violations(
                            run_schedule(seed, checks_fencing=checks_fencing)
                        ),
                        set(),
                    )

    def test_schedules_without_a_mechanism_cause_its_violation(self):
        cases = (
            (WithoutLeaseCheck, "too many loads"),
            (WithoutLeaseWait, "too many loads"),
            (WithoutSlotLimit, "too many loads"),
        )
        for policy_class, violation in cases:
            with self.subTest(policy_class=policy_class.__name__):
                found = (
                    violation
                    in find_violations(
                        run_schedule(seed, policy_class, checks_fencing=False)
                    )
                    for seed in range(400)
                )
                self.assertTrue(any(found))

    def deliver_stale_order(self, policy_class, checks_fencing):
        """Deliver an order with a lower fencing number after the rollout has ended.

        Return the versions that the servers run 1 s and 40 s later.
        """
        world = World(5, policy_class, checks_fencing)
        world.run(1.0)
        world.publish("v2")
        world.run(20.0)
        stale = Target(versions={"x": "v1"})
        world.deliver(SendOrder(server="m5", fencing=0, target=stale), None)
        world.run(21.0)
        soon_after = world.versions()
        world.run(60.0)
        return soon_after, world.versions()

    def test_stale_order_is_refused_or_corrected(self):
        self.assertEqual(
            self.deliver_stale_order(RolloutPolicy, True), ({"v2"}, {"v2"})
        )
        soon_after, later = self.deliver_stale_order(RolloutPolicy, False)
        self.assertEqual((soon_after, later), ({"v1", "v2"}, {"v2"}))

    def test_stale_order_without_correction_stays_in_effect(self):
        _, later = self.deliver_stale_order(WithoutCorrection, False)
        self.assertEqual(later, {"v1", "v2"})

    def test_fencing_numbers_of_accepted_orders_never_decrease_per_server(self):
        for seed in range(4):
            world = run_schedule(seed)
            highest = {}
            for order in world.accepted:
                self.assertGreaterEqual(order.fencing, highest.get(order.server, -1))
                highest[order.server] = order.fencing

    def test_log_outage_gives_no_new_grant_and_lets_running_orders_end(self):
        world = World(3)
        world.run(1.0)
        world.publish("v2")
        while not world.accepted:
            world.step()
        world.log_down_until = 60.0
        world.append = lambda record: None
        length = len(world.log)
        world.run(30.0)
        self.assertEqual(len(world.log), length)
        self.assertFalse(any(s.loading for s in world.servers.values()))
        self.assertIn("v2", world.versions())
        self.assertLessEqual(len(world.accepted), 2)
