"""Passes one request on: attempts, their outcomes, and the answer."""

from contextlib import contextmanager

import trio

from wasabistage.edge._choice import choose_server, gate_query, request_rank
from wasabistage.edge._exchange import Attempt
from wasabistage.edge._messages import Dispatch
from wasabistage.fleet import RouteKind
from wasabistage.http1 import ChannelError, ChannelPool, NotSentError
from wasabistage.retries import Failure, FirstAttemptSent, RetryQuery
from wasabistage.rollout import ServerOrdered, ServerVersionReported
from wasabistage.routing import (
    TOO_LATE,
    BytesReceived,
    CallEnded,
    CallStarted,
    Dispatched,
    DispatchEnded,
    FirstTokenArrived,
    LoadReport,
    MemoryReleased,
    MemoryReserved,
    RequestEnded,
    RequestSent,
    ServerRemoved,
    WaitEnded,
)

CONNECT_TIMEOUT = 0.25  # seconds; a handshake takes some milliseconds
MAX_BODY_BYTES = 1 << 20  # bytes of a plain answer that are held until it is whole
MAX_POOLS = 4096  # servers with kept channels; twice the largest deployment
SHORT_BODY_BYTES = 16384  # bytes; fit into a new channel's window
GATE_LOOK = 0.015  # seconds between two looks whether an engine has room
FETCH_TIME = 2.5  # seconds; a transfer that waits over two is not started
URGENCY_STEP = 2  # urgency per rank, which leaves room between ranks
LEAST_URGENT = 9
NOT_RUN_RETRY = 0.15  # seconds until a server that was full has some room


