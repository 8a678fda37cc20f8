"""Which channels keep their memory, and which are dropped when it is short.

Pattern: clients send many large bodies at the same time, or heads without end, stop
short of the end and leave their channels open. Refusing whatever comes next would serve
these clients and turn ordinary requests away.
"""

import heapq
from dataclasses import dataclass
from enum import IntEnum
from itertools import islice

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.utils import Sentinel

NO_ROOM = Sentinel("NO_ROOM", "the memory for requests is used up")
TOO_MANY_CHANNELS = Sentinel("TOO_MANY_CHANNELS", "too many channels are open")


class Stage(IntEnum):
    """What a channel does."""

    #: It has been opened, and no request has been read.
    NEW = 0
    #: It is between two requests.
    IDLE = 1
    #: A request has begun and is not complete.
    RECEIVING = 2
    #: A complete request is being served.
    RUNNING = 3
    #: A response is being written that the client does not take at once.
    WRITING = 4


class DropOrder(IntEnum):
    """Order in which channels are dropped."""

    LARGE_UNFINISHED = 0
    UNREAD = 1
    OLD_UNFINISHED = 2
    UNUSED = 3
    IDLE = 4
    UNFINISHED = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldingChanged:
    """A channel holds another number of bytes, or does something else.

    :param holder: id of the channel.
    :param client: address of the client.
    :param group: name of the listener.
    :param size: all bytes that it holds.
    :param stage: a :class:`Stage`.
    """

    holder: int
    client: str
    group: str
    size: int
    stage: Stage


@dataclass(frozen=True, kw_only=True, slots=True)
class HoldingEnded:
    """A channel has been closed.

    :param holder: id of the channel.
    """

    holder: int


