"""What the channels of one process share: memory, channels and turns to work."""

from itertools import count
from sys import maxsize

import trio

from wasabistage.clients import (
    ChannelQuery,
    HoldingChanged,
    HoldingEnded,
    HoldingPolicy,
    RoomQuery,
    Stage,
    UnfinishedQuery,
)

#: Memory of one open channel: socket, parser, tasks, and a small request.
CHANNEL_BYTES = 24576
#: Growth that is not reported to the policy by itself.
MIN_GROWTH_BYTES = 16384
#: Pause after each piece of work that costs much per byte; such work takes a piece at a
#: time of the whole process, and about a third of a processor.
COSTLY_PAUSE_SECONDS = 0.002
MAX_LINGERING = 64  # refused channels that are open for the client to read the refusal


class ChannelsFullError(Exception):
    """No further channel may be opened."""


class WorkTurns:
    """Turns of tasks, one at a time and in order.

    :param pause: pause after each, in seconds. With 0, other tasks run in between.
    """

    def __init__(self, pause):
        self.pause = pause
        self.lock = trio.StrictFIFOLock()

    async def take(self):
        """Wait for a turn."""
        async with self.lock:
            await trio.sleep(self.pause)


class Holder:
    """What one channel holds of the memory of the process.

    :param intake: the :class:`Intake`.
    :param number: id of the channel.
    :param client: address of the client.
    :param group: name of the listener.
    :param on_drop: function without arguments that ends what the channel does.
    """

    __slots__ = ("intake", "number", "client", "group", "on_drop", "size", "stage")

    def __init__(self, intake, number, client, group, on_drop):
        self.intake = intake
        self.number = number
        self.client = client
        self.group = group
        self.on_drop = on_drop
        self.size = 0
        self.stage = Stage.NEW

    def change(self, size, stage):
        """Hold another number of bytes, or do something else.

        :param size: bytes that the channel holds besides ``CHANNEL_BYTES``.
        :param stage: a :class:`wasabistage.clients.Stage`.
        :return: whether there is room; otherwise the holder is unchanged.
        """
        return self.intake.change(self, size, stage)

    def close(self):
        """Release everything."""
        self.intake.close(self)


class Intake:
    """Account of the memory and channels that clients of one process use.

    :param policy: a :class:`wasabistage.clients.HoldingPolicy`.
    :param timer: a :class:`wasabistage.timing.TimerService`.
    :param on_refused: function that is called with the cause of each refusal, a short
        constant text.
    """

    def __init__(self, policy, timer, on_refused):
        self.policy = policy
        self.timer = timer
        self.on_refused = on_refused
        self.numbers = count()
        self.holders = {}
        self.lingering = 0
        #: Turns for framing that costs much per byte, and for large bodies.
        self.costly_turns = WorkTurns(COSTLY_PAUSE_SECONDS)
        self.bulk_turns = WorkTurns(0)

    def open(self, client, group, on_drop):
        """Return the :class:`Holder` of a new channel.

        :param client: address of the client.
        :param group: name of the listener.
        :param on_drop: see :class:`Holder`.
        :raises ChannelsFullError: if too many channels are open.
        """
        now = self.timer.now()
        decision = self.policy.decide(ChannelQuery(group=group), now)
        if not decision:
            self.on_refused("channels")
            raise ChannelsFullError
        self._drop(decision, "channels")
        holder = Holder(self, next(self.numbers), client, group, on_drop)
        self.holders[holder.number] = holder
        self._observe(holder, 0, Stage.NEW, now)
        if not self.change(holder, 0, Stage.NEW):
            self.close(holder)
            self.on_refused("memory")
            raise ChannelsFullError
        return holder

    def change(self, holder, size, stage):
        """See :meth:`Holder.change`."""
        if holder.number not in self.holders:
            return False
        total = size + CHANNEL_BYTES
        is_new_stage = stage is not holder.stage
        growth = total - holder.size
        if not is_new_stage and 0 <= growth < MIN_GROWTH_BYTES:
            return True
        now = self.timer.now()
        if growth > 0 and not self._make_room(holder, growth, now):
            return False
        self._observe(holder, total, stage, now)
        if stage is Stage.RECEIVING and is_new_stage:
            self._drop(self.policy.decide(UnfinishedQuery(), now), "unfinished")
        return holder.number in self.holders

    def has_room(self, holder, size):
        """Return whether a channel may hold more bytes without others being dropped.

        :param holder: its :class:`Holder`.
        :param size: number of bytes more.
        """
        query = RoomQuery(holder=holder.number, size=size, may_drop=False)
        return bool(self.policy.decide(query, self.timer.now()))

    def _make_room(self, holder, growth, now):
        query = RoomQuery(holder=holder.number, size=growth)
        decision = self.policy.decide(query, now)
        if decision:
            self._drop(decision, "memory")
        return bool(decision)

    def _observe(self, holder, total, stage, now):
        holder.size, holder.stage = total, stage
        event = HoldingChanged(
            holder=holder.number,
            client=holder.client,
            group=holder.group,
            size=total,
            stage=stage,
        )
        self.policy.observe(event, now)

    def _drop(self, decision, cause):
        for number in decision.dropped:
            holder = self.holders.pop(number)
            self.on_refused(cause)
            holder.on_drop()

    def close(self, holder):
        """See :meth:`Holder.close`."""
        if self.holders.pop(holder.number, None) is not None:
            self.policy.observe(HoldingEnded(holder=holder.number), self.timer.now())


def create_unbounded_intake(timer, group=""):
    """Return an :class:`Intake` that refuses nothing.

    :param timer: a :class:`wasabistage.timing.TimerService`.
    :param group: name of the listener.
    """
    policy = HoldingPolicy(
        limit=maxsize, max_unfinished=maxsize, max_channels={group: maxsize}
    )
    return Intake(policy.reset(), timer, lambda cause: None)
