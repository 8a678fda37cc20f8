import random
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.retries import WindowBudget


class WindowBudgetTest(unittest.TestCase):
    def test_bad_values_are_refused(self):
        with self.assertRaises(SettingError):
            WindowBudget(ratio=-1, extra=0, window=10)

    def test_extra_is_shared_by_the_entries(self):
        budget = WindowBudget(ratio=0.0, extra=50, window=10, share=0.8)
        spent = sum(budget.spend(5, 0.0) for _ in range(50))
        self.assertEqual(spent, 8)

    def test_repeats_come_free_after_the_window(self):
        budget = WindowBudget(ratio=0.0, extra=1, window=10, share=1.0)
        self.assertTrue(budget.spend(1, 0.0))
        self.assertFalse(budget.spend(1, 9.9))
        self.assertTrue(budget.spend(1, 10.1))

    def test_entries_together_keep_to_the_common_budget_in_every_window(self):
        draw, window, entries = random.Random(1), 10.0, 7
        budgets = [
            WindowBudget(ratio=0.2, extra=54, window=window) for _ in range(entries)
        ]
        requests, repeats = [], []
        for step in range(6000):
            now = step * 0.01
            budget = draw.choice(budgets)
            if draw.random() < 0.5 or 2000 < step < 2500:
                budget.earn(now)
                requests.append(now)
            if draw.random() < 0.7 and budget.spend(entries, now):
                repeats.append(now)
        for end in repeats:
            first = sum(end - window <= at <= end for at in requests)
            before = sum(end - 2 * window <= at <= end - window for at in requests)
            again = sum(end - window <= at <= end for at in repeats)
            self.assertLessEqual(again, 0.2 * max(first, before) + 54)


if __name__ == "__main__":
    unittest.main()
