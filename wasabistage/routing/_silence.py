"""Tells servers that fell silent under work from servers that are slow.

Pattern: a server loses power or its links under load. Its channels stay open, nothing
comes, and whatever was sent there waits until its caller gives up.
"""

from dataclasses import dataclass, field

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class WorkSent:
    """A request was sent to a server.

    :param server: id of the server.
    :param request: id of the attempt.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class BytesReceived:
    """Bytes of an answer came from a server.

    :param server: id of the server.
    :param request: id of the attempt that they belong to.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class WorkEnded:
    """An attempt ended, however it did.

    :param server: id of the server.
    :param request: id of the attempt.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class SilenceQuery:
    """Asks whether a server fell silent.

    :param server: id of the server.
    """

    server: str


@dataclass
class _Work:
    heard_at: float = float("-inf")
    silent_until: float = float("-inf")
    open: dict = field(default_factory=dict)
    answering: set = field(default_factory=set)


class SilenceDetector(Policy):
    """Judges by the last byte that any channel of a server brought.

    A server that streams answers is heard several times a second, so its silence shows
    soon; one that has not begun any may be busy, and gets longer.

    :param stream_limit: seconds without a byte while answers are under way.
    :param first_limit: seconds without a byte since the oldest unanswered request.
    :param pause_limit: seconds between two looks from which this process itself must
        have stood still.
    :param hold: seconds for which a silent server gets no work, once nothing waits
        for it any more.
    """

    def __init__(self, *, stream_limit=0.8, first_limit=1.5, pause_limit=0.4, hold=1.0):
        self.stream_limit = stream_limit
        self.first_limit = first_limit
        self.pause_limit = pause_limit
        self.hold = hold

    def reset(self):
        """Check the arguments and forget all servers."""
        if min(self.stream_limit, self.first_limit, self.pause_limit) <= 0:
            raise SettingError(
                "a limit of the silence detector is not positive",
                remedy="set stream_limit, first_limit and pause_limit above 0",
            )
        self.servers_ = {}
        self.looked_at_ = None
        return self

    def observe(self, event, now):
        """Take in a :class:`WorkSent`, :class:`BytesReceived` or :class:`WorkEnded`."""
        work = self.servers_.setdefault(event.server, _Work())
        if isinstance(event, WorkSent):
            work.open[event.request] = now
        elif isinstance(event, BytesReceived):
            work.heard_at = now
            work.silent_until = float("-inf")
            work.answering.add(event.request)
        else:
            work.open.pop(event.request, None)
            work.answering.discard(event.request)
            if not work.open and now >= work.silent_until:
                del self.servers_[event.server]

    def decide(self, query, now):
        """Tell whether a server is silent.

        :param query: a :class:`SilenceQuery`.
        :param now: monotonic time, in seconds.
        :return: a ``bool``.
        """
        work = self.servers_.get(query.server)
        return work is not None and now < work.silent_until

    def tick(self, now):
        """Judge every server; call it several times a second.

        :param now: monotonic time, in seconds.
        :return: list of the servers that are silent.
        """
        paused = self.looked_at_ is not None and (
            now - self.looked_at_ > self.pause_limit
        )
        self.looked_at_ = now
        silent = []
        for server, work in list(self.servers_.items()):
            if paused:
                work.heard_at = now
            elif self._is_silent(work, now):
                work.silent_until = now + self.hold
                silent.append(server)
            elif not work.open and now >= work.silent_until:
                del self.servers_[server]
        return silent

    def _is_silent(self, work, now):
        if not work.open:
            return False
        if work.answering:
            return now - work.heard_at > self.stream_limit
        oldest = min(work.open.values())
        return now - max(work.heard_at, oldest) > self.first_limit
