"""The caller's side: ask, keep, fail over, resume, retry."""

import random
import ssl
from dataclasses import dataclass, field
from functools import lru_cache

import httpx
import trio

from wasabistage.client._entries import EntryDirectory
from wasabistage.client._errors import (
    FailedAttempt,
    from_response,
    from_transport,
    is_system_error,
)
from wasabistage.client._events import AnswerEnd, AnswerError, read_events
from wasabistage.exceptions import (
    IntegrityError,
    NotFoundError,
    OutcomeUnknownError,
    WasabistageError,
)
from wasabistage.retries import (
    ClientRetryPolicy,
    ClientRetryQuery,
    Failure,
    FirstAttemptSent,
    ResumeStream,
    RetryWithNewKey,
)
from wasabistage.sessions import AnswerAssembler, FrameAction, Rejection

CONNECT_TIMEOUT_SECONDS = 1.0
READ_TIMEOUT_SECONDS = 15.0
DEADLINE_SECONDS = 60.0
KEY_HEADER = "Idempotency-Key"
INQUIRY_HEADER = "Idempotency-Inquiry"
#: Refused resumes, at one entry and another, before the prompt is sent again.
MOST_REFUSED_RESUMES = 2
#: Errors within a stream after which the prompt is sent again from its start.
RESTART_KINDS = (IntegrityError.kind, NotFoundError.kind)


@dataclass(frozen=True, kw_only=True)
class Answer:
    """A whole answer of a model service.

    :param text: the answer.
    :param stream_id: identifier of the stream.
    :param request_id: identifier of the request, for ``wasabistage trace``.
    :param finish: reason of the end.
    :param prompt_tokens: tokens of the prompt.
    :param cached_tokens: prompt tokens that were not recomputed.
    :param first_token: time to the first token, in seconds.
    :param attempts: attempts made.
    :param errors: errors of the attempts that failed, tuple of
        :class:`wasabistage.exceptions.WasabistageError`.
    """

    text: str
    stream_id: str
    request_id: str
    finish: str
    prompt_tokens: int
    cached_tokens: int
    first_token: float
    attempts: int
    errors: tuple = ()


@dataclass(frozen=True, kw_only=True)
class ServiceAnswer:
    """Answer of a plain service.

    :param status: HTTP status.
    :param headers: headers.
    :param body: body, bytes.
    :param request_id: identifier of the request.
    :param attempts: attempts made.
    """

    status: int
    headers: dict
    body: bytes
    request_id: str
    attempts: int


@dataclass
class Progress:
    """What a request has been through.

    :ivar started: when it began, monotonic seconds.
    :ivar deadline_at: when the caller stops waiting, monotonic seconds.
    :ivar attempts: attempts made.
    :ivar tried_entries: addresses tried since the last question for entries.
    :ivar may_have_run: whether an attempt may have run.
    :ivar first_token: time to the first token, or ``None``.
    :ivar request_id: identifier of the newest attempt's request.
    :ivar errors: errors of the attempts that failed.
    """

    started: float
    deadline_at: float
    attempts: int = 0
    tried_entries: list = field(default_factory=list)
    may_have_run: bool = False
    first_token: float | None = None
    request_id: str = ""
    errors: list = field(default_factory=list)


