"""Commit records: the proof that a session's pieces in a store are whole.

The record is written after its pieces. A reader takes a piece only if record,
generation, size and digest all agree after the read; any doubt means recompute.
"""

from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from wasabistage.utils import Sentinel

RECORD_FORMAT = 1
DIGEST_BYTES = 32
MAX_RECORD_BYTES = 1 << 20
MAX_RECORD_PIECES = 4096

HALF_WRITTEN = Sentinel("HALF_WRITTEN")
WRONG_FORMAT = Sentinel("WRONG_FORMAT")
WRONG_ACCOUNT = Sentinel("WRONG_ACCOUNT")
WRONG_MODEL = Sentinel("WRONG_MODEL")
WRONG_VERSION = Sentinel("WRONG_VERSION")
WRONG_PREFIX = Sentinel("WRONG_PREFIX")
NOT_IN_RECORD = Sentinel("NOT_IN_RECORD")
FREED = Sentinel("FREED")
OVERWRITTEN = Sentinel("OVERWRITTEN")


@dataclass(frozen=True, kw_only=True)
class CommittedPiece:
    """One piece as it was written.

    :param key: piece key, hex.
    :param size: content size, in bytes.
    :param digest: digest of the content, hex.
    :param generation: the store's generation number of the written object.
    """

    key: str
    size: int
    digest: str
    generation: int


@dataclass(frozen=True, kw_only=True)
class CommitRecord:
    """The pieces of one session's prefix in one store.

    :param account: name of the client account.
    :param model: name of the model.
    :param version: weight version.
    :param session: the session's name, or ``""``.
    :param store: name of the store.
    :param pieces: tuple of :class:`CommittedPiece`, in chain order.
    """

    account: str
    model: str
    version: str
    session: str
    store: str
    pieces: tuple[CommittedPiece, ...]

    @property
    def tail(self):
        """Key of the last piece, under which the record is stored."""
        return self.pieces[-1].key if self.pieces else ""


@dataclass(frozen=True, kw_only=True)
class _Envelope:
    format: int
    digest: str
    body: bytes


def content_digest(content):
    """Return the digest of a piece's content.

    :param content: bytes of the piece.
    :return: hex digest.
    """
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def encode_record(record):
    """Encode a record with a digest over itself.

    :param record: a :class:`CommitRecord`.
    :return: bytes to write after all of its pieces.
    """
    body = msgspec.msgpack.encode(record)
    envelope = _Envelope(format=RECORD_FORMAT, digest=content_digest(body), body=body)
    return msgspec.msgpack.encode(envelope)


def decode_record(data):
    """Decode what a store returned for a record.

    :param data: bytes of any origin.
    :return: a :class:`CommitRecord`, or ``HALF_WRITTEN`` or ``WRONG_FORMAT``.
    """
    if len(data) > MAX_RECORD_BYTES:
        return WRONG_FORMAT.because(f"record exceeds {MAX_RECORD_BYTES} bytes")
    try:
        envelope = msgspec.msgpack.decode(data, type=_Envelope)
    except msgspec.MsgspecError as error:
        return HALF_WRITTEN.because(f"record does not decode: {error}")
    if envelope.format != RECORD_FORMAT:
        return WRONG_FORMAT.because(f"record has format {envelope.format}")
    if content_digest(envelope.body) != envelope.digest:
        return HALF_WRITTEN.because("record does not match its digest")
    try:
        record = msgspec.msgpack.decode(envelope.body, type=CommitRecord)
    except msgspec.MsgspecError as error:
        return WRONG_FORMAT.because(f"record body does not decode: {error}")
    if len(record.pieces) > MAX_RECORD_PIECES:
        return WRONG_FORMAT.because(f"record has over {MAX_RECORD_PIECES} pieces")
    return record


def verify_record(record, account, model, version, keys):
    """Tell which of a prompt's pieces a record may serve.

    :param record: a :class:`CommitRecord`.
    :param account: client account of the request.
    :param model: model of the request.
    :param version: weight version that the request must use.
    :param keys: the prompt's own piece keys, from :func:`piece_keys`.
    :return: a tuple of the :class:`CommittedPiece` that match from the start, or
        ``WRONG_ACCOUNT``, ``WRONG_MODEL``, ``WRONG_VERSION`` or ``WRONG_PREFIX``.
    """
    if record.account != account:
        return WRONG_ACCOUNT.because("record belongs to another client account")
    if record.model != model:
        return WRONG_MODEL.because(f"record is for model {record.model!r}")
    if record.version != version:
        return WRONG_VERSION.because(f"record is for version {record.version!r}")
    usable = 0
    for piece, key in zip(record.pieces, keys, strict=False):
        if piece.key != key:
            break
        usable += 1
    if not usable:
        return WRONG_PREFIX.because("record shares no piece with the prompt")
    return record.pieces[:usable]


def verify_piece(record, key, generation, size, digest):
    """Check one piece after it was read and before it is imported.

    :param record: the :class:`CommitRecord` that named the piece.
    :param key: key of the piece, hex.
    :param generation: generation that the store reports after the read, or ``None``
        if it no longer has the object.
    :param size: size of what was read, in bytes.
    :param digest: digest of what was read, hex.
    :return: the :class:`CommittedPiece`, or ``NOT_IN_RECORD``, ``FREED``,
        ``OVERWRITTEN`` or ``HALF_WRITTEN``.
    """
    piece = next((item for item in record.pieces if item.key == key), None)
    if piece is None:
        return NOT_IN_RECORD.because("the record does not name this piece")
    if generation is None:
        return FREED.because("the store freed the piece")
    if generation != piece.generation:
        return OVERWRITTEN.because(
            f"generation is {generation}, committed was {piece.generation}"
        )
    if size != piece.size:
        return HALF_WRITTEN.because(f"read {size} of {piece.size} bytes")
    if digest != piece.digest:
        return OVERWRITTEN.because("content does not match the committed digest")
    return piece
