import unittest

from wasabistage.edge._peer_messages import EvidenceRow
from wasabistage.edge._peers import MAX_DATAGRAM_BYTES
from wasabistage.edge.tests.fleet_case import Fleet
from wasabistage.edge.tests.test_fleet import FLEETS, START_SECONDS
from wasabistage.quarantine import (
    AnswerBegun,
    AnswerEnd,
    AttemptEnded,
    AttemptSent,
    Crash,
    PartEvidence,
    QuarantineQuery,
)

#: Time after the last crash within which every entry must withhold prompts with the
#: part; the users' platform allows 3 to 5 s.
MAX_SPREAD_SECONDS = 3.0


class CrashEvidenceTest(unittest.TestCase):
    """Pattern: requests with one part crash servers, each sent by another entry."""

    def setUp(self):
        self.number = 0

    def crash(self, fleet, entry, part):
        """Have a server crash under a prompt that an entry has sent."""
        self.number += 1
        name, quarantine = f"a{self.number}", entry.state.quarantine
        parts = (f"own-{self.number}", part)
        event = AttemptSent(attempt=name, server=f"s{self.number}", parts=parts)
        quarantine.observe(event, fleet.now)
        quarantine.observe(AnswerBegun(attempt=name), fleet.now)
        event = AttemptEnded(attempt=name, end=AnswerEnd.CLOSED)
        quarantine.observe(event, fleet.now)

    def find_open_entries(self, fleet):
        """Return the names of the entries that would send a prompt with the part."""
        query = QuarantineQuery(request="r", parts=("other", "x"))
        return [
            entry.name
            for entry in fleet.entries.values()
            if entry.state.quarantine.decide(query, fleet.now)
        ]

    def play_crashes(self, fleet):
        entries = list(fleet.entries.values())
        for entry in (entries[1], entries[-1]):
            self.crash(fleet, entry, "x")
            fleet.play(1.0)

    # Guards against entries that learn of a crashing part only from their own crashes.
    def test_crashes_at_two_entries_withhold_the_part_at_all(self):
        for size, domains in FLEETS:
            for loss in (0.0, 0.2):
                with self.subTest(size, loss=loss):
                    fleet = Fleet(size, domains, loss=loss)
                    fleet.play(START_SECONDS)
                    self.play_crashes(fleet)
                    fleet.play(MAX_SPREAD_SECONDS - 1.0)
                    self.assertEqual(self.find_open_entries(fleet), [])

    def test_entry_that_starts_later_learns_it(self):
        for size, domains in FLEETS:
            with self.subTest(size):
                fleet = Fleet(size, domains)
                fleet.play(START_SECONDS)
                self.play_crashes(fleet)
                fleet.play(5.0)
                fleet.add(domains)
                fleet.play(2.0)
                self.assertEqual(self.find_open_entries(fleet), [])

    def test_halves_that_meet_again_withhold_what_either_knows(self):
        fleet = Fleet(65, 3)
        fleet.play(START_SECONDS)
        entries = list(fleet.entries.values())
        fleet.sides = {entry.name: 1 for entry in entries[:30]}
        self.crash(fleet, entries[0], "x")
        fleet.play(1.0)
        self.crash(fleet, entries[-1], "x")
        fleet.play(8.0)
        fleet.sides = {}
        fleet.play(MAX_SPREAD_SECONDS)
        self.assertEqual(self.find_open_entries(fleet), [])

    def test_ages_that_are_no_times_harm_nothing(self):
        fleet = Fleet(7, 4)
        fleet.play(START_SECONDS)
        entry = next(iter(fleet.entries.values()))
        for age in (float("nan"), float("inf"), -5.0):
            crashes = [(f"s{number}", age, number, False) for number in range(4)]
            row = EvidenceRow(part="x", crashes=crashes, answered=age)
            entry.state.crash_watch.merge([row], fleet.now)
        self.assertEqual(len(self.find_open_entries(fleet)), 7)
        self.play_crashes(fleet)
        self.assertEqual(self.find_open_entries(fleet), [])

    def test_many_suspected_parts_fit_into_datagrams(self):
        fleet = Fleet(65, 3)
        fleet.play(START_SECONDS)
        sizes = []
        send = fleet.send
        fleet.send = lambda sender, ip, data: (
            sizes.append(len(data)),
            send(sender, ip, data),
        )
        entry = next(iter(fleet.entries.values()))
        for number in range(300):
            crashes = tuple(
                Crash(
                    server=f"i-{number:03}{server:07}",
                    at=fleet.now - server,
                    prompt=server,
                )
                for server in range(16)
            )
            evidence = PartEvidence(part=f"{number:016}", crashes=crashes)
            entry.state.quarantine.observe(evidence, fleet.now)
        fleet.play(2.0)
        self.assertLess(max(sizes), MAX_DATAGRAM_BYTES // 4)


if __name__ == "__main__":
    unittest.main()
