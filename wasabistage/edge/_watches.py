"""Tasks that follow the records of configuration, servers, entries and orders."""

from abc import ABC, abstractmethod

import msgspec
import trio

from wasabistage.edge._facts import SHARED_TOPICS
from wasabistage.edge._peers import PeerEntry
from wasabistage.fleet import StoreError, Topic, TrimmedError
from wasabistage.rollout import (
    LeaseRecord,
    ServerVersionReported,
    TopicRead,
    VersionNamed,
)
from wasabistage.routing import ServerAppeared, ServerLeaving, ServerRemoved

FIRST_RETRY = 0.1  # seconds; the store answers in some milliseconds
LONGEST_RETRY = 1.0  # seconds; well below the time for which keys are trusted


class RecordWatch(ABC):
    """Follows one topic: its newest records, then every one that is appended.

    :param state: an :class:`EdgeState`.
    :param store: a :class:`wasabistage.fleet.RecordStore`.
    """

    topic = None
    #: Longest time that a read waits for a record, in seconds.
    wait = 1.4
    #: Pause between two reads, in seconds: several records come with one call.
    pause = 0.0

    def __init__(self, state, store):
        self.state = state
        self.store = store
        self.position = None
        self.is_away = False
        self.has_read = False
        self.raw = {}
        self.confirmed_at = float("-inf")

    async def run(self):
        """Follow the topic until cancelled."""
        retry = FIRST_RETRY
        while True:
            try:
                await self._read_on()
                retry = FIRST_RETRY
            except TrimmedError:
                self.state.log.write("records_trimmed", topic=str(self.topic))
                self.position = None
            except StoreError as error:
                self._note_failure(error)
                await self._ask_peer()
                await trio.sleep(retry * (0.5 + self.state.random.random()))
                retry = min(2.0 * retry, LONGEST_RETRY)

    async def _read_on(self):
        begun_at = self.state.timer.now()
        if self.position is None:
            page = await self.store.read_newest(self.topic)
            self._note_success(begun_at)
            self.start_over(page.records, self.state.timer.now())
        else:
            # The first read returns at once: its end is news, with or without records.
            wait = self.wait if self.has_read else 0.0
            page = await self.store.read(self.topic, self.position, wait)
            self.has_read = True
            self._note_success(begun_at)
        now = self.state.timer.now()
        for record in page.records:
            self.take(record, now)
        self.position = page.end
        self.end_page(page.end, now)
        if page.records and self.pause:
            await trio.sleep(self.pause)

    async def _ask_peer(self):
        """Take over what another entry learned from the store."""
        if self.topic not in SHARED_TOPICS:
            return
        try:
            facts, records, asked_at = await self.state.facts.ask(self.topic)
        except StoreError as error:
            self.state.metrics.count("peer.failures")
            self.state.log.write(
                "facts_missing", topic=str(self.topic), reason=str(error)
            )
            return
        if self.position is not None and facts.end < self.position:
            return
        now = self.state.timer.now()
        self.start_over(records, now)
        for record in records:
            self.take(record, now)
        self.position = facts.end
        self.end_page(facts.end, now)
        self._confirm(asked_at - facts.age)

    def _note_success(self, begun_at):
        if self.is_away:
            self.is_away = False
            self.state.log.write("store_regained", topic=str(self.topic))
        self._confirm(begun_at)
        self.note_read()

    def _confirm(self, at):
        self.confirmed_at = max(self.confirmed_at, at)
        self.note_confirmed(self.confirmed_at)

    def _note_failure(self, error):
        self.state.metrics.count("store.failures", label=str(self.topic))
        if not self.is_away:
            self.is_away = True
            self.state.log.write("store_lost", topic=str(self.topic), reason=str(error))
        self.note_lost()

    def start_over(self, records, now):
        """Prepare for the newest records of all keys."""
        return

    @abstractmethod
    def take(self, record, now):
        """Take in one record."""

    def end_page(self, end, now):
        """Take in that everything before an offset was read."""
        return

    def note_read(self):
        """Take in that the store was read."""
        return

    def note_confirmed(self, at):
        """Take in that everything up to a moment is known.

        :param at: monotonic seconds.
        """
        return

    def note_lost(self):
        """Take in that a read failed."""
        return


