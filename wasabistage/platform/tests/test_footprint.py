import subprocess
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[3]
REQUIREMENTS = ROOT / "deploy" / "requirements.txt"
#: Import names that differ from the names of their packages.
IMPORT_NAMES = {"attrs": ("attr", "attrs")}
LOAD = """
import sys
before = set(sys.modules)
import wasabistage.platform.__main__
from wasabistage._alone import load_alone
load_alone()
import wasabistage.edge._process, wasabistage.platform
names = {name.partition(".")[0] for name in set(sys.modules) - before}
print(*sorted(names - set(sys.stdlib_module_names)))
"""


class FootprintTest(unittest.TestCase):
    def test_role_imports_only_what_its_requirements_pin(self):
        lines = REQUIREMENTS.read_text().splitlines()
        pinned = [line.partition("==")[0] for line in lines if "==" in line]
        # Pinned libraries use typing_extensions if it happens to be there.
        allowed = {"wasabistage", "typing_extensions"}
        for name in pinned:
            allowed.update(IMPORT_NAMES.get(name, (name,)))
        result = subprocess.run(
            [sys.executable, "-c", LOAD],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        self.assertEqual(set(result.stdout.split()) - allowed, set())

    def test_bad_settings_end_the_start_with_one_line(self):
        for words in ([], ["--check"]):
            result = subprocess.run(
                [sys.executable, "-m", "wasabistage.platform", *words, "missing.ini"],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
            )
            self.assertEqual(result.returncode, 2)
            self.assertTrue(result.stderr.startswith("bad_setting: missing.ini"))
            self.assertEqual(len(result.stderr.splitlines()), 1)


if __name__ == "__main__":
    unittest.main()
