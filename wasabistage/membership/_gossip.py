"""Gossip plans: which instances exchange which messages, and what it costs."""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass

from wasabistage.exceptions import SettingError
from wasabistage.membership._digests import (
    MESSAGE_OVERHEAD_BYTES,
    CellDigest,
    ServerDigest,
    encode_message,
    rank_by_hash,
)
from wasabistage.membership._messages import Heartbeat

SECONDS_PER_DAY = 86400.0


@dataclass(frozen=True, kw_only=True)
class GossipCost:
    """Network cost of one kind of message for one entry instance.

    :param kind: kind of message, or ``total``.
    :param messages: messages sent and received per second.
    :param bytes_per_second: bytes sent and received per second.
    """

    kind: str
    messages: float
    bytes_per_second: float


class GossipPlan(ABC):
    """Base class of gossip plans, which estimate the network cost of a deployment.

    :param entries: number of entry instances.
    :param servers: number of backend servers.
    :param interval: time between heartbeats, in seconds.
    :param report_interval: time between load reports, in seconds.
    :param config_changes: changes of the configuration per day.
    :param config_bytes: size of a changed configuration record, in bytes.
    """

    def __init__(
        self,
        entries=7,
        servers=10,
        *,
        interval=0.5,
        report_interval=1.0,
        config_changes=50.0,
        config_bytes=2048,
    ):
        self.entries = entries
        self.servers = servers
        self.interval = interval
        self.report_interval = report_interval
        self.config_changes = config_changes
        self.config_bytes = config_bytes

    @abstractmethod
    def estimate_costs(self):
        """Estimate the cost of each kind of message.

        :return: a list of :class:`GossipCost`.
        """

    def total(self):
        """Return the sum of the costs.

        :return: a :class:`GossipCost`.
        """
        costs = self.estimate_costs()
        return GossipCost(
            kind="total",
            messages=sum(cost.messages for cost in costs),
            bytes_per_second=sum(cost.bytes_per_second for cost in costs),
        )

    def _build_cost(self, kind, messages_per_second, message_bytes):
        return GossipCost(
            kind=kind,
            messages=messages_per_second,
            bytes_per_second=messages_per_second
            * (message_bytes + MESSAGE_OVERHEAD_BYTES),
        )

    def _get_heartbeat_bytes(self):
        heartbeat = Heartbeat(
            instance="entry-0001",
            incarnation="0" * 28,
            sequence=1 << 20,
            failure_domain="domain-01",
            caller_address="10.100.100.100:8080",
            peer_address="10.100.100.100:8081",
            load=0.5,
            config_version=1 << 20,
            newest_offset=1 << 30,
        )
        return len(encode_message(heartbeat))

    def _get_server_digest_bytes(self):
        server_digest = ServerDigest(server=1000, load=50, sequence=1 << 20)
        return len(encode_message(server_digest))


class FullMesh(GossipPlan):
    """Full mesh: each entry instance exchanges heartbeats with every other one.

    The plan in use for small deployments, and the baseline for :class:`CellPlan`.
    """

    def estimate_costs(self):
        """Estimate the cost of each kind of message.

        :return: a list of :class:`GossipCost`.
        """
        others = self.entries - 1
        changes_per_second = self.config_changes / SECONDS_PER_DAY
        return [
            self._build_cost(
                "heartbeats", 2 * others / self.interval, self._get_heartbeat_bytes()
            ),
            self._build_cost(
                "load reports",
                self.servers / self.report_interval,
                self._get_server_digest_bytes(),
            ),
            self._build_cost(
                "configuration", 2 * changes_per_second, self.config_bytes
            ),
        ]


