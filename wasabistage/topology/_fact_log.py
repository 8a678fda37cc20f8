"""Ordered log of facts at their sender, and the position of a receiver in it."""

from dataclasses import dataclass

from wasabistage.utils import Sentinel

FACTS_GONE = Sentinel("FACTS_GONE", "facts before these are missing")


@dataclass(frozen=True, kw_only=True)
class MissingFacts:
    """Facts that a receiver has to request.

    :param log: id of the log.
    :param position: position of the first one; ``None`` if the log is new to the
        receiver, which then requests the whole state.
    """

    log: str
    position: int | None


class FactLog:
    """The newest facts of one sender, numbered from 0.

    :param log: id of the log; each start of a process has a new one.
    :param max_facts: facts that are kept.
    :param max_bytes: sum of the sizes of the facts that are kept.
    """

    def __init__(self, log, *, max_facts=4096, max_bytes=2 << 20):
        self.log = log
        self.max_facts = max_facts
        self.max_bytes = max_bytes
        self.first = 0
        self.total_bytes = 0
        self._facts = {}

    @property
    def end(self):
        """Position of the next fact."""
        return self.first + len(self._facts)

    def append(self, fact):
        """Append a fact; the oldest ones are removed beyond the bounds.

        :param fact: bytes.
        """
        self._facts[self.end] = fact
        self.total_bytes += len(fact)
        while len(self._facts) > self.max_facts or (
            self.total_bytes > self.max_bytes and len(self._facts) > 1
        ):
            self.total_bytes -= len(self._facts.pop(self.first))
            self.first += 1

    def read(self, position, max_bytes):
        """Return the facts from a position on.

        :param position: position of the first one.
        :param max_bytes: largest sum of their sizes; at least one is returned.
        :return: list of bytes, empty at the end; :data:`FACTS_GONE` if the first
            one isn't kept any more, or the position lies beyond the end.
        """
        if not self.first <= position <= self.end:
            return FACTS_GONE.with_reason(
                f"position {position} is outside of {self.first} to {self.end}"
            )
        found, size = [], 0
        for number in range(position, self.end):
            fact = self._facts[number]
            size += len(fact)
            if found and size > max_bytes:
                break
            found.append(fact)
        return found


class FactOutbox:
    """The facts of a log that are still to be sent, to all receivers at once.

    :param log: a :class:`FactLog`.
    """

    def __init__(self, log):
        self.log = log
        self.position = 0

    def take(self, max_bytes):
        """Return the next facts and move on behind them.

        :param max_bytes: largest sum of their sizes; at least one is returned.
        :return: a tuple of the position of the first fact and a list of bytes.
        """
        first = max(self.position, self.log.first)
        facts = self.log.read(first, max_bytes) or []
        self.position = first + len(facts)
        return first, facts

    @property
    def is_empty(self):
        """Whether all facts of the log were taken."""
        return self.position >= self.log.end


class FactCursor:
    """Position of a receiver in the log of one sender.

    :ivar log: id of the log, or ``""`` before the first state.
    :ivar position: position of the next fact to apply.
    """

    def __init__(self):
        self.log = ""
        self.position = 0

    def set(self, log, position):
        """Set the position after a whole state was applied.

        :param log: id of the log.
        :param position: position of the next fact.
        """
        self.log = log
        self.position = position

    def accept(self, log, first, facts):
        """Accept a batch of facts and move the position to its end.

        :param log: id of the log.
        :param first: position of the first fact.
        :param facts: list of facts.
        :return: the facts that are new, or :class:`MissingFacts` if others must be
            requested before.
        """
        if log != self.log:
            if first > 0:
                return MissingFacts(log=log, position=None)
            # A log that is read from its start needs no state before it.
            self.set(log, 0)
        if first > self.position:
            return MissingFacts(log=log, position=self.position)
        new = facts[self.position - first :]
        self.position = max(self.position, first + len(facts))
        return new
