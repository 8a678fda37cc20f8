"""Bytes of the requests that a server holds.

Pattern: a server reads slowly or works slowly while large requests keep coming. It
crashes if the requests that it holds exceed its memory, and its work goes to the next.
"""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class RequestBytesSent:
    """A request is being sent to a server, which holds it until it has answered.

    :param request: id of the attempt.
    :param server: id of the server.
    :param size: bytes of the request.
    """

    request: str
    server: str
    size: int


@dataclass(frozen=True, kw_only=True)
class RequestBytesReleased:
    """The attempt has ended.

    :param request: id of the attempt.
    """

    request: str


@dataclass(frozen=True, kw_only=True)
class RequestBytesQuery:
    """Question whether a server may hold another request.

    :param server: id of the server.
    :param size: bytes of the request.
    :param entries: number of entries that may send requests to the server.
    """

    server: str
    size: int
    entries: int = 1


class RequestBytesLimiter(Policy):
    """Policy that bounds the bytes that all entries together have open at a server.

    Each entry has an equal share, without communication. One request at a time may
    exceed it, so that each that the limits of callers allow can be served.

    :param limit: bytes that one server may hold; ``None`` for no bound.
    """

    def __init__(self, *, limit=None):
        self.limit = limit

    def reset(self):
        """Check the arguments and forget all requests.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if self.limit is not None and not self.limit > 0:
            raise SettingError(
                f"limit is {self.limit!r}, but must be above 0 or None",
                remedy="set limit above 0",
            )
        #: Server and size of each open request, and the bytes open at each server.
        self.requests_ = {}
        self.open_bytes_ = {}
        return self

    def observe(self, event, now):
        """Record a :class:`RequestBytesSent` or a :class:`RequestBytesReleased`.

        Requests without a body aren't kept.

        :param event: one of them.
        :param now: monotonic time, in seconds; not used.
        """
        if isinstance(event, RequestBytesSent):
            self._release(event.request)
            if event.size <= 0:
                return
            self.requests_[event.request] = event.server, event.size
            held = self.open_bytes_.get(event.server, 0)
            self.open_bytes_[event.server] = held + event.size
        elif isinstance(event, RequestBytesReleased):
            self._release(event.request)

    def _release(self, request):
        server, size = self.requests_.pop(request, ("", 0))
        if not server:
            return
        self.open_bytes_[server] -= size
        if not self.open_bytes_[server]:
            del self.open_bytes_[server]

    def decide(self, query, now):
        """Return whether a server may hold another request.

        :param query: a :class:`RequestBytesQuery`.
        :param now: monotonic time, in seconds; not used.
        """
        if self.limit is None:
            return True
        held = self.open_bytes_.get(query.server, 0)
        if not held or not query.size:
            return True
        return held + query.size <= self.limit / max(1, query.entries)
