import json
import math
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.fleet import RouteKind, StoredRecord, StoreError
from wasabistage.platform._records import (
    decode_configuration,
    decode_evacuation,
    decode_named_version,
    decode_server,
)
from wasabistage.platform._store import LENGTH, POSITIONS, decode_page
from wasabistage.utils import UnreadableError

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "H.example",
            "pathPrefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 12000,
            "goalMs": 1200,
            "priority": 2,
            "split": [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}],
            "attempts": 2,
            "sticky": True,
            "resumable": True,
            "gapTargetMs": 300,
        },
        {
            "name": "r2",
            "host": "h.example",
            "pathPrefix": "/b/",
            "kind": "non_idempotent",
            "timeoutMs": 800,
            "goalMs": 100,
            "service": "y",
        },
    ],
    "services": [
        {"name": "x", "maxConns": 360, "engine": {"slots": 64, "kvCapacity": 83597}},
        {"name": "y", "maxConns": 100},
        {
            "name": "z",
            "kvStoreAddr": "10.0.0.6:8583",
            "zone": "d",
            "isManaged": True,
            "kvCapacity": 115938,
            "linkMbps": 2200000.0,
            "first_ms": 0.5,
        },
    ],
    "limits": {"maxHeaderBytes": 16384, "idleTimeoutMs": 15000},
    "tenants": [{"name": "t", "keys": ["k"], "priority": 1, "dedicated": True}],
    "later": {"unknown": 1},
}
SERVER = {
    "service": "x",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "slots": 64,
    "state": "ready",
    "born": 1700,
    "models": [{"name": "daka", "version": 3}],
}

ROUTES = CONFIGURATION["routes"]
JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=3), inner, max_size=3)
    ),
    max_leaves=6,
)


def record(key, value):
    data = value if isinstance(value, bytes) else json.dumps(value).encode()
    return StoredRecord(offset=1, key=key, value=data)


class DecodeConfigurationTest(unittest.TestCase):
    def test_fields_hold_what_they_say(self):
        made = decode_configuration(json.dumps(CONFIGURATION).encode())
        stream, once = made.routes
        self.assertEqual((made.version, stream.host), (7, "h.example"))
        self.assertEqual(
            (stream.timeout, stream.objective, stream.rank), (12.0, 1.2, 2)
        )
        self.assertEqual((stream.max_servers, stream.is_repeatable), (2, True))
        self.assertEqual(stream.targets, (("x", 90.0), ("y", 10.0)))
        self.assertIs(once.kind, RouteKind.ONCE)
        self.assertFalse(once.is_repeatable)
        self.assertEqual(set(made.services), {"x", "y"})
        self.assertEqual(made.services["x"].engine.memory_tokens, 83597)
        store = made.stores["z"]
        self.assertEqual(
            (store.first_byte_seconds, store.link_bytes_per_second), (0.0005, 2.75e11)
        )
        self.assertTrue(made.accounts["t"].is_dedicated)
        self.assertEqual(made.limits.idle_timeout_seconds, 15.0)

    def test_limits_of_cold_servers_are_optional(self):
        def decode(**fields):
            services = [{"name": "y", **fields}]
            data = json.dumps({**CONFIGURATION, "services": services}).encode()
            service = decode_configuration(data).services["y"]
            return service.cold_seconds, service.cold_rate

        self.assertEqual(decode(), (None, None))
        self.assertEqual(decode(coldS=20, coldPerS=17.5), (20.0, 17.5))
        for value in (0, -3, "17", None, [1], True):
            self.assertEqual(decode(coldS=value, coldPerS=value), (None, None))

    def test_pause_of_a_stream_may_be_anything(self):
        for value, expected in ((300, 0.3), (None, 0.0), ("x", 0.0), (-1, 0.0)):
            routes = [{**ROUTES[0], "gapTargetMs": value}]
            data = json.dumps({**CONFIGURATION, "routes": routes}).encode()
            with self.subTest(value=value):
                route = decode_configuration(data).routes[0]
                self.assertEqual(route.max_gap, expected)

    def test_home_regions_of_routes_and_accounts(self):
        routes = [{**row, "allowedRegions": ["eu", "us"]} for row in ROUTES]
        tenants = [{"name": "t", "allowedRegions": ["eu"]}, {"name": "u"}]
        data = json.dumps({**CONFIGURATION, "routes": routes, "tenants": tenants})
        made = decode_configuration(data.encode())
        self.assertEqual(made.routes[0].allowed_regions, {"eu", "us"})
        self.assertEqual(made.accounts["t"].allowed_regions, {"eu"})
        self.assertEqual(made.accounts["u"].allowed_regions, frozenset())
        plain = decode_configuration(json.dumps(CONFIGURATION).encode())
        self.assertEqual(plain.routes[0].allowed_regions, frozenset())

    # Guards against keys that go on working once the last tenant is gone (issue 30,
    # A 4).
    def test_empty_list_of_tenants_is_not_a_missing_one(self):
        empty = decode_configuration(json.dumps({**CONFIGURATION, "tenants": []}))
        missing = {k: v for k, v in CONFIGURATION.items() if k != "tenants"}
        self.assertEqual(empty.accounts, {})
        self.assertIsNone(decode_configuration(json.dumps(missing)).accounts)

    def test_what_can_not_be_used_is_unreadable(self):
        bad_kind = {**CONFIGURATION, "routes": [{**CONFIGURATION["routes"][0]}]}
        bad_kind["routes"][0]["kind"] = "unheard"
        for value in (b"", b"\xff", b"[]", json.dumps(bad_kind).encode()):
            with self.assertRaises(UnreadableError):
                decode_configuration(value)

    @given(st.binary(max_size=200))
    @settings(max_examples=200, deadline=None)
    def test_arbitrary_bytes_harm_nothing(self, value):
        with self.assertRaises(UnreadableError):
            decode_configuration(value)
        with self.assertRaises(UnreadableError):
            decode_server(StoredRecord(offset=0, key="i", value=value))


