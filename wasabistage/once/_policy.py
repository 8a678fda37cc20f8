"""The base class of the once-only policies, and the unchecked baseline."""

from collections import Counter

from wasabistage.base import Policy, Ran
from wasabistage.exceptions import (
    BadRequestError,
    ConflictError,
    ExpiredKeyError,
    OutcomeUnknownError,
    OverloadError,
    UnauthorizedError,
    UnavailableError,
)
from wasabistage.once._messages import (
    CallArrived,
    Dispatch,
    DispatchLost,
    DispatchUnsent,
    OutcomeArrived,
    Reply,
    Verdict,
)


class OncePolicy(Policy):
    """Decide how a non-idempotent call runs at most once.

    :meth:`observe` takes what happened; :meth:`tick` returns the actions that
    follow, in the order in which the task must start them.
    """

    def reset(self):
        """Forget everything.

        :return: the policy itself.
        """
        self.actions_ = []
        self.verdicts_ = Counter()
        return self

    def tick(self, now):
        """Return the actions that are due.

        :param now: monotonic time, in seconds.
        :return: a list of actions.
        """
        actions, self.actions_ = self.actions_, []
        return actions

    def reply(self, attempt, key, verdict, reason="", *, ran=Ran.UNKNOWN, outcome=None):
        """Answer an attempt.

        :param attempt: identifier of the attempt.
        :param key: its :class:`CallKey`.
        :param verdict: a :class:`Verdict`.
        :param reason: what happened, one clause.
        :param ran: what the answer promises.
        :param outcome: the :class:`Outcome`, for verdict ``OUTCOME``.
        """
        self.verdicts_[verdict] += 1
        if verdict == Verdict.OUTCOME:
            ran = None
        elif verdict == Verdict.NOT_RUN:
            ran = Ran.NO
        self.actions_.append(
            Reply(
                attempt=attempt,
                key=key,
                verdict=verdict,
                ran=ran,
                outcome=outcome,
                reason=reason,
            )
        )


class UncheckedPolicy(OncePolicy):
    """Baseline: dispatch every attempt that arrives, remember nothing."""

    def observe(self, event, now):
        """Dispatch each arrival and pass each end on.

        :param event: a message of this package.
        :param now: monotonic time, in seconds.
        """
        match event:
            case CallArrived(inquire=True):
                self.reply(event.attempt, event.key, Verdict.NOT_RUN)
            case CallArrived():
                self.actions_.append(Dispatch(key=event.key, attempt=event.attempt))
            case OutcomeArrived():
                outcome = event.outcome
                self.reply(event.attempt, event.key, Verdict.OUTCOME, outcome=outcome)
            case DispatchUnsent():
                self.reply(event.attempt, event.key, Verdict.NOT_RUN)
            case DispatchLost():
                self.reply(event.attempt, event.key, Verdict.UNKNOWN)

    def decide(self, query, now):
        """Answer no query.

        :param query: ignored.
        :param now: ignored.
        :return: an empty tuple of tickets.
        """
        return ()


ERRORS = {
    Verdict.NOT_RUN: (UnavailableError, "send it again under a new key"),
    Verdict.UNKNOWN: (
        OutcomeUnknownError,
        "try again with the same key, never with a new one before the outcome is known",
    ),
    Verdict.CONFLICT: (ConflictError, "use a new key for a different request"),
    Verdict.EXPIRED: (
        ExpiredKeyError,
        "look the purchase up at the service before sending it under a new key",
    ),
    Verdict.FORGED: (UnauthorizedError, "ask for a ticket with your own bearer key"),
    Verdict.BAD_KEY: (BadRequestError, "send a ticket or a UUIDv7 in lower case"),
    Verdict.OVERLOAD: (OverloadError, "try again later with the same key"),
}


def build_error(reply):
    """Turn a reply without an outcome into the error that the caller sees.

    :param reply: a :class:`Reply`.
    :return: a :class:`wasabistage.exceptions.WasabistageError`.
    """
    kind, remedy = ERRORS[reply.verdict]
    if reply.verdict == Verdict.EXPIRED and reply.ran == Ran.NO:
        remedy = "send it again under a new key"
    retry_after = 1.0 if reply.verdict in (Verdict.OVERLOAD, Verdict.UNKNOWN) else None
    message = reply.reason or f"the call ended as {reply.verdict}"
    return kind(message, remedy=remedy, ran=reply.ran, retry_after=retry_after)
