"""Pattern: other processes send messages and leave records of any kind."""

import importlib
import json
import pkgutil
import tempfile
import unittest
from pathlib import Path

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

import wasabistage.edge
import wasabistage.platform
from wasabistage.cache import PartCacheKey, parse_part_cache_key, part_cache_key
from wasabistage.cache import decode_record as decode_commit
from wasabistage.declarations import decode_deployment
from wasabistage.declarations._record import decode_record as decode_declaration
from wasabistage.edge import _peer_messages as messages
from wasabistage.edge import _watches as watches
from wasabistage.edge._crash_watch import decode_evidence
from wasabistage.edge._settings import load_edge_settings
from wasabistage.edge.tests.fleet_case import Fleet
from wasabistage.edge.tests.test_settings import VALID_SETTINGS
from wasabistage.exceptions import BadRequestError, SettingError
from wasabistage.fleet import StoredRecord, Topic
from wasabistage.once import decode_record as decode_call
from wasabistage.once import parse_ticket, parse_uuid_key_time
from wasabistage.platform import _records as records
from wasabistage.platform import _servers as servers
from wasabistage.platform import _store as store
from wasabistage.platform.tests.test_records import CONFIGURATION, SERVER
from wasabistage.platform.tests.test_unreadable import EVENTS, LISTING, ODD, encode
from wasabistage.rollout import decode_order_record
from wasabistage.sessions import parse_stream_id
from wasabistage.utils import UnreadableError, decode_data

DEPTH = 100_000
MEMBER = messages.MemberRow("e", "a", "127.0.0.1", "127.0.0.1:1", 1.0, True)
RECORD_FACT = messages.RecordFact("servers", "s1", 3, encode(SERVER))
CACHE_FACT = messages.CacheFact("127.0.0.1:2", 1, 0, 4, False, 2.0, [])
CACHE_FACT.groups.append(("m|1|", ["aa"], [5]))
FREED_FACT = messages.FreedFact("127.0.0.1:2", 1, [("k", ["p"])])
FACTS = (RECORD_FACT, CACHE_FACT, FREED_FACT, messages.MemberFact(MEMBER, True))
RAW_FACTS = [msgspec.Raw(messages.ENCODER.encode(fact)) for fact in FACTS]
REPORT = messages.PeerReport(
    name="e",
    incarnation="i",
    ip="127.0.0.1",
    callers="127.0.0.1:1",
    failure_domain="a",
    weight=1.0,
    is_ready=True,
    has_store=True,
    clock=5.0,
    is_relay=True,
    log="l",
    facts=RAW_FACTS,
    ages={"servers": (0.5, 3)},
    has_loads=True,
    versions=[("s1", 1, "m", 2)],
    named=[("m", 2, 0.5)],
    members=[MEMBER],
    suspects=[messages.EvidenceRow("aa", [("s1", 0.5, 3, True)], 1.0)],
)
SNAPSHOT = messages.TopicSnapshot(0.5, 4, 3, [("s1", 3, encode(SERVER))])
STATE = messages.FleetState("l", 3, {"servers": SNAPSHOT}, [CACHE_FACT], [MEMBER])
ENTRY = {"ip": "127.0.0.1", "failure_domain": "a", "weight": 1.0}
ORDER = {"holder": "e", "incarnation": "i", "servers": ["s1"]}
ITEM = {"key": "s1", "value": "e30=", "offset": 1}
#: A valid value of each decoder of ``edge`` and ``platform``.
MESSAGES = (
    (messages.DATAGRAM_DECODER, messages.ReportDatagram(1.0, "i", REPORT)),
    (messages.NOTICE_DECODER, messages.DispatchNotice("n", "s1", 1)),
    (messages.NOTICE_DECODER, messages.PaceNotice("n", "s1", 1.5)),
    (messages.FACT_DECODER, RECORD_FACT),
    (messages.FACT_DECODER, CACHE_FACT),
    (messages.FACT_DECODER, FACTS[2]),
    (messages.SNAPSHOT_DECODER, SNAPSHOT),
    (messages.STATE_DECODER, STATE),
    (messages.BATCH_DECODER, messages.FactBatch("l", 0, RAW_FACTS)),
)
RECORDS = (
    (watches.ENTRY_DECODER, ENTRY),
    (watches.ORDER_DECODER, ORDER),
    (records.CONFIGURATION_DECODER, CONFIGURATION),
    (records.SERVER_DECODER, SERVER),
    (records.NAMED_DECODER, {"model": "m", "version": 2}),
    (store.TRIMMED_DECODER, {"first": 3}),
    (store.ITEM_DECODER, ITEM),
    (store.NEWEST_DECODER, {"items": [ITEM], "morePages": False, "end": 2}),
    (store.APPENDED_DECODER, {"offset": 1, "end": 2}),
    (servers.REPORT_DECODER, {"seq": 1, "clock_ms": 1.0}),
    (servers.EVENTS_DECODER, EVENTS),
    (servers.LISTING_DECODER, LISTING),
    (servers.RAW_EVENTS_DECODER, EVENTS),
    (servers.RAW_LISTING_DECODER, LISTING),
    (servers.EVENT_DECODER, EVENTS["events"][0]),
    (servers.HELD_DECODER, LISTING["held"][0]),
)
DEEP_JSON = (b"[" * DEPTH, b'{"later":' + b"[" * DEPTH, b'{"a":' * DEPTH)
DEEP_MESSAGES = (
    b"\x91" * DEPTH,
    b"\x81\xa1a" * DEPTH,
    b"\x81\xa5later" + b"\x91" * DEPTH,
)
#: Numbers and texts that are wrong in many ways and that MessagePack can write.
ODD_VALUES = tuple(item for item in ODD if item != "\ud800" and item != 10**400) + (
    2**64 - 1,
    -(2**63),
    float("nan"),
    float("inf"),
    -1e308,
    b"\xff",
    "1" * 5000,
)
TEXTS = st.one_of(
    st.text(max_size=60),
    st.from_regex(r"[a-z0-9|\-.\u00b2]{0,80}", fullmatch=True),
    st.sampled_from(("m|\u00b2|", "m|" + "9" * 5000 + "|", "||", "m|-1|", "m|1|a|")),
)

