"""The long form of the proofs: explorers, processes, and mechanisms switched off.

    python -m tools.proofs --schedules 10000

Each process test whose mechanism can be switched off is run without it and must
fail; then it is run as it is and must pass. Every step has a bound in time.
"""

import argparse
import os
import subprocess
import sys
import unittest
from dataclasses import dataclass

from wasabistage.entry.tests import (
    test_process_answers,
    test_process_config,
    test_process_isolation,
    test_process_leaving,
    test_process_once,
    test_process_pieces,
)

SCHEDULES = 10_000
#: Schedules of the explorers whose worlds take longer for each.
HEAVY_SHARE = 0.05
STEP_SECONDS = 3600
FAULTS_OF_PROCESSES = (
    test_process_once.TestOnceUnderFaults,
    test_process_answers.TestAnswersUnderFaults,
    test_process_isolation.TestIsolation,
    test_process_pieces.TestPieces,
    test_process_leaving.TestLeaving,
    test_process_leaving.TestDrain,
    test_process_config.TestConfiguration,
)


@dataclass(frozen=True, kw_only=True)
class Off:
    """A mechanism to switch off, and the tests that must then fail.

    :param mechanism: name in :mod:`standins.unsafe_entry`.
    :param case: the test class.
    :param tests: names of its tests; each must fail.
    """

    mechanism: str
    case: type
    tests: tuple


SWITCHED_OFF = (
    Off(
        mechanism="once",
        case=test_process_once.TestOnceUnderFaults,
        tests=("test_backend_answers_late",),
    ),
    Off(
        mechanism="ids",
        case=test_process_answers.TestAnswersUnderFaults,
        tests=("test_engine_crosses_ids",),
    ),
    Off(
        mechanism="resume",
        case=test_process_answers.TestAnswersUnderFaults,
        tests=("test_engine_cuts_streams",),
    ),
    Off(
        mechanism="cancel",
        case=test_process_answers.TestAnswersUnderFaults,
        tests=("test_caller_gone",),
    ),
    Off(
        mechanism="accounts",
        case=test_process_isolation.TestIsolation,
        tests=(
            "test_equal_prompts_share_nothing",
            "test_a_stream_opens_for_its_account_alone",
        ),
    ),
    Off(
        mechanism="paths",
        case=test_process_isolation.TestIsolation,
        tests=("test_hostile_paths_reach_no_other_path",),
    ),
    Off(
        mechanism="ends",
        case=test_process_isolation.TestIsolation,
        tests=("test_a_refused_caller_s_connection_goes_on_or_ends",),
    ),
    Off(
        mechanism="pieces",
        case=test_process_pieces.TestPieces,
        tests=("test_half_written", "test_overwritten"),
    ),
    Off(
        mechanism="leaving",
        case=test_process_leaving.TestLeaving,
        tests=("test_leaving_by_the_live_list", "test_leaving_by_the_load_report"),
    ),
    Off(
        mechanism="drain",
        case=test_process_leaving.TestDrain,
        tests=("test_one_entry_drains",),
    ),
    Off(
        mechanism="peers",
        case=test_process_config.TestConfiguration,
        tests=("test_replaced_entry_takes_it_from_peers",),
    ),
)


def run_cases(cases):
    """Run test cases quietly.

    :param cases: the cases.
    :return: the :class:`unittest.TestResult`.
    """
    with open(os.devnull, "w", encoding="utf-8") as quiet:
        return unittest.TextTestRunner(stream=quiet).run(unittest.TestSuite(cases))


def see_failing(off):
    """Run tests without their mechanism.

    :param off: an :class:`Off`.
    :return: names of the tests that passed all the same.
    """
    name = f"{off.case.__name__}Without{off.mechanism.title()}"
    case = type(name, (off.case,), {"without": off.mechanism})
    passed = []
    for test in off.tests:
        result = run_cases([case(test)])
        bad = result.failures + result.errors
        # A class that could not be set up shows nothing of the mechanism.
        seen = any(item is not None and item.id().endswith(test) for item, _ in bad)
        last = bad[-1][1].strip().splitlines()[-1][:120] if bad else "passed"
        print(f"  without {off.mechanism:<9} {test}: {last}", flush=True)
        if not seen:
            passed.append(test)
    return passed


def run_step(name, command, schedules=None):
    """Run one command as a step of its own.

    :param name: what is printed.
    :param command: arguments after the interpreter.
    :param schedules: value of ``WASABISTAGE_SCHEDULES``; ``None`` for none.
    :return: whether it passed.
    """
    environment = dict(os.environ)
    if schedules:
        environment["WASABISTAGE_SCHEDULES"] = str(schedules)
    print(f"- {name}", flush=True)
    try:
        done = subprocess.run(
            [sys.executable, "-m", *command], env=environment, timeout=STEP_SECONDS
        )
    except subprocess.TimeoutExpired:
        print(f"  not finished within {STEP_SECONDS} s")
        return False
    return done.returncode == 0


def explore(schedules):
    """Run the explorers of the decisions.

    :param schedules: schedules of each.
    :return: names of the steps that failed.
    """
    heavy = max(24, int(schedules * HEAVY_SHARE))
    tests = "tools.run_tests"
    steps = (
        (
            f"once-only calls, about {schedules} schedules",
            ["benchmarks.once", "--schedules", str(schedules)],
            None,
        ),
        (
            f"configuration, {schedules} schedules",
            [tests, "wasabistage.declarations.tests.test_explored"],
            schedules,
        ),
        (
            f"orders to backend servers, {heavy} schedules of each fault",
            [tests, "wasabistage.rollout.tests.test_explore"],
            heavy,
        ),
        (
            "membership and drain",
            [
                tests,
                "wasabistage.membership.tests.test_policy",
                "wasabistage.membership.tests.test_backends",
                "wasabistage.membership.tests.test_drain",
            ],
            None,
        ),
    )
    return [name for name, *rest in steps if not run_step(name, *rest)]


def run_processes():
    """Run the process tests as they are.

    :return: names of the tests that failed.
    """
    failed = []
    for case in FAULTS_OF_PROCESSES:
        suite = unittest.defaultTestLoader.loadTestsFromTestCase(case)
        result = run_cases(suite)
        bad = [item.id() for item, _ in result.failures + result.errors]
        print(f"  {case.__name__}: {result.testsRun} faults, {len(bad)} failed")
        failed.extend(bad)
    return failed


def main(argv=None):
    """Run the proofs.

    :param argv: command-line arguments; ``None`` for those of the process.
    :return: exit code, 0 when every proof held and every mechanism was missed.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--schedules", type=int, default=SCHEDULES)
    parser.add_argument("--only", choices=("explorers", "off", "processes"))
    options = parser.parse_args(argv)
    failed = []
    if options.only in (None, "off"):
        print("- process tests without their mechanism; each must fail", flush=True)
        for off in SWITCHED_OFF:
            failed += [f"{off.mechanism}: {test}" for test in see_failing(off)]
    if options.only in (None, "processes"):
        print("- process tests", flush=True)
        failed += run_processes()
    if options.only in (None, "explorers"):
        failed += explore(options.schedules)
    for name in failed:
        print(f"FAILED: {name}")
    print("every proof held" if not failed else f"{len(failed)} did not hold")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
