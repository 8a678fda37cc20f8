"""Lease on sending orders, held by one entry at a time.

The lease is acquired and renewed by appends to a topic of records. An append is
conditional: it succeeds only if the topic still ends where the writer expects. Each
record names the servers that its writer may order. A holder takes its fencing number
from the place of the first of its records that follow each other without a gap.
Nothing is written while there is nothing to order.
"""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.utils import Sentinel

NOT_READ = Sentinel("NOT_READ", "the topic of orders has not been read yet")
OTHER_HOLDS = Sentinel("OTHER_HOLDS", "another entry holds the lease")
NOT_MY_TURN = Sentinel(
    "NOT_MY_TURN", "another entry comes first in the order of acquisition"
)
TOO_SOON = Sentinel(
    "TOO_SOON", "another entry may have ordered these servers too recently"
)


@dataclass(frozen=True, kw_only=True)
class LeaseRecord:
    """Event: a record of the topic was read; it gives its writer the lease.

    :param offset: place of the record; see :func:`wasabistage.fleet.make_place`.
    :param holder: name of the entry that wrote the record.
    :param incarnation: id of that entry's process life.
    :param servers: ids of the servers that the entry may order.
    """

    offset: int
    holder: str
    incarnation: str
    servers: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class TopicRead:
    """Event: the topic was read up to its end.

    :param end: place of the next record.
    """

    end: int


@dataclass(frozen=True, kw_only=True)
class LeaseRecordAppended:
    """Event: a record of this entry was appended.

    :param record: the :class:`LeaseRecord`.
    :param begun_at: time when the append started, monotonic, in seconds.
    """

    record: LeaseRecord
    begun_at: float


@dataclass(frozen=True, kw_only=True)
class OrderFenced:
    """Event: a server refused an order because it has seen a higher fencing number."""


@dataclass(frozen=True, kw_only=True)
class LeaseQuery:
    """Query: may this entry order the given servers?

    :param servers: ids of the servers, by descending priority.
    :param place: number of entries that come before this one in the order in which
        entries acquire the lease.
    """

    servers: tuple[str, ...]
    place: int


@dataclass(frozen=True, kw_only=True)
class LeaseAppend:
    """Decision: the record to append before any of the servers is ordered.

    :param expected_end: place at which the topic must end for the append to succeed.
    :param servers: ids of the servers that the record names.
    """

    expected_end: int
    servers: tuple[str, ...]


class OrderLease(Policy):
    """Policy for the lease that allows this entry to send orders.

    The holder counts its lease from before the append of its record, other entries
    from when they read it, so the lease ends first for the holder. A successor waits a
    further ``turn_time`` before it orders a server that the previous holder may have
    ordered.

    :param holder: name of this entry.
    :param incarnation: id of this process life.
    :param lease: time from the start of an append during which the named servers may
        be ordered, in seconds. An order follows its append at once, so the lease only
        needs to be longer than a slow append.
    :param turn_time: time between the orders of two holders to one server, in seconds.
    :param stagger: delay per place before this entry takes over the lease, in seconds.
    """

    def __init__(self, holder, incarnation, *, lease=0.8, turn_time=3.0, stagger=0.3):
        self.holder = holder
        self.incarnation = incarnation
        self.lease = lease
        self.turn_time = turn_time
        self.stagger = stagger

    def reset(self):
        """Check the arguments and forget every record.

        :return: the policy itself.
        :raises SettingError: if ``lease``, ``turn_time`` or ``stagger`` is not
            positive.
        """
        if min(self.lease, self.turn_time, self.stagger) <= 0:
            raise SettingError(
                f"lease of the order lease is {self.lease} s, its turn_time is"
                f" {self.turn_time} s and its stagger is {self.stagger} s; each must be"
                " above 0",
                remedy="set lease, turn_time and stagger above 0",
            )
        self.end_ = None
        self.last_record_ = None
        self.last_read_at_ = float("-inf")
        self.fencing_ = 0
        #: Whether a server has refused the fencing number, so that it ends.
        self.is_fenced_ = False
        self.last_orders_ = {}
        self.send_deadlines_ = {}
        self.requested_since_ = None
        return self

    def observe(self, event, now):
        """Learn from a record that was read or appended, or from a refused order.

        :param event: :class:`LeaseRecord`, :class:`TopicRead`,
            :class:`LeaseRecordAppended` or :class:`OrderFenced`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, LeaseRecord):
            self._apply_record(event, now)
        elif isinstance(event, TopicRead):
            self.end_ = max(event.end, self.end_ or 0)
        elif isinstance(event, LeaseRecordAppended):
            self._apply_record(event.record, now)
            deadline = event.begun_at + self.lease
            self.send_deadlines_.update(dict.fromkeys(event.record.servers, deadline))
        elif isinstance(event, OrderFenced):
            self.send_deadlines_ = {}
            self.is_fenced_ = True

    def _apply_record(self, record, now):
        if self.end_ is not None and record.offset < self.end_:
            return
        if self.is_fenced_ or not self._continues_last(record):
            # Offsets start at 0, but a server reads the fencing number 0 as a missing
            # one.
            self.fencing_ = record.offset + 1
            self.is_fenced_ = False
        if not self._is_own(record):
            self.send_deadlines_ = {}
        self.last_record_, self.last_read_at_ = record, now
        self.end_ = record.offset + 1
        for server in record.servers:
            self.last_orders_[server] = (record.holder, now)

    def _continues_last(self, record):
        """Return whether a record and the one before it are of the same writer.

        Records in between that were dropped unread may be those of another holder.
        """
        last = self.last_record_
        if last is None or record.offset != last.offset + 1:
            return False
        return (record.holder, record.incarnation) == (last.holder, last.incarnation)

    def _is_own(self, record):
        return (record.holder, record.incarnation) == (self.holder, self.incarnation)

    def decide(self, query, now):
        """Answer a :class:`LeaseQuery`.

        :param query: a :class:`LeaseQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`LeaseAppend`, or a sentinel with the reason.
        """
        if not query.servers:
            self.requested_since_ = None
            return NOT_MY_TURN.with_reason("no server is to be ordered")
        if self.requested_since_ is None:
            self.requested_since_ = now
        if self.end_ is None:
            return NOT_READ
        if self.last_record_ is not None and not self._is_own(self.last_record_):
            if now < self.last_read_at_ + self.lease:
                return OTHER_HOLDS
        is_holder = self.last_record_ is not None and self._is_own(self.last_record_)
        if not is_holder and now < self._free_since() + query.place * self.stagger:
            return NOT_MY_TURN
        servers = tuple(name for name in query.servers if self._may_order(name, now))
        if not servers:
            return TOO_SOON
        return LeaseAppend(expected_end=self.end_, servers=servers)

    def _free_since(self):
        """Return since when the lease has been both free and requested."""
        return max(self.requested_since_, self.last_read_at_ + self.lease)

    def _may_order(self, server, now):
        holder, read_at = self.last_orders_.get(server, (self.holder, now))
        return holder == self.holder or now >= read_at + self.lease + self.turn_time

    def excluded_servers(self, now):
        """Return the servers that another holder may have ordered too recently.

        :param now: monotonic time, in seconds.
        :return: frozenset of ids.
        """
        return frozenset(
            server for server in self.last_orders_ if not self._may_order(server, now)
        )

    def may_send(self, server, now):
        """Return whether an order may be sent now.

        Call it right before the send, with no suspension point in between.

        :param server: id of the server.
        :param now: monotonic time, read for this call, in seconds.
        :return: ``True`` if the lease names the server and has not ended.
        """
        return now < self.send_deadlines_.get(server, float("-inf"))
