"""Checking and resuming of answer streams, and the last server of each session.

The task of a request at an entry instance builds a stream id with
:func:`build_stream_id` once routing has selected a backend server. It starts the
engine's stream under the id from :func:`derive_engine_stream_id` and passes every frame
of the engine through a :class:`FrameChecker` before it sends the frame to the caller.
After a :class:`Rejection` it closes the connection and resumes at ``resume_position``.

To resume a stream whose entry instance failed, another entry instance parses the id,
looks the server up among the declared ones, and requests the stream from the engine
from position 0. Its :class:`FrameChecker` gets the caller's :class:`ResumeToken`.

The client uses one :class:`AnswerAssembler` for all connections of a request.
"""

from wasabistage.utils import build_lazy_exports

__getattr__, __all__ = build_lazy_exports(
    __name__,
    {
        "_event_stream": ("EventSplitter", "EventTooLongError"),
        "_frames": (
            "AnswerAssembler",
            "AnswerDigest",
            "EndFrame",
            "Frame",
            "FrameAction",
            "FrameChecker",
            "FrameFault",
            "Rejection",
            "ResumeToken",
        ),
        "_session_table": (
            "NO_SESSION",
            "SessionHint",
            "SessionTable",
        ),
        "_stream_ids": (
            "StreamId",
            "build_stream_id",
            "derive_engine_stream_id",
            "parse_stream_id",
        ),
        "_stream_table": (
            "AHEAD",
            "NO_STREAM",
            "StreamRead",
            "StreamTable",
            "TRIMMED",
        ),
    },
)
