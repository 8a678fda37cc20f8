"""Common limits and slot shares over several entries."""

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from wasabistage.admission import (
    ACCOUNT_LIMIT,
    Allow,
    CapacityChanged,
    DelayedRequests,
    EntriesChanged,
    EntryAdmission,
    EqualShareLimiter,
    GrantSlot,
    RankedFairQueue,
    Refuse,
    RequestArrived,
    RequestFinished,
    SendReport,
    ShareLimiter,
    SlotShareQuery,
    apportion,
    fill_shares,
)
from wasabistage.base import Rank
from wasabistage.declarations import ClientAccount
from wasabistage.exceptions import SettingError

ACCOUNT = ClientAccount(name="a", rate=700.0, concurrency=14)
NAMES = tuple(f"entry-{n}" for n in range(7))


def arrive(request_id, cost=10.0, account="a", rank=Rank.INTERACTIVE):
    return RequestArrived(
        request_id=request_id,
        account=account,
        rank=rank,
        service="s",
        cost=cost,
        deadline_at=1e9,
    )


def make_limiters(names=NAMES, account=ACCOUNT):
    limiters = {}
    for name in names:
        limiter = ShareLimiter(entry=name, accounts={"a": account}).reset()
        limiter.observe(EntriesChanged(members=dict.fromkeys(names, 1)), 0.0)
        limiters[name] = limiter
    return limiters


def exchange(limiters, now, reaches=lambda sender, receiver: True):
    for name, limiter in limiters.items():
        for action in limiter.tick(now):
            for other, peer in limiters.items():
                if other != name and reaches(name, other):
                    peer.observe(action.report, now)


def settle(limiters, demand, start=0.0, reaches=lambda sender, receiver: True):
    """Ask for tokens at entries over 5 s; return the time after them."""
    for step in range(1, 11):
        now = start + step * 0.5
        for name, cost in demand.items():
            limiters[name].observe(arrive(f"{now}-{name}", cost), now)
            limiters[name].observe(RequestFinished(request_id=f"{now}-{name}"), now)
        exchange(limiters, now, reaches)
    return now


def rates(limiters, now):
    return {n: m.rate_at_entry(ACCOUNT, now) for n, m in limiters.items()}


class TestShares(unittest.TestCase):
    @seed(5)
    @settings(max_examples=200, deadline=None, database=None)
    @given(
        st.integers(0, 500),
        st.dictionaries(st.text(max_size=2), st.floats(0, 1e6), min_size=1),
    )
    def test_apportion_gives_all_and_stays_near(self, total, wanted):
        shares = apportion(total, wanted)
        self.assertEqual(sum(shares.values()), total)
        whole = sum(wanted.values())
        if whole > 1e-3:
            for name, share in shares.items():
                self.assertLessEqual(abs(share - total * wanted[name] / whole), 1.001)

    @seed(5)
    @settings(max_examples=200, deadline=None, database=None)
    @given(
        st.floats(0, 1e3),
        st.dictionaries(st.text(max_size=2), st.floats(0, 1e3), min_size=1),
    )
    def test_fill_shares_is_fair_and_conserves(self, capacity, demands):
        shares = fill_shares(capacity, demands, {})
        least = min(capacity, sum(demands.values()))
        self.assertAlmostEqual(sum(shares.values()), least, places=6)
        level = max(shares.values())
        for name, share in shares.items():
            self.assertLessEqual(share, demands[name] + 1e-9)
            if share < demands[name] - 1e-9:
                self.assertAlmostEqual(share, level, places=6)


