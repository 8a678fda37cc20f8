"""Group commit: append queued records to the log in batches."""

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
    """Queue of records that appends them in order, one append at a time.

    If the result of an append is unknown, the batcher asks for a read of the log to
    its end. It then appends again, with the same identities, those records that the
    log does not hold. A record may still appear twice in the log; readers ignore the
    repeat.

    :meth:`offer` refuses records while ``backlog`` records wait. Intents are refused
    from half of ``backlog`` on, because they are only informative.

    :param interval: minimum time between two appends, in seconds.
    :param max_records: maximum number of records in one append.
    :param max_bytes: maximum bytes of outcome bodies in one append; an append of a
        single record may exceed it.
    :param backlog: maximum number of waiting records.
    :param retry_interval: time before the next append after one that failed or whose
        result is unknown, in seconds.
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
                f"interval={self.interval} or retry_interval={self.retry_interval} of "
                "LogBatcher is negative",
                remedy="set both to 0 or more",
            )
        if not 0 < self.max_records <= self.backlog:
            raise SettingError(
                f"max_records={self.max_records} of LogBatcher is not between 1 and "
                f"backlog={self.backlog}",
                remedy="set max_records to 1 or more and backlog to at least that",
            )
        self.queue_ = deque()
        self.in_flight_ = ()
        self.batch_number_ = 0
        self.last_sequence_number_ = 0
        self.logged_in_flight_ = set()
        self.unresolved_ = {}
        self.next_append_at_ = 0.0
        self.append_count_ = 0
        self.refused_count_ = 0
        return self

    def offer(self, record):
        """Queue a record.

        :param record: a :class:`Record`.
        :return: ``False`` if the backlog is full and the record was not queued.
        """
        free_places = self.backlog - self.decide(None, 0.0)
        if record.kind == RecordKind.INTENT:
            free_places -= self.backlog // 2
        if free_places <= 0:
            self.refused_count_ += 1
            return False
        self.queue_.append(record)
        return True

    def allocate_sequence_number(self):
        """Allocate the next sequence number of this writer."""
        self.last_sequence_number_ += 1
        return self.last_sequence_number_

    def observe(self, event, now):
        """Process the result of an append or of a read of the log.

        :param event: an :class:`AppendConfirmed`, :class:`AppendFailed`,
            :class:`AppendUnknown` or :class:`RecordsRead`; others are ignored.
        :param now: monotonic time, in seconds.
        """
        match event:
            case RecordsRead():
                self._remove_logged(event)
            case AppendConfirmed() | AppendFailed() | AppendUnknown():
                if event.batch == self.batch_number_ and self.in_flight_:
                    self._handle_result(event, now)

    def decide(self, query, now):
        """Return the number of records whose append is not confirmed yet.

        These are queued, in flight, or of an append with an unknown result.

        :param query: ignored.
        :param now: ignored.
        :return: a number of records.
        """
        return len(self.queue_) + len(self.in_flight_) + len(self.unresolved_)

    def tick(self, now):
        """Start an append if one is due.

        :param now: monotonic time, in seconds.
        :return: a list with at most one :class:`AppendRecords`.
        """
        blocked = self.in_flight_ or self.unresolved_ or now < self.next_append_at_
        if blocked or not self.queue_:
            return []
        self.in_flight_ = tuple(self._dequeue_batch())
        self.batch_number_ += 1
        self.append_count_ += 1
        self.next_append_at_ = now + self.interval
        return [AppendRecords(batch=self.batch_number_, records=self.in_flight_)]

    @property
    def needs_read_(self):
        """Whether a read to the log's end is needed before the next append."""
        return bool(self.unresolved_)

    def _dequeue_batch(self):
        size = 0
        records = []
        while self.queue_ and len(records) < self.max_records:
            outcome = self.queue_[0].outcome
            size += len(outcome.body) if outcome else 0
            if records and size > self.max_bytes:
                break
            records.append(self.queue_.popleft())
        return records

    def _handle_result(self, event, now):
        records, self.in_flight_ = self.in_flight_, ()
        logged, self.logged_in_flight_ = self.logged_in_flight_, set()
        if isinstance(event, AppendFailed):
            self.queue_.extendleft(reversed(records))
            self.next_append_at_ = now + self.retry_interval
        elif isinstance(event, AppendUnknown):
            missing = [record for record in records if record.identity not in logged]
            self.unresolved_ = {record.identity: record for record in missing}
            self.next_append_at_ = now + self.retry_interval

    def _remove_logged(self, event):
        in_flight = {record.identity for record in self.in_flight_}
        for entry in event.entries:
            identity = entry.record.identity
            self.unresolved_.pop(identity, None)
            if identity in in_flight:
                self.logged_in_flight_.add(identity)
        if event.at_end and self.unresolved_:
            self.queue_.extendleft(reversed(self.unresolved_.values()))
            self.unresolved_ = {}
