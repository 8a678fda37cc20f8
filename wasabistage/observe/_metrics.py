"""Metrics, sent to statsd over UDP."""

from statsd import StatsClient

from wasabistage.telemetry import Metrics

#: Every metric: name to kind and meaning.
METRICS = {
    "request.received": ("counter", "requests received from callers"),
    "request.answered": ("counter", "requests answered whole"),
    "request.failed": ("counter", "requests answered with an error, by kind"),
    "request.first_token": ("timer", "milliseconds to the first token, by rank"),
    "request.refused": ("counter", "requests refused before they ran, by reason"),
    "request.retried": ("counter", "attempts after the first"),
    "prompt.tokens": ("counter", "prompt tokens received"),
    "prompt.recomputed": ("counter", "prompt tokens that an engine computed"),
    "answer.tokens": ("counter", "tokens relayed to callers"),
    "answer.mismatch": ("counter", "frames that belong to another stream"),
    "answer.resumed": ("counter", "streams resumed by callers"),
    "answer.cancelled": ("counter", "streams cancelled as their caller left"),
    "once.dispatched": ("counter", "non-idempotent calls sent to a backend server"),
    "once.joined": ("counter", "attempts that joined an earlier dispatch"),
    "once.unknown": ("counter", "non-idempotent calls whose outcome is not known"),
    "cache.fetched": ("counter", "cache pieces imported from a store"),
    "cache.exported": ("counter", "cache pieces exported to a store"),
    "cache.rejected": ("counter", "cache pieces that failed verification"),
    "config.version": ("gauge", "configuration version in force"),
    "fleet.entries": (
        "gauge",
        "entries that share the retry budgets, 0: unknown (edge)",
    ),
    "config.alarm": ("counter", "log records that were skipped as bad"),
    "peer.calls": ("counter", "calls sent to other entries"),
    "peer.failures": ("counter", "calls to other entries that failed"),
    "order.sent": ("counter", "orders sent to backend servers"),
    "log.appends": ("counter", "append calls to the log service"),
    "log.failures": ("counter", "calls to the log service that failed"),
    "cache.failures": ("counter", "reads of cache events that failed (edge)"),
    "channel.ended": ("counter", "callers' channels that broke off (edge)"),
    "prompt.fetched": ("counter", "prompt tokens fetched from a store (edge)"),
    "prompt.kept": ("counter", "prompt tokens that an engine had kept (edge)"),
    "prompt.withdrawn": (
        "counter",
        "prompts withdrawn that would begin on old weights too late (edge)",
    ),
    "prompt.withheld": ("counter", "prompts withheld for a part that crashes engines"),
    "request.abandoned": ("counter", "requests whose caller left (edge)"),
    "request.deferred_cold": (
        "counter",
        "attempts not sent since their server had become cold (edge)",
    ),
    "request.waited_cold": ("counter", "pauses of requests for cold servers (edge)"),
    "evacuation.domains": ("gauge", "failure domains that are evacuated (edge)"),
    "servers.cold": ("gauge", "listed servers that count as cold (edge)"),
    "store.era": ("gauge", "era of the record store (edge)"),
    "servers.lost": (
        "counter",
        "warm servers that may have become cold with a lost connection (edge)",
    ),
    "request.late": ("counter", "requests ended at their deadline (edge)"),
    "records.trimmed": ("counter", "reads of records that were dropped (edge)"),
    "records.unreadable": ("counter", "records that can't be read, by topic (edge)"),
    "store.failures": ("counter", "reads of records that failed, by topic (edge)"),
    "client.refused": (
        "counter",
        "requests and channels refused before they were complete, by cause (edge)",
    ),
    "directory.callers": ("gauge", "callers that asked for addresses lately (edge)"),
    "entry.capacity_share": (
        "gauge",
        "share of its capacity that this entry tells the others (edge)",
    ),
    "explain.answered": ("counter", "questions where a request would go (edge)"),
    "notice.failures": ("counter", "notices not sent or not readable (edge)"),
    "notice.ignored": ("counter", "notices of unknown entries or servers (edge)"),
    "notice.received": (
        "counter",
        "notices of prompts and slow engines from other entries (edge)",
    ),
    "notice.sent": ("counter", "notices sent to other entries (edge)"),
    "request.return_after": (
        "timer",
        "milliseconds after which refused callers are to return, by rank (edge)",
    ),
    "stream.held_up": ("counter", "streams that wait for a caller to read (edge)"),
    "stream.slow_reader": (
        "counter",
        "streams ended since their caller did not read (edge)",
    ),
    "task.failure": ("counter", "messages whose handling failed, by task"),
}


class MemoryMetrics(Metrics):
    """Metrics kept in this process, for ``status`` and for tests."""

    def __init__(self):
        self.values = {}

    def count(self, name, value=1, label=""):
        """Add to a counter; see :meth:`Metrics.count`."""
        full = full_name(name, label)
        self.values[full] = self.values.get(full, 0) + value

    def gauge(self, name, value):
        """Set a gauge; see :meth:`Metrics.gauge`."""
        self.values[full_name(name, "")] = value

    def time(self, name, seconds, label=""):
        """Count a duration; see :meth:`Metrics.time`."""
        self.count(name, 1, label)


class StatsdMetrics(MemoryMetrics):
    """Metrics that are kept here and sent to statsd as well.

    :param address: ``IP:PORT`` of statsd.
    :param prefix: start of every metric's name.
    """

    def __init__(self, address, prefix):
        super().__init__()
        host, _, port = address.rpartition(":")
        self.client = StatsClient(host, int(port), prefix=prefix)

    def count(self, name, value=1, label=""):
        """Add to a counter; see :meth:`Metrics.count`."""
        super().count(name, value, label)
        self.client.incr(full_name(name, label), value)

    def gauge(self, name, value):
        """Set a gauge; see :meth:`Metrics.gauge`."""
        super().gauge(name, value)
        self.client.gauge(full_name(name, ""), value)

    def time(self, name, seconds, label=""):
        """Record a duration; see :meth:`Metrics.time`."""
        super().time(name, seconds, label)
        self.client.timing(full_name(name, label), seconds * 1000.0)


def make_metrics(address, prefix):
    """Build the metrics of one process.

    :param address: ``IP:PORT`` of statsd; empty for none.
    :param prefix: start of every metric's name.
    :return: a :class:`Metrics`.
    """
    return StatsdMetrics(address, prefix) if address else MemoryMetrics()


def full_name(name, label):
    """Return the name of a metric with its label.

    :param name: a key of ``METRICS``.
    :param label: last part, or empty.
    :return: a string.
    :raises KeyError: if the metric is not declared.
    """
    if name not in METRICS:
        raise KeyError(f"metric {name!r} is not declared; add it to METRICS")
    return f"{name}.{label}" if label else name


def describe_metrics():
    """Generate the reference page of the metrics.

    :return: Markdown.
    """
    lines = [
        "# Metrics",
        "",
        "Each entry instance sends them to statsd, if its settings name an address,",
        "as `PREFIX.NAME`. A meaning that ends in *by rank*, *by kind* or *by task*",
        "has that as the last part of the name: `request.failed.overload`.",
        "`wasabistage status --json` shows the same counters and gauges of each entry;",
        "of a timer it shows how often it was measured.",
        "",
        "This page is generated; `python -m wasabistage.observe` prints it.",
        "",
    ]
    lines += ["| name | kind | meaning |", "|---|---|---|"]
    for name, (kind, meaning) in sorted(METRICS.items()):
        lines.append(f"| `{name}` | {kind} | {meaning} |")
    return "\n".join(lines) + "\n"
