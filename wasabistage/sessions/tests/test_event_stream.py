import unittest

from wasabistage.sessions import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"


class EventSplitterTest(unittest.TestCase):
    def test_any_cut_passes_whole_events_and_loses_no_byte(self):
        for size in range(1, len(STREAM) + 1):
            splitter, passed = EventSplitter(), b""
            for start in range(0, len(STREAM), size):
                whole = splitter.feed(STREAM[start : start + size])
                self.assertTrue(whole == b"" or whole.endswith(b"\n\n"))
                passed += whole
            self.assertEqual(passed + splitter.flush(), STREAM)
            self.assertEqual((splitter.last_id, splitter.event_count), ("3", 3))

    def test_begun_event_is_dropped_before_a_resume(self):
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        splitter.discard_incomplete()
        self.assertEqual(splitter.last_id, "1")
        self.assertEqual(
            splitter.feed(b"id: 2\r\ndata: b\r\n\r\n"), b"id: 2\r\ndata: b\r\n\r\n"
        )
        self.assertEqual(splitter.last_id, "2")

    def test_rest_of_a_complete_stream_is_passed(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"data: no end"), b"")
        self.assertEqual(splitter.flush(), b"data: no end")
        self.assertEqual(splitter.flush(), b"")


if __name__ == "__main__":
    unittest.main()
