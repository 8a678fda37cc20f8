"""Counters and latency histograms served as text."""

from bisect import bisect_left

from wasabistage.telemetry._base import Metrics

#: Upper bounds of a histogram's buckets, in seconds.
BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
PREFIX = "wasabistage"


class TextMetrics(Metrics):
    """Metrics kept in this process and rendered in the text exposition format."""

    def __init__(self):
        self.counters = {}
        self.gauges = {}
        self.histograms = {}

    def count(self, name, value=1, label=""):
        """See :meth:`Metrics.count`."""
        key = (name, label)
        self.counters[key] = self.counters.get(key, 0) + value

    def gauge(self, name, value):
        """See :meth:`Metrics.gauge`."""
        self.gauges[name, ""] = value

    def time(self, name, seconds, label=""):
        """See :meth:`Metrics.time`."""
        rows = self.histograms.setdefault((name, label), [0] * (len(BUCKETS) + 1) + [0])
        rows[bisect_left(BUCKETS, seconds)] += 1
        rows[-1] += seconds

    def render(self):
        """Return all metrics as text.

        :return: bytes.
        """
        lines = []
        for kind, table in (("counter", self.counters), ("gauge", self.gauges)):
            for (name, label), value in sorted(table.items()):
                lines.append(f"# TYPE {full(name)} {kind}")
                lines.append(f"{full(name)}{labels(label)} {value}")
        for (name, label), rows in sorted(self.histograms.items()):
            lines += render_histogram(full(name), label, rows)
        return ("\n".join(lines) + "\n").encode()


def full(name):
    """Return the full name of a metric."""
    return f"{PREFIX}_{name.replace('.', '_')}"


def labels(label, bound=""):
    """Return the label part of a line."""
    parts = [f'label="{label}"'] if label else []
    if bound:
        parts.append(f'le="{bound}"')
    return "{" + ",".join(parts) + "}" if parts else ""


def render_histogram(name, label, rows):
    """Return the lines of one histogram.

    :param name: full name.
    :param label: its label, or ``""``.
    :param rows: counts by bucket, then the sum of all values.
    :return: list of strings.
    """
    lines, total = [f"# TYPE {name} histogram"], 0
    for bound, count in zip([*BUCKETS, "+Inf"], rows[:-1], strict=True):
        total += count
        lines.append(f"{name}_bucket{labels(label, str(bound))} {total}")
    lines.append(f"{name}_sum{labels(label)} {rows[-1]:.6f}")
    lines.append(f"{name}_count{labels(label)} {total}")
    return lines
