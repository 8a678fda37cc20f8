"""Map of the parts of prompts that engines and cache stores hold."""

from dataclasses import dataclass, field

#: Time after which a save without a store event no longer counts as in progress. A long
#: part takes tenths of a second over a slow link.
SAVE_TIMEOUT_SECONDS = 3.0

MAX_OLD_EPOCHS = 8  # of one source that are remembered
#: Time after the restart of a store in which nothing is saved to it, and after a part
#: has left it in which that part is not. Entries that have not heard of it would fetch
#: a part that is still being saved again.
SAVE_PAUSE_SECONDS = 2.0


@dataclass
class SourceParts:
    """The parts that one source, an engine or a store, probably holds.

    :param epoch: number that changes when the source restarts, or ``None`` before its
        first event.
    :param epoch_known_at: monotonic time at which the first entry knew the epoch, as
        far as this one has heard, in seconds.
    :param is_complete: whether all parts of this epoch are known, but for those of lost
        events.
    :param old_epochs: some earlier epochs, oldest first.
    :param position: position from which its next events are to be read.
    :param tokens_by_part: dict of (cache key, part) to the number of tokens held.
    :param removed_at: dict of (cache key, part) to the monotonic time at which the part
        was found to have left the source, in seconds; earliest first.
    :param total_tokens: sum of these numbers.
    :param address: address of the source.
    :param holders: dict of (cache key, part) to the dict of address to tokens of all
        sources that hold it; kept in line with ``tokens_by_part``.
    """

    epoch: int | None = None
    epoch_known_at: float = float("-inf")
    is_complete: bool = False
    old_epochs: list = field(default_factory=list)
    position: int = 0
    tokens_by_part: dict = field(default_factory=dict)
    removed_at: dict = field(default_factory=dict)
    total_tokens: int = 0
    address: str = ""
    holders: dict = field(default_factory=dict)

    def set(self, part_key, tokens):
        """Set how many tokens of a part the source holds.

        :param part_key: tuple of cache key and part.
        :param tokens: tokens held; 0 removes the part.
        """
        self.total_tokens += tokens - self.tokens_by_part.pop(part_key, 0)
        if tokens > 0:
            self.tokens_by_part[part_key] = tokens
            self.holders.setdefault(part_key, {})[self.address] = tokens
        else:
            self._remove_holder(part_key)

    def _remove_holder(self, part_key):
        holders = self.holders.get(part_key)
        if holders is not None:
            holders.pop(self.address, None)
            if not holders:
                del self.holders[part_key]

    def set_epoch(self, epoch, now):
        """Begin an epoch, in which no part is known yet.

        :param epoch: the epoch.
        :param now: monotonic time, in seconds.
        """
        if self.epoch is not None:
            self.old_epochs = [*self.old_epochs, self.epoch][-MAX_OLD_EPOCHS:]
        if epoch in self.old_epochs:
            self.old_epochs.remove(epoch)
        self.clear()
        self.removed_at = {}
        self.epoch = epoch
        self.epoch_known_at = now
        self.is_complete = False

    def record_removals(self, part_keys, now):
        """Record that parts have left the source, and forget those that left long ago.

        :param part_keys: iterable of tuples of cache key and part.
        :param now: monotonic time, in seconds.
        """
        for part_key in part_keys:
            self.removed_at.pop(part_key, None)
            self.removed_at[part_key] = now
        while self.removed_at:
            part_key, removed_at = next(iter(self.removed_at.items()))
            if now - removed_at < SAVE_PAUSE_SECONDS:
                return
            del self.removed_at[part_key]

    def clear(self):
        """Remove all parts."""
        for part_key in self.tokens_by_part:
            self._remove_holder(part_key)
        self.tokens_by_part = {}
        self.total_tokens = 0


