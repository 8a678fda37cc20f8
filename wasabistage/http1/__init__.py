"""HTTP/1.1 on trio streams: channels to servers, a small client, and a listener.

The framing is h11's. What is added here is what a library of a higher level hides:
the bytes of a request target as they came, the moment at which a caller closes, and
whether a channel may be used again.
"""

from wasabistage.http1._budget import ByteBudget, NoRoomError
from wasabistage.http1._channel import (
    Channel,
    ChannelClosedError,
    ChannelError,
    NotSentError,
    ResponseHead,
    open_channel,
)
from wasabistage.http1._client import HttpClient, Reply
from wasabistage.http1._intake import ChannelsFullError, Intake
from wasabistage.http1._listener import (
    Answer,
    CallerChannel,
    CallerGoneError,
    RefusedError,
    Request,
    listen,
    send_unavailable,
    serve_answers,
    serve_channels,
)
from wasabistage.http1._pool import ChannelPool

__all__ = [
    "Answer",
    "ByteBudget",
    "CallerChannel",
    "CallerGoneError",
    "Channel",
    "ChannelClosedError",
    "ChannelError",
    "ChannelPool",
    "ChannelsFullError",
    "HttpClient",
    "Intake",
    "NoRoomError",
    "NotSentError",
    "RefusedError",
    "Reply",
    "Request",
    "ResponseHead",
    "listen",
    "open_channel",
    "send_unavailable",
    "serve_answers",
    "serve_channels",
]
