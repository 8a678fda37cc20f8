import ast
import unittest
from pathlib import Path

from wasabistage.observe import METRICS, MemoryMetrics, describe_metrics

ROOT = Path(__file__).parents[3]
PAGE = ROOT / "docs" / "reference" / "metrics.md"
VERBS = {"count": "counter", "gauge": "gauge", "time": "timer"}


def emitted():
    """Yield the name and the kind of each metric that the code emits."""
    for path in sorted((ROOT / "wasabistage").rglob("*.py")):
        if "tests" in path.parts:
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if not isinstance(node, ast.Call) or not isinstance(
                node.func, ast.Attribute
            ):
                continue
            owner = ast.unparse(node.func.value)
            if node.func.attr in VERBS and owner.endswith("metrics"):
                yield ast.literal_eval(node.args[0]), VERBS[node.func.attr]


class TestMetrics(unittest.TestCase):
    def test_declared_and_emitted_metrics_are_the_same(self):
        declared = {name: kind for name, (kind, _) in METRICS.items()}
        self.assertEqual(dict(emitted()), declared)

    def test_undeclared_metric_is_refused(self):
        with self.assertRaisesRegex(KeyError, "add it to METRICS"):
            MemoryMetrics().count("request.recieved")

    def test_reference_page_is_what_the_code_generates(self):
        self.assertEqual(PAGE.read_text(encoding="utf-8"), describe_metrics())


if __name__ == "__main__":
    unittest.main()
