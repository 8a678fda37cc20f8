"""Tasks that track which parts engines and cache stores have cached."""

import trio

READ_WAIT_SECONDS = 1.0  # time for which a source holds a read without events
READ_INTERVAL_SECONDS = 0.25  # pause after a read, so that one returns several events
RETRY_INTERVAL_SECONDS = 0.5  # mean pause after a failed read
SOURCES_INTERVAL_SECONDS = 0.5  # pause between two checks for new sources


class CacheWatcher:
    """Follows the cache events of the sources that this entry reads for the fleet.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: Cancel scopes of the tasks that follow a source, by its address.
        self.scopes = {}

    async def run(self):
        """Follow the sources that this entry reads until cancelled."""
        state = self.state
        self.scopes = {}
        async with trio.open_nursery() as nursery:
            while True:
                state.source_domains = self._get_source_domains()
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
                await trio.sleep(SOURCES_INTERVAL_SECONDS)

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
        since = source.position
        if source.epoch is None:
            events = await state.platform.read_events(address, 0, 0.2)
        else:
            events = await state.platform.read_events(address, since, READ_WAIT_SECONDS)
        state.record_server_clock(events.clock)
        is_first = source.epoch is None
        is_new = state.parts.apply_events(address, events)
        if is_new:
            state.parts.record_restart(address, state.timer.now())
        if is_new or is_first or events.events:
            state.facts.publish_events(address, since, events)
        if is_new or events.has_gap:
            state.log.write(
                "cache_source_gap", address=address, epoch=events.epoch, new=is_new
            )
            listing = await state.platform.list_cache(address)
            state.parts.apply_events(address, listing, is_listing=True)
            state.facts.publish_events(
                address, listing.position, listing, is_listing=True
            )
