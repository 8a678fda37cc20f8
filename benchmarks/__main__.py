"""Runs every benchmark, one at a time, and writes ``docs/bench``.

Run: ``python -m benchmarks`` or ``make bench``; ``--short`` for a quick check.
"""

import argparse
import time
from pathlib import Path

from benchmarks._pages import write_page
from benchmarks._report import format_table, write_csv, write_json, write_png
from benchmarks._suite import SUITE
from benchmarks.entry_hop import ENTRY_HOP

FOLDER = Path("docs") / "bench"
REPEATS = 3


def parse(argv=None):
    """Parse the command line.

    :param argv: arguments; ``None`` for those of the process.
    :return: the namespace.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1, help="seed of the first repeat")
    parser.add_argument("--repeats", type=int, default=REPEATS)
    parser.add_argument("--short", action="store_true", help="quick form, one repeat")
    parser.add_argument("--out", type=Path, default=FOLDER, help="folder to write")
    parser.add_argument("--only", nargs="*", default=(), help="names of benchmarks")
    return parser.parse_args(argv)


def run_benchmark(benchmark, options):
    """Run one benchmark and write its files.

    :param benchmark: a :class:`benchmarks._suite.Benchmark`.
    :param options: the parsed command line.
    """
    started = time.monotonic()
    figures = benchmark.collect(options.seed, options.repeats, options.short)
    rows = figures.rows()
    print(format_table(benchmark.name, rows, options))
    print(f"({time.monotonic() - started:.0f} s)\n", flush=True)
    path = options.out / benchmark.name
    write_csv(path.with_suffix(".csv"), rows)
    write_json(path.with_suffix(".json"), benchmark.name, rows, options)
    drawn = [row for row in rows if row.policy in benchmark.own] or rows
    write_png(path.with_suffix(".png"), benchmark.title, drawn)


def main(argv=None):
    """Run the benchmarks.

    :param argv: arguments; ``None`` for those of the process.
    """
    options = parse(argv)
    if options.short:
        options.repeats = 1
    options.out.mkdir(parents=True, exist_ok=True)
    suite = (*SUITE, ENTRY_HOP)
    for benchmark in suite:
        if not options.only or benchmark.name in options.only:
            run_benchmark(benchmark, options)
    write_page(options.out, suite)


if __name__ == "__main__":
    main()
