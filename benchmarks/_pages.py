"""The page of every benchmark's figures, from their JSON files."""

import json

from benchmarks._report import Figure, table_row

HEAD = """\
# Measured figures

Written by `make bench`; the JSON and CSV files beside this page hold each repeat's
value. A figure is the median over the repeats, with the least and the most. *Own*
rows are the policies of this project; the others are baselines on the
same seeded arrivals, and what they miss shows what the policy is for. The policies
run against simulated time, but for those that state microseconds; `entry_hop` runs
real processes.
"""
COLUMNS = "| scenario | policy | figure | median | least | most | aim | verdict |"
RULE = "|---|---|---|---|---|---|---|---|"


def read_figures(path):
    """Read a benchmark's figures.

    :param path: its JSON file.
    :return: the document, and the list of :class:`benchmarks._report.Figure`.
    """
    document = json.loads(path.read_text(encoding="utf-8"))
    names = Figure.__dataclass_fields__
    figures = [
        Figure(**{name: row[name] for name in names}) for row in document["figures"]
    ]
    return document, figures


def table(figures):
    """Write figures as a Markdown table.

    :param figures: a list of :class:`benchmarks._report.Figure`.
    :return: a list of lines.
    """
    lines = [COLUMNS, RULE]
    for figure in figures:
        lines.append("| " + " | ".join(table_row(figure)) + " |")
    return [*lines, ""]


def describe(benchmark, document, figures):
    """Write the section of one benchmark.

    :param benchmark: a :class:`benchmarks._suite.Benchmark`.
    :param document: its JSON document.
    :param figures: its figures.
    :return: a list of lines.
    """
    run = f"Seed {document['seed']}, {document['repeats']} repeats; "
    lines = [f"## {benchmark.name}: {benchmark.title}", "", run + document["machine"]]
    own = ", ".join(f"*{name}*" for name in benchmark.own)
    lines += [f"Own: {own}.", "", f"![{benchmark.name}]({benchmark.name}.png)", ""]
    return lines + table(figures)


def write_page(folder, suite):
    """Write ``README.md`` from the JSON files that are there.

    :param folder: folder of the files.
    :param suite: the benchmarks, in order.
    """
    aimed, sections = [], []
    for benchmark in suite:
        path = folder / f"{benchmark.name}.json"
        if not path.exists():
            continue
        document, figures = read_figures(path)
        own = [f for f in figures if f.policy in benchmark.own and f.aim]
        aimed += own
        sections += describe(benchmark, document, figures)
    missed = [figure for figure in aimed if figure.verdict == "MISSED"]
    lines = [HEAD, f"## Misses of own policies: {len(missed)} of {len(aimed)} aims", ""]
    lines += table(missed) if missed else ["None.", ""]
    lines += ["## Aims of own policies", "", *table(aimed), *sections]
    text = "\n".join(lines).rstrip() + "\n"
    (folder / "README.md").write_text(text, encoding="utf-8")
