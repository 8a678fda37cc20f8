import unittest

from wasabistage.edge._state import STREAM_SILENCE_SECONDS
from wasabistage.exceptions import SettingError
from wasabistage.routing import (
    BytesReceived,
    PeerBytesReceived,
    RequestEnded,
    RequestSent,
    SilenceDetector,
    SilenceQuery,
)

STEP_SECONDS = 0.1


class SilenceDetectorTest(unittest.TestCase):
    def setUp(self):
        self.detector = SilenceDetector(
            stream_limit=0.8, first_limit=1.5, pause_limit=0.4, hold=1.0
        ).reset()
        self.now = 0.0

    def send(self, server, request):
        self.detector.observe(RequestSent(server=server, request=request), self.now)

    def receive(self, server, request):
        self.detector.observe(BytesReceived(server=server, request=request), self.now)

    def run_for(self, seconds, streaming=()):
        silent = []
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for server, request in streaming:
                self.receive(server, request)
            silent += self.detector.tick(self.now)
        return silent

    def is_silent(self, server):
        return self.detector.decide(SilenceQuery(server=server), self.now)

    def test_reset_with_stream_limit_of_zero_raises(self):
        with self.assertRaises(SettingError):
            SilenceDetector(stream_limit=0).reset()

    def test_server_without_bytes_is_silent_while_another_streams(self):
        for server in ("silent", "streaming"):
            self.send(server, f"{server}-1")
            self.receive(server, f"{server}-1")
        silent = self.run_for(1.0, streaming=[("streaming", "streaming-1")])
        self.assertEqual(set(silent), {"silent"})
        self.assertTrue(self.is_silent("silent"))
        self.assertFalse(self.is_silent("streaming"))

    def test_server_without_first_token_is_not_silent_within_first_limit(self):
        self.send("busy", "long")
        self.assertEqual(self.run_for(1.4), [])
        self.receive("busy", "long")
        self.assertFalse(self.is_silent("busy"))

    def test_silent_server_that_sends_bytes_is_not_silent(self):
        self.send("s", "1")
        self.receive("s", "1")
        self.run_for(1.0)
        self.assertTrue(self.is_silent("s"))
        self.receive("s", "1")
        self.assertFalse(self.is_silent("s"))

    def test_engine_that_reads_long_prompts_is_not_silent_with_the_edge_limit(self):
        """Pattern: nine steps of 105 ms between two events of each stream."""
        self.detector = SilenceDetector(stream_limit=STREAM_SILENCE_SECONDS).reset()
        self.send("s", "1")
        for _ in range(5):
            self.receive("s", "1")
            self.run_for(0.95)
            self.assertFalse(self.is_silent("s"))
        self.run_for(0.7)
        self.assertTrue(self.is_silent("s"))

    def test_server_that_another_entry_hears_is_not_silent(self):
        self.send("s", "1")
        for _ in range(4):
            self.run_for(1.0)
            self.detector.observe(PeerBytesReceived(server="s"), self.now - 0.3)
            self.assertFalse(self.is_silent("s"))
        self.run_for(1.7)
        self.assertTrue(self.is_silent("s"))
        self.detector.observe(PeerBytesReceived(server="s"), self.now)
        self.assertFalse(self.is_silent("s"))
        self.detector.observe(PeerBytesReceived(server="other"), self.now)
        self.assertNotIn("other", self.detector.servers_)

    def test_server_that_other_domains_hear_has_a_longer_limit(self):
        self.send("s", "1")
        for _ in range(5):
            self.run_for(0.5)
            event = PeerBytesReceived(server="s", is_near=False)
            self.detector.observe(event, self.now - 0.2)
            self.assertFalse(self.is_silent("s"))
        self.run_for(0.8)
        self.assertTrue(self.is_silent("s"))

    def test_silent_server_without_requests_is_removed_after_hold(self):
        self.send("s", "1")
        self.run_for(1.7)
        self.detector.observe(RequestEnded(server="s", request="1"), self.now)
        self.assertTrue(self.is_silent("s"))
        self.run_for(1.2)
        self.assertFalse(self.is_silent("s"))
        self.assertEqual(self.detector.servers_, {})

    def test_no_server_is_silent_after_pause_of_own_process(self):
        for number in range(3):
            self.send(f"s{number}", "1")
            self.receive(f"s{number}", "1")
        self.run_for(0.2)
        self.now += 4.0
        self.assertEqual(self.detector.tick(self.now), [])
        self.assertEqual(self.run_for(0.5), [])


if __name__ == "__main__":
    unittest.main()
