"""Records that were read behind a trimmed part of the log."""

from dataclasses import dataclass

from wasabistage.declarations._messages import LogRecord
from wasabistage.declarations._record import (
    ANY_BASE,
    ConfigCarried,
    ConfigProposed,
    ConfigState,
    decode_record,
)
from wasabistage.utils import Sentinel


@dataclass(frozen=True)
class Held:
    """A record behind a gap, decoded once.

    :param record: the record as read.
    :param item: what it decodes to.
    """

    record: LogRecord
    item: ConfigProposed | ConfigCarried | Sentinel


class Gap:
    """Holds records within bounds until something reaches over the gap.

    At a bound the oldest records go, which only makes the gap wider.

    :param max_records: records held.
    :param max_bytes: bytes of them.
    """

    def __init__(self, max_records, max_bytes):
        self.max_records = max_records
        self.max_bytes = max_bytes
        self.held = []
        self.start = None
        self.end = None

    @property
    def is_open(self):
        """Tell whether there is a gap."""
        return self.start is not None

    def hold(self, read, records):
        """Keep what was read.

        :param read: a :class:`wasabistage.declarations.LogRead`.
        :param records: its records, by offset.
        """
        if self.end is None or read.start > self.end:
            self.held = []
            self.start = self.end = read.start
        fresh = [record for record in records if record.offset >= self.end]
        self.held.extend(Held(record, decode_record(record.data)) for record in fresh)
        self.end = max(self.end, read.end)
        self._bound()

    def release(self):
        """Close the gap.

        :return: a tuple of the held records and the offset that they reach to.
        """
        records, end = [held.record for held in self.held], self.end
        self.held, self.start, self.end = [], None, None
        return records, end

    def carried(self):
        """Return the held carried records that claim nothing from after them."""
        return [
            held
            for held in self.held
            if isinstance(held.item, ConfigCarried)
            and held.item.state.next <= held.record.offset
        ]

    def state_before_any_base(self):
        """Find a proposal with any base that is accepted whatever came before.

        :return: the :class:`ConfigState` just before it, or ``None``.
        """
        last = -1
        for held in self.held:
            item, offset = held.item, held.record.offset
            if not isinstance(item, ConfigProposed):
                continue
            known = self.start <= item.seen <= offset
            if item.base_version == ANY_BASE and known and last < item.seen:
                return ConfigState(next=offset, last_proposal=last)
            last = offset
        return None

    def _bound(self):
        size = sum(len(held.record.data) for held in self.held)
        while len(self.held) > self.max_records or size > self.max_bytes:
            dropped = self.held.pop(0)
            size -= len(dropped.record.data)
            self.start = dropped.record.offset + 1