class DecodeEvacuationTest(unittest.TestCase):
    def test_key_names_the_failure_domain(self):
        self.assertEqual(decode_evacuation("evacuate/z-1"), "z-1")
        self.assertEqual(decode_evacuation("evacuate/a/b"), "a/b")
        for key in ("evacuate", "version/evacuate/z", "config", ""):
            self.assertIsNone(decode_evacuation(key))


class DecodeServerTest(unittest.TestCase):
    def test_fields_hold_what_they_say(self):
        made = decode_server(record("i-1", SERVER))
        self.assertEqual((made.server, made.incarnation), ("i-1", 1700))
        self.assertEqual(made.versions, {"daka": 3})
        self.assertFalse(made.is_leaving)
        leaving = decode_server(record("i-1", {**SERVER, "state": "draining"}))
        self.assertTrue(leaving.is_leaving)

    # Guards against a record that is passed over for its cold time: its server may have
    # started again.
    def test_cold_time_may_be_anything(self):
        def decode(value):
            data = json.dumps({**SERVER, "coldLeftMs": value}).encode()
            return decode_server(record("i-1", data)).cold_left

        self.assertIsNone(decode_server(record("i-1", SERVER)).cold_left)
        for value, expected in (
            (0, 0.0),
            (2500, 2.5),
            (float("inf"), float("inf")),
            (10**400, float("inf")),
        ):
            self.assertEqual(decode(value), expected)
        for value in (
            -1,
            -(10**400),
            float("-inf"),
            float("nan"),
            "soon",
            True,
            [],
            {},
        ):
            self.assertIsNone(decode(value))
        data = json.dumps({**SERVER, "coldLeftMs": 1}).replace(": 1}", ": 1e999}")
        self.assertEqual(
            decode_server(record("i-1", data.encode())).cold_left, math.inf
        )

    @given(JSON_VALUES)
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_any_cold_time_yields_a_time_or_none(self, value):
        data = json.dumps({**SERVER, "coldLeftMs": value}).encode()
        made = decode_server(record("i-1", data))
        self.assertEqual(made.incarnation, 1700)
        self.assertTrue(made.cold_left is None or made.cold_left >= 0.0)

    def test_entries_of_other_writers_name_no_server(self):
        for change in (
            {"state": "unheard"},
            {"address": "nowhere"},
            {"address": "10.0.0.300:80"},
            {"address": 5},
            {"born": "yesterday"},
            {"models": "daka"},
        ):
            with self.subTest(change), self.assertRaises(UnreadableError):
                decode_server(record("i-1", {**SERVER, **change}))

    def test_named_versions(self):
        named = {"model": "daka", "version": 2}
        made = decode_named_version(record("version/daka", named))
        self.assertEqual((made.model, made.version), ("daka", 2))
        self.assertIsNone(decode_named_version(record("config", named)))
        with self.assertRaises(UnreadableError):
            decode_named_version(record("version/daka", b"\xff"))


class DecodePageTest(unittest.TestCase):
    def test_records_follow_the_positions(self):
        keyed = b"\x03keyvalue"
        gone = b"\x03key"
        body = POSITIONS.pack(9, 0)
        for data in (keyed, gone):
            body += LENGTH.pack(len(data)) + data
        page = decode_page(body, 7, is_keyed=True)
        self.assertEqual(page.end, 9)
        self.assertEqual([item.offset for item in page.records], [7, 8])
        self.assertEqual(page.records[0].value, b"value")
        self.assertIsNone(page.records[1].value)

    def test_cut_page_is_an_error(self):
        body = POSITIONS.pack(9, 0) + LENGTH.pack(5) + b"ab"
        for cut in (body, body[:10], POSITIONS.pack(1, 0) + b"\x00"):
            with self.assertRaises(StoreError):
                decode_page(cut, 0, is_keyed=False)


if __name__ == "__main__":
    unittest.main()
