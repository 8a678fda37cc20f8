"""Measures the slopes again and rewrites the tables of ``docs/CAPACITY.md``.

Run: ``python -m benchmarks.capacity`` or ``make capacity``; ``--short`` for a quick
check that leaves the page alone.
"""

import argparse
import json
import time
from dataclasses import asdict
from pathlib import Path

from benchmarks import entry_hop
from benchmarks._report import machine_kind
from benchmarks.capacity._fleets import measure_fleets
from benchmarks.capacity._model import Measured, total, work_out
from benchmarks.capacity._page import (
    fleet_table,
    replace_table,
    slope_table,
    target_table,
)
from benchmarks.capacity._slopes import SEED, measure_policies
from benchmarks.capacity._wire import BUSY_ACCOUNTS, measure_wire

PAGE = Path("docs") / "CAPACITY.md"
FIGURES = Path("docs") / "bench" / "capacity.json"


def read_hop(figures):
    """Return what a request and a token cost an entry.

    :param figures: a :class:`benchmarks._report.Figures` of the entry hop.
    :return: microseconds per request, and per token.
    """
    medians = {row.name: row.median for row in figures.rows()}
    return medians["us per request"], medians["us per token"]


def measure(short):
    """Measure everything and work the target out.

    :param short: whether to take the quick form.
    :return: a dict of the slopes, the fleets and the lines at the target.
    """
    slopes = measure_policies(short) + measure_wire()
    fleets = measure_fleets(short)
    hop = read_hop(entry_hop.run(1, short))
    measured = Measured(slopes)
    wire = measured.at("gossip", "bytes per call", BUSY_ACCOUNTS)
    lines = work_out(measured, fleets, wire, hop)
    return {"slopes": slopes, "fleets": fleets, "lines": [*lines, total(lines)]}


def write_figures(path, found):
    """Write what was measured as JSON.

    :param path: file to write.
    :param found: what :func:`measure` returned.
    """
    document = {"seed": SEED, "machine": machine_kind()}
    for name, rows in found.items():
        document[name] = [asdict(row) for row in rows]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


def write_page(path, found):
    """Rewrite the page's tables.

    :param path: the page.
    :param found: what :func:`measure` returned.
    """
    text = path.read_text(encoding="utf-8")
    run = [f"Seed {SEED}; {machine_kind()}."]
    tables = {
        "slopes": [*run, "", *slope_table(found["slopes"])],
        "processes": [*run, "", *fleet_table(found["fleets"])],
        "target": target_table(found["lines"]),
    }
    for name, lines in tables.items():
        text = replace_table(text, name, lines)
    path.write_text(text, encoding="utf-8")


def main(argv=None):
    """Measure and write.

    :param argv: arguments; ``None`` for those of the process.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument(
        "--short", action="store_true", help="quick form, writes nothing"
    )
    options = parser.parse_args(argv)
    started = time.monotonic()
    found = measure(options.short)
    for lines in (
        slope_table(found["slopes"]),
        fleet_table(found["fleets"]),
        target_table(found["lines"]),
    ):
        print("\n".join(lines) + "\n")
    if not options.short:
        write_figures(FIGURES, found)
        write_page(PAGE, found)
    print(f"{time.monotonic() - started:.0f} s")


if __name__ == "__main__":
    main()
