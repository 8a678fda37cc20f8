"""The suite writes its files, repeats by seed, and shows misses."""

import io
import json
import tempfile
import unittest
from contextlib import redirect_stdout
from pathlib import Path

from benchmarks.__main__ import main
from benchmarks._pages import write_page
from benchmarks._report import Aim, Figures, write_json
from benchmarks._suite import (
    SUITE,
    Benchmark,
    collect_once,
    collect_rollout,
    collect_sessions,
)


def values(figures):
    return {(r.scenario, r.policy, r.name): r.values for r in figures.rows()}


class TestSuite(unittest.TestCase):
    def test_short_form_writes_every_file_and_the_page(self):
        with tempfile.TemporaryDirectory() as name:
            only = ["rollout", "membership"]
            with redirect_stdout(io.StringIO()):
                main(["--short", "--out", name, "--only", *only])
            files = sorted(path.name for path in Path(name).iterdir())
            page = (Path(name) / "README.md").read_text()
        wanted = [f"{item}.{kind}" for item in only for kind in ("csv", "json", "png")]
        self.assertEqual(files, sorted([*wanted, "README.md"]))
        self.assertIn("## rollout", page)

    def test_simulated_figures_repeat_by_seed(self):
        first = values(collect_rollout(3, 1, True))
        self.assertEqual(first, values(collect_rollout(3, 1, True)))
        self.assertNotEqual(first, values(collect_rollout(4, 1, True)))

    def test_no_explored_purchase_is_doubled(self):
        found = values(collect_once(1, 1, True))
        for (_, policy, name), counts in found.items():
            if policy != "unchecked" and name in ("doubled", "ran after 'not run'"):
                self.assertEqual(counts, [0])
        self.assertGreater(
            found["every fault, alone and in pairs", "unchecked", "doubled"][0], 0
        )

    def test_session_table_stays_within_its_memory(self):
        found = values(collect_sessions(1, 1, True))
        self.assertLess(found["10,000 sessions", "compact table", "MB"][0], 0.4)

    def test_names_are_unique(self):
        names = [item.name for item in SUITE]
        self.assertEqual(len(names), len(set(names)))


class TestPage(unittest.TestCase):
    def test_misses_of_own_policies_stand_first_and_those_of_baselines_do_not(self):
        figures = Figures()
        for policy, value in (("ours", 3.0), ("naive", 9.0)):
            figures.add("flood", policy, "seconds", value, Aim(at_most=2.0))
        item = Benchmark(name="b", title="t", collect=None, own=("ours",))

        class Options:
            seed, repeats = 1, 1

        with tempfile.TemporaryDirectory() as name:
            folder = Path(name)
            write_json(folder / "b.json", "b", figures.rows(), Options)
            write_page(folder, [item])
            text = (folder / "README.md").read_text()
            document = json.loads((folder / "b.json").read_text())
        self.assertEqual(document["figures"][0]["verdict"], "MISSED")
        misses = text.partition("## Aims")[0]
        self.assertIn("1 of 1 aims", misses)
        self.assertIn("| ours |", misses)
        self.assertNotIn("| naive |", misses)


if __name__ == "__main__":
    unittest.main()
