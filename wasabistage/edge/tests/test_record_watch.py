"""Pattern: the store drops its history, at once or while it is being read."""

import unittest

import msgspec
import trio
from trio.testing import MockClock

from wasabistage.edge._peer_messages import PeerEntry, TopicSnapshot
from wasabistage.edge._watches import OrderWatch, ServerWatch
from wasabistage.edge.tests.fleet_case import Fleet, run
from wasabistage.fleet import (
    RecordPage,
    StoredRecord,
    Topic,
    TrimmedError,
    make_place,
)
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


class EarlierProcessTest(unittest.TestCase):
    """Pattern: the settings of the first start are kept for a later one."""

    def get_count(self, incarnation, seconds):
        """Return the number of sharers some time after a start.

        :param incarnation: id in the record of this entry; ``""`` for the own one,
            ``None`` if the topic can't be read.
        """
        fleet = Fleet(1, 1, is_first_start=True)
        entry = next(iter(fleet.entries.values()))
        watch = entry.watches[str(Topic.ENTRIES)]
        watch.is_known = incarnation is not None
        if incarnation is not None:
            value = msgspec.json.encode(
                PeerEntry(
                    ip=entry.ip, incarnation=incarnation or entry.state.incarnation
                )
            )
            record = StoredRecord(offset=1, key=entry.name, value=value)
            watch.apply_shared(record)
        fleet.now += seconds
        return entry.state.entry_count

    # Guards against the whole retry allowance for a restarted process, since its
    # settings still say that the fleet starts for the first time (issue 38, BUDGET).
    def test_record_of_an_earlier_process_outweighs_the_settings(self):
        self.assertEqual(self.get_count("", 4.0), 1)
        self.assertIsNone(self.get_count("earlier", 4.0))
        self.assertEqual(self.get_count("earlier", 10.1), 1)

    def test_nothing_of_the_allowance_is_used_before_the_entries_are_known(self):
        self.assertIsNone(self.get_count(None, 60.0))


