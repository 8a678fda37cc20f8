import unittest

from wasabistage.clients import (
    ChannelQuery,
    HoldingChanged,
    HoldingEnded,
    HoldingPolicy,
    RoomQuery,
    Stage,
    UnfinishedQuery,
)
from wasabistage.exceptions import SettingError

KIB = 1024
LIMIT = 40_000 * KIB
READ = 64 * KIB
ATTACKER = "192.0.2.1"
CALLERS = "192.0.2.2"


class FirstComePolicy(HoldingPolicy):
    """The simple approach: what does not fit is refused, and nothing is dropped."""

    def _iterate_drops(self, now, weigh, orders=None, group=None):
        return iter(())


class World:
    """Channels that receive requests and keep what they hold, as a policy decides.

    :param policy: the policy.
    """

    def __init__(self, policy):
        self.policy = policy.reset()
        self.open = {}
        self.now = 0.0
        self.served = 0
        self.highest = 0

    def change(self, holder, client, size, stage, group="callers"):
        """Change what a channel holds; return whether there was room."""
        grown = size - self.open.get(holder, 0)
        if holder not in self.open:
            first = HoldingChanged(
                holder=holder, client=client, group=group, size=0, stage=stage
            )
            self.policy.observe(first, self.now)
            self.open[holder] = 0
        decision = self.policy.decide(RoomQuery(holder=holder, size=grown), self.now)
        if not decision:
            self.close(holder)
            return False
        self.drop(decision.dropped)
        event = HoldingChanged(
            holder=holder, client=client, group=group, size=size, stage=stage
        )
        self.policy.observe(event, self.now)
        self.open[holder] = size
        self.highest = max(self.highest, sum(self.open.values()))
        return True

    def drop(self, holders):
        for holder in holders:
            del self.open[holder]

    def close(self, holder):
        if self.open.pop(holder, None) is not None:
            self.policy.observe(HoldingEnded(holder=holder), self.now)

    def receive(self, holder, client, size, step=READ):
        """Receive a whole request in steps; return whether it was kept."""
        for received in range(step, size + step, step):
            kept = self.change(holder, client, min(received, size), Stage.RECEIVING)
            if not kept:
                return False
        return True


def play_attack(policy, client=ATTACKER):
    """Play 150 large bodies that stop short, and ordinary requests among them.

    :return: the :class:`World` after 100 ordinary requests.
    """
    world = World(policy)
    for number in range(150):
        world.receive(f"attack-{number}", client, 3990 * KIB)
    for number in range(100):
        world.now += 0.05
        holder = f"call-{number}"
        if world.receive(holder, CALLERS, 72 * KIB):
            kept = world.change(holder, CALLERS, 72 * KIB, Stage.RUNNING)
            world.served += kept and holder in world.open
        if number >= 10:
            world.close(f"call-{number - 10}")
    return world


def make_policy(kind=HoldingPolicy, **changes):
    values = {
        "limit": LIMIT,
        "max_unfinished": 400,
        "max_channels": {"callers": 1000, "readiness": 8},
    }
    return kind(**{**values, **changes})


class AttackTest(unittest.TestCase):
    # Guards against ordinary requests that are refused as others hold all memory.
    def test_ordinary_requests_are_served_while_large_ones_stop_short(self):
        for client in (ATTACKER, CALLERS):
            with self.subTest(client):
                world = play_attack(make_policy(), client)
                self.assertEqual(world.served, 100)
                self.assertLessEqual(world.highest, LIMIT)

    def test_simple_approach_refuses_ordinary_requests(self):
        world = play_attack(make_policy(FirstComePolicy, large_share=1.0))
        self.assertLess(world.served, 50)
        self.assertLessEqual(world.highest, LIMIT)

    def test_large_request_is_served_while_another_client_holds_more(self):
        world = World(make_policy())
        for number in range(150):
            world.receive(f"attack-{number}", ATTACKER, 3990 * KIB)
        self.assertTrue(world.receive("call", CALLERS, 4096 * KIB))
        self.assertIn("call", world.open)

    # Guards against a request that is dropped while those that stopped are kept, when
    # all have the same address.
    def test_large_request_in_progress_goes_before_stopped_ones(self):
        world = World(make_policy())
        for number in range(150):
            world.receive(f"attack-{number}", CALLERS, 3990 * KIB)
        world.now = 1.0
        self.assertTrue(world.receive("call", CALLERS, 4096 * KIB))
        self.assertIn("call", world.open)


