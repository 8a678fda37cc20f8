import random
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.retries import WindowBudget


class WindowBudgetTest(unittest.TestCase):
    def test_negative_ratio_raises(self):
        with self.assertRaises(SettingError):
            WindowBudget(ratio=-1, extra=0, window=10)

    def test_fractions_that_add_up_to_more_than_the_whole_raise(self):
        fractions = {"request_fraction": 0.8, "restart_fraction": 0.3}
        with self.assertRaisesRegex(SettingError, "0.8 and restart_fraction 0.3"):
            WindowBudget(ratio=0.2, extra=0, window=10, **fractions)

    def test_entry_gets_an_equal_share_of_extra(self):
        budget = WindowBudget(ratio=0.0, extra=50, window=10, usable_fraction=0.8)
        acquired = sum(budget.acquire(5, 0.0) for _ in range(50))
        self.assertEqual(acquired, 8)

    # Guards against a whole extra for each entry that starts alone (issue 29, BUDGET).
    def test_unknown_number_of_entries_allows_retries_for_requests_alone(self):
        budget = WindowBudget(ratio=0.5, extra=50, window=10, usable_fraction=0.8)
        self.assertFalse(budget.acquire(None, 0.0))
        for _ in range(40):
            budget.record_request(0.0)
        self.assertEqual(sum(budget.acquire(None, 0.0) for _ in range(50)), 6)

    # Guards against repeats beyond the budget of the fleet by entries that are killed,
    # and whose next processes don't know what was spent (issue 38, BUDGET: 199 of 175).
    def test_restarts_stay_within_the_budget_in_every_window(self):
        window, extra, entries = 10.0, 54, 7
        for lives in ((), (12.0,), (12.0, 14.0, 17.0, 19.5), (12.0, 21.9)):
            budgets = [
                WindowBudget(ratio=0.2, extra=extra, window=window)
                for _ in range(entries)
            ]
            started_at, request_times, retry_times = float("-inf"), [], []
            for step in range(4000):
                now = step * 0.01
                if any(now - 0.01 < at <= now for at in lives):
                    started_at = now
                    budgets = [
                        WindowBudget(ratio=0.2, extra=extra, window=window)
                        for _ in range(entries)
                    ]
                budget = budgets[step % entries]
                budget.record_request(now)
                request_times.append(now)
                # All servers fail from 10 s on, until then nothing is repeated.
                known = entries if now - started_at >= window else None
                while now > 10.0 and budget.acquire(known, now):
                    budget.record_sent(now)
                    retry_times.append(now)
            used = max(
                sum(end - window <= at <= end for at in retry_times)
                / (sum(end - window <= at <= end for at in request_times) * 0.2 + extra)
                for end in retry_times
            )
            with self.subTest(lives=lives):
                self.assertLessEqual(used, 1.0)
                self.assertGreater(used, 0.5)

    def test_retry_is_allowed_again_after_the_window(self):
        budget = WindowBudget(ratio=0.0, extra=1, window=10, usable_fraction=1.0)
        self.assertTrue(budget.acquire(1, 0.0))
        budget.record_sent(0.0)
        self.assertFalse(budget.acquire(1, 9.9))
        self.assertTrue(budget.acquire(1, 10.1))

    # Guards against repeats that were allowed in several windows and arrive in one,
    # since they have waited for an engine (issue 38, BUDGET).
    def test_window_of_a_retry_begins_when_it_is_sent(self):
        budget = WindowBudget(ratio=0.0, extra=2, window=10, usable_fraction=1.0)
        self.assertTrue(budget.acquire(1, 0.0))
        self.assertTrue(budget.acquire(1, 0.0))
        self.assertFalse(budget.acquire(1, 12.0))
        budget.drop()
        self.assertTrue(budget.acquire(1, 12.0))
        budget.record_sent(12.0)
        budget.record_sent(13.0)
        self.assertFalse(budget.acquire(1, 21.9))
        self.assertTrue(budget.acquire(1, 22.1))

    def test_retries_of_all_entries_stay_within_the_budget_in_every_window(self):
        rng, window, entries = random.Random(1), 10.0, 7
        budgets = [
            WindowBudget(ratio=0.2, extra=54, window=window) for _ in range(entries)
        ]
        request_times, retry_times = [], []
        for step in range(6000):
            now = step * 0.01
            budget = rng.choice(budgets)
            if rng.random() < 0.5 or 2000 < step < 2500:
                budget.record_request(now)
                request_times.append(now)
            if rng.random() < 0.7 and budget.acquire(entries, now):
                budget.record_sent(now)
                retry_times.append(now)
        # A retry early in a window is allowed by requests of the window before it.
        for end in retry_times:
            recent = sum(end - window <= at <= end for at in request_times)
            earlier = sum(
                end - 2 * window <= at <= end - window for at in request_times
            )
            retries = sum(end - window <= at <= end for at in retry_times)
            self.assertLessEqual(retries, 0.2 * max(recent, earlier) + 54)


if __name__ == "__main__":
    unittest.main()
