"""What an entry knows of the fleet: live entries, roles, and the relay it follows."""

from wasabistage.cache import SAVE_PAUSE_SECONDS
from wasabistage.edge._facts import to_member
from wasabistage.fleet import Topic
from wasabistage.topology import (
    EntryCapacity,
    FleetMember,
    FleetMemberTable,
    IntervalPassed,
    ReaderPolicy,
    ReadQuery,
    RelayChoice,
    RelayQuery,
    RelayReported,
    RolePlan,
    RoleQuery,
    SharerTable,
    get_rank,
)

FOLLOWER_TIMEOUT_SECONDS = 1.8  # a follower without a report is no member
#: Time for which followers keep the members that a lost relay has told.
FLEET_TIMEOUT_SECONDS = 6.0
#: Time for which an entry counts as live after its address was first read.
NEW_ENTRY_SECONDS = 2.0
MAX_KNOWN_ENTRIES = 1024  # twice the intended number of entries
PROBES_PER_REPORT = 2  # reports to entries that are not known to be live
DRAINING_WEIGHT = 1e-3  # a stopping entry is the last choice as a relay
#: Relays that read a topic all the time. The orders are read by each that reaches the
#: record store, since it may have to give some.
READERS = {
    Topic.CONFIGURATION: 3,
    Topic.SERVERS: 2,
    Topic.ENTRIES: 2,
    Topic.ORDERS: MAX_KNOWN_ENTRIES,
}
#: Topics whose age is bounded; entries that are new are found by other means as well.
BOUNDED_TOPICS = (Topic.CONFIGURATION, Topic.SERVERS)
SOURCE_READERS = 1  # relays that read one cache source
MAX_SOURCE_RANK = 4  # relays that try a source that others fail to read
#: Time after the first start of a fleet within which its entries find each other.
FIRST_START_SECONDS = 3.0
#: Time after the first start of the fleet in which no entry has an older map of a store
#: than the others.
NEW_FLEET_SECONDS = FIRST_START_SECONDS + SAVE_PAUSE_SECONDS
#: Weight of one prompt in the prefill rate of all engines together, in a crowded fleet.
POOL_GAIN = 0.03
#: Time between two long prompts at one engine. Its streams pause while it reads a
#: prompt, and callers notice two such pauses in a row.
LONG_SPACING_SECONDS = 0.06
STORE_SUCCESS_SECONDS = 3.0  # time for which a read shows that the store is reached
#: Time from which the record of an entry is in the store until the entry sends anything
#: to cold servers. Each other entry that does so has read the entries within this time,
#: so it knows the record. A report takes some seconds to confirm a topic.
COLD_HOLD_BACK_SECONDS = 10.0
MAX_COLD_RANKS = 4096  # twice the servers of the largest deployment
#: Time for which a silent entry keeps its share of the requests to cold servers.
#: Regions lose each other for an hour now and then, and their entries run on.
COLD_SHARER_HOLD_SECONDS = 7200.0


