"""Retry policies with budgets and backoff.

The task that dispatches a request reports each first attempt to its
:class:`RetryPolicy` and queries it after each failed attempt::

    retries.observe(FirstAttemptSent(service=service), now)
    ...
    decision = retries.decide(RetryQuery(...), now)
    if decision:                       # a Retry
        await trio.sleep(decision.delay)
        server = one of decision.servers (of all if empty), chosen by routing
    else:                              # a Sentinel
        answer the caller; decision.reason says why

:class:`WindowRetryPolicy` is used in the same way. The budgets of
:class:`RetryPolicy` bound the retries of one entry, after a backoff delay. Those of
:class:`WindowRetryPolicy` bound the retries of all entries together, without a delay.

A retry keeps the slot that admission granted to its request. ``wasabistage.Client``
queries :class:`ClientRetryPolicy` in the same way with a :class:`ClientRetryQuery`.
An empty ``entry`` in the decision means that the client asks the deployment which
entry to use before it sends the request.
"""

from wasabistage.utils import build_lazy_exports

__getattr__, __all__ = build_lazy_exports(
    __name__,
    {
        "_backoff": (
            "RetryBudget",
            "compute_backoff_delay",
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
            "RetryAtEntry",
            "RetryDropped",
            "RetryQuery",
            "RetrySent",
            "RetryWithNewKey",
        ),
        "_return_times": (
            "CallerRefused",
            "ConstantReturn",
            "PromptSent",
            "ReturnQuery",
            "SpreadReturn",
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
