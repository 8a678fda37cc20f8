"""Pattern: the store drops its history, at once or while it is being read."""

import unittest

import trio
from trio.testing import MockClock

from wasabistage.edge._watches import OrderWatch, ServerWatch
from wasabistage.edge.tests.fleet_case import Fleet
from wasabistage.fleet import RecordPage, TrimmedError
from wasabistage.rollout import LeaseQuery

PLAY_SECONDS = 10.0


class TrimmedStore:
    """Holds no record before ``first``.

    :param first: offset of the first record, the topic's end as well; ``None`` for a
        store that doesn't tell it.
    :param newest_end: end of the page of newest records.
    """

    def __init__(self, first, newest_end=0):
        self.first = first
        self.newest_end = newest_end
        self.reads = 0

    async def read_newest(self, topic):
        self.reads += 1
        return RecordPage(records=(), end=self.newest_end)

    async def read(self, topic, start, wait):
        self.reads += 1
        await trio.sleep(0.004)
        if self.first is None or start < self.first:
            raise TrimmedError("dropped", first=self.first)
        await trio.sleep(wait)
        return RecordPage(records=(), end=start)


class TrimmedTopicTest(unittest.TestCase):
    def play(self, watch_class, store):
        """Follow a topic for some seconds; return the state of the entry."""
        entry = next(iter(Fleet(1, 1).entries.values()))
        entry.state.view.record_store_read(True)
        watch = watch_class(entry.state, store)

        async def main():
            with trio.move_on_after(PLAY_SECONDS):
                await watch.run()

        trio.run(main, clock=MockClock(autojump_threshold=0))
        return entry.state

    # Guards against a restarted entry that reads the dropped start of the orders for
    # ever, so that no server loads new weights (issue 30, A 2).
    def test_orders_are_read_on_from_the_first_that_is_left(self):
        store = TrimmedStore(first=50)
        state = self.play(OrderWatch, store)
        query = LeaseQuery(servers=("e1",), place=0)
        self.assertTrue(state.lease.decide(query, state.timer.now() + 60.0))
        self.assertLessEqual(store.reads, 4)

    # Guards against some 150 reads a second while the position is gone (the same).
    def test_reads_of_dropped_records_are_paced(self):
        for watch_class, store in (
            (OrderWatch, TrimmedStore(first=None)),
            (ServerWatch, TrimmedStore(first=None)),
            (ServerWatch, TrimmedStore(first=50, newest_end=40)),
        ):
            with self.subTest(watch_class.__name__, first=store.first):
                self.play(watch_class, store)
                self.assertLessEqual(store.reads, 3 * PLAY_SECONDS)
                self.assertGreater(store.reads, 5)


if __name__ == "__main__":
    unittest.main()
