import unittest

from wasabistage.admission import (
    ACCOUNT_LIMIT,
    CapacityChanged,
    EntriesChanged,
    EntryAdmission,
    GrantSlot,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    ShareLimiter,
)
from wasabistage.base import Rank
from wasabistage.declarations import ClientAccount

RATE = 1000.0
ACCOUNT = ClientAccount(name="school", rate=RATE)


def arrive(name, cost=900.0, rank=Rank.INTERACTIVE, deadline_at=10.0):
    return RequestArrived(
        request_id=name,
        account="school",
        rank=rank,
        service="hints",
        cost=cost,
        deadline_at=deadline_at,
    )


class TestDelays(unittest.TestCase):
    def setUp(self):
        limiter = ShareLimiter(entry="entry-1", accounts={"school": ACCOUNT})
        self.admission = EntryAdmission(limiter=limiter).reset()
        self.admission.observe(EntriesChanged(members={"entry-1": 1}), 0.0)
        self.admission.observe(CapacityChanged(service="hints", slots=8), 0.0)

    def observe(self, event, now):
        return self.admission.observe(event, now)

    def run_until(self, end, now=0.0):
        found = []
        while now < end:
            now += 0.1
            found += [
                (action, now)
                for action in self.admission.tick(now)
                if isinstance(action, (GrantSlot, Refuse))
            ]
        return found

    def test_work_over_the_limit_waits_for_room(self):
        self.assertIsInstance(self.observe(arrive("a"), 0.0)[0], GrantSlot)
        self.assertEqual(self.observe(arrive("b"), 0.0), [])
        (granted, at), *rest = self.run_until(3.0)
        self.assertEqual((granted.request_id, rest), ("b", []))
        # 900 of 1,000 tokens are spent; 800 more come in over 0.8 s.
        self.assertGreaterEqual(at, 0.8)

    def test_long_waits_are_refused_at_once(self):
        self.observe(arrive("a"), 0.0)
        (refused,) = self.observe(arrive("b", deadline_at=2.0), 0.0)
        self.assertIsInstance(refused, Refuse)
        self.assertEqual(refused.reason.name, ACCOUNT_LIMIT.name)

    def test_distant_deadline_does_not_hold_a_caller_for_long(self):
        self.observe(arrive("a", deadline_at=120.0), 0.0)
        for index in range(20):
            self.observe(arrive(f"r{index}", deadline_at=120.0), 0.0)
        ended = self.run_until(4.0)
        self.assertEqual(len(ended), 20)
        longest = self.admission.delays_.max_wait
        self.assertLessEqual(max(at for _, at in ended), longest + 0.2)

    def test_gone_caller_is_never_granted(self):
        self.observe(arrive("a"), 0.0)
        self.observe(arrive("b"), 0.0)
        self.observe(RequestCancelled(request_id="b"), 0.1)
        self.assertEqual(self.run_until(3.0), [])
        self.assertEqual(self.admission.delays_.counts_, {})

    def test_bound_per_account(self):
        self.observe(arrive("a"), 0.0)
        bound = self.admission.delays_.max_held
        actions = [self.observe(arrive(f"r{i}"), 0.0) for i in range(bound + 1)]
        self.assertEqual(actions[:bound], [[]] * bound)
        self.assertIsInstance(actions[bound][0], Refuse)

    def test_every_held_request_ends_once(self):
        self.observe(arrive("a"), 0.0)
        names = [f"r{i}" for i in range(10)]
        for name in names:
            self.observe(arrive(name), 0.0)
        ended = [action.request_id for action, _ in self.run_until(12.0)]
        self.assertEqual(sorted(ended), sorted(names))

    def test_own_prompts_do_not_keep_purchases_out(self):
        self.observe(arrive("a", cost=1000.0), 0.0)
        (granted,) = self.observe(arrive("buy", cost=50.0, rank=Rank.URGENT), 0.0)
        self.assertIsInstance(granted, GrantSlot)

    def test_overdraft_is_bounded_and_paid_back(self):
        self.observe(arrive("a", cost=1000.0), 0.0)
        granted = 0
        for index in range(100):
            actions = self.observe(
                arrive(f"buy{index}", cost=50.0, rank=Rank.URGENT, deadline_at=0.1), 0.0
            )
            granted += isinstance(actions[0], GrantSlot)
            self.observe(RequestFinished(request_id=f"buy{index}"), 0.0)
        self.assertEqual(granted, RATE / 50.0)
