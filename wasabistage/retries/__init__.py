"""Retry budgets and backoff.

Wiring. The task that dispatches a request tells its :class:`RetryPolicy` of each
first attempt and asks after each failed one::

    retries.observe(FirstAttemptSent(service=service), now)
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

from wasabistage.utils import lazy_names

__getattr__, __all__ = lazy_names(
    __name__,
    {
        "_backoff": (
            "RetryBudget",
            "backoff_delay",
        ),
        "_client_retries": ("ClientRetryPolicy",),
        "_messages": (
            "ANSWER_BEGUN",
            "ATTEMPTS_SPENT",
            "BUDGET_SPENT",
            "ClientRetryQuery",
            "DEADLINE_TOO_NEAR",
            "Failure",
            "FirstAttemptSent",
            "NOT_IDEMPOTENT",
            "NOT_RETRYABLE",
            "NO_SERVER",
            "OUTCOME_UNKNOWN",
            "ResumeStream",
            "Retry",
            "RetryQuery",
            "TryEntry",
            "RetryWithNewKey",
        ),
        "_server_retries": (
            "AlwaysRetry",
            "BaseRetryPolicy",
            "NeverRetry",
            "RetryPolicy",
        ),
        "_window_budget": ("WindowBudget",),
        "_window_retries": ("WindowRetryPolicy",),
    },
)
