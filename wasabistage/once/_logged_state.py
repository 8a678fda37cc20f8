"""State of one key as the log records it."""

from dataclasses import dataclass, field

from wasabistage.once._records import LogEntry


@dataclass(kw_only=True, slots=True)
class LoggedState:
    """State of one key as the log records it.

    :param home: incarnation of the key's home; empty while nobody has claimed it.
    :param claim: first claim.
    :param abandon: first abandon record that another instance wrote, or that was read
        before any claim.
    :param refusal: first abandon record of the home.
    :param outcome: outcome record of the home.
    :param carried_offsets: original offsets of the carried copies read so far.
    """

    home: str = ""
    claim: LogEntry | None = None
    abandon: LogEntry | None = None
    refusal: LogEntry | None = None
    outcome: LogEntry | None = None
    carried_offsets: set[int] = field(default_factory=set)

    @property
    def is_abandoned(self):
        """Whether the call must not be run.

        It was abandoned before any claim, or by its home.
        """
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

    def list_entries(self):
        """Return the log entries that make up the state, by rising offset."""
        entries = (self.claim, self.abandon, self.refusal, self.outcome)
        by_offset = {entry.offset: entry for entry in entries if entry is not None}
        return [by_offset[offset] for offset in sorted(by_offset)]


EMPTY_STATE = LoggedState()
