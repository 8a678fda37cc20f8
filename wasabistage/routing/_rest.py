"""Servers that have asked for a time without requests.

Pattern: a server turns requests away and says how long it wants none. Requests that are
sent meanwhile are turned away as well, and add to its load.
"""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class RestRequested:
    """A server asked for a time without requests.

    :param server: id of the server.
    :param incarnation: number of the server's process life.
    :param seconds: the time.
    """

    server: str
    incarnation: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class RestQuery:
    """Question how long a server wants no requests.

    :param server: id of the server.
    :param incarnation: number of the server's process life; another one has not asked.
    """

    server: str
    incarnation: int


class RestPolicy(Policy):
    """Policy that keeps to the times that servers ask for.

    :param max_seconds: longest time that is kept to, so that a wrong value costs no
        server for good, in seconds.
    :param max_servers: number of servers that are remembered.
    """

    def __init__(self, *, max_seconds=60.0, max_servers=4096):
        self.max_seconds = max_seconds
        self.max_servers = max_servers

    def reset(self):
        """Check the arguments and clear all servers.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if self.max_seconds <= 0 or self.max_servers < 1:
            raise SettingError(
                f"max_seconds is {self.max_seconds!r} and max_servers "
                f"{self.max_servers!r}, but must be above 0 and at least 1",
                remedy="set max_seconds above 0 and max_servers to 1 or more",
            )
        self.rests_ = {}
        return self

    def observe(self, event, now):
        """Record a :class:`RestRequested`; times that aren't above 0 are ignored.

        :param event: a :class:`RestRequested`.
        :param now: monotonic time, in seconds.
        """
        if not event.seconds > 0:
            return
        until = now + min(event.seconds, self.max_seconds)
        known = self.rests_.pop(event.server, None)
        if known is not None and known[0] == event.incarnation:
            until = max(until, known[1])
        self.rests_[event.server] = event.incarnation, until
        if len(self.rests_) > self.max_servers:
            del self.rests_[next(iter(self.rests_))]

    def decide(self, query, now):
        """Answer a :class:`RestQuery`.

        :param query: a :class:`RestQuery`.
        :param now: monotonic time, in seconds.
        :return: seconds for which the server wants no requests, 0 for none.
        """
        incarnation, until = self.rests_.get(query.server, (None, now))
        if incarnation != query.incarnation:
            return 0.0
        return max(0.0, until - now)
