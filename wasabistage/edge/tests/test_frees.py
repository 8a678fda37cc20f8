import unittest
from types import SimpleNamespace

import trio

from wasabistage.cache import PartMap, part_cache_key
from wasabistage.edge._frees import FREE_DELAY, OldPartCleaner
from wasabistage.http1 import ChannelError
from wasabistage.rollout import OrderLease, ServerVersionReported, VersionRollout
from wasabistage.telemetry import MemoryLineLog

OLD, NEW = part_cache_key("m", 1), part_cache_key("m", 2)
STORE = "l:1"


class Platform:
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
        records = [
            SimpleNamespace(server=name, incarnation=1, versions={"m": 1})
            for name in ("e0", "e1")
        ]
        stores = {
            "large": SimpleNamespace(address=STORE, never_evicts=True),
            "fast": SimpleNamespace(address="f:1", never_evicts=False),
        }
        services = {"llm": SimpleNamespace(name="llm", engine=object())}
        configuration = SimpleNamespace(stores=stores, services=services)
        self.platform = Platform()
        self.parts = PartMap()
        for address in (STORE, "f:1"):
            self.parts.source(address).epoch = 7
            self.parts.source(address).set((OLD, "aa"), 500)
            self.parts.source(address).set((NEW, "aa"), 500)
        self.state = SimpleNamespace(
            is_draining=False,
            gossip=SimpleNamespace(has_store=True),
            timer=SimpleNamespace(now=lambda: self.now),
            swap=VersionRollout().reset(),
            routes=SimpleNamespace(configuration=configuration),
            servers=SimpleNamespace(find_usable=lambda service: records),
            settings=SimpleNamespace(instance=SimpleNamespace(name="edge-1")),
            peers={},
            lease=OrderLease("edge-1", "life").reset(),
            parts=self.parts,
            platform=self.platform,
            server_time=lambda moment: 1000.0 + moment,
            log=MemoryLineLog(),
        )
        self.cleaner = OldPartCleaner(self.state)

    def see(self, server, version):
        event = ServerVersionReported(
            server=server, incarnation=1, model="m", version=version
        )
        self.state.swap.observe(event, self.now)

    def look(self, now):
        self.now = now
        trio.run(self.cleaner.look, None)

    def test_parts_go_once_no_engine_has_run_their_version_for_a_while(self):
        self.see("e0", 2)
        self.see("e1", 1)
        self.look(1.0)
        self.look(9.0)
        self.assertEqual(self.platform.calls, [])
        self.see("e1", 2)
        self.look(10.0)
        self.look(10.0 + FREE_DELAY - 0.1)
        self.assertEqual(self.platform.calls, [])
        self.look(10.0 + FREE_DELAY)
        self.assertEqual(
            self.platform.calls, [(STORE, ((OLD, "aa"),), 7, 1011.0 + FREE_DELAY)]
        )
        self.assertEqual(self.parts.tokens(STORE, OLD, "aa"), 0)
        self.assertEqual(self.parts.tokens(STORE, NEW, "aa"), 500)
        self.assertEqual(self.parts.tokens("f:1", OLD, "aa"), 500)

    def free_after_delay(self):
        for server in ("e0", "e1"):
            self.see(server, 2)
        self.look(0.0)
        self.look(FREE_DELAY)
        return len(self.platform.calls)

    def test_another_entry_leaves_them_to_the_holder(self):
        report = SimpleNamespace(name="edge-0", is_ready=True, has_store=True)
        self.state.peers["edge-0"] = SimpleNamespace(report=report)
        self.assertEqual(self.free_after_delay(), 0)

    def test_entry_without_the_store_of_records_frees_nothing(self):
        self.state.gossip.has_store = False
        self.assertEqual(self.free_after_delay(), 0)

    def test_unknown_clock_of_the_servers_frees_nothing(self):
        self.state.server_time = lambda moment: None
        self.assertEqual(self.free_after_delay(), 0)

    def test_store_that_does_not_answer_is_asked_again(self):
        self.platform.error = ChannelError("gone")
        self.assertEqual(self.free_after_delay(), 1)
        self.assertEqual(self.state.log.lines[-1]["event"], "free_failed")
        self.assertEqual(self.parts.tokens(STORE, OLD, "aa"), 500)
        self.look(FREE_DELAY + 1.0)
        self.assertEqual(len(self.platform.calls), 2)


if __name__ == "__main__":
    unittest.main()