class KeptTest(unittest.TestCase):
    # Guards against a complete request that is dropped: it may have run.
    def test_complete_requests_are_kept_and_the_next_is_refused(self):
        world = World(make_policy())
        for number in range(9):
            holder = f"call-{number}"
            world.receive(holder, CALLERS, 4096 * KIB)
            world.change(holder, CALLERS, 4096 * KIB, Stage.RUNNING)
        running = len(world.open)
        self.assertFalse(world.receive("next", CALLERS, 4096 * KIB))
        self.assertEqual(len(world.open), running)
        # Complete large requests leave room for small ones.
        self.assertTrue(world.receive("small", CALLERS, 72 * KIB))

    # Guards against limits by address that bind while there is room.
    def test_one_address_may_hold_all_when_there_is_room(self):
        world = World(make_policy())
        for number in range(400):
            self.assertTrue(world.receive(f"call-{number}", CALLERS, 72 * KIB))
        self.assertEqual(len(world.open), 400)

    def test_unread_responses_go_before_idle_channels(self):
        world = World(make_policy())
        for number in range(100):
            world.change(f"idle-{number}", CALLERS, 24 * KIB, Stage.IDLE)
        for number in range(29):
            world.change(f"slow-{number}", CALLERS, 1024 * KIB, Stage.WRITING)
        world.now = 5.0
        self.assertTrue(world.receive("call", CALLERS, 72 * KIB))
        for number in range(130):
            world.change(f"run-{number}", CALLERS, 72 * KIB, Stage.RUNNING)
        idle = [holder for holder in world.open if holder.startswith("idle")]
        self.assertEqual(len(idle), 100)

    # Guards against callers that get no responses while others do not read theirs.
    def test_unread_responses_leave_room_for_small_and_later_large_ones(self):
        world = World(make_policy())
        for number in range(60):
            world.change(f"slow-{number}", ATTACKER, 1024 * KIB, Stage.WRITING)
        self.assertLessEqual(world.highest, 0.75 * LIMIT)
        self.assertTrue(world.change("small", CALLERS, 72 * KIB, Stage.RUNNING))
        world.now = 5.0
        self.assertTrue(world.change("large", CALLERS, 1024 * KIB, Stage.RUNNING))


class CountTest(unittest.TestCase):
    def test_unfinished_requests_are_bounded_by_those_of_the_busiest_client(self):
        world = World(make_policy())
        for number in range(20):
            world.change(f"call-{number}", CALLERS, 24 * KIB, Stage.RECEIVING)
        for number in range(400):
            world.change(f"attack-{number}", ATTACKER, 24 * KIB, Stage.RECEIVING)
            decision = world.policy.decide(UnfinishedQuery(), world.now)
            world.drop(decision.dropped)
        self.assertLessEqual(world.policy.unfinished_, 400)
        kept = [holder for holder in world.open if holder.startswith("call")]
        self.assertEqual(len(kept), 20)

    # Guards against probes that get no channel as others leave theirs open.
    def test_new_channel_replaces_unused_one_of_its_listener(self):
        world = World(make_policy())
        world.change("call", CALLERS, 24 * KIB, Stage.NEW)
        for number in range(8):
            world.change(f"s-{number}", ATTACKER, 1, Stage.NEW, "readiness")
        query = ChannelQuery(group="readiness")
        decision = world.policy.decide(query, world.now)
        self.assertEqual(decision.dropped, ("s-0",))

    def test_no_new_channel_while_all_serve_complete_requests(self):
        world = World(make_policy())
        for number in range(8):
            world.change(f"s-{number}", ATTACKER, 1, Stage.RUNNING, "readiness")
        query = ChannelQuery(group="readiness")
        self.assertFalse(world.policy.decide(query, world.now))

    def test_sums_are_those_of_the_open_channels(self):
        world = play_attack(make_policy())
        for holder in list(world.open):
            world.close(holder)
        policy = world.policy
        sums = (policy.held_, policy.large_, policy.unfinished_)
        self.assertEqual((sums, policy.channels_["callers"]), ((0, 0, 0), 0))

    def test_arguments_out_of_range_are_refused(self):
        for changes in ({"limit": 0}, {"max_unfinished": 0}, {"large_share": 2.0}):
            with self.subTest(changes), self.assertRaises(SettingError):
                make_policy(**changes).reset()


if __name__ == "__main__":
    unittest.main()
