"""Backoff and the retry budget."""

from wasabistage.exceptions import SettingError


def check_params(policy):
    """Check the arguments that every policy with a budget and backoff takes.

    :param policy: a retry policy.
    :raises SettingError: if an argument is out of range.
    """
    if policy.max_attempts < 1 or policy.max_saved < 1:
        raise SettingError(
            f"max_attempts is {policy.max_attempts} and max_saved is "
            f"{policy.max_saved}; neither may be below 1",
            remedy="set both to 1 or more",
        )
    delays = (policy.base_delay, policy.max_delay)
    if min(policy.ratio, policy.floor, *delays) < 0:
        raise SettingError(
            f"ratio is {policy.ratio}, floor {policy.floor}, base_delay "
            f"{policy.base_delay} and max_delay {policy.max_delay}; none may be "
            "negative",
            remedy="set ratio, floor, base_delay and max_delay to 0 or more",
        )


def compute_backoff_delay(attempts, draw, base_delay, max_delay):
    """Compute an exponential delay with full jitter.

    :param attempts: attempts made so far, 1 or more.
    :param draw: a seeded random number from 0 to 1.
    :param base_delay: upper bound of the first delay, in seconds.
    :param max_delay: upper bound of every delay, in seconds.
    :return: delay, in seconds.
    """
    exponent = min(attempts - 1, 30)
    return draw * min(max_delay, base_delay * 2**exponent)


class RetryBudget:
    """Token bucket that limits retries to a share of the first attempts.

    A first attempt adds a fraction of a retry to the balance; so does the passing
    of time, to allow a few retries without traffic.

    :param retries_per_request: retries added by one first attempt.
    :param retries_per_second: retries added in one second.
    :param max_balance: upper bound of the balance, in retries.
    """

    __slots__ = (
        "retries_per_request",
        "retries_per_second",
        "max_balance",
        "balance",
        "updated_at",
    )

    def __init__(self, retries_per_request, retries_per_second, max_balance):
        self.retries_per_request = retries_per_request
        self.retries_per_second = retries_per_second
        self.max_balance = max_balance
        self.balance = 1.0
        self.updated_at = None

    def record_request(self, now):
        """Record a first attempt.

        :param now: monotonic time, in seconds.
        """
        self.refill(now)
        self.balance = min(self.max_balance, self.balance + self.retries_per_request)

    def acquire(self, now):
        """Take one retry from the balance if it holds one.

        :param now: monotonic time, in seconds.
        :return: whether the retry is allowed.
        """
        self.refill(now)
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        return True

    def refill(self, now):
        """Add the retries for the time since the last call.

        :param now: monotonic time, in seconds.
        """
        elapsed = now - self.updated_at if self.updated_at is not None else 0.0
        self.updated_at = now
        self.balance = min(
            self.max_balance,
            self.balance + max(0.0, elapsed) * self.retries_per_second,
        )