class FleetView:
    """The live entries, the roles of all and the relay that this entry follows.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: Entries that were read from the record store, by name, and the time until
        #: which each counts as live.
        self.known_entries = {}
        self.assumed_until = {}
        self.seed_ips = []
        self.table = FleetMemberTable(timeout=FOLLOWER_TIMEOUT_SECONDS)
        self.plan = RolePlan().reset()
        self.roles = None
        self.roles_key = None
        #: Whether some entries are followers.
        self.is_large = False
        #: Whether, besides, an entry's share of an engine's slots is below one.
        self.is_crowded = False
        self.relay_choice = RelayChoice().reset()
        #: Topics and addresses of cache sources that this entry fails to read.
        self.unreadable = set()
        self.reader_policy = ReaderPolicy().reset()
        self.read_draw = state.random.random()
        self.probe_position = 0
        self._has_store = False
        self.store_read_at = float("-inf")
        self.sharers = SharerTable()
        self.cold_sharers = SharerTable(hold=COLD_SHARER_HOLD_SECONDS)
        #: Ranks of this entry by server, among ``ranked_names``.
        self.cold_ranks = {}
        self.ranked_names = frozenset()
        #: Time at which the record of this entry was known to be in the store.
        self.registered_at = None
        #: Whether the store has held the record of an earlier process of this entry.
        self.has_earlier_process = False
        self.started_at = state.timer.now()
        self.capacity = EntryCapacity(state.settings.capacity).reset()
        #: Time of the last call of :meth:`update_roles`, monotonic seconds.
        self.updated_at = None

    @property
    def has_store(self):
        """Whether this entry reaches the record store, by a recent read."""
        age = self.state.timer.now() - self.store_read_at
        return self._has_store and age < STORE_SUCCESS_SECONDS

    def record_store_read(self, ok):
        """Record whether a read of the record store succeeded.

        :param ok: whether it did.
        """
        self._has_store = ok
        if ok:
            self.store_read_at = self.state.timer.now()

    def add_entry(self, name, entry):
        """Add an entry that was read from the record store.

        :param name: name of the entry.
        :param entry: its :class:`PeerEntry`.
        :return: whether it is new or has changed.
        """
        self.cold_sharers.observe([name], self.state.timer.now())
        known = self.known_entries.get(name)
        if known is not None and known.ip == entry.ip:
            return False
        if name == self.state.settings.instance.name:
            return False
        if known is None and len(self.known_entries) >= MAX_KNOWN_ENTRIES:
            self._remove_gone_entry()
        self.known_entries[name] = FleetMember(
            name=name,
            failure_domain=entry.failure_domain,
            ip=entry.ip,
            weight=entry.weight,
            capacity=entry.capacity,
        )
        self.assumed_until[name] = self.state.timer.now() + NEW_ENTRY_SECONDS
        self.sharers.observe([name], self.state.timer.now())
        self.roles_key = None
        return True

    def _remove_gone_entry(self):
        """Remove the entry that was read first among those that are not live."""
        live = self.table.get_members()
        names = (name for name in self.known_entries if name not in live)
        name = next(names, next(iter(self.known_entries)))
        del self.known_entries[name]
        self.assumed_until.pop(name, None)

    def build_own_member(self):
        """Return this entry as :class:`wasabistage.topology.FleetMember`."""
        settings, state = self.state.settings, self.state
        weight = DRAINING_WEIGHT if state.is_draining else settings.instance.weight
        return FleetMember(
            name=settings.instance.name,
            failure_domain=settings.instance.failure_domain,
            ip=settings.instance.ip,
            callers=settings.listen.callers,
            weight=weight,
            is_ready=state.is_ready,
            capacity=self.capacity.decide(None, state.timer.now()),
        )

    def get_members(self):
        """Return the live entries with this one, as dict of name to ``FleetMember``."""
        own = self.build_own_member()
        return {**self.table.get_members(), own.name: own}

    def get_sharer_count(self):
        """Return the number of entries that share the retry budgets, with this one.

        :return: number of entries, or ``None`` while it is unknown, or while an earlier
            process of this entry may have spent its share of a window.
        """
        if not self._has_read_entries():
            return None
        if self.state.timer.now() - self.started_at < self._get_hold_back_seconds():
            return None
        return self.sharers.count()

    def record_registration(self, incarnation):
        """Record that a record of this entry is in the store.

        :param incarnation: id of the process that wrote it.
        """
        if self.registered_at is not None:
            return
        if incarnation == self.state.incarnation:
            self.registered_at = self.state.timer.now()
        else:
            self.has_earlier_process = True

    def _has_read_entries(self):
        watch = self.state.facts.watches.get(str(Topic.ENTRIES))
        return watch is not None and watch.is_known

    def get_cold_rank(self, server):
        """Return the rank of this entry for the requests to a cold server.

        :param server: id of the server.
        :return: tuple of the rank and the number of entries. The rank is ``None`` while
            others may not know this entry, or this entry may not know others, or this
            process may have sent requests shortly before it was restarted.
        """
        names = self.cold_sharers.get_names()
        own = self.state.settings.instance.name
        if not self._may_send_to_cold_servers() or own not in names:
            return None, len(names)
        is_full = len(self.cold_ranks) >= MAX_COLD_RANKS
        if names is not self.ranked_names or is_full:
            self.ranked_names, self.cold_ranks = names, {}
        rank = self.cold_ranks.get(server)
        if rank is None:
            rank = self.cold_ranks[server] = get_rank(own, names, server)
        return rank, len(names)

    def _may_send_to_cold_servers(self):
        now = self.state.timer.now()
        watch = self.state.facts.watches.get(str(Topic.ENTRIES))
        if watch is None or not watch.is_known or self.registered_at is None:
            return False
        if now - watch.confirmed_at >= COLD_HOLD_BACK_SECONDS:
            return False
        if self._is_first_start():
            return now - self.started_at >= self._get_hold_back_seconds()
        return now - self.registered_at >= COLD_HOLD_BACK_SECONDS

    def _is_first_start(self):
        """Return whether no process of this entry has run before.

        The settings may be those of the first start although this is a later one.
        """
        return self.state.settings.instance.first_start and not self.has_earlier_process

    def is_fleet_new(self):
        """Return whether the whole fleet has just started for the first time."""
        is_first_start = self._is_first_start() and self._has_read_entries()
        age = self.state.timer.now() - self.started_at
        return is_first_start and age < NEW_FLEET_SECONDS

    def _get_hold_back_seconds(self):
        settings = self.state.settings
        if not self._is_first_start():
            return settings.bounds.retry_window_s
        return FIRST_START_SECONDS if self.seed_ips else 0.0

    def get_roles(self):
        """Return the :class:`wasabistage.topology.Roles` of the last interval."""
        return self.roles or self.update_roles()

    def record_report(self, report, now):
        """Record the entries that a report shows to be live.

        :param report: a :class:`PeerReport`.
        :param now: monotonic time, in seconds.
        """
        self.relay_choice.observe(RelayReported(relay=report.name), now)
        members = [to_member(row) for row in report.members]
        if members:
            self.table.observe(report.name, members, now)
        elif report.name != self.followed:
            # The followed relay tells its own entry among the facts.
            self.table.observe(report.name, [build_member(report)], now)

    def update_roles(self):
        """Compute the roles from the entries that are live now, and return them."""
        now = self.state.timer.now()
        self._record_interval(now)
        members = self.get_members()
        for sharers in (self.sharers, self.cold_sharers):
            sharers.observe(members, now)
            sharers.tick(now)
        for name, until in list(self.assumed_until.items()):
            if now > until:
                del self.assumed_until[name]
            elif name not in members:
                members[name] = self.known_entries[name]
        own = self.state.settings.instance.name
        # A relay that others follow exchanges facts, whatever its rank.
        relays = {
            name
            for name, peer in self.state.peers.items()
            if peer.report.is_relay and peer.report.members
        }
        if self.get_followers():
            relays.add(own)
        sizes = [peer.report.fleet_size for peer in self.state.peers.values()]
        fleet_size = max([len(members), *sizes])
        key = members, relays, fleet_size > self.plan.mesh_size
        if key != self.roles_key:
            query = RoleQuery(
                name=own,
                members=members,
                followed_relays=frozenset(relays),
                fleet_size=fleet_size,
            )
            was_relay = self.roles is not None and self.roles.is_relay
            self.roles, self.roles_key = self.plan.decide(query), key
            self.is_large = fleet_size > self.plan.mesh_size
            if self.roles.is_relay != was_relay:
                self.state.log.write(
                    "role_changed", relay=self.roles.is_relay, entries=len(members)
                )
        self._update_crowded(len(members))
        return self.roles

    def _record_interval(self, now):
        """Record the time since the last update, which shows whether this is slow."""
        if self.updated_at is not None:
            event = IntervalPassed(seconds=now - self.updated_at)
            before = self.capacity.share_
            self.capacity.observe(event, now)
            share = self.capacity.share_
            if share != before:
                self.state.log.write("entry_pace", share=share, before=before)
                self.state.metrics.gauge("entry.capacity_share", share)
        self.updated_at = now

    def _update_crowded(self, entries):
        self.is_crowded = self.is_large and self._has_few_slots(entries)
        router = self.state.part_router
        router.estimator_.pool_gain = POOL_GAIN if self.is_crowded else 0.0
        router.long_spacing = LONG_SPACING_SECONDS if self.is_crowded else 0.0

    def _has_few_slots(self, entries):
        """Return whether some engines have fewer slots than there are entries."""
        configuration = self.state.routes.configuration
        services = () if configuration is None else configuration.services.values()
        slots = [item.engine.slots for item in services if item.engine is not None]
        return bool(slots) and min(slots) < entries

    def get_followers(self):
        """Return the peers that follow this entry, as dict of name to ``Peer``."""
        own = self.state.settings.instance.name
        return {
            name: peer
            for name, peer in self.state.peers.items()
            if peer.report.follows == own
        }

    def build_read_query(self, topic, age, *, counts_failed=False):
        """Build the :class:`wasabistage.topology.ReadQuery` of a topic.

        :param topic: a :class:`wasabistage.fleet.Topic`.
        :param age: time since the topic was last confirmed, in seconds.
        :param counts_failed: whether the rank counts relays that fail to read it.
        """
        own, name = self.state.settings.instance.name, str(topic)
        excluded = () if counts_failed else self._get_failed_readers(name)
        rank = self.get_roles().get_reader_rank(own, name, excluded=excluded)
        return ReadQuery(
            rank=rank,
            readers=READERS[topic],
            age=age,
            has_age_bound=topic in BOUNDED_TOPICS,
            is_connected=self.followed in self.state.peers,
            fleet_size=len(self.get_members()),
            draw=self.read_draw,
        )

    def is_source_reader(self, address):
        """Return whether this entry should read a cache source.

        :param address: address of the source.
        """
        roles, own = self.get_roles(), self.state.settings.instance.name
        if not roles.is_relay:
            return False
        failed = self._get_failed_readers(address)
        domain = self.state.get_source_domain(address)
        rank = roles.get_reader_rank(own, address, domain, failed)
        if rank >= SOURCE_READERS:
            return False
        return rank + len(failed) < MAX_SOURCE_RANK

    def _get_failed_readers(self, topic):
        return {
            name
            for name, peer in self.state.peers.items()
            if topic in peer.report.unreadable
        }

    def is_store_reached(self):
        """Return whether this entry or a peer reaches the record store."""
        return self.has_store or any(
            peer.report.has_store for peer in self.state.peers.values()
        )

    def select_probes(self, relays):
        """Return some entries that are not known to be live, to find them again."""
        live = self.table.get_members()
        names = sorted(name for name in self.known_entries if name not in live)
        names = [name for name in names if name not in relays]
        probes = []
        for _ in range(min(PROBES_PER_REPORT, len(names))):
            self.probe_position += 1
            name = names[self.probe_position % len(names)]
            probes.append((name, self.known_entries[name].ip))
        if not live:
            probes += [("", ip) for ip in self.seed_ips]
        return probes

    def get_ip(self, name):
        """Return the IP of a relay."""
        return self.get_roles().relays[name].ip

    @property
    def followed(self):
        """Name of the relay that this entry follows, or ``""``."""
        return self.relay_choice.followed_

    def select_relay(self):
        """Choose the relay to follow, none if this entry is one.

        :return: whether it is another one than before.
        """
        roles, before = self.get_roles(), self.followed
        query = RelayQuery(candidates=() if roles.is_relay else roles.candidates)
        followed = self.relay_choice.decide(query, self.state.timer.now())
        if followed == before:
            return False
        self.state.log.write("relay_followed", relay=followed, before=before)
        # The changes that a relay tells apply to its own view of the fleet alone.
        self.state.reports.cursors.pop(f"{followed}/fleet", None)
        self.state.facts.set_members([])
        return True

    def refresh_members(self, now):
        """Keep the members that the followed relay has told."""
        exchange = self.state.facts
        timeout = FLEET_TIMEOUT_SECONDS
        if not exchange.has_new_members and self.table.refresh("fleet", now, timeout):
            return
        exchange.has_new_members = False
        members = list(exchange.members.values())
        self.table.observe("fleet", members, now, timeout)

    def count_waiting(self, *, is_group):
        """Return the prompts that wait at the followers and this entry.

        :param is_group: whether those of other relays of the failure domain are left
            out.
        """
        settings = self.state.settings.instance
        waiting = len(self.state.gate.waiting_)
        for peer in self.state.peers.values():
            report = peer.report
            is_near = report.failure_domain == settings.failure_domain
            is_counted = is_near and report.is_relay and not is_group
            if report.follows == settings.name or is_counted:
                waiting += report.waiting
        return waiting

    @property
    def domain_waiting(self):
        """The prompts that wait at the entries of the failure domain."""
        followed = self.state.peers.get(self.followed)
        if followed is not None:
            return followed.report.waiting
        return self.count_waiting(is_group=False)


def build_member(report):
    """Return the entry that sent a report, as ``FleetMember``."""
    return FleetMember(
        name=report.name,
        failure_domain=report.failure_domain,
        ip=report.ip,
        callers=report.callers,
        weight=report.weight,
        is_ready=report.is_ready,
        capacity=report.capacity,
    )
