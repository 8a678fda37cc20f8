import unittest

from wasabistage.declarations import (
    Accepted,
    AppendAnswered,
    AppendFailed,
    AppendRecord,
    ConfigPeerView,
    EveryonePolls,
    Everywhere,
    EverywhereQuery,
    LiveInstances,
    LogFailed,
    NotAccepted,
    Overtaken,
    PollQuery,
    PublishPolicy,
    ReadLog,
    VersionReported,
)
from wasabistage.declarations.tests.world import Log, make_deployment
from wasabistage.exceptions import SettingError


def run(publisher, log, lose=False, now=0.0):
    """Carry a publisher's actions out until it has an outcome."""
    while not publisher.decide(None, now):
        for action in publisher.tick(now):
            if not log.up:
                failed = isinstance(action, ReadLog)
                event = LogFailed() if failed else AppendFailed(may_have_run=False)
            elif isinstance(action, ReadLog):
                event = log.read(action.offset)
            else:
                offset = log.append(action.data)
                event = AppendFailed() if lose else AppendAnswered(offset=offset)
            publisher.observe(event, now)
        now += 0.1
    return publisher.decide(None, now)


def make(number, id, **params):
    return PublishPolicy(make_deployment(number), id, **params).reset()


class TestPublish(unittest.TestCase):
    def setUp(self):
        self.log = Log()

    def test_accepted_and_again_unchanged(self):
        self.assertEqual(run(make(1, "a"), self.log), Accepted(version=1))
        again = run(make(1, "b"), self.log)
        self.assertEqual(again, Accepted(version=1, unchanged=True))

    def test_of_two_racing_the_loser_learns_the_difference(self):
        run(make(1, "a"), self.log)
        one, other = make(2, "b"), make(3, "c")
        records = []
        for publisher in (one, other):
            publisher.observe(self.log.read(publisher.tick(0)[0].offset), 0)
            records.append(publisher.tick(0)[0].data)
        for publisher, data in zip((other, one), reversed(records), strict=True):
            publisher.observe(AppendAnswered(offset=self.log.append(data)), 0)
        self.assertEqual(run(other, self.log), Accepted(version=2))
        lost = run(one, self.log)
        self.assertIsInstance(lost, Overtaken)
        self.assertEqual(lost.version, 2)
        self.assertIn("[account a] weight: 2.0 -> 4.0", map(str, lost.changes))

    def test_lost_answer_is_read_back_not_appended_again(self):
        outcome = run(make(1, "a"), self.log, lose=True)
        self.assertEqual(outcome, Accepted(version=1))
        self.assertEqual(len(self.log.records), 1)

    def test_log_down_says_that_nothing_ran(self):
        self.log.up = False
        outcome = run(make(1, "a"), self.log)
        self.assertIsInstance(outcome, NotAccepted)
        self.assertFalse(outcome.may_take_effect)

    def test_log_down_after_a_lost_append_says_so(self):
        publisher = make(1, "a")
        publisher.observe(self.log.read(publisher.tick(0)[0].offset), 0)
        self.assertIsInstance(publisher.tick(0)[0], AppendRecord)
        publisher.observe(AppendFailed(), 0)
        self.log.up = False
        outcome = run(publisher, self.log)
        self.assertTrue(outcome.may_take_effect)
        self.assertIn("publishing the same again changes nothing", outcome.remedy)

    def test_stated_base_that_is_not_in_force(self):
        run(make(1, "a"), self.log)
        self.assertIsInstance(run(make(2, "b", base_version=0), self.log), Overtaken)

    def test_trimmed_log_needs_any_base(self):
        run(make(1, "a"), self.log)
        self.log.first = 1
        refused = run(make(2, "b"), self.log)
        self.assertIn("trimmed", refused.reason)
        forced = run(make(2, "c", any_base=True), self.log)
        self.assertEqual(forced, Accepted(version=2))

    def test_bad_arguments(self):
        with self.assertRaises(SettingError):
            make(1, "x" * 65)


class TestPeerView(unittest.TestCase):
    def setUp(self):
        self.view = ConfigPeerView().reset()
        self.view.observe(LiveInstances(names=("a", "b")), 0)

    def report(self, name, version, next_offset=0):
        event = VersionReported(instance=name, version=version, next_offset=next_offset)
        self.view.observe(event, 0)

    def test_in_force_once_every_live_entry_said_so(self):
        self.report("a", 3)
        missing = self.view.decide(EverywhereQuery(version=3), 0)
        self.assertIn("by b", missing.reason)
        self.report("b", 4)
        self.assertIsInstance(
            self.view.decide(EverywhereQuery(version=3), 0), Everywhere
        )
        self.view.observe(LiveInstances(names=("a", "b", "c")), 0)
        self.assertFalse(self.view.decide(EverywhereQuery(version=3), 0))

    def test_a_hint_causes_a_read_and_polls_are_shared(self):
        query = PollQuery(next_offset=5, draw=0.5)
        self.assertEqual(self.view.decide(query, 0), ReadLog(offset=5))
        self.assertFalse(self.view.decide(query, 0.6))
        self.report("b", 3, next_offset=6)
        self.assertTrue(self.view.decide(query, 0.6))

    def test_a_wrong_hint_does_not_load_the_log(self):
        self.report("b", 3, next_offset=1 << 60)
        query = PollQuery(next_offset=5, draw=0.5)
        polls = sum(bool(self.view.decide(query, t / 100)) for t in range(6000))
        self.assertLess(polls, 10 + 60 + 1)

    def test_polls_of_many_entries_against_the_baseline(self):
        counts = []
        for cls in (ConfigPeerView, EveryonePolls):
            view = cls().reset()
            view.observe(LiveInstances(names=tuple(map(str, range(7)))), 0)
            query = PollQuery(next_offset=0, draw=0.5)
            polls = sum(bool(view.decide(query, t / 10)) for t in range(700))
            counts.append(polls)
        self.assertEqual(counts, [20, 140])


if __name__ == "__main__":
    unittest.main()
