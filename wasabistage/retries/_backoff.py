"""Backoff and the retry budget."""

from wasabistage.exceptions import SettingError


def check_params(policy):
    """Check the arguments that every policy with a budget and backoff takes.

    :param policy: a retry policy.
    :raises SettingError: if an argument is out of range.
    """
    if policy.max_attempts < 1 or policy.max_saved < 1:
        raise SettingError(
            "max_attempts or max_saved is below 1", remedy="set both to 1 or more"
        )
    delays = (policy.base_delay, policy.max_delay)
    if min(policy.ratio, policy.floor, *delays) < 0:
        raise SettingError(
            "a rate or delay of the retry policy is negative",
            remedy="set ratio, floor, base_delay and max_delay to 0 or more",
        )


def backoff_delay(attempts, draw, base, longest):
    """Return an exponential delay with full jitter.

    :param attempts: attempts made so far, 1 or more.
    :param draw: a seeded random number from 0 to 1.
    :param base: bound of the first delay, in seconds.
    :param longest: bound of every delay, in seconds.
    :return: delay, in seconds.
    """
    exponent = min(attempts - 1, 30)
    return draw * min(longest, base * 2**exponent)


class RetryBudget:
    """Retries allowed as a share of fresh requests, above a small floor.

    :param ratio: retries earned by one fresh request.
    :param floor: retries earned in a second without any.
    :param most: retries that may be saved up.
    """

    __slots__ = ("ratio", "floor", "most", "saved", "at")

    def __init__(self, ratio, floor, most):
        self.ratio = ratio
        self.floor = floor
        self.most = most
        self.saved = 1.0
        self.at = None

    def earn(self, now):
        """Take in a fresh request.

        :param now: monotonic time, in seconds.
        """
        self.advance(now)
        self.saved = min(self.most, self.saved + self.ratio)

    def spend(self, now):
        """Take one retry if there is one.

        :param now: monotonic time, in seconds.
        :return: whether the retry is allowed.
        """
        self.advance(now)
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

    def advance(self, now):
        """Add what the floor has earned since the last call.

        :param now: monotonic time, in seconds.
        """
        passed = now - self.at if self.at is not None else 0.0
        self.at = now
        self.saved = min(self.most, self.saved + max(0.0, passed) * self.floor)
