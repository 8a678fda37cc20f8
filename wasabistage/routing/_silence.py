"""Detection of servers that stop answering while requests are open.

If a server loses power or its network links under load, its connections stay open, but
no data arrives. Without detection, its requests wait until their callers give up.
"""

from dataclasses import dataclass, field

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class RequestSent:
    """A request was sent to a server.

    :param server: id of the server.
    :param request: id of the attempt.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class BytesReceived:
    """Bytes of an answer arrived from a server.

    :param server: id of the server.
    :param request: id of the attempt to which the bytes belong.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class PeerBytesReceived:
    """Another entry received bytes from a server; observed with the time of that.

    :param server: id of the server.
    :param is_near: whether the other entry is in the own failure domain.
    """

    server: str
    is_near: bool = True


@dataclass(frozen=True, kw_only=True)
class RequestEnded:
    """An attempt ended, successfully or not.

    :param server: id of the server.
    :param request: id of the attempt.
    """

    server: str
    request: str


@dataclass(frozen=True, kw_only=True)
class SilenceQuery:
    """Question whether a server is silent.

    :param server: id of the server.
    """

    server: str


@dataclass
class _ServerActivity:
    last_byte_at: float = float("-inf")
    far_byte_at: float = float("-inf")
    silent_until: float = float("-inf")
    open_requests: dict = field(default_factory=dict)
    streaming_requests: set = field(default_factory=set)


class SilenceDetector(Policy):
    """Detector of silent servers by the last byte received on any of their connections.

    A server that streams answers sends bytes several times a second, so its silence is
    detected soon. A server that has not begun any answer may be computing a prompt, and
    has a longer limit.

    :param stream_limit: longest time without a byte while a server streams answers, in
        seconds.
    :param first_limit: longest time without a byte while a server streams no answer,
        counted from the last byte or from the dispatch of the oldest open request,
        whichever is later, in seconds.
    :param far_limit: the same two limits for a server from which entries of other
        failure domains receive bytes: it works, unless the path to it is cut.
    :param pause_limit: longest time between two ticks, in seconds. A longer time means
        that this process itself was suspended, and does not count as silence.
    :param hold: time for which a server counts as silent after a tick last found it
        silent, in seconds, unless bytes arrive from it.
    """

    def __init__(
        self,
        *,
        stream_limit=0.8,
        first_limit=1.5,
        far_limit=3.0,
        pause_limit=0.4,
        hold=1.0,
    ):
        self.stream_limit = stream_limit
        self.first_limit = first_limit
        self.far_limit = far_limit
        self.pause_limit = pause_limit
        self.hold = hold

    def reset(self):
        """Check the arguments and clear all servers."""
        if min(self.stream_limit, self.first_limit, self.pause_limit) <= 0:
            raise SettingError(
                "stream_limit, first_limit and pause_limit must be above 0, but are "
                f"{self.stream_limit!r}, {self.first_limit!r} and "
                f"{self.pause_limit!r}",
                remedy="set all three to a value above 0",
            )
        self.servers_ = {}
        self.last_tick_at_ = None
        return self

    def observe(self, event, now):
        """Record an event.

        :param event: a :class:`RequestSent`, :class:`BytesReceived`,
            :class:`PeerBytesReceived` or :class:`RequestEnded`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, PeerBytesReceived):
            self._record_heard(event, now)
            return
        activity = self.servers_.setdefault(event.server, _ServerActivity())
        if isinstance(event, RequestSent):
            activity.open_requests[event.request] = now
        elif isinstance(event, BytesReceived):
            activity.last_byte_at = now
            activity.silent_until = float("-inf")
            activity.streaming_requests.add(event.request)
        else:
            activity.open_requests.pop(event.request, None)
            activity.streaming_requests.discard(event.request)
            if not activity.open_requests and now >= activity.silent_until:
                del self.servers_[event.server]

    def _record_heard(self, event, now):
        activity = self.servers_.get(event.server)
        if activity is None:
            return
        activity.far_byte_at = max(activity.far_byte_at, now)
        if event.is_near and now > activity.last_byte_at:
            activity.last_byte_at = now
            activity.silent_until = float("-inf")

    def decide(self, query, now):
        """Return whether a server is silent.

        :param query: a :class:`SilenceQuery`.
        :param now: monotonic time, in seconds.
        :return: whether the server is silent.
        """
        activity = self.servers_.get(query.server)
        return activity is not None and now < activity.silent_until

    def tick(self, now):
        """Find the silent servers; must be called several times a second.

        :param now: monotonic time, in seconds.
        :return: list of the ids of the servers found silent by this call.
        """
        paused = self.last_tick_at_ is not None and (
            now - self.last_tick_at_ > self.pause_limit
        )
        self.last_tick_at_ = now
        silent = []
        for server, activity in list(self.servers_.items()):
            if paused:
                activity.last_byte_at = now
            elif self._is_silent(activity, now):
                activity.silent_until = now + self.hold
                silent.append(server)
            elif not activity.open_requests and now >= activity.silent_until:
                del self.servers_[server]
        return silent

    def _is_silent(self, activity, now):
        if not activity.open_requests:
            return False
        is_streaming = bool(activity.streaming_requests)
        limit = self.stream_limit if is_streaming else self.first_limit
        if now - activity.far_byte_at <= limit:
            limit = max(limit, self.far_limit)
        if is_streaming:
            return now - activity.last_byte_at > limit
        oldest = min(activity.open_requests.values())
        return now - max(activity.last_byte_at, oldest) > limit