#: Every run takes the same examples.
fuzz = settings(max_examples=150, deadline=None, derandomize=True)


def list_paths(value, path=()):
    """Yield the path of a value, and those of all values in it."""
    yield path
    if isinstance(value, dict):
        for key, item in value.items():
            yield from list_paths(item, (*path, key))
    elif isinstance(value, list | tuple):
        for index, item in enumerate(value):
            yield from list_paths(item, (*path, index))


def replace(value, path, odd):
    """Return a value in which what stands at a path is replaced."""
    if not path:
        return odd
    if isinstance(value, dict):
        return {**value, path[0]: replace(value[path[0]], path[1:], odd)}
    items = list(value)
    items[path[0]] = replace(items[path[0]], path[1:], odd)
    return items


def damage(value, encode_value, deep):
    """Return a strategy of bytes made from a valid value.

    :param value: lists, dicts and scalars.
    :param encode_value: function that encodes them.
    :param deep: deeply nested bytes.
    """
    data = encode_value(value)
    odd = st.sampled_from(ODD_VALUES)
    paths = st.sampled_from(list(list_paths(value)))
    return st.one_of(
        st.builds(
            lambda path, item: encode_value(replace(value, path, item)), paths, odd
        ),
        st.builds(lambda size: data[:size], st.integers(0, len(data))),
        st.builds(
            lambda at, byte: data[:at] + byte + data[at + 1 :],
            st.integers(0, len(data) - 1),
            st.binary(min_size=1, max_size=1),
        ),
        st.sampled_from(deep),
        st.binary(max_size=200),
    )


def encode_json(value):
    """Return a value as JSON; bytes become text."""
    return json.dumps(value, default=lambda item: item.decode("latin-1")).encode()


def damage_json(value):
    """Return a strategy of damaged JSON; see :func:`damage`."""
    return damage(value, encode_json, DEEP_JSON)


def damage_message(value):
    """Return a strategy of damaged MessagePack; see :func:`damage`."""
    plain = msgspec.msgpack.decode(messages.ENCODER.encode(value))
    return damage(plain, messages.ENCODER.encode, DEEP_MESSAGES)


def fuzz_decoder(strategy, decode, error):
    """Decode what a strategy gives; any other error than the named one is raised."""

    @fuzz
    @given(strategy)
    def check(data):
        try:
            decode(data)
        except error:
            pass

    check()


