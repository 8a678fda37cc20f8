"""The program starts no other process when it loads."""

import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LOAD = """
import runpy, sys
STARTS = {"subprocess.Popen", "os.fork", "os.forkpty", "os.posix_spawn", "os.system"}
started = []
sys.addaudithook(lambda name, _: name in STARTS and started.append(name))
sys.argv = ["wasabistage", "--help"]
try:
    runpy.run_module("wasabistage", run_name="__main__")
except SystemExit:
    pass
assert "trio" in sys.modules
from trio._core._thread_cache import set_os_thread_name
assert set_os_thread_name is not None
sys.exit(f"started: {started}" if started else 0)
"""


class LoadTest(unittest.TestCase):
    def test_starts_no_process(self):
        result = subprocess.run(
            [sys.executable, "-c", LOAD], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual(result.returncode, 0, result.stderr)
