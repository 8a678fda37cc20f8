"""Serves chat completions: choose a server, relay its stream, check every frame."""

import secrets
from dataclasses import dataclass

from wasabistage.cache import cache_salt
from wasabistage.entry._frames import (
    AnswerDigest,
    format_end,
    format_error,
    format_token,
)
from wasabistage.entry._routing import AttemptEnded, ChooseServer
from wasabistage.exceptions import (
    IntegrityError,
    NotFoundError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.platform import EngineRequest

MOST_ATTEMPTS = 3
SEPARATOR = "~"


@dataclass(frozen=True, kw_only=True)
class Completion:
    """One chat completion under way.

    :param request_id: identifier of the request.
    :param account: the client account.
    :param resolved: the declared call.
    :param body: the checked body.
    :param parent: trace context of the caller.
    """

    request_id: str
    account: object
    resolved: object
    body: object
    parent: object = None


class CompletionServer:
    """Serves completions of one entry.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param routing: the routing task.
    """

    def __init__(self, context, routing):
        self.context = context
        self.routing = routing

    async def open(self, completion):
        """Find a server and wait for the first frame.

        :param completion: a :class:`Completion`.
        :return: an :class:`OpenStream`.
        :raises WasabistageError: if no server answered.
        """
        tried = ()
        while True:
            question = ChooseServer(service=completion.resolved.service, tried=tried)
            server = await self.routing.ask(question)
            stream = OpenStream(self.context, completion, server)
            try:
                await stream.begin()
                return stream
            except WasabistageError:
                await stream.close()
                self.routing.tell(AttemptEnded(server=server.name, good=False))
                tried += (server.name,)
                self.context.metrics.count("request.retried")
                if len(tried) >= MOST_ATTEMPTS:
                    raise

    async def relay(self, stream):
        """Yield the events of an open stream to the caller.

        :param stream: what :meth:`open` returned.
        :return: asynchronous iterator of bytes.
        """
        good = False
        try:
            async for event in stream.events():
                yield event
            good = stream.whole
        finally:
            self.routing.tell(AttemptEnded(server=stream.server.name, good=good))
            await stream.close()


class OpenStream:
    """An answer stream of one engine, checked frame by frame.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param completion: the :class:`Completion`.
    :param server: the backend server.
    """

    def __init__(self, context, completion, server):
        self.context = context
        self.completion = completion
        self.server = server
        unguessable = secrets.token_hex(16)
        self.stream_id = f"{unguessable}{SEPARATOR}{server.name}"
        self.digest = AnswerDigest()
        self.position = 0
        self.whole = False
        self.opened = None
        self.frames = None
        self.first = None

    async def begin(self):
        """Send the prompt and wait for the first frame."""
        resolved, body = self.completion.resolved, self.completion.body
        model = resolved.model
        if model is None:
            raise UnavailableError(
                f"service {resolved.service.name} has no declared model",
                remedy="declare its model and publish",
            )
        request = EngineRequest(
            stream_id=self.stream_id,
            model=model.name,
            version=model.version,
            messages=tuple(item.model_dump() for item in body.messages),
            max_tokens=body.max_tokens,
            salt=cache_salt(self.completion.account.name, model.name, model.version),
            piece_tokens=model.piece_tokens,
            priority=int(resolved.call.rank),
        )
        self.opened = self.context.engine(self.server).generate(request)
        self.frames = await self.opened.__aenter__()
        self.first = await anext(self.frames)

    async def events(self):
        """Yield the caller's events, the first frame included.

        :return: asynchronous iterator of bytes.
        """
        service = self.completion.resolved.service.name
        try:
            frame = self.first
            while not frame.finish:
                self.check(frame)
                self.digest.add(frame.text)
                yield format_token(self.stream_id, service, frame.position, frame.text)
                self.position += 1
                frame = await anext(self.frames)
            self.check(frame)
            yield format_end(self.stream_id, frame, self.digest)
            self.whole = True
        except WasabistageError as error:
            yield format_error(error, self.position)

    def check(self, frame):
        """Check that a frame is the next one of this stream.

        :param frame: a :class:`wasabistage.platform.EngineFrame`.
        :raises IntegrityError: if it is not.
        """
        if frame.stream_id == self.stream_id and frame.position == self.position:
            return
        self.context.metrics.count("answer.mismatch")
        raise IntegrityError(
            "the engine sent a frame of another stream or position",
            remedy="resume the stream, or send the prompt again",
            ran="unknown",
        )

    async def close(self):
        """Close the connection to the engine."""
        if self.opened is not None:
            opened, self.opened = self.opened, None
            await opened.__aexit__(None, None, None)


def server_of(stream_id):
    """Return the name of the server that holds a stream.

    :param stream_id: identifier of the stream.
    :return: a name.
    :raises NotFoundError: if the identifier is malformed.
    """
    _, separator, name = stream_id.partition(SEPARATOR)
    if not separator or not name:
        raise NotFoundError(
            "the stream is not known", remedy="send the whole prompt again"
        )
    return name
