import os
import unittest

from wasabistage.rollout import GrantRecord, RolloutPolicy, SendOrder, Target
from wasabistage.rollout.tests.world import World

# More schedules by WASABISTAGE_SCHEDULES, such as in the long form of the proofs.
SCHEDULES = int(os.environ.get("WASABISTAGE_SCHEDULES", "16"))
PUBLISHED = 10
SETTLE_TIME = 70.0  # seconds


class NoLeaseCheck(RolloutPolicy):
    """Mechanism off: sends whatever the time."""

    def may_send(self, order, now):
        return True


class NoWait(RolloutPolicy):
    """Mechanism off: a successor doesn't wait for the lease to end."""

    def _next_takeover(self, now):
        for slot, state in self.fold_.get_granted_slots():
            if state.fencing not in self.held_grants_.grants_:
                return self._claim(slot, state, state.grant.server)
        return None


class NoCorrection(RolloutPolicy):
    """Mechanism off: any grant in the log for a version means that it took effect."""

    def reset(self):
        self.ordered = set()
        return super().reset()

    def observe(self, event, now):
        super().observe(event, now)
        record = getattr(event, "record", None)
        if isinstance(record, GrantRecord):
            self.ordered.add((record.server, record.config_version))

    def _next_claims(self, now):
        return [
            claim
            for claim in super()._next_claims(now)
            if (claim.server, claim.config_version) not in self.ordered
        ]


class NoSlots(RolloutPolicy):
    """Mechanism off: a slot for every server."""

    def slot_count(self):
        return 6


def explore(seed, kind=RolloutPolicy, checks_fencing=True):
    world = World(seed, kind, checks_fencing)
    world.run(1.0)
    for number in range(PUBLISHED):
        world.publish("v2" if number % 2 else "v3")
        world.run(world.now + world.draws.uniform(2.0, 10.0), faults=True)
    world.log_down_until = 0.0
    for entry in world.entries:
        entry.paused_until = min(entry.paused_until, world.now + 30.0)
    world.run(world.now + SETTLE_TIME)
    return world


def harms(world):
    found = set()
    if world.max_loading > 2:
        found.add("too many loads")
    if world.versions() != {"v2"}:
        found.add("wrong version")
    if any(world.held()):
        found.add("slot not freed")
    return found


class TestExplore(unittest.TestCase):
    def test_no_harm_in_any_schedule(self):
        for checks_fencing in (True, False):
            for seed in range(SCHEDULES):
                with self.subTest(seed=seed, checks_fencing=checks_fencing):
                    self.assertEqual(
                        harms(explore(seed, checks_fencing=checks_fencing)), set()
                    )

    def test_each_mechanism_off_is_found(self):
        cases = (
            (NoLeaseCheck, "too many loads"),
            (NoWait, "too many loads"),
            (NoSlots, "too many loads"),
        )
        for kind, harm in cases:
            with self.subTest(kind=kind.__name__):
                found = (
                    harm in harms(explore(seed, kind, checks_fencing=False))
                    for seed in range(400)
                )
                self.assertTrue(any(found))

    def late_order(self, kind, checks_fencing):
        """Deliver a holder's order long after its successor's."""
        world = World(5, kind, checks_fencing)
        world.run(1.0)
        world.publish("v2")
        world.run(20.0)
        stale = Target(versions={"x": "v1"})
        world.deliver(SendOrder(server="m5", fencing=0, target=stale), None)
        world.run(21.0)
        hurt = world.versions()
        world.run(60.0)
        return hurt, world.versions()

    def test_late_order_is_refused_or_corrected(self):
        self.assertEqual(self.late_order(RolloutPolicy, True), ({"v2"}, {"v2"}))
        hurt, after = self.late_order(RolloutPolicy, False)
        self.assertEqual((hurt, after), ({"v1", "v2"}, {"v2"}))

    def test_without_correction_a_late_order_lasts(self):
        _, after = self.late_order(NoCorrection, False)
        self.assertEqual(after, {"v1", "v2"})

    def test_fencing_numbers_of_a_server_increase(self):
        for seed in range(4):
            world = explore(seed)
            seen = {}
            for order in world.accepted:
                self.assertGreaterEqual(order.fencing, seen.get(order.server, -1))
                seen[order.server] = order.fencing

    def test_log_down_gives_no_new_grants_and_ends_running_orders(self):
        world = World(3)
        world.run(1.0)
        world.publish("v2")
        while not world.accepted:
            world.step()
        world.log_down_until = 60.0
        world.append = lambda record: None
        begun = len(world.log)
        world.run(30.0)
        self.assertEqual(len(world.log), begun)
        self.assertFalse(any(s.loading for s in world.servers.values()))
        self.assertIn("v2", world.versions())
        self.assertLessEqual(len(world.accepted), 2)