class TestShareLimiter(unittest.TestCase):
    def test_the_parts_sum_to_the_limit_and_follow_demand(self):
        limiters = make_limiters()
        now = settle(limiters, {"entry-0": 300.0, "entry-1": 100.0})
        parts = rates(limiters, now)
        self.assertAlmostEqual(sum(parts.values()), ACCOUNT.rate)
        self.assertGreater(parts["entry-0"], 0.65 * ACCOUNT.rate)
        self.assertGreater(parts["entry-6"], 0.0)

    def test_two_cut_off_entries_take_their_equal_part(self):
        cut = {"entry-5", "entry-6"}

        def reaches(sender, receiver):
            return not cut & {sender, receiver}

        limiters = make_limiters()
        demand = {"entry-0": 300.0, "entry-5": 300.0, "entry-6": 10.0}
        now = settle(limiters, demand)
        now = settle(limiters, demand, now, reaches)
        parts = rates(limiters, now)
        self.assertAlmostEqual(parts["entry-5"], ACCOUNT.rate / 7)
        self.assertAlmostEqual(parts["entry-6"], ACCOUNT.rate / 7)
        self.assertAlmostEqual(sum(parts.values()), ACCOUNT.rate)
        now = settle(limiters, demand, now)
        self.assertAlmostEqual(sum(rates(limiters, now).values()), ACCOUNT.rate)

    def test_a_cut_in_one_direction_counts_for_both(self):
        def reaches(sender, receiver):
            return sender != "entry-0"

        limiters = make_limiters()
        now = settle(limiters, {"entry-0": 500.0, "entry-1": 50.0}, reaches=reaches)
        parts = rates(limiters, now)
        self.assertAlmostEqual(parts["entry-0"], ACCOUNT.rate / 7)
        self.assertAlmostEqual(sum(parts.values()), ACCOUNT.rate)

    def test_every_stage_of_a_cut_stays_within_a_tenth(self):
        limiters = make_limiters()
        demand = {"entry-0": 100.0, "entry-1": 200.0, "entry-6": 300.0}
        now = settle(limiters, demand)
        for step in range(80):
            now += 0.1
            exchange(limiters, now, lambda a, b: "entry-6" not in (a, b))
            total = sum(rates(limiters, now).values())
            self.assertLessEqual(total, 1.1 * ACCOUNT.rate, step)

    def test_concurrency_and_slots_sum_to_the_whole(self):
        limiters = make_limiters()
        now = settle(limiters, {"entry-0": 300.0, "entry-3": 100.0})
        parts = [m.concurrency_at_entry(ACCOUNT, now) for m in limiters.values()]
        self.assertEqual(sum(parts), ACCOUNT.concurrency)
        self.assertGreaterEqual(min(parts), 1)
        for slots in (0, 3, 48):
            query = SlotShareQuery(service="s", slots=slots)
            shares = [m.decide(query, now).slots for m in limiters.values()]
            self.assertEqual(sum(shares), slots)

    def test_an_old_or_foreign_report_changes_nothing(self):
        limiters = make_limiters(("a", "b"))
        (old,) = limiters["a"].tick(1.0)
        (new,) = limiters["a"].tick(2.0)
        table = limiters["b"].table_
        limiters["b"].observe(new.report, 2.0)
        limiters["b"].observe(old.report, 2.1)
        self.assertEqual(table.reports["a"], new.report)
        stranger = ShareLimiter(entry="z").reset().tick(0.0)[0].report
        limiters["b"].observe(stranger, 2.0)
        self.assertNotIn("z", table.reports)
        restarted = ShareLimiter(entry="a", incarnation=1).reset().tick(0.0)[0].report
        limiters["b"].observe(restarted, 2.2)
        self.assertEqual(table.reports["a"], restarted)

    def test_a_report_is_bounded(self):
        limiter = ShareLimiter().reset()
        for n in range(6000):
            limiter.observe(arrive(f"r{n}", float(n + 1), f"account-{n}"), 0.0)
        (action,) = limiter.tick(0.0)
        self.assertLessEqual(len(action.report.demands), 64)
        self.assertLessEqual(len(limiter.counter_.rates), 4096)
        self.assertEqual(action.report.demands[0].account, "account-5999")

    def test_rate_and_concurrency_are_held(self):
        for make in (ShareLimiter, EqualShareLimiter):
            limiter = make(accounts={"a": ACCOUNT}).reset()
            actions = [limiter.observe(arrive(f"r{n}"), 0.0)[0] for n in range(20)]
            passed = [a for a in actions if isinstance(a, Allow)]
            self.assertEqual(len(passed), ACCOUNT.concurrency)
            self.assertEqual(actions[-1].reason, ACCOUNT_LIMIT)
            urgent = [arrive(f"u{n}", rank=Rank.URGENT) for n in range(2)]
            answers = [limiter.observe(event, 0.0)[0] for event in urgent]
            self.assertIsInstance(answers[0], Allow)
            self.assertEqual(answers[1].reason, ACCOUNT_LIMIT)
            limiter.observe(RequestFinished(request_id="u0"), 0.0)
            limiter.observe(RequestFinished(request_id="r0", cost=5000.0), 0.0)
            self.assertIsInstance(limiter.observe(arrive("x"), 5.0)[0], Refuse)
            self.assertIsInstance(limiter.observe(arrive("y"), 10.0)[0], Allow)

    def test_bad_times_are_refused(self):
        with self.assertRaises(SettingError):
            ShareLimiter(report_interval=3.0, stale_after=2.0).reset()


