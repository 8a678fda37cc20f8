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

RANDOM = bytes(range(16))


class TestStreamIds(unittest.TestCase):
    def test_id_names_its_server(self):
        stream_id = build_stream_id("model_1", RANDOM)
        self.assertEqual(parse_stream_id(str(stream_id)), stream_id)
        self.assertEqual(stream_id.server, "model_1")

    def test_malformed_ids_are_refused(self):
        good = str(build_stream_id("m", RANDOM))
        for text in ("", good + "\n", good.upper(), "s1-../x-" + "0" * 32, good * 9):
            with self.assertRaises(BadRequestError):
                parse_stream_id(text)
        with self.assertRaises(BadRequestError):
            build_stream_id("m", b"short")

    def test_known_id_of_another_account_names_another_stream(self):
        stream_id = build_stream_id("m", RANDOM)
        names = {
            derive_engine_stream_id(account, stream_id) for account in ("a", "b", "")
        }
        self.assertEqual(len(names), 3)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(st.text(max_size=200))
    def test_any_text_is_parsed_or_refused(self, text):
        try:
            self.assertEqual(str(parse_stream_id(text)), text)
        except BadRequestError:
            pass


class TestStreamTable(unittest.TestCase):
    def make(self, **arguments):
        table = StreamTable(**arguments).reset()
        table.open("a", "r", 0.0)
        return table

    def test_bad_bounds_are_refused(self):
        with self.assertRaises(SettingError):
            StreamTable(max_streams=0).reset()

    def test_other_account_sees_nothing(self):
        table = self.make()
        table.append("a", "r", b"x", 0.0)
        self.assertTrue(NO_STREAM.is_(table.read("b", "r", 0, 0.0)))
        self.assertEqual(table.read("a", "r", 0, 0.0).items, (b"x",))

    def test_slow_reader_pauses_the_stream(self):
        table = self.make(max_unread=10)
        self.assertTrue(table.append("a", "r", b"123456", 0.0))
        self.assertFalse(table.append("a", "r", b"123456", 0.0))
        table.read("a", "r", 0, 0.0)
        self.assertTrue(table.append("a", "r", b"1", 0.0))

    def test_reconnect_within_kept_bytes_else_trimmed(self):
        table = self.make(keep_read=4)
        for data in (b"aa", b"bb", b"cc"):
            table.append("a", "r", data, 0.0)
        table.end("a", "r", "end", 0.0)
        table.read("a", "r", 0, 0.0)
        read = table.read("a", "r", 1, 0.0)
        self.assertEqual((read.items, read.end), ((b"bb", b"cc"), "end"))
        self.assertTrue(TRIMMED.is_(table.read("a", "r", 0, 0.0)))

    def test_position_beyond_the_items_changes_nothing(self):
        table = self.make(max_unread=2)
        table.append("a", "r", b"x", 0.0)
        self.assertTrue(AHEAD.is_(table.read("a", "r", 7, 0.0)))
        self.assertFalse(table.append("a", "r", b"y", 0.0))

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(st.lists(st.one_of(st.binary(max_size=5), st.integers(0, 30)), max_size=40))
    def test_reads_give_the_items_or_say_why_not(self, steps):
        table, truth = self.make(max_unread=12, keep_read=6), []
        for step in steps:
            if isinstance(step, bytes):
                table.append("a", "r", step, 0.0)
                truth.append(step)
                continue
            read = table.read("a", "r", step, 0.0)
            if read:
                self.assertEqual(read.items, tuple(truth[step:]))
            stream = table.streams_["a", "r"]
            unread = sum(map(len, truth[stream.read_to :]))
            self.assertEqual(stream.unread, unread)
            self.assertLessEqual(stream.size - unread, 6)

    def test_full_table_refuses_and_idle_streams_are_named(self):
        table = self.make(max_streams=1, idle_time=5.0)
        with self.assertRaises(OverloadError):
            table.open("a", "s", 1.0)
        self.assertEqual(table.expired(4.0), [])
        self.assertEqual(table.expired(6.0), [("a", "r")])
        table.close("a", "r")
        table.open("a", "s", 6.0)


class TestSessionTable(unittest.TestCase):
    def test_bad_capacity_is_refused(self):
        with self.assertRaises(SettingError):
            SessionTable(capacity=0).reset()

    def test_last_server_per_account(self):
        table = SessionTable(100).reset()
        table.record("a", "s", "m1", 3, 10.7)
        table.record("a", "s", "m2", 4, 20.7)
        hint = table.lookup("a", "s")
        self.assertEqual((hint.server, hint.pieces, hint.last_seen), ("m2", 4, 20))
        self.assertTrue(NO_SESSION.is_(table.lookup("b", "s")))
        table.forget("a", "s")
        self.assertTrue(NO_SESSION.is_(table.lookup("a", "s")))
        self.assertEqual(table.size_, 0)

    def test_oldest_of_a_full_set_gives_way(self):
        table = SessionTable(1).reset()
        for number in range(17):
            table.record("a", str(number), "m", number, 100 + number)
        self.assertEqual((table.size_, table.evicted_), (16, 1))
        self.assertTrue(NO_SESSION.is_(table.lookup("a", "0")))
        self.assertEqual(table.lookup("a", "16").pieces, 16)

    def test_few_are_lost_at_capacity(self):
        table = SessionTable(5000).reset()
        for number in range(5000):
            table.record("a", str(number), "m", 1, number)
        self.assertLess(table.evicted_, 250)
        self.assertLess(table.memory() / 5000, 32)
