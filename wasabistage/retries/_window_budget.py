"""Retry budget that entries share without exchanging messages."""

from collections import deque

from wasabistage.exceptions import SettingError


class WindowBudget:
    """Retries that one entry may send to a service within a sliding window.

    In any window, all entries together may send ``ratio`` retries per request plus
    ``extra`` retries. Each entry counts its own requests and takes an equal share of
    ``extra``, so that they need no messages. The bound holds as long as no entry
    divides by less than the number of entries that run. An entry that doesn't know it,
    or may have spent its budget before it was restarted, takes nothing of ``extra`` and
    only a part of what the other entries leave of ``ratio``.

    :param ratio: retries per request.
    :param extra: retries in a window, besides those for requests, that all entries
        share.
    :param window: length of the window, in seconds.
    :param usable_fraction: fraction of its share of ``extra`` that an entry uses. The
        default is below 1, because the windows of different entries don't begin at
        the same time.
    :param request_fraction: fraction of the retries per request that an entry uses.
    :param restart_fraction: the same while the number of entries is unknown. What the
        processes of an entry use in one window adds up to both fractions at most, since
        each counts the requests of its own.
    :raises SettingError: if an argument is out of range.
    """

    def __init__(
        self,
        *,
        ratio,
        extra,
        window,
        usable_fraction=0.8,
        request_fraction=0.6,
        restart_fraction=0.3,
    ):
        self.ratio = ratio
        self.extra = extra
        self.window = window
        self.usable_fraction = usable_fraction
        self.request_fraction = request_fraction
        self.restart_fraction = restart_fraction
        if min(request_fraction, restart_fraction) < 0 or (
            request_fraction + restart_fraction > 1
        ):
            raise SettingError(
                f"the retry budget has request_fraction {request_fraction} and "
                f"restart_fraction {restart_fraction}; both must be 0 or more, and "
                "their sum at most 1",
                remedy="lower one of them",
            )
        if not 0 < usable_fraction <= 1 or min(ratio, extra) < 0 or window <= 0:
            raise SettingError(
                f"the retry budget has ratio {ratio}, extra {extra}, window {window} "
                f"and usable_fraction {usable_fraction}; ratio and extra must be 0 or "
                "more, window above 0, usable_fraction above 0 and at most 1",
                remedy="set ratio and extra to 0 or more, window above 0, "
                "usable_fraction to a value above 0 and at most 1",
            )
        self.request_times = deque()
        self.retry_times = deque()
        #: Retries that are allowed and not sent yet.
        self.pending = 0

    def record_request(self, now):
        """Record the first attempt of a request.

        :param now: monotonic time, in seconds.
        """
        self.request_times.append(now)
        self._expire(now)

    def get_remaining(self, entries, now):
        """Return the number of retries that this entry may still send.

        :param entries: number of entries that share ``extra``, or ``None`` if unknown.
        :param now: monotonic time, in seconds.
        :return: number of retries; may be a fraction, and is negative if requests
            that allowed retries have left the window before those retries.
        """
        self._expire(now)
        per_request = self.ratio * len(self.request_times)
        taken = len(self.retry_times) + self.pending
        if entries is None:
            return self.restart_fraction * per_request - taken
        share = self.extra / max(1, entries)
        allowed = self.request_fraction * per_request + self.usable_fraction * share
        return allowed - taken

    def acquire(self, entries, now):
        """Take one retry if one remains. It counts from now on, until it is dropped.

        :param entries: number of entries that share ``extra``, or ``None`` if unknown.
        :param now: monotonic time, in seconds.
        :return: whether the retry is allowed.
        """
        if self.get_remaining(entries, now) < 1.0:
            return False
        self.pending += 1
        return True

    def record_sent(self, now):
        """Record that an acquired retry was sent; its window begins.

        :param now: monotonic time, in seconds.
        """
        self.pending = max(0, self.pending - 1)
        self.retry_times.append(now)

    def drop(self):
        """Give back an acquired retry that will not be sent."""
        self.pending = max(0, self.pending - 1)

    def _expire(self, now):
        for times in (self.request_times, self.retry_times):
            while times and times[0] < now - self.window:
                times.popleft()
