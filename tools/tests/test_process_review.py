"""The cases of the independent review, each played with its script."""

import os
import shutil
import subprocess
import sysconfig
import tempfile
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
CASE_LIMIT = 130.0  # seconds; a script ends by itself after 120
SHOWN_LINES = 20


class ReviewTest(unittest.TestCase):
    def copy_tree(self, folder):
        """Copy what the scripts use, since each writes a record beside itself."""
        for name in ("review", "deploy"):
            shutil.copytree(ROOT / name, folder / name)
        os.symlink(ROOT / "wasabistage", folder / "wasabistage")
        (folder / "target").mkdir()
        os.symlink(sysconfig.get_path("purelib"), folder / "target" / "deps")

    def play(self, script):
        return subprocess.run(
            ["sh", str(script)],
            capture_output=True,
            text=True,
            timeout=CASE_LIMIT,
            check=False,
        )

    # Guards against scripts that don't start, and against the faults that they show
    # (issues 26 and 38).
    def test_no_case_shows_its_fault(self):
        with (
            tempfile.TemporaryDirectory() as name,
            ThreadPoolExecutor() as pool,
        ):
            self.copy_tree(Path(name))
            scripts = sorted(Path(name).glob("review/*/run.sh"))
            self.assertEqual(len(scripts), 5)
            for script, done in zip(scripts, pool.map(self.play, scripts), strict=True):
                lines = (done.stdout + done.stderr).splitlines()[-SHOWN_LINES:]
                with self.subTest(case=script.parent.name):
                    self.assertEqual(done.returncode, 0, "\n".join(lines))


if __name__ == "__main__":
    unittest.main()