class CellPlan(GossipPlan):
    """Plan with cells: details within a cell, digests between cells.

    A cell is a group of entry instances of one failure domain. The watchers of a
    backend server are the entry instances that it sends its load reports to.

    :param entries: number of entry instances.
    :param servers: number of backend servers.
    :param interval: time between heartbeats, in seconds.
    :param report_interval: time between load reports, in seconds.
    :param config_changes: changes of the configuration per day.
    :param config_bytes: size of a changed configuration record, in bytes.
    :param cell_size: maximum average number of entry instances in a cell.
    :param neighbours: members of its cell that an instance sends its heartbeats to.
    :param watchers: watchers of each backend server.
    :param detail_interval: time between digests of watched servers, in seconds.
    :param digest_interval: time between digests of a cell, in seconds.
    :param fanout: instances that each instance forwards a configuration record to.
    """

    def __init__(
        self,
        entries=400,
        servers=1100,
        *,
        interval=1.0,
        report_interval=1.0,
        config_changes=2000.0,
        config_bytes=2048,
        cell_size=25,
        neighbours=6,
        watchers=2,
        detail_interval=4.0,
        digest_interval=10.0,
        fanout=4,
    ):
        super().__init__(
            entries,
            servers,
            interval=interval,
            report_interval=report_interval,
            config_changes=config_changes,
            config_bytes=config_bytes,
        )
        self.cell_size = cell_size
        self.neighbours = neighbours
        self.watchers = watchers
        self.detail_interval = detail_interval
        self.digest_interval = digest_interval
        self.fanout = fanout

    def estimate_costs(self):
        """Estimate the cost of each kind of message.

        :return: a list of :class:`GossipCost`.
        """
        # Rates are messages per second, sent and received by one entry instance.
        cell_size = min(self.cell_size, self.entries)
        cell_count = math.ceil(self.entries / cell_size)
        heartbeats = 2 * min(self.neighbours, cell_size - 1) / self.interval
        watched_servers = self.servers * self.watchers / self.entries
        server_digests = 2 * (cell_size - 1) / self.detail_interval
        relayed_servers = self.servers / self.entries
        # Each member receives 1 / cell_size of the digests from other cells and relays
        # each one to cell_size members.
        cell_digests = (
            2 * (cell_count - 1) / cell_size * cell_size / self.digest_interval
        )
        changes_per_second = self.config_changes / SECONDS_PER_DAY
        return [
            self._build_cost("heartbeats", heartbeats, self._get_heartbeat_bytes()),
            self._build_cost(
                "load reports",
                watched_servers / self.report_interval,
                self._get_server_digest_bytes(),
            ),
            self._build_cost(
                "server digests",
                server_digests,
                relayed_servers * self._get_server_digest_bytes(),
            ),
            self._build_cost(
                "cell digests", cell_digests, self._get_cell_digest_bytes()
            ),
            self._build_cost(
                "configuration",
                (1 + self.fanout) * changes_per_second,
                self.config_bytes,
            ),
        ]

    def assign_cells(self, members):
        """Assign each entry instance to a cell of its failure domain.

        :param members: pairs of (instance, failure domain).
        :return: a dict of cell name to sorted tuple of instances.
        """
        domains = {}
        for instance, domain in members:
            domains.setdefault(domain, []).append(instance)
        cells = {}
        for domain, instances in sorted(domains.items()):
            count = math.ceil(len(instances) / self.cell_size)
            names = [f"{domain}/{number}" for number in range(count)]
            for instance in sorted(instances):
                cells.setdefault(rank_by_hash(instance, names)[0], []).append(instance)
        return {name: tuple(instances) for name, instances in cells.items()}

    def select_neighbours(self, instance, cell):
        """Select the instances that receive an instance's heartbeats.

        They are its successors in the ring of its cell, so that each instance of a
        cell is heard by equally many others.

        :param instance: name of the instance.
        :param cell: sorted instances of its cell.
        :return: a tuple of names.
        """
        start = cell.index(instance)
        ring = cell[start + 1 :] + cell[:start]
        return ring[: self.neighbours]

    def select_watchers(self, server, instances):
        """Select the watchers of a backend server.

        :param server: name of the backend server.
        :param instances: entry instances of the cells that use it.
        :return: a tuple of names; the first watcher relays the server's digests.
        """
        return tuple(rank_by_hash(server, instances)[: self.watchers])

    def select_digest_receiver(self, cell, receiving_cell):
        """Select the instance that receives a cell's digest and relays it in its cell.

        :param cell: name of the cell that the digest describes.
        :param receiving_cell: instances of the receiving cell.
        :return: name of the instance.
        """
        return rank_by_hash(cell, receiving_cell)[0]

    def select_children(self, instance, instances):
        """Select the instances that an instance forwards a configuration record to.

        The instances form a tree in the order of their names. Its root is the first
        one, which reads new records from the log.

        :param instance: name of the instance.
        :param instances: names of all entry instances.
        :return: a tuple of names.
        """
        ordered = sorted(instances)
        first = ordered.index(instance) * self.fanout + 1
        return tuple(ordered[first : first + self.fanout])

    def get_tree_depth(self):
        """Return the depth of the tree that forwards configuration records.

        :return: maximum number of hops from the root.
        """
        reached, width, depth = 1, 1, 0
        while reached < self.entries:
            width *= self.fanout
            reached += width
            depth += 1
        return depth

    def check_budget(self, max_bytes_per_second):
        """Check that the plan fits into a bandwidth budget.

        :param max_bytes_per_second: budget of one entry instance, sent and received.
        :raises SettingError: if the plan needs more.
        """
        total = self.total()
        if total.bytes_per_second > max_bytes_per_second:
            raise SettingError(
                f"the gossip plan needs {total.bytes_per_second:.0f} bytes per second "
                f"for each entry instance; the budget is {max_bytes_per_second} bytes "
                "per second",
                remedy="raise the intervals, or lower neighbours and watchers",
            )

    def _get_cell_digest_bytes(self):
        digest = CellDigest(
            cell="domain-01/1",
            sequence=1 << 20,
            members=25,
            servers=70,
            load=50,
            config_version=1 << 20,
            addresses=("10.100.100.100:8080",) * 2,
        )
        return len(encode_message(digest))
