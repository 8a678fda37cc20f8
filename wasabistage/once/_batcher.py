"""Group commit: many records in few appends, within the log's rate."""

from collections import deque

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.once._messages import (
    AppendConfirmed,
    AppendFailed,
    AppendRecords,
    AppendUnknown,
    RecordsRead,
)
from wasabistage.once._records import RecordKind


class LogBatcher(Policy):
    """Append records in order, one append under way at a time.

    After an append with an unknown end it reads the log to its end before it
    appends what is missing again, under the same record identities. A record may
    still appear twice; readers drop the repeat.

    At ``backlog`` waiting records :meth:`offer` refuses. Intents, which only
    inform, are refused from half of it on.

    :param interval: least time between two appends, in seconds.
    :param max_records: records in one append.
    :param max_bytes: bytes of bodies in one append; one record may exceed it.
    :param backlog: records that wait at most.
    :param retry_interval: wait after an append that failed, in seconds.
    """

    def __init__(
        self,
        *,
        interval=0.02,
        max_records=64,
        max_bytes=512 << 10,
        backlog=4096,
        retry_interval=0.5,
    ):
        self.interval = interval
        self.max_bytes = max_bytes
        self.max_records = max_records
        self.backlog = backlog
        self.retry_interval = retry_interval

    def reset(self):
        """Check the arguments and empty the queue.

        :return: the batcher itself.
        :raises SettingError: if an argument is out of range.
        """
        if min(self.interval, self.retry_interval) < 0:
            raise SettingError(
                "an interval of the log batcher is negative", remedy="use 0 or more"
            )
        if not 0 < self.max_records <= self.backlog:
            raise SettingError(
                "backlog is smaller than one append", remedy="raise backlog"
            )
        self.queue_ = deque()
        self.in_flight_ = ()
        self.batch_ = 0
        self.number_ = 0
        self.seen_ = set()
        self.doubtful_ = {}
        self.next_append_ = 0.0
        self.appends_ = 0
        self.refused_ = 0
        return self

    def offer(self, record):
        """Queue a record.

        :param record: a :class:`Record`.
        :return: ``False`` if the backlog is full and the record was not taken.
        """
        room = self.backlog - self.decide(None, 0.0)
        if record.kind == RecordKind.INTENT:
            room -= self.backlog // 2
        if room <= 0:
            self.refused_ += 1
            return False
        self.queue_.append(record)
        return True

    def take_number(self):
        """Return the next sequence number of this writer."""
        self.number_ += 1
        return self.number_

    def observe(self, event, now):
        """Learn the end of an append, or what a read of the log showed.

        :param event: an ``Append…`` event or :class:`RecordsRead`.
        :param now: monotonic time, in seconds.
        """
        match event:
            case RecordsRead():
                self._compare(event)
            case AppendConfirmed() | AppendFailed() | AppendUnknown():
                if event.batch == self.batch_ and self.in_flight_:
                    self._settle(event, now)

    def decide(self, query, now):
        """Return how many records wait.

        :param query: ignored.
        :param now: monotonic time, in seconds.
        :return: a number of records.
        """
        return len(self.queue_) + len(self.in_flight_) + len(self.doubtful_)

    def tick(self, now):
        """Start an append if one is due.

        :param now: monotonic time, in seconds.
        :return: a list with at most one :class:`AppendRecords`.
        """
        blocked = self.in_flight_ or self.doubtful_ or now < self.next_append_
        if blocked or not self.queue_:
            return []
        self.in_flight_ = tuple(self._take())
        self.batch_ += 1
        self.appends_ += 1
        self.next_append_ = now + self.interval
        return [AppendRecords(batch=self.batch_, records=self.in_flight_)]

    @property
    def needs_read_(self):
        """Whether a read to the log's end is needed before the next append."""
        return bool(self.doubtful_)

    def _take(self):
        size = 0
        records = []
        while self.queue_ and len(records) < self.max_records:
            outcome = self.queue_[0].outcome
            size += len(outcome.body) if outcome else 0
            if records and size > self.max_bytes:
                break
            records.append(self.queue_.popleft())
        return records

    def _settle(self, event, now):
        records, self.in_flight_ = self.in_flight_, ()
        seen, self.seen_ = self.seen_, set()
        if isinstance(event, AppendFailed):
            self.queue_.extendleft(reversed(records))
            self.next_append_ = now + self.retry_interval
        elif isinstance(event, AppendUnknown):
            missing = [record for record in records if record.identity not in seen]
            self.doubtful_ = {record.identity: record for record in missing}
            self.next_append_ = now + self.retry_interval

    def _compare(self, event):
        under_way = {record.identity for record in self.in_flight_}
        for entry in event.entries:
            identity = entry.record.identity
            self.doubtful_.pop(identity, None)
            if identity in under_way:
                self.seen_.add(identity)
        if event.at_end and self.doubtful_:
            self.queue_.extendleft(reversed(self.doubtful_.values()))
            self.doubtful_ = {}
