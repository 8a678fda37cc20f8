"""Pattern: an order to evacuate must reach entries that can't read the store."""

import unittest

import msgspec

from wasabistage.edge._peer_messages import SNAPSHOT_DECODER
from wasabistage.edge.tests.fleet_case import Fleet
from wasabistage.fleet import RecordPage, StoredRecord, Topic
from wasabistage.routing import EvacuationQuery

START_SECONDS = 8.0
BOUND_SECONDS = 5.0
KEY = "evacuate/domain-x"


def is_evacuated(entry, name="domain-x"):
    return entry.state.evacuation.decide(EvacuationQuery(failure_domain=name), 0.0)


class EvacuationTest(unittest.TestCase):
    def count(self, fleet):
        return sum(map(is_evacuated, fleet.entries.values()))

    def play_until_all(self, fleet, is_ordered):
        fleet.play(BOUND_SECONDS)
        expected = len(fleet.entries) if is_ordered else 0
        self.assertEqual(self.count(fleet), expected)

    # Guards against orders and withdrawals that don't travel as facts.
    def test_order_and_withdrawal_reach_every_entry(self):
        for size, domains in ((3, 1), (14, 2), (58, 4)):
            with self.subTest(size=size):
                fleet = Fleet(size, domains)
                fleet.play(START_SECONDS)
                for _ in range(2):
                    fleet.write(Topic.CONFIGURATION, KEY, b"{}")
                    self.play_until_all(fleet, True)
                    fleet.write(Topic.CONFIGURATION, KEY, None)
                    self.play_until_all(fleet, False)

    def test_entries_that_only_hear_another_one_obey(self):
        fleet = Fleet(14, 2)
        fleet.play(START_SECONDS)
        for entry in list(fleet.entries.values())[1:]:
            entry.reaches_store = False
        fleet.write(Topic.CONFIGURATION, KEY, b"any")
        self.play_until_all(fleet, True)
        fleet.write(Topic.CONFIGURATION, KEY, None)
        self.play_until_all(fleet, False)

    # Guards against a withdrawal that is lost for an entry which was cut off meanwhile.
    def test_cut_off_entry_learns_the_withdrawal_when_it_returns(self):
        for cut_after_removal in (False, True):
            fleet = Fleet(14, 2)
            fleet.play(START_SECONDS)
            fleet.write(Topic.CONFIGURATION, KEY, b"any")
            self.play_until_all(fleet, True)
            entry = list(fleet.entries.values())[-1]
            entry.reaches_store = False
            fleet.sides = {entry.name: 1}
            fleet.play(3.0)
            fleet.write(Topic.CONFIGURATION, KEY, None)
            fleet.play(3.0)
            self.assertTrue(is_evacuated(entry))
            if cut_after_removal:
                # Compaction drops the removal itself.
                del fleet.records[str(Topic.CONFIGURATION)][KEY]
                fleet.write(Topic.CONFIGURATION, "config", b"2")
                fleet.play(2.0)
            fleet.sides = {}
            self.play_until_all(fleet, False)

    # Guards against an order without end in an entry that has missed the withdrawal
    # and hears only processes that have never known the order.
    def test_withdrawal_is_learned_from_processes_that_started_after_it(self):
        fleet = Fleet(4, 1)
        fleet.play(START_SECONDS)
        fleet.write(Topic.CONFIGURATION, KEY, b"any")
        self.play_until_all(fleet, True)
        entry, *others = fleet.entries.values()
        entry.reaches_store = False
        fleet.sides = {entry.name: 1}
        fleet.play(3.0)
        del fleet.records[str(Topic.CONFIGURATION)][KEY]
        fleet.write(Topic.CONFIGURATION, "config", b"2")
        fleet.kill([other.name for other in others])
        for _ in others:
            fleet.add(1)
        fleet.play(6.0)
        self.assertEqual(self.count(fleet), 1)
        fleet.sides = {}
        self.play_until_all(fleet, False)

    # Guards against a process that serves before it knows what is evacuated.
    def test_started_process_knows_the_order_before_the_routes(self):
        fleet = Fleet(14, 2)
        fleet.play(START_SECONDS)
        fleet.write(Topic.CONFIGURATION, KEY, b"any")
        self.play_until_all(fleet, True)
        fleet.is_store_up = False
        fleet.kill([entry.name for entry in list(fleet.entries.values())[7:]])
        added = [fleet.add(2) for _ in range(7)]

        def check(fleet):
            for entry in added:
                if entry.state.routes.configuration is not None:
                    self.assertTrue(is_evacuated(entry))

        fleet.play(6.0, check)
        self.assertTrue(all(entry.state.routes.configuration for entry in added))

    # Guards against an order that ends since the store or a stale peer doesn't know it.
    def test_records_that_are_older_or_incomplete_end_no_order(self):
        fleet = Fleet(1, 1)
        fleet.play(START_SECONDS)
        entry = next(iter(fleet.entries.values()))
        fleet.write(Topic.CONFIGURATION, KEY, b"any")
        fleet.play(2.0)
        watch = entry.watches[str(Topic.CONFIGURATION)]
        order = watch.newest_records[KEY]
        config = StoredRecord(offset=order.offset + 5, key="config", value=b"5")
        for records, end in (
            ((), 99),  # the store has lost its history
            ((config,), order.offset),  # older than the order
        ):
            watch.reset_keys(RecordPage(records=records, end=end), fleet.now)
            watch.handle_all_records(records, end, fleet.now)
            self.assertTrue(is_evacuated(entry))
        watch.handle_all_records((config,), order.offset + 1, fleet.now)
        self.assertFalse(is_evacuated(entry))

    def test_value_may_be_anything(self):
        fleet = Fleet(1, 1)
        fleet.play(START_SECONDS)
        entry = next(iter(fleet.entries.values()))
        for number, value in enumerate((b"{", b"\xff\xfe", b"x" * 20000, b"null")):
            name = f"domain-{number}"
            fleet.write(Topic.CONFIGURATION, f"evacuate/{name}", value)
            fleet.play(2.0)
            self.assertTrue(is_evacuated(entry, name))

    # Guards against snapshots that no entry can read after a withdrawal.
    def test_snapshot_with_a_withdrawal_is_readable(self):
        fleet = Fleet(1, 1)
        fleet.play(START_SECONDS)
        entry = next(iter(fleet.entries.values()))
        for value in (b"any", None):
            fleet.write(Topic.CONFIGURATION, KEY, value)
            fleet.play(2.0)
        watch = entry.watches[str(Topic.CONFIGURATION)]
        snapshot = watch.build_snapshot(fleet.now)
        data = msgspec.msgpack.encode(snapshot)
        rows = SNAPSHOT_DECODER.decode(data).records
        self.assertIn((KEY, None), [(key, value) for key, _, value in rows])


if __name__ == "__main__":
    unittest.main()
