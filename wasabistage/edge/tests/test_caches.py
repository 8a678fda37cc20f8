"""Pattern: cache stores restart and lose events, and readers are slow to tell them."""

import unittest
from types import SimpleNamespace

import trio
from trio.testing import MockClock

from wasabistage.cache import PartMap
from wasabistage.edge._caches import LISTING_WAIT_SECONDS, CacheWatcher
from wasabistage.edge._messages import CacheEvent, CacheEvents
from wasabistage.http1 import ChannelError
from wasabistage.telemetry import MemoryLineLog, TextMetrics

STORE = "l:1"


def make_events(*parts, epoch=1, position=1, has_gap=False):
    return CacheEvents(
        epoch=epoch,
        position=position,
        has_gap=has_gap,
        events=tuple(CacheEvent(cache_key="k", part=part, tokens=9) for part in parts),
    )


class FakePlatform:
    """Answers with what is set, after ``meanwhile`` was called."""

    def __init__(self):
        self.calls = []
        self.events = make_events()
        self.listing = make_events()
        self.meanwhile = lambda: None

    async def read_events(self, address, position, wait):
        self.calls.append(("events", address, position))
        self.meanwhile()
        await trio.sleep(wait)
        return self.events

    async def list_cache(self, address):
        self.calls.append(("listing", address))
        self.meanwhile()
        await trio.sleep(0.004)
        if self.listing is None:
            raise ChannelError("no answer")
        return self.listing


class CacheWatcherTest(unittest.TestCase):
    def setUp(self):
        self.platform = FakePlatform()
        self.parts = PartMap()
        self.told = []
        self.readers = {STORE}
        store = SimpleNamespace(address=STORE, failure_domain="a")
        configuration = SimpleNamespace(stores={"kv": store}, services={})
        self.state = SimpleNamespace(
            platform=self.platform,
            parts=self.parts,
            routes=SimpleNamespace(configuration=configuration),
            view=SimpleNamespace(
                is_source_reader=lambda address: address in self.readers,
                unreadable=set(),
            ),
            facts=SimpleNamespace(publish_events=self.publish_events),
            timer=SimpleNamespace(now=trio.current_time),
            random=SimpleNamespace(random=lambda: 0.5),
            log=MemoryLineLog(),
            metrics=TextMetrics(),
            record_server_clock=lambda clock: None,
            get_store_addresses=lambda: {STORE},
            source_domains={},
        )

    def publish_events(self, address, since, events, is_listing=False):
        self.told.append((since, events.epoch, is_listing))

    def play(self, seconds):
        async def main():
            with trio.move_on_after(seconds):
                await CacheWatcher(self.state).run()

        trio.run(main, clock=MockClock(autojump_threshold=0))

    # Guards against a started entry that takes a store's latest events for all of its
    # parts, and saves what is there (review/12).
    def test_reader_begins_with_a_listing_and_tells_it(self):
        self.platform.listing = make_events("p", position=40)
        self.platform.events = make_events("q", position=41)
        self.play(1.5)
        self.assertEqual(
            self.platform.calls[:2], [("listing", STORE), ("events", STORE, 40)]
        )
        self.assertEqual(self.told[:2], [(40, 1, True), (40, 1, False)])
        self.assertTrue(self.parts.is_complete(STORE))

    def test_lost_events_are_followed_by_a_listing(self):
        self.parts.apply_events(STORE, make_events("p"), 0.0, is_listing=True)
        self.platform.events = make_events(position=9, has_gap=True)
        self.platform.listing = make_events("q", position=9)
        self.play(1.2)
        kinds = [call[0] for call in self.platform.calls]
        self.assertEqual(kinds[:2], ["events", "listing"])
        self.assertTrue(self.parts.is_complete(STORE))
        self.assertEqual(self.parts.tokens(STORE, "k", "p"), 0)

    # Guards against parts of the time before a restart, read just before another entry
    # told of it.
    def test_answers_from_before_a_restart_that_another_entry_tells_are_dropped(self):
        def restart():
            self.parts.apply_events(STORE, make_events(epoch=2), 0.0, is_listing=True)

        for listing_first in (True, False):
            with self.subTest(listing_first=listing_first):
                self.setUp()
                before = make_events("p", position=3)
                self.parts.apply_events(STORE, before, 0.0, since=int(listing_first))
                self.platform.events = self.platform.listing = before
                self.platform.meanwhile = restart
                self.play(1.1)
                self.assertEqual(self.parts.source(STORE).epoch, 2)
                self.assertEqual(self.parts.tokens(STORE, "k", "p"), 0)
                self.assertEqual(self.told, [])

    # Guards against an entry that never saves, since nobody tells it a listing.
    def test_entry_that_is_told_no_listing_reads_one_for_itself(self):
        self.readers.clear()
        self.platform.listing = None
        self.play(LISTING_WAIT_SECONDS - 0.1)
        self.assertEqual(self.platform.calls, [])
        self.play(2 * LISTING_WAIT_SECONDS + 0.9)
        self.assertEqual(self.platform.calls, [("listing", STORE)] * 2)
        self.assertFalse(self.parts.is_complete(STORE))
        failures = self.state.log.lines
        self.assertEqual({line["event"] for line in failures}, {"cache_listing_failed"})
        self.platform.listing = make_events("p")
        self.play(LISTING_WAIT_SECONDS + 0.9)
        self.assertTrue(self.parts.is_complete(STORE))
        self.assertEqual(self.told, [])


if __name__ == "__main__":
    unittest.main()
