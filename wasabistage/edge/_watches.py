"""Tasks that follow the record topics of configuration, servers, entries, orders."""

import math
from dataclasses import replace
from ipaddress import IPv4Address

import msgspec
import trio

from wasabistage.edge._cold_servers import get_cold_left, get_cold_limit, has_cold_limit
from wasabistage.edge._peer_messages import PeerEntry
from wasabistage.edge._record_watch import MAX_LOGGED_KEY, RecordWatch
from wasabistage.fleet import StoredRecord, Topic, VersionClaims, get_era
from wasabistage.rollout import (
    LeaseRecord,
    ServerVersionReported,
    TopicRead,
    VersionNamed,
)
from wasabistage.routing import (
    EvacuationOrdered,
    EvacuationWithdrawn,
    ServerAppeared,
    ServerLeaving,
    ServerRecorded,
    ServerRemoved,
)
from wasabistage.utils import UnreadableError, decode_data

MAX_LOGGED_DOMAINS = 16  # that are evacuated, in one line
ENTRY_DECODER = msgspec.json.Decoder(PeerEntry)


class ConfigurationWatch(RecordWatch):
    """Follows the configuration and the named weight versions."""

    topic = Topic.CONFIGURATION
    #: Shorter than for other topics: the age of the keys counts from the start of a
    #: read, so a long read shortens the store outage that the keys survive.
    wait_seconds = 0.8

    def __init__(self, state, store):
        super().__init__(state, store)
        self.claims = VersionClaims()

    async def ask_running_entries(self):
        """See :meth:`RecordWatch.ask_running_entries`."""
        found = await self.state.snapshots.request_from_several(str(self.topic))
        for snapshot, requested_at in found:
            self.apply_snapshot(snapshot, requested_at)
        self.state.log.write(
            "configuration_asked",
            answers=len(found),
            version=self.state.get_configuration_version(),
        )

    def apply_older_snapshot(self, snapshot):
        """See :meth:`RecordWatch.apply_older_snapshot`.

        Versions order configurations and weights. Orders to evacuate stay in force
        until the operator withdraws them.
        """
        now = self.state.timer.now()
        for key, offset, value in snapshot.records:
            record = StoredRecord(offset=offset, key=key, value=value)
            if self._apply_readable(record, now):
                self.state.facts.publish_record(self.topic, record, is_own=False)

    def find_newer_peer(self):
        """Return the name of an entry with a newer configuration, or ``None``."""
        state, now = self.state, self.state.timer.now()
        versions = {
            name: peer.report.configuration_version
            for name, peer in state.peers.items()
        }
        self.claims.observe(versions, now)
        return self.claims.find_newer(state.get_configuration_version(), now)

    def apply_record(self, record, now):
        """See :meth:`RecordWatch.apply_record`."""
        if self.state.platform.is_configuration(record):
            return self._apply_configuration(record)
        if not self.is_newer(record):
            return False
        failure_domain = self.state.platform.decode_evacuation(record.key)
        if failure_domain is not None:
            self._apply_evacuation(failure_domain, record, now)
            return True
        named = self.state.platform.decode_named_version(record)
        if self._is_named_before(named, record.key):
            known = self.newest_records[record.key]
            self.newest_records[record.key] = replace(known, offset=record.offset)
            return False
        self.newest_records[record.key] = record
        if named is not None:
            event = VersionNamed(model=named.model, version=named.version)
            self.state.swap.observe(event, now)
            self.state.log.write(
                "version_named",
                model=named.model,
                version=named.version,
                offset=record.offset,
            )
        return True

    def _is_named_before(self, named, key):
        """Return whether a newer weight version is known than a record names.

        :param named: what the record names, or ``None``.
        :param key: its key.
        """
        known = self.newest_records.get(key)
        if named is None or known is None or known.value is None:
            return False
        newest = self.state.platform.decode_named_version(known)
        return newest is not None and newest.version > named.version

    def apply_shared(self, record):
        """See :meth:`RecordWatch.apply_shared`.

        A process learns the orders to evacuate before the routes. Until it knows the
        whole topic, a record that another entry tells may hold the routes alone.
        """
        if not self.is_known and self.state.platform.is_configuration(record):
            return False
        return super().apply_shared(record)

    def _apply_evacuation(self, failure_domain, record, now):
        """Apply an order to evacuate a failure domain, or its withdrawal."""
        is_order = record.value is not None
        if is_order:
            self.newest_records[record.key] = record
        else:
            self.record_removal(record.key, record.offset)
        kind = EvacuationOrdered if is_order else EvacuationWithdrawn
        event = kind(failure_domain=failure_domain, offset=record.offset)
        state = self.state
        if not state.evacuation.observe(event, now):
            return
        domains = state.evacuation.get_domains()
        state.metrics.gauge("evacuation.domains", len(domains))
        servers = [
            known.record.server
            for known in state.servers.servers.values()
            if known.record.failure_domain == failure_domain
        ]
        state.log.write(
            "evacuation_ordered" if is_order else "evacuation_withdrawn",
            failure_domain=failure_domain[:MAX_LOGGED_KEY],
            offset=record.offset,
            servers=len(servers),
            all=[name[:MAX_LOGGED_KEY] for name in domains[:MAX_LOGGED_DOMAINS]],
        )

    def get_shared_removals(self):
        """See :meth:`RecordWatch.get_shared_removals`."""
        return [
            StoredRecord(offset=offset, key=key, value=None)
            for key, offset in self.removed_offsets.items()
        ]

    def handle_all_records(self, records, end, now):
        """See :meth:`RecordWatch.handle_all_records`.

        An order to evacuate that is not among the records was withdrawn, unless it is
        newer than they are, or they are those of a store that has lost its history.
        """
        platform = self.state.platform
        if not any(platform.is_configuration(record) for record in records):
            return
        keys = {record.key for record in records}
        for key, known in list(self.newest_records.items()):
            failure_domain = platform.decode_evacuation(key)
            if failure_domain is None or key in keys or end <= known.offset:
                continue
            removal = StoredRecord(offset=end - 1, key=key, value=None)
            self._apply_evacuation(failure_domain, removal, now)
            self.state.facts.publish_record(self.topic, removal)

    def _apply_configuration(self, record):
        """Apply a configuration of a higher version, wherever its record lies.

        A store that returns from an older copy has an older version behind the newest.

        :return: whether other entries need the record.
        """
        known = self.newest_records.get(record.key)
        if known is not None and known.value == record.value:
            offset = max(known.offset, record.offset)
            self.newest_records[record.key] = replace(known, offset=offset)
            return False
        try:
            configuration = self.state.platform.decode_configuration(record.value)
        except UnreadableError:
            self.state.metrics.count("config.alarm")
            raise
        is_new = self.state.routes.apply_configuration(configuration)
        if known is None or is_new:
            self.newest_records[record.key] = record
        if is_new:
            self.state.metrics.gauge("config.version", configuration.version)
            self.state.log.write(
                "configuration_in_force",
                version=configuration.version,
                offset=record.offset,
                routes=len(configuration.routes),
                accounts=count_accounts(configuration),
            )
        return is_new

    def handle_confirmed(self, at):
        """See :meth:`RecordWatch.handle_confirmed`.

        A read of an older copy confirms nothing that another entry knows to be older.
        """
        if self.find_newer_peer() is None:
            self.state.freshness.confirm(at)

    def handle_store_read(self):
        """See :meth:`RecordWatch.handle_store_read`."""
        self.state.view.record_store_read(True)

    def handle_read_failure(self):
        """See :meth:`RecordWatch.handle_read_failure`."""
        self.state.view.record_store_read(False)


