"""Frees cached parts of weight versions that no engine runs any more."""

from wasabistage.cache import parse_part_cache_key
from wasabistage.edge._orders import get_order_place, get_swap_candidates
from wasabistage.http1 import ChannelError

FREE_INTERVAL_SECONDS = 1.0  # pause between two searches for old parts
FREE_DELAY_SECONDS = 4.0  # longer than any permitted fetch may take
FREE_TIMEOUT_SECONDS = 1.0  # the store refuses a request to free after this time
MAX_PARTS_PER_CALL = 500


class OldPartCleaner:
    """Frees old parts at the stores that evict nothing by themselves.

    Only one entry does so: the first in the order for the next order lease.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: Lowest running version of each model, and the time at which it became so.
        self.current_since = {}

    async def free_old_parts(self, tick):
        """Free old parts; called by the timer service.

        :param tick: unused.
        """
        state = self.state
        if state.is_draining or not state.gossip.has_store:
            return
        now = state.timer.now()
        lowest = self._get_lowest_versions()
        for model, version in lowest.items():
            known = self.current_since.get(model)
            if known is None or known[0] != version:
                self.current_since[model] = (version, now)
        if not lowest or get_order_place(state) != 0:
            return
        old = {
            model: version
            for model, (version, since) in self.current_since.items()
            if now - since >= FREE_DELAY_SECONDS
        }
        for store in state.routes.configuration.stores.values():
            if store.never_evicts:
                await self._free_at(store, old, now)

    def _get_lowest_versions(self):
        state, lowest = self.state, {}
        for item in get_swap_candidates(state):
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
        parts = state.parts.find_parts(store.address, is_old)[:MAX_PARTS_PER_CALL]
        until = state.to_server_time(now + FREE_TIMEOUT_SECONDS)
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
