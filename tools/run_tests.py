"""Run every unit test and report in one closing line.

Tests listed in ``KNOWN-RED.txt`` may fail; they are run, printed, and passed
over. A listed test that passes makes the run fail, so that the list stays true.
"""

import argparse
import sys
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
PACKAGES = ("wasabistage", "standins", "benchmarks", "tools")


def read_known_red(path):
    """Read the identifiers of the tests that may fail.

    :param path: the list; each entry starts with ``test: IDENTIFIER``.
    :return: a set of dotted test names.
    """
    if not path.exists():
        return set()
    lines = path.read_text(encoding="utf-8").splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def load_suite(names):
    """Collect the tests to run.

    :param names: dotted names of tests; empty for every test.
    :return: a :class:`unittest.TestSuite`.
    """
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    suite = unittest.TestSuite()
    for package in PACKAGES:
        suite.addTests(
            loader.discover(
                str(ROOT / package), pattern="test_*.py", top_level_dir=str(ROOT)
            )
        )
    return suite


def main(argv=None):
    """Run the tests.

    :param argv: command-line arguments; ``None`` for those of the process.
    :return: exit code, 0 when only tests of ``KNOWN-RED.txt`` failed.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("names", nargs="*", help="dotted test names")
    parser.add_argument("-v", "--verbose", action="store_true")
    options = parser.parse_args(argv)
    runner = unittest.TextTestRunner(verbosity=2 if options.verbose else 1)
    result = runner.run(load_suite(options.names))

    known = read_known_red(KNOWN_RED)
    bad = {case.id() for case, _ in result.failures + result.errors}
    bad |= {case.id() for case in result.unexpectedSuccesses}
    red = bad & known
    healed = set()
    if not options.names:
        healed = known - bad
    for name in sorted(red):
        print(f"known red: {name}")
    for name in sorted(healed):
        print(f"listed in KNOWN-RED.txt but did not fail: {name}")
    failed = len(bad - known) + len(healed)
    passed = result.testsRun - len(bad) - len(result.skipped)
    if result.testsRun == 0:
        failed = 1
        print("no test was found")
    print(f"{passed} passed, {failed} failed, {len(result.skipped)} skipped")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
