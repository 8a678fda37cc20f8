"""Client of the platform's store of records."""

import base64
import struct
from typing import Annotated
from urllib.parse import quote

import msgspec

from wasabistage.fleet import (
    OvertakenError,
    RecordPage,
    RecordStore,
    StoredRecord,
    StoreError,
    Topic,
    TrimmedError,
)
from wasabistage.http1 import ChannelError, HttpClient
from wasabistage.utils import Int64, UnreadableError, decode_data

TOPICS = {
    Topic.CONFIGURATION: "keyed.op",
    Topic.SERVERS: "keyed.servers",
    Topic.ENTRIES: "keyed.entries",
    Topic.ORDERS: "orders",
}
KEYED_PREFIX = "keyed."
CALL_TIMEOUT = 1.0  # seconds; the store answers in some milliseconds when it is well
READ_KIB = 1024  # KiB a read, the store's own default
MAX_PAGES = 64  # pages of newest records, 500 records each
MAX_PAGE_BYTES = 8 << 20  # twice the largest page of newest records, in base64
POSITIONS = struct.Struct(">QQ")
LENGTH = struct.Struct(">I")


class WireItem(msgspec.Struct):
    """The newest record of a key."""

    key: str
    offset: Int64
    value: str = ""


class WireNewest(msgspec.Struct, rename="camel"):
    """A page of newest records."""

    end: Int64
    items: list[msgspec.Raw] = []
    more_pages: bool = False


class WireAppended(msgspec.Struct):
    """Answer to an append."""

    #: Offset of the first record that was appended.
    offset: Int64


class WireTrimmed(msgspec.Struct):
    """Answer to a read of records that were dropped."""

    #: Offset of the first record that is left.
    first: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


TRIMMED_DECODER = msgspec.json.Decoder(WireTrimmed)
ITEM_DECODER = msgspec.json.Decoder(WireItem)
NEWEST_DECODER = msgspec.json.Decoder(WireNewest)
APPENDED_DECODER = msgspec.json.Decoder(WireAppended)


class PlatformRecordStore(RecordStore):
    """The platform's store over HTTP.

    :param address: ``IP:PORT``.
    :param timer: a :class:`wasabistage.timing.TimerService`.
    """

    def __init__(self, address, timer):
        self.client = HttpClient(address, timer, MAX_PAGE_BYTES)

    async def read_newest(self, topic):
        """See :meth:`wasabistage.fleet.RecordStore.read_newest`."""
        records, end, after = [], None, ""
        for _ in range(MAX_PAGES):
            query = f"topic={TOPICS[topic]}&part=0"
            if after:
                query += f"&after={quote(after, safe='')}"
            page = await self._newest_page(query)
            # Records may follow while pages are read: read on from the first page.
            end = page.end if end is None else end
            items = list(decode_items(page.items))
            records += items
            if not page.more_pages or not items:
                return RecordPage(records=tuple(records), end=end)
            after = items[-1].key
        raise StoreError("the newest records have too many pages")

    async def _newest_page(self, query):
        target = f"/v1/log-newest?{query}".encode()
        reply = await self._call(b"GET", target, timeout=CALL_TIMEOUT)
        if reply.status == 404:
            return WireNewest(end=0)
        check_status(reply)
        try:
            return decode_data(NEWEST_DECODER, reply.body)
        except UnreadableError as error:
            raise StoreError(f"not a page of records: {error}") from error

    async def read(self, topic, start, wait):
        """See :meth:`wasabistage.fleet.RecordStore.read`."""
        name = TOPICS[topic]
        query = f"topic={name}&part=0&from={start}&maxKb={READ_KIB}"
        target = f"/v1/log-read?{query}&waitMs={int(wait * 1000)}".encode()
        reply = await self._call(b"GET", target, timeout=wait + CALL_TIMEOUT)
        if reply.status == 404:
            return RecordPage(records=(), end=start)
        if reply.status == 410:
            raise TrimmedError(
                f"records of {name} from {start} on were dropped",
                first=decode_first(reply.body),
            )
        check_status(reply)
        return decode_page(reply.body, start, name.startswith(KEYED_PREFIX))

    async def append(self, topic, value, *, key="", expected_end=None):
        """See :meth:`wasabistage.fleet.RecordStore.append`."""
        name = TOPICS[topic]
        if name.startswith(KEYED_PREFIX):
            encoded = key.encode()
            value = bytes([len(encoded)]) + encoded + value
        query = f"topic={name}&part=0"
        if expected_end is not None:
            query += f"&asOf={expected_end}"
        target = f"/v1/log-append?{query}".encode()
        body = LENGTH.pack(len(value)) + value
        reply = await self._call(b"POST", target, body, timeout=CALL_TIMEOUT)
        if reply.status == 412:
            raise OvertakenError("the topic has newer records")
        check_status(reply)
        try:
            return decode_data(APPENDED_DECODER, reply.body).offset
        except UnreadableError as error:
            raise StoreError(f"not an answer to an append: {error}") from error

    async def _call(self, method, target, body=b"", timeout=CALL_TIMEOUT):
        try:
            return await self.client.call(method, target, body, timeout=timeout)
        except ChannelError as error:
            raise StoreError(str(error)) from error


def check_status(reply):
    """Raise unless a call succeeded.

    :param reply: a :class:`wasabistage.http1.Reply`.
    :raises StoreError: if it did not.
    """
    if reply.status != 200:
        raise StoreError(f"the store answered {reply.status}")


def decode_first(body):
    """Return the first offset that a topic holds, or ``None`` if it isn't told.

    :param body: bytes of the answer to a read of dropped records.
    """
    try:
        return decode_data(TRIMMED_DECODER, body).first
    except UnreadableError:
        return None


def decode_items(items):
    """Yield the records of a page of newest records, without those that are unreadable.

    :param items: list of ``msgspec.Raw``, each a :class:`WireItem`.
    :return: iterator of :class:`wasabistage.fleet.StoredRecord`.
    """
    for raw in items:
        try:
            item = decode_data(ITEM_DECODER, raw)
            value = base64.b64decode(item.value)
        except (UnreadableError, ValueError):
            continue
        yield StoredRecord(offset=item.offset, key=item.key, value=value)


def decode_page(body, start, is_keyed):
    """Decode the answer to a read.

    :param body: bytes: the topic's end, its first offset, then the records.
    :param start: offset of the first record.
    :param is_keyed: whether each record begins with a key.
    :return: a :class:`wasabistage.fleet.RecordPage`.
    :raises StoreError: if the answer is cut.
    """
    if len(body) < POSITIONS.size:
        raise StoreError("the answer to a read is cut")
    records, at, offset = [], POSITIONS.size, start
    while at < len(body):
        if at + LENGTH.size > len(body):
            raise StoreError("a record is cut")
        (size,) = LENGTH.unpack_from(body, at)
        at += LENGTH.size
        data = body[at : at + size]
        if len(data) != size:
            raise StoreError("a record is cut")
        at += size
        records.append(decode_record(data, offset, is_keyed))
        offset += 1
    return RecordPage(records=tuple(records), end=offset)


def decode_record(data, offset, is_keyed):
    """Return the :class:`wasabistage.fleet.StoredRecord` of a record's bytes."""
    if not is_keyed:
        return StoredRecord(offset=offset, value=data)
    size = data[0] if data else 0
    key = data[1 : 1 + size].decode("utf-8", "replace")
    return StoredRecord(offset=offset, key=key, value=data[1 + size :] or None)
