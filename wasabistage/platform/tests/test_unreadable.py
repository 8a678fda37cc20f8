"""Pattern: other writers leave records, and faulty servers replies, of any kind."""

import json
import unittest
from types import SimpleNamespace

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from wasabistage.edge._messages import BadRequestError
from wasabistage.edge._snapshots import STATE_DECODER
from wasabistage.edge.tests.fleet_case import Fleet, run
from wasabistage.fleet import RecordPage, StoredRecord, StoreError, Topic
from wasabistage.http1 import ChannelError, Reply, Request, ResponseHead
from wasabistage.platform import UsersPlatform
from wasabistage.platform._records import (
    decode_configuration,
    decode_named_version,
    decode_server,
)
from wasabistage.platform._requests import decode_request, decode_response
from wasabistage.platform._servers import (
    EVENT_DECODER,
    EVENTS_DECODER,
    HELD_DECODER,
    LISTING_DECODER,
    RAW_EVENTS_DECODER,
    RAW_LISTING_DECODER,
    REPORT_DECODER,
    decode,
    decode_rows,
    to_cache_events,
    to_seconds,
)
from wasabistage.platform._store import decode_items, decode_page
from wasabistage.platform.tests.edge_case import EdgeCase
from wasabistage.platform.tests.test_records import CONFIGURATION, SERVER
from wasabistage.utils import UnreadableError, decode_data

DEEP = b"[" * 100_000
#: Values of a field that are wrong in many ways.
ODD = (
    None,
    True,
    -1,
    10**400,
    2**63,
    1.5,
    "",
    "\u0662",
    "\ud800",
    "x" * 70_000,
    [],
    {},
    [[[]]],
    "10.0.0.1:99999",
    "10.0.0.1:\u00b2",
    "10.0.0.1:" + "9" * 5000,
)
ODD_RECORDS = (
    b'{"service":"app","later":' + DEEP,
    DEEP,
    b"\xff\xfe",
    b"null",
    b'{"service":"app","address":"10.0.0.1:99999","state":"ready","born":1}',
    b'{"service":"app","address":"10.0.0.1:1","state":"ready","born":' + b"9" * 6000,
    b'{"service":"app","address":"10.0.0.1:1","state":"ready","slots":1e400}',
    '{"service":"app","address":"10.0.0.1:\u00b2","state":"ready"}'.encode(),
    b'{"service":"\\ud800","address":"10.0.0.1:1","state":"odd"}',
)


def encode(value):
    """Return a value as JSON, with lone surrogates as they are."""
    return json.dumps(value).encode("utf-8", "surrogatepass")


def mutate(value):
    """Return a strategy of JSON texts in which one field of a value is odd."""
    fields = st.sampled_from(sorted(value))
    return st.builds(
        lambda name, odd: encode({**value, name: odd}), fields, st.sampled_from(ODD)
    )


def anything(value):
    """Return a strategy of bytes: a damaged value, deep nesting, or any bytes."""
    return st.one_of(
        mutate(value), st.sampled_from(ODD_RECORDS), st.binary(max_size=200)
    )


EVENTS = {"epoch": 1, "next": 2, "lost": False, "clock_ms": 5.0}
EVENTS["events"] = [[1, "+", "k", "aa", 5, "m"]]
LISTING = {"epoch": 1, "next": 2, "clock_ms": 5.0, "held": [["k", "aa", 5, "m"]]}


class FuzzTest(unittest.TestCase):
    """Every decoder returns a value or raises its one error, whatever it is given."""

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(anything(CONFIGURATION))
    def test_configuration(self, data):
        try:
            self.assertIsNotNone(decode_configuration(data))
        except UnreadableError:
            pass

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(anything(SERVER))
    def test_server(self, data):
        try:
            server = decode_server(StoredRecord(offset=0, key="s", value=data))
        except UnreadableError:
            return
        host, _, port = server.address.rpartition(":")
        self.assertLess(int(port), 65536)
        self.assertTrue(port.isascii())

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(anything({"model": "m", "version": 2}))
    def test_named_version(self, data):
        record = StoredRecord(offset=0, key="version/m", value=data)
        try:
            self.assertIsNotNone(decode_named_version(record))
        except UnreadableError:
            pass

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(anything(EVENTS), anything(LISTING), anything({"seq": 1, "clock_ms": 1}))
    def test_replies_of_servers(self, events, listing, report):
        rows = (
            (events, EVENTS_DECODER, RAW_EVENTS_DECODER, EVENT_DECODER, "events"),
            (listing, LISTING_DECODER, RAW_LISTING_DECODER, HELD_DECODER, "held"),
        )
        for body, *decoders in rows:
            reply = Reply(status=200, fields={}, body=body)
            try:
                wire, found = decode_rows(reply, *decoders)
            except ChannelError:
                continue
            cut = (row[2:5] if len(row) == 6 else row[:3] for row in found)
            made = to_cache_events(wire, cut, has_gap=False)
            self.assertLess(abs(made.epoch), 2**63 + 1)
        try:
            wire = decode(REPORT_DECODER, Reply(status=200, fields={}, body=report))
            to_seconds(wire.clock_ms)
        except ChannelError:
            pass

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.binary(max_size=300), st.booleans())
    def test_pages_and_peers(self, data, is_keyed):
        try:
            decode_page(data, 0, is_keyed)
        except StoreError:
            pass
        list(decode_items([data, b'{"key":"k","offset":1,"value":"a"}']))
        try:
            decode_data(STATE_DECODER, data)
        except UnreadableError:
            pass

    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(
        st.sampled_from(
            (
                b"wasabistage-token-count",
                b"wasabistage-prompt-prefix",
                b"wasabistage-deadline-ms",
                b"wasabistage-weight-versions",
                b"wasabistage-server-load",
                b"retry-after",
                b"content-type",
            )
        ),
        st.one_of(
            st.binary(max_size=40),
            st.sampled_from(
                (b"9" * 5000, b"-1", b"nan", b"inf", b"1e999", b"aa:" + b"9" * 400)
            ),
        ),
    )
    def test_headers(self, name, value):
        head = ResponseHead(
            status=200, reason=b"", headers=[(name, value)], fields={name: value}
        )
        decode_response(head)
        headers = [
            (b"Host", b"h"),
            (b"Wasabistage-Request-Id", b"1"),
            (b"Wasabistage-Model", b"m"),
            (name, value),
        ]
        request = Request(
            method=b"GET", target=b"/", headers=headers, body=b"", begun_at=0.0
        )
        try:
            decode_request(request)
        except BadRequestError:
            pass

    def test_unreadable_rows_of_events_are_left_out(self):
        rows = [[1, "+", "k", "aa", 5, "m"], [2, "+"], [3, "+", "k", "bb", 2**70, "m"]]
        reply = Reply(status=200, fields={}, body=encode({**EVENTS, "events": rows}))
        _, found = decode_rows(
            reply, EVENTS_DECODER, RAW_EVENTS_DECODER, EVENT_DECODER, "events"
        )
        self.assertEqual([row[3] for row in found], ["aa"])


