"""Serves chat completions: admit, route, fetch pieces, relay."""

import secrets
from dataclasses import replace

import trio

from wasabistage.admission import RequestArrived
from wasabistage.cache import (
    Tier,
    TransferCancelled,
)
from wasabistage.entry._attempts import run_attempts
from wasabistage.entry._cache_messages import (
    AskProgress,
    Fetched,
    FetchPieces,
    FindPieces,
    TurnEnded,
)
from wasabistage.entry._gossip import StreamResumed
from wasabistage.entry._prompts import Served, describe_prompt, expected_work
from wasabistage.entry._relay import EngineStream
from wasabistage.entry._routing_messages import (
    AttemptEnded,
    ChooseServer,
    VersionMissing,
    VersionPendingError,
)
from wasabistage.entry._streams import CallerLeft
from wasabistage.entry._task import Reply
from wasabistage.exceptions import (
    DeadlineError,
    NotFoundError,
    OverloadError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.reference import EngineRequest
from wasabistage.routing import (
    FetchCompleted,
    FetchProgressQuery,
    FirstTokenArrived,
    Plan,
    get_link_name,
)
from wasabistage.sessions import (
    build_stream_id,
    derive_engine_stream_id,
    parse_stream_id,
)

STREAM_RANDOM_BYTES = 16
ATTEMPT_BYTES = 8
LEAST_PREDICTION_SECONDS = 0.01
LEAST_FETCH_SECONDS = 0.05
ENGINE_OPTIONS = ("temperature", "top_p", "seed", "stop")


class CompletionServer:
    """Serves completions of one entry.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param admission: the admission task.
    :param routing: the routing task.
    :param cache: the cache task.
    :param streams: the task of abandoned streams.
    :param gossip: the task that talks to peers.
    """

    def __init__(self, context, admission, routing, cache, streams, gossip):
        self.context = context
        self.admission = admission
        self.routing = routing
        self.cache = cache
        self.streams = streams
        self.gossip = gossip
        self.open_streams = set()

    def check_room(self):
        """Refuse another stream beyond the bound.

        :raises OverloadError: if as many streams are open as may be.
        """
        if len(self.open_streams) >= self.context.settings.max_streams:
            raise OverloadError(
                "this entry has as many streams open as it may",
                remedy="use the next entry of the answer",
                retry_after=1.0,
            )

    async def open(self, completion):
        """Admit a completion, find a server and wait for the first frame.

        :param completion: a :class:`Completion`.
        :return: a :class:`Served`.
        :raises WasabistageError: if it was refused or no server answered.
        """
        self.check_room()
        prompt = describe_prompt(completion)
        call = completion.resolved.call
        deadline_at = self.context.timers.now() + call.deadline
        slot = await self._admit(completion, prompt, deadline_at)
        served = None
        try:
            with trio.move_on_at(deadline_at):
                served = await self._attempt_all(completion, prompt, deadline_at)
        finally:
            if served is None:
                slot.release()
        if served is None:
            raise DeadlineError(
                "no first token came within the call's deadline",
                remedy="retry later",
                ran="unknown",
                retry_after=1.0,
            )
        slot.first_byte()
        served.slot = slot
        self.context.metrics.count("prompt.tokens", prompt.tokens)
        return served

    async def _admit(self, completion, prompt, deadline_at):
        call = completion.resolved.call
        found = await self.cache.ask(FindPieces(prompt=prompt))
        work = expected_work(prompt, found) + completion.body.max_tokens
        arrive = RequestArrived(
            request_id=completion.request_id,
            account=completion.account.name,
            rank=call.rank,
            service=completion.resolved.service.name,
            cost=call.cost or work,
            deadline_at=deadline_at,
        )
        hop = self.context.tracer.hop
        with hop("admission", completion.request_id, completion.parent):
            return await self.admission.acquire(arrive)

    async def _attempt_all(self, completion, prompt, deadline_at):
        async def attempt(tried):
            current = self._renew(completion, prompt)
            return await self._attempt(completion, current, tried)

        return await run_attempts(
            self.context, self.routing, completion.resolved, deadline_at, attempt
        )

    def _renew(self, completion, prompt):
        """Name the pieces anew if another weight version was declared meanwhile.

        No server may load the old version any more, and nothing of the answer has
        run yet.
        """
        declared = self.context.config.value.deployment.models.get(prompt.model.name)
        if declared is None or declared.version == prompt.model.version:
            return prompt
        resolved = replace(completion.resolved, model=declared)
        return describe_prompt(replace(completion, resolved=resolved))

    async def _attempt(self, completion, prompt, tried):
        """Try one server; return its name and the result or the error."""
        attempt_id = secrets.token_hex(ATTEMPT_BYTES)
        try:
            chosen = await self._choose(completion, prompt, tried, attempt_id)
        except WasabistageError as error:
            return "", error
        served = self._make_served(completion, prompt, chosen, attempt_id)
        hop = self.context.tracer.hop
        server = chosen.server.name
        facts = {"server": server, "plan": str(chosen.decision.plan)}
        try:
            with hop(
                "engine", completion.request_id, completion.parent, **facts
            ) as inner:
                await self._begin(served, chosen, inner)
        except NotFoundError:
            return server, await self._miss_version(served)
        except BaseException as error:
            self._end_attempt(served, good=False)
            await served.stream.close()
            if isinstance(error, WasabistageError):
                return server, error
            if isinstance(error, StopAsyncIteration):
                return server, _no_frame(server)
            raise
        return server, served

    async def _miss_version(self, served):
        """Note that a server swapped weights after its last report."""
        model, server = served.prompt.model, served.stream.server.name
        self._end_attempt(served, good=True)
        await served.stream.close()
        self.routing.tell(VersionMissing(server=server, model=model.name))
        return VersionPendingError(
            f"backend server {server} does not hold version {model.version}",
            remedy="retry later; a rollout is under way",
            retry_after=1.0,
        )

    async def _choose(self, completion, prompt, tried, attempt_id):
        found = await self.cache.ask(FindPieces(prompt=prompt))
        question = ChooseServer(
            attempt=attempt_id,
            service=completion.resolved.service,
            tried=tried,
            rank=prompt.rank,
            prompt=prompt,
            found=found,
        )
        hop = self.context.tracer.hop
        with hop("routing", completion.request_id, completion.parent):
            return await self.routing.ask(question)

    def _make_served(self, completion, prompt, chosen, attempt_id):
        server = chosen.server
        stream_id = build_stream_id(
            server.name, secrets.token_bytes(STREAM_RANDOM_BYTES)
        )
        stream = EngineStream(
            self.context,
            server,
            str(stream_id),
            derive_engine_stream_id(completion.account.name, stream_id),
            completion.resolved.service.name,
        )
        return Served(
            completion=completion,
            prompt=prompt,
            stream=stream,
            attempt=attempt_id,
            expected=chosen.decision.pieces,
        )

    async def _begin(self, served, chosen, inner):
        decision, prompt = chosen.decision, served.prompt
        if decision.plan is Plan.FETCH:
            await self._fetch(served, decision)
        started = self.context.timers.now()
        await served.stream.begin(self._engine_request(served, inner))
        seconds = self.context.timers.now() - started
        tokens = max(1, prompt.tokens - decision.pieces * prompt.model.piece_tokens)
        self.routing.tell(
            FirstTokenArrived(request=served.attempt, seconds=seconds, computed=tokens)
        )
        predicted = max(decision.predicted_first_token, LEAST_PREDICTION_SECONDS)
        served.pace = seconds / predicted
        rank = served.completion.resolved.call.rank.name.lower()
        self.context.metrics.time("request.first_token", seconds, rank)

    async def _fetch(self, served, decision):
        """Import stored pieces."""
        prompt = served.prompt
        first = decision.pieces - decision.fetched
        question = FetchPieces(
            prompt=prompt,
            store=decision.store,
            tail=decision.tail,
            server=decision.server,
            first=first,
            pieces=decision.pieces,
        )
        reply = Reply()
        self.cache.post(question, reply)
        try:
            fetched = await self._wait_fetch(reply, decision, prompt)
        except trio.Cancelled:
            self._cancel_fetch(reply)
            raise
        served.expected = first + fetched.pieces
        if fetched.size:
            done = FetchCompleted(
                store=get_link_name(decision.store, Tier.MEMORY),
                size=fetched.size,
                seconds=fetched.seconds,
            )
            self.routing.tell(done)

    async def _wait_fetch(self, reply, decision, prompt):
        """Wait for a fetch as long as it is better than recomputing."""
        wait = max(LEAST_FETCH_SECONDS, decision.check_fetch_after)
        while True:
            with trio.move_on_after(wait):
                return await reply.wait()
            progress = await self.cache.ask(AskProgress(transfer=reply.tag or ""))
            question = FetchProgressQuery(
                server=decision.server,
                store=get_link_name(decision.store, Tier.MEMORY),
                ahead=progress.ahead,
                size=progress.left,
                tokens=progress.pieces * prompt.model.piece_tokens,
            )
            answer = await self.routing.ask(question)
            if not answer:
                self._cancel_fetch(reply)
                return Fetched(pieces=decision.fetched - progress.pieces)
            wait = answer.check_after

    def _cancel_fetch(self, reply):
        if not reply.done.is_set() and reply.tag is not None:
            self.cache.tell(TransferCancelled(transfer=reply.tag))

    def _engine_request(self, served, inner):
        completion, prompt = served.completion, served.prompt
        body = completion.body
        options = {
            name: getattr(body, name)
            for name in ENGINE_OPTIONS
            if getattr(body, name) is not None
        }
        return EngineRequest(
            stream_id=served.stream.engine_stream,
            model=prompt.model.name,
            version=prompt.model.version,
            messages=tuple(item.model_dump() for item in body.messages),
            max_tokens=body.max_tokens,
            salt=prompt.salt,
            cache_keys=prompt.keys,
            piece_tokens=prompt.model.piece_tokens,
            priority=int(prompt.rank),
            options=options,
            trace=self.context.tracer.inject(inner),
        )

    async def relay(self, served):
        """Yield the events of an answer to its caller.

        :param served: what :meth:`open` returned.
        :return: asynchronous iterator of bytes.
        """
        stream, completion = served.stream, served.completion
        self.open_streams.add(stream)
        finished = False
        hop = self.context.tracer.hop
        facts = {"server": stream.server.name}
        try:
            with hop("relay", completion.request_id, completion.parent, **facts):
                async for event in stream.events():
                    yield event
            finished = True
        finally:
            self.open_streams.discard(stream)
            self._settle(served, finished)
            await stream.close()

    def _settle(self, served, finished):
        """Tell every task how the answer ended; runs on each way out."""
        stream = served.stream
        self._end_attempt(served, good=stream.whole or not finished)
        if not stream.whole:
            self._leave(stream)
            served.slot.release()
            return
        last = stream.last
        self.context.metrics.count("request.answered")
        computed = max(0, last.prompt_tokens - last.cached_tokens)
        self.context.metrics.count("prompt.recomputed", computed)
        served.slot.cost = computed + last.position
        served.slot.release()
        self.cache.tell(
            TurnEnded(
                prompt=served.prompt,
                server=stream.server.name,
                expected=served.expected,
                cached_tokens=last.cached_tokens,
            )
        )

    def _end_attempt(self, served, good):
        if served.settled:
            return
        served.settled = True
        self.routing.tell(
            AttemptEnded(
                attempt=served.attempt,
                server=served.stream.server.name,
                good=good,
                seconds=served.pace,
            )
        )

    def _leave(self, stream):
        self.streams.tell(
            CallerLeft(
                stream_id=stream.stream_id,
                engine_stream=stream.engine_stream,
                server=stream.server.name,
            )
        )

    async def resume(self, account, text, token):
        """Open a stream again that a caller lost.

        :param account: the client account.
        :param text: identifier of the stream, as the caller sent it.
        :param token: the caller's :class:`wasabistage.sessions.ResumeToken`.
        :return: an :class:`EngineStream`.
        :raises NotFoundError: if no such stream of this account is known.
        """
        self.check_room()
        stream_id = parse_stream_id(text)
        deployment = self.context.config.value.deployment
        server = deployment.servers.get(stream_id.server)
        if server is None:
            raise NotFoundError(
                "the stream is not known", remedy="send the whole prompt again"
            )
        engine_stream = derive_engine_stream_id(account.name, stream_id)
        stream = EngineStream(self.context, server, text, engine_stream, resume=token)
        await stream.reopen()
        self.context.metrics.count("answer.resumed")
        resumed = StreamResumed(stream_id=text)
        self.streams.tell(resumed)
        self.gossip.tell(resumed)
        return stream

    async def relay_resumed(self, stream):
        """Yield the events of a resumed stream.

        :param stream: what :meth:`resume` returned.
        :return: asynchronous iterator of bytes.
        """
        self.open_streams.add(stream)
        try:
            async for event in stream.events():
                yield event
        finally:
            self.open_streams.discard(stream)
            if not stream.whole:
                self._leave(stream)
            await stream.close()

    def hand_over(self):
        """Tell the callers of every open stream to resume elsewhere."""
        for stream in self.open_streams:
            stream.handed_over = True


def _no_frame(server):
    return UnavailableError(
        f"backend server {server} sent no frame", remedy="retry later", ran="unknown"
    )
