"""Base class of handlers of short requests, such as readiness or metrics."""

from abc import ABC, abstractmethod

from wasabistage.fleet import CallerLimits
from wasabistage.http1 import CallerChannel, serve_answers


class RequestHandler(ABC):
    """Answers requests on a channel, one after another, without suspending.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.limits = CallerLimits()

    async def serve(self, sock):
        """Serve a channel until it closes.

        :param sock: the accepted trio socket.
        """
        channel = CallerChannel(sock, self.state.timer, self.limits)
        if not await serve_answers(channel, self.answer):
            self.state.metrics.count("channel.ended")

    @abstractmethod
    def answer(self, request):
        """Return the answer to a request.

        :param request: a :class:`wasabistage.http1.Request`.
        :return: an :class:`wasabistage.http1.Answer`.
        """
