import math
import unittest

import msgspec

from wasabistage.edge._peer_messages import (
    DATAGRAM_DECODER,
    ENCODER,
    FACT_DECODER,
    MemberFact,
    MemberRow,
    PeerEntry,
    PeerReport,
    ReportDatagram,
)
from wasabistage.edge._settings import (
    EdgeSettings,
    InstanceSection,
    ListenSection,
    RecordsSection,
)
from wasabistage.edge._watches import ENTRY_DECODER, check_entry
from wasabistage.edge.tests.fleet_case import Fleet
from wasabistage.topology import EntryCapacity
from wasabistage.utils import UnreadableError

START_SECONDS = 4.0


def build_old_class(new, first_new="capacity"):
    """Return a message class as it was before a field and those that follow it."""
    rows = msgspec.structs.fields(new)
    position = [row.name for row in rows].index(first_new)
    fields = []
    for row in rows[:position]:
        if row.default is not msgspec.NODEFAULT:
            fields.append((row.name, row.type, row.default))
        elif row.default_factory is not msgspec.NODEFAULT:
            factory = msgspec.field(default_factory=row.default_factory)
            fields.append((row.name, row.type, factory))
        else:
            fields.append((row.name, row.type))
    config = new.__struct_config__
    return msgspec.defstruct(new.__name__, fields, array_like=config.array_like)


class BuildsSideBySideTest(unittest.TestCase):
    """Pattern: entries of the build before and of this one run in one fleet."""

    def test_messages_without_capacity_are_decoded(self):
        old_row = build_old_class(MemberRow)(
            "e", "a", "10.0.0.1", "10.0.0.1:80", 1.0, True
        )
        row = msgspec.msgpack.decode(ENCODER.encode(old_row), type=MemberRow)
        self.assertEqual((row.name, row.is_ready, row.capacity), ("e", True, 0.0))
        old_entry = build_old_class(PeerEntry)("10.0.0.1", "a", 2.0)
        entry = ENTRY_DECODER.decode(msgspec.json.encode(old_entry))
        self.assertEqual((entry.weight, entry.capacity), (2.0, 0.0))
        old_report = build_old_class(PeerReport)(
            "e", "i", "10.0.0.1", "", "a", 1.0, True, True, 5.0
        )
        data = ENCODER.encode([None, "", old_report])
        report = DATAGRAM_DECODER.decode(data).report
        self.assertEqual((report.name, report.capacity), ("e", 0.0))

    def test_older_builds_decode_messages_with_capacity(self):
        row = MemberRow("e", "a", "10.0.0.1", "10.0.0.1:80", 1.0, True, 2.15)
        old = msgspec.msgpack.decode(
            ENCODER.encode(row), type=build_old_class(MemberRow)
        )
        self.assertEqual((old.name, old.is_ready), ("e", True))
        entry = PeerEntry(ip="10.0.0.1", capacity=2.15)
        data = msgspec.json.encode(entry)
        old = msgspec.json.decode(data, type=build_old_class(PeerEntry))
        self.assertEqual(old.ip, "10.0.0.1")
        report = PeerReport(
            "e",
            "i",
            "10.0.0.1",
            "",
            "a",
            1.0,
            True,
            True,
            5.0,
            members=[row],
            capacity=2.0,
        )
        data = ENCODER.encode(ReportDatagram(None, "", report))
        old = msgspec.msgpack.decode(
            data, type=tuple[float | None, str, build_old_class(PeerReport)]
        )
        self.assertEqual(old[2].members[0].name, "e")

    def test_entries_with_and_without_an_incarnation_are_decoded(self):
        old_class = build_old_class(PeerEntry, "incarnation")
        old = old_class("10.0.0.1", "a", 2.0, 3.0)
        entry = ENTRY_DECODER.decode(msgspec.json.encode(old))
        self.assertEqual((entry.capacity, entry.incarnation), (3.0, ""))
        data = msgspec.json.encode(PeerEntry(ip="10.0.0.1", incarnation="i"))
        self.assertEqual(msgspec.json.decode(data, type=old_class).ip, "10.0.0.1")

    def test_fact_on_an_entry_keeps_its_capacity(self):
        row = MemberRow("e", "a", "10.0.0.1", "10.0.0.1:80", 1.0, True, 2.15)
        fact = FACT_DECODER.decode(ENCODER.encode(MemberFact(row, True)))
        self.assertEqual(fact.member, row)

    def test_record_with_a_useless_capacity_is_unreadable(self):
        for capacity in (-1.0, math.inf, math.nan):
            with self.assertRaises(UnreadableError):
                check_entry(PeerEntry(ip="10.0.0.1", capacity=capacity))


class InstanceCapacityTest(unittest.TestCase):
    def build(self, **values):
        names = ("callers", "readiness", "directory", "peers")
        return EdgeSettings(
            instance=InstanceSection(
                name="e", failure_domain="a", ip="10.0.0.1", **values
            ),
            listen=ListenSection(**dict.fromkeys(names, "10.0.0.1:80"), gossip_port=84),
            records=RecordsSection(store="10.9.9.9:80"),
        )

    def test_capacity_is_unknown_without_cores(self):
        self.assertEqual(self.build(link_mbps=5.0).capacity, 0.0)

    def test_capacity_counts_the_usable_part_of_the_cores(self):
        settings = self.build(cores=2.15, cpu_share=0.5, link_mbps=100.0)
        self.assertEqual(settings.capacity, 1.075)


class FleetCapacityTest(unittest.TestCase):
    """Pattern: capacities travel through relays while entries slow down and restart."""

    def get_known(self, fleet, name):
        return {
            entry.state.view.get_members()[name].capacity
            for entry in fleet.entries.values()
        }

    def test_every_entry_learns_capacities_and_their_changes(self):
        fleet = Fleet(65, 3)
        entries = list(fleet.entries.values())
        for number, entry in enumerate(entries):
            capacity = 2.15 if number < 6 else 0.5
            entry.state.view.capacity = EntryCapacity(capacity).reset()
        fleet.play(START_SECONDS)
        relays = fleet.get_relays()
        follower = next(item for item in entries if item.name not in relays)
        relay = next(item for item in entries if item.name in relays)
        for entry in (follower, relay):
            capacity = entry.state.view.capacity.capacity
            self.assertEqual(self.get_known(fleet, entry.name), {capacity})
            entry.state.view.capacity.share_ = 0.25
            entry.state.view.capacity.lowered_at_ = fleet.now
            fleet.play(2.0)
            self.assertEqual(self.get_known(fleet, entry.name), {capacity / 4})

    def test_update_that_comes_late_again_and_again_lowers_the_capacity(self):
        fleet = Fleet(7, 4)
        fleet.play(START_SECONDS)
        view = next(iter(fleet.entries.values())).state.view
        view.capacity = EntryCapacity(2.0).reset()
        for _ in range(20):
            fleet.now += 0.6
            view.update_roles()
        self.assertEqual(view.build_own_member().capacity, 0.5 * 2.0)
        lines = [line for line in view.state.log.lines if line["event"] == "entry_pace"]
        self.assertEqual([line["share"] for line in lines], [0.5])


if __name__ == "__main__":
    unittest.main()
