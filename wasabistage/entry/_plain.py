"""Serves calls of plain services: method, path and body are passed whole."""

from dataclasses import dataclass, field

import httpx

from wasabistage.base import Ran
from wasabistage.entry._routing import AttemptEnded, ChooseServer
from wasabistage.exceptions import (
    OutcomeUnknownError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.platform import NOT_SENT

MOST_ATTEMPTS = 3
CONNECT_TIMEOUT_SECONDS = 1.0
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
    """

    status: int
    headers: dict
    body: bytes


class PlainServer:
    """Serves plain calls of one entry.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param routing: the routing task.
    """

    def __init__(self, context, routing):
        self.context = context
        self.routing = routing

    async def serve(self, call):
        """Run an idempotent call; it may be sent more than once.

        :param call: a :class:`PlainCall`.
        :return: a :class:`PlainAnswer`.
        :raises WasabistageError: if no server answered.
        """
        tried = ()
        while True:
            server = await self.choose(call, tried)
            tried += (server.name,)
            try:
                return await self.dispatch(call, server)
            except WasabistageError:
                if not call.resolved.call.idempotent or len(tried) >= MOST_ATTEMPTS:
                    raise
                self.context.metrics.count("request.retried")

    async def choose(self, call, tried):
        """Ask for a backend server.

        :param call: a :class:`PlainCall`.
        :param tried: names of the servers tried before.
        :return: a :class:`wasabistage.declarations.BackendServer`.
        """
        question = ChooseServer(service=call.resolved.service, tried=tried)
        return await self.routing.ask(question)

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
        try:
            answer = await self._send(call, server, patience)
            good = answer.status < 500
        finally:
            self.routing.tell(AttemptEnded(server=server.name, good=good))
        return answer

    async def _send(self, call, server, patience):
        headers = dict(call.headers)
        headers["X-Request-Id"] = call.request_id
        headers["X-Client-Account"] = call.account.name
        if call.key:
            headers["Idempotency-Key"] = call.key
        url = httpx.URL(
            scheme="http",
            host=server.address.rpartition(":")[0],
            port=int(server.address.rpartition(":")[2]),
            path=call.path,
            query=call.query or None,
        )
        timeout = httpx.Timeout(
            patience or call.resolved.call.deadline, connect=CONNECT_TIMEOUT_SECONDS
        )
        try:
            answer = await self.context.http.request(
                call.resolved.call.method,
                url,
                headers=headers,
                content=call.body,
                timeout=timeout,
            )
        except NOT_SENT as error:
            raise UnavailableError(
                f"no connection to backend server {server.name}",
                remedy="retry later",
                retry_after=1.0,
            ) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(
                f"backend server {server.name} did not answer",
                remedy="ask again with the same key",
                ran=Ran.UNKNOWN,
            ) from error
        return PlainAnswer(
            status=answer.status_code,
            headers=pick_headers(answer.headers, PASSED_ANSWER_HEADERS),
            body=answer.content,
        )


def pick_headers(headers, names):
    """Keep the named headers only.

    :param headers: mapping of headers.
    :param names: lower-case names to keep.
    :return: a dict.
    """
    return {name: headers[name] for name in names if name in headers}
