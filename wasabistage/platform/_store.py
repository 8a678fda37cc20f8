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
    get_era,
    get_offset,
    make_place,
)
from wasabistage.http1 import ChannelError, HttpClient
from wasabistage.platform._headers import STORE_ERA
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
    :param eras: the :class:`wasabistage.fleet.StoreEra` of all clients of the process.
    """

    def __init__(self, address, timer, eras):
        self.client = HttpClient(address, timer, MAX_PAGE_BYTES)
        self.eras = eras

    async def read_newest(self, topic):
        """See :meth:`wasabistage.fleet.RecordStore.read_newest`."""
        records, end, after, era = [], None, "", None
        for _ in range(MAX_PAGES):
            query = f"topic={TOPICS[topic]}&part=0"
            if after:
                query += f"&after={quote(after, safe='')}"
            page = await self._newest_page(query)
            if era not in (None, self.eras.era):
                raise StoreError(f"era {era} ended between two pages")
            era = self.eras.era
            # Records may follow while pages are read: read on from the first page.
            end = make_place(era, page.end) if end is None else end
            items = list(decode_items(page.items, era))
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
        name, offset = TOPICS[topic], get_offset(start)
        query = f"topic={name}&part=0&from={offset}&maxKb={READ_KIB}"
        target = f"/v1/log-read?{query}&waitMs={int(wait * 1000)}".encode()
        reply = await self._call(b"GET", target, timeout=wait + CALL_TIMEOUT)
        era = self.eras.era
        if get_era(start) != era and offset > 0:
            raise TrimmedError(
                f"records of {name} from {offset} on are those of era {get_era(start)},"
                f" the store is in era {era}",
                first=make_place(era, 0),
            )
        if reply.status == 404:
            return RecordPage(records=(), end=make_place(era, offset))
        if reply.status == 410:
            first = decode_first(reply.body)
            raise TrimmedError(
                f"records of {name} from {offset} on were dropped",
                first=None if first is None else make_place(era, first),
            )
        check_status(reply)
        is_keyed = name.startswith(KEYED_PREFIX)
        return decode_page(reply.body, make_place(era, offset), is_keyed)

    async def append(self, topic, value, *, key="", expected_end=None):
        """See :meth:`wasabistage.fleet.RecordStore.append`."""
        name = TOPICS[topic]
        if name.startswith(KEYED_PREFIX):
            encoded = key.encode()
            value = bytes([len(encoded)]) + encoded + value
        query = f"topic={name}&part=0"
        if expected_end is not None:
            self._check_era(expected_end)
            query += f"&asOf={get_offset(expected_end)}"
        target = f"/v1/log-append?{query}".encode()
        body = LENGTH.pack(len(value)) + value
        reply = await self._call(b"POST", target, body, timeout=CALL_TIMEOUT)
        if reply.status == 412:
            raise OvertakenError("the topic has newer records")
        check_status(reply)
        if expected_end is not None:
            self._check_era(expected_end)
        try:
            offset = decode_data(APPENDED_DECODER, reply.body).offset
        except UnreadableError as error:
            raise StoreError(f"not an answer to an append: {error}") from error
        return make_place(self.eras.era, offset)

    def _check_era(self, expected_end):
        """Check that an expected end is one of the store's era.

        :raises OvertakenError: if it is not: the topic that ends there is another one.
        """
        if get_era(expected_end) != self.eras.era:
            raise OvertakenError(
                f"the end is one of era {get_era(expected_end)}, the store is in era"
                f" {self.eras.era}"
            )

    async def _call(self, method, target, body=b"", timeout=CALL_TIMEOUT):
        """Make a call; return the reply, which is one of the era known now."""
        try:
            reply = await self.client.call(method, target, body, timeout=timeout)
        except ChannelError as error:
            raise StoreError(str(error)) from error
        if not self.eras.observe(reply.fields.get(STORE_ERA)):
            raise StoreError(f"the answer is older than era {self.eras.era}")
        return reply


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


def decode_items(items, era=0):
    """Yield the records of a page of newest records, without those that are unreadable.

    :param items: list of ``msgspec.Raw``, each a :class:`WireItem`.
    :param era: era of the page.
    :return: iterator of :class:`wasabistage.fleet.StoredRecord`.
    """
    for raw in items:
        try:
            item = decode_data(ITEM_DECODER, raw)
            value = base64.b64decode(item.value)
        except (UnreadableError, ValueError):
            continue
        place = make_place(era, item.offset)
        yield StoredRecord(offset=place, key=item.key, value=value)


def decode_page(body, start, is_keyed):
    """Decode the answer to a read.

    :param body: bytes: the topic's end, its first offset, then the records.
    :param start: place of the first record.
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
