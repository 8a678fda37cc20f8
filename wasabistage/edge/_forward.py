"""Forwards a request to backend servers and their response to the caller."""

from contextlib import contextmanager

import trio

from wasabistage.cache import part_cache_key
from wasabistage.edge._attempt_retries import AttemptRetries
from wasabistage.edge._choice import (
    get_cache_scope,
    get_request_rank,
    get_service,
    is_evacuated,
    needs_engine,
)
from wasabistage.edge._cold_servers import (
    is_beyond_allowance,
    record_answer,
    record_lost_connection,
    record_progress,
    record_taken,
)
from wasabistage.edge._engine_wait import EngineWait
from wasabistage.edge._exchange import Attempt, ServerWait
from wasabistage.edge._messages import Dispatch
from wasabistage.edge._returns import CallerReturns
from wasabistage.edge._slow_writes import SlowWrites
from wasabistage.edge._version_watch import VersionWatch
from wasabistage.fleet import RouteKind
from wasabistage.http1 import (
    ByteBudget,
    ChannelClosedError,
    ChannelError,
    ChannelPool,
    NoRoomError,
    NotSentError,
)
from wasabistage.retries import Failure
from wasabistage.rollout import ServerOrdered, ServerVersionReported
from wasabistage.routing import (
    BytesReceived,
    CallEnded,
    CallStarted,
    Dispatched,
    DispatchEnded,
    FirstTokenArrived,
    LoadReport,
    MemoryReleased,
    MemoryReserved,
    PaceQuery,
    PaceReported,
    RequestArrived,
    RequestBytesReleased,
    RequestBytesSent,
    RequestDropped,
    RequestEnded,
    RequestOver,
    RequestSent,
    RequestWritten,
    RestRequested,
    ServerLeaving,
    ServerRemoved,
)
from wasabistage.sessions import EventTooLongError

CONNECT_TIMEOUT_SECONDS = 0.25
MAX_HELD_BODY_BYTES = 1 << 20  # plain responses are buffered until complete
MAX_HELD_BYTES = 16 << 20  # of all plain responses that are being received
SMALL_RESPONSE_BYTES = 65536  # that are received although large ones are held
MAX_POOLS = 4096  # twice the servers of the largest deployment
MAX_SHORT_BODY_BYTES = 16384  # fits into the send window of a new channel
FETCH_TIMEOUT_SECONDS = 2.5  # an engine starts no transfer after a wait of 2 s
URGENCY_PER_RANK = 2  # leaves unused values between ranks
LOWEST_URGENCY = 9
NOT_RUN_RETRY_SECONDS = 0.15  # a full server has room again by then


class ServerSilentError(ChannelError):
    """The server sent no bytes for too long."""


