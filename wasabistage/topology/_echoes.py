"""Reports that an entry has sent and whose receipt the receiver echoes."""

from collections import OrderedDict

from wasabistage.topology._loads import EMPTY_ROW, LoadRow

MAX_REPORTS = 32  # reports without an echo that are kept


class SentReports:
    """The load in the reports that an entry has sent to its relay.

    The relay echoes the time stamp of the last report that it has received. What it
    tells after that includes the load up to this report. Its facts are therefore at
    least as new as the moment at which the report was sent.
    """

    def __init__(self):
        self._reports = OrderedDict()
        self._newest = {}

    def record(self, clock, rows):
        """Record a report.

        :param clock: time stamp in the report.
        :param rows: dict of server to :class:`LoadRow` in it.
        """
        self._reports[clock] = rows
        if len(self._reports) > MAX_REPORTS:
            self._reports.popitem(last=False)

    def take(self, clock):
        """Return the own load in sums that include the reports up to a time stamp.

        :param clock: the echoed time stamp.
        :return: dict of server to :class:`LoadRow`; what happened between two reports
            counts only once.
        """
        counts = {}
        for stamp in [stamp for stamp in self._reports if stamp <= clock]:
            self._newest = self._reports.pop(stamp)
            for server, row in self._newest.items():
                known = counts.get(server, EMPTY_ROW)
                counts[server] = LoadRow(
                    sent=known.sent + row.sent,
                    ok=known.ok + row.ok,
                    failed=known.failed + row.failed,
                )
        held = self._newest
        return {
            server: counts.get(server, EMPTY_ROW)._replace(
                reserved=held.get(server, EMPTY_ROW).reserved,
                runs=held.get(server, EMPTY_ROW).runs,
            )
            for server in {**counts, **held}
        }