class ConfigurationWatch(RecordWatch):
    """Follows the configuration and the named weight versions."""

    topic = Topic.CONFIGURATION
    #: Shorter than for other topics: the begin of a read is the age of the keys, so a
    #: long one shortens the time for which an outage of the store can be outlasted.
    wait = 0.8

    def take(self, record, now):
        """See :meth:`RecordWatch.take`."""
        known = self.raw.get(record.key)
        if known is not None and known.offset >= record.offset:
            return
        self.raw[record.key] = record
        if self.state.platform.is_configuration(record):
            self._follow(record)
            return
        named = self.state.platform.decode_named_version(record)
        if named is not None:
            event = VersionNamed(model=named.model, version=named.version)
            self.state.swap.observe(event, now)
            self.state.log.write(
                "version_named",
                model=named.model,
                version=named.version,
                offset=record.offset,
            )

    def _follow(self, record):
        configuration = self.state.platform.decode_configuration(record.value)
        if configuration is None:
            self.state.log.write("configuration_unreadable", offset=record.offset)
            self.state.metrics.count("config.alarm")
            return
        if self.state.routes.apply_configuration(configuration):
            self.state.metrics.gauge("config.version", configuration.version)
            self.state.log.write(
                "configuration_in_force",
                version=configuration.version,
                offset=record.offset,
                routes=len(configuration.routes),
                accounts=len(configuration.accounts),
            )

    def note_confirmed(self, at):
        """See :meth:`RecordWatch.note_confirmed`."""
        self.state.freshness.confirm(at)

    def note_read(self):
        """See :meth:`RecordWatch.note_read`."""
        self.state.gossip.has_store = True

    def note_lost(self):
        """See :meth:`RecordWatch.note_lost`."""
        self.state.gossip.has_store = False


class ServerWatch(RecordWatch):
    """Follows the list of backend servers."""

    topic = Topic.SERVERS
    pause = 0.5

    def start_over(self, records, now):
        """See :meth:`RecordWatch.start_over`."""
        listed = {record.key for record in records if record.value is not None}
        for server in list(self.state.servers.servers):
            if server not in listed:
                self.raw.pop(server, None)
                self._remove(server, now)

    def take(self, record, now):
        """See :meth:`RecordWatch.take`."""
        known = self.raw.get(record.key)
        if known is not None and known.offset >= record.offset:
            return
        if record.value is None:
            if self.raw.pop(record.key, None) is not None:
                self._remove(record.key, now)
            return
        server = self.state.platform.decode_server(record)
        if server is None:
            self.state.metrics.count("servers.unreadable")
            return
        self.raw[record.key] = record
        if not self.state.servers.observe(server, now):
            return
        self._tell(server, now)

    def _tell(self, server, now):
        state = self.state
        seen = ServerAppeared(
            server=server.server,
            service=server.service,
            incarnation=str(server.incarnation),
            starts_slowly=False,
        )
        state.health.observe(seen, now)
        if server.is_leaving:
            state.health.observe(ServerLeaving(server=server.server), now)
        for model, version in server.versions.items():
            event = ServerVersionReported(
                server=server.server,
                incarnation=server.incarnation,
                model=model,
                version=version,
            )
            state.swap.observe(event, now)
        state.log.write(
            "server_listed",
            server=server.server,
            service=server.service,
            address=server.address,
            leaving=server.is_leaving,
            versions=server.versions,
        )

    def _remove(self, server, now):
        gone = self.state.servers.remove(server, now)
        self.state.log.write("server_unlisted", server=server, gone=gone)
        if gone:
            self.state.health.observe(ServerRemoved(server=server), now)

    def end_page(self, end, now):
        """See :meth:`RecordWatch.end_page`."""
        self.state.servers_read = True

    def note_read(self):
        """See :meth:`RecordWatch.note_read`."""
        self.state.servers.note_read(self.state.timer.now())

    def note_lost(self):
        """See :meth:`RecordWatch.note_lost`."""
        peers = self.state.peers.values()
        # Entries lapse only while nobody reaches the store.
        if not any(peer.report.has_store for peer in peers):
            self.state.servers.start_outage()


class EntryWatch(RecordWatch):
    """Follows where the other entries are."""

    topic = Topic.ENTRIES
    wait = 20.0

    def take(self, record, now):
        """See :meth:`RecordWatch.take`."""
        if record.value is None or record.key == self.state.settings.instance.name:
            return
        try:
            entry = msgspec.json.decode(record.value, type=PeerEntry)
        except msgspec.DecodeError:
            self.state.log.write("entry_unreadable", key=record.key)
            return
        self.state.gossip.know(record.key, entry.ip)


class OrderRecord(msgspec.Struct):
    """Value of a record in the topic of orders."""

    holder: str
    incarnation: str
    servers: list[str]


class OrderWatch(RecordWatch):
    """Follows who may order which servers."""

    topic = Topic.ORDERS
    wait = 20.0

    def __init__(self, state, store):
        super().__init__(state, store)
        self.reading = trio.CancelScope()

    async def _read_on(self):
        # A plain topic has no newest records: it is read from its begin.
        if self.position is None:
            self.position = 0
        with trio.CancelScope() as self.reading:
            await super()._read_on()

    def look(self):
        """Read at once: there are records that the waiting read did not bring."""
        self.has_read = False
        self.reading.cancel()

    def take(self, record, now):
        """See :meth:`RecordWatch.take`."""
        try:
            wave = msgspec.json.decode(record.value, type=OrderRecord)
        except msgspec.DecodeError:
            self.state.log.write("order_unreadable", offset=record.offset)
            return
        event = LeaseRecord(
            offset=record.offset,
            holder=wave.holder,
            incarnation=wave.incarnation,
            servers=tuple(wave.servers),
        )
        self.state.lease.observe(event, now)

    def end_page(self, end, now):
        """See :meth:`RecordWatch.end_page`."""
        self.state.lease.observe(TopicRead(end=end), now)
