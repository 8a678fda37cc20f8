"""Frees cached parts that no request can use any more.

These are the parts of weight versions that no engine runs, and those in scopes that the
configuration in force doesn't have.
"""

from wasabistage.cache import find_scopes, parse_part_cache_key
from wasabistage.edge._orders import get_swap_candidates
from wasabistage.fleet import Topic
from wasabistage.http1 import ChannelError

FREE_INTERVAL_SECONDS = 1.0  # pause between two searches for old parts
FREE_DELAY_SECONDS = 4.0  # longer than any permitted fetch may take
FREE_TIMEOUT_SECONDS = 1.0  # the store refuses a request to free after this time
MAX_PARTS_PER_CALL = 500


class OldPartCleaner:
    """Frees old parts at the stores that evict nothing by themselves.

    Only the entry that reads a store does so, since it can tell the others: the events
    of the store may be lost.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: Lowest version of each model that an engine runs, and the time since which it
        #: is the lowest, monotonic seconds.
        self.lowest_version_since = {}
        #: Scopes in which parts can be used, under the configuration in force.
        self.scopes = frozenset()
        #: Time since which each other scope is known to have parts, monotonic seconds.
        self.unused_scope_since = {}

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
        stores = self._get_stores()
        if not lowest or not stores:
            self.unused_scope_since = {}
            return
        self._update_unused_scopes(stores, now)
        oldest_kept = {
            model: version
            for model, (version, since) in self.lowest_version_since.items()
            if now - since >= FREE_DELAY_SECONDS
        }
        unused_scopes = self._find_free_scopes(now)
        for store in stores:
            await self._free_at(store, oldest_kept, unused_scopes, now)

    def _get_stores(self):
        view = self.state.view
        return [
            store
            for store in self.state.routes.configuration.stores.values()
            if store.never_evicts and view.is_source_reader(store.address)
        ]

    def _update_unused_scopes(self, stores, now):
        """Update the scopes that have parts and are not those in force."""
        state = self.state
        scopes = find_scopes(state.routes.configuration.dedicated_accounts)
        if scopes != self.scopes:
            # Entries that have not read the configuration yet use the scopes before.
            self.scopes, self.unused_scope_since = scopes, {}
        known, self.unused_scope_since = self.unused_scope_since, {}
        for store in stores:
            source = state.parts.source(store.address)
            for cache_key in {cache_key for cache_key, _ in source.tokens_by_part}:
                named = parse_part_cache_key(cache_key)
                if named is not None and named.scope not in scopes:
                    since = known.get(named.scope, now)
                    self.unused_scope_since[named.scope] = since

    def _find_free_scopes(self, now):
        """Return the scopes whose parts no entry uses any more.

        A scope with parts that is not in force may be that of a configuration which
        this entry has not read, so the configuration must have been confirmed since.
        """
        state = self.state
        confirmed_at = state.facts.watches[str(Topic.CONFIGURATION)].confirmed_at
        # An entry may serve requests under an older configuration for this long, and
        # their fetches take up to the second time.
        delay = state.settings.bounds.key_removal_ms / 1000.0 + FREE_DELAY_SECONDS
        return {
            scope
            for scope, since in self.unused_scope_since.items()
            if now - since >= delay and confirmed_at > since
        }

    def _get_lowest_versions(self):
        state, lowest = self.state, {}
        for item in get_swap_candidates(state):
            for model in item.models:
                version = state.swap.version(item.server, model)
                if version is not None:
                    lowest[model] = min(lowest.get(model, version), version)
        return lowest

    async def _free_at(self, store, oldest_kept, unused_scopes, now):
        def is_old(cache_key):
            named = parse_part_cache_key(cache_key)
            if named is None:
                return False
            is_unused = named.scope in unused_scopes
            return is_unused or named.version < oldest_kept.get(named.model, 0)

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
            state.parts.remove_parts(store.address, epoch, parts, state.timer.now())
            state.facts.publish_freed(store.address, epoch, parts)
