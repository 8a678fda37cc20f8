"""Calls to model engines and cache stores other than requests."""

import msgspec

from wasabistage.edge import (
    CacheEvent,
    CacheEvents,
    EngineReport,
    OrderAnswer,
    OrderMethod,
)
from wasabistage.http1 import ChannelError, HttpClient
from wasabistage.utils import Int64, UnreadableError, decode_data

MILLISECONDS_PER_SECOND = 1000.0
MAX_CLOCK_MILLISECONDS = 1e15  # some 30,000 years
CALL_TIMEOUT = 1.0  # seconds; the calls need no slot and take milliseconds
LONGEST_WAIT = 1.0  # seconds, the most that an engine holds a call for events
#: Largest reply. A listing of 25,000 parts has about that size.
MAX_REPLY_BYTES = 2 << 20
MAX_CLIENTS = 4096  # addresses; twice the servers of the largest deployment
ORDER_ANSWERS = {
    200: OrderAnswer.HOLDS,
    202: OrderAnswer.ACCEPTED,
    409: OrderAnswer.BUSY,
    412: OrderAnswer.FENCED,
}
METHODS = {OrderMethod.FINISH_RUNS: "wait", OrderMethod.KEEP_RUNS: "retain"}
EXPECT_SERVER = b"Wasabistage-Expect-Instance"


class WireModel(msgspec.Struct):
    """A model that an engine holds."""

    name: str
    version: Int64 = 1


class WireReport(msgspec.Struct):
    """State of an engine."""

    models: list[WireModel] = []
    #: An order is in progress; not that requests run.
    busy: bool = False
    #: Orders accepted, not records.
    seq: Int64 = 0
    queued: Int64 = 0
    active: Int64 = 0
    #: Wall clock of the servers, in milliseconds.
    clock_ms: float | None = None
    #: Millisecond of its start.
    born: Int64 | None = None


#: Number, sign, cache key, part, tokens kept now, model.
EventRow = tuple[Int64, str, str, str, Int64, str]
#: Cache key, part, tokens, model.
HeldRow = tuple[str, str, Int64, str]


class WireEvents(msgspec.Struct):
    """Changes of what is cached."""

    epoch: Int64
    #: Value of ``since`` for the next read.
    next: Int64
    #: Some events between the reads are gone.
    lost: bool = False
    events: list[EventRow] = []
    clock_ms: float | None = None


class RawEvents(WireEvents):
    """The same, with rows that may be unreadable."""

    events: list[msgspec.Raw] = []


class WireListing(msgspec.Struct):
    """All that is cached."""

    epoch: Int64
    next: Int64
    held: list[HeldRow] = []
    clock_ms: float | None = None


class RawListing(WireListing):
    """The same, with rows that may be unreadable."""

    held: list[msgspec.Raw] = []


REPORT_DECODER = msgspec.json.Decoder(WireReport)


EVENTS_DECODER = msgspec.json.Decoder(WireEvents, strict=False)
LISTING_DECODER = msgspec.json.Decoder(WireListing, strict=False)
RAW_EVENTS_DECODER = msgspec.json.Decoder(RawEvents, strict=False)
RAW_LISTING_DECODER = msgspec.json.Decoder(RawListing, strict=False)
EVENT_DECODER = msgspec.json.Decoder(EventRow, strict=False)
HELD_DECODER = msgspec.json.Decoder(HeldRow, strict=False)


