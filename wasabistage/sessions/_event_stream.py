"""Splits a stream of server-sent events at the ends of events."""

ID_FIELD = b"id:"
MAX_EVENT_BYTES = 65536


class EventTooLongError(Exception):
    """An event of a stream has no end within its largest size."""


class EventSplitter:
    """Splitter that holds back an incomplete event at the end of the data.

    Only complete events are passed on, so that a stream that breaks off can resume
    at another server after the last complete event.

    :ivar last_id: id of the last complete event; empty if none had an id.
    :ivar event_count: number of complete events with an id.
    """

    def __init__(self):
        self.pending = b""
        self.last_id = ""
        self.event_count = 0

    def feed(self, data):
        """Add bytes of the stream.

        :param data: the next bytes of the stream.
        :return: the bytes up to the end of the last complete event; may be empty.
        :raises EventTooLongError: if more than ``MAX_EVENT_BYTES`` without the end of
            an event are held back.
        """
        self.pending += data
        end = max(self._find_end(b"\n\n"), self._find_end(b"\r\n\r\n"))
        if len(self.pending) - end > MAX_EVENT_BYTES:
            raise EventTooLongError(f"an event is longer than {MAX_EVENT_BYTES} bytes")
        if end <= 0:
            return b""
        complete, self.pending = self.pending[:end], self.pending[end:]
        self._record_ids(complete)
        return complete

    def _find_end(self, separator):
        start = self.pending.rfind(separator)
        return start + len(separator) if start >= 0 else 0

    def _record_ids(self, complete):
        for line in complete.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.event_count += 1

    def discard_incomplete(self):
        """Discard the incomplete event of a stream that broke off."""
        self.pending = b""

    def flush(self):
        """Return and discard the bytes held back, at the end of a complete stream."""
        pending, self.pending = self.pending, b""
        return pending

    @property
    def has_incomplete(self):
        """Whether an event is incomplete; blank lines between events are none."""
        return bool(self.pending.strip())
