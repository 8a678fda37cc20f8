"""Sessions and streams: whole answers, resuming, and where a session was served.

Wiring: the entry task of a request makes a :func:`make_stream_id` once a backend
server is chosen, starts the engine's stream under :func:`engine_stream_id`, and passes
every frame from the engine through a :class:`FrameCheck` before it goes to the caller.
On a :class:`Rejection` it closes that connection and resumes at ``resume_at``. To
resume
for a caller of a dead entry instance it parses the id, looks the server up among the
declared ones, and asks the engine from position 0 with ``FrameCheck(resume=token)``.
The client keeps an :class:`AnswerAssembler` over all its connections.
"""

from wasabistage.sessions._event_stream import EventSplitter
from wasabistage.sessions._frames import (
    AnswerAssembler,
    AnswerDigest,
    EndFrame,
    Fault,
    Frame,
    FrameCheck,
    Rejection,
    ResumeToken,
    Step,
)
from wasabistage.sessions._session_table import (
    NO_SESSION,
    SessionHint,
    SessionTable,
)
from wasabistage.sessions._stream_ids import (
    StreamId,
    engine_stream_id,
    make_stream_id,
    parse_stream_id,
)
from wasabistage.sessions._stream_table import (
    AHEAD,
    NO_STREAM,
    TRIMMED,
    StreamRead,
    StreamTable,
)

__all__ = [
    "AHEAD",
    "AnswerAssembler",
    "AnswerDigest",
    "EndFrame",
    "EventSplitter",
    "Fault",
    "Frame",
    "FrameCheck",
    "NO_SESSION",
    "NO_STREAM",
    "Rejection",
    "ResumeToken",
    "SessionHint",
    "SessionTable",
    "Step",
    "StreamId",
    "StreamRead",
    "StreamTable",
    "TRIMMED",
    "engine_stream_id",
    "make_stream_id",
    "parse_stream_id",
]