class ServerCalls:
    """Calls to engines and stores, over one small client per address.

    :param timer: a :class:`wasabistage.timing.TimerService`.
    """

    def __init__(self, timer):
        self.timer = timer
        self.clients = {}

    def _client(self, address):
        if address not in self.clients:
            if len(self.clients) >= MAX_CLIENTS:
                self.clients.pop(next(iter(self.clients))).close()
            self.clients[address] = HttpClient(address, self.timer, MAX_REPLY_BYTES)
        return self.clients[address]

    async def read_report(self, address, timeout=CALL_TIMEOUT):
        """Return the :class:`wasabistage.edge.EngineReport` of a server."""
        client = self._client(address)
        reply = await client.call(b"GET", b"/v1/report", timeout=timeout)
        wire = decode(REPORT_DECODER, reply)
        return EngineReport(
            versions={item.name: item.version for item in wire.models},
            is_loading=wire.busy,
            orders=wire.seq,
            clock=to_seconds(wire.clock_ms),
            incarnation=wire.born,
            running=wire.active,
            waiting=wire.queued,
        )

    async def send_order(self, address, order, timeout=CALL_TIMEOUT):
        """Send a :class:`wasabistage.edge.VersionOrder`."""
        body = {
            "op": "version",
            "model": order.model,
            "version": order.version,
            "method": METHODS[order.method],
            "holder": order.holder,
            "fence": order.fencing,
        }
        if order.orders is not None:
            body["precondition"] = order.orders
        headers = (
            (b"Content-Type", b"application/json"),
            (EXPECT_SERVER, order.server.encode()),
        )
        client = self._client(address)
        data = msgspec.json.encode(body)
        reply = await client.call(b"POST", b"/v1/order", data, headers, timeout)
        return ORDER_ANSWERS.get(reply.status, OrderAnswer.REFUSED)

    async def read_events(self, address, position, wait):
        """Return the :class:`wasabistage.edge.CacheEvents` after a position."""
        wait = min(wait, LONGEST_WAIT)
        target = f"/v1/kv-events?since={position}".encode()
        headers = ((b"Wait-Ms", b"%d" % int(wait * MILLISECONDS_PER_SECOND)),)
        client = self._client(address)
        timeout = wait + CALL_TIMEOUT
        reply = await client.call(b"GET", target, headers=headers, timeout=timeout)
        wire, events = decode_rows(
            reply, EVENTS_DECODER, RAW_EVENTS_DECODER, EVENT_DECODER, "events"
        )
        rows = (row[2:5] for row in events)
        return to_cache_events(wire, rows, has_gap=wire.lost)

    async def list_cache(self, address):
        """Return all that is cached, as :class:`wasabistage.edge.CacheEvents`."""
        reply = await self._client(address).call(b"GET", b"/v1/kv-list")
        wire, held = decode_rows(
            reply, LISTING_DECODER, RAW_LISTING_DECODER, HELD_DECODER, "held"
        )
        rows = (row[:3] for row in held)
        return to_cache_events(wire, rows, has_gap=False)

    async def free_parts(self, address, parts, epoch, until):
        """Free parts at a store; return whether it did."""
        body = {"parts": [list(row) for row in parts], "epoch": epoch}
        body["until_ms"] = int(until * MILLISECONDS_PER_SECOND)
        headers = ((b"Content-Type", b"application/json"),)
        data = msgspec.json.encode(body)
        client = self._client(address)
        reply = await client.call(b"POST", b"/v1/kv-free", data, headers)
        return reply.status == 200


def to_cache_events(wire, rows, has_gap):
    """Build :class:`wasabistage.edge.CacheEvents`.

    :param wire: the decoded reply.
    :param rows: cache key, part and tokens of each event.
    :param has_gap: whether events before these are missing.
    """
    return CacheEvents(
        epoch=wire.epoch,
        position=wire.next,
        has_gap=has_gap,
        events=tuple(
            CacheEvent(cache_key=cache_key, part=part, tokens=tokens)
            for cache_key, part, tokens in rows
        ),
        clock=to_seconds(wire.clock_ms),
    )


def decode_rows(reply, decoder, raw_decoder, row_decoder, field):
    """Decode a reply with a list of rows, without the unreadable ones.

    :param reply: a :class:`wasabistage.http1.Reply`.
    :param decoder: msgspec decoder of a reply in which every row is readable.
    :param raw_decoder: msgspec decoder of a reply whose rows are ``msgspec.Raw``.
    :param row_decoder: msgspec decoder of one row.
    :param field: name of the field with the rows.
    :return: the decoded reply and its list of decoded rows.
    :raises ChannelError: if it is no success or can't be decoded.
    """
    try:
        wire = decode(decoder, reply)
        return wire, getattr(wire, field)
    except ChannelError:
        wire = decode(raw_decoder, reply)
    rows = []
    for row in getattr(wire, field):
        try:
            rows.append(decode_data(row_decoder, row))
        except UnreadableError:
            continue
    return wire, rows


def to_seconds(milliseconds):
    """Return seconds, or ``None`` for ``None`` and for what is no time of a clock."""
    if milliseconds is None or not 0.0 <= milliseconds < MAX_CLOCK_MILLISECONDS:
        return None
    return milliseconds / MILLISECONDS_PER_SECOND


def decode(decoder, reply):
    """Decode a reply.

    :param decoder: a msgspec decoder.
    :param reply: a :class:`wasabistage.http1.Reply`.
    :raises ChannelError: if it is no success or can't be decoded.
    """
    if reply.status != 200:
        raise ChannelError(f"the server answered {reply.status}")
    try:
        return decode_data(decoder, reply.body)
    except UnreadableError as error:
        raise ChannelError(f"unexpected reply: {error}") from error
