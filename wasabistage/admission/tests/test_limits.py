"""Account limits and slot shares that several entries divide."""

import unittest

from hypothesis import given, seed, settings
from hypothesis import strategies as st

from wasabistage.admission import (
    ACCOUNT_LIMIT,
    Allow,
    CapacityChanged,
    EntriesChanged,
    EntryAdmission,
    EqualShareLimiter,
    GrantSlot,
    HoldPolicy,
    RankedFairQueue,
    Refuse,
    RequestArrived,
    RequestFinished,
    SendReport,
    ShareLimiter,
    SlotShareQuery,
    apportion,
    compute_max_min_shares,
)
from wasabistage.base import Rank
from wasabistage.declarations import ClientAccount
from wasabistage.exceptions import SettingError

ACCOUNT = ClientAccount(name="a", rate=700.0, concurrency=14)
ENTRY_NAMES = tuple(f"entry-{n}" for n in range(7))


def build_arrival(request_id, cost=10.0, account="a", rank=Rank.INTERACTIVE):
    return RequestArrived(
        request_id=request_id,
        account=account,
        rank=rank,
        service="s",
        cost=cost,
        deadline_at=1e9,
    )


def make_limiters(names=ENTRY_NAMES, account=ACCOUNT):
    limiters = {}
    for name in names:
        limiter = ShareLimiter(entry=name, accounts={"a": account}).reset()
        limiter.observe(EntriesChanged(members=dict.fromkeys(names, 1)), 0.0)
        limiters[name] = limiter
    return limiters


def exchange_reports(limiters, now, reaches=lambda sender, receiver: True):
    """Send the report of each entry to the peers that it reaches."""
    for name, limiter in limiters.items():
        for action in limiter.tick(now):
            for other, peer in limiters.items():
                if other != name and reaches(name, other):
                    peer.observe(action.report, now)


def offer_demand(limiters, demand, start=0.0, reaches=lambda sender, receiver: True):
    """Offer requests at the entries for 5 s; return the time of the last reports.

    :param limiters: limiter by name of the entry.
    :param demand: cost by name of the entry, offered every 0.5 s.
    :param start: time before the first request.
    :param reaches: function of sender and receiver, whether a report arrives.
    """
    for step in range(1, 11):
        now = start + step * 0.5
        for name, cost in demand.items():
            limiters[name].observe(build_arrival(f"{now}-{name}", cost), now)
            limiters[name].observe(RequestFinished(request_id=f"{now}-{name}"), now)
        exchange_reports(limiters, now, reaches)
    return now


def get_rates(limiters, now):
    return {
        name: limiter.get_local_rate(ACCOUNT, now) for name, limiter in limiters.items()
    }


class TestShares(unittest.TestCase):
    @seed(5)
    @settings(max_examples=200, deadline=None, database=None)
    @given(
        st.integers(0, 500),
        st.dictionaries(st.text(max_size=2), st.floats(0, 1e6), min_size=1),
    )
    def test_apportion_sums_to_the_total_and_rounds_by_at_most_one(
        self, total, amounts
    ):
        shares = apportion(total, amounts)
        self.assertEqual(sum(shares.values()), total)
        amounts_sum = sum(amounts.values())
        if amounts_sum > 1e-3:
            for name, share in shares.items():
                self.assertLessEqual(
                    abs(share - total * amounts[name] / amounts_sum), 1.001
                )

    @seed(5)
    @settings(max_examples=200, deadline=None, database=None)
    @given(
        st.floats(0, 1e3),
        st.dictionaries(st.text(max_size=2), st.floats(0, 1e3), min_size=1),
    )
    def test_max_min_shares_are_fair_and_use_the_capacity(self, capacity, demands):
        shares = compute_max_min_shares(capacity, demands, {})
        expected = min(capacity, sum(demands.values()))
        self.assertAlmostEqual(sum(shares.values()), expected, places=6)
        largest = max(shares.values())
        for name, share in shares.items():
            self.assertLessEqual(share, demands[name] + 1e-9)
            if share < demands[name] - 1e-9:
                self.assertAlmostEqual(share, largest, places=6)


