"""Explores random schedules of faults and checks the views of the live nodes."""

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
STEP_SECONDS = 0.1
# Before the first faults, each node reads the list, which gives it the peer addresses.
FAULTS_START_SECONDS = 5.0
FAULTS_END_SECONDS = 40.0
SETTLED_SECONDS = 60.0
LIST_LAG_SECONDS = 10.0
MAX_DETECTION_SECONDS = 4.0  # from a stop until no view shows the node as serving
# The long run of the proofs sets a higher number.
SCHEDULES = int(os.environ.get("WASABISTAGE_SCHEDULES", "12"))


class WithoutFallbackCandidates(MembershipPolicy):
    """Variant in which silence can remove every candidate."""

    def _select_fallback_candidates(self, members, candidate_count):
        return []


class Fleet:
    """Simulated nodes that are stopped, paused and cut off, with a lagging list.

    :param seed: seed of the faults.
    :param policy_class: class of the membership policy of each node.
    """

    def __init__(self, seed, policy_class):
        self.draws = random.Random(seed)
        self.now = 0.0
        self.in_flight = []  # pairs of (receiver, heartbeat)
        self.stopped_at = {}
        self.paused_until = [0.0] * NODES
        self.cut_until = {}
        self.list_empty_until = 0.0
        self.nodes = [
            policy_class(
                f"n{n}", f"{n}", peer_address=f"n{n}", caller_address=f"c{n}"
            ).reset()
            for n in range(NODES)
        ]
        self.without_candidates = set()
        self.shown_after_stop = set()

    def inject_random_fault(self):
        chance = self.draws.random()
        node = self.draws.randrange(NODES)
        until = self.now + self.draws.uniform(1.0, 15.0)
        if chance < 0.006:
            self.paused_until[node] = until
        elif chance < 0.012:
            self.cut_until[node, self.draws.randrange(NODES)] = until
        elif chance < 0.014 and len(self.stopped_at) < 2:
            self.stopped_at.setdefault(node, self.now)
        elif chance < 0.017:
            self.list_empty_until = until

    def make_listing(self):
        if self.now < self.list_empty_until:
            return InstancesListed()
        listed = [
            n
            for n in range(NODES)
            if self.now < self.stopped_at.get(n, 1e9) + LIST_LAG_SECONDS
        ]
        return InstancesListed(
            instances=tuple(
                ListedInstance(
                    instance=f"n{n}", caller_address=f"c{n}", peer_address=f"n{n}"
                )
                for n in listed
            )
        )

    def run(self, until, faults):
        while self.now < until:
            self.now = round(self.now + STEP_SECONDS, 6)
            if faults and self.now > FAULTS_START_SECONDS:
                self.inject_random_fault()
            for number, node in enumerate(self.nodes):
                if (
                    number not in self.stopped_at
                    and self.now >= self.paused_until[number]
                ):
                    self.run_node(number, node)

    def run_node(self, number, node):
        if round(self.now / STEP_SECONDS) % 10 == 0:
            node.observe(self.make_listing(), self.now)
        for message in [item for item in self.in_flight if item[0] == number]:
            self.in_flight.remove(message)
            node.observe(message[1], self.now)
        for action in node.tick(self.now):
            if isinstance(action, SendHeartbeats):
                self.send(number, node, action.addresses)
        if self.now > FAULTS_START_SECONDS:
            self.check_view(number, node)

    def send(self, number, node, addresses):
        heartbeat = node.decide(HeartbeatQuery(), self.now)
        for address in addresses:
            receiver = int(address[1:])
            if self.now >= self.cut_until.get((number, receiver), 0.0):
                self.in_flight.append((receiver, heartbeat))

    def check_view(self, number, node):
        view = node.decide(MemberViewQuery(), self.now)
        if not view.candidates:
            self.without_candidates.add(number)
        serving = {
            member.instance
            for member in view.members
            if member.state is MemberState.SERVING
        }
        # A node can tell that another one stopped only while it hears some of them.
        hears_others = sum(m.age < 1.0 for m in view.members) >= 2
        for stopped, stopped_at in self.stopped_at.items():
            is_detection_due = (
                self.now
                > max(self.paused_until[number], stopped_at) + MAX_DETECTION_SECONDS
            )
            if is_detection_due and hears_others and f"n{stopped}" in serving:
                self.shown_after_stop.add(stopped)

    def find_missing_nodes(self):
        """Return the live nodes that are no candidates of some other live node."""
        missing = set()
        live = [n for n in range(NODES) if n not in self.stopped_at]
        for number in live:
            view = self.nodes[number].decide(MemberViewQuery(), self.now)
            names = {m.instance for m in view.candidates}
            missing |= {n for n in live if n != number and f"n{n}" not in names}
        return missing


def find_violations(seed, policy_class=MembershipPolicy):
    """Run one schedule of faults and return the names of the violated properties."""
    fleet = Fleet(seed, policy_class)
    fleet.run(FAULTS_END_SECONDS, faults=True)
    fleet.run(SETTLED_SECONDS, faults=False)
    violations = set()
    if fleet.without_candidates:
        violations.add("no candidate")
    if fleet.shown_after_stop:
        violations.add("stopped node shown as serving")
    if fleet.find_missing_nodes():
        violations.add("live node missing")
    return violations


class TestExplore(unittest.TestCase):
    def test_no_schedule_violates_a_property(self):
        for seed in range(SCHEDULES):
            with self.subTest(seed=seed):
                self.assertEqual(find_violations(seed), set())

    def test_policy_without_one_mechanism_violates_its_property(self):
        for policy_class, violation, seed in (
            (ListOnlyMembership, "stopped node shown as serving", 1),
            (WithoutFallbackCandidates, "no candidate", 28),
        ):
            with self.subTest(policy_class=policy_class.__name__):
                self.assertIn(violation, find_violations(seed, policy_class))
                self.assertEqual(find_violations(seed), set())
