"""Retries under budgets that entries share without exchanging messages."""

from collections import OrderedDict

from wasabistage.exceptions import SettingError
from wasabistage.retries._messages import (
    ATTEMPTS_SPENT,
    BUDGET_SPENT,
    DEADLINE_TOO_NEAR,
    NO_SERVER,
    Failure,
    FirstAttemptSent,
    Retry,
    RetryDropped,
    RetrySent,
)
from wasabistage.retries._server_retries import BaseRetryPolicy
from wasabistage.retries._window_budget import WindowBudget

MAX_BUDGETS = 1024  # far above the number of services of the largest deployment


class WindowRetryPolicy(BaseRetryPolicy):
    """Policy that retries at once, within a budget for a sliding window.

    The route bounds the attempts of a request. An attempt that failed before it was
    sent takes nothing from the budget, so that a stopped server costs the request
    connection attempts but no retries. A retry may wait for a server for seconds after
    it was decided, so its window begins when it is sent.

    :param ratio: retries per request, of all entries together.
    :param extra: retries in a window, besides those for requests, that all entries
        share.
    :param window: length of the window, in seconds.
    :param max_connects: number of attempts that failed before they were sent, after
        which the request isn't retried.
    :param min_time_left: minimum time to the deadline for a retry, in seconds.
    """

    def __init__(self, *, ratio, extra, window, max_connects=4, min_time_left=0.005):
        self.ratio = ratio
        self.extra = extra
        self.window = window
        self.max_connects = max_connects
        self.min_time_left = min_time_left

    def reset(self):
        """Check the arguments and start with new budgets.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if self.max_connects < 1 or self.min_time_left < 0:
            raise SettingError(
                f"the retry policy has max_connects {self.max_connects} and "
                f"min_time_left {self.min_time_left}; max_connects must be 1 or more, "
                "min_time_left 0 or more",
                remedy="set max_connects to 1 or more, min_time_left to 0 or more",
            )
        # The constructor of WindowBudget checks ratio, extra and window.
        self._build_budget()
        self.budgets_ = OrderedDict()
        return self

    def _build_budget(self):
        return WindowBudget(ratio=self.ratio, extra=self.extra, window=self.window)

    def observe(self, event, now):
        """Record a first attempt or what became of a retry, in its service's budget."""
        if isinstance(event, FirstAttemptSent):
            self._get_budget(event.service).record_request(now)
        elif isinstance(event, RetrySent):
            self._get_budget(event.service).record_sent(now)
        elif isinstance(event, RetryDropped):
            self._get_budget(event.service).drop()

    def decide_repeatable(self, query, now):
        """Retry if time, connections, attempts and budget allow it."""
        if query.deadline_at - now < self.min_time_left:
            return DEADLINE_TOO_NEAR
        if query.failure is Failure.NOT_SENT:
            if query.unsent_attempts >= self.max_connects:
                return NO_SERVER
            return Retry(delay=0.0, servers=())
        if query.max_attempts is not None and query.attempts >= query.max_attempts:
            return ATTEMPTS_SPENT
        if not self._get_budget(query.service).acquire(query.entry_count, now):
            return BUDGET_SPENT
        return Retry(delay=0.0, servers=(), takes_budget=True)

    def get_remaining(self, query, now):
        """Return the retries that remain to this entry at the service of a query.

        :param query: a :class:`RetryQuery`.
        :param now: monotonic time, in seconds.
        :return: number of retries, rounded to two digits.
        """
        budget = self._get_budget(query.service)
        return round(budget.get_remaining(query.entry_count, now), 2)

    def _get_budget(self, service):
        if service not in self.budgets_:
            self.budgets_[service] = self._build_budget()
            if len(self.budgets_) > MAX_BUDGETS:
                self.budgets_.popitem(last=False)
        return self.budgets_[service]
