"""The log service with its faults."""

from bisect import bisect_left

from benchmarks.once_explorer._limits import READ_LIMIT
from wasabistage.once import (
    AppendConfirmed,
    AppendFailed,
    AppendUnknown,
    LogEntry,
    ReadFailed,
    RecordsRead,
    decode_record,
    encode_record,
)


class Log:
    """The log service: rate, outages, lost answers, late effects, trims."""

    def __init__(self, world):
        self.world = world
        self.offsets = []
        self.kept = []
        self.trimmed_to = 0
        self.next_offset = 0

    def is_down(self):
        """Tell whether the log is in an outage."""
        return any(a <= self.world.now < b for a, b in self.world.outages)

    def append(self, node, action):
        """Carry out an append with whatever fault is drawn."""
        world, rng = self.world, self.world.rng
        batch = action.batch
        data = [encode_record(record) for record in action.records]
        unknown = AppendUnknown(batch=batch)
        if self.is_down():
            if rng.random() < 0.4:
                node.deliver_in(0.05, AppendFailed(batch=batch))
                return
            if rng.random() < 0.3:
                world.at(rng.uniform(0.1, 250.0), self.store, data)
            node.deliver_in(1.0, unknown)
            return
        delay = world.log_delay()
        if world.draw("append_lost", 0.3):
            world.at(delay, self.store, data)
            node.deliver_in(delay + 1.0, unknown)
        elif world.draw("append_late", 0.3):
            world.at(
                rng.choice((2.0, 20.0, 100.0, 250.0)) * rng.random(), self.store, data
            )
            node.deliver_in(1.0, unknown)
        else:
            world.at(delay, self.store, data)
            node.deliver_in(2 * delay, AppendConfirmed(batch=batch))
            if rng.random() < 0.02:
                world.at(rng.uniform(0.0, 5.0), self.store, data)

    def store(self, data):
        """Let an append take effect."""
        for item in data:
            self.offsets.append(self.next_offset)
            self.kept.append((self.world.now, item))
            self.next_offset += 1

    def read(self, node, action):
        """Answer a read."""
        if self.is_down():
            node.deliver_in(0.3, ReadFailed())
            return
        self.world.at(self.world.log_delay(), self._read, node, action.start)

    def _read(self, node, start):
        self._trim()
        first = max(start, self.trimmed_to)
        index = bisect_left(self.offsets, first)
        chosen = range(index, min(index + READ_LIMIT, len(self.offsets)))
        entries = tuple(
            LogEntry(offset=self.offsets[i], record=decode_record(self.kept[i][1]))
            for i in chosen
        )
        after = max(entries[-1].offset + 1 if entries else first, first)
        facts = {
            "start": start,
            "entries": entries,
            "next_offset": after,
            "trimmed_to": self.trimmed_to,
            "at_end": after >= self.next_offset,
        }
        node.deliver_in(
            self.world.log_delay(),
            lambda: RecordsRead(wall_time=node.wall_time(), **facts),
        )

    def _trim(self):
        count = 0
        while (
            count < len(self.kept)
            and self.kept[count][0] < self.world.now - self.world.variant.keep
        ):
            count += 1
        if count:
            self.trimmed_to = self.offsets[count - 1] + 1
            del self.offsets[:count], self.kept[:count]