class TestEntryAdmission(unittest.TestCase):
    def test_a_refusal_by_the_queue_returns_the_tokens(self):
        account = ClientAccount(name="a", rate=10.0)
        admission = EntryAdmission(
            limiter=ShareLimiter(accounts={"a": account}),
            delays=DelayedRequests(max_held=0),
        )
        admission.reset()
        for n in range(5):
            (refused,) = admission.observe(arrive(f"r{n}"), 0.0)
            self.assertEqual(refused.reason.name, "NO_CAPACITY")
        admission.observe(CapacityChanged(service="s", slots=1), 0.0)
        self.assertIsInstance(admission.observe(arrive("x"), 0.0)[0], GrantSlot)
        self.assertEqual(admission.observe(arrive("y"), 0.0)[0].reason, ACCOUNT_LIMIT)

    def test_tick_reports_and_shares(self):
        admission = EntryAdmission(queue=RankedFairQueue()).reset()
        admission.observe(CapacityChanged(service="s", slots=4), 0.0)
        admission.observe(EntriesChanged(members={"entry": 1, "peer": 1}), 0.0)
        (action,) = admission.tick(1.0)
        self.assertIsInstance(action, SendReport)
        self.assertEqual(admission.queue_.services_["s"].slots, 2)


if __name__ == "__main__":
    unittest.main()


class TestMovedWork(unittest.TestCase):
    def refuse_at(self, limiter, now):
        for n in range(100):
            (answer,) = limiter.observe(arrive(f"{now}-{n}", cost=50.0), now)
            if isinstance(answer, Refuse):
                return answer
            limiter.observe(RequestFinished(request_id=f"{now}-{n}"), now)
        self.fail("nothing was refused")

    def test_work_that_moves_here_waits_for_the_reports_only(self):
        limiters = make_limiters(account=ClientAccount(name="a", rate=700.0))
        first, second = limiters["entry-0"], limiters["entry-1"]
        for step in range(20):
            for n in range(2):
                first.observe(arrive(f"{step}-{n}", cost=50.0), step * 0.5)
                first.observe(RequestFinished(request_id=f"{step}-{n}"), step * 0.5)
            exchange(limiters, step * 0.5)
        refused = self.refuse_at(second, 10.0)
        # The wait of two reports, spread over up to twice as long.
        self.assertLess(refused.retry_after, 2 * 2 * second.report_interval)

    def test_work_over_the_whole_limit_waits_its_time(self):
        limiters = make_limiters(account=ClientAccount(name="a", rate=70.0))
        for step in range(20):
            for limiter in limiters.values():
                limiter.observe(arrive(f"{step}", cost=500.0), step * 0.5)
            exchange(limiters, step * 0.5)
        (refused,) = limiters["entry-1"].observe(arrive("x", cost=50.0), 10.0)
        self.assertGreater(refused.retry_after, 2.0)
