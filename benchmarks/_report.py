"""Tables of measured figures: text, CSV, JSON and a picture."""

import argparse
import csv
import json
import os
import platform
from dataclasses import asdict, dataclass, field
from pathlib import Path
from statistics import median


@dataclass(frozen=True, kw_only=True)
class Figure:
    """One measured figure over the repeats.

    :param scenario: what was played.
    :param policy: which policy.
    :param name: what was measured, with its unit.
    :param values: one value for each repeat.
    :param at_least: aim: the median is at least this, or ``None``.
    :param at_most: aim: the median is at most this, or ``None``.
    """

    scenario: str
    policy: str
    name: str
    values: list[float] = field(default_factory=list)
    at_least: float | None = None
    at_most: float | None = None

    @property
    def median(self):
        """Median over the repeats."""
        return median(self.values)

    @property
    def aim(self):
        """The aim in words; empty without one."""
        if self.at_least is not None:
            return f">= {self.at_least:g}"
        return "" if self.at_most is None else f"<= {self.at_most:g}"

    @property
    def verdict(self):
        """``met``, ``MISSED``, or empty without an aim."""
        if not self.aim:
            return ""
        low = self.at_least is not None and self.median < self.at_least
        high = self.at_most is not None and self.median > self.at_most
        return "MISSED" if low or high else "met"


@dataclass(frozen=True, kw_only=True)
class Aim:
    """What a figure should reach.

    :param at_least: lower bound, or ``None``.
    :param at_most: upper bound, or ``None``.
    """

    at_least: float | None = None
    at_most: float | None = None


NO_AIM = Aim()


class Figures:
    """Collects figures over repeats, in order of their first mention."""

    def __init__(self):
        self.by_key = {}

    def add(self, scenario, policy, name, value, aim=NO_AIM):
        """Add one repeat's value.

        :param scenario: what was played.
        :param policy: which policy.
        :param name: what was measured, with its unit.
        :param value: the value.
        :param aim: an :class:`Aim`.
        """
        key = (scenario, policy, name)
        if key not in self.by_key:
            self.by_key[key] = Figure(
                scenario=scenario, policy=policy, name=name, **asdict(aim)
            )
        self.by_key[key].values.append(value)

    def rows(self):
        """Return the figures in order.

        :return: a list of :class:`Figure`.
        """
        return list(self.by_key.values())


COLUMNS = ("scenario", "policy", "figure", "median", "least", "most", "aim", "verdict")


def machine_kind():
    """Name the kind of machine.

    :return: cores, processor architecture and Python version.
    """
    cores = os.cpu_count()
    return f"{cores} cores, {platform.machine()}, Python {platform.python_version()}"


def table_row(figure):
    """Return a figure as a row of the table.

    :param figure: a :class:`Figure`.
    :return: a tuple of texts in the order of ``COLUMNS``.
    """
    numbers = (figure.median, min(figure.values), max(figure.values))
    texts = (f"{number:.4g}" for number in numbers)
    return (
        figure.scenario,
        figure.policy,
        figure.name,
        *texts,
        figure.aim,
        figure.verdict,
    )


def format_table(title, figures, options):
    """Write the table as text.

    :param title: heading.
    :param figures: a list of :class:`Figure`.
    :param options: parsed command line with ``seed`` and ``repeats``.
    :return: the text.
    """
    rows = [COLUMNS, *(table_row(figure) for figure in figures)]
    widths = [max(len(row[i]) for row in rows) for i in range(len(COLUMNS))]
    lines = [
        f"{title}: seed {options.seed}, {options.repeats} repeats, {machine_kind()}"
    ]
    for row in rows:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        lines.append("  ".join(cells).rstrip())
    return "\n".join(lines)


def write_csv(path, figures):
    """Write the table as CSV.

    :param path: file to write.
    :param figures: a list of :class:`Figure`.
    """
    with Path(path).open("w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow(COLUMNS)
        writer.writerows(table_row(figure) for figure in figures)


def write_json(path, title, figures, options):
    """Write all values as JSON.

    :param path: file to write.
    :param title: heading.
    :param figures: a list of :class:`Figure`.
    :param options: parsed command line with ``seed`` and ``repeats``.
    """
    rows = [
        asdict(figure) | {"median": figure.median, "verdict": figure.verdict}
        for figure in figures
    ]
    document = {
        "title": title,
        "seed": options.seed,
        "repeats": options.repeats,
        "machine": machine_kind(),
        "figures": rows,
    }
    Path(path).write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


def write_png(path, title, figures):
    """Draw the figures that have an aim, each relative to it.

    :param path: file to write.
    :param title: heading.
    :param figures: a list of :class:`Figure`.
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    aimed = [figure for figure in figures if figure.aim][::-1]
    bounds = [f.at_most if f.at_least is None else f.at_least for f in aimed]
    labels = [f"{f.scenario}, {f.policy}: {f.name} ({f.aim})" for f in aimed]
    values = [f.median / (b or 1) for f, b in zip(aimed, bounds, strict=True)]
    colours = ["tab:red" if f.verdict == "MISSED" else "tab:green" for f in aimed]
    height = 1.2 + 0.32 * len(aimed)
    drawing, axes = pyplot.subplots(figsize=(11, height), layout="constrained")
    axes.barh(labels, values, color=colours)
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_xlim(0, 2.5)
    axes.set_xlabel("median over aim")
    axes.set_title(title)
    drawing.savefig(path, dpi=110, format="png")
    pyplot.close(drawing)


def parse_options(description, argv=None):
    """Parse the command line that all benchmarks share.

    :param description: one line for the help text.
    :param argv: arguments; ``None`` for those of the process.
    :return: a namespace with ``seed``, ``repeats``, ``json``, ``csv`` and ``png``.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seed", type=int, default=1, help="seed of the first repeat")
    parser.add_argument("--repeats", type=int, default=5, help="repeats, each reseeded")
    parser.add_argument("--json", help="file for all values")
    parser.add_argument("--csv", help="file for the table")
    parser.add_argument("--png", help="file for the picture")
    return parser.parse_args(argv)


def publish_figures(title, figures, options):
    """Print the table and write the files that were asked for.

    :param title: heading.
    :param figures: a :class:`Figures`.
    :param options: from :func:`parse_options`.
    """
    rows = figures.rows()
    print(format_table(title, rows, options))
    if options.csv:
        write_csv(options.csv, rows)
    if options.json:
        write_json(options.json, title, rows, options)
    if options.png:
        write_png(options.png, title, rows)
