"""Holding of requests that exceed their account's limit for a short time."""

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

RATE_TOKENS_PER_SECOND = 1000.0
ACCOUNT = ClientAccount(name="school", rate=RATE_TOKENS_PER_SECOND)


def build_arrival(request_id, cost=900.0, rank=Rank.INTERACTIVE, deadline_at=10.0):
    return RequestArrived(
        request_id=request_id,
        account="school",
        rank=rank,
        service="hints",
        cost=cost,
        deadline_at=deadline_at,
    )


class TestHoldPolicy(unittest.TestCase):
    def setUp(self):
        limiter = ShareLimiter(entry="entry-1", accounts={"school": ACCOUNT})
        self.admission = EntryAdmission(limiter=limiter).reset()
        self.admission.observe(EntriesChanged(members={"entry-1": 1}), 0.0)
        self.admission.observe(CapacityChanged(service="hints", slots=8), 0.0)

    def observe(self, event, now):
        return self.admission.observe(event, now)

    def run_until(self, end, now=0.0):
        """Tick every 0.1 s; return the grants and refusals with their times."""
        found = []
        while now < end:
            now += 0.1
            found += [
                (action, now)
                for action in self.admission.tick(now)
                if isinstance(action, (GrantSlot, Refuse))
            ]
        return found

    def test_request_over_the_limit_is_granted_when_the_limit_allows(self):
        self.assertIsInstance(self.observe(build_arrival("a"), 0.0)[0], GrantSlot)
        self.assertEqual(self.observe(build_arrival("b"), 0.0), [])
        (granted, at), *rest = self.run_until(3.0)
        self.assertEqual((granted.request_id, rest), ("b", []))
        # Of 1,000 tokens 100 are left; the missing 800 arrive in 0.8 s.
        self.assertGreaterEqual(at, 0.8)

    def test_request_with_a_wait_too_long_for_its_deadline_is_refused_at_once(self):
        self.observe(build_arrival("a"), 0.0)
        (refused,) = self.observe(build_arrival("b", deadline_at=2.0), 0.0)
        self.assertIsInstance(refused, Refuse)
        self.assertEqual(refused.reason.name, ACCOUNT_LIMIT.name)

    def test_request_with_a_distant_deadline_is_held_at_most_max_wait(self):
        self.observe(build_arrival("a", deadline_at=120.0), 0.0)
        for index in range(20):
            self.observe(build_arrival(f"r{index}", deadline_at=120.0), 0.0)
        ended = self.run_until(4.0)
        self.assertEqual(len(ended), 20)
        longest = self.admission.delays_.max_wait
        self.assertLessEqual(max(at for _, at in ended), longest + 0.2)

    def test_held_request_is_never_granted_after_cancellation(self):
        self.observe(build_arrival("a"), 0.0)
        self.observe(build_arrival("b"), 0.0)
        self.observe(RequestCancelled(request_id="b"), 0.1)
        self.assertEqual(self.run_until(3.0), [])
        self.assertEqual(self.admission.delays_.held_counts_, {})

    def test_request_above_max_held_of_its_account_is_refused(self):
        self.observe(build_arrival("a"), 0.0)
        bound = self.admission.delays_.max_held
        actions = [self.observe(build_arrival(f"r{i}"), 0.0) for i in range(bound + 1)]
        self.assertEqual(actions[:bound], [[]] * bound)
        self.assertIsInstance(actions[bound][0], Refuse)

    def test_every_held_request_is_granted_or_refused_once(self):
        self.observe(build_arrival("a"), 0.0)
        names = [f"r{i}" for i in range(10)]
        for name in names:
            self.observe(build_arrival(name), 0.0)
        ended = [action.request_id for action, _ in self.run_until(12.0)]
        self.assertEqual(sorted(ended), sorted(names))

    def test_urgent_request_is_granted_while_the_bucket_is_empty(self):
        self.observe(build_arrival("a", cost=1000.0), 0.0)
        (granted,) = self.observe(
            build_arrival("buy", cost=50.0, rank=Rank.URGENT), 0.0
        )
        self.assertIsInstance(granted, GrantSlot)

    def test_urgent_requests_overdraw_the_bucket_up_to_the_bound(self):
        self.observe(build_arrival("a", cost=1000.0), 0.0)
        granted = 0
        for index in range(100):
            actions = self.observe(
                build_arrival(
                    f"buy{index}", cost=50.0, rank=Rank.URGENT, deadline_at=0.1
                ),
                0.0,
            )
            granted += isinstance(actions[0], GrantSlot)
            self.observe(RequestFinished(request_id=f"buy{index}"), 0.0)
        self.assertEqual(granted, RATE_TOKENS_PER_SECOND / 50.0)
