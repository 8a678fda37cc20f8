import math
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.routing import (
    BytesReceived,
    EndCaller,
    PauseSilence,
    RequestEnded,
    RequestSent,
    SilenceDetector,
    SilenceQuery,
    SlowWritePolicy,
    WriteBegun,
    WriteEnded,
)

TICK_SECONDS = 0.1


class StreamsTest(unittest.TestCase):
    """Pattern: the only caller of a server's streams stops reading."""

    def play(self, policy, seconds):
        """Return whether the server counts as silent while a write is held up."""
        silence = SilenceDetector(stream_limit=1.5).reset()
        silence.observe(RequestSent(server="s", request="r"), 0.0)
        silence.observe(BytesReceived(server="s", request="r"), 0.1)
        policy.observe(WriteBegun(request="r", server="s"), 0.1)
        silent = []
        for number in range(2, int(seconds / TICK_SECONDS)):
            now = number * TICK_SECONDS
            for action in policy.tick(now):
                if isinstance(action, PauseSilence):
                    event = RequestEnded(server="s", request=action.request)
                    silence.observe(event, now)
            silence.tick(now)
            silent.append(silence.decide(SilenceQuery(server="s"), now))
        return any(silent)

    def test_server_does_not_count_as_silent(self):
        self.assertFalse(self.play(SlowWritePolicy().reset(), 5.0))
        # Without the policy it does.
        self.assertTrue(self.play(SlowWritePolicy(pause_after=100.0).reset(), 5.0))


class SlowWritePolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = SlowWritePolicy(pause_after=0.5, end_after=2.0).reset()

    def begin(self, now, request="r"):
        self.policy.observe(WriteBegun(request=request, server="s"), now)

    def test_quick_writes_are_left_alone(self):
        for number in range(50):
            self.begin(number * 0.1)
            self.policy.observe(WriteEnded(request="r"), number * 0.1 + 0.05)
            self.assertEqual(self.policy.tick(number * 0.1 + 0.06), [])

    def test_held_up_write_is_paused_once_then_ended(self):
        self.begin(0.0)
        self.assertEqual(self.policy.tick(0.4), [])
        pause = PauseSilence(request="r", server="s")
        self.assertEqual(self.policy.tick(0.5), [pause])
        self.assertTrue(self.policy.decide("r", 0.5))
        self.assertEqual(self.policy.tick(1.9), [])
        self.assertEqual(self.policy.tick(2.0), [EndCaller(request="r")])

    def test_each_write_counts_anew(self):
        """Guards callers that read slowly, but read."""
        for number in range(10):
            self.begin(number)
            self.policy.tick(number + 0.9)
            self.policy.observe(WriteEnded(request="r"), number + 0.95)
        self.assertEqual(self.policy.writes_, {})
        self.assertFalse(self.policy.decide("r", 10.0))

    def test_caller_of_a_whole_response_is_not_ended(self):
        event = WriteBegun(request="r", server="s", has_unread=False)
        self.policy.observe(event, 0.0)
        pause = PauseSilence(request="r", server="s")
        self.assertEqual(self.policy.tick(5.0), [pause])
        self.assertEqual(self.policy.tick(6.0), [])

    def test_callers_are_not_ended_unless_requested(self):
        self.policy = SlowWritePolicy().reset()
        self.begin(0.0)
        self.assertEqual(len(self.policy.tick(1e6)), 1)

    def test_invalid_arguments_are_refused(self):
        for arguments in (
            {"pause_after": 0.0},
            {"pause_after": 3.0, "end_after": 2.0},
            {"end_after": math.nan},
        ):
            with self.assertRaises(SettingError):
                SlowWritePolicy(**arguments).reset()


if __name__ == "__main__":
    unittest.main()
