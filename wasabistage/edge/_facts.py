"""Facts that entries tell each other: records, cached parts, live entries."""

from wasabistage.edge._messages import CacheEvent, CacheEvents
from wasabistage.edge._peer_messages import (
    ENCODER,
    FACT_DECODER,
    CacheFact,
    FleetState,
    FreedFact,
    MemberFact,
    MemberRow,
    RecordFact,
    TopicSnapshot,
)
from wasabistage.fleet import StoredRecord, Topic
from wasabistage.topology import FactLog, FleetMember
from wasabistage.utils import UnreadableError, decode_data

#: Topics whose records are facts.
SHARED_TOPICS = (Topic.CONFIGURATION, Topic.SERVERS, Topic.ENTRIES)
MAX_FACT_BYTES = 8192  # of a record in a datagram; a larger one is requested
MAX_PARTS_PER_FACT = 200  # some 6 KiB


def to_row(member):
    """Return the :class:`MemberRow` of a :class:`wasabistage.topology.FleetMember`."""
    return MemberRow(
        member.name,
        member.failure_domain,
        member.ip,
        member.callers,
        member.weight,
        member.is_ready,
        member.capacity,
    )


def to_member(row):
    """Return the :class:`wasabistage.topology.FleetMember` of a :class:`MemberRow`."""
    return FleetMember(
        name=row.name,
        failure_domain=row.failure_domain,
        ip=row.ip,
        callers=row.callers,
        weight=row.weight,
        is_ready=row.is_ready,
        capacity=row.capacity,
    )


def group_events(events):
    """Group cache events by cache key, for a :class:`CacheFact`.

    :param events: iterable of :class:`CacheEvent`.
    :return: list of rows of cache key, parts, tokens.
    """
    groups = {}
    for event in events:
        parts, tokens = groups.setdefault(event.cache_key, ([], []))
        parts.append(event.part)
        tokens.append(event.tokens)
    return [(key, parts, tokens) for key, (parts, tokens) in groups.items()]


