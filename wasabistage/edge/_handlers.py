"""Base class of handlers of short requests, such as readiness or metrics."""

from abc import ABC, abstractmethod

from wasabistage.fleet import CallerLimits
from wasabistage.http1 import (
    CallerChannel,
    ChannelsFullError,
    send_unavailable,
    serve_answers,
)

MAX_BODY_BYTES = 65536  # these requests need no body


class RequestHandler(ABC):
    """Answers requests on a channel, one after another, without suspending.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.limits = CallerLimits(body_bytes=MAX_BODY_BYTES)

    async def serve(self, group, sock):
        """Serve a channel until it closes.

        :param group: name of the listener.
        :param sock: the accepted trio socket.
        """
        state = self.state
        try:
            channel = CallerChannel(sock, state.timer, self.limits, state.intake, group)
        except ChannelsFullError:
            await send_unavailable(sock)
            return
        try:
            if not await serve_answers(channel, self.answer):
                state.metrics.count("channel.ended")
        finally:
            channel.release()

    @abstractmethod
    def answer(self, request):
        """Return the answer to a request.

        :param request: a :class:`wasabistage.http1.Request`.
        :return: an :class:`wasabistage.http1.Answer`.
        """
