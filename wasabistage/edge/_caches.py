"""Tasks that track which parts engines and cache stores have cached."""

import trio

from wasabistage.http1 import ChannelError

READ_WAIT_SECONDS = 1.0  # time for which a source holds a read without events
READ_INTERVAL_SECONDS = 0.25  # pause after a read, so that one returns several events
RETRY_INTERVAL_SECONDS = 0.5  # mean pause after a failed read
SOURCES_INTERVAL_SECONDS = 0.5  # pause between two checks for new sources


class CacheWatcher:
    """Follows the cache events of every engine and cache store.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: Cancel scopes of the tasks that follow a source, by its address.
        self.scopes = {}

    async def run(self):
        """Follow all current sources until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                wanted_addresses = self._get_wanted_addresses()
                for address in set(self.scopes) - wanted_addresses:
                    self.scopes.pop(address).cancel()
                    self.state.parts.remove_source(address)
                for address in wanted_addresses - set(self.scopes):
                    scope = trio.CancelScope()
                    self.scopes[address] = scope
                    nursery.start_soon(self._follow_source, address, scope)
                await trio.sleep(SOURCES_INTERVAL_SECONDS)

    def _get_wanted_addresses(self):
        configuration = self.state.routes.configuration
        if configuration is None:
            return set()
        wanted_addresses = {store.address for store in configuration.stores.values()}
        for service in configuration.services.values():
            if service.engine is not None:
                records = self.state.servers.find_usable(service.name)
                wanted_addresses |= {record.address for record in records}
        return wanted_addresses

    async def _follow_source(self, address, scope):
        with scope:
            while True:
                try:
                    await self._read_events(address)
                    await trio.sleep(READ_INTERVAL_SECONDS)
                except ChannelError as error:
                    self.state.metrics.count("cache.failures")
                    self.state.log.write(
                        "cache_source_lost", address=address, reason=str(error)
                    )
                    await trio.sleep(
                        RETRY_INTERVAL_SECONDS * (0.5 + self.state.random.random())
                    )

    async def _read_events(self, address):
        state = self.state
        source = state.parts.source(address)
        if source.epoch is None:
            events = await state.platform.read_events(address, 0, 0.2)
        else:
            events = await state.platform.read_events(
                address, source.position, READ_WAIT_SECONDS
            )
        state.record_server_clock(events.clock)
        is_new = state.parts.apply_events(address, events)
        if is_new or events.has_gap:
            state.log.write(
                "cache_source_gap", address=address, epoch=events.epoch, new=is_new
            )
            listing = await state.platform.list_cache(address)
            state.parts.apply_events(address, listing, is_listing=True)
