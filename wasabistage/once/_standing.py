"""What the log says about one key."""

from dataclasses import dataclass, field

from wasabistage.once._records import LogEntry


@dataclass(kw_only=True, slots=True)
class Standing:
    """What the log says about one key.

    :param home: incarnation that alone may run it; empty while unclaimed.
    :param claim: first claim.
    :param abandon: first abandon record.
    :param refusal: abandon record of the home itself.
    :param outcome: outcome record of the home.
    :param carried: original offsets of the carried copies seen.
    """

    home: str = ""
    claim: LogEntry | None = None
    abandon: LogEntry | None = None
    refusal: LogEntry | None = None
    outcome: LogEntry | None = None
    carried: set[int] = field(default_factory=set)

    @property
    def is_abandoned(self):
        """Whether the key can never run: abandoned first, or by its own home."""
        if self.refusal is not None:
            return True
        if self.abandon is None:
            return False
        return self.claim is None or self.abandon.offset < self.claim.offset

    @property
    def digest(self):
        """Digest of the call that the home has run or may run; empty if unknown."""
        known = self.claim or self.outcome
        return known.record.digest if known else ""

    def entries(self):
        """Return what must be carried forward, by rising offset."""
        known = (self.claim, self.abandon, self.refusal, self.outcome)
        present = {entry.offset: entry for entry in known if entry is not None}
        return [present[offset] for offset in sorted(present)]


EMPTY = Standing()