class TestShareLimiter(unittest.TestCase):
    def test_rate_shares_sum_to_the_limit_and_follow_demand(self):
        limiters = make_limiters()
        now = offer_demand(limiters, {"entry-0": 300.0, "entry-1": 100.0})
        shares = get_rates(limiters, now)
        self.assertAlmostEqual(sum(shares.values()), ACCOUNT.rate)
        self.assertGreater(shares["entry-0"], 0.65 * ACCOUNT.rate)
        self.assertGreater(shares["entry-6"], 0.0)

    def test_two_isolated_entries_use_their_equal_shares(self):
        isolated = {"entry-5", "entry-6"}

        def reaches(sender, receiver):
            return not isolated & {sender, receiver}

        limiters = make_limiters()
        demand = {"entry-0": 300.0, "entry-5": 300.0, "entry-6": 10.0}
        now = offer_demand(limiters, demand)
        now = offer_demand(limiters, demand, now, reaches)
        shares = get_rates(limiters, now)
        self.assertAlmostEqual(shares["entry-5"], ACCOUNT.rate / 7)
        self.assertAlmostEqual(shares["entry-6"], ACCOUNT.rate / 7)
        self.assertAlmostEqual(sum(shares.values()), ACCOUNT.rate)
        now = offer_demand(limiters, demand, now)
        self.assertAlmostEqual(sum(get_rates(limiters, now).values()), ACCOUNT.rate)

    def test_entry_that_only_receives_reports_uses_its_equal_share(self):
        def reaches(sender, receiver):
            return sender != "entry-0"

        limiters = make_limiters()
        now = offer_demand(
            limiters, {"entry-0": 500.0, "entry-1": 50.0}, reaches=reaches
        )
        shares = get_rates(limiters, now)
        self.assertAlmostEqual(shares["entry-0"], ACCOUNT.rate / 7)
        self.assertAlmostEqual(sum(shares.values()), ACCOUNT.rate)

    def test_rate_shares_exceed_the_limit_by_at_most_a_tenth_during_a_partition(self):
        limiters = make_limiters()
        demand = {"entry-0": 100.0, "entry-1": 200.0, "entry-6": 300.0}
        now = offer_demand(limiters, demand)
        for step in range(80):
            now += 0.1
            exchange_reports(limiters, now, lambda a, b: "entry-6" not in (a, b))
            total = sum(get_rates(limiters, now).values())
            self.assertLessEqual(total, 1.1 * ACCOUNT.rate, step)

    def test_concurrency_and_slot_shares_sum_to_the_total(self):
        limiters = make_limiters()
        now = offer_demand(limiters, {"entry-0": 300.0, "entry-3": 100.0})
        shares = [
            limiter.get_local_concurrency(ACCOUNT, now) for limiter in limiters.values()
        ]
        self.assertEqual(sum(shares), ACCOUNT.concurrency)
        self.assertGreaterEqual(min(shares), 1)
        for slots in (0, 3, 48):
            query = SlotShareQuery(service="s", slots=slots)
            shares = [limiter.decide(query, now).slots for limiter in limiters.values()]
            self.assertEqual(sum(shares), slots)

    def test_old_report_and_report_of_a_non_member_are_ignored(self):
        limiters = make_limiters(("a", "b"))
        (old,) = limiters["a"].tick(1.0)
        (new,) = limiters["a"].tick(2.0)
        table = limiters["b"].table_
        limiters["b"].observe(new.report, 2.0)
        limiters["b"].observe(old.report, 2.1)
        self.assertEqual(table.reports["a"], new.report)
        non_member = ShareLimiter(entry="z").reset().tick(0.0)[0].report
        limiters["b"].observe(non_member, 2.0)
        self.assertNotIn("z", table.reports)
        restarted = ShareLimiter(entry="a", incarnation=1).reset().tick(0.0)[0].report
        limiters["b"].observe(restarted, 2.2)
        self.assertEqual(table.reports["a"], restarted)

    def test_report_and_counters_stay_within_their_bounds(self):
        limiter = ShareLimiter().reset()
        for n in range(6000):
            limiter.observe(build_arrival(f"r{n}", float(n + 1), f"account-{n}"), 0.0)
        (action,) = limiter.tick(0.0)
        self.assertLessEqual(len(action.report.demands), 64)
        self.assertLessEqual(len(limiter.counter_.rates), 4096)
        self.assertEqual(action.report.demands[0].account, "account-5999")

    def test_requests_above_rate_or_concurrency_are_refused(self):
        for limiter_class in (ShareLimiter, EqualShareLimiter):
            limiter = limiter_class(accounts={"a": ACCOUNT}).reset()
            actions = [
                limiter.observe(build_arrival(f"r{n}"), 0.0)[0] for n in range(20)
            ]
            allowed = [a for a in actions if isinstance(a, Allow)]
            self.assertEqual(len(allowed), ACCOUNT.concurrency)
            self.assertEqual(actions[-1].reason, ACCOUNT_LIMIT)
            urgent = [build_arrival(f"u{n}", rank=Rank.URGENT) for n in range(2)]
            answers = [limiter.observe(event, 0.0)[0] for event in urgent]
            self.assertIsInstance(answers[0], Allow)
            self.assertEqual(answers[1].reason, ACCOUNT_LIMIT)
            limiter.observe(RequestFinished(request_id="u0"), 0.0)
            limiter.observe(RequestFinished(request_id="r0", cost=5000.0), 0.0)
            self.assertIsInstance(limiter.observe(build_arrival("x"), 5.0)[0], Refuse)
            self.assertIsInstance(limiter.observe(build_arrival("y"), 10.0)[0], Allow)

    def test_report_interval_above_stale_after_raises_a_setting_error(self):
        with self.assertRaises(SettingError):
            ShareLimiter(report_interval=3.0, stale_after=2.0).reset()


