"""Retries of a caller towards entry instances."""

from wasabistage.base import Policy, Ran
from wasabistage.retries._backoff import RetryBudget, backoff_delay, check_params
from wasabistage.retries._messages import (
    ATTEMPTS_SPENT,
    BUDGET_SPENT,
    DEADLINE_TOO_NEAR,
    NOT_RETRYABLE,
    OUTCOME_UNKNOWN,
    Failure,
    FirstAttemptSent,
    ResumeStream,
    RetryWithNewKey,
    TryEntry,
)

RETRYABLE_STATUSES = frozenset({408, 425, 429, 500, 502, 503, 504})


class ClientRetryPolicy(Policy):
    """Decides what a caller does after a failed attempt at an entry instance.

    A begun stream is resumed. A request that was not run is sent anew, with a fresh
    key if the old one is refused or its ticket's home is out of reach. One that may
    have run is repeated only if it is idempotent or carries a key, then with the
    same key. Another entry goes first; when none is left, or their answer's
    lifetime is over, the caller asks again.
    A Retry-After is always waited out.

    :param max_attempts: attempts of one request, the first included.
    :param ratio: retries that one fresh request earns.
    :param floor: retries a second that are earned without traffic.
    :param max_saved: retries that may be saved up.
    :param base_delay: bound of the first backoff delay, in seconds.
    :param max_delay: bound of every backoff delay, in seconds.
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
        check_params(self)
        self.budget_ = RetryBudget(self.ratio, self.floor, self.max_saved)
        self.budget_.saved = self.max_saved
        return self

    def observe(self, event, now):
        """Let a fresh request earn its part of a retry.

        :param event: a :class:`FirstAttemptSent`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, FirstAttemptSent):
            self.budget_.earn(now)

    def decide(self, query, now):
        """Say what to do after a failed attempt.

        :param query: a :class:`ClientRetryQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`ResumeStream`, :class:`TryEntry` or :class:`RetryWithNewKey`,
            or a sentinel with the reason to give up.
        """
        answered = query.failure in (Failure.ERROR, Failure.OVERLOAD)
        if answered and query.status not in RETRYABLE_STATUSES:
            return NOT_RETRYABLE
        not_run = was_not_run(query)
        resumes = query.resumable and not not_run
        if not (not_run or resumes or query.idempotent or query.has_key):
            return OUTCOME_UNKNOWN
        if query.position and not resumes:
            return NOT_RETRYABLE
        delay = self._delay(query)
        refusal = self._refusal(query, delay, now)
        if refusal is not None:
            return refusal
        return self._action(query, not_run, resumes, delay, now)

    def _refusal(self, query, delay, now):
        if query.attempts >= self.max_attempts:
            return ATTEMPTS_SPENT
        if now + delay >= query.deadline_at:
            return DEADLINE_TOO_NEAR
        if not self.budget_.spend(now):
            return BUDGET_SPENT
        return None

    def _action(self, query, not_run, resumes, delay, now):
        entry = self._next_entry(query, now + delay)
        if resumes:
            return ResumeStream(entry=entry, position=query.position, delay=delay)
        needs_key = query.has_ticket or query.failure is not Failure.NOT_SENT
        if not_run and query.has_key and needs_key:
            return RetryWithNewKey(entry=entry, delay=delay)
        return TryEntry(entry=entry, delay=delay)

    def _delay(self, query):
        jitter = backoff_delay(
            query.attempts, query.draw, self.base_delay, self.max_delay
        )
        return jitter + (query.retry_after or 0.0)

    def _next_entry(self, query, at):
        if at >= query.entries_valid_until:
            return ""
        left = (entry for entry in query.entries if entry not in query.tried_entries)
        return next(left, "")


def was_not_run(query):
    """Tell whether no attempt so far can have run.

    An attempt that failed before it was sent, or was refused, says nothing of an
    earlier one whose answer was lost.

    :param query: a :class:`ClientRetryQuery`.
    :return: whether the request was certainly not run.
    """
    if query.may_have_run:
        return False
    return query.failure is Failure.NOT_SENT or query.ran is Ran.NO
