"""Sessions and streams: whole answers, resuming, and where a session was served.

Wiring: the entry task of a request makes a :func:`build_stream_id` once a backend
server is chosen, starts the engine's stream under :func:`derive_engine_stream_id`, and
passes every frame from the engine through a :class:`FrameChecker` before it goes to the
caller. On a :class:`Rejection` it closes that connection and resumes at ``resume_at``.
To resume for a caller of a dead entry instance it parses the id, looks the server up
among the declared ones, and asks the engine from position 0 with
``FrameChecker(resume=token)``. The client keeps an :class:`AnswerAssembler` over all
its connections.
"""

from wasabistage.utils import lazy_names

__getattr__, __all__ = lazy_names(
    __name__,
    {
        "_event_stream": ("EventSplitter",),
        "_frames": (
            "AnswerAssembler",
            "AnswerDigest",
            "EndFrame",
            "Fault",
            "Frame",
            "FrameChecker",
            "Rejection",
            "ResumeToken",
            "FrameAction",
        ),
        "_session_table": (
            "NO_SESSION",
            "SessionHint",
            "SessionTable",
        ),
        "_stream_ids": (
            "StreamId",
            "derive_engine_stream_id",
            "build_stream_id",
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