@dataclass(frozen=True, kw_only=True, slots=True)
class RoomQuery:
    """Question whether a channel may hold more.

    :param holder: id of the channel.
    :param size: number of bytes more.
    :param may_drop: whether other channels may be dropped for it.
    """

    holder: int
    size: int
    may_drop: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class UnfinishedQuery:
    """Question which unfinished requests are too many."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ChannelQuery:
    """Question whether one more channel may be opened.

    :param group: name of the listener.
    """

    group: str


@dataclass(frozen=True, kw_only=True)
class Room:
    """What was asked for may be done once some channels are dropped.

    :param dropped: their ids. The policy counts them as closed.
    """

    dropped: tuple = ()


class Holding:
    """What one channel holds.

    :param client: address of the client.
    :param group: name of the listener.
    :param now: time at which the channel was opened.
    """

    __slots__ = ("client", "group", "size", "stage", "stage_at", "changed_at")

    def __init__(self, client, group, now):
        self.client = client
        self.group = group
        self.size = 0
        self.stage = Stage.NEW
        self.stage_at = now
        self.changed_at = now


class HoldingPolicy(Policy):
    """Policy that drops what holds the most and is the least likely to complete.

    Requests that are complete are not dropped. Of the others, large ones go first, then
    responses that their clients do not read, small ones that have taken long, channels
    that were never used, idle channels and at last small requests that have just begun.
    Among equals the client with the most goes first, of its channels the largest, and
    of channels of about the same size the one that has received nothing for longest.

    :param limit: bytes that all channels may hold together.
    :param max_unfinished: number of unfinished requests.
    :param max_channels: dict of listener to number of channels.
    :param small_bytes: size of a channel that is not large: a typical body of 72 KB
        with the memory of its channel and a read.
    :param large_share: share of ``limit`` that large ones may take, so that there is
        room for small ones while large requests are being served.
    :param young_seconds: time after which a small request has taken long.
    :param unread_seconds: time without progress after which a response counts as not
        being read.
    :param freed_share: share of a limit that is freed beyond what is needed, so that
        dropping does not go through all channels for each read.
    """

    def __init__(
        self,
        *,
        limit,
        max_unfinished,
        max_channels,
        small_bytes=196608,
        large_share=0.75,
        young_seconds=2.0,
        unread_seconds=1.0,
        freed_share=0.1,
    ):
        self.limit = limit
        self.max_unfinished = max_unfinished
        self.max_channels = max_channels
        self.small_bytes = small_bytes
        self.large_share = large_share
        self.young_seconds = young_seconds
        self.unread_seconds = unread_seconds
        self.freed_share = freed_share

    def reset(self):
        """Check the arguments and forget all channels.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        limits = (self.limit, self.max_unfinished, *self.max_channels.values())
        if min(limits) < 1 or not 0.0 < self.large_share <= 1.0:
            raise SettingError(
                f"limits are {limits!r} and large_share {self.large_share!r}, but must "
                "be at least 1, and above 0 and at most 1",
                remedy="raise the limits, or give a share from 0 to 1",
            )
        self.holdings_ = {}
        self.held_ = 0
        self.large_ = 0
        self.unfinished_ = 0
        self.channels_ = dict.fromkeys(self.max_channels, 0)
        return self

    def observe(self, event, now):
        """See :meth:`Policy.observe`.

        :param event: a :class:`HoldingChanged` or :class:`HoldingEnded`.
        """
        if isinstance(event, HoldingEnded):
            self._remove(event.holder)
            return
        holding = self.holdings_.get(event.holder)
        if holding is None:
            holding = Holding(event.client, event.group, now)
            self.holdings_[event.holder] = holding
            self.channels_[event.group] += 1
        else:
            self._count(holding, -1)
        if event.stage is not holding.stage:
            holding.stage, holding.stage_at = event.stage, now
        holding.size, holding.changed_at = event.size, now
        self._count(holding, 1)

    def _remove(self, holder):
        holding = self.holdings_.pop(holder, None)
        if holding is not None:
            self._count(holding, -1)
            self.channels_[holding.group] -= 1

    def _count(self, holding, sign):
        self.held_ += sign * holding.size
        if holding.size > self.small_bytes:
            self.large_ += sign * holding.size
        if holding.stage is Stage.RECEIVING:
            self.unfinished_ += sign

    def decide(self, query, now):
        """See :meth:`Policy.decide`.

        :param query: a :class:`RoomQuery`, :class:`UnfinishedQuery` or
            :class:`ChannelQuery`.
        :return: a :class:`Room`, or ``NO_ROOM`` or ``TOO_MANY_CHANNELS``.
        """
        if isinstance(query, RoomQuery):
            return self._decide_room(query, now)
        if isinstance(query, UnfinishedQuery):
            return self._decide_unfinished(now)
        return self._decide_channel(query.group, now)

    def _decide_room(self, query, now):
        asker = self.holdings_.get(query.holder)
        if asker is None:
            return NO_ROOM
        excess = self.held_ + query.size - self.limit
        size = asker.size + query.size
        large_excess = 0
        if size > self.small_bytes:
            known = asker.size if asker.size > self.small_bytes else 0
            large_after = self.large_ - known + size
            large_excess = int(large_after - self.large_share * self.limit)
        needed = max(excess, large_excess)
        if needed <= 0:
            return Room()
        if not query.may_drop:
            return NO_ROOM
        wanted = needed + int(self.freed_share * self.limit)
        freed, dropped = 0, []
        for order, holder, holding in self._iterate_drops(now, lambda item: item.size):
            only_large = freed >= excess
            if freed >= wanted or holder == query.holder:
                break
            if only_large and order > DropOrder.UNREAD:
                break
            freed += holding.size
            dropped.append(holder)
        if freed < needed:
            return NO_ROOM
        return self._drop(dropped)

    def _decide_unfinished(self, now):
        excess = self.unfinished_ - self.max_unfinished
        if excess <= 0:
            return Room()
        wanted = excess + int(self.freed_share * self.max_unfinished)
        unfinished = (
            DropOrder.LARGE_UNFINISHED,
            DropOrder.OLD_UNFINISHED,
            DropOrder.UNFINISHED,
        )
        drops = self._iterate_drops(now, lambda item: 1, orders=unfinished)
        return self._drop([holder for _, holder, _ in islice(drops, wanted)])

    def _decide_channel(self, group, now):
        most = self.max_channels[group]
        excess = self.channels_[group] + 1 - most
        if excess <= 0:
            return Room()
        wanted = excess + int(self.freed_share * most)
        drops = self._iterate_drops(now, lambda item: 1, group=group)
        dropped = [holder for _, holder, _ in islice(drops, wanted)]
        if len(dropped) < excess:
            return TOO_MANY_CHANNELS
        return self._drop(dropped)

    def _drop(self, holders):
        for holder in holders:
            self._remove(holder)
        return Room(dropped=tuple(holders))

    def _get_order(self, holding, now):
        """Return the :class:`DropOrder` of a channel; ``None`` if it is kept."""
        if holding.stage is Stage.RECEIVING:
            if holding.size > self.small_bytes:
                return DropOrder.LARGE_UNFINISHED
            is_old = now - holding.stage_at > self.young_seconds
            return DropOrder.OLD_UNFINISHED if is_old else DropOrder.UNFINISHED
        if holding.stage is Stage.WRITING:
            is_unread = now - holding.changed_at > self.unread_seconds
            return DropOrder.UNREAD if is_unread else None
        if holding.stage is Stage.NEW:
            return DropOrder.UNUSED
        return DropOrder.IDLE if holding.stage is Stage.IDLE else None

    def _iterate_drops(self, now, weigh, orders=None, group=None):
        """Yield :class:`DropOrder`, id and :class:`Holding`, the first to be dropped.

        :param weigh: function that returns the weight of a holding; the client with the
            highest sum goes first.
        :param orders: the orders to yield; ``None`` for all.
        :param group: the listener whose channels are yielded; ``None`` for all.
        """
        classes = {}
        for holder, holding in self.holdings_.items():
            order = self._get_order(holding, now)
            if order is None or (orders is not None and order not in orders):
                continue
            if group is not None and holding.group != group:
                continue
            # Sizes within a factor of two are equal: requests within the limits that
            # make progress are not the first of many that have stopped.
            key = (-holding.size.bit_length(), holding.changed_at, holder)
            clients = classes.setdefault(order, {})
            clients.setdefault(holding.client, []).append((key, holding))
        for order in sorted(classes):
            yield from iterate_fairly(order, classes[order], weigh)


def iterate_fairly(order, clients, weigh):
    """Yield the channels of clients; next is always one of the client with the most.

    :param order: a :class:`DropOrder`, which is yielded with each.
    :param clients: dict of client to list of (key, :class:`Holding`). The last part of
        a key is the id; the least key is first.
    :param weigh: function that returns the weight of a holding.
    """
    heap = []
    for client, rows in clients.items():
        rows.sort(key=lambda row: row[0], reverse=True)
        heap.append((-sum(weigh(holding) for _, holding in rows), client))
    heapq.heapify(heap)
    while heap:
        total, client = heapq.heappop(heap)
        key, holding = clients[client].pop()
        yield order, key[-1], holding
        if clients[client]:
            heapq.heappush(heap, (total + weigh(holding), client))