class Client:
    """Calls the services of a deployment.

    Use it as an asynchronous context manager under trio.

    :param seeds: ``IP:PORT`` of some entries.
    :param key: bearer key of the client account.
    :param failure_domain: the caller's failure domain; empty if unknown.
    :param deadline: longest time for one request with its retries, in seconds.
    :param retries: a retry policy; ``None`` for
        :class:`wasabistage.retries.ClientRetryPolicy`.
    :param seed: seed of the retry jitter; ``None`` for an arbitrary one.
    """

    def __init__(
        self,
        seeds,
        key,
        failure_domain="",
        deadline=DEADLINE_SECONDS,
        retries=None,
        seed=None,
    ):
        self.seeds = seeds
        self.key = key
        self.failure_domain = failure_domain
        self.deadline = deadline
        self.retries = retries
        self.seed = seed

    async def __aenter__(self):
        timeout = httpx.Timeout(READ_TIMEOUT_SECONDS, connect=CONNECT_TIMEOUT_SECONDS)
        self.http_ = httpx.AsyncClient(
            headers={"Authorization": f"Bearer {self.key}"},
            timeout=timeout,
            trust_env=False,
            verify=_tls_context(),
        )
        self.policy_ = (self.retries or ClientRetryPolicy()).reset()
        self.random_ = random.Random(self.seed)
        self.entries_ = EntryDirectory(
            self.http_, self.seeds, self.failure_domain, trio.current_time
        )
        return self

    async def __aexit__(self, *_):
        await self.http_.aclose()

    async def complete(self, service, messages, session="", **options):
        """Ask a model service and wait for the whole answer.

        :param service: name of the service.
        :param messages: list of dicts with ``role`` and ``content``.
        :param session: name of the session; empty for none.
        :param options: further keys of the body, such as ``max_tokens``.
        :return: an :class:`Answer`.
        :raises WasabistageError: if no whole answer came before the deadline.
        """
        body = {"model": service, "messages": messages, "stream": True, **options}
        if session:
            body["session"] = session
        progress = self._begin()
        entries = await self.entries_.current(session)
        exchange = StreamExchange(self, body, progress)
        address, resume = entries.addresses[0], False
        while True:
            progress.attempts += 1
            progress.tried_entries.append(address)
            failed = await exchange.attempt(address, resume)
            if failed is None:
                return exchange.result()
            decision = self._decide(failed, progress, idempotent=True, stream=exchange)
            resume = isinstance(decision, ResumeStream)
            await trio.sleep(decision.delay)
            address = await self._next_address(decision.entry, progress)

    async def call(self, service, method, path, body=b"", headers=None):
        """Call an idempotent call of a plain service.

        :param service: name of the service.
        :param method: HTTP method.
        :param path: path within the service, with the leading slash.
        :param body: body, bytes.
        :param headers: further headers.
        :return: a :class:`ServiceAnswer`.
        :raises WasabistageError: if no answer came before the deadline.
        """
        progress = self._begin()
        address = (await self.entries_.current()).addresses[0]
        while True:
            result = await self._send(
                address, service, method, path, body, dict(headers or {}), progress
            )
            if isinstance(result, ServiceAnswer):
                return result
            decision = self._decide(result, progress, idempotent=True)
            await trio.sleep(decision.delay)
            address = await self._next_address(decision.entry, progress)

    async def run_once(self, service, method, path, body=b"", key="", headers=None):
        """Run a non-idempotent call at most once.

        :param service: name of the service.
        :param method: HTTP method.
        :param path: path within the service, with the leading slash.
        :param body: body, bytes.
        :param key: the caller's own key, a UUIDv7; empty to take a ticket.
        :param headers: further headers.
        :return: a :class:`ServiceAnswer`.
        :raises OutcomeUnknownError: if it may have run and its outcome is not known.
        :raises WasabistageError: with ``ran`` ``no`` if it was not run.
        """
        progress = self._begin()
        own_key = bool(key)
        address, key = await self._take_key(key, progress)
        while True:
            sent = {**(headers or {}), KEY_HEADER: key}
            result = await self._send(
                address, service, method, path, body, sent, progress
            )
            if isinstance(result, ServiceAnswer):
                return result
            decision = self._decide(
                result, progress, idempotent=False, has_key=True, ticket=not own_key
            )
            await trio.sleep(decision.delay)
            if isinstance(decision, RetryWithNewKey) and not own_key:
                address, key = await self._take_key("", progress)
                progress.may_have_run = False
            elif isinstance(decision, RetryWithNewKey):
                raise result.error
            else:
                address = await self._next_address(decision.entry, progress)

    async def inquire(self, service, method, path, body, key):
        """Ask what became of a non-idempotent call.

        A key that can still be stopped is refused for ever, so that the answer *not
        run* stays true.

        :param service: name of the service.
        :param method: HTTP method.
        :param path: path within the service, with the leading slash.
        :param body: body of the call, bytes.
        :param key: its key.
        :return: the :class:`ServiceAnswer` of the run.
        :raises WasabistageError: with ``ran`` ``no`` or ``unknown``.
        """
        progress = self._begin()
        address = (await self.entries_.current()).addresses[0]
        headers = {KEY_HEADER: key, INQUIRY_HEADER: "1"}
        result = await self._send(
            address, service, method, path, body, headers, progress
        )
        if isinstance(result, ServiceAnswer):
            return result
        raise result.error

    def _begin(self):
        now = trio.current_time()
        self.policy_.observe(FirstAttemptSent(service=""), now)
        return Progress(started=now, deadline_at=now + self.deadline)

    async def _take_key(self, key, progress):
        if key:
            return (await self.entries_.current()).addresses[0], key
        answer = await self.entries_.ask(tickets=1, avoid=tuple(progress.tried_entries))
        if not answer.tickets:
            raise OutcomeUnknownError(
                "the entry issued no ticket", remedy="retry later", ran="no"
            )
        # A ticket's home knows the key at once, without the log.
        return answer.home, answer.tickets[0]

    async def _send(self, address, service, method, path, body, headers, progress):
        """Send a plain call; return its answer or a :class:`FailedAttempt`."""
        progress.attempts += 1
        progress.tried_entries.append(address)
        url = f"http://{address}/v1/services/{service}{path}"
        timeout = max(0.1, progress.deadline_at - trio.current_time())
        try:
            response = await self.http_.request(
                method,
                url,
                content=body,
                headers=headers,
                timeout=httpx.Timeout(timeout, connect=CONNECT_TIMEOUT_SECONDS),
            )
        except httpx.HTTPError as error:
            return from_transport(error, address)
        if is_system_error(response):
            return from_response(response)
        return ServiceAnswer(
            status=response.status_code,
            headers=dict(response.headers),
            body=response.content,
            request_id=response.headers.get("X-Request-Id", ""),
            attempts=progress.attempts,
        )

    def _decide(
        self, failed, progress, idempotent, has_key=False, ticket=False, stream=None
    ):
        """Return what to do next, or raise the error of the failed attempt."""
        progress.errors.append(failed.error)
        query = ClientRetryQuery(
            failure=failed.failure,
            status=failed.status,
            ran=failed.error.ran,
            idempotent=idempotent,
            has_key=has_key,
            has_ticket=ticket,
            may_have_run=progress.may_have_run,
            position=stream.position if stream else 0,
            resumable=bool(stream and stream.resumable),
            attempts=progress.attempts,
            tried_entries=tuple(progress.tried_entries),
            entries=self.entries_.answer.addresses,
            entries_valid_until=self.entries_.answer.until,
            retry_after=failed.error.retry_after,
            deadline_at=progress.deadline_at,
            draw=self.random_.random(),
        )
        decision = self.policy_.decide(query, trio.current_time())
        if failed.failure is Failure.LOST or failed.error.ran == "unknown":
            progress.may_have_run = True
        if not decision:
            raise failed.error
        return decision

    async def _next_address(self, entry, progress):
        if entry:
            return entry
        avoid = tuple(progress.tried_entries)
        answer = await self.entries_.ask(avoid=avoid)
        progress.tried_entries.clear()
        fresh = [item for item in answer.addresses if item not in avoid[-1:]]
        return (fresh or list(answer.addresses))[0]


