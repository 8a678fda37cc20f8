"""Withdraws prompts that would begin on old weights too late.

Whether a prompt begins in time on an engine with old weights is predicted when it is
sent. An engine may need longer, so that prompts which wait there are withdrawn before
the time is over.
"""

#: Time before the bound at which a prompt is withdrawn: the pause between two checks,
#: the way to the engine, and the time until this entry knew the version.
WITHDRAWAL_SECONDS = 0.2
CHECK_INTERVAL_SECONDS = 0.05  # pause between two checks


class VersionWatch:
    """Watches the attempts that wait for the begin of their answer at an engine.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        #: Each such attempt with its :class:`Exchange` and cancel scope, by its id.
        self.waiting = {}

    def record_start(self, exchange, attempt, scope):
        """Record that a prompt is being sent.

        :param exchange: the :class:`Exchange`.
        :param attempt: the :class:`Attempt`.
        :param scope: the cancel scope of the attempt.
        """
        self.waiting[attempt.attempt_id] = exchange, attempt, scope

    def record_begin(self, attempt):
        """Record that the answer has begun, or that the attempt has ended.

        :param attempt: the :class:`Attempt`.
        """
        self.waiting.pop(attempt.attempt_id, None)

    async def tick(self, tick):
        """Withdraw what has waited for too long; called by the timer service.

        :param tick: unused.
        """
        state, now = self.state, self.state.timer.now()
        limit = state.settings.bounds.version_ms / 1000.0 - WITHDRAWAL_SECONDS
        for exchange, attempt, scope in list(self.waiting.values()):
            server = attempt.choice.record.server
            age = state.swap.age(server, exchange.request.prompt.model, now)
            # A write to the caller is never cancelled.
            if age < limit or exchange.is_write_open:
                continue
            self.record_begin(attempt)
            attempt.is_withdrawn = True
            state.metrics.count("prompt.withdrawn")
            state.log.write(
                "prompt_withdrawn",
                request=exchange.request.request_id,
                server=server,
                version=attempt.choice.plan.candidate.version,
                age=round(age, 3),
            )
            scope.cancel()
