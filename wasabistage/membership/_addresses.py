"""Which entry addresses a caller is told to use."""

import hashlib
import math
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.membership._messages import Member, MemberState
from wasabistage.utils import Sentinel

NO_ADDRESS = Sentinel("NO_ADDRESS", "no entry instance takes new work")
WHEN_NONE_WORKS = (
    "ask any known entry address again after retry_after seconds; "
    "if none answers, read the platform's list of instances"
)
RETRY_AFTER = 1.0  # seconds
LEAST_WEIGHT = 0.05  # chance kept by a full instance, relative to an idle one


@dataclass(frozen=True, kw_only=True)
class AddressQuery:
    """Query: which entry instances should this caller use?

    :param candidates: members that may be given new work, this one included.
    :param caller_domain: the caller's failure domain; empty when unknown.
    :param account: the caller's client account.
    :param session: name of the session to be opened; empty for none.
    :param draw: seeded random number, 0 to 1.
    """

    candidates: tuple[Member, ...]
    caller_domain: str = ""
    account: str = ""
    session: str = ""
    draw: float = 0.0


@dataclass(frozen=True, kw_only=True)
class RankedAddress:
    """One address of an answer.

    :param instance: name of the entry instance.
    :param address: ``IP:PORT`` for callers.
    :param failure_domain: its failure domain.
    """

    instance: str
    address: str
    failure_domain: str = ""


@dataclass(frozen=True, kw_only=True)
class AddressAnswer:
    """Decision: addresses to try in this order.

    :param addresses: ranked addresses.
    :param lifetime: how long the answer may be kept, in seconds.
    :param when_none_works: what to do when no address answers.
    :param retry_after: wait before asking again when none works, in seconds.
    """

    addresses: tuple[RankedAddress, ...]
    lifetime: float
    when_none_works: str = WHEN_NONE_WORKS
    retry_after: float = RETRY_AFTER


def split_draw(draw, label):
    """Derive an independent number from a draw.

    :param draw: seeded random number, 0 to 1.
    :param label: text that tells the derived numbers apart.
    :return: a number in (0, 1).
    """
    digest = hashlib.blake2b(f"{draw!r}/{label}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 1) / (2**64 + 2)


class AddressPolicy(Policy):
    """Nearest failure domain first, weighted by free capacity within it.

    The first place is drawn by chance, so that callers asking at the same moment
    spread out. An instance above ``full_load`` comes after every other. The second
    address stands in another failure domain where there is one.

    :param addresses: addresses in an answer.
    :param lifetime: longest time to keep an answer, in seconds.
    :param full_load: load above which nearness no longer counts.
    :param affinity: whether a named session is ranked by rendezvous hashing.
    """

    def __init__(self, addresses=3, lifetime=10.0, full_load=0.9, affinity=True):
        self.addresses = addresses
        self.lifetime = lifetime
        self.full_load = full_load
        self.affinity = affinity

    def reset(self):
        """Check the arguments.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if self.addresses < 2 or self.lifetime <= 0:
            raise SettingError(
                "need at least 2 addresses and a positive lifetime",
                remedy="use addresses=3 and lifetime=10",
            )
        return self

    def observe(self, event, now):
        """Learn nothing: every query carries the members.

        :param event: any message.
        :param now: monotonic time, in seconds.
        """

    def decide(self, query, now):
        """Rank addresses.

        :param query: an :class:`AddressQuery`.
        :param now: monotonic time, in seconds.
        :return: an :class:`AddressAnswer`, or :data:`NO_ADDRESS`.
        """
        usable = [
            member
            for member in query.candidates
            if member.caller_address and member.state is not MemberState.DRAINING
        ]
        if not usable:
            return NO_ADDRESS
        ranked = self._rank(usable, query)
        ranked = self._spread_domains(ranked)[: self.addresses]
        addresses = tuple(
            RankedAddress(
                instance=member.instance,
                address=member.caller_address,
                failure_domain=member.failure_domain,
            )
            for member in ranked
        )
        return AddressAnswer(
            addresses=addresses, lifetime=self._lifetime(usable, query)
        )

    def _rank(self, members, query):
        def key(member):
            far = member.failure_domain != query.caller_domain
            doubtful = member.state is not MemberState.SERVING
            full = member.load > self.full_load
            return doubtful, full, far, self._lot(member, query)

        return sorted(members, key=key)

    def _lot(self, member, query):
        """Return an exponential lot; the least wins in proportion to its weight."""
        weight = max(LEAST_WEIGHT, 1.0 - member.load)
        if self.affinity and query.session:
            # Load is left out, or it would move the session with every heartbeat.
            weight = 1.0
            label = f"{query.account}/{query.session}/{member.instance}"
            number = split_draw(0.0, label)
        else:
            number = split_draw(query.draw, member.instance)
        return -math.log(number) / weight

    def _spread_domains(self, ranked):
        first = ranked[0]
        for member in ranked[1:]:
            if member.failure_domain != first.failure_domain:
                rest = [m for m in ranked if m is not first and m is not member]
                return [first, member, *rest]
        return ranked

    def _lifetime(self, usable, query):
        # Unequal lifetimes keep callers from asking again all at once.
        share = 0.5 + 0.5 * split_draw(query.draw, "lifetime")
        doubtful = any(m.state is not MemberState.SERVING for m in usable)
        return self.lifetime * share * (0.5 if doubtful else 1.0)


class RandomAddresses(AddressPolicy):
    """Baseline that ignores failure domains and load."""

    def _rank(self, members, query):
        return sorted(members, key=lambda m: split_draw(query.draw, m.instance))

    def _spread_domains(self, ranked):
        return ranked


class ListOrderAddresses(AddressPolicy):
    """Baseline that answers in the order of the list, as a plain list would."""

    def _rank(self, members, query):
        return list(members)

    def _spread_domains(self, ranked):
        return ranked
