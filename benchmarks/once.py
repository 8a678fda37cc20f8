"""Explore schedules of the once-only decisions and print what they showed.

    python -m benchmarks.once --schedules 10000 --seed 1

Each schedule runs one policy under no fault, one fault or a pair of faults. The
exit code is 1 if a promise broke with a policy that makes it, or if a variant with
a mechanism switched off was not seen to break one.
"""

import argparse
import itertools
import platform
import random
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field

from benchmarks.once_explorer import (
    EARLY_TRIM,
    EARLY_TRIM_UNCARRIED,
    FAULTS,
    MUTANTS,
    VARIANTS,
    measure_costs,
    run_schedule,
)

ENDS = ("served", "refused", "stopped", "unknown")
NO_FAULT = "none"
PAIR = "two at once"
LONG_OUTAGE = "log down long"
OUTAGE_KILLS = "log down long, kill"
OUTAGE_SPAN = (0.5, 300.0)
OUTAGE_SHARE = 0.02
MUTANT_SHARE = 0.04
TRIM_REPEATS = 3
CHUNK = 25
BY_NAME = {
    variant.name: variant
    for variant in (*VARIANTS, *MUTANTS, EARLY_TRIM, EARLY_TRIM_UNCARRIED)
}
# Baselines must be seen to break a promise.
UNSAFE = {"unchecked", EARLY_TRIM_UNCARRIED.name, *(m.name for m in MUTANTS)}


@dataclass(frozen=True, kw_only=True)
class Job:
    """One schedule to run.

    :param variant: name of the variant.
    :param row: row of the table that it counts in.
    :param faults: names of the faults.
    :param seed: names the schedule.
    """

    variant: str
    row: str
    faults: tuple[str, ...]
    seed: str


@dataclass
class Cell:
    """Sums over the schedules of one table cell."""

    schedules: int = 0
    broken: int = 0
    doubled: int = 0
    false_no: int = 0
    unequal: int = 0
    dispatched: int = 0
    ends: Counter = field(default_factory=Counter)
    faults: Counter = field(default_factory=Counter)

    def add(self, result):
        """Add the result of one schedule."""
        self.schedules += 1
        self.broken += bool(result.violations)
        self.doubled += result.doubled
        self.false_no += result.false_no
        self.unequal += result.unequal
        self.dispatched += result.dispatched
        self.ends += result.ends
        self.faults += result.faults

    def share(self, end):
        """Return the percentage of purchases that ended so."""
        return 100.0 * self.ends[end] / max(1, sum(self.ends.values()))


def run_job(job):
    """Run one schedule.

    :param job: a :class:`Job`.
    :return: the job and its :class:`Result`.
    """
    variant = BY_NAME[job.variant]
    long = job.row in (LONG_OUTAGE, OUTAGE_KILLS)
    more = {"outage": OUTAGE_SPAN, "stops": False} if long else {}
    return job, run_schedule(job.seed, variant, job.faults, **more)