class PagedStore:
    """Gives one page of records after another."""

    def __init__(self, *pages):
        self.pages = list(pages)
        self.reads = 0

    async def read_newest(self, topic):
        return self._next()

    async def read(self, topic, start, wait):
        return self._next()

    def _next(self):
        self.reads += 1
        records = self.pages.pop(0)
        return RecordPage(records=tuple(records), end=records[-1].offset + 1)


class UnreadableRecordTest(unittest.TestCase):
    def setUp(self):
        entry = next(iter(Fleet(1, 1).entries.values()))
        entry.state.platform = UsersPlatform(SimpleNamespace(now=lambda: 0.0))
        self.state = entry.state
        self.watch = entry.watches[str(Topic.SERVERS)]
        self.watch.pause_seconds = 0.0

    def get_lines(self):
        return [
            line
            for line in self.state.log.lines
            if line["event"] == "record_unreadable"
        ]

    # Guards against one unreadable entry of the list of servers that ends the watch
    # again and again, so that no leaving server is taken in (issue 29, DRAIN; issue
    # 30, A 1).
    def test_unreadable_entry_does_not_hide_the_records_after_it(self):
        odd = [
            StoredRecord(offset=2 + number, key=f"odd-{number}", value=value)
            for number, value in enumerate(ODD_RECORDS)
        ]
        ready = StoredRecord(offset=1, key="s1", value=encode(SERVER))
        leaving = encode({**SERVER, "state": "draining"})
        last = StoredRecord(offset=2 + len(odd), key="s1", value=leaving)
        self.watch.store = PagedStore([ready, *odd], [*odd, last])
        run(self.watch._read_next())
        self.assertEqual(list(self.state.servers.servers), ["s1"])
        self.assertEqual(len(self.state.servers.find_usable("x")), 1)
        run(self.watch._read_next())
        self.assertEqual(self.state.servers.find_usable("x"), [])
        self.assertEqual(self.watch.position, last.offset + 1)

    def test_unreadable_key_is_counted_and_logged_once(self):
        rows = [StoredRecord(offset=n, key="odd", value=DEEP) for n in range(5)]
        self.watch.store = PagedStore(rows)
        run(self.watch._read_next())
        self.assertEqual(len(self.get_lines()), 1)
        self.assertIn(b"records_unreadable", self.state.metrics.render())

    # Guards against an unreadable configuration that replaces the one in force.
    def test_unreadable_configuration_keeps_the_one_in_force(self):
        watch = self.state.facts.watches[str(Topic.CONFIGURATION)]
        good = StoredRecord(offset=1, key="config", value=encode(CONFIGURATION))
        watch.store = PagedStore(
            [good], [StoredRecord(offset=2, key="config", value=DEEP)]
        )
        # The first read asks other entries, which takes time.
        trio.run(watch._read_next, clock=MockClock(autojump_threshold=0))
        run(watch._read_next())
        self.assertEqual(self.state.routes.configuration.version, 7)
        self.assertEqual(watch.newest_records["config"], good)


class UnreadableProcessTest(EdgeCase):
    def test_leaving_server_is_taken_in_after_odd_entries(self):
        async def test():
            for number, value in enumerate(ODD_RECORDS[:1] + ODD_RECORDS[2:]):
                for topic in ("keyed.servers", "keyed.entries", "keyed.op"):
                    key = f"odd-{number}".encode()
                    self.platform.store.append(topic, bytes([len(key)]) + key + value)
            server = self.platform.plain[0]
            entry = server.entry(state="draining")
            self.platform.store.put(server.server, entry, "keyed.servers")
            await self.until(
                lambda: len(self.edge.state.servers.find_usable("app")) == 2
            )
            self.assertEqual(self.events("task_failed"), [])

        self.play(test)


if __name__ == "__main__":
    unittest.main()
