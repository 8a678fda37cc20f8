"""A retry budget that several entries share without asking each other."""

from collections import deque

from wasabistage.exceptions import SettingError


class WindowBudget:
    """Repeats that one entry may send to a service within a sliding window.

    All entries together may repeat ``ratio`` times their requests plus ``extra`` in
    any window. Each one earns ``ratio`` for its own requests and takes an equal part
    of the extra, so that no message is needed and a cut-off entry can't overdraw.

    :param ratio: repeats per request.
    :param extra: repeats that all entries share besides.
    :param window: length of the window, in seconds.
    :param share: part of what is allowed that is used, since windows of different
        entries don't begin together.
    """

    def __init__(self, *, ratio, extra, window, share=0.8):
        self.ratio = ratio
        self.extra = extra
        self.window = window
        self.share = share
        if not 0 < share <= 1 or min(ratio, extra) < 0 or window <= 0:
            raise SettingError(
                "the retry budget is out of range",
                remedy="set ratio and extra to 0 or more, window above 0",
            )
        self.requests = deque()
        self.repeats = deque()

    def earn(self, now):
        """Take in a first attempt."""
        self.requests.append(now)
        self._expire(now)

    def left(self, entries, now):
        """Return the repeats that are left to this entry.

        :param entries: number of entries that share the extra.
        :param now: monotonic time, in seconds.
        """
        self._expire(now)
        allowed = self.ratio * len(self.requests) + self.extra / max(1, entries)
        return self.share * allowed - len(self.repeats)

    def spend(self, entries, now):
        """Take one repeat if there is one; return whether there was."""
        if self.left(entries, now) < 1.0:
            return False
        self.repeats.append(now)
        return True

    def _expire(self, now):
        for moments in (self.requests, self.repeats):
            while moments and moments[0] < now - self.window:
                moments.popleft()
