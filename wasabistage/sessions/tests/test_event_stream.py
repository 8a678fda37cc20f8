import unittest

from wasabistage.sessions import EventSplitter

STREAM = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"


class EventSplitterTest(unittest.TestCase):
    def test_stream_in_chunks_of_any_size_is_passed_on_at_ends_of_events(self):
        for size in range(1, len(STREAM) + 1):
            splitter, passed = EventSplitter(), b""
            for start in range(0, len(STREAM), size):
                complete = splitter.feed(STREAM[start : start + size])
                self.assertTrue(complete == b"" or complete.endswith(b"\n\n"))
                passed += complete
            self.assertEqual(passed + splitter.flush(), STREAM)
            self.assertEqual((splitter.last_id, splitter.event_count), ("3", 3))

    def test_incomplete_event_is_discarded_before_a_resume(self):
        splitter = EventSplitter()
        splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        splitter.discard_incomplete()
        self.assertEqual(splitter.last_id, "1")
        self.assertEqual(
            splitter.feed(b"id: 2\r\ndata: b\r\n\r\n"), b"id: 2\r\ndata: b\r\n\r\n"
        )
        self.assertEqual(splitter.last_id, "2")

    def test_incomplete_event_at_the_end_of_a_stream_is_returned_once(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"data: no end"), b"")
        self.assertTrue(splitter.has_incomplete)
        self.assertEqual(splitter.flush(), b"data: no end")
        self.assertEqual(splitter.flush(), b"")
        self.assertFalse(splitter.has_incomplete)

    def test_blank_lines_at_the_end_of_a_stream_are_no_event(self):
        splitter = EventSplitter()
        self.assertEqual(splitter.feed(b"data: a\n\n"), b"data: a\n\n")
        self.assertEqual(splitter.feed(b"\n"), b"")
        self.assertFalse(splitter.has_incomplete)
        self.assertEqual(splitter.flush(), b"\n")


if __name__ == "__main__":
    unittest.main()
