"""Where the parts of prompts lie: in engines and in cache stores."""

from dataclasses import dataclass, field

#: Time that a save counts as under way before the store's word is needed, in seconds;
#: a long part takes tenths of a second over a slow link.
SAVE_TIME = 3.0


@dataclass
class SourceParts:
    """What one engine or store is believed to keep.

    :param epoch: number of its life, or ``None`` if nothing was heard.
    :param position: where to read its events on.
    :param parts: dict of (cache key, part) to tokens.
    :param get_total_tokens: sum of those tokens.
    """

    epoch: int | None = None
    position: int = 0
    parts: dict = field(default_factory=dict)
    get_total_tokens: int = 0

    def set(self, name, tokens):
        """Note how many tokens of a part are kept."""
        self.get_total_tokens += tokens - self.parts.pop(name, 0)
        if tokens > 0:
            self.parts[name] = tokens

    def clear(self):
        """Forget all parts."""
        self.parts = {}
        self.get_total_tokens = 0


class PartMap:
    """Parts by source, learned from events and listings.

    Events come late and with gaps, so the map is a hint: an engine reads again what
    is missing.
    """

    def __init__(self):
        self.sources = {}
        self.saving = {}

    def source(self, address):
        """Return the :class:`SourceParts` of an address."""
        if address not in self.sources:
            self.sources[address] = SourceParts()
        return self.sources[address]

    def remove_source(self, address):
        """Forget a source."""
        self.sources.pop(address, None)

    def keep_only(self, addresses):
        """Forget every source but some.

        :param addresses: set of addresses.
        """
        for address in set(self.sources) - set(addresses):
            del self.sources[address]

    def apply_events(self, address, events, is_listing=False):
        """Take in what a source said.

        :param address: address of the source.
        :param events: object with ``epoch``, ``position`` and ``events``.
        :param is_listing: whether the events are all that it keeps.
        :return: whether it began a new life since.
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
        """Return how many tokens of a part a source keeps."""
        source = self.sources.get(address)
        return source.parts.get((cache_key, part), 0) if source else 0

    def get_total_tokens(self, address):
        """Return the tokens that a source keeps."""
        source = self.sources.get(address)
        return source.get_total_tokens if source else 0

    def record_save_start(self, address, cache_key, part, tokens, now):
        """Note that a part is being saved to a store."""
        self.saving[cache_key, part] = (address, tokens, now + SAVE_TIME)

    def is_save_in_progress(self, cache_key, part, now):
        """Tell whether a part is being saved."""
        entry = self.saving.get((cache_key, part))
        return entry is not None and now < entry[2]

    def get_saving_tokens(self, address, now):
        """Return the tokens being saved to a store."""
        self.saving = {k: v for k, v in self.saving.items() if now < v[2]}
        return sum(row[1] for row in self.saving.values() if row[0] == address)

    def find_parts(self, address, of_interest):
        """Return the (cache key, part) pairs of a source that match.

        :param address: address of the source.
        :param of_interest: function of a cache key.
        """
        source = self.sources.get(address)
        rows = source.parts if source else {}
        return [name for name in rows if of_interest(name[0])]
