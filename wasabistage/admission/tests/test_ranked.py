"""Invariants and behaviour of the ranked fair queue."""

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from wasabistage.admission import (
    DEADLINE_UNREACHABLE,
    EXPIRED,
    NO_CAPACITY,
    QUEUE_FULL,
    CapacityChanged,
    Drop,
    FirstComeFirstServed,
    GrantSlot,
    RankedFairQueue,
    RankFloorsChanged,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    StrictPriority,
    WaitQuery,
    WeightsChanged,
)
from wasabistage.base import Rank
from wasabistage.exceptions import ConflictError, DeadlineError, SettingError

FLOORS = {Rank.URGENT: 0.5, Rank.INTERACTIVE: 0.3, Rank.BACKGROUND: 0.05}
FOREVER = 1e9


def arrive(request_id, *, account="a", rank=Rank.URGENT, cost=100.0, until=FOREVER):
    return RequestArrived(
        request_id=request_id,
        account=account,
        rank=rank,
        service="s",
        cost=cost,
        deadline_at=until,
    )


def make_queue(slots=1, **arguments):
    queue = RankedFairQueue(**arguments).reset()
    queue.observe(CapacityChanged(service="s", slots=slots), 0.0)
    return queue


def granted(actions):
    return [action.request_id for action in actions if isinstance(action, GrantSlot)]


OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(["arrive"] * 4 + ["finish"] * 3 + ["cancel", "tick", "slots"]),
        st.integers(0, 1000),
        st.sampled_from([0.0, 0.01, 0.3, 2.0]),
    ),
    max_size=80,
)
POLICIES = st.sampled_from(
    [
        lambda: RankedFairQueue(max_queued=3, headroom=0.0),
        lambda: RankedFairQueue(max_queued=3, headroom=1.0),
        lambda: StrictPriority(max_queued=3),
        lambda: FirstComeFirstServed(max_queued=3),
    ]
)


class Witness:
    """Plays operations and checks every action against its own ledger."""

    def __init__(self, policy):
        self.policy = policy
        self.now = 0.0
        self.count = 0
        self.slots = 3
        self.waiting = {}
        self.running = set()
        self.answered = set()
        self.take(CapacityChanged(service="s", slots=3))

    def play(self, operation, number, passed):
        self.now += passed
        if operation == "arrive":
            self.arrive(number)
        elif operation == "tick":
            self.check(self.policy.tick(self.now))
        elif operation == "slots":
            self.slots = number % 5
            self.take(CapacityChanged(service="s", slots=self.slots))
        elif operation == "finish" and self.running:
            request_id = sorted(self.running)[number % len(self.running)]
            self.running.remove(request_id)
            self.take(RequestFinished(request_id=request_id, cost=float(number)))
        elif operation == "cancel":
            self.cancel(number)

    def arrive(self, number):
        self.count += 1
        event = arrive(
            f"{self.count:04}",
            account=f"account-{number % 3}",
            rank=Rank(number % 3),
            cost=float(number % 7),
            until=self.now + 1 + number % 4,
        )
        self.waiting[event.request_id] = event
        self.take(event)

    def cancel(self, number):
        names = sorted(self.running | set(self.waiting))
        if names:
            request_id = names[number % len(names)]
            self.running.discard(request_id)
            self.waiting.pop(request_id, None)
            self.take(RequestCancelled(request_id=request_id))

    def take(self, event):
        self.check(self.policy.observe(event, self.now))

    def check(self, actions):
        for action in actions:
            assert action.request_id not in self.answered, "answered twice"
            self.answered.add(action.request_id)
            event = self.waiting.pop(action.request_id)
            if isinstance(action, GrantSlot):
                assert event.deadline_at > self.now, "granted after its deadline"
                self.running.add(action.request_id)
                assert len(self.running) <= self.slots, "more than the slots"
            else:
                assert isinstance(action, Refuse)
                assert action.retry_after > 0
        assert set(self.policy.requests_) == self.running | set(self.waiting)
        for rank in Rank:
            queued = [e for e in self.waiting.values() if e.rank is rank]
            assert len(queued) <= self.policy.max_queued

    def check_idle(self):
        if getattr(self.policy, "headroom", 0.0) == 0.0:
            live = [e for e in self.waiting.values() if e.deadline_at > self.now]
            assert not live or len(self.running) >= self.slots, "idle beside work"


class TestInvariants(unittest.TestCase):
    @seed(5)
    @settings(max_examples=150, deadline=None, database=None)
    @given(POLICIES, OPERATIONS)
    def test_no_request_is_lost_doubled_or_late(self, make_policy, operations):
        witness = Witness(make_policy().reset())
        for operation in operations:
            witness.play(*operation)
            witness.check_idle()
        witness.slots = 3
        witness.take(CapacityChanged(service="s", slots=3))
        for _ in range(200):
            witness.play("finish", 0, 0.01)
        witness.play("tick", 0, 10.0)
        self.assertEqual(witness.waiting, {})
        self.assertEqual(len(witness.policy.deadlines_), 0)


