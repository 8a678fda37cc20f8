import contextlib
import io
import unittest

from benchmarks import once
from benchmarks.once_explorer import FAULTS, VARIANTS, Result


class TestPlan(unittest.TestCase):
    def test_every_fault_and_pair_meets_every_policy(self):
        jobs = once.plan(3 * 56, 1)
        seen = {(job.variant, job.faults) for job in jobs if job.row != "off"}
        for variant in VARIANTS:
            self.assertIn((variant.name, ()), seen)
            for fault in FAULTS:
                self.assertIn((variant.name, (fault,)), seen)
        pairs = {faults for _, faults in seen if len(faults) == 2}
        self.assertEqual(len(pairs), len(FAULTS) * (len(FAULTS) - 1) // 2)

    def test_equal_seeds_plan_and_run_equally(self):
        job = once.plan(10, 1)[4]
        self.assertEqual(job, once.plan(10, 1)[4])
        self.assertEqual(once.run_job(job), once.run_job(job))


class TestTables(unittest.TestCase):
    def test_unseen_names_the_variants_that_broke_nothing(self):
        cell = once.Cell()
        cell.add(Result())
        self.assertEqual(once.unseen({("none", "unchecked"): cell}), ["unchecked"])
        cell.add(Result(doubled=1))
        self.assertEqual(once.unseen({("none", "unchecked"): cell}), [])

    def test_rows_show_shares_and_broken_promises(self):
        cell = once.Cell()
        cell.add(Result(doubled=1))
        cell.ends.update(served=3, unknown=1)
        text = io.StringIO()
        with contextlib.redirect_stdout(text):
            once.print_row("none", "tickets", cell)
        expected = "| none | tickets | 1 | 75.0 | 0.0 | 0.0 | 25.0 | 1 | 0 | 0 |\n"
        self.assertEqual(text.getvalue(), expected)
