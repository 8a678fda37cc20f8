"""Map of the parts of prompts that engines and cache stores hold."""

from dataclasses import dataclass, field

#: Time after which a save without a store event no longer counts as in progress. A long
#: part takes tenths of a second over a slow link.
SAVE_TIMEOUT_SECONDS = 3.0


@dataclass
class SourceParts:
    """The parts that one source, an engine or a store, probably holds.

    :param epoch: number that changes when the source restarts, or ``None`` before its
        first event.
    :param position: position from which its next events are to be read.
    :param parts: dict that maps (cache key, part) to a number of tokens.
    :param get_total_tokens: sum of these tokens.
    """

    epoch: int | None = None
    position: int = 0
    parts: dict = field(default_factory=dict)
    get_total_tokens: int = 0

    def set(self, name, tokens):
        """Set the number of tokens held of a part.

        :param name: tuple of cache key and part.
        :param tokens: tokens held; 0 removes the part.
        """
        self.get_total_tokens += tokens - self.parts.pop(name, 0)
        if tokens > 0:
            self.parts[name] = tokens

    def clear(self):
        """Remove all parts."""
        self.parts = {}
        self.get_total_tokens = 0


class PartMap:
    """Map of the parts that each source holds, built from its events and listings.

    Events may be late or lost, so the map is only a hint: an engine computes
    whatever turns out to be missing.
    """

    def __init__(self):
        self.sources = {}  # SourceParts by address
        self.saving = {}  # (address, tokens, end) by (cache key, part)

    def source(self, address):
        """Return the :class:`SourceParts` of an address, added if it is new."""
        if address not in self.sources:
            self.sources[address] = SourceParts()
        return self.sources[address]

    def remove_source(self, address):
        """Remove a source."""
        self.sources.pop(address, None)

    def keep_only(self, addresses):
        """Remove every source whose address is not listed.

        :param addresses: set of the addresses to keep.
        """
        for address in set(self.sources) - set(addresses):
            del self.sources[address]

    def apply_events(self, address, events, is_listing=False):
        """Update the parts of a source by its events or its listing.

        :param address: address of the source.
        :param events: object with ``epoch``, ``position`` and ``events``.
        :param is_listing: whether the events cover all parts that the source holds.
        :return: whether the source has restarted since its previous events.
        """
        source = self.source(address)
        is_new = source.epoch is not None and source.epoch != events.epoch
        if is_new or is_listing:
            source.clear()
        source.epoch = events.epoch
        source.position = events.position
        for event in events.events:
            source.set((event.cache_key, event.part), event.tokens)
        return is_new

    def tokens(self, address, cache_key, part):
        """Return the number of tokens of a part that a source holds."""
        source = self.sources.get(address)
        return source.parts.get((cache_key, part), 0) if source else 0

    def get_total_tokens(self, address):
        """Return the number of tokens that a source holds in all its parts."""
        source = self.sources.get(address)
        return source.get_total_tokens if source else 0

    def record_save_start(self, address, cache_key, part, tokens, now):
        """Record that a save of a part to a store has started."""
        self.saving[cache_key, part] = (address, tokens, now + SAVE_TIMEOUT_SECONDS)

    def is_save_in_progress(self, cache_key, part, now):
        """Return whether a save of a part to any store is in progress."""
        save = self.saving.get((cache_key, part))
        return save is not None and now < save[2]

    def get_saving_tokens(self, address, now):
        """Return the number of tokens whose save to a store is in progress."""
        self.saving = {k: v for k, v in self.saving.items() if now < v[2]}
        return sum(save[1] for save in self.saving.values() if save[0] == address)

    def find_parts(self, address, of_interest):
        """Return the parts of a source whose cache key matches.

        :param address: address of the source.
        :param of_interest: function that returns whether a cache key matches.
        :return: a list of (cache key, part).
        """
        source = self.sources.get(address)
        parts_by_name = source.parts if source else {}
        return [name for name in parts_by_name if of_interest(name[0])]
