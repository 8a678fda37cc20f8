"""Frees the parts of weight versions that no engine runs any more."""

from wasabistage.cache import parse_part_cache_key
from wasabistage.edge._orders import order_place, swap_candidates
from wasabistage.http1 import ChannelError

FREE_PERIOD = 1.0  # seconds between two looks at what is to be freed
FREE_DELAY = 4.0  # seconds; longer than any fetch that was allowed may last
FREE_GUARD = 1.0  # seconds within which a request to free must arrive
FREE_BATCH = 500  # parts freed by one call


class OldPartCleaner:
    """Frees old parts at the stores that drop nothing by themselves.

    One entry does so, the one that would order the next version.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: For each model the lowest version that runs, and since when.
        self.current_since = {}

    async def look(self, tick):
        """Free what is old by now; a subscriber of the timer service."""
        state = self.state
        if state.is_draining or not state.gossip.has_store:
            return
        now = state.timer.now()
        lowest = self._lowest_versions()
        for model, version in lowest.items():
            known = self.current_since.get(model)
            if known is None or known[0] != version:
                self.current_since[model] = (version, now)
        if not lowest or order_place(state) != 0:
            return
        old = {
            model: version
            for model, (version, since) in self.current_since.items()
            if now - since >= FREE_DELAY
        }
        for store in state.routes.configuration.stores.values():
            if store.never_evicts:
                await self._free_at(store, old, now)

    def _lowest_versions(self):
        state, lowest = self.state, {}
        for item in swap_candidates(state):
            for model in item.models:
                version = state.swap.version(item.server, model)
                if version is not None:
                    lowest[model] = min(lowest.get(model, version), version)
        return lowest

    async def _free_at(self, store, old, now):
        def is_old(cache_key):
            named = parse_part_cache_key(cache_key)
            return named is not None and named[1] < old.get(named[0], 0)

        state = self.state
        parts = state.parts.find_parts(store.address, is_old)[:FREE_BATCH]
        until = state.server_time(now + FREE_GUARD)
        if not parts or until is None:
            return
        epoch = state.parts.source(store.address).epoch
        try:
            freed = await state.platform.free_parts(store.address, parts, epoch, until)
        except ChannelError as error:
            state.log.write("free_failed", store=store.address, reason=str(error))
            return
        state.log.write(
            "parts_freed", store=store.address, parts=len(parts), freed=freed
        )
        if freed:
            source = state.parts.source(store.address)
            for name in parts:
                source.set(name, 0)
