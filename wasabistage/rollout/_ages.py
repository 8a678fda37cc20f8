"""How old a load report can be, told from its sequence number."""

from dataclasses import dataclass

LARGEST_LAG_SECONDS = 5.0


@dataclass
class Newest:
    """The newest report of one backend server; times are monotonic, in seconds."""

    life: str
    sequence: int
    asked_at: float
    estimate_earliest_time: float


class ReportTimeBounds:
    """Bounds from below when a load report was made.

    A report that follows another one was made after the question which the other one
    answered, since the server did not have it yet. So a lag needs no clock of the
    server's.

    :param largest_lag: lag of a server that does not count its reports, in seconds.
    """

    def __init__(self, largest_lag=LARGEST_LAG_SECONDS):
        self.largest_lag = largest_lag

    def reset(self):
        """Forget every report.

        :return: the object itself.
        """
        self.newest_ = {}
        return self

    def remove_undeclared(self, servers):
        """Forget the servers that are not declared any more.

        :param servers: names of the declared servers.
        """
        self.newest_ = {n: item for n, item in self.newest_.items() if n in servers}

    def estimate_earliest_time(self, server, life, sequence, asked_at):
        """Take a report and tell after which time it was made.

        :param server: name of the backend server.
        :param life: identifier of its process life; sorts by its start.
        :param sequence: number of the report in that life.
        :param asked_at: when the server was asked, monotonic seconds.
        :return: monotonic seconds, or ``None`` if a newer report is known.
        """
        known = self.newest_.get(server)
        produced = asked_at - self.largest_lag
        if known is not None:
            if (life, sequence) < (known.life, known.sequence):
                return None
            same = (life, sequence) == (known.life, known.sequence)
            produced = max(
                produced, known.estimate_earliest_time if same else known.asked_at
            )
            asked_at = max(asked_at, known.asked_at) if same else asked_at
        self.newest_[server] = Newest(life, sequence, asked_at, produced)
        return produced
