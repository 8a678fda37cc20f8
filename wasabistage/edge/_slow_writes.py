"""Watches the writes to callers, and ends those of callers that do not read."""

import math
from contextlib import contextmanager

import trio

from wasabistage.http1 import CallerGoneError
from wasabistage.routing import (
    EndCaller,
    PauseSilence,
    RequestEnded,
    RequestSent,
    SlowWritePolicy,
    WriteBegun,
    WriteEnded,
)

LOG_INTERVAL_SECONDS = 1.0  # between two log lines on ended callers


class SlowWrites:
    """Applies a :class:`wasabistage.routing.SlowWritePolicy` to responses.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        seconds = state.settings.bounds.slow_reader_s
        end_after = math.inf if seconds is None else seconds
        self.policy = SlowWritePolicy(
            pause_after=min(0.5, end_after), end_after=end_after
        ).reset()
        #: Cancel scope of each open write, by the id of its attempt.
        self.scopes = {}
        self.ended = 0
        self.logged_at = -math.inf

    @contextmanager
    def watch(self, attempt, *, has_unread=True):
        """Watch the write of the block to the caller of an attempt.

        :param attempt: the :class:`Attempt`.
        :param has_unread: whether a part of the response is still to be read.
        :raises CallerGoneError: if the caller has not read for too long.
        """
        request, server = attempt.attempt_id, attempt.choice.record.server
        now = self.state.timer.now
        event = WriteBegun(request=request, server=server, has_unread=has_unread)
        self.policy.observe(event, now())
        try:
            with trio.CancelScope() as scope:
                self.scopes[request] = scope
                yield
        finally:
            del self.scopes[request]
            was_paused = self.policy.decide(request, now())
            self.policy.observe(WriteEnded(request=request), now())
            if was_paused and has_unread:
                # From now on, the server is expected to send bytes again.
                event = RequestSent(server=server, request=request)
                self.state.silence.observe(event, now())
        if scope.cancelled_caught:
            raise CallerGoneError

    def tick(self):
        """Carry out what is due; called several times a second."""
        state, now = self.state, self.state.timer.now()
        for action in self.policy.tick(now):
            if isinstance(action, PauseSilence):
                event = RequestEnded(server=action.server, request=action.request)
                state.silence.observe(event, now)
                state.metrics.count("stream.held_up")
            elif isinstance(action, EndCaller):
                scope = self.scopes[action.request]
                if not scope.cancel_called:
                    scope.cancel()
                    state.metrics.count("stream.slow_reader")
                    self.ended += 1
        if self.ended and now - self.logged_at >= LOG_INTERVAL_SECONDS:
            state.log.write("slow_readers_ended", count=self.ended)
            self.ended, self.logged_at = 0, now
