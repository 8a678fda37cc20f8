"""Keys of calls, outcomes, and records of the once-only log stream."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from wasabistage.utils import decode_data


@dataclass(frozen=True, kw_only=True, slots=True)
class CallKey:
    """Key of one non-idempotent call, scoped to its client account.

    :param account: name of the client account.
    :param key: a ticket, or a UUIDv7 that the caller has generated.
    """

    account: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """Answer of the backend server to a call.

    :param status: HTTP status.
    :param headers: response headers that are relayed to the caller.
    :param body: response body; empty if ``body_omitted``.
    :param digest: SHA-256 hex digest of the whole body.
    :param body_omitted: whether the body was too large to be stored.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    digest: str = ""
    body_omitted: bool = False


class RecordKind(StrEnum):
    """Kind of a log record.

    - ``INTENT``: the home of a ticket is about to dispatch the call. Intents are
      informative: no decision rests on them.
    - ``CLAIM``: the writer asks to become the home of a UUIDv7; the first claim wins.
    - ``OUTCOME``: the home has received the answer of the backend server.
    - ``ABANDON``: the call must not be run. It holds if it precedes every claim of
      the key, or if the home wrote it.
    """

    INTENT = "intent"
    CLAIM = "claim"
    OUTCOME = "outcome"
    ABANDON = "abandon"


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One record of the once-only log stream.

    :param kind: kind of the record.
    :param writer: incarnation that wrote the original record.
    :param number: sequence number of the record at its writer.
    :param key: key that the record is about.
    :param digest: digest of the call, see :func:`compute_call_digest`.
    :param written: wall time at which it was written, in seconds since the epoch.
    :param outcome: the answer, for kind ``OUTCOME``.
    :param carried_from: offset of the original record if this is a carried copy.
    """

    kind: RecordKind
    writer: str
    number: int
    key: CallKey
    digest: str
    written: float
    outcome: Outcome | None = None
    carried_from: int | None = None

    @property
    def identity(self):
        """Identity of the record; a repeated append has the same one."""
        return (self.writer, self.number, self.carried_from)


@dataclass(frozen=True, kw_only=True, slots=True)
class LogEntry:
    """A record with its offset in the log.

    :param offset: offset of the record.
    :param record: the record.
    """

    offset: int
    record: Record


def compute_call_digest(service, call, body):
    """Compute the digest of a call.

    A key that is used again with another digest is a conflict.

    :param service: name of the service.
    :param call: name of the declared call.
    :param body: request body, in bytes.
    :return: a hex digest.
    """
    digest = hashlib.sha256()
    for field in (service.encode(), call.encode(), body):
        digest.update(len(field).to_bytes(8, "big"))
        digest.update(field)
    return digest.hexdigest()


_DECODER = msgspec.msgpack.Decoder(Record)


def encode_record(record):
    """Encode a record for the log.

    :param record: a :class:`Record`.
    :return: bytes.
    """
    return msgspec.msgpack.encode(record)


def decode_record(data):
    """Decode a record of the log.

    :param data: bytes.
    :return: a :class:`Record`.
    :raises wasabistage.utils.UnreadableError: if the bytes are not an encoded record.
    """
    return decode_data(_DECODER, data)
