"""Which backend servers are listed, leaving, or gone."""

from dataclasses import dataclass, field, replace

#: After the list is back, a live server's entry returns within this time, in seconds;
#: the users' letter says about two seconds.
RETURN_TIME = 1.9


@dataclass(frozen=True, kw_only=True)
class ServerRecord:
    """What a backend server says of itself.

    :param server: its id.
    :param incarnation: start of its process; another value is another life.
    :param service: service it belongs to.
    :param address: ``IP:PORT``.
    :param failure_domain: failure domain it stands in.
    :param slots: requests that it processes at once.
    :param is_leaving: whether it announced that it leaves.
    :param versions: dict of model to weight version.
    """

    server: str
    incarnation: int
    service: str
    address: str
    failure_domain: str = ""
    slots: int = 1
    is_leaving: bool = False
    versions: dict = field(default_factory=dict)


@dataclass
class ListedServer:
    """A server with what happened to its entry.

    :param record: the newest :class:`ServerRecord`.
    :param lapsed_at: when its entry vanished during an outage of the list, or
        ``None``.
    """

    record: ServerRecord
    lapsed_at: float | None = None


class ServerTable:
    """The listed backend servers.

    An entry that vanishes while the list can be read means that the server left. One
    that vanished during an outage of the list may only have lapsed: it is kept until
    :data:`RETURN_TIME` after the list is back.
    """

    def __init__(self):
        self.servers = {}
        self.left = {}
        self.outage_ended_at = float("-inf")
        self.in_outage = False

    def start_outage(self):
        """Note that the list can't be read."""
        self.in_outage = True

    def end_outage(self, now):
        """Note that the list was read."""
        if self.in_outage:
            self.in_outage = False
            self.outage_ended_at = now

    def observe(self, record, now):
        """Take in a server's entry.

        :param record: a :class:`ServerRecord`.
        :param now: monotonic time, in seconds.
        :return: whether the server is new, another life, or changed its state.
        """
        if self.left.get(record.server) == record.incarnation:
            return False
        known = self.servers.get(record.server)
        if known and known.record.incarnation > record.incarnation:
            return False
        if known and known.record.incarnation == record.incarnation:
            if known.record.is_leaving and not record.is_leaving:
                record = replace(record, is_leaving=True)
        self.servers[record.server] = ListedServer(record)
        return known is None or known.record != record or known.lapsed_at is not None

    def remove(self, server, now):
        """Take in that a server's entry vanished.

        :param server: id of the server.
        :param now: monotonic time, in seconds.
        :return: whether the server is gone at once.
        """
        known = self.servers.get(server)
        if known is None:
            return False
        recent = now - self.outage_ended_at < RETURN_TIME
        if (self.in_outage or recent) and not known.record.is_leaving:
            known.lapsed_at = now
            return False
        self._forget(server)
        return True

    def remove_replaced(self, record):
        """Take in that another server answers at a server's address.

        :param record: the :class:`ServerRecord` that is outdated.
        :return: whether the server was listed until now.
        """
        known = self.servers.get(record.server)
        if known is None or known.record.incarnation > record.incarnation:
            return False
        self._forget(record.server)
        return True

    def _forget(self, server):
        known = self.servers.pop(server)
        self.left[server] = known.record.incarnation
        if len(self.left) > 4096:  # twice the servers of the largest deployment
            del self.left[next(iter(self.left))]

    def tick(self, now):
        """Drop the lapsed servers that did not return.

        :param now: monotonic time, in seconds.
        :return: list of their ids.
        """
        if self.in_outage or now - self.outage_ended_at < RETURN_TIME:
            return []
        gone = [
            server
            for server, known in self.servers.items()
            if known.lapsed_at is not None
        ]
        for server in gone:
            self._forget(server)
        return gone

    def find_usable(self, service):
        """Return the :class:`ServerRecord` of each server that may get new work.

        Of two entries with one address the newer life is the one that answers.
        """
        newest = {}
        for known in self.servers.values():
            record = known.record
            if record.service != service or record.is_leaving:
                continue
            other = newest.get(record.address)
            if other is None or other.incarnation < record.incarnation:
                newest[record.address] = record
        return list(newest.values())

    def get(self, server):
        """Return the :class:`ServerRecord` of a server, or ``None``."""
        known = self.servers.get(server)
        return known.record if known else None
