"""Every server is watched, and idle ones are asked rarely."""

import unittest

from wasabistage.entry._polls import (
    EVENTS_SECONDS,
    QUIET_SECONDS,
    UNWATCHED_SECONDS,
    WATCHERS,
    PollPlan,
)

SERVERS = [f"server-{number}" for number in range(70)]
ENTRIES = [f"entry-{number}" for number in range(25)]


def make_plan(own, entries):
    plan = PollPlan(own)
    plan.follow(SERVERS, [name for name in entries if name != own])
    return plan


class TestPollPlan(unittest.TestCase):
    def test_each_server_has_its_watchers_whoever_is_live(self):
        for count in (1, 2, 7, 25):
            entries = ENTRIES[:count]
            plans = [make_plan(name, entries) for name in entries]
            for server in SERVERS:
                watching = sum(server in plan.watched for plan in plans)
                self.assertEqual(watching, min(count, WATCHERS))

    def test_unwatched_server_is_asked_rarely_until_it_has_own_work(self):
        plan = make_plan("entry-0", ENTRIES)
        server = next(name for name in SERVERS if name not in plan.watched)
        self.assertTrue(plan.load_due(server, True, 0.0))
        self.assertFalse(plan.load_due(server, True, 0.5))
        self.assertTrue(plan.load_due(server, False, 0.5))
        self.assertTrue(plan.load_due(server, True, 0.5 + UNWATCHED_SECONDS))
        plan.started(server)
        self.assertTrue(plan.load_due(server, True, 3.0))
        plan.ended(server)
        self.assertFalse(plan.load_due(server, True, 3.5))

    def test_quiet_server_is_asked_for_events_ever_more_rarely(self):
        plan = make_plan("entry-0", ENTRIES)
        now, gaps = 0.0, []
        for _ in range(8):
            plan.events_came("server-1", 0, now)
            self.assertFalse(plan.events_due("server-1", False, now))
            gaps.append(round(plan.of("server-1").events_at - now, 6))
            now = plan.of("server-1").events_at
        self.assertEqual(gaps, sorted(gaps))
        self.assertEqual(gaps[-1], QUIET_SECONDS)

    def test_events_and_own_work_bring_back_the_full_pace(self):
        plan = make_plan("entry-0", ENTRIES)
        for step in range(8):
            plan.events_came("server-1", 0, float(step))
        self.assertFalse(plan.events_due("server-1", False, 8.0))
        plan.ended("server-1")
        self.assertTrue(plan.events_due("server-1", False, 8.0))
        plan.events_came("server-1", 3, 8.0)
        self.assertTrue(plan.events_due("server-1", False, 8.01 + EVENTS_SECONDS))


if __name__ == "__main__":
    unittest.main()
