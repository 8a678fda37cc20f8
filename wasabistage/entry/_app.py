"""The HTTP interface towards callers."""

import secrets

import trio
from quart import Response, make_response, request
from quart_trio import QuartTrio
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge

from wasabistage.entry._accounts import AccountDirectory
from wasabistage.entry._calls import resolve_completion, resolve_plain
from wasabistage.entry._completions import Completion
from wasabistage.entry._frames import error_body
from wasabistage.entry._plain import (
    PASSED_REQUEST_HEADERS,
    PlainCall,
    pick_headers,
)
from wasabistage.entry._schemas import CompletionBody, parse_body
from wasabistage.exceptions import (
    BadRequestError,
    DeadlineError,
    NotFoundError,
    OverloadError,
    TooLargeError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.observe import make_logger

REQUEST_ID_BYTES = 16
METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
log = make_logger("caller")


class CallerApp:
    """Builds the application and holds what its handlers need.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param completions: the :class:`CompletionServer`.
    :param plain: the :class:`PlainServer`.
    :param addresses: the answerer of ``GET /v1/entries``.
    """

    def __init__(self, context, completions, plain, addresses):
        self.context = context
        self.completions = completions
        self.plain = plain
        self.addresses = addresses
        self.directory = AccountDirectory(context.config.value.deployment)
        self.running = 0

    def build(self):
        """Build the application.

        :return: a :class:`quart_trio.QuartTrio`.
        """
        settings = self.context.settings
        app = QuartTrio("wasabistage")
        app.config["MAX_CONTENT_LENGTH"] = settings.max_body_bytes
        app.config["BODY_TIMEOUT"] = settings.body_timeout
        app.config["RESPONSE_TIMEOUT"] = settings.request_timeout
        app.add_url_rule("/v1/entries", view_func=self.get_entries)
        app.add_url_rule(
            "/v1/chat/completions", view_func=self.post_completion, methods=["POST"]
        )
        app.add_url_rule(
            "/v1/services/<service>/<path:path>",
            view_func=self.call_service,
            methods=METHODS,
        )
        app.register_error_handler(WasabistageError, self.answer_error)
        app.register_error_handler(HTTPException, self.answer_http_error)
        app.register_error_handler(Exception, self.answer_fault)
        return app

    def authenticate(self):
        """Return the client account of the current request."""
        deployment = self.context.config.value.deployment
        if self.directory.deployment is not deployment:
            self.directory = AccountDirectory(deployment)
        return self.directory.authenticate(request.headers.get("Authorization"))

    async def get_entries(self):
        """Answer which entries to use."""
        account = self.authenticate()
        return await self.addresses.answer(account, request.args)

    async def post_completion(self):
        """Answer a chat completion."""
        account = self.authenticate()
        body = parse_body(CompletionBody, await request.get_data())
        deployment = self.context.config.value.deployment
        completion = Completion(
            request_id=new_request_id(),
            account=account,
            resolved=resolve_completion(deployment, body.model, body.call),
            body=body,
            parent=self.context.tracer.accept(request.headers),
        )
        self.context.metrics.count("request.received")
        with trio.move_on_after(completion.resolved.call.deadline) as scope:
            stream = await self.completions.open(completion)
        if scope.cancelled_caught:
            raise DeadlineError(
                "no first token came within the call's deadline",
                remedy="retry later",
                ran="unknown",
                retry_after=1.0,
            )
        response = await make_response(self.completions.relay(stream))
        response.content_type = "text/event-stream"
        response.headers["X-Request-Id"] = completion.request_id
        response.headers["X-Stream-Id"] = stream.stream_id
        response.headers["Cache-Control"] = "no-store"
        response.timeout = None
        return response

    async def call_service(self, service, path):
        """Pass a call to a plain service."""
        account = self.authenticate()
        body = await request.get_data()
        deployment = self.context.config.value.deployment
        call = PlainCall(
            request_id=new_request_id(),
            account=account,
            resolved=resolve_plain(deployment, service, request.method, "/" + path),
            path="/" + path,
            query=request.query_string,
            body=body,
            headers=pick_headers(request.headers, PASSED_REQUEST_HEADERS),
            key=request.headers.get("Idempotency-Key", ""),
            parent=self.context.tracer.accept(request.headers),
        )
        self.context.metrics.count("request.received")
        answer = await self.plain.serve(call)
        headers = {**answer.headers, "X-Request-Id": call.request_id}
        return Response(answer.body, answer.status, headers)

    async def answer_error(self, error):
        """Answer a typed error."""
        self.context.metrics.count("request.failed", label=error.kind)
        headers = {}
        if error.retry_after is not None:
            headers["Retry-After"] = f"{max(1, round(error.retry_after))}"
        return {"error": error_body(error)}, error.status, headers

    async def answer_http_error(self, error):
        """Answer an error that the HTTP library found."""
        return await self.answer_error(translate_http_error(error))

    async def answer_fault(self, error):
        """Answer a fault of this program without showing its inside."""
        log.exception("a request failed by a fault of this program")
        fault = WasabistageError(
            "the request failed by a fault of the system",
            remedy="retry, and report the time of this answer",
            ran="unknown",
        )
        return await self.answer_error(fault)


def translate_http_error(error):
    """Turn an error of the HTTP library into a typed one.

    :param error: a :class:`werkzeug.exceptions.HTTPException`.
    :return: a :class:`WasabistageError`.
    """
    if isinstance(error, RequestEntityTooLarge):
        return TooLargeError(
            "the body exceeds the bound", remedy="send a shorter request"
        )
    if error.code in (404, 405):
        return NotFoundError(
            "no such path or method", remedy="see the caller's guide for the paths"
        )
    if error.code == 408:
        return DeadlineError(
            "the body did not arrive in time", remedy="send it faster or shorter"
        )
    if error.code == 429:
        return OverloadError("too many requests", remedy="retry later", retry_after=1)
    if error.code == 503:
        return UnavailableError("not ready", remedy="retry later", retry_after=1)
    return BadRequestError(
        "the request is malformed", remedy="see the caller's guide for its form"
    )


def new_request_id():
    """Return a fresh request identifier.

    :return: 32 hexadecimal characters.
    """
    return secrets.token_hex(REQUEST_ID_BYTES)
