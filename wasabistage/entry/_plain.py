"""Serves calls of plain services: method, path and body are passed whole."""

from dataclasses import dataclass, field
from urllib.parse import quote

import trio

from wasabistage.admission import RequestArrived
from wasabistage.base import Ran
from wasabistage.entry._attempts import run_attempts
from wasabistage.entry._routing_messages import AttemptEnded, ChooseServer
from wasabistage.entry._services import REQUEST_ID_HEADER, ServiceClients
from wasabistage.exceptions import (
    DeadlineError,
    OutcomeUnknownError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.http1 import ChannelError, NotSentError

LEAST_COST = 1
FIRST_SERVER_ERROR = 500
#: Statuses after which an idempotent call is tried elsewhere.
RETRIED_STATUSES = (500, 502, 503, 504)
#: Headers of a caller that reach the backend server.
PASSED_REQUEST_HEADERS = ("content-type", "accept", "accept-language")
#: Headers of a backend server that reach the caller.
PASSED_ANSWER_HEADERS = ("content-type", "content-language", "cache-control", "etag")


@dataclass(frozen=True, kw_only=True)
class PlainCall:
    """One call of a plain service.

    :param request_id: identifier of the request.
    :param account: the client account.
    :param resolved: the declared call.
    :param path: path within the service, as the caller sent it.
    :param query: raw query string, bytes.
    :param body: body, bytes.
    :param headers: headers that may be passed on.
    :param key: idempotency key; empty for none.
    :param parent: trace context of the caller.
    """

    request_id: str
    account: object
    resolved: object
    path: str
    query: bytes = b""
    body: bytes = b""
    headers: dict = field(default_factory=dict)
    key: str = ""
    parent: object = None


@dataclass(frozen=True, kw_only=True)
class PlainAnswer:
    """Answer of a backend server.

    :param status: HTTP status.
    :param headers: headers that may be passed on.
    :param body: body, bytes.
    :param server: backend server that answered; empty if it is not known.
    """

    status: int
    headers: dict
    body: bytes
    server: str = ""


class PlainServer:
    """Serves plain calls of one entry.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param admission: the admission task.
    :param routing: the routing task.
    """

    def __init__(self, context, admission, routing):
        self.context = context
        self.admission = admission
        self.routing = routing
        self.services = ServiceClients(context.timers)

    def close(self):
        """Close the idle channels to plain services."""
        self.services.close()

    async def admit(self, call, deadline_at):
        """Wait for a slot.

        :param call: a :class:`PlainCall`.
        :param deadline_at: latest useful time of the answer, monotonic seconds.
        :return: a :class:`wasabistage.entry._admission.Slot`.
        """
        declared = call.resolved.call
        arrive = RequestArrived(
            request_id=call.request_id,
            account=call.account.name,
            rank=declared.rank,
            service=call.resolved.service.name,
            cost=declared.cost or LEAST_COST,
            deadline_at=deadline_at,
        )
        with self.context.tracer.hop("admission", call.request_id, call.parent):
            return await self.admission.acquire(arrive)

    async def serve(self, call):
        """Run an idempotent call; it may be sent more than once.

        :param call: a :class:`PlainCall`.
        :return: a :class:`PlainAnswer`.
        :raises WasabistageError: if no server answered.
        """
        deadline_at = self.context.timers.now() + call.resolved.call.deadline
        slot = await self.admit(call, deadline_at)

        async def attempt(tried):
            return await self._attempt(call, tried)

        answer = None
        try:
            with trio.move_on_at(deadline_at):
                answer = await run_attempts(
                    self.context, self.routing, call.resolved, deadline_at, attempt
                )
        finally:
            slot.release()
        if answer is None:
            raise DeadlineError(
                "no answer came within the call's deadline",
                remedy="retry later",
                ran=Ran.UNKNOWN,
                retry_after=1.0,
            )
        self.context.metrics.count("request.answered")
        return answer

    async def _attempt(self, call, tried):
        """Try one server; return its name and the answer or the error."""
        try:
            server = await self.choose(call, tried)
        except WasabistageError as error:
            return "", error
        try:
            answer = await self.dispatch(call, server)
        except WasabistageError as error:
            return server.name, error
        if answer.status in RETRIED_STATUSES:
            return server.name, _failed(server, answer)
        return server.name, answer

    async def choose(self, call, tried):
        """Ask for a backend server.

        :param call: a :class:`PlainCall`.
        :param tried: names of the servers tried before.
        :return: a :class:`wasabistage.declarations.BackendServer`.
        """
        question = ChooseServer(
            attempt=call.request_id,
            service=call.resolved.service,
            tried=tried,
            rank=call.resolved.call.rank,
        )
        with self.context.tracer.hop("routing", call.request_id, call.parent):
            return (await self.routing.ask(question)).server

    async def dispatch(self, call, server, patience=None):
        """Send a call to one backend server, once.

        :param call: a :class:`PlainCall`.
        :param server: the backend server.
        :param patience: longest wait for the answer, in seconds; ``None`` for the
            call's deadline.
        :return: a :class:`PlainAnswer`.
        :raises UnavailableError: if nothing was sent.
        :raises OutcomeUnknownError: if it was sent and no answer came.
        """
        good = False
        started = self.context.timers.now()
        hop = self.context.tracer.hop
        try:
            with hop(
                "service", call.request_id, call.parent, server=server.name
            ) as inner:
                answer = await self._send(call, server, patience, inner)
            good = answer.status < FIRST_SERVER_ERROR
        finally:
            ended = AttemptEnded(
                attempt=call.request_id,
                server=server.name,
                good=good,
                seconds=self.context.timers.now() - started,
            )
            self.routing.tell(ended)
        return answer

    async def _send(self, call, server, patience, inner):
        headers = {**call.headers, **self.context.tracer.inject(inner)}
        headers[REQUEST_ID_HEADER] = call.request_id
        headers["X-Client-Account"] = call.account.name
        if call.key:
            headers["Idempotency-Key"] = call.key
        target = safe_path(call.path).encode()
        if call.query:
            target += b"?" + call.query
        declared = call.resolved.call
        try:
            reply = await self.services.call(
                server.address,
                declared.method,
                target,
                headers,
                call.body,
                patience or declared.deadline,
            )
        except NotSentError as error:
            raise UnavailableError(
                f"no connection to backend server {server.name}",
                remedy="retry later",
                retry_after=1.0,
            ) from error
        except ChannelError as error:
            raise OutcomeUnknownError(
                f"backend server {server.name} did not answer: {error}",
                remedy="ask again with the same key",
                ran=Ran.UNKNOWN,
            ) from error
        received = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in reply.fields.items()
        }
        return PlainAnswer(
            status=reply.status,
            headers=pick_headers(received, PASSED_ANSWER_HEADERS),
            body=reply.body,
            server=server.name,
        )


def safe_path(path):
    """Escape a decoded path so that the server decodes it to the same one.

    :param path: path of a request, decoded.
    :return: the escaped path; ``%``, ``?`` and ``#`` can't change its meaning.
    """
    return quote(path, safe="/:@!$&'()*+,;=~")


def pick_headers(headers, names):
    """Keep the named headers only.

    :param headers: mapping of headers.
    :param names: lower-case names to keep.
    :return: a dict.
    """
    return {name: headers[name] for name in names if name in headers}


def _failed(server, answer):
    return UnavailableError(
        f"backend server {server.name} answered {answer.status}",
        remedy="retry later",
        ran=Ran.UNKNOWN,
        retry_after=1.0,
    )
