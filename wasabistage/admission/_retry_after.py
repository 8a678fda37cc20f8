"""Retry-after times that keep refused callers from retrying all at once."""

MIN_RETRY_AFTER_SECONDS = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0
#: Fractional part of the golden ratio.
GOLDEN_RATIO_FRACTION = 0.6180339887498949


class RetryAfterSpreader:
    """Generator of retry-after times between one and two times the time needed.

    The multiples of the golden ratio modulo 1 fill the interval evenly for any
    number of callers, without a random source.
    """

    def __init__(self):
        self.count = 0

    def spread(self, seconds):
        """Return the retry-after time for the next refused caller.

        :param seconds: time after which a retry can succeed.
        :return: seconds, from ``MIN_RETRY_AFTER_SECONDS`` to
            ``MAX_RETRY_AFTER_SECONDS``.
        """
        self.count += 1
        factor = 1.0 + self.count * GOLDEN_RATIO_FRACTION % 1.0
        return min(
            MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, seconds) * factor
        )
