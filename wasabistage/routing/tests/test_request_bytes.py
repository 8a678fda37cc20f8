import heapq
import random
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.routing import (
    RequestBytesLimiter,
    RequestBytesQuery,
    RequestBytesReleased,
    RequestBytesSent,
)

MEGABYTE = 10**6
LIMIT = 64 * MEGABYTE
ENTRIES = 16
LARGEST = 4 * MEGABYTE
RATE = 200.0  # requests a second
SLOW_FROM = 5.0  # seconds


class SlowServerTest(unittest.TestCase):
    """Pattern: a server becomes slow while 16 entries send it large requests."""

    def play(self, limit):
        """Return the most bytes that the server held, and the share it was sent.

        The share is that of the requests while the server was quick.
        """
        draws = random.Random(1)
        policies = [RequestBytesLimiter(limit=limit).reset() for _ in range(ENTRIES)]
        events, held, most, sent = [], 0, 0, 0
        for number in range(4000):
            now = number / RATE
            while events and events[0][0] <= now:
                _, request, entry, size = heapq.heappop(events)
                policies[entry].observe(RequestBytesReleased(request=request), now)
                held -= size
            entry, size = draws.randrange(ENTRIES), draws.randrange(1, LARGEST)
            query = RequestBytesQuery(server="s", size=size, entries=ENTRIES)
            if not policies[entry].decide(query, now):
                continue
            request = str(number)
            event = RequestBytesSent(request=request, server="s", size=size)
            policies[entry].observe(event, now)
            seconds = 0.02 if now < SLOW_FROM else 3.0
            heapq.heappush(events, (now + seconds, request, entry, size))
            held += size
            sent += now < SLOW_FROM
            most = max(most, held)
        return most, sent / (SLOW_FROM * RATE)

    def test_bytes_at_the_server_stay_below_the_bound(self):
        most, share = self.play(LIMIT)
        self.assertLessEqual(most, max(LIMIT, ENTRIES * LARGEST))
        unbounded, _ = self.play(None)
        self.assertGreater(unbounded, 10 * LIMIT)
        self.assertGreater(share, 0.85)


class RequestBytesLimiterTest(unittest.TestCase):
    def setUp(self):
        self.policy = RequestBytesLimiter(limit=1000).reset()

    def send(self, request, size, server="s"):
        event = RequestBytesSent(request=request, server=server, size=size)
        self.policy.observe(event, 0.0)

    def may_hold(self, size, entries=1, server="s"):
        query = RequestBytesQuery(server=server, size=size, entries=entries)
        return self.policy.decide(query, 0.0)

    def test_entries_have_equal_shares(self):
        self.send("r", 100)
        self.assertTrue(self.may_hold(900))
        self.assertFalse(self.may_hold(901))
        self.assertTrue(self.may_hold(100, entries=5))
        self.assertFalse(self.may_hold(101, entries=5))

    def test_one_request_of_any_size_is_allowed(self):
        self.assertTrue(self.may_hold(10**6, entries=400))
        self.send("r", 10**6)
        self.assertFalse(self.may_hold(1, entries=400))
        self.assertTrue(self.may_hold(10**6, server="other"))

    def test_requests_without_a_body_are_not_withheld(self):
        self.send("r", 10**6)
        self.assertTrue(self.may_hold(0))

    def test_requests_without_a_body_are_released_in_any_order(self):
        """Guards against an error at the second of two that are open together."""
        for request in "ab":
            self.send(request, 0)
        self.send("c", 1000)
        for request in "acb":
            self.policy.observe(RequestBytesReleased(request=request), 0.0)
        self.assertEqual((self.policy.requests_, self.policy.open_bytes_), ({}, {}))

    def test_released_bytes_are_free_once(self):
        self.send("r", 1000)
        for _ in range(2):
            self.policy.observe(RequestBytesReleased(request="r"), 0.0)
        self.assertEqual((self.policy.requests_, self.policy.open_bytes_), ({}, {}))

    def test_same_request_counts_once(self):
        self.send("r", 600)
        self.send("r", 600)
        self.assertTrue(self.may_hold(400))

    def test_no_bound_without_the_setting(self):
        self.policy = RequestBytesLimiter().reset()
        self.send("r", 10**12)
        self.assertTrue(self.may_hold(10**12))

    def test_invalid_limit_is_refused(self):
        for limit in (0, -1, float("nan")):
            with self.assertRaises(SettingError):
                RequestBytesLimiter(limit=limit).reset()


if __name__ == "__main__":
    unittest.main()
