"""The HTTP interface towards callers."""

import secrets
from contextlib import aclosing

from quart import Response, g, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException

from wasabistage.base import Ran
from wasabistage.entry._accounts import AccountDirectory
from wasabistage.entry._border import WholeEnds
from wasabistage.entry._cache_messages import SessionAnnounced
from wasabistage.entry._calls import resolve_completion, resolve_plain
from wasabistage.entry._frames import error_body
from wasabistage.entry._gossip import AskAddresses
from wasabistage.entry._once import RunOnce, TakeTickets
from wasabistage.entry._plain import (
    PASSED_REQUEST_HEADERS,
    PlainCall,
    pick_headers,
)
from wasabistage.entry._prompts import Completion
from wasabistage.entry._request_log import (
    RequestRecord,
    describe_failure,
    status_of,
)
from wasabistage.entry._responses import (
    answer_whole,
    stream_response,
    translate_http_error,
)
from wasabistage.entry._schemas import (
    CompletionBody,
    EntriesQuery,
    ResumeQuery,
    parse_body,
    parse_query,
)
from wasabistage.exceptions import (
    BadRequestError,
    OverloadError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.observe import make_logger
from wasabistage.sessions import ResumeToken

REQUEST_ID_BYTES = 16
LONGEST_KEY = 512
KEY_HEADER = "Idempotency-Key"
INQUIRY_HEADER = "Idempotency-Inquiry"
METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
log = make_logger("caller")


class CallerApp:
    """Builds the application and holds what its handlers need.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param completions: the :class:`CompletionServer`.
    :param plain: the :class:`PlainServer`.
    :param once: the task of non-idempotent calls.
    :param gossip: the task that knows the entries.
    :param cache: the task that stages sessions ahead.
    """

    def __init__(self, context, completions, plain, once, gossip, cache):
        self.context = context
        self.completions = completions
        self.plain = plain
        self.once = once
        self.gossip = gossip
        self.cache = cache
        self.directory = AccountDirectory(context.config.value.deployment)
        self.running = 0
        self.closed = False

    def build(self):
        """Build the application.

        :return: a :class:`quart_trio.QuartTrio`.
        """
        settings = self.context.settings
        app = QuartTrio("wasabistage")
        app.config["MAX_CONTENT_LENGTH"] = settings.max_body_bytes
        app.config["BODY_TIMEOUT"] = settings.body_timeout
        app.config["RESPONSE_TIMEOUT"] = settings.request_timeout
        rules = (
            ("/v1/entries", self.get_entries, ["GET"]),
            ("/v1/chat/completions", self.post_completion, ["POST"]),
            ("/v1/streams/<stream_id>", self.get_stream, ["GET"]),
            ("/v1/services/<service>/<path:path>", self.call_service, METHODS),
        )
        for rule, handler, methods in rules:
            app.add_url_rule(rule, view_func=self.guard(handler), methods=methods)
        app.register_error_handler(WasabistageError, self.answer_error)
        app.register_error_handler(HTTPException, self.answer_http_error)
        app.register_error_handler(Exception, self.answer_fault)
        app.asgi_app = WholeEnds(app.asgi_app)
        return app

    def guard(self, handler):
        """Count and log a handler's requests and refuse them beyond the bound.

        :param handler: asynchronous view function.
        :return: an asynchronous view function.
        """

        async def guarded(**arguments):
            now = self.context.timers.now
            record = g.record = self.make_record(handler.__name__)
            try:
                answer = await self.run_bounded(handler, arguments)
            except BaseException as error:
                record.write(now(), *describe_failure(error, translate_http_error))
                raise
            if not record.streaming:
                record.write(now(), status_of(answer))
            return answer

        guarded.__name__ = handler.__name__
        return guarded

    def count_work(self):
        """Count what is under way, for the status.

        :return: numbers by metric name; all are 0 while nothing runs.
        """
        admitted = self.plain.admission.policy.limiter_.in_flight_counts_
        return {
            "work.requests": self.running,
            "work.streams": len(self.completions.open_streams),
            "work.admitted": sum(admitted.values()),
            "work.attempts": len(self.once.attempts),
        }

    def make_record(self, endpoint=""):
        """Build the log record of a request that arrives now.

        :param endpoint: name of its handler; empty for an unknown path.
        :return: a :class:`RequestRecord`.
        """
        started = self.context.timers.now()
        return RequestRecord(
            request_id=new_request_id(), started=started, endpoint=endpoint
        )

    async def run_bounded(self, handler, arguments):
        """Run a handler, unless too many requests run.

        :param handler: asynchronous view function.
        :param arguments: its arguments.
        :return: what it returns.
        """
        self.check_open()
        self.running += 1
        try:
            return await handler(**arguments)
        finally:
            self.running -= 1

    def check_open(self):
        """Refuse new requests while closed or full.

        :raises UnavailableError: if this entry is about to stop.
        :raises OverloadError: if too many requests wait or run.
        """
        if self.closed:
            raise UnavailableError(
                "this entry is about to stop",
                remedy="ask another entry which one to use",
                retry_after=0.0,
            )
        if self.running >= self.context.settings.max_requests:
            raise OverloadError(
                "this entry has as many requests as it may",
                remedy="use the next entry of the answer",
                retry_after=1.0,
            )

    def authenticate(self):
        """Return the client account of the current request."""
        deployment = self.context.config.value.deployment
        if not deployment.accounts:
            raise UnavailableError(
                "no configuration is in force here yet",
                remedy="retry, or publish one",
                retry_after=1.0,
            )
        if self.directory.deployment is not deployment:
            self.directory = AccountDirectory(deployment)
        account = self.directory.authenticate(request.headers.get("Authorization"))
        g.record.account = account.name
        return account

    async def get_entries(self):
        """Answer which entries to use, with tickets if asked for."""
        account = self.authenticate()
        query = parse_query(EntriesQuery, request.args)
        question = AskAddresses(
            account=account.name,
            session=query.session or "",
            domain=query.failure_domain or "",
        )
        answer = await self.gossip.ask(question)
        tickets = ()
        if query.tickets:
            tickets = await self.once.ask(
                TakeTickets(account=account.name, count=query.tickets)
            )
        if query.session:
            self.cache.tell(
                SessionAnnounced(account=account.name, session=query.session)
            )
        return {
            "entries": [
                {
                    "instance": item.instance,
                    "address": item.address,
                    "failure_domain": item.failure_domain,
                }
                for item in answer.addresses
            ],
            "lifetime": answer.lifetime,
            "when_none_works": answer.when_none_works,
            "retry_after": answer.retry_after,
            "tickets": list(tickets),
            "tickets_from": self.context.settings.listen,
        }

    async def post_completion(self):
        """Answer a chat completion."""
        account = self.authenticate()
        body = parse_body(CompletionBody, await request.get_data())
        deployment = self.context.config.value.deployment
        record = g.record
        with self.hop() as parent:
            resolved = resolve_completion(deployment, body.model, body.call)
            record.note_call(resolved)
            completion = Completion(
                request_id=record.request_id,
                account=account,
                resolved=resolved,
                body=body,
                parent=parent,
            )
            served = await self.completions.open(completion)
        stream = served.stream
        record.server = stream.server.name
        events = self.completions.relay(served)
        if not body.stream:
            return await answer_whole(events, record.request_id, stream.stream_id)
        events = self.watch(events, record, stream)
        return await stream_response(events, record.request_id, stream.stream_id)

    def hop(self):
        """Count the current request and measure it.

        :return: a context manager of the context of its span.
        """
        self.context.metrics.count("request.received")
        accepted = self.context.tracer.accept(request.headers)
        return self.context.tracer.hop("request", g.record.request_id, accepted)

    def watch(self, events, record, stream):
        """Pass the events of a stream on and log its request at the end.

        :param events: asynchronous iterator of bytes.
        :param record: the :class:`RequestRecord`.
        :param stream: the :class:`wasabistage.entry._relay.EngineStream`.
        :return: asynchronous iterator of bytes.
        """
        record.streaming = True
        return self._watch(events, record, stream)

    async def _watch(self, events, record, stream):
        try:
            # The inner iterator must end with this one, not with its collection.
            async with aclosing(events):
                async for event in events:
                    yield event
        finally:
            kind = "ok" if stream.whole else "cut"
            record.write(self.context.timers.now(), 200, kind)

    async def get_stream(self, stream_id):
        """Resume a stream from a position."""
        account = self.authenticate()
        query = parse_query(ResumeQuery, request.args)
        token = ResumeToken(
            request_id=stream_id, position=query.position, digest=query.digest or ""
        )
        record = g.record
        with self.hop():
            stream = await self.completions.resume(account, stream_id, token)
        record.server = stream.server.name
        events = self.completions.relay_resumed(stream)
        events = self.watch(events, record, stream)
        return await stream_response(events, record.request_id, stream_id)

    async def call_service(self, service, path):
        """Pass a call to a plain service."""
        account = self.authenticate()
        body = await request.get_data()
        deployment = self.context.config.value.deployment
        record = g.record
        with self.hop() as parent:
            resolved = resolve_plain(deployment, service, request.method, "/" + path)
            record.note_call(resolved)
            call = PlainCall(
                request_id=record.request_id,
                account=account,
                resolved=resolved,
                path="/" + path,
                query=request.query_string,
                body=body,
                headers=pick_headers(request.headers, PASSED_REQUEST_HEADERS),
                key=request.headers.get(KEY_HEADER, ""),
                parent=parent,
            )
            answer = await self.run_call(call)
        record.server = answer.server
        headers = {**answer.headers, "X-Request-Id": record.request_id}
        return Response(answer.body, answer.status, headers)

    async def run_call(self, call):
        """Run a plain call as its declaration demands.

        :param call: a :class:`PlainCall`.
        :return: a :class:`PlainAnswer`.
        """
        declared = call.resolved.call
        if declared.idempotent:
            return await self.plain.serve(call)
        if not call.key:
            raise BadRequestError(
                "this call is not idempotent and carries no Idempotency-Key",
                remedy="send a ticket of GET /v1/entries?tickets=1, or a UUIDv7",
            )
        if len(call.key) > LONGEST_KEY:
            raise BadRequestError(
                "the Idempotency-Key is too long", remedy="send a ticket or a UUIDv7"
            )
        deadline = self.context.timers.now() + declared.deadline
        if request.headers.get(INQUIRY_HEADER, "") == "1":
            return await self.inquire(call, deadline)
        try:
            slot = await self.plain.admit(call, deadline)
        except WasabistageError as refusal:
            return await self.refuse_once(call, deadline, refusal)
        try:
            return await self.once.run_call(RunOnce(call=call, deadline=deadline))
        finally:
            slot.release()

    async def inquire(self, call, deadline):
        """Find out what became of a key, and stop it if it was not run yet.

        :param call: a :class:`PlainCall`.
        :param deadline: monotonic time after which nobody waits, in seconds.
        :return: the :class:`PlainAnswer` of the run.
        :raises WasabistageError: with ``ran`` ``no`` or ``unknown``.
        """
        question = RunOnce(call=call, deadline=deadline, inquire=True)
        return await self.once.run_call(question)

    async def refuse_once(self, call, deadline, refusal):
        """Refuse an attempt without claiming more than is known of its key.

        An earlier attempt with the key may have run, so *not run* is said only once
        the key was refused for ever.

        :param call: a :class:`PlainCall`.
        :param deadline: monotonic time after which nobody waits, in seconds.
        :param refusal: the error of the admission.
        :return: the :class:`PlainAnswer` of an earlier attempt's run.
        :raises WasabistageError: the refusal, with what is known of the key.
        """
        try:
            return await self.inquire(call, deadline)
        except WasabistageError as known:
            refusal.ran = known.ran
            if known.ran is Ran.NO:
                refusal.remedy = f"{refusal.remedy}, under a new key"
            raise refusal from known

    async def answer_error(self, error):
        """Answer a typed error."""
        self.context.metrics.count("request.failed", label=error.kind)
        record = g.get("record")
        headers = {"X-Request-Id": record.request_id} if record else {}
        if error.retry_after is not None:
            headers["Retry-After"] = f"{max(1, round(error.retry_after))}"
        return {"error": error_body(error)}, error.status, headers

    async def answer_http_error(self, error):
        """Answer an error that the HTTP library found."""
        known = translate_http_error(error)
        if not g.get("record"):
            # No handler took the request, so nothing has logged it.
            g.record = self.make_record()
            g.record.write(self.context.timers.now(), known.status, known.kind)
        return await self.answer_error(known)

    async def answer_fault(self, error):
        """Answer a fault of this program without showing its inside."""
        record = g.get("record")
        facts = {"request_id": record.request_id} if record else {}
        log.exception("a request failed by a fault of this program", extra=facts)
        fault = WasabistageError(
            "the request failed by a fault of the system",
            remedy="retry, and report the X-Request-Id of this answer",
            ran=Ran.UNKNOWN,
        )
        return await self.answer_error(fault)


def new_request_id():
    """Return a fresh request identifier.

    :return: 32 hexadecimal characters.
    """
    return secrets.token_hex(REQUEST_ID_BYTES)
