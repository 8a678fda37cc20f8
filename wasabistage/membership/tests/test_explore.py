import os
import random
import unittest

from wasabistage.membership import (
    HeartbeatQuery,
    InstancesListed,
    ListedInstance,
    ListOnlyMembership,
    MembershipPolicy,
    MemberState,
    MemberViewQuery,
    SendHeartbeats,
)

NODES = 5
STEP = 0.1  # seconds
FAULTS_BEGIN = 5.0  # seconds; an empty list at the very start names nobody
FAULTS_END = 40.0  # seconds
SETTLED = 60.0  # seconds
LIST_LAG = 10.0  # seconds
DETECTION = 4.0  # seconds from a death until it is left out
# More schedules by WASABISTAGE_SCHEDULES, such as in the long form of the proofs.
SCHEDULES = int(os.environ.get("WASABISTAGE_SCHEDULES", "12"))


class NoLastCandidates(MembershipPolicy):
    """Mechanism off: silence may remove everyone."""

    def _last_resort(self, members, have):
        return []


class Fleet:
    """Nodes that are killed, paused and cut off, with a lagging list."""

    def __init__(self, seed, kind):
        self.draws = random.Random(seed)
        self.now = 0.0
        self.flying = []
        self.killed = {}
        self.paused_until = [0.0] * NODES
        self.cut_until = {}
        self.list_empty_until = 0.0
        self.nodes = [
            kind(f"n{n}", f"{n}", peer_address=f"n{n}", caller_address=f"c{n}").reset()
            for n in range(NODES)
        ]
        self.alone = set()
        self.resurrected = set()

    def break_something(self):
        chance = self.draws.random()
        node = self.draws.randrange(NODES)
        until = self.now + self.draws.uniform(1.0, 15.0)
        if chance < 0.006:
            self.paused_until[node] = until
        elif chance < 0.012:
            self.cut_until[node, self.draws.randrange(NODES)] = until
        elif chance < 0.014 and len(self.killed) < 2:
            self.killed.setdefault(node, self.now)
        elif chance < 0.017:
            self.list_empty_until = until

    def listing(self):
        if self.now < self.list_empty_until:
            return InstancesListed()
        names = [
            n for n in range(NODES) if self.now < self.killed.get(n, 1e9) + LIST_LAG
        ]
        return InstancesListed(
            instances=tuple(
                ListedInstance(
                    instance=f"n{n}", caller_address=f"c{n}", peer_address=f"n{n}"
                )
                for n in names
            )
        )

    def run(self, until, faults):
        while self.now < until:
            self.now = round(self.now + STEP, 6)
            if faults and self.now > FAULTS_BEGIN:
                self.break_something()
            for number, node in enumerate(self.nodes):
                if number not in self.killed and self.now >= self.paused_until[number]:
                    self.run_node(number, node)

    def run_node(self, number, node):
        if round(self.now / STEP) % 10 == 0:
            node.observe(self.listing(), self.now)
        for beat in [f for f in self.flying if f[0] == number]:
            self.flying.remove(beat)
            node.observe(beat[1], self.now)
        for action in node.tick(self.now):
            if isinstance(action, SendHeartbeats):
                self.send(number, node, action.addresses)
        if self.now > FAULTS_BEGIN:
            self.look(number, node)

    def send(self, number, node, addresses):
        beat = node.decide(HeartbeatQuery(), self.now)
        for address in addresses:
            other = int(address[1:])
            if self.now >= self.cut_until.get((number, other), 0.0):
                self.flying.append((other, beat))

    def look(self, number, node):
        view = node.decide(MemberViewQuery(), self.now)
        if not view.candidates:
            self.alone.add(number)
        names = {
            member.instance
            for member in view.members
            if member.state is MemberState.SERVING
        }
        heard = sum(m.age < 1.0 for m in view.members) >= 2
        for dead, at in self.killed.items():
            rested = self.now > max(self.paused_until[number], at) + DETECTION
            if rested and heard and f"n{dead}" in names:
                self.resurrected.add(dead)

    def missing(self):
        """Name live nodes that some live node leaves out."""
        found = set()
        live = [n for n in range(NODES) if n not in self.killed]
        for number in live:
            view = self.nodes[number].decide(MemberViewQuery(), self.now)
            seen = {m.instance for m in view.candidates}
            found |= {n for n in live if n != number and f"n{n}" not in seen}
        return found


def harms(seed, kind=MembershipPolicy):
    fleet = Fleet(seed, kind)
    fleet.run(FAULTS_END, faults=True)
    fleet.run(SETTLED, faults=False)
    found = set()
    if fleet.alone:
        found.add("no candidate")
    if fleet.resurrected:
        found.add("dead one offered")
    if fleet.missing():
        found.add("live one left out")
    return found


class TestExplore(unittest.TestCase):
    def test_no_harm_in_any_schedule(self):
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                self.assertEqual(harms(seed), set())

    def test_each_mechanism_off_is_found(self):
        for kind, harm, seed in (
            (ListOnlyMembership, "dead one offered", 1),
            (NoLastCandidates, "no candidate", 28),
        ):
            with self.subTest(kind=kind.__name__):
                self.assertIn(harm, harms(seed, kind))
                self.assertEqual(harms(seed), set())
