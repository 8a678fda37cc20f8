"""Records of the configuration stream in the log, and their written form.

A version is named by the log: the version of an accepted record is its offset
plus one, and version 0 stands for none. So every reader names versions alike, and
neither a trimmed log nor a carried record can shift them.
"""

from dataclasses import dataclass

import msgspec

from wasabistage.declarations._codec import MAX_DEPLOYMENT_BYTES, digest_of
from wasabistage.utils import Sentinel

EDITION = 1
#: Base of a record that is published without knowing the version in force.
ANY_BASE = -1
NO_VERSION = 0
MAX_RECORD_BYTES = 2 * MAX_DEPLOYMENT_BYTES + 4096
MAX_ID_CHARS = 64
MAX_AUTHOR_CHARS = 128

#: The bytes are not a record that this program can fold.
BAD_RECORD = Sentinel("BAD_RECORD")

_STREAM = "wasabistage.configuration"


@dataclass(frozen=True, kw_only=True)
class ConfigProposed:
    """A deployment that an operator publishes.

    :param id: id of the publication, the same when it is appended again.
    :param base_version: version it replaces, or :data:`ANY_BASE`.
    :param seen: with :data:`ANY_BASE`, the log offset up to which the publisher had
        read; a proposal at or after it makes this one overtaken.
    :param digest: digest of ``payload``.
    :param payload: the written deployment.
    :param format: number of its written form.
    :param author: who publishes it, for people.
    """

    id: str
    base_version: int
    digest: str
    payload: bytes
    format: int
    author: str = ""
    seen: int = 0


@dataclass(frozen=True, kw_only=True)
class Statement:
    """An accepted deployment.

    :param version: its version.
    :param id: id of the publication.
    :param digest: digest of ``payload``.
    :param payload: the written deployment.
    :param format: number of its written form.
    :param author: who published it.
    """

    version: int
    id: str
    digest: str
    payload: bytes
    format: int
    author: str = ""


@dataclass(frozen=True, kw_only=True)
class ConfigState:
    """What folding all records below an offset gives.

    :param next: the offset below which every record is folded.
    :param last_proposal: offset of the last well-formed proposal; -1 for none.
    :param head: the newest accepted statement.
    :param readable: the newest one that the writer of this state could put in
        force, when that is not the head.
    """

    next: int = 0
    last_proposal: int = -1
    head: Statement | None = None
    readable: Statement | None = None

    @property
    def version(self):
        """Return the version of the head; 0 for none."""
        return self.head.version if self.head else NO_VERSION


@dataclass(frozen=True, kw_only=True)
class ConfigCarried:
    """The state stated again before the log trims the record that it came from.

    :param id: id of this record.
    :param state: the state at the time of writing.
    """

    id: str
    state: ConfigState


@dataclass(frozen=True)
class _Envelope:
    stream: str
    edition: int
    kind: str
    body: msgspec.Raw


_KINDS = {"proposed": ConfigProposed, "carried": ConfigCarried}
_NAMES = {cls: kind for kind, cls in _KINDS.items()}


def encode_record(record):
    """Write a record.

    :param record: a :class:`ConfigProposed` or :class:`ConfigCarried`.
    :return: bytes.
    """
    body = msgspec.Raw(msgspec.msgpack.encode(record))
    envelope = _Envelope(_STREAM, EDITION, _NAMES[type(record)], body)
    return msgspec.msgpack.encode(envelope)


def decode_record(data):
    """Read a record.

    :param data: bytes of any content.
    :return: a :class:`ConfigProposed` or :class:`ConfigCarried`, or
        :data:`BAD_RECORD` with the reason.
    """
    if len(data) > MAX_RECORD_BYTES:
        return BAD_RECORD.with_reason("record is too large")
    try:
        envelope = msgspec.msgpack.decode(data, type=_Envelope)
        if envelope.stream != _STREAM:
            return BAD_RECORD.with_reason("record is of another stream")
        if envelope.edition != EDITION or envelope.kind not in _KINDS:
            return BAD_RECORD.with_reason("record is of an edition not known here")
        record = msgspec.msgpack.decode(envelope.body, type=_KINDS[envelope.kind])
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        return BAD_RECORD.with_reason(f"record is malformed ({type(error).__name__})")
    reason = _fault_of(record)
    return BAD_RECORD.with_reason(reason) if reason else record


def state_fault(state):
    """Check a state that came from elsewhere.

    :param state: a :class:`ConfigState`.
    :return: what is wrong, or an empty text.
    """
    head, readable = state.head, state.readable
    if state.next < 0 or not -1 <= state.last_proposal < max(state.next, 1):
        return "offsets of the state are out of range"
    if head is None:
        return "state without head has another statement" if readable else ""
    if not 1 <= head.version <= state.last_proposal + 1:
        return "version of the head is out of range"
    if readable and not 1 <= readable.version < head.version:
        return "version of the statement in force is out of range"
    return _body_fault(head) or (_body_fault(readable) if readable else "")


def _fault_of(record):
    if not 1 <= len(record.id) <= MAX_ID_CHARS:
        return "id is empty or too long"
    if isinstance(record, ConfigCarried):
        return state_fault(record.state)
    if record.base_version < ANY_BASE or record.seen < 0:
        return "base version is out of range"
    return _body_fault(record)


def _body_fault(body):
    """Check what a proposal and a statement share."""
    if len(body.payload) > MAX_DEPLOYMENT_BYTES:
        return "payload is too large"
    if len(body.author) > MAX_AUTHOR_CHARS or len(body.id) > MAX_ID_CHARS:
        return "author or id is too long"
    if digest_of(body.payload) != body.digest:
        return "payload does not match its digest"
    return ""
