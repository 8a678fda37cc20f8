import unittest
from types import SimpleNamespace

import trio

from wasabistage.cache import PartMap, cache_scope, part_cache_key
from wasabistage.edge._old_parts import FREE_DELAY_SECONDS, OldPartCleaner
from wasabistage.edge._settings import BoundsSection
from wasabistage.http1 import ChannelError
from wasabistage.rollout import ServerVersionReported, VersionRollout
from wasabistage.telemetry import MemoryLineLog

OLD, NEW = part_cache_key("m", 1), part_cache_key("m", 2)
DEDICATED = frozenset({"alone"})
SHARED = part_cache_key("m", 2, cache_scope("a", DEDICATED))
OWN = part_cache_key("m", 2, cache_scope("alone", DEDICATED))
UNUSED_SECONDS = 9.0  # keys may be accepted for 5 s, a fetch takes 4 s
STORE = "l:1"


class FakePlatform:
    def __init__(self):
        self.calls = []
        self.error = None

    async def free_parts(self, address, parts, epoch, until):
        self.calls.append((address, tuple(parts), epoch, until))
        if self.error is not None:
            raise self.error
        return True


class OldPartCleanerTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.told = []
        records = [
            SimpleNamespace(server=name, incarnation=1, versions={"m": 1})
            for name in ("e0", "e1")
        ]
        stores = {
            "large": SimpleNamespace(address=STORE, never_evicts=True),
            "fast": SimpleNamespace(address="f:1", never_evicts=False),
        }
        services = {"llm": SimpleNamespace(name="llm", engine=object())}
        configuration = SimpleNamespace(
            stores=stores, services=services, dedicated_accounts=frozenset()
        )
        self.watch = SimpleNamespace(confirmed_at=0.0)
        self.platform = FakePlatform()
        self.parts = PartMap()
        for address in (STORE, "f:1"):
            self.parts.source(address).epoch = 7
            self.parts.source(address).set((OLD, "aa"), 500)
            self.parts.source(address).set((NEW, "aa"), 500)
        self.state = SimpleNamespace(
            is_draining=False,
            view=SimpleNamespace(has_store=True, is_source_reader=lambda address: True),
            timer=SimpleNamespace(now=lambda: self.now),
            swap=VersionRollout().reset(),
            routes=SimpleNamespace(configuration=configuration),
            servers=SimpleNamespace(find_usable=lambda service: records),
            settings=SimpleNamespace(
                instance=SimpleNamespace(name="edge-1"), bounds=BoundsSection()
            ),
            facts=SimpleNamespace(
                watches={"configuration": self.watch},
                publish_freed=lambda *told: self.told.append(told),
            ),
            parts=self.parts,
            platform=self.platform,
            to_server_time=lambda moment: 1000.0 + moment,
            log=MemoryLineLog(),
        )
        self.cleaner = OldPartCleaner(self.state)

    def report_version(self, server, version):
        event = ServerVersionReported(
            server=server, incarnation=1, model="m", version=version
        )
        self.state.swap.observe(event, self.now)

    def free_at(self, now):
        self.now = now
        trio.run(self.cleaner.free_old_parts, None)

    def test_old_parts_are_freed_after_delay_once_no_engine_runs_their_version(self):
        self.report_version("e0", 2)
        self.report_version("e1", 1)
        self.free_at(1.0)
        self.free_at(9.0)
        self.assertEqual(self.platform.calls, [])
        self.report_version("e1", 2)
        self.free_at(10.0)
        self.free_at(10.0 + FREE_DELAY_SECONDS - 0.1)
        self.assertEqual(self.platform.calls, [])
        self.free_at(10.0 + FREE_DELAY_SECONDS)
        self.assertEqual(
            self.platform.calls,
            [(STORE, ((OLD, "aa"),), 7, 1011.0 + FREE_DELAY_SECONDS)],
        )
        self.assertEqual(self.parts.tokens(STORE, OLD, "aa"), 0)
        self.assertEqual(self.parts.tokens(STORE, NEW, "aa"), 500)
        self.assertEqual(self.parts.tokens("f:1", OLD, "aa"), 500)

    def free_after_delay(self):
        for server in ("e0", "e1"):
            self.report_version(server, 2)
        self.free_at(0.0)
        self.free_at(FREE_DELAY_SECONDS)
        return len(self.platform.calls)

    def test_entry_that_does_not_read_the_store_frees_nothing(self):
        self.state.view.is_source_reader = lambda address: address != STORE
        self.assertEqual(self.free_after_delay(), 0)

    # Guards against other entries that go on to fetch a freed part whose event is lost,
    # while one that takes it for gone has it saved again.
    def test_freed_parts_are_told_to_the_other_entries(self):
        self.assertEqual(self.free_after_delay(), 1)
        self.assertEqual(self.told, [(STORE, 7, [(OLD, "aa")])])
        self.assertFalse(self.parts.may_save(STORE, OLD, "aa", self.now))

    def test_parts_that_the_store_has_not_freed_are_not_told(self):
        self.platform.error = ChannelError("no answer")
        self.free_after_delay()
        self.assertEqual(self.told, [])

    def test_entry_without_record_store_frees_nothing(self):
        self.state.view.has_store = False
        self.assertEqual(self.free_after_delay(), 0)

    def test_entry_with_unknown_server_clock_frees_nothing(self):
        self.state.to_server_time = lambda moment: None
        self.assertEqual(self.free_after_delay(), 0)

    def test_store_that_does_not_answer_gets_another_request(self):
        self.platform.error = ChannelError("no answer")
        self.assertEqual(self.free_after_delay(), 1)
        self.assertEqual(self.state.log.lines[-1]["event"], "free_failed")
        self.assertEqual(self.parts.tokens(STORE, OLD, "aa"), 500)
        self.free_at(FREE_DELAY_SECONDS + 1.0)
        self.assertEqual(len(self.platform.calls), 2)

    def find_freed(self):
        return {key for _, parts, _, _ in self.platform.calls for key, _ in parts}

    def declare(self, dedicated, at):
        self.state.routes.configuration.dedicated_accounts = dedicated
        self.watch.confirmed_at = at

    # Guards against parts that stay at a store for good after the accounts that share
    # parts have changed, since no request can use them any more.
    def test_parts_of_scopes_that_are_not_in_force_are_freed_after_delay(self):
        for server in ("e0", "e1"):
            self.report_version(server, 1)
        store = self.parts.source(STORE)
        self.declare(DEDICATED, 1.0)
        store.set((SHARED, "aa"), 500)
        store.set((OWN, "aa"), 500)
        self.free_at(1.0)
        self.watch.confirmed_at = 5.0
        self.free_at(1.0 + UNUSED_SECONDS - 0.1)
        self.assertEqual(self.platform.calls, [])
        self.free_at(1.0 + UNUSED_SECONDS)
        self.assertEqual(self.find_freed(), {OLD, NEW})
        self.declare(frozenset(), 20.0)
        self.free_at(20.0)
        self.watch.confirmed_at = 21.0
        self.free_at(20.0 + UNUSED_SECONDS)
        self.assertEqual(self.find_freed(), {OLD, NEW, SHARED, OWN})

    # Guards against an entry that frees what the others save under a configuration that
    # it has not read yet.
    def test_parts_of_a_newer_configuration_are_kept(self):
        for server in ("e0", "e1"):
            self.report_version(server, 1)
        self.declare(frozenset(), 1.0)
        self.parts.source(STORE).set((SHARED, "aa"), 500)
        for now in range(1, 60):
            self.free_at(float(now))
        self.assertEqual(self.platform.calls, [])
        self.declare(DEDICATED, 60.0)
        self.free_at(60.0)
        self.watch.confirmed_at = 100.0
        self.free_at(100.0)
        self.assertEqual(self.find_freed(), {OLD, NEW})


if __name__ == "__main__":
    unittest.main()