def plan(schedules, seed):
    """Spread the schedules over policies and faults.

    :param schedules: schedules with the policies under test, about.
    :param seed: seed of the run.
    :return: a list of :class:`Job`.
    """
    rows = [(NO_FAULT, ())] + [(fault, (fault,)) for fault in FAULTS]
    pairs = [(PAIR, pair) for pair in itertools.combinations(FAULTS, 2)]
    cases = rows * 2 + pairs
    jobs = []
    for number in range(schedules):
        variant = VARIANTS[number % len(VARIANTS)]
        row, faults = cases[number // len(VARIANTS) % len(cases)]
        jobs.append(make_job(variant, row, faults, seed, number))
    for number in range(int(schedules * OUTAGE_SHARE)):
        jobs += [make_job(v, LONG_OUTAGE, (), seed, number) for v in VARIANTS]
        jobs += [make_job(v, OUTAGE_KILLS, ("kill",), seed, number) for v in VARIANTS]
    rng = random.Random(seed)
    for number in range(int(schedules * MUTANT_SHARE)):
        faults = tuple(rng.sample(FAULTS, rng.randint(0, 4)))
        jobs += [make_job(v, "off", faults, seed, number) for v in MUTANTS]
        trims = (EARLY_TRIM, EARLY_TRIM_UNCARRIED)
        for repeat in range(TRIM_REPEATS):
            kills = (("kill",), seed, f"{number}/{repeat}")
            jobs += [make_job(v, "early trim", *kills) for v in trims]
    return jobs


def make_job(variant, row, faults, seed, number):
    """Build a :class:`Job`."""
    name = f"{seed}/{row}/{number}"
    return Job(variant=variant.name, row=row, faults=faults, seed=name)


def run_all(jobs, workers):
    """Run the schedules.

    :param jobs: a list of :class:`Job`.
    :param workers: processes.
    :return: a dict of (row, variant) to :class:`Cell`, and the seeds that broke a
        promise of a safe variant.
    """
    cells, broken = {}, []
    with ProcessPoolExecutor(workers) as pool:
        for job, result in pool.map(run_job, jobs, chunksize=CHUNK):
            cells.setdefault((job.row, job.variant), Cell()).add(result)
            if result.violations and job.variant not in UNSAFE:
                broken.append((job, result))
    return cells, broken


def print_tables(cells):
    """Print how purchases ended, and what broke, per fault and policy."""
    print("\n| fault | policy | schedules | served % | refused % | stopped % |", end="")
    print(" unknown % | doubled | ran after 'not run' | unequal answers |")
    print("|---|---|---|---|---|---|---|---|---|---|")
    names = [variant.name for variant in VARIANTS]
    for row in (NO_FAULT, *FAULTS, PAIR, LONG_OUTAGE, OUTAGE_KILLS):
        for name in names:
            print_row(row, name, cells.get((row, name), Cell()))
    print("\n| switched off | schedules | with a broken promise |")
    print("|---|---|---|")
    for (_, name), cell in sorted(cells.items()):
        if name not in names:
            print(f"| {name} | {cell.schedules} | {cell.broken} |")


def print_row(row, name, cell):
    """Print one row."""
    shares = (f"{cell.share(end):.1f}" for end in ENDS)
    counts = (cell.doubled, cell.false_no, cell.unequal)
    print("|", " | ".join(map(str, (row, name, cell.schedules, *shares, *counts))), "|")


def print_counts(cells, seconds):
    """Print how much was explored."""
    faults = sum((cell.faults for cell in cells.values()), Counter())
    safe = [cell for (_, name), cell in cells.items() if name not in UNSAFE]
    schedules = sum(cell.schedules for cell in safe)
    ran = sum(cell.dispatched for cell in safe)
    print(f"schedules: {sum(c.schedules for c in cells.values())} in {seconds:.0f} s,")
    print(f"  of them {schedules} with the policies under test, {ran} calls run")
    print("faults:", ", ".join(f"{name} {faults[name]}" for name in FAULTS))


def print_costs():
    """Print what one ticketed purchase costs."""
    costs = measure_costs()
    print(
        f"\na purchase: {costs.microseconds:.0f} us and {costs.home_bytes:.0f} bytes "
        f"at its home, {costs.reader_bytes:.0f} bytes in each reader of the log, "
        f"{costs.record_bytes:.0f} bytes appended"
    )


def unseen(cells):
    """Return the unsafe variants that broke nothing."""
    broke = {name for (_, name), cell in cells.items() if cell.broken}
    ran = {name for _, name in cells}
    return sorted((UNSAFE & ran) - broke)


def main(argv=None):
    """Run the exploration.

    :param argv: command-line arguments; ``None`` for those of the process.
    :return: exit code.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--schedules", type=int, default=10000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--workers", type=int, default=4)
    options = parser.parse_args(argv)
    print(f"seed {options.seed}, Python {platform.python_version()}")
    start = time.monotonic()
    cells, broken = run_all(plan(options.schedules, options.seed), options.workers)
    print_counts(cells, time.monotonic() - start)
    print_tables(cells)
    print_costs()
    for job, result in broken[:10]:
        print("BROKEN:", job, result)
    missed = unseen(cells)
    if missed:
        print("not seen to break a promise:", ", ".join(missed))
    return 1 if broken or missed else 0


if __name__ == "__main__":
    sys.exit(main())
