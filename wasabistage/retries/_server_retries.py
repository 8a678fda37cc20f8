"""Retries of an entry instance at backend servers."""

from abc import abstractmethod

from wasabistage.base import Policy
from wasabistage.retries._backoff import (
    RetryBudget,
    check_budget_params,
    compute_backoff_delay,
)
from wasabistage.retries._messages import (
    ANSWER_BEGUN,
    ATTEMPTS_SPENT,
    BUDGET_SPENT,
    DEADLINE_TOO_NEAR,
    NO_SERVER,
    NOT_IDEMPOTENT,
    NOT_RETRYABLE,
    Failure,
    FirstAttemptSent,
    Retry,
)


class BaseRetryPolicy(Policy):
    """Base class of the policies that decide whether to retry at a backend server.

    No subclass can retry a call that may have run and is not idempotent, nor a call
    whose answer was sent to the caller in part and can't be resumed.
    """

    def reset(self):
        """Discard the state that events have built up.

        :return: the policy itself.
        """
        return self

    def observe(self, event, now):
        """Ignore a first attempt; policies with a budget override this method.

        :param event: a :class:`FirstAttemptSent`.
        :param now: monotonic time, in seconds.
        """
        return

    def decide(self, query, now):
        """Decide whether to retry.

        :param query: a :class:`RetryQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Retry`, or a sentinel with the reason not to retry.
        """
        if query.answer_begun:
            return ANSWER_BEGUN
        if not query.idempotent and query.failure is not Failure.NOT_SENT:
            return NOT_IDEMPOTENT
        return self.decide_repeatable(query, now)

    @abstractmethod
    def decide_repeatable(self, query, now):
        """Decide whether to retry a call that is idempotent or was not sent.

        :param query: a :class:`RetryQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Retry`, or a sentinel with the reason not to retry.
        """


class RetryPolicy(BaseRetryPolicy):
    """Policy that retries within a budget, with jittered backoff.

    Servers that were not tried yet come first.

    :param max_attempts: attempts of one request, the first included.
    :param ratio: retries that one first attempt adds to the budget of its service.
    :param floor: retries added to the budget of each service per second, also without
        traffic.
    :param max_saved: upper bound of a service's budget, in retries.
    :param base_delay: upper bound of the first backoff delay, in seconds.
    :param max_delay: upper bound of every backoff delay, in seconds.
    """

    def __init__(
        self,
        *,
        max_attempts=3,
        ratio=0.08,
        floor=0.1,
        max_saved=20.0,
        base_delay=0.05,
        max_delay=2.0,
    ):
        self.max_attempts = max_attempts
        self.ratio = ratio
        self.floor = floor
        self.max_saved = max_saved
        self.base_delay = base_delay
        self.max_delay = max_delay

    def reset(self):
        """Check the arguments and start with new budgets.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        check_budget_params(self)
        self.budgets_ = {}
        return self

    def observe(self, event, now):
        """Add a first attempt's share of a retry to the budget of its service."""
        if isinstance(event, FirstAttemptSent):
            self._get_budget(event.service).record_request(now)

    def decide_repeatable(self, query, now):
        """Retry if attempts, deadline, servers and budget allow it."""
        if query.attempts >= self.max_attempts:
            return ATTEMPTS_SPENT
        servers, min_delay = self._select_servers(query)
        if not servers:
            return NO_SERVER
        backoff = compute_backoff_delay(
            query.attempts, query.draw, self.base_delay, self.max_delay
        )
        delay = min_delay + backoff
        if now + delay >= query.deadline_at:
            return DEADLINE_TOO_NEAR
        if not self._get_budget(query.service).acquire(now):
            return BUDGET_SPENT
        return Retry(delay=delay, servers=servers)

    def _select_servers(self, query):
        """Return the servers to choose from and the minimum delay, in seconds.

        If the last server refused because of overload and no other server is left,
        it is tried again only if it said when to retry.
        """
        untried = tuple(s for s in query.candidates if s not in query.tried_servers)
        if untried:
            return untried, 0.0
        if query.failure is not Failure.OVERLOAD:
            return query.candidates, query.retry_after or 0.0
        if query.retry_after is None:
            return (), 0.0
        last = query.tried_servers[-1:]
        return tuple(s for s in query.candidates if s in last), query.retry_after

    def _get_budget(self, service):
        if service not in self.budgets_:
            budget = RetryBudget(self.ratio, self.floor, self.max_saved)
            self.budgets_[service] = budget
        return self.budgets_[service]


class AlwaysRetry(BaseRetryPolicy):
    """Baseline policy that retries at once, at any server, without a budget.

    :param max_attempts: attempts of one request, the first included.
    """

    def __init__(self, *, max_attempts=3):
        self.max_attempts = max_attempts

    def decide_repeatable(self, query, now):
        """Retry until ``max_attempts`` attempts were made."""
        if query.attempts >= self.max_attempts:
            return ATTEMPTS_SPENT
        return Retry(delay=0.0, servers=query.candidates)


class NeverRetry(BaseRetryPolicy):
    """Baseline policy that never retries."""

    def decide_repeatable(self, query, now):
        """Refuse to retry."""
        return NOT_RETRYABLE
