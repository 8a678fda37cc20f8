"""Retry-after times that don't bring all refused callers back at once."""

MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 30.0
GOLDEN_RATIO = 0.6180339887498949


class RetryAfter:
    """Spreads retry-after times evenly from once to twice the time needed.

    Multiples of the golden ratio, taken modulo 1, fill the interval evenly however
    many there are, without a random source.
    """

    def __init__(self):
        self.count = 0

    def spread(self, seconds):
        """Return the time to tell the next refused caller.

        :param seconds: when a retry would make sense.
        :return: seconds, from ``MIN_RETRY_AFTER`` to ``MAX_RETRY_AFTER``.
        """
        self.count += 1
        factor = 1.0 + self.count * GOLDEN_RATIO % 1.0
        return min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, seconds) * factor)
