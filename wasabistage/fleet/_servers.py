"""Table of the backend servers, kept in line with the server list."""

from dataclasses import dataclass, field, replace

#: Time after the end of a list outage within which the record of a running server
#: must be back in the list. The platform states about 2 s for this time.
RETURN_TIMEOUT_SECONDS = 1.9
MAX_LEFT_SERVERS = 4096  # remembered; twice the servers of the largest deployment


@dataclass(frozen=True, kw_only=True)
class ServerRecord:
    """Record of a backend server in the server list.

    :param server: id of the server.
    :param incarnation: start time of its process; each restart has a higher one.
    :param service: name of the service that it belongs to.
    :param address: ``IP:PORT``.
    :param failure_domain: name of its failure domain.
    :param slots: number of requests that it processes concurrently.
    :param is_leaving: whether it has announced that it stops.
    :param versions: dict of model name to the weight version that it has loaded.
    :param cold_left: time for which it stays cold, in seconds, as of when the record
        was written; ``None`` if the record doesn't tell. It is no property of the
        server, so that records that differ in it alone are equal.
    """

    server: str
    incarnation: int
    service: str
    address: str
    failure_domain: str = ""
    slots: int = 1
    is_leaving: bool = False
    versions: dict = field(default_factory=dict)
    cold_left: float | None = field(default=None, compare=False)


@dataclass
class ListedServer:
    """A backend server in the table.

    :param record: its newest :class:`ServerRecord`.
    :param vanished_at: monotonic time, in seconds, at which its record vanished from
        the list during or shortly after an outage, or ``None``.
    """

    record: ServerRecord
    vanished_at: float | None = None


class ServerTable:
    """The backend servers that may receive requests.

    A record that vanishes while the list can be read means that the server stopped or
    could not renew it. One that vanishes during an outage of the list, or less than
    :data:`RETURN_TIMEOUT_SECONDS` after it, may have expired because of the outage. The
    server is kept until that time after the outage is over.

    A server whose record returns is used again, unless the same process has left. It
    has left if it had announced so. If another server has answered at its address, it
    has left that address.
    """

    def __init__(self):
        self.servers = {}
        #: Incarnation and address of each server that has left; the address is ``None``
        #: for one that has left for good.
        self.left_processes = {}
        self.outage_ended_at = float("-inf")
        self.is_in_outage = False

    def start_outage(self):
        """Record that the list can't be read."""
        self.is_in_outage = True

    def end_outage(self, now):
        """Record that the list was read, which ends an outage.

        :param now: monotonic time, in seconds.
        """
        if self.is_in_outage:
            self.is_in_outage = False
            self.outage_ended_at = now

    def observe(self, record, now):
        """Add or update a server from its record in the list.

        A record is ignored if its incarnation is older than the listed one or has left.
        An incarnation that is leaving stays leaving.

        :param record: a :class:`ServerRecord`.
        :param now: monotonic time, in seconds; not used.
        :return: whether the server is new, changed, or listed again after its record
            vanished.
        """
        incarnation, address = self.left_processes.get(record.server, (None, None))
        if incarnation == record.incarnation and address in (None, record.address):
            return False
        known = self.servers.get(record.server)
        if known and known.record.incarnation > record.incarnation:
            return False
        if known and known.record.incarnation == record.incarnation:
            if known.record.is_leaving and not record.is_leaving:
                record = replace(record, is_leaving=True)
        self.servers[record.server] = ListedServer(record)
        return known is None or known.record != record or known.vanished_at is not None

    def remove(self, server, now):
        """Handle the disappearance of a server's record from the list.

        The server is kept for now if its record may only have expired, unless it is
        leaving.

        :param server: id of the server.
        :param now: monotonic time, in seconds.
        :return: whether the server was removed.
        """
        known = self.servers.get(server)
        if known is None:
            return False
        is_recovering = now - self.outage_ended_at < RETURN_TIMEOUT_SECONDS
        if (self.is_in_outage or is_recovering) and not known.record.is_leaving:
            known.vanished_at = now
            return False
        if known.record.is_leaving:
            self._record_left(known.record, None)
        del self.servers[server]
        return True

    def record_leaving(self, record):
        """Record that a server has announced itself that it stops.

        :param record: the :class:`ServerRecord` by which it was called; another
            incarnation of the server stays as it is.
        :return: whether it was not known to leave.
        """
        known = self.servers.get(record.server)
        if known is None or known.record.incarnation != record.incarnation:
            return False
        if known.record.is_leaving:
            return False
        known.record = replace(known.record, is_leaving=True)
        return True

    def remove_replaced(self, record):
        """Remove a server since another one answers at its address.

        :param record: the outdated :class:`ServerRecord`; a newer incarnation of the
            server, or the same one at another address, stays in the table.
        :return: whether the server was removed.
        """
        known = self.servers.get(record.server)
        if known is None or known.record.incarnation > record.incarnation:
            return False
        if known.record.address != record.address:
            return False
        self._record_left(known.record, known.record.address)
        del self.servers[record.server]
        return True

    def _record_left(self, record, address):
        self.left_processes[record.server] = record.incarnation, address
        if len(self.left_processes) > MAX_LEFT_SERVERS:
            del self.left_processes[next(iter(self.left_processes))]

    def tick(self, now):
        """Remove the servers whose records vanished in an outage and did not return.

        :param now: monotonic time, in seconds.
        :return: list of the ids of the removed servers.
        """
        if self.is_in_outage or now - self.outage_ended_at < RETURN_TIMEOUT_SECONDS:
            return []
        removed = [
            server
            for server, known in self.servers.items()
            if known.vanished_at is not None
        ]
        for server in removed:
            del self.servers[server]
        return removed

    def find_usable(self, service):
        """Return the records of a service's servers that may get new requests.

        Leaving servers are left out. If two records have the same address, only the one
        with the higher incarnation is returned, since that process answers there.

        :param service: name of the service.
        :return: list of :class:`ServerRecord`.
        """
        newest = {}
        for known in self.servers.values():
            record = known.record
            if record.service != service or record.is_leaving:
                continue
            same_address = newest.get(record.address)
            if same_address is None or same_address.incarnation < record.incarnation:
                newest[record.address] = record
        return list(newest.values())

    def get(self, server):
        """Return the :class:`ServerRecord` of a server, or ``None``."""
        known = self.servers.get(server)
        return known.record if known else None