class Forwarder:
    """Sends requests to backend servers and forwards their responses.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.attempt_count = 0
        self.body_budget = ByteBudget(MAX_HELD_BYTES, SMALL_RESPONSE_BYTES)
        self.engine_wait = EngineWait(state)
        self.retries = AttemptRetries(state)
        self.returns = CallerReturns(state)
        self.slow_writes = SlowWrites(state)
        self.version_watch = VersionWatch(state)

    async def run(self, exchange):
        """Forward one request until it is answered, with retries.

        :param exchange: an :class:`Exchange`.
        """
        self.retries.record_request(exchange)
        try:
            await self._run_attempts(exchange)
        finally:
            self.retries.record_end(exchange)

    async def _run_attempts(self, exchange):
        excluded = set()
        while True:
            choice = await self.engine_wait.select(exchange, excluded)
            if not choice:
                await self._send_final_answer(exchange, str(choice.reason))
                return
            self.returns.record_choice(choice)
            attempt = await self._run_attempt(exchange, choice)
            self._log_attempt(exchange, attempt)
            if attempt.failure is None:
                return
            if attempt.is_unheld:  # no other server would help
                await self._send_final_answer(exchange, attempt.reason)
                return
            if not (attempt.is_version_mismatch or attempt.is_deferred):
                excluded.add(choice.record.server)
            retry = self.retries.decide(exchange, attempt)
            if not retry:
                await self._send_final_answer(exchange, str(retry.reason))
                return

    async def _send_final_answer(self, exchange, reason):
        """Send the final response for a request that no attempt answered."""
        state, channel = self.state, exchange.channel
        last = exchange.attempts[-1] if exchange.attempts else None
        if channel.started:
            channel.closing = True
            outcome = "broken"
        elif last is not None and last.error_response is not None:
            head, body = last.error_response
            headers = state.platform.encode_response_headers(head)
            await channel.respond(head.status, headers, body, head.reason)
            outcome = f"passed on {head.status}"
        elif exchange.may_have_run:
            await self._send_refusal(exchange, 502, None)
            outcome = "failed"
        else:
            retry_after = self._get_retry_after(exchange, last, reason)
            await self._send_refusal(exchange, 503, retry_after)
            outcome = "refused"
        state.metrics.count("request.failed", label=outcome.partition(" ")[0])
        state.log.write(
            "request_given_up",
            request=exchange.request.request_id,
            reason=reason,
            outcome=outcome,
            attempts=len(exchange.attempts),
            time_left=round(exchange.get_time_left(state.timer.now()), 3),
        )

    def _get_retry_after(self, exchange, last, reason):
        """Return the seconds after which to retry a request that was not run."""
        if exchange.rest_seconds > 0.0:
            return exchange.rest_seconds
        quarantine_seconds = self.state.crash_watch.get_retry_seconds(exchange.request)
        if quarantine_seconds > 0.0:
            return quarantine_seconds
        if last is not None and last.retry_after is not None:
            return last.retry_after
        if self.returns.is_out_of_room(exchange, reason):
            return self.returns.get_seconds(exchange)
        if exchange.gate_waits:
            # Requests that wait now are answered or have timed out by then.
            return max(NOT_RUN_RETRY_SECONDS, exchange.route.objective)
        return NOT_RUN_RETRY_SECONDS

    async def _send_refusal(self, exchange, status, retry_after):
        headers = self.state.platform.encode_error_headers(
            exchange.request.request_id, retry_after
        )
        await exchange.channel.respond(status, headers, b"")

    async def _run_attempt(self, exchange, choice):
        """Send the request to the chosen server; return the :class:`Attempt`."""
        state, now = self.state, self.state.timer.now()
        self.attempt_count += 1
        attempt = Attempt(choice, f"{state.incarnation}/{self.attempt_count}", now)
        exchange.attempts.append(attempt)
        server = choice.record.server
        state.health.observe(CallStarted(server=server), now)
        record_taken(state, attempt, get_service(state, exchange))
        self._record_start(exchange, attempt, now)
        error = None
        try:
            with trio.CancelScope() as scope:
                if choice.plan is not None:
                    state.crash_watch.record_start(exchange, attempt, scope)
                    self.version_watch.record_start(exchange, attempt, scope)
                await self._send_and_forward(exchange, attempt)
            if scope.cancelled_caught:
                raise ChannelError("the prompt was withdrawn from the server")
        except NotSentError as caught:
            attempt.failure, attempt.reason = Failure.NOT_SENT, str(caught)
            record_progress(state, attempt, RequestDropped)
            if not attempt.is_deferred:
                record_lost_connection(state, attempt)
        except ChannelError as caught:
            error = caught
            attempt.failure, attempt.reason = Failure.LOST, str(caught)
            attempt.is_unheld = isinstance(caught, NoRoomError)
            exchange.may_have_run = True
            exchange.splitter.discard_incomplete()
            if is_connection_lost(caught):
                record_lost_connection(state, attempt)
        finally:
            self._record_end(exchange, attempt, now)
            self.version_watch.record_begin(attempt)
            state.crash_watch.record_end(attempt, error)
        return attempt

    @contextmanager
    def _cancel_on_silence(self, exchange, attempt, channel=None):
        """Cancel the block when the server of a repeatable request is silent.

        The block only waits for the server. A write to the caller is never inside: if
        it were cancelled, the caller would get a part of the response or nothing.

        :param exchange: the :class:`Exchange`.
        :param attempt: the :class:`Attempt`.
        :param channel: the :class:`wasabistage.http1.Channel` of a response that has
            begun, which is judged by its own bytes; otherwise ``None``.
        :raises ChannelError: if the block was cancelled.
        """
        if not exchange.route.is_repeatable:
            yield
            return
        silence, server = self.state.silence, attempt.choice.record.server
        is_streaming = attempt.first_event_seconds is not None
        limit = silence.stream_limit if is_streaming else silence.first_limit
        with trio.CancelScope() as scope:
            wait = ServerWait(
                scope, channel, limit, trio.current_time(), exchange, attempt
            )
            waits = self.state.repeatable_waits.setdefault(server, set())
            waits.add(wait)
            try:
                yield
            finally:
                waits.discard(wait)
                if not waits:
                    self.state.repeatable_waits.pop(server, None)
        if scope.cancelled_caught:
            raise ServerSilentError("the server sent no bytes for too long")

    def _record_start(self, exchange, attempt, now):
        state, plan = self.state, attempt.choice.plan
        server = attempt.choice.record.server
        state.silence.observe(
            RequestSent(server=server, request=attempt.attempt_id), now
        )
        size = exchange.request.size
        event = RequestBytesSent(request=attempt.attempt_id, server=server, size=size)
        state.request_bytes.observe(event, now)
        if plan is None:
            event = Dispatched(request=attempt.attempt_id, server=server, tokens=0)
            state.plain_router.observe(event, now)
            return
        prompt = exchange.request.prompt
        event = Dispatched(
            request=attempt.attempt_id, server=server, tokens=plan.tokens
        )
        state.part_router.observe(event, now)
        size = prompt.prompt_tokens + prompt.output_tokens
        reservation = MemoryReserved(
            request=attempt.attempt_id, server=server, tokens=size
        )
        state.part_router.observe(reservation, now)
        state.loads.record_sent_tokens(server, plan.tokens)
        state.notices.notify(attempt.choice.record, plan.tokens)
        for part, address in zip(prompt.parts, plan.save_to, strict=True):
            if address:
                state.parts.record_save_start(
                    address, plan.candidate.cache_key, part.part, part.tokens, now
                )

    def _record_end(self, exchange, attempt, begun_at):
        state, now = self.state, self.state.timer.now()
        server = attempt.choice.record.server
        record_progress(state, attempt, RequestOver)
        state.silence.observe(
            RequestEnded(server=server, request=attempt.attempt_id), now
        )
        released = RequestBytesReleased(request=attempt.attempt_id)
        state.request_bytes.observe(released, now)
        ended = DispatchEnded(request=attempt.attempt_id)
        if attempt.choice.plan is None:
            state.plain_router.observe(ended, now)
        else:
            state.part_router.observe(ended, now)
            state.part_router.observe(MemoryReleased(request=attempt.attempt_id), now)
        is_server_failure = attempt.failure in (Failure.NOT_SENT, Failure.LOST)
        is_server_failure = is_server_failure and not (
            attempt.is_withdrawn or attempt.is_unheld or attempt.is_deferred
        )
        event = CallEnded(
            server=server, ok=not is_server_failure, seconds=now - begun_at
        )
        state.health.observe(event, now)
        state.loads.record_outcome(server, ok=not is_server_failure)

    async def _send_and_forward(self, exchange, attempt):
        state, record = self.state, attempt.choice.record
        pool = self._get_pool(record.address)
        request_id = exchange.request.request_id
        closed_early = pool.closed_early
        channel, kept = None, False
        try:
            with self._cancel_on_silence(exchange, attempt):
                channel = await pool.take(state.timer.now(), request_id)
                if pool.closed_early > closed_early:
                    record_lost_connection(state, attempt)
                self._check_still_allowed(exchange, attempt)
                dispatch = self._build_dispatch(exchange, attempt)
                headers = state.platform.encode_request_headers(
                    exchange.request, dispatch
                )
                self.retries.record_sent(exchange)
                await self._send(exchange, channel, headers)
                if channel.sent_all:
                    record_progress(state, attempt, RequestWritten)
                head, metadata = await self._read_head(exchange, attempt, channel)
            if metadata.is_not_run:
                channel.refused_ids.add(request_id)
            attempt.head_seconds = state.timer.now() - attempt.begun_at
            self._record_response(exchange, attempt, head, metadata)
            fields = await self._forward_response(
                exchange, attempt, channel, head, metadata
            )
            if fields is not None and not metadata.closes_channel:
                pool.give_back(channel, fields, state.timer.now())
                kept = True
        finally:
            if channel is not None and not kept:
                channel.close()

    def _check_still_allowed(self, exchange, attempt):
        """Check that the server may still get a request that was meant for it.

        :raises NotSentError: if it may not.
        """
        state, plan = self.state, attempt.choice.plan
        if plan is not None:
            model, version = exchange.request.prompt.model, plan.candidate.version
            scope = get_cache_scope(state, exchange.account)
            if plan.candidate.cache_key != part_cache_key(model, version, scope):
                attempt.is_deferred = True
                raise NotSentError("the accounts that share cached parts have changed")
        elif needs_engine(exchange, get_service(state, exchange)):
            attempt.is_deferred = True
            raise NotSentError("the service has been declared as one of engines")
        if is_evacuated(state, attempt.choice.record, state.timer.now()):
            attempt.is_deferred = True
            raise NotSentError("the server is evacuated")
        if is_beyond_allowance(state, attempt):
            attempt.is_deferred = True
            state.metrics.count("request.deferred_cold")
            raise NotSentError("the server has become cold and has its requests")

    async def _send(self, exchange, channel, headers):
        request = exchange.request
        message = (request.method, request.target, headers, request.body)
        if len(request.body) <= MAX_SHORT_BODY_BYTES:
            await channel.send_request(*message)
            return
        # Sent in the background: a server may respond before it has read a long body.
        channel.sent_all = False
        exchange.nursery.start_soon(send_ignoring_errors, channel, *message)

    def _get_pool(self, address):
        if address not in self.state.pools:
            host, _, port = address.rpartition(":")
            if len(self.state.pools) >= MAX_POOLS:
                self.state.pools.pop(next(iter(self.state.pools))).close()
            pool = ChannelPool((host, int(port)), CONNECT_TIMEOUT_SECONDS)
            self.state.pools[address] = pool
        return self.state.pools[address]

    def _build_dispatch(self, exchange, attempt):
        state, now = self.state, self.state.timer.now()
        plan, account = attempt.choice.plan, exchange.account
        rank = get_request_rank(exchange.route, account)
        common = {
            "server": attempt.choice.record.server,
            "time_left": exchange.get_time_left(now),
            "account": account.name if account is not None else "",
            "forwards_key": (
                exchange.taken_under.accounts is None
                and state.routes.configuration.accounts is None
            ),
            "last_event": exchange.splitter.last_id,
        }
        if plan is None:
            return Dispatch(**common)
        return Dispatch(
            **common,
            weight_version=plan.candidate.version,
            cache_key=plan.candidate.cache_key,
            urgency=min(LOWEST_URGENCY, URGENCY_PER_RANK * rank + 1),
            fetch_from=plan.fetch_from,
            save_to=plan.save_to,
            fetch_until=state.to_server_time(now + FETCH_TIMEOUT_SECONDS),
        )

    async def _read_head(self, exchange, attempt, channel):
        """Return the head and metadata of the response to this request.

        Responses to other requests are skipped.

        :raises ChannelError: if a response names no request, and the channel has had
            others.
        """
        request_id = exchange.request.request_id
        while True:
            head = await channel.read_head()
            metadata = self.state.platform.decode_response(head)
            if metadata.is_leaving:
                self._record_leaving(attempt, metadata)
            if metadata.request_id == request_id:
                record_progress(self.state, attempt, RequestArrived)
                return head, metadata
            if not metadata.request_id:
                if channel.used > 1:
                    # It may be one for an earlier request, sent once more.
                    raise ChannelError("the response on a used channel has no id")
                return head, metadata
            self.state.metrics.count("answer.mismatch")
            await channel.skip_response()

    def _record_leaving(self, attempt, metadata):
        """Record that the server of an attempt announces that it stops."""
        record, state = attempt.choice.record, self.state
        if metadata.server not in ("", record.server):
            return  # another server has the address
        if state.servers.record_leaving(record):
            state.health.observe(ServerLeaving(server=record.server), state.timer.now())
            state.log.write(
                "server_leaving", server=record.server, address=record.address
            )

    def _record_response(self, exchange, attempt, head, metadata):
        """Record what a response reports of its server."""
        state, now = self.state, self.state.timer.now()
        record, plan = attempt.choice.record, attempt.choice.plan
        record_answer(state, attempt, metadata.cold_left)
        if head.status == 503 and metadata.retry_after is not None:
            rest = RestRequested(
                server=record.server,
                incarnation=record.incarnation,
                seconds=metadata.retry_after,
            )
            state.rests.observe(rest, now)
        if metadata.load is not None and metadata.load.pace is not None:
            pace = PaceReported(server=record.server, factor=metadata.load.pace)
            state.pace.observe(pace, now)
            if plan is not None:
                state.notices.notify_pace(record, metadata.load.pace)
        if metadata.load is not None and plan is None:
            report = LoadReport(
                server=record.server,
                running=metadata.load.running + metadata.load.waiting,
            )
            state.plain_router.observe(report, now)
        if metadata.weight_version is not None and plan is not None:
            self._record_version(exchange, attempt, metadata.weight_version, now)

    def _record_version(self, exchange, attempt, version, now):
        """Record the version of the request's model; the server may hold others."""
        record = attempt.choice.record
        event = ServerVersionReported(
            server=record.server,
            incarnation=record.incarnation,
            model=exchange.request.prompt.model,
            version=version,
        )
        self.state.swap.observe(event, now)

    async def _forward_response(self, exchange, attempt, channel, head, metadata):
        """Forward a response to the caller; return its headers."""
        if metadata.is_not_run:
            with self.body_budget.hold(exchange.channel.hold_response) as hold:
                await self._read_body(exchange, attempt, channel, hold)
            self._record_not_run(exchange, attempt, head, metadata)
            return head.fields
        exchange.may_have_run = True
        self.state.crash_watch.record_head(attempt)
        if 200 <= head.status < 300 and not metadata.is_verified_success:
            raise ChannelError("success response without the server's seal")
        is_stream = metadata.is_event_stream is not False and head.status == 200
        if is_stream and exchange.route.kind is RouteKind.STREAM:
            return await self._forward_stream(exchange, attempt, channel, head)
        with self.body_budget.hold(exchange.channel.hold_response) as hold:
            body = await self._read_body(exchange, attempt, channel, hold)
            # Callers that read slowly must not use up the budget of those to come.
            hold.finish()
            if metadata.promises_not_run:
                self._record_false_promise(attempt, head)
                return head.fields
            return await self._forward_body(exchange, attempt, head, body)

    async def _read_body(self, exchange, attempt, channel, hold):
        with self._cancel_on_silence(exchange, attempt, channel):
            return await channel.read_body(MAX_HELD_BODY_BYTES, hold)

    async def _read_piece(self, exchange, attempt, channel):
        with self._cancel_on_silence(exchange, attempt, channel):
            return await channel.read_piece()

    def _record_false_promise(self, attempt, head):
        """Record a response whose status says more than the server states."""
        attempt.failure = Failure.ERROR
        attempt.reason = f"the request may have run, status {head.status}"

    async def _forward_body(self, exchange, attempt, head, body):
        """Forward a whole response, unless the request may be repeated elsewhere."""
        if head.status >= 500:
            attempt.failure = Failure.ERROR
            attempt.reason = f"the server responded with status {head.status}"
            attempt.error_response = (head, body)
            return head.fields
        if exchange.channel.started:
            raise ChannelError(
                "the response to a resumed stream is not an event stream"
            )
        headers = self.state.platform.encode_response_headers(head)
        with self.slow_writes.watch(attempt, has_unread=False):
            await exchange.channel.respond(head.status, headers, body, head.reason)
        attempt.is_answer_whole = 200 <= head.status < 300 and bool(body)
        self._record_answered(exchange, attempt)
        return head.fields

    def _record_not_run(self, exchange, attempt, head, metadata):
        state, now = self.state, self.state.timer.now()
        attempt.failure = Failure.OVERLOAD
        attempt.reason = f"the server did not run the request, status {head.status}"
        attempt.retry_after = metadata.retry_after
        server, plan = attempt.choice.record.server, attempt.choice.plan
        # Status 421: another server has the address, or this one runs another version.
        if head.status == 421:
            record_progress(state, attempt, RequestDropped)
        if head.status != 421 or self._check_replaced(attempt, metadata, now):
            return
        if plan is None:
            return
        if metadata.server in ("", server):
            # The server runs the named version by now, or has an order to load it.
            attempt.is_version_mismatch = True
            named = state.swap.named_versions_.get(exchange.request.prompt.model, 0)
            if metadata.weight_version is None and named > plan.candidate.version:
                self._record_version(exchange, attempt, named, now)
            else:
                state.swap.observe(ServerOrdered(server=server), now)

    def _check_replaced(self, attempt, metadata, now):
        """Return whether another server now has the address, and record it."""
        record = attempt.choice.record
        if metadata.server in ("", record.server):
            return False
        attempt.is_server_replaced = True
        if self.state.servers.remove_replaced(record):
            removed = ServerRemoved(server=record.server)
            self.state.health.observe(removed, now)
            self.state.log.write(
                "server_replaced",
                server=record.server,
                address=record.address,
                found=metadata.server,
            )
        return True

    async def _forward_stream(self, exchange, attempt, channel, head):
        """Forward the events of a stream as they arrive."""
        caller, splitter = exchange.channel, exchange.splitter
        if not caller.started:
            headers = self.state.platform.encode_response_headers(head)
            framed = [*headers, (b"Transfer-Encoding", b"chunked")]
            encoded_head = caller.encode_head(head.status, framed, head.reason)
            with exchange.write():
                await caller.write(encoded_head)
        is_first = True
        try:
            while data := await self._read_piece(exchange, attempt, channel):
                self._record_bytes(attempt)
                events = splitter.feed(data)
                if is_first:
                    self.version_watch.record_begin(attempt)
                    self._record_first_event(exchange, attempt)
                    is_first = False
                self.state.crash_watch.record_bytes(attempt, has_events=bool(events))
                if events:
                    exchange.last_event_at = self.state.timer.now()
                    with exchange.write(), self.slow_writes.watch(attempt):
                        await caller.send_piece(events)
        except EventTooLongError as error:
            splitter.discard_incomplete()
            raise ChannelError(str(error)) from error
        except ChannelError:
            splitter.discard_incomplete()
            raise
        if splitter.has_incomplete:
            splitter.discard_incomplete()
            raise ChannelClosedError("the stream ended inside an event")
        is_resumed = splitter.event_count or exchange.request.last_event
        if is_first and not head.is_framed and not is_resumed:
            # A server that crashes may look the same.
            raise ChannelClosedError("the stream ended before its first event")
        with exchange.write():
            if remainder := splitter.flush():
                await caller.send_piece(remainder)
            await caller.finish()
        attempt.is_answer_whole = not is_first
        self._record_answered(exchange, attempt)
        return head.fields

    def _record_bytes(self, attempt):
        server = attempt.choice.record.server
        event, now = (
            BytesReceived(server=server, request=attempt.attempt_id),
            self.state.timer.now(),
        )
        self.state.silence.observe(event, now)
        self.state.loads.record_bytes(server, now)

    def _record_first_event(self, exchange, attempt):
        state, now = self.state, self.state.timer.now()
        begun_at = exchange.request.begun_at
        label = str(exchange.route.rank)
        state.metrics.time("request.first_token", now - begun_at, label)
        attempt.first_event_seconds = now - attempt.begun_at
        plan = attempt.choice.plan
        if plan is None:
            return
        # The rate of an engine is learned as it is at the usual pace, since predictions
        # multiply the time by the pace.
        pace = state.pace.decide(PaceQuery(server=attempt.choice.record.server), now)
        event = FirstTokenArrived(
            request=attempt.attempt_id,
            seconds=attempt.first_event_seconds / pace,
            learn=not plan.fetched,
        )
        state.part_router.observe(event, now)

    def _record_answered(self, exchange, attempt):
        state = self.state
        state.metrics.count("request.answered", label=exchange.route.kind)
        plan = attempt.choice.plan
        if plan is not None:
            state.metrics.count("prompt.recomputed", plan.tokens)
            state.metrics.count("prompt.fetched", plan.fetched)
            state.metrics.count("prompt.kept", plan.kept)

    def _log_attempt(self, exchange, attempt):
        """Write the log line of an attempt: decision, inputs and outcome."""
        plan, record = attempt.choice.plan, attempt.choice.record
        request = exchange.request
        fields = {
            "request": request.request_id,
            "route": exchange.route.name,
            "account": exchange.account.name if exchange.account else "",
            "server": record.server,
            "list_age": round(self.state.servers_age, 3),
            "configuration": self.state.routes.configuration.version,
            "seconds": round(self.state.timer.now() - request.begun_at, 4),
            "outcome": attempt.reason or "answered",
            "events": exchange.splitter.event_count,
            "waits": exchange.gate_waits,
        }
        if plan is not None:
            fields.update(
                weight_version=plan.candidate.version,
                parts=[part.part for part in request.prompt.parts[:-1]],
                predicted=round(plan.seconds, 4),
                head=attempt.head_seconds and round(attempt.head_seconds, 4),
                first=attempt.first_event_seconds
                and round(attempt.first_event_seconds, 4),
                computed=plan.tokens,
                kept=plan.kept,
                fetched=plan.fetched,
            )
        self.state.log.write("attempt", **fields)


def is_connection_lost(error):
    """Return whether the server of a failed attempt may have started again.

    :param error: the :class:`wasabistage.http1.ChannelError`.
    """
    if isinstance(error, ServerSilentError | ChannelClosedError):
        return True
    return isinstance(error.__cause__, OSError)


async def send_ignoring_errors(channel, *message):
    """Send a request and ignore errors: the read of the response reports them."""
    try:
        await channel.send_request(*message)
    except (ChannelError, trio.ClosedResourceError):
        channel.sent_all = False
