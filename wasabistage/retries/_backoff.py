"""Backoff and the retry budget."""

from wasabistage.exceptions import SettingError


def check_budget_params(policy):
    """Check the arguments that every policy with a budget and backoff takes.

    :param policy: a retry policy.
    :raises SettingError: if an argument is out of range.
    """
    if policy.max_attempts < 1 or policy.max_saved < 1:
        raise SettingError(
            f"the retry policy has max_attempts {policy.max_attempts} and max_saved "
            f"{policy.max_saved}; both must be 1 or more",
            remedy="set both to 1 or more",
        )
    delays = (policy.base_delay, policy.max_delay)
    if min(policy.ratio, policy.floor, *delays) < 0:
        raise SettingError(
            f"the retry policy has ratio {policy.ratio}, floor {policy.floor}, "
            f"base_delay {policy.base_delay} and max_delay {policy.max_delay}; all "
            "must be 0 or more",
            remedy="set ratio, floor, base_delay and max_delay to 0 or more",
        )


def compute_backoff_delay(attempts, draw, base_delay, max_delay):
    """Compute an exponential delay with full jitter.

    :param attempts: attempts made so far, 1 or more.
    :param draw: random number from 0 to 1, drawn from a seeded generator.
    :param base_delay: upper bound of the first delay, in seconds.
    :param max_delay: upper bound of every delay, in seconds.
    :return: delay, in seconds.
    """
    # Bounded, because a large power of 2 exceeds the range of a float.
    exponent = min(attempts - 1, 30)
    return draw * min(max_delay, base_delay * 2**exponent)


class RetryBudget:
    """Token bucket that limits retries to a share of the first attempts.

    The balance starts at 1 retry. Every first attempt adds a fraction of a retry to
    it. Time adds to it, too, so that a few retries are possible without traffic.

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
        """Record the first attempt of a request.

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
