"""Decides whether a request is sent to another server, and when its budget is used."""

from wasabistage.edge._choice import (
    build_gate_query,
    has_responsive_server,
    select_server,
)
from wasabistage.retries import (
    Failure,
    FirstAttemptSent,
    RetryDropped,
    RetryQuery,
    RetrySent,
)
from wasabistage.routing import WaitEnded


class AttemptRetries:
    """The retries of the requests that this process forwards.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state

    def record_request(self, exchange):
        """Record that a request is about to be sent for the first time.

        :param exchange: its :class:`Exchange`.
        """
        self._observe(FirstAttemptSent(service=exchange.service))

    def record_sent(self, exchange):
        """Record that an attempt is sent, which begins the window of its retry.

        :param exchange: the :class:`Exchange`.
        """
        if exchange.has_unsent_retry:
            exchange.has_unsent_retry = False
            self._observe(RetrySent(service=exchange.service))

    def record_end(self, exchange):
        """Record that a request has ended; a retry that was not sent is given back.

        :param exchange: its :class:`Exchange`.
        """
        if exchange.has_unsent_retry:
            exchange.has_unsent_retry = False
            self._observe(RetryDropped(service=exchange.service))

    def decide(self, exchange, attempt):
        """Decide whether to retry after a failed attempt.

        :param exchange: the :class:`Exchange`.
        :param attempt: the :class:`Attempt`.
        :return: a :class:`wasabistage.retries.Retry`, or a sentinel with the reason.
        """
        granted, exchange.granted_retry = exchange.granted_retry, None
        if granted is not None:
            return granted
        query = self._build_query(exchange, attempt, attempt.failure)
        decision = self._query_policy(exchange, query)
        self._log(exchange, attempt, query, decision)
        return decision

    def prepare_move(self, wait):
        """Decide the retry of a request that is taken away from its silent server.

        An answer that has begun is left there unless another server may continue it at
        once: the silent one may go on, and the caller would get a broken answer.
        Whether any other request is retried is decided after its attempt has ended.

        :param wait: the :class:`ServerWait` of its attempt.
        :return: whether the attempt is to be cancelled.
        """
        exchange, attempt = wait.exchange, wait.attempt
        if not exchange.channel.started or exchange.granted_retry is not None:
            return True
        if not has_responsive_server(self.state, exchange):
            return False
        if not self._may_pass_gate(exchange):
            return False
        query = self._build_query(exchange, attempt, Failure.LOST)
        decision = self._query_policy(exchange, query)
        if not decision:
            return False
        self._log(exchange, attempt, query, decision)
        exchange.granted_retry = decision
        return True

    def _may_pass_gate(self, exchange):
        """Return whether the gate would let a repeat pass now."""
        state, now = self.state, self.state.timer.now()
        choice = select_server(state, exchange, exchange.tried_servers, now)
        if not choice or choice.plan is None:
            return bool(choice)
        query = build_gate_query(state, exchange, choice)
        verdict = state.gate.decide(query, now)
        state.gate.observe(WaitEnded(request=query.request), now)
        return bool(verdict)

    def _observe(self, event):
        self.state.retries.observe(event, self.state.timer.now())

    def _query_policy(self, exchange, query):
        decision = self.state.retries.decide(query, self.state.timer.now())
        if decision and decision.takes_budget:
            exchange.has_unsent_retry = True
        return decision

    def _build_query(self, exchange, attempt, failure):
        """Return the query whether to retry after an attempt.

        :param failure: how the attempt has failed, or would fail if it was cancelled.
        """
        route = exchange.route
        servers = len(exchange.tried_servers)
        return RetryQuery(
            service=exchange.service,
            # A request that no server has run may be repeated on every route.
            idempotent=route.is_repeatable or not exchange.may_have_run,
            failure=failure,
            answer_begun=exchange.is_write_open
            or (exchange.channel.started and not route.is_resumable),
            # A server that declined for its weight version uses up no attempt.
            attempts=0 if attempt.is_version_mismatch else servers,
            unsent_attempts=sum(
                item.failure is Failure.NOT_SENT for item in exchange.attempts
            ),
            max_attempts=route.max_servers,
            entry_count=self.state.entry_count,
            deadline_at=exchange.deadline_at,
        )

    def _log(self, exchange, attempt, query, decision):
        self.state.log.write(
            "retry_decided",
            request=exchange.request.request_id,
            service=exchange.service,
            server=attempt.choice.record.server,
            failure=str(query.failure),
            retry=bool(decision),
            reason="" if decision else str(decision.reason),
            entries=query.entry_count,
            remaining=self.state.retries.get_remaining(query, self.state.timer.now()),
        )
