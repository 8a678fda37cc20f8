import random
import unittest

from wasabistage.declarations import (
    CarryForward,
    CarryHead,
    CarryQuery,
    ConfigFold,
    ConfigProposed,
    HeadStated,
    LogRead,
    LogRecord,
    carried_record,
    digest_of,
    encode_deployment,
    encode_record,
)
from wasabistage.declarations.tests.world import make_deployment
from wasabistage.exceptions import SettingError

RETENTION = 1000
ENTRIES = 3


class TestCarry(unittest.TestCase):
    def due_at(self, draw, age=0.0, **params):
        policy = CarryForward(retention=1000, **params).reset()
        policy.observe(HeadStated(version=5, age=age), 0)
        for now in range(2000):
            if policy.decide(CarryQuery(version=5, draw=draw), now):
                return now
        return None

    def test_every_draw_is_due_before_half_the_retention(self):
        times = [self.due_at(draw / 10) for draw in range(11)]
        self.assertEqual((times[0], times[-1]), (250, 450))

    def test_age_counts_and_unknown_age_is_due_soon(self):
        self.assertEqual(self.due_at(0, age=200.0), 50)
        self.assertEqual(self.due_at(1, age=None), 60)

    def test_a_carried_record_read_ends_the_wait_of_the_others(self):
        policy = CarryForward(retention=1000).reset()
        policy.observe(HeadStated(version=5, age=0.0), 0)
        policy.observe(HeadStated(version=5, age=0.0), 240)
        query = CarryQuery(version=5, draw=0.0)
        self.assertFalse(policy.decide(query, 480))
        self.assertEqual(policy.decide(query, 490), CarryHead(version=5))
        # Not again at once, and again if the record never shows up.
        self.assertFalse(policy.decide(query, 491))
        self.assertTrue(policy.decide(query, 500))

    def test_shares_must_stay_below_half(self):
        with self.assertRaises(SettingError):
            CarryForward(earliest=0.3, spread=0.2).reset()


class TimedLog:
    """A log that keeps a record for the retention time and tells its age."""

    def __init__(self):
        self.records = []
        self.up = True

    def append(self, data, now):
        if self.up:
            self.records.append((now, data))

    def read(self, offset, now):
        kept = [now - at < RETENTION for at, _ in self.records]
        first = kept.index(True) if True in kept else len(kept)
        start, end = max(offset, first), len(self.records)
        found = (
            LogRecord(offset=i, data=self.records[i][1], age=now - self.records[i][0])
            for i in range(start, end)
        )
        return LogRead(start=start, end=max(start, end), records=tuple(found))


def run_days(seed, carries=True):
    """Run entries that restart and a log with outages; count fresh readers' gaps.

    No entry hears of another one except through the log.
    """
    draw = random.Random(seed)
    log = TimedLog()
    payload = encode_deployment(make_deployment(1))
    proposal = ConfigProposed(
        id="p", base_version=0, digest=digest_of(payload), payload=payload, format=1
    )
    log.append(encode_record(proposal), 0)
    entries = [None] * ENTRIES
    gaps = up_again = 0
    for now in range(0, 12 * RETENTION, 10):
        if log.up and draw.random() < 0.01:
            log.up = False
            up_again = now + draw.randrange(RETENTION * 4 // 10)
        log.up = log.up or now >= up_again
        for index in range(ENTRIES):
            if entries[index] is None or draw.random() < 0.005:
                carry = CarryForward(retention=RETENTION).reset()
                entries[index] = (ConfigFold().reset(), carry, draw.random())
            if log.up:
                step(entries[index], log, now, carries)
        if log.up:
            fresh = ConfigFold().reset()
            fresh.observe(log.read(0, now), now)
            gaps += fresh.has_gap or fresh.state_.version != 1
    return gaps, len(log.records)


def step(entry, log, now, carries):
    fold, carry, draw = entry
    fold.observe(log.read(fold.read_from, now), now)
    for action in fold.tick(now):
        carry.observe(action, now)
    query = CarryQuery(version=fold.state_.version, draw=draw)
    if carries and carry.decide(query, now):
        log.append(carried_record(fold.state_, "c"), now)


class TestCarriedThroughTrims(unittest.TestCase):
    def test_every_fresh_reader_finds_the_configuration(self):
        runs = [run_days(seed) for seed in range(6)]
        self.assertEqual([gaps for gaps, _ in runs], [0] * 6)
        # Twelve retention times; the entries don't all carry each time.
        self.assertLess(max(records for _, records in runs), 12 * 2 * ENTRIES)

    def test_without_carrying_it_is_lost(self):
        self.assertGreater(run_days(0, carries=False)[0], 0)


if __name__ == "__main__":
    unittest.main()
