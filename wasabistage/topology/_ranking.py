"""Weighted rendezvous hashing of the entries for a role."""

import hashlib
import math

HASH_RANGE = 2.0**64
MIN_WEIGHT = 1e-6


def draw_uniform(role, name):
    """Return a number above 0 and below 1 that depends on a role and a name alone.

    :param role: name of the role.
    :param name: name of an entry.
    """
    digest = hashlib.blake2b(f"{role}\0{name}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest) + 1.0) / (HASH_RANGE + 1.0)


def rank_members(members, role):
    """Rank entries for a role.

    Each entry is first with a probability in proportion to its weight. If an entry is
    removed, the order of the others does not change.

    :param members: iterable of :class:`FleetMember`.
    :param role: name of the role.
    :return: list of the entries, the best first.
    """

    def get_score(member):
        uniform = draw_uniform(role, member.name)
        return math.log(uniform) / max(member.weight, MIN_WEIGHT), member.name

    return sorted(members, key=get_score, reverse=True)


def get_rank(name, names, role):
    """Return the rank of one entry for a role, by hashing without weights.

    It never falls when a name is added.

    :param name: name of the entry.
    :param names: names of all entries.
    :param role: name of the role.
    :return: number of the other entries that come first.
    """

    def get_key(other):
        return hashlib.blake2b(f"{role}\0{other}".encode()).digest(), other

    own_key = get_key(name)
    return sum(get_key(other) < own_key for other in names if other != name)
