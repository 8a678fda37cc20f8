"""Bounded buffers for the streams of one entry instance."""

from collections import deque
from dataclasses import dataclass, field

from wasabistage.exceptions import OverloadError, SettingError
from wasabistage.utils import Sentinel

NO_STREAM = Sentinel(
    "NO_STREAM", "the account has no such stream at this entry instance"
)
TRIMMED = Sentinel(
    "TRIMMED", "the items were discarded; request them from the engine from position 0"
)
AHEAD = Sentinel("AHEAD", "the position is after the last item")
RETRY_AFTER_SECONDS = 1.0


@dataclass
class StreamBuffer:
    """Items of one stream that a reader may still request.

    :param first_position: index of the first buffered item.
    :param items: bytes of the buffered items.
    :param buffered_bytes: size of the buffered items, in bytes.
    :param unread_bytes: size of the items that were not read, in bytes.
    :param read_position: index of the first item that was not read.
    :param end_mark: end mark, or ``None`` while the stream runs.
    :param last_used_at: monotonic time of the last use, in seconds.
    """

    first_position: int = 0
    items: deque = field(default_factory=deque)
    buffered_bytes: int = 0
    unread_bytes: int = 0
    read_position: int = 0
    end_mark: object = None
    last_used_at: float = 0.0


@dataclass(frozen=True, kw_only=True)
class StreamRead:
    """Decision: the items that a reader gets.

    :param position: index of the first item.
    :param items: the items' bytes.
    :param end_mark: the end mark if no item follows, else ``None``.
    """

    position: int
    items: tuple[bytes, ...]
    end_mark: object = None


class StreamTable:
    """Table of streams by (client account, stream id).

    No account can read the stream of another account. With ``max_streams`` streams,
    the table refuses a new one. Once a stream has ``max_unread_bytes`` that its
    caller hasn't read, ``append`` returns ``False``. The task that appends the items
    then stops reading from the engine until the caller has read. Items already read
    are kept for reconnects, up to ``max_read_bytes``; beyond that, the oldest are
    discarded.

    :param max_streams: upper bound of concurrent streams.
    :param max_unread_bytes: unread bytes of one stream at which ``append``
        returns ``False``.
    :param max_read_bytes: upper bound of the read bytes of one stream that are kept
        for a reconnect.
    :param idle_timeout: time without use after which a stream is closed, in seconds.
    """

    def __init__(
        self,
        max_streams=2048,
        max_unread_bytes=65536,
        max_read_bytes=16384,
        idle_timeout=30.0,
    ):
        self.max_streams = max_streams
        self.max_unread_bytes = max_unread_bytes
        self.max_read_bytes = max_read_bytes
        self.idle_timeout = idle_timeout

    def reset(self):
        """Check the arguments and remove every stream.

        :return: the table itself.
        :raises SettingError: if an argument is out of range.
        """
        if min(self.max_streams, self.max_unread_bytes, self.idle_timeout) <= 0:
            raise SettingError(
                f"the stream table has max_streams {self.max_streams}, "
                f"max_unread_bytes {self.max_unread_bytes} and idle_timeout "
                f"{self.idle_timeout}; all must be above 0",
                remedy="set all three above 0, or leave them at their defaults",
            )
        self.streams_ = {}
        return self

    def open(self, account, stream_id, now, position=0):
        """Add an empty stream; it replaces any stream with the same key.

        :param account: name of the client account.
        :param stream_id: id of the stream.
        :param now: monotonic time, in seconds.
        :param position: index of the first item that will be appended.
        :raises OverloadError: if the table is full.
        """
        key = (account, stream_id)
        if key not in self.streams_ and len(self.streams_) >= self.max_streams:
            raise OverloadError(
                "this entry instance carries as many streams as it may",
                remedy="use the next address of the answer",
                retry_after=RETRY_AFTER_SECONDS,
            )
        self.streams_[key] = StreamBuffer(
            first_position=position, read_position=position, last_used_at=now
        )

    def append(self, account, stream_id, data, now):
        """Add the next item of a stream.

        :param account: name of the client account.
        :param stream_id: id of the stream.
        :param data: the item's bytes.
        :param now: monotonic time, in seconds.
        :return: whether to continue reading from the engine, or :data:`NO_STREAM`.
        """
        stream = self.streams_.get((account, stream_id))
        if stream is None:
            return NO_STREAM
        stream.items.append(data)
        stream.buffered_bytes += len(data)
        stream.unread_bytes += len(data)
        stream.last_used_at = now
        return stream.unread_bytes < self.max_unread_bytes

    def record_end(self, account, stream_id, end_mark, now):
        """Record the end mark of a stream.

        :param account: name of the client account.
        :param stream_id: id of the stream.
        :param end_mark: the end mark.
        :param now: monotonic time, in seconds.
        """
        stream = self.streams_.get((account, stream_id))
        if stream is not None:
            stream.end_mark = end_mark
            stream.last_used_at = now

    def read(self, account, stream_id, position, now):
        """Return the items from a position on.

        :param account: name of the client account.
        :param stream_id: id of the stream.
        :param position: index of the first item to return.
        :param now: monotonic time, in seconds.
        :return: a :class:`StreamRead`, :data:`NO_STREAM`, :data:`TRIMMED` or
            :data:`AHEAD`.
        """
        stream = self.streams_.get((account, stream_id))
        if stream is None:
            return NO_STREAM
        if position < stream.first_position:
            return TRIMMED
        count = stream.first_position + len(stream.items) - position
        if count < 0:
            return AHEAD
        stream.last_used_at = now
        # Most reads return only the newest items, and a deque is indexed in constant
        # time only near its ends.
        items = tuple(stream.items[-index] for index in range(count, 0, -1))
        # A read returns all items from ``position`` on. Unread items before it count
        # as read, too.
        stream.unread_bytes = 0
        stream.read_position = position + count
        self._trim(stream)
        return StreamRead(position=position, items=items, end_mark=stream.end_mark)

    def close(self, account, stream_id):
        """Remove a stream.

        :param account: name of the client account.
        :param stream_id: id of the stream.
        """
        self.streams_.pop((account, stream_id), None)

    def find_idle(self, now):
        """Return the keys of streams unused for longer than ``idle_timeout``.

        :param now: monotonic time, in seconds.
        :return: a list of (account, stream id); their tasks are to be cancelled and
            the streams closed.
        """
        return [
            key
            for key, stream in self.streams_.items()
            if now - stream.last_used_at > self.idle_timeout
        ]

    def _trim(self, stream):
        while stream.buffered_bytes - stream.unread_bytes > self.max_read_bytes:
            stream.buffered_bytes -= len(stream.items.popleft())
            stream.first_position += 1
