"""Retries of a caller at entry instances."""

from wasabistage.base import Policy, Ran
from wasabistage.retries._backoff import (
    RetryBudget,
    check_budget_params,
    compute_backoff_delay,
)
from wasabistage.retries._messages import (
    ATTEMPTS_SPENT,
    BUDGET_SPENT,
    DEADLINE_TOO_NEAR,
    NOT_RETRYABLE,
    OUTCOME_UNKNOWN,
    Failure,
    FirstAttemptSent,
    ResumeStream,
    RetryAtEntry,
    RetryWithNewKey,
)

RETRYABLE_STATUSES = frozenset({408, 425, 429, 500, 502, 503, 504})


class ClientRetryPolicy(Policy):
    """Policy that decides what a caller does after a failed attempt at an entry.

    A stream that has begun is resumed. A request that was not run is sent again. It
    gets a new key if the old one was refused, or if it is a ticket whose home
    instance can't be reached. A request that may have run is sent again only if it is
    idempotent or carries a key, and then with the same key.

    Entries that were not tried yet come first. The caller asks the deployment for
    entries when none is left or when the last list of entries has expired. The delay
    that a Retry-After header asks for is added to the backoff delay.

    :param max_attempts: attempts of one request, the first included.
    :param ratio: retries that one first attempt adds to the budget.
    :param floor: retries added to the budget per second, also without traffic.
    :param max_saved: upper bound of the budget, in retries.
    :param base_delay: upper bound of the first backoff delay, in seconds.
    :param max_delay: upper bound of every backoff delay, in seconds.
    """

    def __init__(
        self,
        *,
        max_attempts=5,
        ratio=0.2,
        floor=0.2,
        max_saved=10.0,
        base_delay=0.1,
        max_delay=5.0,
    ):
        self.max_attempts = max_attempts
        self.ratio = ratio
        self.floor = floor
        self.max_saved = max_saved
        self.base_delay = base_delay
        self.max_delay = max_delay

    def reset(self):
        """Check the arguments and start with a full budget.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        check_budget_params(self)
        self.budget_ = RetryBudget(self.ratio, self.floor, self.max_saved)
        self.budget_.balance = self.max_saved
        return self

    def observe(self, event, now):
        """Add a first attempt's share of a retry to the budget.

        :param event: a :class:`FirstAttemptSent`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, FirstAttemptSent):
            self.budget_.record_request(now)

    def decide(self, query, now):
        """Decide what to do after a failed attempt.

        :param query: a :class:`ClientRetryQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`ResumeStream`, :class:`RetryAtEntry` or
            :class:`RetryWithNewKey`, or a sentinel with the reason to give up.
        """
        answered = query.failure in (Failure.ERROR, Failure.OVERLOAD)
        if answered and query.status not in RETRYABLE_STATUSES:
            return NOT_RETRYABLE
        not_run = was_not_run(query)
        can_resume = query.resumable and not not_run
        if not (not_run or can_resume or query.idempotent or query.has_key):
            return OUTCOME_UNKNOWN
        if query.position and not can_resume:
            return NOT_RETRYABLE
        delay = self._compute_delay(query)
        refusal = self._acquire_retry(query, delay, now)
        if refusal is not None:
            return refusal
        return self._build_decision(query, not_run, can_resume, delay, now)

    def _acquire_retry(self, query, delay, now):
        """Take a retry from the budget, or return a sentinel with the reason not to."""
        if query.attempts >= self.max_attempts:
            return ATTEMPTS_SPENT
        if now + delay >= query.deadline_at:
            return DEADLINE_TOO_NEAR
        if not self.budget_.acquire(now):
            return BUDGET_SPENT
        return None

    def _build_decision(self, query, not_run, can_resume, delay, now):
        entry = self._select_entry(query, now + delay)
        if can_resume:
            return ResumeStream(entry=entry, position=query.position, delay=delay)
        needs_new_key = query.has_ticket or query.failure is not Failure.NOT_SENT
        if not_run and query.has_key and needs_new_key:
            return RetryWithNewKey(entry=entry, delay=delay)
        return RetryAtEntry(entry=entry, delay=delay)

    def _compute_delay(self, query):
        backoff = compute_backoff_delay(
            query.attempts, query.draw, self.base_delay, self.max_delay
        )
        return backoff + (query.retry_after or 0.0)

    def _select_entry(self, query, retry_at):
        """Return the first untried entry; empty if none is left or the list expired."""
        if retry_at >= query.entries_valid_until:
            return ""
        untried = (entry for entry in query.entries if entry not in query.tried_entries)
        return next(untried, "")


def was_not_run(query):
    """Return whether no attempt so far can have run.

    An attempt that was refused, or failed before it was sent, proves nothing about
    an earlier attempt whose answer was lost.

    :param query: a :class:`ClientRetryQuery`.
    :return: whether it is certain that the request was not run.
    """
    if query.may_have_run:
        return False
    return query.failure is Failure.NOT_SENT or query.ran is Ran.NO