class TestFloors(unittest.TestCase):
    def play(self, queue, slots, seconds, arrivals):
        """Keep every listed rank backlogged; return slot-seconds by rank."""
        used = dict.fromkeys(Rank, 0.0)
        running, now, count = [], 0.0, 0
        while now < seconds:
            for rank in arrivals:
                count += 1
                event = arrive(
                    f"{rank.value}-{count}", rank=rank, account=f"{count % 5}"
                )
                running += [(now + 1, r) for r in granted(queue.observe(event, now))]
            due = [request_id for at, request_id in running if at <= now]
            running = [(at, r) for at, r in running if at > now]
            for request_id in due:
                used[Rank(int(request_id[0]))] += 1.0
                ids = granted(
                    queue.observe(RequestFinished(request_id=request_id), now)
                )
                running += [(now + 1, r) for r in ids]
            now = round(now + 0.05, 2)
        return {rank: used[rank] / (slots * seconds) for rank in Rank}

    def test_each_rank_keeps_its_floor_in_an_urgent_flood(self):
        for slots in (3, 7, 20):
            queue = make_queue(slots, rank_floors=FLOORS, max_queued=20)
            shares = self.play(queue, slots, 100.0, tuple(Rank))
            for rank in Rank:
                self.assertGreater(shares[rank], 0.9 * FLOORS[rank], (slots, rank))
            self.assertGreater(sum(shares.values()), 0.95)

    def test_strict_priority_starves_the_others(self):
        queue = StrictPriority(max_queued=20).reset()
        queue.observe(CapacityChanged(service="s", slots=7), 0.0)
        shares = self.play(queue, 7, 50.0, tuple(Rank))
        self.assertLess(shares[Rank.INTERACTIVE], 0.01)

    def test_a_floor_without_work_is_lent(self):
        queue = make_queue(7, rank_floors=FLOORS, max_queued=20)
        shares = self.play(queue, 7, 50.0, (Rank.BACKGROUND,))
        self.assertGreater(shares[Rank.BACKGROUND], 0.95)

    def test_unused_credit_is_not_saved_up(self):
        queue = make_queue(1, rank_floors=FLOORS)
        queue.observe(arrive("u0"), 0.0)
        queue.tick(1000.0)
        queue.observe(arrive("b0", rank=Rank.BACKGROUND), 1000.0)
        queue.observe(arrive("u1"), 1000.0)
        actions = queue.observe(RequestFinished(request_id="u0"), 1000.0)
        self.assertEqual(granted(actions), ["u1"])

    def test_floors_change_with_the_configuration(self):
        queue = make_queue(10, rank_floors={})
        queue.observe(RankFloorsChanged(floors={Rank.BACKGROUND: 0.6}), 0.0)
        shares = self.play(queue, 10, 50.0, tuple(Rank))
        self.assertGreater(shares[Rank.BACKGROUND], 0.54)

    def test_bad_arguments_are_refused(self):
        for arguments in (
            {"rank_floors": {Rank.URGENT: 0.8, Rank.BACKGROUND: 0.3}},
            {"rank_floors": {Rank.URGENT: -0.1}},
            {"max_queued": 0},
            {"headroom": -1.0},
            {"wait_part": 0.0},
        ):
            with self.assertRaises(SettingError):
                RankedFairQueue(**arguments).reset()


class TestFairness(unittest.TestCase):
    def serve(self, queue, count, cost_of):
        """Serve one at a time; return tokens by account."""
        served, now, current = {}, 0.0, "first"
        for _ in range(count):
            now += 1.0
            cost = cost_of(current)
            actions = queue.observe(RequestFinished(request_id=current, cost=cost), now)
            (current,) = granted(actions)
            account = current.split("-")[0]
            served[account] = served.get(account, 0.0) + cost_of(current)
        return served

    def fill(self, queue, costs, count=200):
        queue.observe(arrive("first"), 0.0)
        for n in range(count):
            for account, cost in costs.items():
                queue.observe(arrive(f"{account}-{n}", account=account, cost=cost), 0.0)

    def test_accounts_share_tokens_not_requests(self):
        queue = make_queue()
        self.fill(queue, {"x": 10.0, "y": 40.0})
        served = self.serve(queue, 100, lambda r: 10.0 if r[0] == "x" else 40.0)
        self.assertAlmostEqual(served["x"] / served["y"], 1.0, delta=0.1)

    def test_weights(self):
        queue = make_queue()
        weights = WeightsChanged(service="s", weights={"x": 3.0})
        queue.observe(weights, 0.0)
        self.fill(queue, {"x": 10.0, "y": 10.0})
        served = self.serve(queue, 100, lambda r: 10.0)
        self.assertAlmostEqual(served["x"] / served["y"], 3.0, delta=0.3)

    def test_an_estimate_below_the_actual_cost_gains_nothing(self):
        queue = make_queue()
        self.fill(queue, {"x": 1.0, "y": 50.0})
        served = self.serve(queue, 100, lambda r: 50.0)
        self.assertAlmostEqual(served["x"] / served["y"], 1.0, delta=0.2)


