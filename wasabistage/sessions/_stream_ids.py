"""Ids of streams: which backend server holds one, and for whom."""

import hashlib
import re
from dataclasses import dataclass

from wasabistage.exceptions import BadRequestError

MIN_RANDOM_BYTES = 16
MAX_ID_LENGTH = 160  # characters
ID_PATTERN = re.compile(r"s1-([A-Za-z0-9_.-]{1,64})-([0-9a-f]{32,64})")


@dataclass(frozen=True, kw_only=True)
class StreamId:
    """A parsed request id of a stream.

    :param server: name of the backend server that holds the stream. It came from a
        caller: look it up among the declared servers, never use it as an address.
    :param token: random part, hexadecimal.
    """

    server: str
    token: str

    def __str__(self):
        return f"s1-{self.server}-{self.token}"


def build_stream_id(server, random_bytes):
    """Build the request id that a caller gets for a stream.

    :param server: name of the backend server that holds the stream.
    :param random_bytes: at least :data:`MIN_RANDOM_BYTES` unpredictable bytes.
    :return: a :class:`StreamId`.
    :raises BadRequestError: if the name or the randomness doesn't fit.
    """
    stream_id = StreamId(server=server, token=random_bytes.hex())
    return parse_stream_id(str(stream_id))


def parse_stream_id(text):
    """Parse a request id that a caller sent.

    :param text: the id.
    :return: a :class:`StreamId`.
    :raises BadRequestError: if it is malformed.
    """
    match = ID_PATTERN.fullmatch(text) if len(text) <= MAX_ID_LENGTH else None
    if match is None:
        raise BadRequestError(
            "the request id of the stream is malformed",
            remedy="send the id back as it came with the answer's first event",
        )
    return StreamId(server=match[1], token=match[2])


def derive_engine_stream_id(account, stream_id):
    """Derive the id under which the engine knows the stream.

    The client account goes into the hash, so another account that learned or guessed
    a request id names a stream that the engine doesn't have. Entry instances need no
    common secret for this.

    :param account: name of the authenticated client account.
    :param stream_id: a :class:`StreamId`.
    :return: 32 hexadecimal characters.
    """
    label = account.encode()
    parts = len(label).to_bytes(4, "big") + label + str(stream_id).encode()
    return hashlib.sha256(b"wasabistage stream\0" + parts).hexdigest()[:32]
