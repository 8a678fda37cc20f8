"""Cold servers: how long a server is cold, and how many requests it may get meanwhile.

Pattern: the 15 engines of a failure domain return at once behind 61 entries. Each
tolerates 17 requests per second while it is cold, and crashes at a rate well above
that. Entries that each see an idle server send it far more together. Entries that don't
hear each other must stay within one bound, and a connection that breaks may be the only
sign that a server has started again.
"""

import math
from dataclasses import dataclass, field

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError

NEVER = float("-inf")


@dataclass(frozen=True, kw_only=True)
class ServerRecorded:
    """The record of a server was read from the list.

    :param server: id of the server.
    :param incarnation: start time of its process; each restart has a higher one.
    :param cold_left: time for which the server stays cold, in seconds; ``None`` if the
        record doesn't tell it.
    :param is_first: whether the record was found when the list was read first.
    :param written_after: monotonic time after which the record was written, as far as
        it is known.
    """

    server: str
    incarnation: int
    cold_left: float | None = None
    is_first: bool = False
    written_after: float = NEVER


@dataclass(frozen=True, kw_only=True)
class ServerAnswered:
    """A server told in a response how long it stays cold.

    :param server: id of the server.
    :param cold_left: time for which the server stays cold, in seconds.
    :param asked_at: monotonic time at which the request was begun.
    """

    server: str
    cold_left: float
    asked_at: float


@dataclass(frozen=True, kw_only=True)
class ConnectionLost:
    """A server refused a connection, or closed one that it was expected to keep.

    :param server: id of the server.
    """

    server: str


@dataclass(frozen=True, kw_only=True)
class WarmthQuery:
    """Question how long a server counts as cold.

    :param server: id of the server.
    :param cold_seconds: longest time for which a server of its service is cold after
        a start.
    """

    server: str
    cold_seconds: float


@dataclass
class _Warmth:
    incarnation: int
    #: Time of the last statement on the server's warmth, and the end that it names.
    stated_at: float = NEVER
    stated_until: float = NEVER
    #: Time at which a new incarnation was found that states nothing.
    started_at: float = NEVER
    #: Time of the last connection that the server closed or refused.
    lost_at: float = NEVER


