import base64
import threading
import time
import unittest
from dataclasses import replace

import trio
import trio_asyncio

from standins.fleet import PEER_KEY, START_SECONDS
from wasabistage.declarations import (
    Accepted,
    ConfigCarried,
    ConfigProposed,
    NotAccepted,
    Overtaken,
    decode_record,
)
from wasabistage.entry import CONFIG, ConfigAsk, PeerClient
from wasabistage.entry.tests.process_case import ProcessCase
from wasabistage.observe import MemoryMetrics
from wasabistage.operators import read_status

WATCH_SECONDS = 0.2
JUNK = (b"", b"\xff junk", b'{"future": "format"}', b"\x93\x01\x02\x03")


class VersionWatch(threading.Thread):
    """Follows the versions in force and remembers each step backwards.

    :param addresses: peer addresses of the entries.
    """

    def __init__(self, addresses):
        super().__init__(daemon=True)
        self.addresses = addresses
        self.ended = threading.Event()
        self.highest = {}
        self.reverted = []
        self.looks = 0

    def run(self):
        """Look until ended."""
        while not self.ended.wait(WATCH_SECONDS):
            for item in trio.run(read_status, self.addresses, PEER_KEY):
                if item is not None and item.config_version:
                    self._note(item)

    def _note(self, item):
        self.looks += 1
        known = self.highest.get(item.instance, 0)
        if item.config_version < known:
            self.reverted.append((item.instance, known, item.config_version))
        self.highest[item.instance] = max(known, item.config_version)


class TestConfiguration(ProcessCase):
    """Versions are accepted, in force everywhere and never revert."""

    servers = ("app-1",)

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        peers = [cls.fleet.peer_address(n) for n in range(1, cls.entries + 1)]
        cls.watch = VersionWatch(peers)
        cls.watch.start()

    @classmethod
    def tearDownClass(cls):
        cls.watch.ended.set()
        cls.watch.join()

    def tearDown(self):
        self.fleet.fault("log", down=False, delay=0.0, lose_answers=False)
        # A watch that has looked since shows what the test did to the versions.
        looks = self.watch.looks
        self.wait(lambda: self.watch.looks > looks, "a look of the watch")
        self.assertEqual(self.watch.reverted, [])
        self.assertTrue(self.watch.is_alive())

    def changed(self):
        """Make a deployment that was not published before."""
        name, account = next(iter(self.fleet.deployment.accounts.items()))
        changed = replace(account, weight=account.weight + 1.0)
        accounts = {**self.fleet.deployment.accounts, name: changed}
        self.fleet.deployment = replace(self.fleet.deployment, accounts=accounts)
        return self.fleet.deployment

    def publish(self, **options):
        outcome = self.fleet.publish(self.changed(), **options)
        self.assertIsInstance(outcome, Accepted)
        return outcome.version

    def versions(self):
        return [item.config_version if item else 0 for item in self.status()]

    def wait_version(self, version):
        self.wait(
            lambda: min(self.versions()) >= version, f"version {version} everywhere"
        )

    def test_in_force_everywhere(self):
        version = self.publish()
        started = time.monotonic()
        self.wait_version(version)
        print(f"in force everywhere after {time.monotonic() - started:.2f} s")

    def test_in_force_though_the_log_loses_answers(self):
        self.fleet.fault("log", lose_answers=True)
        self.wait_version(self.publish())

    def test_replaced_entry_takes_it_from_peers(self):
        version = self.publish()
        self.wait_version(version)
        self.fleet.fault("log", down=True)
        outcome = self.fleet.publish(self.changed(), timeout=2.0)
        self.assertIsInstance(outcome, NotAccepted)
        for name in self.fleet.entry_names:
            self.fleet.kill(name)
            self.fleet.restart(name)
            self.wait_version(version)
        self.fleet.wait_served()

    def test_cold_start_while_the_log_is_down(self):
        version = self.publish()
        self.wait_version(version)
        self.fleet.fault("log", down=True)
        for name in self.fleet.entry_names:
            self.fleet.kill(name)
        for name in self.fleet.entry_names:
            self.fleet.restart(name)
        # Nobody holds a version: nothing is served, and nothing old is made up.
        self.assertEqual(self.versions(), [0] * self.entries)
        self.fleet.fault("log", down=False)
        self.wait_version(version)
        self.fleet.wait_served(START_SECONDS)

    def test_one_of_two_racing_publishers_wins(self):
        version = self.publish()
        first, second = self.changed(), self.changed()
        outcomes = trio.run(self._race, first, second, version)
        kinds = sorted(type(item).__name__ for item in outcomes)
        self.assertEqual(kinds, [Accepted.__name__, Overtaken.__name__])
        overtaken = next(item for item in outcomes if isinstance(item, Overtaken))
        self.assertTrue(overtaken.changes)
        self.wait_version(version + 1)

    async def _race(self, first, second, version):
        outcomes = []

        async def publish(deployment):
            outcome = await self.fleet.publish_async(deployment, base_version=version)
            outcomes.append(outcome)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(publish, first)
            nursery.start_soon(publish, second)
        return outcomes

    def test_bad_records_are_skipped(self):
        records = [
            {"id": f"junk-{place}", "data": base64.b64encode(data).decode()}
            for place, data in enumerate(JUNK)
        ]
        before = self.alarms()
        self.fleet.post("log", "/streams/config/records", {"records": records})
        self.wait_version(self.publish())
        # An entry that took the version from a peer never read the records.
        self.wait(lambda: sum(self.alarms()) > sum(before), "an alarm")

    def alarms(self):
        return [item.metrics.get("config.alarm", 0) for item in self.status() if item]

    def test_trimmed_log_reverts_nothing(self):
        # The last of the class: no publication is known from the log alone after it.
        version = self.publish()
        self.wait_version(version)
        end = self.fleet.get("log", "/streams/config/records?limit=1")["next"]
        self.fleet.post("log", f"/witness/trim/config/{end}")
        name = self.fleet.entry_names[0]
        self.fleet.kill(name)
        self.fleet.restart(name)
        self.wait_version(version)
        outcome = self.fleet.publish(self.changed(), timeout=2.0)
        # The restarted entry has its head from a peer and states it in the log again
        # after a random part of a minute; from then on the log alone tells the base.
        page = self.fleet.get("log", f"/streams/config/records?from={end}")
        items = [
            decode_record(base64.b64decode(row["data"])) for row in page["records"]
        ]
        if isinstance(outcome, Accepted):
            self.assertIsInstance(items[0], ConfigCarried)
            version = outcome.version
        else:
            self.assertIsInstance(outcome, NotAccepted)
            self.assertFalse(any(isinstance(item, ConfigProposed) for item in items))
        state = trio.run(self._state, self.fleet.peer_address(2))
        # A carried record of the restarted entry may stand between the two.
        newer = self.publish(states=(state,))
        self.assertGreater(newer, version)
        self.wait_version(newer)
        self.assertEqual(set(self.versions()), {newer})

    async def _state(self, address):
        async with trio_asyncio.open_loop():
            client = PeerClient(PEER_KEY, MemoryMetrics())
            try:
                return (await client.call(address, CONFIG, ConfigAsk())).state
            finally:
                client.close()


if __name__ == "__main__":
    unittest.main()
