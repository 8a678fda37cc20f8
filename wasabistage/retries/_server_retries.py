"""Retries of an entry instance towards backend servers."""

from abc import abstractmethod

from wasabistage.base import Policy
from wasabistage.retries._backoff import RetryBudget, backoff_delay, check_params
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
    """Decides whether a failed attempt at a backend server is repeated.

    Whatever a subclass chooses, a call that may have run and is not idempotent is
    never repeated, nor one whose answer has begun.
    """

    def reset(self):
        """Forget all that was learned.

        :return: the policy itself.
        """
        return self

    def observe(self, event, now):
        """Take in a fresh request.

        :param event: a :class:`FirstAttemptSent`.
        :param now: monotonic time, in seconds.
        """
        return

    def decide(self, query, now):
        """Say whether to retry.

        :param query: a :class:`RetryQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Retry`, or a sentinel with the reason.
        """
        if query.answer_begun:
            return ANSWER_BEGUN
        if not query.idempotent and query.failure is not Failure.NOT_SENT:
            return NOT_IDEMPOTENT
        return self.choose(query, now)

    @abstractmethod
    def choose(self, query, now):
        """Say whether to retry what may be repeated.

        :param query: a :class:`RetryQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Retry`, or a sentinel with the reason.
        """


class RetryPolicy(BaseRetryPolicy):
    """Retries elsewhere first, under a budget, with jittered backoff.

    :param max_attempts: attempts of one request, the first included.
    :param ratio: retries that one fresh request of a service earns.
    :param floor: retries a second that a service earns without traffic.
    :param max_saved: retries that a service may save up.
    :param base_delay: bound of the first backoff delay, in seconds.
    :param max_delay: bound of every backoff delay, in seconds.
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
        check_params(self)
        self.budgets_ = {}
        return self

    def observe(self, event, now):
        """Let a fresh request earn its part of a retry."""
        if isinstance(event, FirstAttemptSent):
            self._budget(event.service).earn(now)

    def choose(self, query, now):
        """Retry if attempts, deadline, servers and budget allow it."""
        if query.attempts >= self.max_attempts:
            return ATTEMPTS_SPENT
        servers, least = self._servers(query)
        if not servers:
            return NO_SERVER
        jitter = backoff_delay(
            query.attempts, query.draw, self.base_delay, self.max_delay
        )
        delay = least + jitter
        if now + delay >= query.deadline_at:
            return DEADLINE_TOO_NEAR
        if not self._budget(query.service).spend(now):
            return BUDGET_SPENT
        return Retry(delay=delay, servers=servers)

    def _servers(self, query):
        """Return the servers to choose from and the least delay, in seconds."""
        others = tuple(s for s in query.candidates if s not in query.tried_servers)
        if others:
            return others, 0.0
        if query.failure is not Failure.OVERLOAD:
            return query.candidates, query.retry_after or 0.0
        if query.retry_after is None:
            return (), 0.0
        last = query.tried_servers[-1:]
        return tuple(s for s in query.candidates if s in last), query.retry_after

    def _budget(self, service):
        if service not in self.budgets_:
            budget = RetryBudget(self.ratio, self.floor, self.max_saved)
            self.budgets_[service] = budget
        return self.budgets_[service]


class AlwaysRetry(BaseRetryPolicy):
    """Baseline: retries at once, at any server, without a budget.

    :param max_attempts: attempts of one request, the first included.
    """

    def __init__(self, *, max_attempts=3):
        self.max_attempts = max_attempts

    def choose(self, query, now):
        """Retry while attempts are left."""
        if query.attempts >= self.max_attempts:
            return ATTEMPTS_SPENT
        return Retry(delay=0.0, servers=query.candidates)


class NeverRetry(BaseRetryPolicy):
    """Baseline: the first failure is the answer."""

    def choose(self, query, now):
        """Never retry."""
        return NOT_RETRYABLE
