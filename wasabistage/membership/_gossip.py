"""Who tells whom what, and what that costs an entry instance."""

import math
from abc import ABC, abstractmethod
from dataclasses import dataclass

from wasabistage.exceptions import SettingError
from wasabistage.membership._digests import (
    FRAME_BYTES,
    CellDigest,
    ServerWord,
    encode_message,
    rank_by_hash,
)
from wasabistage.membership._messages import Heartbeat

SECONDS_PER_DAY = 86400.0


@dataclass(frozen=True, kw_only=True)
class GossipCost:
    """Cost of one part of the plan for one entry instance.

    :param part: name of the part.
    :param messages: messages sent and received a second.
    :param bytes_per_second: bytes sent and received a second.
    """

    part: str
    messages: float
    bytes: float


class GossipPlan(ABC):
    """Sizes of a deployment, and what one entry instance sends and receives.

    :param entries: entry instances.
    :param servers: backend servers.
    :param interval: time between heartbeats, in seconds.
    :param report_interval: time between load reports, in seconds.
    :param config_changes: changes of configuration a day.
    :param config_bytes: bytes of a changed configuration record.
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
    def costs(self):
        """Work the costs out.

        :return: a list of :class:`GossipCost`.
        """

    def total(self):
        """Add the costs up.

        :return: a :class:`GossipCost`.
        """
        costs = self.costs()
        return GossipCost(
            part="total",
            messages=sum(cost.messages for cost in costs),
            bytes=sum(cost.bytes for cost in costs),
        )

    def _cost(self, part, rate, size):
        return GossipCost(part=part, messages=rate, bytes=rate * (size + FRAME_BYTES))

    def _heartbeat_size(self):
        beat = Heartbeat(
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
        return len(encode_message(beat))

    def _word_size(self):
        word = ServerWord(server=1000, load=50, sequence=1 << 20)
        return len(encode_message(word))


class FullMesh(GossipPlan):
    """Baseline, and today's plan for seven: everyone tells everyone everything."""

    def costs(self):
        """Work the costs out.

        :return: a list of :class:`GossipCost`.
        """
        others = self.entries - 1
        changes = self.config_changes / SECONDS_PER_DAY
        return [
            self._cost(
                "heartbeats", 2 * others / self.interval, self._heartbeat_size()
            ),
            self._cost(
                "load reports", self.servers / self.report_interval, self._word_size()
            ),
            self._cost("configuration", 2 * changes, self.config_bytes),
        ]


class CellPlan(GossipPlan):
    """Cells of about a failure domain; detail within, digests between.

    :param entries: entry instances.
    :param servers: backend servers.
    :param interval: time between heartbeats, in seconds.
    :param report_interval: time between load reports, in seconds.
    :param config_changes: changes of configuration a day.
    :param config_bytes: bytes of a changed configuration record.
    :param cell_size: entry instances in a cell.
    :param neighbours: members of the cell that one sends its heartbeats to.
    :param watchers: entry instances that a backend server reports to.
    :param detail_interval: time between words on watched servers, in seconds.
    :param digest_interval: time between digests of a cell, in seconds.
    :param fanout: instances that one passes a configuration record to.
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

    def costs(self):
        """Work the costs out.

        :return: a list of :class:`GossipCost`.
        """
        cell = min(self.cell_size, self.entries)
        cells = math.ceil(self.entries / cell)
        beats = 2 * min(self.neighbours, cell - 1) / self.interval
        watched = self.servers * self.watchers / self.entries
        words = 2 * (cell - 1) / self.detail_interval
        owned = self.servers / self.entries
        digests = 2 * (cells - 1) / cell * cell / self.digest_interval
        changes = self.config_changes / SECONDS_PER_DAY
        return [
            self._cost("heartbeats", beats, self._heartbeat_size()),
            self._cost(
                "load reports", watched / self.report_interval, self._word_size()
            ),
            self._cost("words on servers", words, owned * self._word_size()),
            self._cost("digests", digests, self._digest_size()),
            self._cost("configuration", (1 + self.fanout) * changes, self.config_bytes),
        ]

    def cells_of(self, members):
        """Place entry instances in cells within their failure domain.

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

    def neighbours_of(self, instance, cell):
        """Name those that get an instance's heartbeats: the next ones in a ring.

        :param instance: name of the instance.
        :param cell: sorted instances of its cell.
        :return: a tuple of names; everyone in a cell is heard by as many.
        """
        start = cell.index(instance)
        ring = cell[start + 1 :] + cell[:start]
        return ring[: self.neighbours]

    def watchers_of(self, server, instances):
        """Name the entry instances that watch a backend server and relay its words.

        :param server: name of the server.
        :param instances: entry instances of the cells that use it.
        :return: a tuple of names, the first one relays.
        """
        return tuple(rank_by_hash(server, instances)[: self.watchers])

    def digest_receiver(self, cell, other):
        """Name the member of another cell that gets a cell's digest and relays it.

        :param cell: name of the cell that the digest describes.
        :param other: instances of the receiving cell.
        :return: name of the instance.
        """
        return rank_by_hash(cell, other)[0]

    def children_of(self, instance, instances):
        """Name those that an instance passes a configuration record to.

        :param instance: name of the instance.
        :param instances: every instance; the sorted first reads the log's tail.
        :return: a tuple of names.
        """
        ordered = sorted(instances)
        first = ordered.index(instance) * self.fanout + 1
        return tuple(ordered[first : first + self.fanout])

    def tree_depth(self):
        """Return the hops of a configuration record from the first instance.

        :return: number of hops.
        """
        reached, width, depth = 1, 1, 0
        while reached < self.entries:
            width *= self.fanout
            reached += width
            depth += 1
        return depth

    def check(self, bytes_per_second):
        """Compare the plan with a budget.

        :param bytes_per_second: budget of an entry instance.
        :raises SettingError: if the plan needs more.
        """
        total = self.total()
        if total.bytes > bytes_per_second:
            raise SettingError(
                f"the plan takes {total.bytes:.0f} bytes a second",
                remedy="raise the intervals or lower neighbours and watchers",
            )

    def _digest_size(self):
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
