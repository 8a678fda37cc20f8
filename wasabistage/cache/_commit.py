"""Commit records, which list the completely written pieces of a prefix in a store.

A record is written after its pieces. A reader imports a piece only if the generation,
size and digest that it finds after the read match the record. On any mismatch the
piece is recomputed.
"""

from dataclasses import dataclass
from hashlib import blake2b

import msgspec

from wasabistage.utils import Sentinel, UnreadableError, decode_data

RECORD_FORMAT = 1
DIGEST_BYTES = 32
MAX_RECORD_BYTES = 1 << 20
MAX_RECORD_PIECES = 4096

# The content is truncated or corrupted.
HALF_WRITTEN = Sentinel("HALF_WRITTEN")
# The record has another format number or schema, or it is too large.
WRONG_FORMAT = Sentinel("WRONG_FORMAT")
WRONG_ACCOUNT = Sentinel("WRONG_ACCOUNT")
WRONG_MODEL = Sentinel("WRONG_MODEL")
WRONG_VERSION = Sentinel("WRONG_VERSION")
# Even the first piece differs from the prompt's.
WRONG_PREFIX = Sentinel("WRONG_PREFIX")
NOT_IN_RECORD = Sentinel("NOT_IN_RECORD")
# The store no longer has the piece.
FREED = Sentinel("FREED")
# The store holds other content or another generation than was committed.
OVERWRITTEN = Sentinel("OVERWRITTEN")


@dataclass(frozen=True, kw_only=True)
class CommittedPiece:
    """The key, size, digest and generation of a piece that was written to a store.

    :param key: piece key, hex.
    :param size: content size, in bytes.
    :param digest: digest of the content, hex.
    :param generation: generation number that the store gave the written object.
    """

    key: str
    size: int
    digest: str
    generation: int


@dataclass(frozen=True, kw_only=True)
class CommitRecord:
    """The pieces of one prompt prefix in one store.

    :param account: name of the client account.
    :param model: name of the model.
    :param version: weight version.
    :param session: name of the session, or ``""`` if it has none.
    :param store: name of the store.
    :param pieces: tuple of :class:`CommittedPiece`, in the order of the prompt.
    """

    account: str
    model: str
    version: str
    session: str
    store: str
    pieces: tuple[CommittedPiece, ...]

    @property
    def tail(self):
        """Key of the last piece, under which the record is stored; ``""`` if none."""
        return self.pieces[-1].key if self.pieces else ""


@dataclass(frozen=True, kw_only=True)
class _Envelope:
    """The stored form of a commit record: format number, digest and encoded record."""

    format: int
    digest: str
    body: bytes


_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_Envelope)
_RECORD_DECODER = msgspec.msgpack.Decoder(CommitRecord)


def content_digest(content):
    """Return the digest of a piece or of an encoded record.

    :param content: content, in bytes.
    :return: hex digest.
    """
    return blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def encode_record(record):
    """Encode a record together with its digest.

    :param record: a :class:`CommitRecord`.
    :return: the bytes to write once all pieces of the record are written.
    """
    body = msgspec.msgpack.encode(record)
    envelope = _Envelope(format=RECORD_FORMAT, digest=content_digest(body), body=body)
    return msgspec.msgpack.encode(envelope)


def decode_record(data):
    """Decode and check the bytes that a store returned for a record.

    :param data: bytes, which may be truncated, corrupted or written by another program.
    :return: a :class:`CommitRecord`; ``HALF_WRITTEN`` if the bytes are truncated or
        corrupted, or ``WRONG_FORMAT`` if the record has another format or is too large.
    """
    if len(data) > MAX_RECORD_BYTES:
        return WRONG_FORMAT.with_reason(
            f"record has {len(data)} bytes, above the bound of {MAX_RECORD_BYTES}"
        )
    try:
        envelope = decode_data(_ENVELOPE_DECODER, data)
    except UnreadableError as error:
        return HALF_WRITTEN.with_reason(f"record can't be decoded: {error}")
    if envelope.format != RECORD_FORMAT:
        return WRONG_FORMAT.with_reason(
            f"record has format {envelope.format}, expected {RECORD_FORMAT}"
        )
    if content_digest(envelope.body) != envelope.digest:
        return HALF_WRITTEN.with_reason("record does not match its digest")
    try:
        record = decode_data(_RECORD_DECODER, envelope.body)
    except UnreadableError as error:
        return WRONG_FORMAT.with_reason(f"record body can't be decoded: {error}")
    if len(record.pieces) > MAX_RECORD_PIECES:
        return WRONG_FORMAT.with_reason(
            f"record has {len(record.pieces)} pieces,"
            f" above the bound of {MAX_RECORD_PIECES}"
        )
    return record


def verify_record(record, account, model, version, keys):
    """Return the pieces of a record that a prompt may reuse.

    :param record: a :class:`CommitRecord`.
    :param account: name of the request's client account.
    :param model: name of the request's model.
    :param version: weight version that the request must use.
    :param keys: piece keys of the prompt, from :func:`piece_keys`.
    :return: a tuple of :class:`CommittedPiece`, the longest prefix of the record whose
        keys equal the prompt's; or ``WRONG_ACCOUNT``, ``WRONG_MODEL``,
        ``WRONG_VERSION`` or ``WRONG_PREFIX``.
    """
    if record.account != account:
        return WRONG_ACCOUNT.with_reason("record belongs to another client account")
    if record.model != model:
        return WRONG_MODEL.with_reason(f"record is for model {record.model!r}")
    if record.version != version:
        return WRONG_VERSION.with_reason(f"record is for version {record.version!r}")
    usable_count = 0
    for piece, key in zip(record.pieces, keys, strict=False):
        if piece.key != key:
            break
        usable_count += 1
    if not usable_count:
        return WRONG_PREFIX.with_reason(
            "record and prompt have no leading piece in common"
        )
    return record.pieces[:usable_count]


def verify_piece(record, key, generation, size, digest):
    """Check a piece after the read and before the import.

    :param record: the :class:`CommitRecord` that lists the piece.
    :param key: key of the piece, hex.
    :param generation: generation number of the object in the store after the read, or
        ``None`` if the store no longer has the object.
    :param size: size of the content read, in bytes.
    :param digest: digest of the content read, hex.
    :return: the :class:`CommittedPiece`, or ``NOT_IN_RECORD``, ``FREED``,
        ``OVERWRITTEN`` or ``HALF_WRITTEN``.
    """
    piece = next((item for item in record.pieces if item.key == key), None)
    if piece is None:
        return NOT_IN_RECORD.with_reason("record does not list the piece")
    if generation is None:
        return FREED.with_reason("store no longer has the piece")
    if generation != piece.generation:
        return OVERWRITTEN.with_reason(
            f"piece has generation {generation}, committed was {piece.generation}"
        )
    if size != piece.size:
        return HALF_WRITTEN.with_reason(
            f"piece has {size} bytes, committed were {piece.size}"
        )
    if digest != piece.digest:
        return OVERWRITTEN.with_reason(
            "piece's content does not match the committed digest"
        )
    return piece