def count_accounts(configuration):
    """Return the number of client accounts, ``None`` if no list is declared."""
    accounts = configuration.accounts
    return None if accounts is None else len(accounts)


#: Age of the list of servers from which on an outage may have let records expire. The
#: records expire after some seconds without renewal.
MAX_LIST_AGE_SECONDS = 3.5
#: The same in an entry whose own read has failed.
MAX_FAILED_LIST_AGE_SECONDS = 2.2


class ServerWatch(RecordWatch):
    """Follows the list of backend servers."""

    topic = Topic.SERVERS
    pause_seconds = 0.5

    def handle_era_rise(self, now):
        """See :meth:`RecordWatch.handle_era_rise`.

        The older copy may lack servers that run. They write their records again.
        """
        self.state.servers.start_outage()
        self.state.servers.end_outage(now)

    def reset_keys(self, page, now, read_end=None):
        """See :meth:`RecordWatch.reset_keys`."""
        read_end = page.end if read_end is None else read_end
        listed = {record.key for record in page.records if record.value is not None}
        for server in list(self.state.servers.servers):
            known = self.newest_records.get(server)
            known_offset = -1 if known is None else known.offset
            if server in listed or known_offset >= page.end:
                continue
            offset = max(read_end - 1, known_offset + 1)
            self.record_removal(server, offset)
            self._remove(server, now)
            removal = StoredRecord(offset=offset, key=server, value=None)
            self.state.facts.publish_record(self.topic, removal)

    def apply_record(self, record, now):
        """See :meth:`RecordWatch.apply_record`."""
        if not self.is_newer(record):
            return False
        if record.value is None:
            is_known = record.key in self.newest_records
            self.record_removal(record.key, record.offset)
            if is_known:
                self._remove(record.key, now)
            return is_known
        server = self.state.platform.decode_server(record)
        self.newest_records[record.key] = record
        is_warmth_new = self._record_warmth(server, now)
        if not self.state.servers.observe(server, now):
            return is_warmth_new
        self._record_server(server, now)
        return True

    def _record_warmth(self, server, now):
        """Record how long a server stays cold; return whether others need to know."""
        recorded = ServerRecorded(
            server=server.server,
            incarnation=server.incarnation,
            cold_left=server.cold_left,
            is_first=not self.is_known,
            written_after=self.known_before,
        )
        service = self._get_service(server)
        limit = get_cold_limit(self.state, service)
        if limit is None:
            return self.state.warmth.observe(recorded, now)
        was_cold = get_cold_left(self.state, server.server, limit, now) > 0.0
        is_new = self.state.warmth.observe(recorded, now)
        cold_left = get_cold_left(self.state, server.server, limit, now)
        if was_cold != (cold_left > 0.0):
            self.state.log.write(
                "server_warmth", server=server.server, cold_left=round(cold_left, 3)
            )
        return is_new

    def _get_service(self, server):
        configuration = self.state.routes.configuration
        if configuration is None:
            return None
        return configuration.services.get(server.service)

    def _record_server(self, server, now):
        state = self.state
        appeared = ServerAppeared(
            server=server.server,
            service=server.service,
            incarnation=str(server.incarnation),
            starts_slowly=False,
        )
        state.health.observe(appeared, now)
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
        is_removed = self.state.servers.remove(server, now)
        self.state.log.write("server_unlisted", server=server, gone=is_removed)
        if is_removed:
            self.state.health.observe(ServerRemoved(server=server), now)

    def handle_page_end(self, end, now):
        """See :meth:`RecordWatch.handle_page_end`."""
        self.state.has_read_servers = True

    def handle_confirmed(self, at):
        """See :meth:`RecordWatch.handle_confirmed`.

        Whether the list has an outage is judged by this topic alone: the store may
        serve others meanwhile, or not serve them.
        """
        now = self.state.timer.now()
        if now - at <= MAX_LIST_AGE_SECONDS:
            self.state.servers.end_outage(now)

    def handle_read_failure(self):
        """See :meth:`RecordWatch.handle_read_failure`."""
        if self.state.servers_age > MAX_FAILED_LIST_AGE_SECONDS:
            self.state.servers.start_outage()

    def check_age(self):
        """Start an outage of the list if no entry has confirmed it for too long."""
        if self.state.servers_age > MAX_LIST_AGE_SECONDS:
            self.state.servers.start_outage()


