"""Tasks that follow what engines and cache stores keep."""

import trio

from wasabistage.http1 import ChannelError

READ_WAIT = 1.0  # seconds; the longest that a source holds a call
READ_PAUSE = 0.25  # seconds; several events come with one call
RETRY = 0.5  # seconds until a source that failed is asked again
LOOK_PERIOD = 0.5  # seconds between two looks at which sources there are


class CacheWatches:
    """Starts and ends one watch per engine and store.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.scopes = {}

    async def run(self):
        """Keep the watches in step with the fleet until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                wanted = self._wanted()
                for address in set(self.scopes) - wanted:
                    self.scopes.pop(address).cancel()
                    self.state.parts.remove_source(address)
                for address in wanted - set(self.scopes):
                    scope = trio.CancelScope()
                    self.scopes[address] = scope
                    nursery.start_soon(self._watch, address, scope)
                await trio.sleep(LOOK_PERIOD)

    def _wanted(self):
        configuration = self.state.routes.configuration
        if configuration is None:
            return set()
        wanted = {store.address for store in configuration.stores.values()}
        for service in configuration.services.values():
            if service.engine is not None:
                records = self.state.servers.find_usable(service.name)
                wanted |= {record.address for record in records}
        return wanted

    async def _watch(self, address, scope):
        with scope:
            while True:
                try:
                    await self._read(address)
                    await trio.sleep(READ_PAUSE)
                except ChannelError as error:
                    self.state.metrics.count("cache.failures")
                    self.state.log.write(
                        "cache_source_lost", address=address, reason=str(error)
                    )
                    await trio.sleep(RETRY * (0.5 + self.state.random.random()))

    async def _read(self, address):
        state = self.state
        source = state.parts.source(address)
        if source.epoch is None:
            events = await state.platform.read_events(address, 0, 0.2)
        else:
            events = await state.platform.read_events(
                address, source.position, READ_WAIT
            )
        state.note_server_clock(events.clock)
        is_new = state.parts.apply(address, events)
        if is_new or events.has_gap:
            state.log.write(
                "cache_source_gap", address=address, epoch=events.epoch, new=is_new
            )
            listing = await state.platform.list_cache(address)
            state.parts.apply(address, listing, is_listing=True)
