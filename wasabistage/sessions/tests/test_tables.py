import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.exceptions import BadRequestError, OverloadError, SettingError
from wasabistage.sessions import (
    AHEAD,
    NO_SESSION,
    NO_STREAM,
    TRIMMED,
    SessionTable,
    StreamTable,
    build_stream_id,
    derive_engine_stream_id,
    parse_stream_id,
)

RANDOM_BYTES = bytes(range(16))


class TestStreamIds(unittest.TestCase):
    def test_built_id_is_parsed_to_its_server(self):
        stream_id = build_stream_id("model_1", RANDOM_BYTES)
        self.assertEqual(parse_stream_id(str(stream_id)), stream_id)
        self.assertEqual(stream_id.server, "model_1")

    def test_malformed_id_raises(self):
        valid = str(build_stream_id("m", RANDOM_BYTES))
        for text in ("", valid + "\n", valid.upper(), "s1-../x-" + "0" * 32, valid * 9):
            with self.assertRaises(BadRequestError):
                parse_stream_id(text)
        with self.assertRaises(BadRequestError):
            build_stream_id("m", b"short")

    def test_same_id_of_another_account_gives_another_engine_id(self):
        stream_id = build_stream_id("m", RANDOM_BYTES)
        engine_ids = {
            derive_engine_stream_id(account, stream_id) for account in ("a", "b", "")
        }
        self.assertEqual(len(engine_ids), 3)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.text(max_size=200))
    def test_any_text_is_parsed_without_change_or_raises(self, text):
        try:
            self.assertEqual(str(parse_stream_id(text)), text)
        except BadRequestError:
            pass


class TestStreamTable(unittest.TestCase):
    def make_table(self, **arguments):
        table = StreamTable(**arguments).reset()
        table.open("a", "r", 0.0)
        return table

    def test_reset_with_max_streams_0_raises(self):
        with self.assertRaises(SettingError):
            StreamTable(max_streams=0).reset()

    def test_other_account_reads_no_stream(self):
        table = self.make_table()
        table.append("a", "r", b"x", 0.0)
        self.assertTrue(NO_STREAM.has_same_name(table.read("b", "r", 0, 0.0)))
        self.assertEqual(table.read("a", "r", 0, 0.0).items, (b"x",))

    def test_append_returns_false_until_the_caller_has_read(self):
        table = self.make_table(max_unread_bytes=10)
        self.assertTrue(table.append("a", "r", b"123456", 0.0))
        self.assertFalse(table.append("a", "r", b"123456", 0.0))
        table.read("a", "r", 0, 0.0)
        self.assertTrue(table.append("a", "r", b"1", 0.0))

    def test_read_of_kept_items_succeeds_and_of_discarded_items_fails(self):
        table = self.make_table(max_read_bytes=4)
        for data in (b"aa", b"bb", b"cc"):
            table.append("a", "r", data, 0.0)
        table.record_end("a", "r", "end", 0.0)
        table.read("a", "r", 0, 0.0)
        read = table.read("a", "r", 1, 0.0)
        self.assertEqual((read.items, read.end_mark), ((b"bb", b"cc"), "end"))
        self.assertTrue(TRIMMED.has_same_name(table.read("a", "r", 0, 0.0)))

    def test_read_after_the_last_item_leaves_the_unread_bytes(self):
        table = self.make_table(max_unread_bytes=2)
        table.append("a", "r", b"x", 0.0)
        self.assertTrue(AHEAD.has_same_name(table.read("a", "r", 7, 0.0)))
        self.assertFalse(table.append("a", "r", b"y", 0.0))

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.one_of(st.binary(max_size=5), st.integers(0, 30)), max_size=40))
    def test_reads_at_random_positions_return_the_items_or_a_sentinel(self, steps):
        table, appended = self.make_table(max_unread_bytes=12, max_read_bytes=6), []
        for step in steps:
            if isinstance(step, bytes):
                table.append("a", "r", step, 0.0)
                appended.append(step)
                continue
            read = table.read("a", "r", step, 0.0)
            if read:
                self.assertEqual(read.items, tuple(appended[step:]))
            stream = table.streams_["a", "r"]
            unread_bytes = sum(map(len, appended[stream.read_position :]))
            self.assertEqual(stream.unread_bytes, unread_bytes)
            self.assertLessEqual(stream.buffered_bytes - unread_bytes, 6)

    def test_full_table_refuses_a_stream_until_an_idle_one_is_closed(self):
        table = self.make_table(max_streams=1, idle_timeout=5.0)
        with self.assertRaises(OverloadError):
            table.open("a", "s", 1.0)
        self.assertEqual(table.find_idle(4.0), [])
        self.assertEqual(table.find_idle(6.0), [("a", "r")])
        table.close("a", "r")
        table.open("a", "s", 6.0)


class TestSessionTable(unittest.TestCase):
    def test_reset_with_capacity_0_raises(self):
        with self.assertRaises(SettingError):
            SessionTable(capacity=0).reset()

    def test_lookup_returns_the_last_server_of_the_account_only(self):
        table = SessionTable(100).reset()
        table.record("a", "s", "m1", 3, 10.7)
        table.record("a", "s", "m2", 4, 20.7)
        hint = table.lookup("a", "s")
        self.assertEqual((hint.server, hint.pieces, hint.last_served_at), ("m2", 4, 20))
        self.assertTrue(NO_SESSION.has_same_name(table.lookup("b", "s")))
        table.remove("a", "s")
        self.assertTrue(NO_SESSION.has_same_name(table.lookup("a", "s")))
        self.assertEqual(table.size_, 0)

    def test_full_set_evicts_the_least_recently_served_session(self):
        table = SessionTable(1).reset()
        for number in range(17):
            table.record("a", str(number), "m", number, 100 + number)
        self.assertEqual((table.size_, table.evicted_), (16, 1))
        self.assertTrue(NO_SESSION.has_same_name(table.lookup("a", "0")))
        self.assertEqual(table.lookup("a", "16").pieces, 16)

    def test_table_filled_to_capacity_evicts_few_sessions(self):
        table = SessionTable(5000).reset()
        for number in range(5000):
            table.record("a", str(number), "m", 1, number)
        self.assertLess(table.evicted_, 250)
        self.assertLess(table.memory() / 5000, 32)
