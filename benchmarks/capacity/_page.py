"""Rewrites the tables of ``docs/CAPACITY.md`` between their markers."""

import re

BEGIN = "<!-- {name}: written by make capacity -->"
END = "<!-- end of {name} -->"


def replace_table(text, name, lines):
    """Put lines between the markers of a table.

    :param text: the page.
    :param name: name of the table.
    :param lines: its lines.
    :return: the page.
    :raises ValueError: if the page has no such markers.
    """
    begin, end = BEGIN.format(name=name), END.format(name=name)
    pattern = re.escape(begin) + ".*?" + re.escape(end)
    body = "\n".join([begin, "", *lines, "", end])
    text, count = re.subn(pattern, lambda _: body, text, flags=re.DOTALL)
    if count != 1:
        raise ValueError(f"the page needs one pair of markers of {name}")
    return text


def markdown(columns, rows):
    """Write a Markdown table.

    :param columns: names of the columns.
    :param rows: rows of texts.
    :return: a list of lines.
    """
    lines = ["| " + " | ".join(columns) + " |", "|" + "---|" * len(columns)]
    return lines + ["| " + " | ".join(row) + " |" for row in rows]


def number(value):
    """Write a number with three digits that matter.

    :param value: the number.
    :return: a text; empty for 0.
    """
    if not value:
        return ""
    return f"{value:,.0f}" if abs(value) >= 100 else f"{value:.3g}"


def slope_table(slopes):
    """Write the slopes of the decisions.

    :param slopes: a list of :class:`benchmarks.capacity._slopes.Slope`.
    :return: a list of lines.
    """
    rows = [(s.role, s.size, s.name, number(s.value)) for s in slopes]
    return markdown(("role", "size", "figure", "value"), rows)


def fleet_table(fleets):
    """Write the slopes of the processes.

    :param fleets: a list of :class:`benchmarks.capacity._fleets.FleetCost`.
    :return: a list of lines.
    """
    columns = ("entries", "backend servers", "core, median", "core, most")
    columns += ("resident MB", "calls/s sent", "processes", "fleet MB")
    rows = [
        (
            f"{fleet.entries}",
            f"{fleet.servers}",
            f"{fleet.core:.1%}",
            f"{fleet.core_most:.1%}",
            f"{fleet.resident:.0f}",
            f"{fleet.calls:.1f}",
            f"{fleet.processes}",
            f"{fleet.total:,.0f}",
        )
        for fleet in fleets
    ]
    return markdown(columns, rows)


def target_table(lines):
    """Write the roles at the target.

    :param lines: a list of :class:`benchmarks.capacity._model.Line`.
    :return: a list of lines.
    """
    columns = ("role, one entry", "core %", "MB", "messages/s", "bytes/s", "from")
    rows = [
        (
            line.role,
            number(line.core),
            number(line.memory),
            number(line.messages),
            number(line.rate),
            line.formula,
        )
        for line in lines
    ]
    return markdown(columns, rows)
