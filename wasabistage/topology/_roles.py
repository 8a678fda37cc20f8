"""Roles of the entries: relays, and readers of topics and cache sources."""

import math
from dataclasses import dataclass, field

from wasabistage.exceptions import SettingError
from wasabistage.topology._ranking import rank_members


@dataclass(frozen=True, kw_only=True)
class RoleQuery:
    """Question for the roles in a fleet.

    :param name: name of the entry that asks.
    :param members: dict of name to :class:`FleetMember` of the live entries, with the
        one that asks.
    :param followed_relays: names of entries that count as relays regardless of their
        rank, since others follow them.
    :param fleet_size: number of live entries that others know; ``members`` may be a
        part of them only.
    """

    name: str
    members: dict
    followed_relays: frozenset = frozenset()
    fleet_size: int = 0


@dataclass(frozen=True, kw_only=True)
class Roles:
    """Roles as one entry sees them.

    :param relays: dict of name to :class:`FleetMember` of the relays.
    :param is_relay: whether the entry that asked is one of them.
    :param candidates: names of the relays to follow, in order of preference: first
        those of the own failure domain.
    """

    relays: dict
    is_relay: bool
    candidates: tuple[str, ...] = ()
    _rankings: dict = field(default_factory=dict, compare=False)

    def rank_readers(self, topic, failure_domain=""):
        """Rank the relays as readers of a topic or a cache source.

        :param topic: name of the topic, or address of the source.
        :param failure_domain: failure domain of the source; its relays come first.
        :return: list of names.
        """
        key = topic, failure_domain
        if key not in self._rankings:
            ranked = rank_members(self.relays.values(), f"reader/{topic}")
            ranked.sort(key=lambda item: item.failure_domain != failure_domain)
            self._rankings[key] = [member.name for member in ranked]
        return self._rankings[key]

    def get_reader_rank(self, name, topic, failure_domain="", excluded=()):
        """Return the rank of a relay among the readers of a topic; 0 is the first.

        :param name: name of the entry.
        :param topic: name of the topic, or address of the source.
        :param failure_domain: failure domain of the source.
        :param excluded: names of relays that can't read it.
        :return: the rank; infinite for an entry that is no relay.
        """
        ranked = self.rank_readers(topic, failure_domain)
        if name not in self.relays:
            return math.inf
        ahead = ranked[: ranked.index(name)]
        return sum(other not in excluded for other in ahead)


class RolePlan:
    """Computes the roles from the live entries.

    In a fleet of up to ``mesh_size`` entries each is a relay. In a larger one, each
    failure domain has one relay per ``group_size`` entries, but at least
    ``min_relays``.

    :param mesh_size: largest fleet in which every entry is a relay.
    :param group_size: entries of a failure domain per relay.
    :param min_relays: relays of each failure domain.
    """

    def __init__(self, *, mesh_size=8, group_size=20, min_relays=2):
        self.mesh_size = mesh_size
        self.group_size = group_size
        self.min_relays = min_relays

    def reset(self):
        """Check the arguments."""
        if min(self.mesh_size, self.group_size, self.min_relays) < 1:
            raise SettingError(
                "mesh_size, group_size and min_relays must be 1 or more, but are "
                f"{self.mesh_size!r}, {self.group_size!r} and {self.min_relays!r}",
                remedy="set all three to 1 or more",
            )
        return self

    def decide(self, query):
        """Answer a :class:`RoleQuery`.

        :param query: a :class:`RoleQuery`.
        :return: :class:`Roles`.
        """
        members = query.members
        relays = self._select_relays(members, query.fleet_size)
        own = members[query.name]
        candidates = rank_members(relays.values(), f"follow/{query.name}")
        candidates.sort(key=lambda item: item.failure_domain != own.failure_domain)
        for name in query.followed_relays:
            if name in members:
                relays[name] = members[name]
        return Roles(
            relays=relays,
            is_relay=query.name in relays,
            candidates=tuple(
                item.name for item in candidates if item.name != query.name
            ),
        )

    def _select_relays(self, members, fleet_size):
        if max(len(members), fleet_size) <= self.mesh_size:
            return dict(members)
        domains = {}
        for member in members.values():
            domains.setdefault(member.failure_domain, []).append(member)
        relays = {}
        for domain, inside in domains.items():
            count = max(self.min_relays, math.ceil(len(inside) / self.group_size))
            for member in rank_members(inside, f"relay/{domain}")[:count]:
                relays[member.name] = member
        return relays
