"""Number of entries among which a budget of the whole fleet is divided.

Pattern: reports are lost or an entry is cut off. Each entry takes an equal share of a
budget without asking the others, so the shares exceed the budget as soon as some entry
counts too few. An entry that isn't heard may still run and spend its share.
"""


class SharerTable:
    """The entries that may spend a share of a budget.

    An entry counts from the moment at which it is first known until ``hold`` after it
    was last known to run. A lost entry costs the others its share for that time.

    :param hold: time for which a silent entry counts, in seconds.
    """

    def __init__(self, *, hold=600.0):
        self.hold = hold
        self._seen_at = {}
        self._names = None

    def observe(self, names, now):
        """Record entries that run now, as far as is known.

        :param names: iterable of their names.
        :param now: monotonic time, in seconds.
        """
        count = len(self._seen_at)
        self._seen_at.update(dict.fromkeys(names, now))
        if len(self._seen_at) != count:
            self._names = None

    def tick(self, now):
        """Remove the entries that have been silent for ``hold``.

        :param now: monotonic time, in seconds.
        """
        for name, seen_at in list(self._seen_at.items()):
            if now - seen_at > self.hold:
                del self._seen_at[name]
                self._names = None

    def get_names(self):
        """Return the names, the same frozenset until an entry is added or removed."""
        if self._names is None:
            self._names = frozenset(self._seen_at)
        return self._names

    def count(self):
        """Return the number of entries, at least 1."""
        return max(1, len(self._seen_at))
