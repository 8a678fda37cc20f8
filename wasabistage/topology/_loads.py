"""Sums of the load that entries put on backend servers, and of what they see there."""

from typing import NamedTuple

NO_BYTES = -1.0


class LoadRow(NamedTuple):
    """Load that a group of entries puts on one server, and what it sees there.

    :param sent: prompt tokens sent since the last report.
    :param reserved: KV cache memory reserved for running requests, in tokens.
    :param runs: open requests.
    :param ok: calls that succeeded since the last report.
    :param failed: calls since the last report that failed for the server's fault.
    :param byte_age: time since the last byte of a response to an entry of the same
        failure domain, in seconds; ``NO_BYTES`` if there was none.
    :param any_byte_age: the same for an entry of any failure domain.
    """

    sent: int = 0
    reserved: int = 0
    runs: int = 0
    ok: int = 0
    failed: int = 0
    byte_age: float = NO_BYTES
    any_byte_age: float = NO_BYTES


EMPTY_ROW = LoadRow()


class LoadTable:
    """Adds up the rows that entries report.

    What happened since the last report adds up until it is taken; what holds at a
    moment counts as last reported.
    """

    def __init__(self):
        self._rows = {}
        self._counts = {}
        self._near_byte_at = {}
        self._any_byte_at = {}

    def observe(self, source, rows, now, *, is_near=True):
        """Record the rows that a source reports.

        :param source: name of the entry.
        :param rows: dict of server to :class:`LoadRow`.
        :param now: monotonic time, in seconds.
        :param is_near: whether the source is in the own failure domain. Only then the
            outcomes of its calls count: a server may fail for some domains alone.
        """
        self._rows[source] = rows
        for server, row in rows.items():
            sent, ok, failed = self._counts.get(server, (0, 0, 0))
            sent += row.sent
            if is_near:
                ok, failed = ok + row.ok, failed + row.failed
                record_age(self._near_byte_at, server, row.byte_age, now)
            record_age(self._any_byte_at, server, row.byte_age, now)
            record_age(self._any_byte_at, server, row.any_byte_age, now)
            if sent or ok or failed:
                self._counts[server] = (sent, ok, failed)

    @property
    def has_counts(self):
        """Whether something has happened since the last report."""
        return bool(self._counts)

    def remove(self, source):
        """Remove what a source that has stopped or moved has reported.

        :param source: name of the entry.
        """
        self._rows.pop(source, None)

    def take(self, now):
        """Return the sums and start those since the last report anew.

        :param now: monotonic time, in seconds.
        :return: dict of server to :class:`LoadRow`.
        """
        held = {}
        for rows in self._rows.values():
            for server, row in rows.items():
                if row.reserved or row.runs:
                    reserved, runs = held.get(server, (0, 0))
                    held[server] = (reserved + row.reserved, runs + row.runs)
        counts, self._counts = self._counts, {}
        last_byte_at, self._near_byte_at = self._near_byte_at, {}
        any_byte_at, self._any_byte_at = self._any_byte_at, {}
        return {
            server: LoadRow(
                counts.get(server, (0,))[0],
                *held.get(server, (0, 0)),
                *counts.get(server, (0, 0, 0))[1:],
                get_age(last_byte_at, server, now),
                get_age(any_byte_at, server, now),
            )
            for server in {**held, **counts, **any_byte_at}
        }


def record_age(times, name, age, now):
    """Record the time of an event from its age, if it is the newest of its name.

    :param times: dict of name to time.
    :param name: name of the server.
    :param age: time since the event, in seconds, or ``NO_BYTES``.
    :param now: monotonic time, in seconds.
    """
    if age >= 0:
        times[name] = max(times.get(name, float("-inf")), now - age)


def get_age(times, name, now):
    """Return the age of an event in milliseconds' precision, or ``NO_BYTES``.

    :param times: dict of name to time.
    :param name: name of the server.
    :param now: monotonic time, in seconds.
    """
    return round(now - times[name], 3) if name in times else NO_BYTES


def select_busiest(rows, limit):
    """Return the rows with the most open requests, to bound the size of a report.

    :param rows: dict of server to :class:`LoadRow`.
    :param limit: largest number of rows.
    """
    if len(rows) <= limit:
        return rows
    servers = sorted(rows, key=lambda server: rows[server].runs, reverse=True)
    return {server: rows[server] for server in servers[:limit]}


def subtract_loads(totals, own):
    """Return the rows of the others in sums that include the own ones.

    :param totals: dict of server to :class:`LoadRow` of all.
    :param own: the same of one entry as counted in ``totals``.
    """
    others = {}
    for server, row in totals.items():
        mine = own.get(server, EMPTY_ROW)
        others[server] = LoadRow(
            max(0, row.sent - mine.sent),
            max(0, row.reserved - mine.reserved),
            max(0, row.runs - mine.runs),
            max(0, row.ok - mine.ok),
            max(0, row.failed - mine.failed),
            row.byte_age,
            row.any_byte_age,
        )
    return others
