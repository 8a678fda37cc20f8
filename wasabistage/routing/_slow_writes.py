"""Writes to callers that read slowly, while the server's response stays unread.

Pattern: callers request streams and stop reading. The entry then reads nothing more
from their servers, takes the silence for the servers', and stops using them; a server
cuts a response that stays unread for some seconds, which counts as its failure.
"""

import math
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class WriteBegun:
    """A write to a caller has begun; nothing more is read from its server meanwhile.

    :param request: id of the attempt.
    :param server: id of the server.
    :param has_unread: whether a part of the response is still to be read. The caller is
        ended only then: otherwise it harms no server, and its deadline bounds it.
    """

    request: str
    server: str
    has_unread: bool = True


@dataclass(frozen=True, kw_only=True)
class WriteEnded:
    """A write to a caller has ended.

    :param request: id of the attempt.
    """

    request: str


@dataclass(frozen=True, kw_only=True)
class PauseSilence:
    """The silence of a server must not be judged by this attempt.

    :param request: id of the attempt.
    :param server: id of the server.
    """

    request: str
    server: str


@dataclass(frozen=True, kw_only=True)
class EndCaller:
    """The caller of an attempt has not read for too long.

    :param request: id of the attempt.
    """

    request: str


@dataclass
class _Write:
    server: str
    begun_at: float
    has_unread: bool
    is_paused: bool = False


class SlowWritePolicy(Policy):
    """Policy that finds the writes that callers hold up.

    :param pause_after: time after which a write counts as held up, in seconds. It is
        below the least time after which a server counts as silent.
    :param end_after: time after which the caller is ended, in seconds; infinite for
        never.
    """

    def __init__(self, *, pause_after=0.5, end_after=math.inf):
        self.pause_after = pause_after
        self.end_after = end_after

    def reset(self):
        """Check the arguments and forget all writes.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if not 0.0 < self.pause_after <= self.end_after:
            raise SettingError(
                f"pause_after is {self.pause_after!r} and end_after {self.end_after!r}",
                remedy="set pause_after above 0, and end_after to no less",
            )
        self.writes_ = {}
        return self

    def observe(self, event, now):
        """Record a :class:`WriteBegun` or a :class:`WriteEnded`.

        :param event: one of them.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, WriteBegun):
            write = _Write(event.server, now, event.has_unread)
            self.writes_[event.request] = write
        elif isinstance(event, WriteEnded):
            self.writes_.pop(event.request, None)

    def decide(self, query, now):
        """Return whether silence was paused for an attempt whose write is open.

        :param query: id of the attempt.
        :param now: monotonic time, in seconds; not used.
        """
        write = self.writes_.get(query)
        return write is not None and write.is_paused

    def tick(self, now):
        """Return what has become due; must be called several times a second.

        :param now: monotonic time, in seconds.
        :return: list of :class:`PauseSilence` and :class:`EndCaller`.
        """
        actions = []
        for request, write in self.writes_.items():
            age = now - write.begun_at
            if age >= self.pause_after and not write.is_paused:
                write.is_paused = True
                actions.append(PauseSilence(request=request, server=write.server))
            if age >= self.end_after and write.has_unread:
                actions.append(EndCaller(request=request))
        return actions
