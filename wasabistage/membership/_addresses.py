"""Ranking of the entry addresses that callers are given."""

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
RETRY_AFTER_SECONDS = 1.0
MIN_WEIGHT = 0.05  # so that an instance at full load is still drawn at times


@dataclass(frozen=True, kw_only=True)
class AddressQuery:
    """Query: which entry instances should this caller use?

    Answered by :class:`AddressAnswer`.

    :param candidates: members that may be given new work, with this instance itself
        unless it is draining.
    :param caller_domain: failure domain of the caller; empty if unknown.
    :param account: name of the caller's client account.
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
    """One address in an :class:`AddressAnswer`.

    :param instance: name of the entry instance.
    :param address: ``IP:PORT`` for callers.
    :param failure_domain: failure domain of the instance.
    """

    instance: str
    address: str
    failure_domain: str = ""


@dataclass(frozen=True, kw_only=True)
class AddressAnswer:
    """Decision: addresses that the caller tries in this order.

    :param addresses: ranked addresses, the best first.
    :param lifetime: time for which the caller may use the answer, in seconds.
    :param when_none_works: instruction for the case that no address answers.
    :param retry_after: pause before the caller asks again in that case, in seconds.
    """

    addresses: tuple[RankedAddress, ...]
    lifetime: float
    when_none_works: str = WHEN_NONE_WORKS
    retry_after: float = RETRY_AFTER_SECONDS


def derive_draw(draw, label):
    """Derive another random number from a draw.

    :param draw: seeded random number, 0 to 1.
    :param label: string; each label gives an independent number.
    :return: a number between 0 and 1, both excluded.
    """
    digest = hashlib.blake2b(f"{draw!r}/{label}".encode(), digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 1) / (2**64 + 2)


class AddressPolicy(Policy):
    """Ranking by failure domain, then at random, weighted by free capacity.

    Serving instances come before suspect and gone ones, then instances up to
    ``full_load`` before those above it, then the caller's failure domain before the
    others. The random order spreads callers that ask at the same moment. The second
    address is in another failure domain than the first one, if there is one.

    :param addresses: maximum number of addresses in an answer.
    :param lifetime: maximum lifetime of an answer, in seconds.
    :param full_load: load above which an instance ranks behind the other domains.
    :param affinity: whether the instances for a named session are ranked by
        rendezvous hashing, so that the session keeps its instance.
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
                f"addresses is {self.addresses} and lifetime is {self.lifetime} s; "
                "need addresses >= 2 and lifetime > 0",
                remedy="set addresses to 3 and lifetime to 10",
            )
        return self

    def observe(self, event, now):
        """Ignore the event, since each query contains the members.

        :param event: any message.
        :param now: monotonic time, in seconds.
        """

    def decide(self, query, now):
        """Rank the addresses of the candidates.

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
            addresses=addresses, lifetime=self._get_lifetime(usable, query)
        )

    def _rank(self, members, query):
        def key(member):
            is_other_domain = member.failure_domain != query.caller_domain
            is_not_serving = member.state is not MemberState.SERVING
            is_full = member.load > self.full_load
            return (
                is_not_serving,
                is_full,
                is_other_domain,
                self._get_sampling_key(member, query),
            )

        return sorted(members, key=key)

    def _get_sampling_key(self, member, query):
        """Return an exponentially distributed random number as the sort key.

        The probability that a member sorts first is proportional to its weight.
        """
        weight = max(MIN_WEIGHT, 1.0 - member.load)
        if self.affinity and query.session:
            # With the load as weight, each heartbeat could move the session.
            weight = 1.0
            label = f"{query.account}/{query.session}/{member.instance}"
            number = derive_draw(0.0, label)
        else:
            number = derive_draw(query.draw, member.instance)
        return -math.log(number) / weight

    def _spread_domains(self, ranked):
        first = ranked[0]
        for member in ranked[1:]:
            if member.failure_domain != first.failure_domain:
                rest = [m for m in ranked if m is not first and m is not member]
                return [first, member, *rest]
        return ranked

    def _get_lifetime(self, usable, query):
        # Random lifetimes keep callers from asking again all at the same moment.
        fraction = 0.5 + 0.5 * derive_draw(query.draw, "lifetime")
        has_non_serving = any(m.state is not MemberState.SERVING for m in usable)
        return self.lifetime * fraction * (0.5 if has_non_serving else 1.0)


class RandomAddresses(AddressPolicy):
    """Baseline with a random order, regardless of failure domains and load."""

    def _rank(self, members, query):
        return sorted(members, key=lambda m: derive_draw(query.draw, m.instance))

    def _spread_domains(self, ranked):
        return ranked


class ListOrderAddresses(AddressPolicy):
    """Baseline that returns the candidates in their order."""

    def _rank(self, members, query):
        return list(members)

    def _spread_domains(self, ranked):
        return ranked