class ServerListTest(unittest.TestCase):
    """Pattern: records of servers lapse and return, and facts arrive out of order."""

    def setUp(self):
        fleet = Fleet(1, 1)
        self.fleet, self.entry = fleet, next(iter(fleet.entries.values()))
        self.state = self.entry.state
        self.watch = self.entry.watches[str(Topic.SERVERS)]
        self.apply(1, b"10.5.5.5:80 0")

    def apply(self, offset, value):
        record = StoredRecord(offset=offset, key="s1", value=value)
        return self.watch.apply_shared(record)

    def read_list(self, at):
        """Read the list at a time, without a new record."""
        self.fleet.now = at
        self.watch._record_success(at)

    def fail_to_read(self, at):
        self.fleet.now = at
        self.watch._record_failure("503")

    def find_usable(self):
        return [record.server for record in self.state.servers.find_usable("s")]

    # Guards against servers that are never used again after their records lapsed for
    # silence (issue 30, A 3).
    def test_record_that_returns_after_its_removal_is_applied(self):
        self.read_list(100.0)
        self.read_list(110.0)
        self.fleet.now = 115.0
        self.assertTrue(self.apply(5, None))
        self.assertEqual(self.find_usable(), [])
        self.assertTrue(self.apply(7, b"10.5.5.5:80 0"))
        self.assertEqual(self.find_usable(), ["s1"])

    # Guards against a server that has gone and is brought back by an older fact.
    def test_record_from_before_its_removal_is_not_applied(self):
        for at in (100.0, 110.0):
            self.read_list(at)
        self.fleet.now = 115.0
        self.apply(5, None)
        self.assertFalse(self.apply(3, b"10.5.5.5:80 0"))
        self.assertEqual(self.find_usable(), [])
        self.apply(6, b"10.5.5.5:80 0")
        self.watch.reset_keys(RecordPage(records=(), end=20), 115.0)
        self.assertFalse(self.apply(12, b"10.5.5.5:80 0"))
        self.assertEqual(self.find_usable(), [])

    def read_newest(self, records, end):
        """Read the newest record of each key from the store."""

        class Store:
            async def read_newest(self, topic):
                return RecordPage(records=records, end=end)

        self.watch.store, self.watch.position = Store(), None
        self.watch.pause_seconds = 0.0
        run(self.watch._read_next())

    def make_snapshot(self, end, read_end, records=()):
        rows = [(record.key, record.offset, record.value) for record in records]
        return TopicSnapshot(
            age=0.0, end=end, newest=end - 1, read_end=read_end, records=rows
        )

    # Guards against a server that lapsed and returned, and is removed for good by the
    # snapshot of an entry that has not seen its return (issue 38, review/3).
    def test_snapshot_from_before_the_return_of_a_server_leaves_it(self):
        self.read_list(100.0)
        self.apply(5, None)
        self.apply(7, b"10.5.5.5:80 0")
        self.watch.apply_snapshot(self.make_snapshot(end=6, read_end=6), 101.0)
        self.assertEqual(self.find_usable(), ["s1"])

    # Guards against a record that is never applied, since an entry that has missed it
    # told a later offset up to which it knows the topic (the same).
    def test_record_after_a_wrong_removal_is_applied(self):
        self.read_list(100.0)
        self.watch.apply_snapshot(self.make_snapshot(end=40, read_end=0), 101.0)
        self.assertEqual(self.find_usable(), [])
        self.assertFalse(self.apply(1, b"10.5.5.5:80 0"))
        self.assertTrue(self.apply(20, b"10.5.5.5:80 0"))
        self.assertEqual(self.find_usable(), ["s1"])

    # Guards against followers that keep a server which their relay has removed by a
    # snapshot: a removal is applied only behind the record that it removes.
    def test_removal_by_a_snapshot_is_newer_than_the_removed_record(self):
        told = []
        self.state.facts.publish_record = lambda topic, record: told.append(record)
        self.read_list(100.0)
        self.watch.apply_snapshot(self.make_snapshot(end=40, read_end=0), 101.0)
        follower = next(iter(Fleet(1, 1).entries.values()))
        watch = follower.watches[str(Topic.SERVERS)]
        listed = StoredRecord(offset=1, key="s1", value=b"10.5.5.5:80 0")
        self.assertTrue(watch.apply_shared(listed))
        self.assertEqual([record.key for record in told], ["s1"])
        self.assertTrue(watch.apply_shared(told[0]))
        self.assertEqual(follower.state.servers.find_usable("s"), [])

    # Guards against a removal that outlives a read of the store which lists the server
    # (the same).
    def test_store_that_lists_a_server_refutes_its_removal(self):
        self.apply(30, None)
        self.assertEqual(self.find_usable(), [])
        record = StoredRecord(offset=20, key="s1", value=b"10.5.5.5:80 0")
        self.read_newest((record,), end=25)
        self.assertEqual(self.find_usable(), [])
        self.read_newest((record,), end=50)
        self.assertEqual(self.find_usable(), ["s1"])

    # Guards against servers that are unused after a copy without any record, since
    # their removal at the begin of the era counts as one from before it (soak seed
    # 12049).
    def test_removal_by_an_empty_copy_bars_no_server_that_is_listed_again(self):
        first = make_place(1, 0)
        reader = next(iter(Fleet(1, 1).entries.values()))
        watch = reader.watches[str(Topic.SERVERS)]
        listed = StoredRecord(offset=1, key="s1", value=b"10.5.5.5:80 0")
        watch.apply_shared(listed)
        told = []
        reader.state.facts.publish_record = lambda topic, record: told.append(record)
        watch._apply_newest(RecordPage(records=(), end=first), reader.state.timer.now())
        watch.apply_snapshot(self.make_snapshot(end=first, read_end=first), 200.0)
        removals = [record for record in told if record.value is None]
        self.assertEqual([record.key for record in removals], ["s1"])
        self.assertTrue(self.watch.apply_shared(removals[0]))
        self.assertEqual(self.find_usable(), [])
        record = StoredRecord(offset=first + 2, key="s1", value=b"10.5.5.5:80 0")
        self.read_newest((record,), end=first + 3)
        self.assertEqual(self.find_usable(), ["s1"])

    # Guards against a server that has gone and is used on, since the configuration
    # can't be read although the list of servers can (issue 29, DRAIN).
    def test_outage_of_another_topic_keeps_no_server_that_has_gone(self):
        self.state.view.record_store_read(False)
        for step in range(20):
            self.read_list(100.0 + 0.2 * step)
            self.state.reports.remove_silent_peers()
        self.apply(5, None)
        self.assertEqual(self.find_usable(), [])

    # Guards against servers that are dropped when the list alone has an outage (issue
    # 30, A 3, and the report on a partial outage).
    def test_outage_of_the_list_alone_keeps_its_servers(self):
        self.read_list(100.0)
        for step in range(1, 21):
            self.state.view.record_store_read(True)
            self.fail_to_read(100.0 + 0.25 * step)
            self.state.reports.remove_silent_peers()
        self.read_list(105.2)
        self.apply(5, None)
        self.assertEqual(self.find_usable(), ["s1"])
        self.assertEqual(self.state.servers.tick(106.0), [])
        self.assertEqual(self.state.servers.tick(107.2), ["s1"])


