"""Bounded buffers of the streams that run through one entry instance."""

from collections import deque
from dataclasses import dataclass, field

from wasabistage.exceptions import OverloadError, SettingError
from wasabistage.utils import Sentinel

NO_STREAM = Sentinel("NO_STREAM", "this account has no such stream here")
TRIMMED = Sentinel("TRIMMED", "the items were dropped; ask the engine from position 0")
AHEAD = Sentinel("AHEAD", "the position lies beyond the items that exist")
RETRY_AFTER = 1.0  # seconds


@dataclass
class StreamBuffer:
    """Items of one stream that a reader may still ask for."""

    first: int = 0
    items: deque = field(default_factory=deque)
    size: int = 0
    unread: int = 0
    read_to: int = 0
    ended: object = None
    touched_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class StreamRead:
    """Decision: what a reader gets.

    :param position: index of the first item.
    :param items: the items' bytes.
    :param end: the end mark, once nothing is left after the items.
    """

    position: int
    items: tuple[bytes, ...]
    end: object = None


class StreamTable:
    """Streams by (client account, request id), so that no account sees another's.

    At ``max_streams`` a new stream is refused. A stream with ``max_unread`` bytes
    that its caller hasn't read makes ``append`` return ``False``: the task stops
    reading from the engine until the caller catches up. Items already read are kept
    for reconnects up to ``keep_read`` bytes, then the oldest are dropped.

    :param max_streams: streams at a time.
    :param max_unread: unread bytes of one stream above which reading pauses.
    :param keep_read: read bytes of one stream kept for a reconnect.
    :param idle_time: time without a touch after which a stream is closed, in seconds.
    """

    def __init__(
        self, max_streams=2048, max_unread=65536, keep_read=16384, idle_time=30.0
    ):
        self.max_streams = max_streams
        self.max_unread = max_unread
        self.keep_read = keep_read
        self.idle_time = idle_time

    def reset(self):
        """Check the arguments and forget every stream.

        :return: the table itself.
        :raises SettingError: if an argument is out of range.
        """
        if min(self.max_streams, self.max_unread, self.idle_time) <= 0:
            raise SettingError(
                "bounds of the stream table must be positive",
                remedy="leave them at their defaults",
            )
        self.streams_ = {}
        return self

    def open(self, account, request_id, now, position=0):
        """Add a stream.

        :param account: name of the client account.
        :param request_id: id of the request.
        :param now: monotonic time, in seconds.
        :param position: index of the first item that will be appended.
        :raises OverloadError: if the table is full.
        """
        key = (account, request_id)
        if key not in self.streams_ and len(self.streams_) >= self.max_streams:
            raise OverloadError(
                "this entry instance carries as many streams as it may",
                remedy="use the next address of the answer",
                retry_after=RETRY_AFTER,
            )
        self.streams_[key] = StreamBuffer(
            first=position, read_to=position, touched_at=now
        )

    def append(self, account, request_id, data, now):
        """Add the next item of a stream.

        :param account: name of the client account.
        :param request_id: id of the request.
        :param data: the item's bytes.
        :param now: monotonic time, in seconds.
        :return: whether to go on reading, or :data:`NO_STREAM`.
        """
        stream = self.streams_.get((account, request_id))
        if stream is None:
            return NO_STREAM
        stream.items.append(data)
        stream.size += len(data)
        stream.unread += len(data)
        stream.touched_at = now
        return stream.unread < self.max_unread

    def end(self, account, request_id, end, now):
        """Note the end mark of a stream.

        :param account: name of the client account.
        :param request_id: id of the request.
        :param end: the end mark.
        :param now: monotonic time, in seconds.
        """
        stream = self.streams_.get((account, request_id))
        if stream is not None:
            stream.ended = end
            stream.touched_at = now

    def read(self, account, request_id, position, now):
        """Return what follows a position.

        :param account: name of the client account.
        :param request_id: id of the request.
        :param position: index of the first wanted item.
        :param now: monotonic time, in seconds.
        :return: a :class:`StreamRead`, :data:`NO_STREAM`, :data:`TRIMMED` or
            :data:`AHEAD`.
        """
        stream = self.streams_.get((account, request_id))
        if stream is None:
            return NO_STREAM
        if position < stream.first:
            return TRIMMED
        wanted = stream.first + len(stream.items) - position
        if wanted < 0:
            return AHEAD
        stream.touched_at = now
        # From the end, since a reader mostly wants the newest few.
        items = tuple(stream.items[-index] for index in range(wanted, 0, -1))
        # A read goes to the end, and what it skips counts as read as well.
        stream.unread = 0
        stream.read_to = position + wanted
        self._trim(stream)
        return StreamRead(position=position, items=items, end=stream.ended)

    def close(self, account, request_id):
        """Drop a stream.

        :param account: name of the client account.
        :param request_id: id of the request.
        """
        self.streams_.pop((account, request_id), None)

    def expired(self, now):
        """Name the streams that nobody touched for ``idle_time``.

        :param now: monotonic time, in seconds.
        :return: a list of (account, request id); the task cancels and closes them.
        """
        return [
            key
            for key, stream in self.streams_.items()
            if now - stream.touched_at > self.idle_time
        ]

    def _trim(self, stream):
        while stream.size - stream.unread > self.keep_read:
            stream.size -= len(stream.items.popleft())
            stream.first += 1