class WarmthPolicy(Policy):
    """Policy that counts a server as cold until a time after the last sign.

    A server is cold after a start during traffic, or as long as its record or a
    response states. A server that closed or refused a connection may have started again
    under its id; it counts as cold until a statement that is newer than that.

    A server that has become warm gets its full share of work over ``ramp``, so that the
    entries don't all turn to an idle server at the same moment.

    :param max_servers: number of servers that are remembered.
    :param ramp: time after its end in which a server takes less work, in seconds.
    :param first_weight: fraction of its share of work at the start of that time.
    """

    def __init__(self, *, max_servers=4096, ramp=2.0, first_weight=0.5):
        self.max_servers = max_servers
        self.ramp = ramp
        self.first_weight = first_weight

    def reset(self):
        """Check the arguments and clear all servers."""
        if self.max_servers < 1 or self.ramp <= 0 or not 0 < self.first_weight <= 1:
            raise SettingError(
                f"max_servers is {self.max_servers!r}, ramp {self.ramp!r} and "
                f"first_weight {self.first_weight!r}, but must be 1 or more, above 0, "
                "and above 0 and at most 1",
                remedy="set max_servers to 1 or more, ramp above 0 and first_weight to "
                "(0, 1]",
            )
        self.servers_ = {}
        return self

    def observe(self, event, now):
        """Record a sign of a server's warmth.

        :param event: a :class:`ServerRecorded`, :class:`ServerAnswered` or
            :class:`ConnectionLost`.
        :param now: monotonic time, in seconds.
        :return: whether a record says something new that other entries may need.
        """
        if isinstance(event, ServerRecorded):
            return self._record_listing(event, now)
        warmth = self.servers_.get(event.server)
        if warmth is None:
            warmth = self._add(event.server, None)
        if isinstance(event, ConnectionLost):
            warmth.lost_at = now
        elif event.cold_left >= 0.0:
            self._record_statement(warmth, event.cold_left, event.asked_at, now)
        return False

    def _record_listing(self, event, now):
        known = self.servers_.get(event.server)
        is_stated = event.cold_left is not None and event.cold_left >= 0.0
        if known is not None and known.incarnation is None:
            known.incarnation = event.incarnation
        if known is not None and known.incarnation > event.incarnation:
            return False
        if known is None or known.incarnation < event.incarnation:
            warmth = self._add(event.server, event.incarnation)
            if known is not None:
                # The server may have been lost once more since it wrote the record.
                warmth.lost_at = known.lost_at
            if not is_stated and not (known is None and event.is_first):
                warmth.started_at = now
        else:
            warmth = known
        if not is_stated:
            return False
        was_cold = max(warmth.stated_until, warmth.started_at) > now
        self._record_statement(warmth, event.cold_left, event.written_after, now)
        return was_cold or event.cold_left > 0.0

    def _add(self, server, incarnation):
        self.servers_.pop(server, None)
        warmth = self.servers_[server] = _Warmth(incarnation)
        if len(self.servers_) > self.max_servers:
            del self.servers_[next(iter(self.servers_))]
        return warmth

    def _record_statement(self, warmth, cold_left, made_after, now):
        is_after_loss = made_after > warmth.lost_at
        sign_at = max(warmth.started_at, warmth.lost_at if is_after_loss else NEVER)
        # Repeated statements that a server is warm don't begin its ramp again.
        if cold_left > 0.0 or warmth.stated_until > now or sign_at > NEVER:
            warmth.stated_at, warmth.stated_until = now, now + cold_left
        warmth.started_at = NEVER
        if is_after_loss:
            warmth.lost_at = NEVER

    def decide(self, query, now):
        """Answer a :class:`WarmthQuery`.

        :param query: a :class:`WarmthQuery`.
        :param now: monotonic time, in seconds.
        :return: seconds for which the server counts as cold, 0 for a warm one.
        """
        return max(0.0, self.get_end(query.server, query.cold_seconds) - now)

    def get_weight(self, end, now):
        """Return the fraction of its share of work that a server takes, at most 1.

        A cold server has all of it: its allowance limits it.

        :param end: time at which the server becomes warm, or became so.
        :param now: monotonic time, in seconds.
        """
        warm_for = now - end
        if not 0.0 <= warm_for < self.ramp:
            return 1.0
        return self.first_weight + (1.0 - self.first_weight) * warm_for / self.ramp

    def get_end(self, server, cold_seconds):
        """Return the time at which a server becomes warm, or became so.

        :param server: id of the server.
        :param cold_seconds: see :class:`WarmthQuery`.
        """
        warmth = self.servers_.get(server)
        if warmth is None:
            return NEVER
        # A statement of more than the longest time is wrong, and is made again if not.
        stated_until = min(warmth.stated_until, warmth.stated_at + cold_seconds)
        sign_at = max(warmth.started_at, warmth.lost_at)
        return max(stated_until, sign_at + cold_seconds)