class OlderCopyStore:
    """Holds an older configuration than the entries that run.

    :param era: era of its records.
    """

    def __init__(self, era):
        self.era = era

    async def read_newest(self, topic):
        place = make_place(self.era, 0)
        record = StoredRecord(offset=place, key="config", value=b"1")
        return RecordPage(records=(record,), end=place + 1)


class StartAfterDrillTest(unittest.TestCase):
    """Pattern: an entry starts as the store returns from an older copy."""

    def setUp(self):
        self.fleet = Fleet(4, 3)
        self.fleet.play(6.0)
        self.fleet.write(Topic.CONFIGURATION, "config", b"2")
        self.fleet.play(4.0)
        self.assertEqual(self.fleet.get_versions(), {2})
        self.fleet.go_back(6.0)
        self.entry = self.fleet.add(3)
        self.state = self.entry.state
        self.watch = self.entry.watches[str(Topic.CONFIGURATION)]
        self.watch.store = OlderCopyStore(self.fleet.era)
        self.confirmed_versions = []
        confirm = self.state.freshness.confirm

        def record(at):
            self.confirmed_versions.append(self.state.get_configuration_version())
            confirm(at)

        self.state.freshness.confirm = record

    def read_newest(self):
        trio.run(self.watch._read_next, clock=MockClock(autojump_threshold=0))

    # Guards against an entry that takes a key which was taken away, since the store has
    # returned from a copy that still has it (review/15).
    def test_started_entry_has_what_the_others_know_before_it_serves(self):
        for entry in self.fleet.entries.values():
            entry.reaches_store = False  # so that they know of the older era alone
        self.read_newest()
        self.assertEqual(self.state.get_configuration_version(), 2)
        self.assertEqual(set(self.confirmed_versions), {2})
        self.assertEqual(self.watch.era, 1)

    def test_entry_that_no_other_answers_serves_what_the_store_has(self):
        self.entry.is_http_cut = True
        self.read_newest()
        self.assertEqual(self.state.get_configuration_version(), 1)
        self.assertTrue(self.state.freshness.decide(self.fleet.now))

    # Guards against keys that are confirmed by an older copy while another entry
    # reports the newer configuration, and against its snapshot, passed over as an
    # older one.
    def test_newer_configuration_of_a_peer_is_taken_whatever_the_store_has(self):
        for entry in self.fleet.entries.values():
            entry.reaches_store = entry is self.entry
        self.entry.is_http_cut = True
        self.read_newest()
        for _ in range(30):
            if not self.state.peers:
                self.fleet.play(0.1)
        self.assertTrue(self.state.peers)
        self.confirmed_versions.clear()
        self.fleet.play(1.0)
        self.assertEqual(self.state.get_configuration_version(), 1)
        self.assertEqual(self.confirmed_versions, [])
        self.entry.is_http_cut = False
        self.fleet.play(0.5)
        self.assertEqual(self.state.get_configuration_version(), 2)
        self.assertEqual(set(self.confirmed_versions), {2})

    def test_order_to_evacuate_is_taken_with_the_configuration(self):
        self.fleet.write(Topic.CONFIGURATION, "evacuate/domain-1", b"x")
        self.fleet.play(1.0)
        self.watch.apply_older_snapshot(
            TopicSnapshot(
                age=0.0,
                end=9,
                newest=8,
                records=[("evacuate/domain-2", 7, b"x"), ("config", 8, b"3")],
            )
        )
        domains = self.state.evacuation.get_domains()
        self.assertEqual(sorted(domains), ["domain-1", "domain-2"])
        self.assertEqual(self.state.get_configuration_version(), 3)


if __name__ == "__main__":
    unittest.main()
