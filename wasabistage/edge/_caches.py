"""Tasks that track which parts engines and cache stores have cached."""

import trio

READ_WAIT_SECONDS = 1.0  # time for which a source holds a read without events
FIRST_READ_WAIT_SECONDS = 0.2  # the same for the first read of a source
READ_INTERVAL_SECONDS = 0.25  # pause after a read, so that one returns several events
RETRY_INTERVAL_SECONDS = 0.5  # mean pause after a failed read
SOURCES_INTERVAL_SECONDS = 0.5  # pause between two checks for new sources
#: Time for which an entry waits for the listing of a store from the readers, before it
#: reads one itself.
LISTING_WAIT_SECONDS = 3.0


class CacheWatcher:
    """Follows the cache events of the sources that this entry reads for the fleet.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: Cancel scopes of the tasks that follow a source, by its address.
        self.scopes = {}
        #: Time at which this entry lists a store whose parts it doesn't all know, by
        #: its address; monotonic seconds.
        self.listing_due_at = {}

    async def run(self):
        """Follow the sources that this entry reads until cancelled."""
        state = self.state
        self.scopes = {}
        async with trio.open_nursery() as nursery:
            while True:
                state.source_domains = self._get_source_domains()
                if state.routes.configuration is not None:
                    state.parts.keep_only(state.source_domains)
                wanted_addresses = {
                    address
                    for address in state.source_domains
                    if state.view.is_source_reader(address)
                }
                for address in set(self.scopes) - wanted_addresses:
                    self.scopes.pop(address).cancel()
                    state.view.unreadable.discard(address)
                for address in wanted_addresses - set(self.scopes):
                    scope = trio.CancelScope()
                    self.scopes[address] = scope
                    nursery.start_soon(self._follow_source, address, scope)
                for address in self._take_overdue(wanted_addresses):
                    nursery.start_soon(self._read_overdue, address)
                await trio.sleep(SOURCES_INTERVAL_SECONDS)

    def _take_overdue(self, read_addresses):
        """Return the stores whose listing the readers have not told in time.

        Each is due again after the same time, unless its parts are known by then.

        :param read_addresses: addresses of the sources that this entry reads itself.
        """
        state, now = self.state, self.state.timer.now()
        next_at = now + LISTING_WAIT_SECONDS
        due_at = {
            address: self.listing_due_at.get(address, next_at)
            for address in state.get_store_addresses() - read_addresses
            if not state.parts.is_complete(address)
        }
        overdue = [address for address, at in due_at.items() if at <= now]
        self.listing_due_at = {**due_at, **dict.fromkeys(overdue, next_at)}
        return overdue

    async def _read_overdue(self, address):
        try:
            await self._read_listing(address, is_published=False)
        except Exception as error:
            self.state.metrics.count("cache.failures")
            self.state.log.write(
                "cache_listing_failed", address=address, reason=str(error)
            )

    def _get_source_domains(self):
        """Return the failure domain of each cache source, by its address."""
        configuration = self.state.routes.configuration
        if configuration is None:
            return {}
        domains = {
            store.address: store.failure_domain
            for store in configuration.stores.values()
        }
        for service in configuration.services.values():
            if service.engine is not None:
                for record in self.state.servers.find_usable(service.name):
                    domains[record.address] = record.failure_domain
        return domains

    async def _follow_source(self, address, scope):
        with scope:
            while True:
                try:
                    await self._read_events(address)
                    self.state.view.unreadable.discard(address)
                    await trio.sleep(READ_INTERVAL_SECONDS)
                except Exception as error:
                    # Whatever a source sends, the others are followed.
                    self._record_failure(address, error)
                    await trio.sleep(
                        RETRY_INTERVAL_SECONDS * (0.5 + self.state.random.random())
                    )

    def _record_failure(self, address, error):
        state = self.state
        state.metrics.count("cache.failures")
        if address not in state.view.unreadable:
            state.view.unreadable.add(address)
            state.log.write("cache_source_lost", address=address, reason=str(error))

    async def _read_events(self, address):
        state = self.state
        source = state.parts.source(address)
        epoch, since = source.epoch, source.position
        if address in state.get_store_addresses() and not source.is_complete:
            await self._read_listing(address)
            return
        is_first = epoch is None
        wait = FIRST_READ_WAIT_SECONDS if is_first else READ_WAIT_SECONDS
        events = await state.platform.read_events(address, since, wait)
        state.record_server_clock(events.clock)
        is_new = not is_first and events.epoch != epoch
        if not is_new and state.parts.is_old_epoch(address, events.epoch):
            return  # another entry has told of a restart since the read began
        state.parts.apply_events(address, events, state.timer.now(), since=since)
        if is_new or is_first or events.events:
            state.facts.publish_events(address, since, events)
        if is_new or events.has_gap:
            state.log.write(
                "cache_source_gap", address=address, epoch=events.epoch, new=is_new
            )
            await self._read_listing(address)

    async def _read_listing(self, address, *, is_published=True):
        """Read all parts that a source holds.

        :param address: address of the source.
        :param is_published: whether the other entries are told.
        """
        state = self.state
        epoch = state.parts.source(address).epoch
        listing = await state.platform.list_cache(address)
        state.record_server_clock(listing.clock)
        if listing.epoch == epoch and state.parts.is_old_epoch(address, epoch):
            return  # another entry has told of a restart since the read began
        state.parts.apply_events(
            address, listing, state.timer.now(), since=listing.position, is_listing=True
        )
        state.log.write(
            "cache_listed",
            address=address,
            epoch=listing.epoch,
            position=listing.position,
            parts=len(listing.events),
            before=epoch,
        )
        if is_published:
            state.facts.publish_events(
                address, listing.position, listing, is_listing=True
            )