class PartMap:
    """Map of the parts that each source holds, built from its events and listings.

    Events may be late or lost, so the map is only a hint: an engine computes
    whatever turns out to be missing.
    """

    def __init__(self):
        self.sources = {}  # address to SourceParts
        # Maps (cache key, part) to the tokens of each source that holds it, by address.
        self.holders = {}
        # Maps (cache key, part) to the store's address, the tokens and the monotonic
        # time at which the save times out, in seconds.
        self.saves = {}

    def source(self, address):
        """Return the :class:`SourceParts` of an address, added if it is new.

        :param address: address of the source.
        """
        if address not in self.sources:
            self.sources[address] = SourceParts(address=address, holders=self.holders)
        return self.sources[address]

    def remove_source(self, address):
        """Remove a source.

        :param address: address of the source.
        """
        source = self.sources.pop(address, None)
        if source is not None:
            source.clear()

    def keep_only(self, addresses):
        """Remove every source whose address is not listed.

        :param addresses: set of the addresses to keep.
        """
        for address in set(self.sources) - set(addresses):
            self.remove_source(address)

    def get_holders(self, cache_key, part):
        """Return the sources that hold a part.

        :param cache_key: cache key of the part.
        :param part: id of the part.
        :return: dict of address to tokens held.
        """
        return self.holders.get((cache_key, part), {})

    def apply_events(self, address, events, now, *, since=0, is_listing=False):
        """Update the parts of a source by its events or its listing.

        :param address: address of the source.
        :param events: object with ``epoch``, ``position``, ``has_gap`` and ``events``.
        :param now: monotonic time, in seconds.
        :param since: position from which the events were read.
        :param is_listing: whether the events cover all parts that the source holds.
        :return: whether the source has restarted since its previous events.
        """
        source = self.source(address)
        has_restarted = source.epoch is not None and source.epoch != events.epoch
        if source.epoch != events.epoch:
            source.set_epoch(events.epoch, now)
        elif is_listing:
            held = {(event.cache_key, event.part) for event in events.events}
            source.record_removals(source.tokens_by_part.keys() - held, now)
            source.clear()
        is_known_before = source.is_complete and since <= source.position
        is_whole = not events.has_gap and (since == 0 or is_known_before)
        source.is_complete = is_listing or is_whole
        source.position = events.position
        removed = []
        for event in events.events:
            part_key = event.cache_key, event.part
            if event.tokens <= 0 and part_key in source.tokens_by_part:
                removed.append(part_key)
            source.set(part_key, event.tokens)
        source.record_removals(removed, now)
        return has_restarted

    def remove_parts(self, address, epoch, part_keys, now):
        """Remove parts that were freed at a store.

        :param address: address of the store.
        :param epoch: epoch of the store in which they were freed.
        :param part_keys: list of (cache key, part).
        :param now: monotonic time, in seconds.
        :return: whether the map had any of them.
        """
        source = self.sources.get(address)
        if source is None or source.epoch != epoch:
            return False
        held = [key for key in part_keys if key in source.tokens_by_part]
        for part_key in held:
            source.set(part_key, 0)
        source.record_removals(held, now)
        return bool(held)

    def is_complete(self, address):
        """Return whether all parts that a source holds are known.

        :param address: address of the source.
        """
        source = self.sources.get(address)
        return source is not None and source.is_complete

    def may_save(self, address, cache_key, part, now, *, is_fleet_new=False):
        """Return whether a part may be saved to a store.

        :param address: address of the store.
        :param cache_key: cache key of the part.
        :param part: id of the part.
        :param now: monotonic time, in seconds.
        :param is_fleet_new: whether all entries have just started, so that none has a
            map of the store from before.
        """
        source = self.source(address)
        removed_at = source.removed_at.get((cache_key, part), float("-inf"))
        if is_fleet_new and not source.old_epochs:
            return now - removed_at >= SAVE_PAUSE_SECONDS
        pause_begin = max(removed_at, source.epoch_known_at)
        return source.is_complete and now - pause_begin >= SAVE_PAUSE_SECONDS

    def observe_epoch_age(self, address, epoch, age, now):
        """Observe for how long another entry has known the epoch of a source.

        :param address: address of the source.
        :param epoch: the epoch.
        :param age: time since the first entry that it has heard knew it, in seconds.
        :param now: monotonic time, in seconds.
        """
        source = self.sources.get(address)
        if source is not None and source.epoch == epoch and age >= 0:
            source.epoch_known_at = min(source.epoch_known_at, now - age)

    def get_epoch_ages(self, addresses, now):
        """Return for how long the epochs of sources have been known.

        :param addresses: iterable of addresses.
        :param now: monotonic time, in seconds.
        :return: list of rows of address, epoch, age in seconds.
        """
        known = ((address, self.sources.get(address)) for address in addresses)
        return [
            (address, source.epoch, now - source.epoch_known_at)
            for address, source in known
            if source is not None and source.epoch is not None
        ]

    def is_old_epoch(self, address, epoch):
        """Return whether a source has restarted since an epoch.

        :param address: address of the source.
        :param epoch: the epoch.
        """
        source = self.sources.get(address)
        return source is not None and epoch in source.old_epochs

    def tokens(self, address, cache_key, part):
        """Return the number of tokens of a part that a source holds.

        :param address: address of the source.
        :param cache_key: cache key of the part.
        :param part: id of the part.
        """
        source = self.sources.get(address)
        return source.tokens_by_part.get((cache_key, part), 0) if source else 0

    def get_total_tokens(self, address):
        """Return the number of tokens that a source holds in all its parts.

        :param address: address of the source.
        """
        source = self.sources.get(address)
        return source.total_tokens if source else 0

    def record_save_start(self, address, cache_key, part, tokens, now):
        """Record that a save of a part to a store has started.

        :param address: address of the store.
        :param cache_key: cache key of the part.
        :param part: id of the part.
        :param tokens: tokens to be saved.
        :param now: monotonic time, in seconds.
        """
        self.saves[cache_key, part] = (address, tokens, now + SAVE_TIMEOUT_SECONDS)

    def is_save_in_progress(self, cache_key, part, now):
        """Return whether a save of a part to any store is in progress.

        :param cache_key: cache key of the part.
        :param part: id of the part.
        :param now: monotonic time, in seconds.
        """
        save = self.saves.get((cache_key, part))
        return save is not None and now < save[2]

    def get_saving_tokens(self, address, now):
        """Return the number of tokens that are being saved to one store.

        :param address: address of the store.
        :param now: monotonic time, in seconds.
        """
        self.saves = {
            part_key: save for part_key, save in self.saves.items() if now < save[2]
        }
        return sum(save[1] for save in self.saves.values() if save[0] == address)

    def find_parts(self, address, matches):
        """Return the parts of a source whose cache key matches.

        :param address: address of the source.
        :param matches: function that returns whether a cache key matches.
        :return: a list of (cache key, part).
        """
        source = self.sources.get(address)
        tokens_by_part = source.tokens_by_part if source else {}
        return [part_key for part_key in tokens_by_part if matches(part_key[0])]