@lru_cache(maxsize=1)
def _tls_context():
    """Build the TLS context once: it costs more than a whole request."""
    return ssl.create_default_context()


class StreamExchange:
    """One completion over any number of connections.

    :param client: the :class:`Client`.
    :param body: body of the prompt.
    :param progress: the :class:`Progress`.
    """

    def __init__(self, client, body, progress):
        self.client = client
        self.body = body
        self.progress = progress
        self.stream_id = ""
        self.assembler = None
        self.end = None
        self.refused_resumes = 0

    @property
    def position(self):
        """Position of the next token."""
        return self.assembler.check.position if self.assembler else 0

    @property
    def resumable(self):
        """Whether a begun stream may be opened again."""
        return bool(self.stream_id)

    async def attempt(self, address, resume):
        """Send the prompt, or open its stream again.

        :param address: ``IP:PORT`` of the entry.
        :param resume: whether to open the stream again.
        :return: ``None`` once the answer is whole, else a :class:`FailedAttempt`.
        """
        try:
            async with self._open(address, resume) as response:
                if response.status_code != 200:
                    await response.aread()
                    return self._refused(response, resume)
                if not resume:
                    self._start(response)
                return await self._read(response)
        except httpx.HTTPError as error:
            return from_transport(error, address)

    def _open(self, address, resume):
        http = self.client.http_
        if not resume:
            self.stream_id = ""
            url = f"http://{address}/v1/chat/completions"
            return http.stream("POST", url, json=self.body)
        token = self.assembler.build_resume_token()
        url = f"http://{address}/v1/streams/{self.stream_id}"
        params = {"position": token.position, "digest": token.digest}
        return http.stream("GET", url, params=params)

    def _start(self, response):
        self.stream_id = response.headers["X-Stream-Id"]
        self.progress.request_id = response.headers["X-Request-Id"]
        self.assembler = AnswerAssembler(self.stream_id)

    def _refused(self, response, resume):
        failed = from_response(response)
        if not resume:
            return failed
        self.refused_resumes += 1
        lost = isinstance(failed.error, NotFoundError)
        if lost or self.refused_resumes >= MOST_REFUSED_RESUMES:
            return self._restart(failed)
        return failed

    def _restart(self, failed):
        """Give the stream up and let the prompt be sent again."""
        self.refused_resumes = 0
        self.stream_id = ""
        self.assembler = None
        return FailedAttempt(failure=Failure.LOST, error=failed.error)

    async def _read(self, response):
        async for event in read_events(response):
            if isinstance(event, AnswerError):
                return self._broken(event)
            is_end = isinstance(event, AnswerEnd)
            step = self.assembler.add(event.frame if is_end else event)
            if isinstance(step, Rejection):
                return FailedAttempt(failure=Failure.LOST, error=step.error())
            self._note_first_token()
            if step is FrameAction.WHOLE:
                self.end = event
                return None
        error = OutcomeUnknownError(
            "the answer stream was cut", remedy="resume the stream", ran="unknown"
        )
        return FailedAttempt(failure=Failure.LOST, error=error)

    def _broken(self, event):
        error = WasabistageError(
            event.message, remedy="resume the stream", ran="unknown"
        )
        failed = FailedAttempt(failure=Failure.LOST, error=error)
        if event.kind in RESTART_KINDS:
            return self._restart(failed)
        return failed

    def _note_first_token(self):
        if self.progress.first_token is None:
            self.progress.first_token = trio.current_time() - self.progress.started

    def result(self):
        """Return the whole answer.

        :return: an :class:`Answer`.
        """
        return Answer(
            text=b"".join(self.assembler.items).decode(),
            stream_id=self.stream_id,
            request_id=self.progress.request_id,
            finish=self.end.finish,
            prompt_tokens=self.end.prompt_tokens,
            cached_tokens=self.end.cached_tokens,
            first_token=self.progress.first_token,
            attempts=self.progress.attempts,
            errors=tuple(self.progress.errors),
        )