class DecoderTest(unittest.TestCase):
    """Every decoder gives a value or its one error."""

    def test_valid_values_are_decoded(self):
        for decoder, value in MESSAGES:
            self.assertEqual(
                decode_data(decoder, messages.ENCODER.encode(value)), value
            )
        for decoder, value in RECORDS:
            decode_data(decoder, encode_json(value))

    # Guards against a decoder that no test gives odd bytes.
    def test_all_decoders_are_covered(self):
        covered = {id(decoder) for decoder, _ in MESSAGES + RECORDS}
        kinds = (msgspec.json.Decoder, msgspec.msgpack.Decoder)
        found = 0
        for package in (wasabistage.edge, wasabistage.platform):
            for module in pkgutil.iter_modules(package.__path__):
                if module.name in ("tests", "__main__"):
                    continue
                loaded = importlib.import_module(f"{package.__name__}.{module.name}")
                for name, value in vars(loaded).items():
                    if isinstance(value, kinds):
                        found += 1
                        self.assertIn(id(value), covered, f"{loaded.__name__}.{name}")
        self.assertGreater(found, len(covered) - 1)

    def test_messages(self):
        for decoder, value in MESSAGES:
            with self.subTest(decoder.type):
                fuzz_decoder(
                    damage_message(value),
                    lambda data, decoder=decoder: decode_data(decoder, data),
                    UnreadableError,
                )

    def test_records(self):
        for decoder, value in RECORDS:
            with self.subTest(decoder.type):
                fuzz_decoder(
                    damage_json(value),
                    lambda data, decoder=decoder: decode_data(decoder, data),
                    UnreadableError,
                )

    def test_entries(self):
        def decode(data):
            entry = decode_data(watches.ENTRY_DECODER, data)
            watches.check_entry(entry)
            self.assertLess(0.0, entry.weight)

        fuzz_decoder(damage_json(ENTRY), decode, UnreadableError)

    def test_pages_of_the_store(self):
        def decode(data):
            store.decode_first(data)
            for record in store.decode_items([data]):
                self.assertIsInstance(record.value, bytes)

        fuzz_decoder(damage_json(ITEM), decode, ())

    def test_settings(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "edge.ini"
            lines = VALID_SETTINGS.splitlines()
            names = [line.partition("=")[0] for line in lines if "=" in line]
            names += ["link_mbps", "weight", "key_removal_ms", "loads_at_once"]
            odd = ("nan", "inf", "-1", "1e999", "9" * 5000, "\u00b2", "%(x)s", "\x00")
            odd += ("127.0.0.1:\u00b2", "127.0.0.1:" + "9" * 5000, "1_0", "[", "=")
            replaced = st.builds(
                lambda name, value: "\n".join(
                    f"{name}={value}" if line.startswith(name) else line
                    for line in lines
                ),
                st.sampled_from(names),
                st.one_of(st.sampled_from(odd), st.text(max_size=20)),
            )
            added = st.builds(
                lambda name, value: f"{VALID_SETTINGS}\n{name} = {value}",
                st.sampled_from(names),
                st.sampled_from(odd),
            )

            def decode(text):
                path.write_bytes(text.encode("utf-8", "surrogatepass"))
                loaded = load_edge_settings(path)
                self.assertLess(loaded.bounds.stop_s, float("inf"))

            texts = st.one_of(replaced, added, st.text(max_size=200))
            fuzz_decoder(texts, decode, SettingError)

    def test_keys_and_ids(self):
        for decode, error in (
            (parse_part_cache_key, ()),
            (parse_ticket, ()),
            (parse_uuid_key_time, ()),
            (parse_stream_id, BadRequestError),
        ):
            with self.subTest(decode.__name__):
                fuzz_decoder(TEXTS, decode, error)
        self.assertEqual(
            parse_part_cache_key(part_cache_key("m", 7)),
            PartCacheKey(model="m", version=7, scope=""),
        )

    def test_evidence_of_crashes(self):
        decoder = msgspec.msgpack.Decoder(messages.EvidenceRow)

        def decode(data):
            evidence = decode_evidence(decode_data(decoder, data), 100.0)
            self.assertTrue(all(crash.at <= 100.0 for crash in evidence.crashes))

        fuzz_decoder(damage_message(REPORT.suspects[0]), decode, UnreadableError)

    def test_records_of_the_other_role(self):
        order = {"release": {"slot": 0, "fencing": 1}}
        fuzz_decoder(damage_message({"kind": "intent"}), decode_call, UnreadableError)
        for decode, strategy in (
            (decode_order_record, damage_json(order)),
            (decode_commit, damage_message({"format": 1, "digest": "", "body": b""})),
            (decode_declaration, damage_message(["wasabistage.configuration", 1, {}])),
            (decode_deployment, st.binary(max_size=200)),
        ):
            with self.subTest(decode.__module__):
                fuzz_decoder(strategy, decode, ())


class AppliedTest(unittest.TestCase):
    """What is decoded can be applied, and what can't be is left out."""

    def setUp(self):
        self.entry = next(iter(Fleet(1, 1).entries.values()))

    def test_records_of_watches_raise_one_error(self):
        for topic, watch_class, value in (
            (Topic.ENTRIES, watches.EntryWatch, ENTRY),
            (Topic.ORDERS, watches.OrderWatch, ORDER),
        ):
            watch = watch_class(self.entry.state, None)
            with self.subTest(topic):
                fuzz_decoder(
                    damage_json(value),
                    lambda data, watch=watch: watch.apply_record(
                        StoredRecord(offset=1, key="x", value=data), 0.0
                    ),
                    UnreadableError,
                )


if __name__ == "__main__":
    unittest.main()
