"""Base of the tasks that follow a topic of the record store."""

from abc import ABC, abstractmethod

import trio

from wasabistage.edge._facts import SHARED_TOPICS, build_snapshot
from wasabistage.fleet import (
    RecordPage,
    StoredRecord,
    StoreError,
    TrimmedError,
    get_era,
    get_offset,
    make_place,
)

#: Age of a topic from which an entry that can't read it asks another one.
MIN_SNAPSHOT_AGE_SECONDS = 1.0
MIN_TRIM_RETRY_SECONDS = 0.1  # pause after a read whose records were dropped
MAX_TRIM_DOUBLINGS = 4  # of that pause, up to 1.6 s
MAX_UNREADABLE_KEYS = 256  # of which a topic remembers that they were logged
MAX_REMOVED_KEYS = 4096  # twice the servers of the largest deployment
MAX_LOGGED_KEY = 128  # characters
MAX_LOGGED_REASON = 200  # characters
ROLE_INTERVAL_SECONDS = 0.25  # pause between two checks whether to read a topic


class RecordWatch(ABC):
    """Follows one topic: reads its newest records, then every appended record.

    :param state: an :class:`EdgeState`.
    :param store: a :class:`wasabistage.fleet.RecordStore`.
    """

    topic = None
    #: Longest time for which a read waits for a record.
    wait_seconds = 1.4
    #: Pause after a read with records, so that the next one returns several.
    pause_seconds = 0.0

    def __init__(self, state, store):
        self.state = state
        self.store = store
        self.position = None
        #: Era of the newest place that is known.
        self.era = 0
        #: Era of the last page of newest records that this entry has read, or ``None``.
        self.page_era = None
        self.is_store_lost = False
        self.has_read_page = False
        self.failures = 0  # reads that failed in a row
        self.trims = 0  # reads of dropped records since one succeeded
        #: Whether the records are known, from the store or another entry.
        self.is_known = False
        self.newest_records = {}
        #: Offset up to which each removed key is known to have no record.
        self.removed_offsets = {}
        #: Offset of the last unreadable record of each key, the oldest key first.
        self.unreadable_offsets = {}
        #: Offset of the newest record that was told as a fact, or read at the start.
        self.newest_fact = -1
        #: Offset up to which a key without a record here has none.
        self.read_end = 0
        #: Time at which the records were confirmed as the newest, and the same by a
        #: read of this entry alone; monotonic seconds.
        self.confirmed_at = float("-inf")
        self.read_at = float("-inf")
        #: Time after which a record that is new now was written, monotonic seconds: the
        #: last time at which this entry has read the topic itself. Other entries don't
        #: tell records that change nothing, so ``confirmed_at`` would be too late.
        self.known_before = float("-inf")

    async def run(self):
        """Follow the topic until cancelled."""
        while True:
            if not self.should_read():
                self._stop_reading()
                await trio.sleep(ROLE_INTERVAL_SECONDS)
                continue
            try:
                await self._read_next()
                self.failures = 0
            except TrimmedError as error:
                await self._handle_trim(error)
            except StoreError as error:
                self._record_failure(error)
                await self._request_from_peer()
                await trio.sleep(self.get_retry_seconds())

    async def _handle_trim(self, error):
        """Go on after the records that were dropped.

        :param error: the :class:`wasabistage.fleet.TrimmedError`.
        """
        self.trims += 1
        self.state.metrics.count("records.trimmed", label=str(self.topic))
        has_risen = get_era(self.position or 0) < get_era(error.first or 0)
        if self.trims == 1 and not has_risen:
            self.state.log.write(
                "records_trimmed",
                topic=str(self.topic),
                position=self.position,
                first=error.first,
            )
        self.position = self.get_restart_position(error.first)
        # The store may go on to drop records, or give pages older than them.
        doublings = min(self.trims - 1, MAX_TRIM_DOUBLINGS)
        await trio.sleep(MIN_TRIM_RETRY_SECONDS * 2**doublings)

    def get_restart_position(self, first):
        """Return the offset at which to go on after records were dropped.

        :param first: offset of the first record that is left, or ``None``.
        :return: the offset; ``None`` to read the newest record of each key.
        """
        return None

    def should_read(self):
        """Return whether this entry should read the topic from the store now."""
        if not self.is_known:
            return True
        view, now = self.state.view, self.state.timer.now()
        query = view.build_read_query(self.topic, now - self.confirmed_at)
        return view.reader_policy.decide(query, now)

    def get_retry_seconds(self):
        """Return the time until the next read after a failed one, in seconds."""
        view = self.state.view
        query = view.build_read_query(self.topic, 0.0, counts_failed=True)
        seconds = view.reader_policy.get_retry_seconds(query, self.failures)
        return seconds * (0.5 + self.state.random.random())

    def _stop_reading(self):
        """Leave the topic to other entries, which tell this one its records."""
        if self.topic in SHARED_TOPICS:
            # The next read of this entry starts with the newest records.
            self.position = None
            self.has_read_page = False
        self.state.view.unreadable.discard(str(self.topic))

    async def _read_next(self):
        begun_at = self.state.timer.now()
        if self.position is None:
            page = await self.store.read_newest(self.topic)
            if not self.is_known:
                await self.ask_running_entries()
            self._record_success(begun_at)
            self._apply_newest(page, self.state.timer.now())
        else:
            # The first read doesn't wait: the end of the topic matters even without
            # new records.
            wait = self.wait_seconds if self.has_read_page else 0.0
            page = await self.store.read(self.topic, self.position, wait)
            self.has_read_page = True
            self.trims = 0
            self._record_success(begun_at)
            self._note_era(page.end)
        now = self.state.timer.now()
        for record in page.records:
            is_new = self._apply_readable(record, now)
            if is_new or not self.is_known:
                self.newest_fact = max(self.newest_fact, record.offset)
            # Other entries read the records that a starting one finds by themselves.
            if is_new and self.is_known and self.topic in SHARED_TOPICS:
                self.state.facts.publish_record(self.topic, record)
        self.position = page.end
        self.read_end = max(self.read_end, page.end)
        self.is_known = True
        self.handle_page_end(page.end, now)
        if page.records and self.pause_seconds:
            await trio.sleep(self.pause_seconds)

    def _apply_newest(self, page, now):
        """Apply what the newest records say of the keys that they leave out.

        In the first page of an era, what they leave out may only be lost.

        :param page: the newest records as read from the store, a
            :class:`wasabistage.fleet.RecordPage`.
        :param now: monotonic time, in seconds.
        """
        self._note_era(page.end)
        is_first_page = self._is_first_page(get_era(page.end))
        self.page_era = get_era(page.end)
        if is_first_page:
            self._keep_removals(page)
        else:
            self._discard_wrong_removals(page)
        self.reset_keys(page, now)
        if not is_first_page:
            self.handle_all_records(page.records, page.end, now)

    def is_newer(self, record):
        """Return whether a record is newer than the known one of its key.

        :param record: a :class:`wasabistage.fleet.StoredRecord`.
        """
        known = self.newest_records.get(record.key)
        if known is None:
            return self.removed_offsets.get(record.key, -1) < record.offset
        return known.offset < record.offset

    def apply_shared(self, record):
        """Apply a record that another entry has read; return whether it is new.

        :param record: a :class:`wasabistage.fleet.StoredRecord`.
        """
        self.known_before = self.read_at
        self._note_era(record.offset)
        is_new = self._apply_readable(record, self.state.timer.now())
        if is_new:
            self.newest_fact = max(self.newest_fact, record.offset)
        return is_new

    def build_snapshot(self, now):
        """Return the :class:`TopicSnapshot` of the known records.

        :param now: monotonic time, in seconds.
        """
        records = [*self.newest_records.values(), *self.get_shared_removals()]
        end = max((record.offset + 1 for record in records), default=0)
        end = max(end, self.position or 0)
        age = now - self.confirmed_at
        return build_snapshot(records, age, end, self.newest_fact, self.read_end)

    def apply_snapshot(self, snapshot, requested_at):
        """Apply the records that another entry knows, unless they are older.

        :param snapshot: a :class:`TopicSnapshot`.
        :param requested_at: time of the request, monotonic seconds.
        """
        if self.position is not None and snapshot.end < self.position:
            if get_era(snapshot.end) < get_era(self.position):
                self.apply_older_snapshot(snapshot)
            return
        has_risen = self._note_era(snapshot.end)
        now, self.known_before = self.state.timer.now(), self.read_at
        records = tuple(
            StoredRecord(offset=offset, key=key, value=value)
            for key, offset, value in snapshot.records
        )
        confirmed_at = requested_at - snapshot.age
        if confirmed_at >= self.confirmed_at:
            page = RecordPage(records=records, end=snapshot.end)
            self.reset_keys(page, now, snapshot.read_end)
        if not has_risen:
            self.handle_all_records(records, snapshot.read_end, now)
        for record in records:
            if self._apply_readable(record, now):
                self.state.facts.publish_record(self.topic, record, is_own=False)
        self.is_known = True
        self.newest_fact = max(self.newest_fact, snapshot.newest)
        self.read_end = max(self.read_end, snapshot.read_end)
        self.handle_page_end(snapshot.end, now)
        self.confirm(confirmed_at)

    async def ask_running_entries(self):
        """Learn what other entries know, before the first page is applied.

        The store may have returned from a copy that is older than what they know.
        """
        return

    def apply_older_snapshot(self, snapshot):
        """Apply what still holds of a snapshot of an older era.

        :param snapshot: a :class:`TopicSnapshot`.
        """
        return

    def _is_first_page(self, era):
        """Return whether a page is the first that this entry reads of an era.

        One that has read no page before may know an older era by other entries.

        :param era: era of the page.
        """
        if self.page_era is not None:
            return era > self.page_era
        places = [record.offset for record in self.newest_records.values()]
        places += self.removed_offsets.values()
        return any(get_era(place) < era for place in places)

    def _note_era(self, place):
        """Take in a place that the store or another entry has told.

        :param place: the place.
        :return: whether it is of a newer era than all that was known.
        """
        era, before = get_era(place), self.era
        if era <= before:
            return False
        self.era = era
        if not self.is_known:
            return False
        self.state.log.write(
            "records_went_back",
            topic=str(self.topic),
            before=before,
            era=era,
            known_end=self._get_known_end(before),
            end=get_offset(place),
        )
        self.handle_era_rise(self.state.timer.now())
        return True

    def _get_known_end(self, era):
        """Return the offset behind the last record that is known of an era."""
        places = [record.offset + 1 for record in self.newest_records.values()]
        places += [self.position or 0, self.read_end]
        offsets = (get_offset(place) for place in places if get_era(place) == era)
        return max(offsets, default=0)

    def _keep_removals(self, page):
        """Keep the keys removed that an older copy of the store lists again.

        One that is written again has a record behind the page. A removal right before
        the begin of the era was told by an entry that has read an empty copy: what is
        listed on the page was written again.

        :param page: the first newest records of an era, a
            :class:`wasabistage.fleet.RecordPage`.
        """
        first = make_place(get_era(page.end), 0)
        for key, offset in self.removed_offsets.items():
            if offset < first - 1:
                self.removed_offsets[key] = page.end - 1

    async def _request_from_peer(self):
        """Apply the snapshot of another entry, unless it ends before ``position``."""
        age = self.state.timer.now() - self.confirmed_at
        if self.topic not in SHARED_TOPICS or age < MIN_SNAPSHOT_AGE_SECONDS:
            return
        try:
            snapshot, requested_at = await self.state.snapshots.request(str(self.topic))
        except StoreError as error:
            self.state.metrics.count("peer.failures")
            self.state.log.write(
                "facts_missing", topic=str(self.topic), reason=str(error)
            )
            return
        self.apply_snapshot(snapshot, requested_at)

    def _record_success(self, begun_at):
        self.state.view.unreadable.discard(str(self.topic))
        if self.is_store_lost:
            self.is_store_lost = False
            self.state.log.write("store_regained", topic=str(self.topic))
        self.known_before = self.read_at
        self.read_at = max(self.read_at, begun_at)
        self.confirm(begun_at)
        self.handle_store_read()

    def confirm(self, at):
        """Record that the known records were the newest at a time.

        :param at: monotonic seconds.
        """
        self.confirmed_at = max(self.confirmed_at, at)
        self.handle_confirmed(self.confirmed_at)

    def _record_failure(self, error):
        self.state.metrics.count("store.failures", label=str(self.topic))
        self.state.view.unreadable.add(str(self.topic))
        self.failures += 1
        if not self.is_store_lost:
            self.is_store_lost = True
            self.state.log.write("store_lost", topic=str(self.topic), reason=str(error))
        self.handle_read_failure()

    def record_removal(self, key, offset):
        """Record that a key has no record, so that none from before is applied.

        :param key: the key.
        :param offset: offset up to which this is known.
        """
        self.newest_records.pop(key, None)
        self.removed_offsets.pop(key, None)
        self.removed_offsets[key] = offset
        if len(self.removed_offsets) > MAX_REMOVED_KEYS:
            del self.removed_offsets[next(iter(self.removed_offsets))]

    def _discard_wrong_removals(self, page):
        """Forget removals of keys that the store still lists.

        Another entry may have missed a record and told its key as removed.

        :param page: the newest records as read from the store, a
            :class:`wasabistage.fleet.RecordPage`.
        """
        for record in page.records:
            if self.removed_offsets.get(record.key, page.end) < page.end:
                del self.removed_offsets[record.key]

    def reset_keys(self, page, now, read_end=None):
        """Remove the keys without a newest record, before the newest are applied.

        A key whose known record lies behind the page is kept.

        :param page: the newest records, a :class:`wasabistage.fleet.RecordPage`.
        :param now: monotonic time, in seconds.
        :param read_end: offset up to which a key that is not in the page has no record,
            for the page of an entry that has not read all of it; ``None`` for the end
            of the page.
        """
        return

    def get_shared_removals(self):
        """Return the removals that a snapshot tells, as list of ``StoredRecord``."""
        return []

    def handle_all_records(self, records, end, now):
        """Handle that no other key has a record, before the records are applied.

        :param records: iterable of :class:`wasabistage.fleet.StoredRecord`.
        :param end: offset up to which this holds.
        :param now: monotonic time, in seconds.
        """
        return

    def _apply_readable(self, record, now):
        """Apply one record; pass over one that can't be applied, whatever it holds.

        The topic may have other writers, and a record that ends the watch would keep
        it from all that follow.

        :return: whether other entries need the record.
        """
        try:
            return bool(self.apply_record(record, now))
        except Exception as error:
            self._record_unreadable(record, error)
            return False

    def _record_unreadable(self, record, error):
        state = self.state
        state.metrics.count("records.unreadable", label=str(self.topic))
        logged_offset = self.unreadable_offsets.get(record.key)
        if logged_offset == record.offset:
            return
        if len(self.unreadable_offsets) >= MAX_UNREADABLE_KEYS:
            self.unreadable_offsets.pop(next(iter(self.unreadable_offsets)))
        self.unreadable_offsets[record.key] = record.offset
        if logged_offset is None:
            state.log.write(
                "record_unreadable",
                topic=str(self.topic),
                key=record.key[:MAX_LOGGED_KEY],
                offset=record.offset,
                bytes=len(record.value or b""),
                error=type(error).__name__,
                reason=str(error)[:MAX_LOGGED_REASON],
            )

    @abstractmethod
    def apply_record(self, record, now):
        """Apply one record.

        :param record: a :class:`wasabistage.fleet.StoredRecord`.
        :param now: monotonic time, in seconds.
        :return: whether other entries need it.
        :raises UnreadableError: if its value can't be decoded. Any other exception is
            treated in the same way.
        """

    def handle_page_end(self, end, now):
        """Handle the end of a page: all records before an offset were applied.

        :param end: the offset.
        :param now: monotonic time, in seconds.
        """
        return

    def handle_store_read(self):
        """Handle a successful read of the store."""
        return

    def handle_era_rise(self, now):
        """Handle that the store has returned from an older copy.

        :param now: monotonic time, in seconds.
        """
        return

    def handle_confirmed(self, at):
        """Handle that a read confirmed the known records as current at a time.

        :param at: monotonic seconds.
        """
        return

    def handle_read_failure(self):
        """Handle a failed read of the store."""
        return
