"""Preselection of engines, so that a decision costs the same in a fleet of any size.

Pattern: 50 engines in six failure domains and 195 entries. Scoring every engine for
every prompt costs more processor time than forwarding it, and traffic between failure
domains is dear.
"""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class CandidateQuery:
    """Question which engines are scored for a prompt.

    :param servers: list of objects with ``server``, ``address`` and
        ``failure_domain``.
    :param failure_domain: failure domain of the entry that asks.
    :param holders: addresses of the engines that hold the prompt's longest shared part.
    :param draw: random number from 0 to below 1.
    """

    servers: list
    failure_domain: str
    holders: frozenset = frozenset()
    draw: float = 0.0


class CandidateSelector(Policy):
    """Selects the engines to score: near ones, holders, and a few of the others.

    The others are consecutive in a rotation that starts at a random place, so that the
    load of a failure domain whose engines are full or gone spreads over all.

    :param near: engines of the own failure domain, at most.
    :param holders: engines that hold the prompt's part, at most.
    :param others: further engines, at least.
    """

    def __init__(self, *, near=8, holders=3, others=2):
        self.near = near
        self.holders = holders
        self.others = others

    def reset(self):
        """Check the arguments."""
        if min(self.near, self.holders, self.others) < 1:
            raise SettingError(
                "near, holders and others must be 1 or more, but are "
                f"{self.near!r}, {self.holders!r} and {self.others!r}",
                remedy="set all three to 1 or more",
            )
        return self

    def observe(self, event, now):
        """Ignore an event: the selection learns nothing."""

    @property
    def limit(self):
        """The largest number of engines that are scored."""
        return self.near + self.holders + self.others

    def decide(self, query, now):
        """Answer a :class:`CandidateQuery`.

        :param query: a :class:`CandidateQuery`.
        :param now: monotonic time, in seconds; not used.
        :return: list of the selected ``servers``.
        """
        servers = query.servers
        if len(servers) <= self.limit:
            return servers
        start = int(query.draw * len(servers))
        rotated = servers[start:] + servers[:start]
        near, holders, others = [], [], []
        for item in rotated:
            if item.address in query.holders and len(holders) < self.holders:
                holders.append(item)
            elif item.failure_domain == query.failure_domain and len(near) < self.near:
                near.append(item)
            else:
                others.append(item)
        return near + holders + others[: self.limit - len(near) - len(holders)]