class FactExchange:
    """Logs of facts for other entries, and the state that received facts change.

    :param state: an :class:`EdgeState`.
    :ivar own_log: facts that this entry has read itself, for other relays.
    :ivar fleet_log: all facts, for followers.
    :ivar members: dict of name to :class:`wasabistage.topology.FleetMember`: the live
        entries as told by the relay that this entry follows.
    :ivar has_new_members: whether ``members`` has changed; cleared by its reader.
    """

    def __init__(self, state):
        self.state = state
        self.own_log = FactLog(f"{state.incarnation}/own")
        self.fleet_log = FactLog(f"{state.incarnation}/fleet")
        #: Tasks that follow the shared topics, by topic name; set by the process.
        self.watches = {}
        self.members = {}
        self.has_new_members = False
        #: Position behind the last record of each topic, by the id of the log.
        self.record_ends = {self.own_log.log: {}, self.fleet_log.log: {}}
        #: Records that were too large for a datagram: topic and key to the record,
        #: without its value, and the IP of an entry that has it.
        self.wanted_records = {}
        #: Topics of which another entry has told a record that this one has missed:
        #: offset of the record and IP of the entry.
        self.missed_offsets = {}

    def get_log(self, name):
        """Return the :class:`wasabistage.topology.FactLog` of a name, or ``None``."""
        return {"own": self.own_log, "fleet": self.fleet_log}.get(name)

    def publish_record(self, topic, record, *, is_own=True):
        """Tell other entries of a record.

        :param topic: a :class:`wasabistage.fleet.Topic`.
        :param record: a :class:`wasabistage.fleet.StoredRecord`.
        :param is_own: whether this entry has read it from the record store; otherwise
            only the followers are told.
        """
        value = record.value
        is_large = value is not None and len(value) > MAX_FACT_BYTES
        fact = RecordFact(
            str(topic), record.key, record.offset, None if is_large else value, is_large
        )
        self._publish(fact, is_own=is_own)

    def publish_events(self, address, since, events, *, is_listing=False):
        """Tell the other entries of cache events that this entry has read.

        :param address: address of the source.
        :param since: position of the read.
        :param events: a :class:`CacheEvents`.
        :param is_listing: whether they are all that the source holds.
        """
        rows, start = events.events, 0
        while True:
            part = rows[start : start + MAX_PARTS_PER_FACT]
            is_first = start == 0
            start += MAX_PARTS_PER_FACT
            is_last = start >= len(rows)
            fact = CacheFact(
                address,
                events.epoch,
                since,
                # Followers count an incomplete read as not begun.
                events.position if is_last else since,
                is_listing and is_first,
                events.clock,
                group_events(part),
            )
            self._publish(fact)
            if is_last:
                return

    def publish_freed(self, address, epoch, part_keys):
        """Tell the other entries of parts that this entry has freed at a cache store.

        :param address: address of the store.
        :param epoch: epoch of the store in which they were freed.
        :param part_keys: list of (cache key, part).
        """
        for start in range(0, len(part_keys), MAX_PARTS_PER_FACT):
            groups = {}
            for cache_key, part in part_keys[start : start + MAX_PARTS_PER_FACT]:
                groups.setdefault(cache_key, []).append(part)
            self._publish(FreedFact(address, epoch, list(groups.items())))

    def publish_member(self, row, *, is_live):
        """Tell the followers that an entry has appeared, changed or gone.

        :param row: a :class:`MemberRow`.
        :param is_live: whether it is live.
        """
        self.fleet_log.append(ENCODER.encode(MemberFact(row, is_live)))

    def _publish(self, fact, *, is_own=True):
        data = ENCODER.encode(fact)
        if is_own:
            self._append(self.own_log, fact, data)
        self._append(self.fleet_log, fact, data)
        self.state.reports.notify_facts()

    def _append(self, log, fact, data):
        log.append(data)
        if isinstance(fact, RecordFact):
            self.record_ends[log.log][fact.topic] = log.end

    def has_taken_records(self, outbox, topic):
        """Return whether all records of a topic were taken from an outbox.

        :param outbox: a :class:`wasabistage.topology.FactOutbox` of one of the logs.
        :param topic: name of the topic.
        """
        return outbox.position >= self.record_ends[outbox.log.log].get(topic, 0)

    def apply(self, data, ip):
        """Apply a fact of another entry, and keep it for the followers if it is new.

        :param data: the encoded fact.
        :param ip: IP of the entry.
        """
        try:
            fact = decode_data(FACT_DECODER, data)
        except UnreadableError as error:
            self.state.metrics.count("peer.failures")
            self.state.log.write("fact_unreadable", reason=str(error))
            return
        if self._apply_fact(fact, ip):
            self._append(self.fleet_log, fact, bytes(data))
            self.state.reports.notify_facts()

    def _apply_fact(self, fact, ip):
        if isinstance(fact, RecordFact):
            return self._apply_record(fact, ip)
        if isinstance(fact, CacheFact):
            return self.apply_cache_fact(fact)
        if isinstance(fact, FreedFact):
            part_keys = [(key, part) for key, parts in fact.groups for part in parts]
            return self.state.parts.remove_parts(
                fact.address, fact.epoch, part_keys, self.state.timer.now()
            )
        self.has_new_members = True
        if fact.is_live:
            self.members[fact.member.name] = to_member(fact.member)
        else:
            self.members.pop(fact.member.name, None)
        # The members that this entry tells its followers are computed, not passed on.
        return False

    def _apply_record(self, fact, ip):
        watch = self.watches.get(fact.topic)
        if watch is None:
            return False
        record = StoredRecord(offset=fact.offset, key=fact.key, value=fact.value)
        if not fact.is_large:
            return watch.apply_shared(record)
        if watch.is_newer(record):
            self.wanted_records[fact.topic, fact.key] = (record, ip)
        return False

    def apply_cache_fact(self, fact):
        """Apply the changes at one cache source; return whether they are new.

        :param fact: a :class:`CacheFact`.
        """
        parts, source = self.state.parts, self.state.parts.source(fact.address)
        if parts.is_old_epoch(fact.address, fact.epoch):
            return False
        is_known_epoch = source.epoch == fact.epoch
        if is_known_epoch and fact.position < source.position and not fact.is_listing:
            return False
        events = CacheEvents(
            epoch=fact.epoch,
            position=fact.position,
            has_gap=False,
            events=tuple(
                CacheEvent(cache_key=key, part=part, tokens=tokens)
                for key, names, counts in fact.groups
                for part, tokens in zip(names, counts, strict=False)
            ),
        )
        parts.apply_events(
            fact.address,
            events,
            self.state.timer.now(),
            since=fact.since,
            is_listing=fact.is_listing,
        )
        if fact.clock is not None:
            self.state.record_server_clock(fact.clock, is_relayed=True)
        return True

    def is_missing(self, topic):
        """Return whether a record of a topic is known to exist, but not its value.

        :param topic: name of the topic.
        """
        is_wanted = any(name == topic for name, _ in self.wanted_records)
        return is_wanted or topic in self.missed_offsets

    def build_state(self, name):
        """Build the :class:`FleetState` at the end of a log.

        :param name: ``"own"`` for the topics and the sources that this entry reads,
            ``"fleet"`` for all that it knows.
        """
        log = self.get_log(name)
        is_fleet = log is self.fleet_log
        view, now = self.state.view, self.state.timer.now()
        topics = {
            topic: watch.build_snapshot(now)
            for topic, watch in self.watches.items()
            if watch.is_known
        }
        sources = [
            self._build_listing(address, source)
            for address, source in self.state.parts.sources.items()
            if source.epoch is not None and (is_fleet or view.is_source_reader(address))
        ]
        members = [to_row(item) for item in view.get_members().values()]
        return FleetState(
            log=log.log,
            position=log.end,
            topics=topics,
            sources=sources,
            members=members if is_fleet else [],
        )

    def _build_listing(self, address, source):
        groups = {}
        for (cache_key, part), tokens in source.tokens_by_part.items():
            names, counts = groups.setdefault(cache_key, ([], []))
            names.append(part)
            counts.append(tokens)
        return CacheFact(
            address,
            source.epoch,
            source.position,
            source.position,
            source.is_complete,
            self.state.get_server_clock(),
            [(key, names, counts) for key, (names, counts) in groups.items()],
        )

    def apply_state(self, fleet_state, requested_at):
        """Apply the state of another entry.

        :param fleet_state: a :class:`FleetState`.
        :param requested_at: time of the request, monotonic seconds.
        """
        for topic, snapshot in fleet_state.topics.items():
            watch = self.watches.get(topic)
            if watch is not None:
                watch.apply_snapshot(snapshot, requested_at)
        for listing in fleet_state.sources:
            source = self.state.parts.source(listing.address)
            is_needed = listing.is_listing and not source.is_complete
            is_known = source.epoch == listing.epoch and not is_needed
            if not is_known or listing.position >= source.position:
                self.apply_cache_fact(listing)
        if fleet_state.members:
            self.set_members(fleet_state.members)

    def set_members(self, rows):
        """Replace the live entries.

        :param rows: list of :class:`MemberRow`.
        """
        self.members = {row.name: to_member(row) for row in rows}
        self.has_new_members = True


def build_snapshot(records, age, end, newest, read_end):
    """Return the :class:`TopicSnapshot` of records.

    :param records: the newest :class:`wasabistage.fleet.StoredRecord` of each key.
    :param age: time since the start of the read that confirmed them, in seconds.
    :param end: offset up to which the topic is known.
    :param newest: offset of the newest record that was told as a fact.
    :param read_end: offset up to which keys without a record have none.
    """
    return TopicSnapshot(
        age=age,
        end=end,
        newest=newest,
        read_end=read_end,
        records=[(record.key, record.offset, record.value) for record in records],
    )