@dataclass(frozen=True, kw_only=True)
class RequestTaken:
    """A request was assigned to a server; observed in the step of the decision.

    :param server: id of the server.
    :param request: id of the attempt.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class RequestWritten:
    """The last byte of a request was handed to the operating system.

    :param server: id of the server.
    :param request: id of the attempt.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class RequestArrived:
    """The response to a request has begun, so that the request has arrived before.

    :param server: id of the server.
    :param request: id of the attempt.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class RequestDropped:
    """A request does not count: it was not sent, or the server was the wrong one.

    :param server: id of the server.
    :param request: id of the attempt.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class RequestOver:
    """An attempt ended.

    :param server: id of the server.
    :param request: id of the attempt.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class AllowanceQuery:
    """Question how many requests this entry may send to a cold server now.

    :param server: id of the server.
    :param bound: requests that the server may get in a second from all entries.
    :param rank: rank of this entry among those that may run, from 0; ``None`` if they
        are not known.
    :param count: number of entries that may run, with this one.
    """

    server: str
    bound: int
    rank: int | None
    count: int = 1


@dataclass(frozen=True, kw_only=True)
class Allowance:
    """What this entry may send to a cold server.

    :param share: requests that it may send in any second.
    :param used: requests that count at this moment.
    :param seconds: time until one request less counts; infinite if that is unknown.
    """

    share: int
    used: int
    seconds: float = math.inf

    def __bool__(self):
        return self.used < self.share


@dataclass
class _Sent:
    #: End of the time in which each request counts, by its id.
    counted_until: dict = field(default_factory=dict)


class ColdAllowance(Policy):
    """Policy that divides what a cold server may get among the entries by rank.

    Of ``bound`` requests, the entry of rank r among n has one for each of the numbers
    r, r + n, r + 2n, ... below ``bound``. A larger n and a higher r never give more, so
    that the shares of entries with different lists stay within the bound together, as
    long as each list has all entries that send.

    Requests are counted by the time of their arrival, which the sender doesn't know:
    links delay them differently. A request counts from its assignment until ``window``
    after its response has begun, or until ``window`` and ``margin`` after its last byte
    was written.

    :param window: length of the bound's window, in seconds.
    :param margin: longest time in which a written request arrives, in seconds. The
        default covers three lost packets in a row, which are sent again after 0.2, 0.4
        and 0.8 s, or a pause of the server's machine, and a full send queue of 64 KiB
        on a link of 5 Mbit/s, which takes 0.1 s.
    """

    def __init__(self, *, window=1.0, margin=2.0):
        self.window = window
        self.margin = margin

    def reset(self):
        """Check the arguments and clear all servers."""
        if self.window <= 0 or self.margin < 0:
            raise SettingError(
                f"window is {self.window!r} and margin {self.margin!r}, but must be "
                "above 0 and at least 0",
                remedy="set window above 0 and margin to 0 or more",
            )
        self.servers_ = {}
        return self

    def observe(self, event, now):
        """Record an event of a request.

        :param event: a :class:`RequestTaken`, :class:`RequestWritten`,
            :class:`RequestArrived`, :class:`RequestDropped` or :class:`RequestOver`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, RequestTaken):
            sent = self.servers_.setdefault(event.server, _Sent())
            sent.counted_until[event.request] = math.inf
            return
        sent = self.servers_.get(event.server)
        until = sent and sent.counted_until.get(event.request)
        if until is None:
            return
        if isinstance(event, RequestDropped):
            del sent.counted_until[event.request]
        elif isinstance(event, RequestArrived):
            until = min(until, now + self.window)
            sent.counted_until[event.request] = until
        else:
            until = min(until, now + self.window + self.margin)
            sent.counted_until[event.request] = until

    def decide(self, query, now):
        """Answer an :class:`AllowanceQuery`.

        :param query: an :class:`AllowanceQuery`.
        :param now: monotonic time, in seconds.
        :return: an :class:`Allowance`, true if a request may be sent now.
        """
        share = get_share(query.bound, query.rank, query.count)
        sent = self.servers_.get(query.server)
        if sent is None:
            return Allowance(share=share, used=0)
        ends = [end for end in sent.counted_until.values() if end > now]
        seconds = min(ends) - now if ends and share else math.inf
        return Allowance(share=share, used=len(ends), seconds=seconds)

    def tick(self, now):
        """Forget the requests that count no longer.

        :param now: monotonic time, in seconds.
        """
        for server, sent in list(self.servers_.items()):
            for request, end in list(sent.counted_until.items()):
                if end <= now:
                    del sent.counted_until[request]
            if not sent.counted_until:
                del self.servers_[server]


def get_share(bound, rank, count):
    """Return the requests of an entry among those that a server may get.

    :param bound: requests of all entries.
    :param rank: rank of the entry, from 0, or ``None`` if it is unknown.
    :param count: number of entries.
    """
    if rank is None or rank >= bound:
        return 0
    return (bound - rank + count - 1) // count
