"""One holder at a time for orders, by conditional appends to a topic of records.

Every wave of orders is announced by a record that names its servers, appended only if
the topic ends where the writer believes. The record is the lease, the fencing number
and the list of servers that the holder may order under it; without work, nothing is
written.
"""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.utils import Sentinel

NOT_READ = Sentinel("NOT_READ", "the topic of orders has not been read yet")
OTHER_HOLDS = Sentinel("OTHER_HOLDS", "another entry holds the lease")
NOT_MY_TURN = Sentinel("NOT_MY_TURN", "an entry before this one may take the lease")
TOO_SOON = Sentinel("TOO_SOON", "another entry may have ordered these servers lately")


@dataclass(frozen=True, kw_only=True)
class LeaseRecord:
    """A record of the topic.

    :param offset: its offset.
    :param holder: name of the entry that wrote it.
    :param incarnation: life of that entry.
    :param servers: servers that it may order.
    """

    offset: int
    holder: str
    incarnation: str
    servers: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class TopicRead:
    """The topic was read up to an offset.

    :param end: offset of the next record.
    """

    end: int


@dataclass(frozen=True, kw_only=True)
class LeaseRecordAppended:
    """This entry's record was appended.

    :param record: the :class:`LeaseRecord`.
    :param begun_at: when the append began, monotonic seconds.
    """

    record: LeaseRecord
    begun_at: float


@dataclass(frozen=True, kw_only=True)
class OrderFenced:
    """A server refused an order since a newer holder ordered before."""


@dataclass(frozen=True, kw_only=True)
class LeaseQuery:
    """Asks to order some servers.

    :param servers: ids of the servers, the most wanted first.
    :param place: place of this entry in the order in which entries take the lease.
    """

    servers: tuple[str, ...]
    place: int


@dataclass(frozen=True, kw_only=True)
class Claim:
    """The record to append before any of the servers is ordered.

    :param expected_end: offset at which the topic must end.
    :param servers: servers that may be ordered under it.
    """

    expected_end: int
    servers: tuple[str, ...]


class OrderLease(Policy):
    """Decides whether this entry may send orders.

    The holder counts its lease from before the append of its last record, others from
    their reading of it, so the holder's ends first. A successor lets ``turn_time``
    pass before it orders a server that the holder may have ordered.

    :param holder: name of this entry.
    :param incarnation: life of this entry.
    :param lease: time that a record allows orders, in seconds; an order follows its
        record at once, so this need only outlast a slow append.
    :param turn_time: time between the orders of two holders to one server, in seconds.
    :param stagger: wait per place before the lease is taken over, in seconds.
    """

    def __init__(self, holder, incarnation, *, lease=0.8, turn_time=3.0, stagger=0.3):
        self.holder = holder
        self.incarnation = incarnation
        self.lease = lease
        self.turn_time = turn_time
        self.stagger = stagger

    def reset(self):
        """Check the arguments and forget what was read."""
        if min(self.lease, self.turn_time, self.stagger) <= 0:
            raise SettingError(
                "a time of the order lease is not positive",
                remedy="set lease, turn_time and stagger above 0",
            )
        self.end_ = None
        self.last_record_ = None
        self.last_at_ = float("-inf")
        self.fencing_ = 0
        self.ordered_ = {}
        self.allowed_ = {}
        self.wanted_since_ = None
        return self

    def observe(self, event, now):
        """Take in what was read or appended.

        :param event: :class:`LeaseRecord`, :class:`TopicRead`,
            :class:`LeaseRecordAppended` or
            :class:`OrderFenced`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, LeaseRecord):
            self._read(event, now)
        elif isinstance(event, TopicRead):
            self.end_ = max(event.end, self.end_ or 0)
        elif isinstance(event, LeaseRecordAppended):
            self._read(event.record, now)
            until = event.begun_at + self.lease
            self.allowed_.update(dict.fromkeys(event.record.servers, until))
        elif isinstance(event, OrderFenced):
            self.allowed_ = {}

    def _read(self, record, now):
        if self.end_ is not None and record.offset < self.end_:
            return
        if self.last_record_ is None or not self._same_life(record, self.last_record_):
            # Offsets begin at 0 and a server takes 0 for a missing number.
            self.fencing_ = record.offset + 1
        if not self._is_mine(record):
            self.allowed_ = {}
        self.last_record_, self.last_at_ = record, now
        self.end_ = record.offset + 1
        for server in record.servers:
            self.ordered_[server] = (record.holder, now)

    @staticmethod
    def _same_life(one, other):
        return (one.holder, one.incarnation) == (other.holder, other.incarnation)

    def _is_mine(self, record):
        return (record.holder, record.incarnation) == (self.holder, self.incarnation)

    def decide(self, query, now):
        """Answer a :class:`LeaseQuery`.

        :param query: a :class:`LeaseQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Claim`, or a sentinel with the reason.
        """
        if not query.servers:
            self.wanted_since_ = None
            return NOT_MY_TURN.with_reason("nothing is to be ordered")
        if self.wanted_since_ is None:
            self.wanted_since_ = now
        if self.end_ is None:
            return NOT_READ
        if self.last_record_ is not None and not self._is_mine(self.last_record_):
            if now < self.last_at_ + self.lease:
                return OTHER_HOLDS
        holds = self.last_record_ is not None and self._is_mine(self.last_record_)
        if not holds and now < self._since() + query.place * self.stagger:
            return NOT_MY_TURN
        servers = tuple(name for name in query.servers if self._may_order(name, now))
        if not servers:
            return TOO_SOON
        return Claim(expected_end=self.end_, servers=servers)

    def _since(self):
        return max(self.wanted_since_, self.last_at_ + self.lease)

    def _may_order(self, server, now):
        holder, at = self.ordered_.get(server, (self.holder, now))
        return holder == self.holder or now >= at + self.lease + self.turn_time

    def excluded_servers(self, now):
        """Return the servers that another holder may have ordered too lately.

        :param now: monotonic time, in seconds.
        :return: frozenset of ids.
        """
        return frozenset(
            server for server in self.ordered_ if not self._may_order(server, now)
        )

    def may_send(self, server, now):
        """Tell whether an order may leave now.

        Call it right before the send, without a suspension point between.

        :param server: id of the server.
        :param now: monotonic time, read for this call, in seconds.
        """
        return now < self.allowed_.get(server, float("-inf"))