class Forwarder:
    """Sends requests to backend servers and passes their answers on.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.counter = 0

    async def run(self, exchange):
        """Serve one request to its end.

        :param exchange: an :class:`Exchange`.
        """
        now = self.state.timer.now()
        self.state.retries.observe(FirstAttemptSent(service=exchange.service), now)
        excluded = set()
        while True:
            choice = await self._choose(exchange, excluded)
            if not choice:
                await self._give_up(exchange, str(choice.reason))
                return
            attempt = await self._attempt(exchange, choice)
            self._log(exchange, attempt)
            if attempt.failure is None:
                return
            if not attempt.is_version_mismatch:
                excluded.add(choice.record.server)
            retry = self._retry(exchange, attempt)
            if not retry:
                await self._give_up(exchange, str(retry.reason))
                return

    async def _choose(self, exchange, excluded):
        """Return a :class:`Choice` once an engine has room, or a sentinel."""
        request = exchange.request
        try:
            while True:
                now = self.state.timer.now()
                choice = choose_server(
                    self.state,
                    request,
                    exchange.route,
                    exchange.account,
                    exchange.service,
                    excluded,
                    now,
                )
                if not choice or choice.plan is None:
                    return choice
                verdict = self.state.gate.decide(
                    gate_query(self.state, exchange, choice), now
                )
                if verdict:
                    return choice
                if verdict.has_same_name(TOO_LATE):
                    return verdict
                exchange.waits += 1
                await trio.sleep(GATE_LOOK)
        finally:
            left = WaitEnded(request=request.request_id)
            self.state.gate.observe(left, self.state.timer.now())

    def _retry(self, exchange, attempt):
        """Return a ``Retry`` for a failed attempt, or a sentinel with the reason."""
        route, now = exchange.route, self.state.timer.now()
        servers = len(exchange.servers)
        query = RetryQuery(
            service=exchange.service,
            # What was declared not run may be repeated on every route.
            idempotent=route.is_repeatable or not exchange.may_have_run,
            failure=attempt.failure,
            answer_begun=exchange.channel.started and not route.is_resumable,
            # A server that declined for its weight version took no attempt.
            attempts=0 if attempt.is_version_mismatch else servers,
            unsent_attempts=sum(
                item.failure is Failure.NOT_SENT for item in exchange.attempts
            ),
            max_attempts=route.max_servers,
            entry_count=self.state.entries,
            deadline_at=exchange.deadline_at,
        )
        return self.state.retries.decide(query, now)

    async def _give_up(self, exchange, reason):
        """Give the final answer of a request that no server answered."""
        state, channel = self.state, exchange.channel
        last = exchange.attempts[-1] if exchange.attempts else None
        if channel.started:
            channel.closing = True
            outcome = "broken"
        elif last is not None and last.answer is not None:
            head, body = last.answer
            headers = state.platform.encode_response_headers(head)
            await channel.respond(head.status, headers, body, head.reason)
            outcome = f"passed on {head.status}"
        elif exchange.may_have_run:
            await self._refuse(exchange, 502, None)
            outcome = "failed"
        else:
            retry_after = self._retry_after(exchange, last)
            await self._refuse(exchange, 503, retry_after)
            outcome = "refused"
        state.metrics.count("request.failed", label=outcome.partition(" ")[0])
        state.log.write(
            "request_given_up",
            request=exchange.request.request_id,
            reason=reason,
            outcome=outcome,
            attempts=len(exchange.attempts),
            time_left=round(exchange.time_left(state.timer.now()), 3),
        )

    def _retry_after(self, exchange, last):
        """Return the seconds after which a request not run may come back."""
        if last is not None and last.retry_after is not None:
            return last.retry_after
        if exchange.waits:
            # Those that wait now are served or gone by then.
            return max(NOT_RUN_RETRY, exchange.route.objective)
        return NOT_RUN_RETRY

    async def _refuse(self, exchange, status, retry_after):
        headers = self.state.platform.encode_error_headers(
            exchange.request.request_id, retry_after
        )
        await exchange.channel.respond(status, headers, b"")

    async def _attempt(self, exchange, choice):
        """Send the request once; return the :class:`Attempt`."""
        state, now = self.state, self.state.timer.now()
        self.counter += 1
        attempt = Attempt(choice, f"{state.incarnation}/{self.counter}", now)
        exchange.attempts.append(attempt)
        server = choice.record.server
        state.health.observe(CallStarted(server=server), now)
        self._note_start(exchange, attempt, now)
        try:
            with self._movable(exchange, server) as scope:
                await self._send_and_answer(exchange, attempt)
            if scope.cancelled_caught:
                raise ChannelError("the server fell silent")
        except NotSentError as error:
            attempt.failure, attempt.reason = Failure.NOT_SENT, str(error)
        except ChannelError as error:
            attempt.failure, attempt.reason = Failure.LOST, str(error)
            exchange.may_have_run = True
            exchange.splitter.discard_incomplete()
        finally:
            self._note_end(exchange, attempt, now)
        return attempt

    @contextmanager
    def _movable(self, exchange, server):
        """Let an attempt that may be repeated end when its server falls silent."""
        with trio.CancelScope() as scope:
            if not exchange.route.is_repeatable:
                yield scope
                return
            scopes = self.state.movable.setdefault(server, set())
            scopes.add(scope)
            try:
                yield scope
            finally:
                scopes.discard(scope)
                if not scopes:
                    self.state.movable.pop(server, None)

    def _note_start(self, exchange, attempt, now):
        state, plan = self.state, attempt.choice.plan
        server = attempt.choice.record.server
        state.silence.observe(RequestSent(server=server, request=attempt.name), now)
        if plan is None:
            event = Dispatched(request=attempt.name, server=server, tokens=0)
            state.plain_router.observe(event, now)
            return
        prompt = exchange.request.prompt
        event = Dispatched(request=attempt.name, server=server, tokens=plan.tokens)
        state.part_router.observe(event, now)
        size = prompt.prompt_tokens + prompt.output_tokens
        promise = MemoryReserved(request=attempt.name, server=server, tokens=size)
        state.part_router.observe(promise, now)
        state.gossip.note_sent(server, plan.tokens)
        for part, address in zip(prompt.parts, plan.save_to, strict=True):
            if address:
                state.parts.record_save_start(
                    address, plan.candidate.cache_key, part.part, part.tokens, now
                )

    def _note_end(self, exchange, attempt, begun_at):
        state, now = self.state, self.state.timer.now()
        server = attempt.choice.record.server
        state.silence.observe(RequestEnded(server=server, request=attempt.name), now)
        ended = DispatchEnded(request=attempt.name)
        if attempt.choice.plan is None:
            state.plain_router.observe(ended, now)
        else:
            state.part_router.observe(ended, now)
            state.part_router.observe(MemoryReleased(request=attempt.name), now)
        is_own_failure = attempt.failure in (Failure.NOT_SENT, Failure.LOST)
        event = CallEnded(server=server, ok=not is_own_failure, seconds=now - begun_at)
        state.health.observe(event, now)

    async def _send_and_answer(self, exchange, attempt):
        state, record = self.state, attempt.choice.record
        pool = self._pool(record.address)
        channel = await pool.take(state.timer.now())
        kept = False
        try:
            dispatch = self._dispatch(exchange, attempt)
            headers = state.platform.encode_request_headers(exchange.request, dispatch)
            request = exchange.request
            await self._send(exchange, channel, headers)
            head, facts = await self._read_head(channel, request.request_id)
            self._learn(attempt, facts)
            fields = await self._answer(exchange, attempt, channel, head, facts)
            if fields is not None and not facts.is_leaving:
                pool.give_back(channel, fields, state.timer.now())
                kept = True
        finally:
            if not kept:
                channel.close()

    async def _send(self, exchange, channel, headers):
        request = exchange.request
        message = (request.method, request.target, headers, request.body)
        if len(request.body) <= SHORT_BODY_BYTES:
            await channel.send_request(*message)
            return
        # A server may answer before it has read a long body.
        channel.sent_all = False
        exchange.nursery.start_soon(send_quietly, channel, *message)

    def _pool(self, address):
        if address not in self.state.pools:
            host, _, port = address.rpartition(":")
            if len(self.state.pools) >= MAX_POOLS:
                self.state.pools.pop(next(iter(self.state.pools))).close()
            pool = ChannelPool((host, int(port)), CONNECT_TIMEOUT)
            self.state.pools[address] = pool
        return self.state.pools[address]

    def _dispatch(self, exchange, attempt):
        state, now = self.state, self.state.timer.now()
        plan, account = attempt.choice.plan, exchange.account
        rank = request_rank(exchange.route, account)
        common = {
            "server": attempt.choice.record.server,
            "time_left": exchange.time_left(now),
            "account": account.name if account is not None else "",
            "passes_key": not state.routes.configuration.accounts,
            "last_event": exchange.splitter.last_id,
        }
        if plan is None:
            return Dispatch(**common)
        return Dispatch(
            **common,
            weight_version=plan.candidate.version,
            cache_key=plan.candidate.cache_key,
            urgency=min(LEAST_URGENT, URGENCY_STEP * rank + 1),
            fetch_from=plan.fetch_from,
            save_to=plan.save_to,
            fetch_until=state.server_time(now + FETCH_TIME),
        )

    async def _read_head(self, channel, request_id):
        """Return the head and facts of the response to this request."""
        while True:
            head = await channel.read_head()
            facts = self.state.platform.decode_response(head)
            if not facts.request_id or facts.request_id == request_id:
                return head, facts
            self.state.metrics.count("answer.mismatch")
            await channel.skip_response()

    def _learn(self, attempt, facts):
        """Take in what a response says of its server."""
        state, now = self.state, self.state.timer.now()
        record, plan = attempt.choice.record, attempt.choice.plan
        if facts.load is not None and plan is None:
            report = LoadReport(
                server=record.server, running=facts.load.running + facts.load.waiting
            )
            state.plain_router.observe(report, now)
        if facts.weight_version is not None and plan is not None:
            self._learn_version(attempt, facts.weight_version, now)

    def _learn_version(self, attempt, version, now):
        record = attempt.choice.record
        for model in record.versions:
            event = ServerVersionReported(
                server=record.server,
                incarnation=record.incarnation,
                model=model,
                version=version,
            )
            self.state.swap.observe(event, now)

    async def _answer(self, exchange, attempt, channel, head, facts):
        """Pass a response on; return its headers, ``None`` to close the channel."""
        if facts.is_not_run:
            await channel.read_body(MAX_BODY_BYTES)
            self._note_not_run(attempt, head, facts)
            return head.fields
        exchange.may_have_run = True
        if 200 <= head.status < 300 and not facts.is_verified_success:
            raise ChannelError("a success without the server's proof")
        if exchange.route.kind is RouteKind.STREAM and head.status == 200:
            return await self._pass_stream(exchange, attempt, channel, head)
        body = await channel.read_body(MAX_BODY_BYTES)
        if head.status >= 500:
            attempt.failure = Failure.ERROR
            attempt.reason = f"the server answered {head.status}"
            attempt.answer = (head, body)
            return head.fields
        if exchange.channel.started:
            raise ChannelError("a resumed stream was answered without events")
        headers = self.state.platform.encode_response_headers(head)
        await exchange.channel.respond(head.status, headers, body, head.reason)
        self._note_answered(exchange, attempt)
        return head.fields

    def _note_not_run(self, attempt, head, facts):
        state, now = self.state, self.state.timer.now()
        attempt.failure = Failure.OVERLOAD
        attempt.reason = f"not run, {head.status}"
        attempt.retry_after = facts.retry_after
        server, plan = attempt.choice.record.server, attempt.choice.plan
        if head.status != 421 or self._is_other_server(attempt, facts, now):
            return
        if plan is None:
            return
        if facts.server in ("", server):
            # It has loaded the named version since, or is about to.
            attempt.is_version_mismatch = True
            model = next(iter(attempt.choice.record.versions), "")
            named = state.swap.named_versions_.get(model, 0)
            if facts.weight_version is None and named > plan.candidate.version:
                self._learn_version(attempt, named, now)
            else:
                state.swap.observe(ServerOrdered(server=server), now)

    def _is_other_server(self, attempt, facts, now):
        """Take in that another server has the address; return whether it has."""
        record = attempt.choice.record
        if facts.server in ("", record.server):
            return False
        attempt.is_misdirected = True
        if self.state.servers.remove_replaced(record):
            removed = ServerRemoved(server=record.server)
            self.state.health.observe(removed, now)
            self.state.log.write(
                "server_replaced",
                server=record.server,
                address=record.address,
                found=facts.server,
            )
        return True

    async def _pass_stream(self, exchange, attempt, channel, head):
        """Pass a stream of events on as they come."""
        caller, splitter = exchange.channel, exchange.splitter
        if not caller.started:
            headers = self.state.platform.encode_response_headers(head)
            framed = [*headers, (b"Transfer-Encoding", b"chunked")]
            first = caller.encode_head(head.status, framed, head.reason)
            await caller.write(first)
        is_first = True
        try:
            while data := await channel.read_piece():
                self._note_heard(attempt)
                whole = splitter.feed(data)
                if is_first:
                    self._note_first(exchange, attempt)
                    is_first = False
                if whole:
                    await caller.send_piece(whole)
        except ChannelError:
            splitter.discard_incomplete()
            raise
        if remainder := splitter.flush():
            await caller.send_piece(remainder)
        await caller.finish()
        self._note_answered(exchange, attempt)
        return head.fields

    def _note_heard(self, attempt):
        server = attempt.choice.record.server
        event = BytesReceived(server=server, request=attempt.name)
        self.state.silence.observe(event, self.state.timer.now())

    def _note_first(self, exchange, attempt):
        state, now = self.state, self.state.timer.now()
        begun_at = exchange.request.begun_at
        label = str(exchange.route.rank)
        state.metrics.time("request.first_token", now - begun_at, label)
        attempt.first = now - attempt.begun_at
        plan = attempt.choice.plan
        if plan is None:
            return
        event = FirstTokenArrived(
            request=attempt.name,
            seconds=attempt.first,
            learn=not plan.fetched,
        )
        state.part_router.observe(event, now)

    def _note_answered(self, exchange, attempt):
        state = self.state
        state.metrics.count("request.answered", label=exchange.route.kind)
        plan = attempt.choice.plan
        if plan is not None:
            state.metrics.count("prompt.recomputed", plan.tokens)
            state.metrics.count("prompt.fetched", plan.fetched)
            state.metrics.count("prompt.kept", plan.kept)

    def _log(self, exchange, attempt):
        """Write one line for an attempt: what was decided, on what, and its outcome."""
        plan, record = attempt.choice.plan, attempt.choice.record
        request = exchange.request
        fields = {
            "request": request.request_id,
            "route": exchange.route.name,
            "account": exchange.account.name if exchange.account else "",
            "server": record.server,
            "configuration": self.state.routes.configuration.version,
            "seconds": round(self.state.timer.now() - request.begun_at, 4),
            "outcome": attempt.reason or "answered",
            "events": exchange.splitter.event_count,
            "waits": exchange.waits,
        }
        if plan is not None:
            fields.update(
                weight_version=plan.candidate.version,
                predicted=round(plan.seconds, 4),
                first=attempt.first and round(attempt.first, 4),
                computed=plan.tokens,
                kept=plan.kept,
                fetched=plan.fetched,
            )
        self.state.log.write("attempt", **fields)


async def send_quietly(channel, *message):
    """Send a request; a failure shows when the response is read."""
    try:
        await channel.send_request(*message)
    except (ChannelError, trio.ClosedResourceError):
        channel.sent_all = False
