"""Entries whose addresses are named to a caller, in proportion to their capacity.

Pattern: six entries with 2.15 cores and 100 Mbit/s beside 61 with half a core and 5 to
10 Mbit/s. Callers open each channel to a random address of the response, so that all
entries get the same number of channels if all are named to all callers.

Each caller is named a subset of its own, of about as many entries as the strongest
would be worth. The subset depends on the caller's address, not on the time or on the
entry that answers: a caller closes its channels to addresses that a new response lacks.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.topology._ranking import draw_uniform


@dataclass(frozen=True, kw_only=True)
class AddressRequested:
    """A caller has requested addresses.

    :param caller: its IP, or ``""`` if it is unknown.
    """

    caller: str


@dataclass(frozen=True, kw_only=True)
class AddressQuery:
    """Question which entries to name to a caller.

    :param members: tuple of :class:`FleetMember`, the live entries.
    :param failure_domain: failure domain of the caller, or ``""``.
    :param caller: its IP, or ``""`` if it is unknown.
    :param draws: random number from 0 to below 1 for each of ``members``.
    """

    members: tuple
    failure_domain: str
    caller: str
    draws: tuple[float, ...]


class EntrySelector(Policy):
    """Selects entries for a caller.

    All ready entries are named, as far as ``limit`` allows, in each of these cases:
    their capacities are alike, the capacity of one is unknown, or few callers are
    known. With few callers, the entries that one of them is named get far more channels
    than the others.

    :param min_near: ready entries of the caller's failure domain from which on only
        these are named; also the least number of entries in a subset.
    :param limit: largest number of entries that are named.
    :param alike_ratio: ratio of the largest to the smallest capacity up to which they
        are alike.
    :param min_callers: callers from which on each is named a subset of its own. That
        ends when fewer than half of them are left.
    :param caller_timeout: time for which a caller counts, in seconds. It may ask any
        entry, and asks this one every 134 s on average in a fleet of 67.
    :param max_callers: number of callers that are remembered.
    """

    def __init__(
        self,
        *,
        min_near=8,
        limit=64,
        alike_ratio=1.25,
        min_callers=64,
        caller_timeout=600.0,
        max_callers=1024,
    ):
        self.min_near = min_near
        self.limit = limit
        self.alike_ratio = alike_ratio
        self.min_callers = min_callers
        self.caller_timeout = caller_timeout
        self.max_callers = max_callers

    def reset(self):
        """Check the arguments and forget the callers."""
        if not 1 <= self.min_near <= self.limit:
            raise SettingError(
                f"min_near is {self.min_near!r} and limit {self.limit!r}",
                remedy="set min_near to 1 or more, and limit to no less",
            )
        if not 1 <= self.min_callers <= self.max_callers or self.alike_ratio < 1.0:
            raise SettingError(
                f"min_callers is {self.min_callers!r}, max_callers "
                f"{self.max_callers!r} and alike_ratio {self.alike_ratio!r}",
                remedy="set min_callers and alike_ratio to 1 or more, and max_callers "
                "to no less than min_callers",
            )
        self.callers_ = OrderedDict()
        self.is_weighted_ = False
        return self

    def observe(self, event, now):
        """Record the caller of an :class:`AddressRequested`.

        :param event: an :class:`AddressRequested`.
        :param now: monotonic time, in seconds.
        """
        if event.caller:
            self.callers_[event.caller] = now
            self.callers_.move_to_end(event.caller)
        while self.callers_:
            oldest = next(iter(self.callers_))
            is_over = len(self.callers_) > self.max_callers
            if not is_over and now - self.callers_[oldest] <= self.caller_timeout:
                break
            del self.callers_[oldest]
        needed = self.min_callers / 2 if self.is_weighted_ else self.min_callers
        self.is_weighted_ = len(self.callers_) >= needed

    def decide(self, query, now):
        """Answer an :class:`AddressQuery`.

        :param query: an :class:`AddressQuery`.
        :param now: monotonic time, in seconds; not used.
        :return: list of :class:`FleetMember`, in random order.
        """
        ready = [
            (member, draw)
            for member, draw in zip(query.members, query.draws, strict=True)
            if member.is_ready and member.callers
        ]
        near = [row for row in ready if row[0].failure_domain == query.failure_domain]
        if len(near) >= self.min_near:
            ready = near
        if self.is_weighted_ and query.caller:
            ready = self._select_subset(ready, query.caller)
        ready.sort(key=lambda row: row[1])
        return [member for member, _ in ready[: self.limit]]

    def _select_subset(self, rows, caller):
        """Return the rows of the entries for one caller.

        An entry is included with a probability in proportion to its capacity
        (sequential Poisson sampling). If one is removed, the others stay and one is
        added.
        """
        capacities = [member.capacity for member, _ in rows]
        if not all(0.0 < capacity < math.inf for capacity in capacities):
            return rows
        largest = max(capacities, default=1.0)
        if largest <= self.alike_ratio * min(capacities, default=1.0):
            return rows
        # With more entries, the probability of the strongest would be above 1.
        count = max(self.min_near, math.floor(sum(capacities) / largest + 1e-9))

        def get_score(row):
            member = row[0]
            return draw_uniform(f"caller/{caller}", member.name) / member.capacity

        return sorted(rows, key=get_score)[: min(count, self.limit)]