class TestEntryAdmission(unittest.TestCase):
    def test_refusal_by_the_queue_refunds_the_tokens(self):
        account = ClientAccount(name="a", rate=10.0)
        admission = EntryAdmission(
            limiter=ShareLimiter(accounts={"a": account}),
            delays=HoldPolicy(max_held=0),
        )
        admission.reset()
        for n in range(5):
            (refused,) = admission.observe(build_arrival(f"r{n}"), 0.0)
            self.assertEqual(refused.reason.name, "NO_CAPACITY")
        admission.observe(CapacityChanged(service="s", slots=1), 0.0)
        self.assertIsInstance(admission.observe(build_arrival("x"), 0.0)[0], GrantSlot)
        self.assertEqual(
            admission.observe(build_arrival("y"), 0.0)[0].reason, ACCOUNT_LIMIT
        )

    def test_tick_sends_a_report_and_updates_the_slot_share(self):
        admission = EntryAdmission(queue=RankedFairQueue()).reset()
        admission.observe(CapacityChanged(service="s", slots=4), 0.0)
        admission.observe(EntriesChanged(members={"entry": 1, "peer": 1}), 0.0)
        (action,) = admission.tick(1.0)
        self.assertIsInstance(action, SendReport)
        self.assertEqual(admission.queue_.services_["s"].slots, 2)


if __name__ == "__main__":
    unittest.main()


class TestMovedDemand(unittest.TestCase):
    def offer_until_refused(self, limiter, now):
        """Offer requests until one is refused; return the refusal."""
        for n in range(100):
            (answer,) = limiter.observe(build_arrival(f"{now}-{n}", cost=50.0), now)
            if isinstance(answer, Refuse):
                return answer
            limiter.observe(RequestFinished(request_id=f"{now}-{n}"), now)
        self.fail("nothing was refused")

    def test_moved_demand_within_the_limit_waits_only_for_the_reports(self):
        limiters = make_limiters(account=ClientAccount(name="a", rate=700.0))
        first, second = limiters["entry-0"], limiters["entry-1"]
        for step in range(20):
            for n in range(2):
                first.observe(build_arrival(f"{step}-{n}", cost=50.0), step * 0.5)
                first.observe(RequestFinished(request_id=f"{step}-{n}"), step * 0.5)
            exchange_reports(limiters, step * 0.5)
        refused = self.offer_until_refused(second, 10.0)
        # The wait is two report intervals; retry-after spreads it up to twice that.
        self.assertLess(refused.retry_after, 2 * 2 * second.report_interval)

    def test_demand_above_the_limit_waits_for_the_tokens(self):
        limiters = make_limiters(account=ClientAccount(name="a", rate=70.0))
        for step in range(20):
            for limiter in limiters.values():
                limiter.observe(build_arrival(f"{step}", cost=500.0), step * 0.5)
            exchange_reports(limiters, step * 0.5)
        (refused,) = limiters["entry-1"].observe(build_arrival("x", cost=50.0), 10.0)
        self.assertGreater(refused.retry_after, 2.0)
