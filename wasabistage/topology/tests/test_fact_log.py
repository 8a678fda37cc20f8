import random
import unittest

from wasabistage.topology import (
    FACTS_GONE,
    FactCursor,
    FactLog,
    FactOutbox,
    MissingFacts,
)


class FactLogTest(unittest.TestCase):
    def test_facts_are_read_in_order_up_to_a_size(self):
        log = FactLog("a")
        for number in range(10):
            log.append(b"%d" % number * 10)
        self.assertEqual(log.read(0, 25), [b"0" * 10, b"1" * 10])
        self.assertEqual(log.read(9, 1), [b"9" * 10])
        self.assertEqual(log.read(10, 100), [])

    def test_positions_outside_are_gaps(self):
        log = FactLog("a", max_facts=3)
        for number in range(5):
            log.append(b"%d" % number)
        self.assertEqual((log.first, log.end), (2, 5))
        for position in (0, 1, 6):
            self.assertTrue(FACTS_GONE.has_same_name(log.read(position, 100)))

    def test_size_is_bounded(self):
        log = FactLog("a", max_bytes=100)
        for _ in range(50):
            log.append(b"x" * 30)
        self.assertLessEqual(log.total_bytes, 100)
        log.append(b"x" * 1000)
        self.assertEqual(log.read(log.end - 1, 1), [b"x" * 1000])


class FactOutboxTest(unittest.TestCase):
    def test_each_fact_is_taken_once(self):
        log = FactLog("a")
        outbox = FactOutbox(log)
        self.assertTrue(outbox.is_empty)
        for number in range(5):
            log.append(b"%d" % number * 10)
        self.assertEqual(outbox.take(25), (0, [b"0" * 10, b"1" * 10]))
        self.assertFalse(outbox.is_empty)
        self.assertEqual(outbox.take(100)[0], 2)
        self.assertTrue(outbox.is_empty)
        self.assertEqual(outbox.take(100), (5, []))

    def test_facts_that_the_log_dropped_are_passed_over(self):
        log = FactLog("a", max_facts=2)
        outbox = FactOutbox(log)
        for number in range(5):
            log.append(b"%d" % number)
        self.assertEqual(outbox.take(100), (3, [b"3", b"4"]))


class FactCursorTest(unittest.TestCase):
    def setUp(self):
        self.cursor = FactCursor()

    def test_log_from_its_start_needs_no_state(self):
        self.assertEqual(self.cursor.accept("a", 0, [b"0", b"1"]), [b"0", b"1"])
        self.assertEqual(self.cursor.position, 2)

    def test_known_facts_are_left_out(self):
        self.cursor.accept("a", 0, [b"0", b"1"])
        self.assertEqual(self.cursor.accept("a", 1, [b"1", b"2"]), [b"2"])
        self.assertEqual(self.cursor.accept("a", 0, [b"0"]), [])
        self.assertEqual(self.cursor.position, 3)

    def test_missing_facts_are_a_gap(self):
        self.cursor.accept("a", 0, [b"0"])
        self.assertEqual(
            self.cursor.accept("a", 2, [b"2"]), MissingFacts(log="a", position=1)
        )
        self.assertEqual(self.cursor.position, 1)

    def test_new_log_needs_a_state(self):
        self.cursor.accept("a", 0, [b"0"])
        gap = self.cursor.accept("b", 7, [b"7"])
        self.assertEqual(gap, MissingFacts(log="b", position=None))
        self.cursor.set("b", 8)
        self.assertEqual(self.cursor.accept("b", 7, [b"7", b"8"]), [b"8"])

    def test_lost_and_doubled_datagrams_lose_and_double_no_fact(self):
        for seed in range(200):
            rng = random.Random(seed)
            log, cursor, applied = FactLog("a", max_facts=20), FactCursor(), []
            sent_to = 0
            for number in range(100):
                log.append(b"%d" % number)
                if rng.random() < 0.4:
                    continue
                first, sent_to = sent_to, log.end
                if rng.random() < 0.3:
                    continue
                for _ in range(rng.choice((1, 1, 2))):
                    batch = log.read(first, 1000)
                    new = cursor.accept("a", first, batch) if batch else []
                    if isinstance(new, MissingFacts) and new.position is not None:
                        missing = log.read(new.position, 1000)
                        if not missing:  # trimmed: the state is requested
                            applied = [b"%d" % item for item in range(log.end)]
                            cursor.set("a", log.end)
                            continue
                        new = cursor.accept("a", new.position, missing)
                    elif isinstance(new, MissingFacts):
                        applied = [b"%d" % item for item in range(log.end)]
                        cursor.set("a", log.end)
                        continue
                    applied += new
                self.assertEqual(applied, [b"%d" % n for n in range(cursor.position)])


if __name__ == "__main__":
    unittest.main()