class TestRefusals(unittest.TestCase):
    def test_the_heaviest_account_gives_way_at_the_bound(self):
        queue = make_queue(max_queued=4)
        queue.observe(arrive("running"), 0.0)
        for n in range(4):
            queue.observe(arrive(f"x{n}", account="x"), 0.0)
        (dropped,) = queue.observe(arrive("y0", account="y"), 0.0)
        self.assertIsInstance(dropped, Drop)
        self.assertEqual((dropped.request_id, dropped.reason), ("x3", QUEUE_FULL))
        (refused,) = queue.observe(arrive("x9", account="x"), 0.0)
        self.assertEqual(refused.request_id, "x9")
        self.assertNotIsInstance(refused, Drop)

    def test_a_hopeless_request_is_refused_at_arrival(self):
        queue = make_queue()
        queue.observe(arrive("r0"), 0.0)
        for n in range(1, 21):
            queue.observe(arrive(f"r{n}"), 0.0)
        (refused,) = queue.observe(arrive("late", until=2.0), 0.0)
        self.assertEqual(refused.reason, DEADLINE_UNREACHABLE)
        self.assertGreater(refused.retry_after, 2.0)
        self.assertEqual(refused.build_error().retry_after, refused.retry_after)

    def test_a_saturated_account_may_wait_only_part_of_its_deadline(self):
        queue = make_queue(rank_floors={})
        for n in range(4):
            queue.observe(arrive(f"r{n}"), 0.0)
        event = WeightsChanged(service="s", saturated=frozenset({"a"}))
        queue.observe(event, 0.0)
        (refused,) = queue.observe(arrive("r9", until=5.0), 0.0)
        self.assertEqual(refused.reason, DEADLINE_UNREACHABLE)
        queue.observe(WeightsChanged(service="s"), 0.0)
        self.assertEqual(queue.observe(arrive("r8", until=5.0), 0.0), [])

    def test_expired_work_is_dropped_and_not_granted(self):
        queue = make_queue()
        queue.observe(arrive("r0"), 0.0)
        queue.observe(arrive("r1", until=1.0), 0.0)
        (dropped,) = queue.observe(RequestFinished(request_id="r0"), 1.0)
        self.assertEqual((dropped.request_id, dropped.reason), ("r1", EXPIRED))
        self.assertIsInstance(dropped.build_error(), DeadlineError)

    def test_a_service_takes_no_slot_of_another(self):
        queue = make_queue()
        queue.observe(CapacityChanged(service="other", slots=1), 0.0)
        for n in range(50):
            queue.observe(arrive(f"r{n}"), 0.0)
        event = RequestArrived(
            request_id="o",
            account="a",
            rank=Rank.BACKGROUND,
            service="other",
            cost=1.0,
            deadline_at=1.0,
        )
        self.assertEqual(granted(queue.observe(event, 0.0)), ["o"])

    def test_without_slots_and_with_a_known_id(self):
        queue = RankedFairQueue().reset()
        (refused,) = queue.observe(arrive("r0"), 0.0)
        self.assertEqual(refused.reason, NO_CAPACITY)
        query = WaitQuery(service="s", rank=Rank.URGENT, account="a")
        self.assertFalse(queue.decide(query, 0.0))
        queue.observe(CapacityChanged(service="s", slots=1), 0.0)
        queue.observe(arrive("r0"), 0.0)
        with self.assertRaises(ConflictError):
            queue.observe(arrive("r0"), 0.0)

    def test_retry_after_is_spread(self):
        queue = RankedFairQueue().reset()
        times = {queue.observe(arrive("r"), 0.0)[0].retry_after for _ in range(50)}
        self.assertEqual(len(times), 50)
        self.assertGreaterEqual(max(times) / min(times), 1.5)

    def test_cancelling_leaves_nothing_behind(self):
        queue = make_queue()
        queue.observe(arrive("running"), 0.0)
        for n in range(2000):
            queue.observe(arrive(f"r{n}", account=f"a{n}"), 0.0)
            queue.observe(RequestCancelled(request_id=f"r{n}"), 0.0)
        line = queue.services_["s"].lines[Rank.URGENT]
        self.assertEqual(len(queue.requests_), 1)
        self.assertLess(len(queue.deadlines_), 200)
        self.assertLessEqual(len(line.accounts), 1024)


if __name__ == "__main__":
    unittest.main()
