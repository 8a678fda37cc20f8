"""Bounds on the age of load reports, derived from their sequence numbers."""

from dataclasses import dataclass

MAX_REPORT_LAG_SECONDS = 5.0


@dataclass
class LatestReport:
    """The latest report of one backend server; times are monotonic, in seconds."""

    incarnation: str
    sequence: int
    asked_at: float
    earliest_time: float


class ReportTimeBounds:
    """Lower bounds on the times at which load reports were made.

    A server numbers its reports. A report with a higher number than the previous one
    was made after the request that the previous one answered, since the server would
    have sent it then. The bound needs no clock of the server.

    :param max_lag: longest time by which a report may be older than the request that
        it answers, in seconds. It is the only bound for a server that does not number
        its reports.
    """

    def __init__(self, max_lag=MAX_REPORT_LAG_SECONDS):
        self.max_lag = max_lag

    def reset(self):
        """Forget every report.

        :return: the object itself.
        """
        self.latest_ = {}
        return self

    def remove_undeclared(self, servers):
        """Remove the reports of servers that are no longer declared.

        :param servers: names of the declared servers.
        """
        self.latest_ = {n: item for n, item in self.latest_.items() if n in servers}

    def estimate_earliest_time(self, server, incarnation, sequence, asked_at):
        """Record a report and return a lower bound on the time when it was made.

        :param server: name of the backend server.
        :param incarnation: id of the server's process life; sorts by start time.
        :param sequence: number of the report within the incarnation.
        :param asked_at: time when the report was requested, monotonic, in seconds.
        :return: monotonic time, in seconds, or ``None`` if a newer report is known.
        """
        latest = self.latest_.get(server)
        earliest_time = asked_at - self.max_lag
        if latest is not None:
            if (incarnation, sequence) < (latest.incarnation, latest.sequence):
                return None
            is_same = (incarnation, sequence) == (latest.incarnation, latest.sequence)
            earliest_time = max(
                earliest_time, latest.earliest_time if is_same else latest.asked_at
            )
            asked_at = max(asked_at, latest.asked_at) if is_same else asked_at
        self.latest_[server] = LatestReport(
            incarnation, sequence, asked_at, earliest_time
        )
        return earliest_time
