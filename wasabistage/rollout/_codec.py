"""Order records as bytes of the log."""

from dataclasses import dataclass

import msgspec

from wasabistage.rollout._messages import CarryRecord, GrantRecord, ReleaseRecord
from wasabistage.utils import Sentinel

NO_RECORD = Sentinel("NO_RECORD", "the bytes are no order record")


@dataclass(frozen=True, kw_only=True)
class OrderRecord:
    """An order record in the log; one field is set.

    :param grant: a claim of a slot.
    :param release: the end of an order.
    :param carry: the slots carried forward.
    """

    grant: GrantRecord | None = None
    release: ReleaseRecord | None = None
    carry: CarryRecord | None = None


def encode_order_record(record):
    """Turn a record into bytes.

    :param record: a :class:`GrantRecord`, :class:`ReleaseRecord` or
        :class:`CarryRecord`.
    :return: bytes, JSON.
    """
    match record:
        case GrantRecord():
            wrapped = OrderRecord(grant=record)
        case ReleaseRecord():
            wrapped = OrderRecord(release=record)
        case _:
            wrapped = OrderRecord(carry=record)
    return msgspec.json.encode(wrapped)


def decode_order_record(data):
    """Turn bytes into a record.

    :param data: what :func:`encode_order_record` returned, or foreign bytes.
    :return: the record, or ``NO_RECORD``.
    """
    try:
        wrapped = msgspec.json.decode(data, type=OrderRecord)
    except msgspec.MsgspecError:
        return NO_RECORD
    return wrapped.grant or wrapped.release or wrapped.carry or NO_RECORD
