"""Relays one engine's answer stream to a caller and checks every frame."""

import trio

from wasabistage.base import Ran
from wasabistage.entry._frames import format_end, format_error, format_token
from wasabistage.exceptions import (
    IntegrityError,
    NotFoundError,
    OutcomeUnknownError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.sessions import EndFrame, Frame, FrameAction, FrameChecker, Rejection

MOST_RESUMES = 2  # without a token in between
RESUME_DELAY_SECONDS = 0.1


class EngineStream:
    """An answer stream at an engine, opened again when its connection breaks.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param server: the backend server.
    :param stream_id: identifier of the stream towards the caller.
    :param engine_stream: its identifier at the engine.
    :param service: name of the service; empty after a resume.
    :param resume: the caller's :class:`wasabistage.sessions.ResumeToken`, or
        ``None`` for a fresh answer.
    """

    def __init__(
        self, context, server, stream_id, engine_stream, service="", resume=None
    ):
        self.context = context
        self.server = server
        self.stream_id = stream_id
        self.engine_stream = engine_stream
        self.service = service
        self.check = FrameChecker(engine_stream, resume)
        self.engine = context.engine(server)
        self.opened = None
        self.frames = None
        self.first = None
        self.last = None
        self.resumes = 0
        self.handed_over = False

    @property
    def whole(self):
        """Whether the whole answer was relayed."""
        return self.check.ended

    async def begin(self, request):
        """Send a prompt and wait for its first frame.

        :param request: an :class:`wasabistage.reference.EngineRequest`.
        """
        await self._open(self.engine.generate(request))
        self.first = await anext(self.frames)

    async def reopen(self):
        """Open a stream that the engine already has, from its first position."""
        position = self.check.position
        await self._open(self.engine.resume(self.engine_stream, position))

    async def _open(self, opening):
        await self.close()
        self.opened = opening
        self.frames = await opening.__aenter__()

    async def close(self):
        """Close the connection to the engine."""
        if self.opened is None:
            return
        opened, self.opened = self.opened, None
        with trio.CancelScope(shield=True):
            await self._leave(opened)

    async def _leave(self, opened):
        if self.frames is not None:
            await self.frames.aclose()
            self.frames = None
        await opened.__aexit__(None, None, None)

    async def events(self):
        """Yield the caller's events, up to the end mark or an error.

        :return: asynchronous iterator of bytes.
        """
        while True:
            try:
                async for event in self._checked():
                    yield event
                return
            except WasabistageError as error:
                final = await self._recover(error)
                if final is not None:
                    yield format_error(final, self.check.position)
                    return

    async def _checked(self):
        async for frame in self._raw():
            if self.handed_over:
                raise _handover()
            if frame.finish:
                yield self._finish(frame)
                return
            event = self._take(frame)
            if event is not None:
                yield event
        raise OutcomeUnknownError(
            "the engine ended the stream early",
            remedy="resume the stream, or send the prompt again",
            ran=Ran.UNKNOWN,
        )

    async def _raw(self):
        if self.first is not None:
            frame, self.first = self.first, None
            yield frame
        async for frame in self.frames:
            yield frame

    def _take(self, frame):
        data = frame.text.encode()
        step = self.check.check(
            Frame(request_id=frame.stream_id, position=frame.position, data=data)
        )
        self._refuse(step)
        if step is not FrameAction.TAKE:
            return None
        self.resumes = 0
        self.context.metrics.count("answer.tokens")
        return format_token(self.stream_id, self.service, frame.position, frame.text)

    def _finish(self, frame):
        if frame.finish == "cancelled":
            raise IntegrityError(
                "the engine cancelled the answer before its end",
                remedy="send the whole prompt again",
                ran=Ran.UNKNOWN,
            )
        digest = self.check.digest.value()
        end = EndFrame(request_id=frame.stream_id, length=frame.position, digest=digest)
        self._refuse(self.check.check(end))
        self.last = frame
        return format_end(self.stream_id, frame, digest)

    def _refuse(self, step):
        if isinstance(step, Rejection):
            self.context.metrics.count("answer.mismatch")
            raise step.error()

    async def _recover(self, error):
        """Open the stream again after an error, unless this brings no tokens.

        :return: ``None`` if it is open again, else the error for the caller.
        """
        if self.handed_over or isinstance(error, UnavailableError):
            return error
        refusal = None
        while self.resumes < MOST_RESUMES:
            self.resumes += 1
            await trio.sleep(RESUME_DELAY_SECONDS)
            try:
                await self.reopen()
                return None
            except WasabistageError as again:
                refusal = again
        if isinstance(refusal, (NotFoundError, UnavailableError)):
            return _lost()
        return error


def _lost():
    return NotFoundError(
        "the engine no longer has the stream",
        remedy="send the whole prompt again",
        ran=Ran.UNKNOWN,
    )


def _handover():
    return UnavailableError(
        "this entry is about to stop",
        remedy="resume the stream at another entry",
        ran=Ran.UNKNOWN,
        retry_after=0.0,
    )
