"""Failure domains to whose servers nothing more is sent.

Pattern: the operators take a failure domain out of service while requests run and wait
there. Its servers answer well, so nothing else keeps requests from them. The order is
withdrawn by removing its record, which an entry may miss while it is cut off.
"""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class EvacuationOrdered:
    """The operators ordered that nothing more is sent to a failure domain.

    :param failure_domain: its name.
    :param offset: offset of the record; an older one changes nothing.
    """

    failure_domain: str
    offset: int


@dataclass(frozen=True, kw_only=True)
class EvacuationWithdrawn:
    """The operators withdrew such an order.

    :param failure_domain: its name.
    :param offset: offset up to which it is known that there is no order.
    """

    failure_domain: str
    offset: int


@dataclass(frozen=True, kw_only=True)
class EvacuationQuery:
    """Question whether the servers of a failure domain get no requests.

    :param failure_domain: its name.
    """

    failure_domain: str


class EvacuationPolicy(Policy):
    """Policy that obeys the newest order for each failure domain.

    An order is obeyed for an unknown failure domain, for one that is down and for the
    last one left as well.

    :param max_domains: number of failure domains that are remembered; the one whose
        order was withdrawn longest ago is forgotten first, and an order never.
    """

    def __init__(self, *, max_domains=1024):
        self.max_domains = max_domains

    def reset(self):
        """Check the arguments and clear all orders."""
        if self.max_domains < 1:
            raise SettingError(
                f"max_domains is {self.max_domains!r}, but must be 1 or more",
                remedy="set max_domains to 1 or more",
            )
        self.orders_ = {}
        self.withdrawn_ = {}
        return self

    def observe(self, event, now):
        """Record an order or its withdrawal.

        :param event: an :class:`EvacuationOrdered` or :class:`EvacuationWithdrawn`.
        :param now: monotonic time, in seconds; not used.
        :return: whether it changes what :meth:`decide` answers.
        """
        name, offset = event.failure_domain, event.offset
        newest = max(self.orders_.get(name, -1), self.withdrawn_.get(name, -1))
        if offset < newest:
            return False
        was_ordered = name in self.orders_
        self.orders_.pop(name, None)
        self.withdrawn_.pop(name, None)
        if isinstance(event, EvacuationOrdered):
            self.orders_[name] = offset
            return not was_ordered
        self.withdrawn_[name] = offset
        if len(self.withdrawn_) > self.max_domains:
            del self.withdrawn_[next(iter(self.withdrawn_))]
        return was_ordered

    def get_domains(self):
        """Return the failure domains with an order, in order of the orders."""
        return list(self.orders_)

    def decide(self, query, now):
        """Answer an :class:`EvacuationQuery`.

        :param query: an :class:`EvacuationQuery`.
        :param now: monotonic time, in seconds; not used.
        :return: whether nothing is sent to the servers of the failure domain.
        """
        return query.failure_domain in self.orders_
