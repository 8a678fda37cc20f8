"""Structured logs whose writing never blocks the process."""

import os
from abc import ABC, abstractmethod

import msgspec

MAX_LINE_BYTES = 4000  # bytes; below what a pipe takes in one piece
STANDARD_OUTPUT = 1  # file descriptor


class LineLog(ABC):
    """Sink of log lines, one JSON object each."""

    @abstractmethod
    def write(self, event, **fields):
        """Write one line.

        :param event: what happened, a short constant name.
        :param fields: the inputs of the decision and its outcome.
        """


class MemoryLineLog(LineLog):
    """Lines kept in memory, for tests."""

    def __init__(self):
        self.lines = []

    def write(self, event, **fields):
        """See :meth:`LineLog.write`."""
        self.lines.append({"event": event, **fields})


class BoundedLineLog(LineLog):
    """Lines on a file descriptor, at most so many a second.

    A line beyond the rate, or for which the reader leaves no room, is dropped and
    counted; the count goes out with the next line that passes.

    :param instance: name of the instance, written into every line.
    :param timer: a :class:`wasabistage.timing.TimerService`.
    :param lines_per_second: lines that may be written in the long run.
    :param burst: lines that may be written at once.
    :param descriptor: file descriptor.
    """

    def __init__(
        self,
        instance,
        timer,
        *,
        lines_per_second=200.0,
        burst=400.0,
        descriptor=STANDARD_OUTPUT,
    ):
        self.instance = instance
        self.timer = timer
        self.lines_per_second = lines_per_second
        self.burst = burst
        self.descriptor = descriptor
        self.allowed = burst
        self.filled_at = timer.now()
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, event, **fields):
        """See :meth:`LineLog.write`."""
        now = self.timer.now()
        earned = (now - self.filled_at) * self.lines_per_second
        self.allowed = min(self.burst, self.allowed + earned)
        self.filled_at = now
        if self.allowed < 1.0:
            self.dropped += 1
            return
        line = {"time": round(self.timer.wall_time(), 3), "instance": self.instance}
        line["event"] = event
        if self.dropped:
            line["dropped_lines"] = self.dropped
        line.update(fields)
        data = msgspec.json.encode(line, enc_hook=str)
        if len(data) > MAX_LINE_BYTES:
            data = msgspec.json.encode({**line, **shorten(fields)}, enc_hook=str)
        try:
            os.write(self.descriptor, data + b"\n")
        except OSError:
            # A reader that is slow or gone must not stop the process.
            self.dropped += 1
            return
        self.allowed -= 1.0
        self.dropped = 0


def shorten(fields):
    """Return fields whose long texts are cut."""
    return {name: str(value)[:200] for name, value in fields.items()}
