"""Keys, outcomes and the records of the once-only log stream."""

import hashlib
from dataclasses import dataclass
from enum import StrEnum

import msgspec


@dataclass(frozen=True, kw_only=True, slots=True)
class CallKey:
    """Key of one non-idempotent call; keys of two accounts are never equal.

    :param account: name of the client account.
    :param key: a ticket, or the caller's own UUIDv7.
    """

    account: str
    key: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Outcome:
    """What the backend server answered.

    :param status: HTTP status.
    :param headers: response headers that are passed on.
    :param body: response body; empty when it was too large to be kept.
    :param digest: SHA-256 hex digest of the whole body.
    :param body_omitted: whether the body was too large to be kept.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    digest: str = ""
    body_omitted: bool = False


class RecordKind(StrEnum):
    """What a log record states about its key."""

    INTENT = "intent"
    CLAIM = "claim"
    OUTCOME = "outcome"
    ABANDON = "abandon"


@dataclass(frozen=True, kw_only=True, slots=True)
class Record:
    """One record of the once-only log stream.

    :param kind: what it states.
    :param writer: incarnation that wrote it first.
    :param number: sequence number within the writer.
    :param key: the key it is about.
    :param digest: digest of the call, see :func:`compute_call_digest`.
    :param written: wall time of writing, in seconds since the epoch.
    :param outcome: the answer, for kind ``OUTCOME``.
    :param carried_from: offset of the original when this is a carried copy.
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
        """Identify the record; equal for every repeat of one append."""
        return (self.writer, self.number, self.carried_from)


@dataclass(frozen=True, kw_only=True, slots=True)
class LogEntry:
    """A record at its place in the log.

    :param offset: offset of the record.
    :param record: the record.
    """

    offset: int
    record: Record


def compute_call_digest(service, call, body):
    """Digest what a key was first used for.

    :param service: name of the service.
    :param call: name of the declared call.
    :param body: request body, in bytes.
    :return: a hex digest.
    """
    digest = hashlib.sha256()
    for part in (service.encode(), call.encode(), body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


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
    :raises msgspec.MsgspecError: if the bytes are no such record.
    """
    return msgspec.msgpack.decode(data, type=Record)
