"""Base of what answers small questions of callers, entries and operators."""

from abc import ABC, abstractmethod

from wasabistage.fleet import CallerLimits
from wasabistage.http1 import CallerChannel, serve_answers


class RequestHandler(ABC):
    """Answers one question after another on a channel, each without waiting.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.limits = CallerLimits()

    async def serve(self, sock):
        """Serve one channel to its end.

        :param sock: the accepted trio socket.
        """
        channel = CallerChannel(sock, self.state.timer, self.limits)
        if not await serve_answers(channel, self.answer):
            self.state.metrics.count("channel.ended")

    @abstractmethod
    def answer(self, request):
        """Answer one question.

        :param request: a :class:`wasabistage.http1.Request`.
        :return: a :class:`wasabistage.http1.Answer`.
        """
