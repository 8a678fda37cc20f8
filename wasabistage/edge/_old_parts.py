"""Frees cached parts of weight versions that no engine runs any more."""

from wasabistage.cache import parse_part_cache_key
from wasabistage.edge._orders import get_lease_place, get_swap_candidates
from wasabistage.http1 import ChannelError

FREE_INTERVAL_SECONDS = 1.0  # pause between two searches for old parts
FREE_DELAY_SECONDS = 4.0  # longer than any permitted fetch may take
FREE_TIMEOUT_SECONDS = 1.0  # the store refuses a request to free after this time
MAX_PARTS_PER_CALL = 500


class OldPartCleaner:
    """Frees old parts at the stores that evict nothing by themselves.

    Only the entry that is first in line for the order lease does so.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: Lowest version of each model that an engine runs, and the time since which it
        #: is the lowest, monotonic seconds.
        self.lowest_version_since = {}

    async def free_old_parts(self, tick):
        """Free old parts; called by the timer service.

        :param tick: unused.
        """
        state = self.state
        if state.is_draining or not state.view.has_store:
            return
        now = state.timer.now()
        lowest = self._get_lowest_versions()
        for model, version in lowest.items():
            known = self.lowest_version_since.get(model)
            if known is None or known[0] != version:
                self.lowest_version_since[model] = (version, now)
        if not lowest or get_lease_place(state) != 0:
            return
        oldest_kept = {
            model: version
            for model, (version, since) in self.lowest_version_since.items()
            if now - since >= FREE_DELAY_SECONDS
        }
        for store in state.routes.configuration.stores.values():
            if store.never_evicts:
                await self._free_at(store, oldest_kept, now)

    def _get_lowest_versions(self):
        state, lowest = self.state, {}
        for item in get_swap_candidates(state):
            for model in item.models:
                version = state.swap.version(item.server, model)
                if version is not None:
                    lowest[model] = min(lowest.get(model, version), version)
        return lowest

    async def _free_at(self, store, oldest_kept, now):
        def is_old(cache_key):
            named = parse_part_cache_key(cache_key)
            return named is not None and named[1] < oldest_kept.get(named[0], 0)

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
