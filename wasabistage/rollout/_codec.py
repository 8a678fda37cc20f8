"""Encoding of order records in the log."""

from dataclasses import dataclass

import msgspec

from wasabistage.rollout._messages import CarryRecord, GrantRecord, ReleaseRecord
from wasabistage.utils import Sentinel, UnreadableError, decode_data

NO_RECORD = Sentinel("NO_RECORD", "the bytes are not a valid order record")


@dataclass(frozen=True, kw_only=True)
class OrderRecord:
    """Envelope of an order record in the log; exactly one field is set.

    :param grant: a lease on a slot.
    :param release: the end of a grant.
    :param carry: the state of all slots.
    """

    grant: GrantRecord | None = None
    release: ReleaseRecord | None = None
    carry: CarryRecord | None = None


_DECODER = msgspec.json.Decoder(OrderRecord)


def encode_order_record(record):
    """Encode a record.

    :param record: a :class:`GrantRecord`, :class:`ReleaseRecord` or
        :class:`CarryRecord`.
    :return: JSON, as bytes.
    """
    match record:
        case GrantRecord():
            envelope = OrderRecord(grant=record)
        case ReleaseRecord():
            envelope = OrderRecord(release=record)
        case _:
            envelope = OrderRecord(carry=record)
    return msgspec.json.encode(envelope)


def decode_order_record(data):
    """Decode a record.

    :param data: bytes from :func:`encode_order_record` or from another writer.
    :return: the record, or ``NO_RECORD`` if the bytes are not a valid one.
    """
    try:
        envelope = decode_data(_DECODER, data)
    except UnreadableError:
        return NO_RECORD
    return envelope.grant or envelope.release or envelope.carry or NO_RECORD
