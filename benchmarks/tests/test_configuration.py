import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from benchmarks.configuration import main


class TestConfigurationBenchmark(unittest.TestCase):
    def test_short_run_writes_its_figures(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "out.json"
            with contextlib.redirect_stdout(io.StringIO()):
                main(["--short", "--repeats", "1", "--json", str(path)])
            report = json.loads(path.read_text())
        self.assertEqual(report["sizes"][0]["servers"], 6)
        self.assertEqual(len(report["spread"]), 2)


if __name__ == "__main__":
    unittest.main()
