"""Retry budgets and backoff.

Wiring. The task that dispatches a request tells its :class:`RetryPolicy` of each
first attempt and asks after each failed one::

    retries.observe(FreshRequest(service=service), now)
    ...
    decision = retries.decide(RetryQuery(...), now)
    if decision:                       # a Retry
        await trio.sleep(decision.delay)
        server = one of decision.servers, chosen by routing
    else:                              # a Sentinel
        answer the caller; decision.reason says why

A retry keeps the slot that admission granted to its request. ``wasabistage.Client``
asks :class:`ClientRetryPolicy` in the same way with a :class:`ClientRetryQuery`; an
empty ``entry`` in its decision means: ask the deployment which entry to use first.
"""

from wasabistage.retries._backoff import RetryBudget, backoff_delay
from wasabistage.retries._client_retries import ClientRetryPolicy
from wasabistage.retries._messages import (
    ANSWER_BEGUN,
    ATTEMPTS_SPENT,
    BUDGET_SPENT,
    DEADLINE_TOO_NEAR,
    NO_SERVER,
    NOT_IDEMPOTENT,
    NOT_RETRYABLE,
    OUTCOME_UNKNOWN,
    ClientRetryQuery,
    Failure,
    FreshRequest,
    ResumeStream,
    Retry,
    RetryQuery,
    TryEntry,
    TryNewKey,
)
from wasabistage.retries._server_retries import (
    AlwaysRetry,
    BaseRetryPolicy,
    NeverRetry,
    RetryPolicy,
)
from wasabistage.retries._window_budget import WindowBudget

__all__ = [
    "ANSWER_BEGUN",
    "ATTEMPTS_SPENT",
    "AlwaysRetry",
    "BUDGET_SPENT",
    "BaseRetryPolicy",
    "ClientRetryPolicy",
    "ClientRetryQuery",
    "DEADLINE_TOO_NEAR",
    "Failure",
    "FreshRequest",
    "NOT_IDEMPOTENT",
    "NOT_RETRYABLE",
    "NO_SERVER",
    "NeverRetry",
    "OUTCOME_UNKNOWN",
    "ResumeStream",
    "Retry",
    "RetryBudget",
    "RetryPolicy",
    "RetryQuery",
    "TryEntry",
    "TryNewKey",
    "WindowBudget",
    "backoff_delay",
]
