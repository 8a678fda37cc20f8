"""Cuts a stream of server-sent events between whole events."""

ID_FIELD = b"id:"


class EventSplitter:
    """Holds back the begun event of a stream.

    Only whole events are passed on, so that a stream that breaks off can go on at
    another server after the last whole one.
    """

    def __init__(self):
        self.held = b""
        self.last_id = ""
        self.event_count = 0

    def feed(self, data):
        """Take bytes of the stream.

        :param data: bytes.
        :return: the bytes up to the end of the last whole event, maybe empty.
        """
        self.held += data
        end = max(self._end(b"\n\n"), self._end(b"\r\n\r\n"))
        if end <= 0:
            return b""
        whole, self.held = self.held[:end], self.held[end:]
        self._note(whole)
        return whole

    def _end(self, mark):
        at = self.held.rfind(mark)
        return at + len(mark) if at >= 0 else 0

    def _note(self, whole):
        for line in whole.splitlines():
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.event_count += 1

    def discard_incomplete(self):
        """Forget a begun event, after the stream broke off."""
        self.held = b""

    def flush(self):
        """Return what is held at the end of a complete stream."""
        flush, self.held = self.held, b""
        return flush