class EntryWatch(RecordWatch):
    """Follows the addresses of the other entries."""

    topic = Topic.ENTRIES

    @property
    def wait_seconds(self):
        """Longest time for which a read waits for a record.

        A share of the requests to cold servers needs a recent list of the entries.
        """
        return 1.4 if has_cold_limit(self.state) else 20.0

    def apply_record(self, record, now):
        """See :meth:`RecordWatch.apply_record`."""
        if record.value is None or not self.is_newer(record):
            return False
        entry = decode_data(ENTRY_DECODER, record.value)
        check_entry(entry)
        known = self.newest_records.get(record.key)
        self.newest_records[record.key] = record
        if record.key == self.state.settings.instance.name:
            self.state.view.record_registration(entry.incarnation)
        is_new = self.state.view.add_entry(record.key, entry)
        # Entries that don't call the store learn by this that it has gone back.
        return is_new or (
            known is not None and get_era(known.offset) < get_era(record.offset)
        )


def check_entry(entry):
    """Check the address, the weight and the capacity of an entry.

    :param entry: a :class:`PeerEntry`.
    :raises UnreadableError: if one of them can't be used.
    """
    try:
        IPv4Address(entry.ip)
    except ValueError as error:
        raise UnreadableError(str(error)) from error
    if not 0.0 < entry.weight < math.inf:
        raise UnreadableError(f"the weight is {entry.weight}, not above 0 and finite")
    if not 0.0 <= entry.capacity < math.inf:
        raise UnreadableError(f"the capacity is {entry.capacity}, not finite")


class OrderRecord(msgspec.Struct):
    """Value of a record in the topic of orders: a grant of the order lease.

    ``holder`` may order ``servers`` under it.
    """

    holder: str
    incarnation: str
    servers: list[str]


ORDER_DECODER = msgspec.json.Decoder(OrderRecord)


class OrderWatch(RecordWatch):
    """Follows the grants of the order lease."""

    topic = Topic.ORDERS
    wait_seconds = 20.0

    def __init__(self, state, store):
        super().__init__(state, store)
        self.read_scope = trio.CancelScope()

    def should_read(self):
        """Return whether this entry may hold the order lease."""
        return self.state.view.has_store

    async def _read_next(self):
        # The topic has no newest record per key, so it is read from its start.
        if self.position is None:
            self.position = 0
        with trio.CancelScope() as self.read_scope:
            await super()._read_next()

    def get_restart_position(self, first):
        """See :meth:`RecordWatch.get_restart_position`.

        Grants that are old enough to be dropped don't hold any more.
        """
        return first if first is not None else self.position

    def read_now(self):
        """Cancel the waiting read and read at once.

        Called when the topic has records that the waiting read did not return.
        """
        self.has_read_page = False
        self.read_scope.cancel()

    def apply_record(self, record, now):
        """See :meth:`RecordWatch.apply_record`."""
        grant = decode_data(ORDER_DECODER, record.value)
        event = LeaseRecord(
            offset=record.offset,
            holder=grant.holder,
            incarnation=grant.incarnation,
            servers=tuple(grant.servers),
        )
        self.state.lease.observe(event, now)
        return True

    def handle_page_end(self, end, now):
        """See :meth:`RecordWatch.handle_page_end`."""
        self.state.lease.observe(TopicRead(end=end), now)
