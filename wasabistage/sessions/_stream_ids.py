"""Ids of streams, which name the backend server that holds the stream."""

import hashlib
import re
from dataclasses import dataclass

from wasabistage.exceptions import BadRequestError

MIN_RANDOM_BYTES = 16
MAX_ID_CHARACTERS = 160
ID_PATTERN = re.compile(r"s1-([A-Za-z0-9_.-]{1,64})-([0-9a-f]{32,64})")


@dataclass(frozen=True, kw_only=True)
class StreamId:
    """Parsed id of a stream.

    :param server: name of the backend server that holds the stream. It may come from
        a caller, so it must be looked up among the declared servers and never be
        used as an address.
    :param random_hex: random part, as hexadecimal digits.
    """

    server: str
    random_hex: str

    def __str__(self):
        return f"s1-{self.server}-{self.random_hex}"


def build_stream_id(server, random_bytes):
    """Build the id of a stream, which the caller receives.

    :param server: name of the backend server that holds the stream.
    :param random_bytes: at least :data:`MIN_RANDOM_BYTES` unpredictable bytes.
    :return: a :class:`StreamId`.
    :raises BadRequestError: if the name is malformed or the bytes are too few or too
        many.
    """
    stream_id = StreamId(server=server, random_hex=random_bytes.hex())
    return parse_stream_id(str(stream_id))


def parse_stream_id(text):
    """Parse the id of a stream that a caller sent.

    :param text: the id.
    :return: a :class:`StreamId`.
    :raises BadRequestError: if it is malformed.
    """
    match = ID_PATTERN.fullmatch(text) if len(text) <= MAX_ID_CHARACTERS else None
    if match is None:
        raise BadRequestError(
            "the request id of the stream is malformed",
            remedy="send the id back as it came with the answer's first event",
        )
    return StreamId(server=match[1], random_hex=match[2])


def derive_engine_stream_id(account, stream_id):
    """Derive the id of the stream at the engine.

    The hash includes the client account. Another account that has learned or guessed
    the stream id therefore gets an id that the engine doesn't know. Entry instances
    need no shared secret for this.

    :param account: name of the authenticated client account.
    :param stream_id: a :class:`StreamId`.
    :return: 32 hexadecimal characters.
    """
    account_bytes = account.encode()
    data = (
        len(account_bytes).to_bytes(4, "big") + account_bytes + str(stream_id).encode()
    )
    return hashlib.sha256(b"wasabistage stream\0" + data).hexdigest()[:32]
