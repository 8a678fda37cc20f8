"""The task that cancels the streams of callers who left and don't come back."""

from dataclasses import dataclass

from wasabistage.entry._gossip import StreamResumed
from wasabistage.entry._task import TickingTask
from wasabistage.exceptions import WasabistageError
from wasabistage.timing import Tick

RESUME_WINDOW_SECONDS = 10.0
MAX_ABANDONED = 4096


@dataclass(frozen=True, kw_only=True)
class CallerLeft:
    """Tells that the caller of a stream went away before its end.

    :param stream_id: identifier of the stream towards callers.
    :param engine_stream: its identifier at the engine.
    :param server: name of the backend server.
    """

    stream_id: str
    engine_stream: str
    server: str


class StreamsTask(TickingTask):
    """Owns the list of abandoned streams.

    A caller may resume at another entry, which tells its peers; a stream that nobody
    resumed within ``RESUME_WINDOW_SECONDS`` is cancelled at its engine. At the bound
    the oldest abandoned stream is cancelled at once.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    """

    name = "streams"
    tick_seconds = 1.0

    def __init__(self, context):
        super().__init__(context)
        self.abandoned = {}

    async def handle(self, message, reply):
        """Handle a message; see :meth:`Task.handle`."""
        now = self.context.timers.now()
        match message:
            case CallerLeft():
                due = now + RESUME_WINDOW_SECONDS
                self.abandoned[message.stream_id] = (due, message)
                if len(self.abandoned) > MAX_ABANDONED:
                    self._cancel(next(iter(self.abandoned)))
            case StreamResumed():
                self.abandoned.pop(message.stream_id, None)
            case Tick():
                for stream_id, (due, _) in list(self.abandoned.items()):
                    if now >= due:
                        self._cancel(stream_id)

    def _cancel(self, stream_id):
        _, left = self.abandoned.pop(stream_id)
        self.nursery.start_soon(self._cancel_at_engine, left)

    async def _cancel_at_engine(self, left):
        server = self.context.config.value.deployment.servers.get(left.server)
        if server is None:
            return
        self.metrics.count("answer.cancelled")
        try:
            await self.context.engine(server).cancel(left.engine_stream)
        except WasabistageError:
            return
