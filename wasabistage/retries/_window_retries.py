"""Retries under budgets that several entries share, without asking each other."""

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
)
from wasabistage.retries._server_retries import BaseRetryPolicy
from wasabistage.retries._window_budget import WindowBudget

MAX_SERVICES = 1024  # services with a budget; far above the largest deployment


class WindowRetryPolicy(BaseRetryPolicy):
    """Retries at once, as often as the route allows, under a window's budget.

    An attempt that reached no server draws on no budget, so that a dead server costs
    the request a connection and not its retry.

    :param ratio: retries per request, of all entries together.
    :param extra: retries in a window that all entries share besides.
    :param window: length of the window, in seconds.
    :param max_connects: attempts of one request that may fail to connect.
    :param min_time_left: time below which no retry is worth its work, in seconds.
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
                "max_connects is below 1 or min_time_left negative",
                remedy="raise it",
            )
        self._make_budget()
        self.budgets_ = OrderedDict()
        return self

    def _make_budget(self):
        return WindowBudget(ratio=self.ratio, extra=self.extra, window=self.window)

    def observe(self, event, now):
        """Let a fresh request earn its part of a retry."""
        if isinstance(event, FirstAttemptSent):
            self._budget(event.service).earn(now)

    def choose(self, query, now):
        """Retry if time, connections, attempts and budget allow it."""
        if query.deadline_at - now < self.min_time_left:
            return DEADLINE_TOO_NEAR
        if query.failure is Failure.NOT_SENT:
            if query.unsent_attempts >= self.max_connects:
                return NO_SERVER
            return Retry(delay=0.0, servers=())
        if query.max_attempts is not None and query.attempts >= query.max_attempts:
            return ATTEMPTS_SPENT
        if not self._budget(query.service).spend(query.entry_count, now):
            return BUDGET_SPENT
        return Retry(delay=0.0, servers=())

    def _budget(self, service):
        if service not in self.budgets_:
            self.budgets_[service] = self._make_budget()
            if len(self.budgets_) > MAX_SERVICES:
                self.budgets_.popitem(last=False)
        return self.budgets_[service]
