import unittest

from wasabistage.exceptions import SettingError
from wasabistage.routing import (
    BytesReceived,
    SilenceDetector,
    SilenceQuery,
    WorkEnded,
    WorkSent,
)

STEP = 0.1


class SilenceDetectorTest(unittest.TestCase):
    def setUp(self):
        self.detector = SilenceDetector(
            stream_limit=0.8, first_limit=1.5, pause_limit=0.4, hold=1.0
        ).reset()
        self.now = 0.0

    def sent(self, server, request):
        self.detector.observe(WorkSent(server=server, request=request), self.now)

    def heard(self, server, request):
        self.detector.observe(BytesReceived(server=server, request=request), self.now)

    def run_for(self, seconds, talking=()):
        silent = []
        for _ in range(round(seconds / STEP)):
            self.now += STEP
            for server, request in talking:
                self.heard(server, request)
            silent += self.detector.tick(self.now)
        return silent

    def is_silent(self, server):
        return self.detector.decide(SilenceQuery(server=server), self.now)

    def test_bad_limit_is_refused(self):
        with self.assertRaises(SettingError):
            SilenceDetector(stream_limit=0).reset()

    def test_dark_server_shows_while_another_goes_on(self):
        for server in ("dark", "well"):
            self.sent(server, f"{server}-1")
            self.heard(server, f"{server}-1")
        silent = self.run_for(1.0, talking=[("well", "well-1")])
        self.assertEqual(set(silent), {"dark"})
        self.assertTrue(self.is_silent("dark"))
        self.assertFalse(self.is_silent("well"))

    def test_server_that_computes_a_long_prompt_is_not_silent(self):
        self.sent("busy", "long")
        self.assertEqual(self.run_for(1.4), [])
        self.heard("busy", "long")
        self.assertFalse(self.is_silent("busy"))

    def test_server_heard_again_gets_work_again(self):
        self.sent("s", "1")
        self.heard("s", "1")
        self.run_for(1.0)
        self.assertTrue(self.is_silent("s"))
        self.heard("s", "1")
        self.assertFalse(self.is_silent("s"))

    def test_silence_is_forgotten_once_nothing_waits(self):
        self.sent("s", "1")
        self.run_for(1.7)
        self.detector.observe(WorkEnded(server="s", request="1"), self.now)
        self.assertTrue(self.is_silent("s"))
        self.run_for(1.2)
        self.assertFalse(self.is_silent("s"))
        self.assertEqual(self.detector.servers_, {})

    def test_own_standstill_accuses_nobody(self):
        for number in range(3):
            self.sent(f"s{number}", "1")
            self.heard(f"s{number}", "1")
        self.run_for(0.2)
        self.now += 4.0
        self.assertEqual(self.detector.tick(self.now), [])
        self.assertEqual(self.run_for(0.5), [])


if __name__ == "__main__":
    unittest.main()
