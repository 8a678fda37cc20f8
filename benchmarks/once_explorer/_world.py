"""Everything around the decisions: time, faults, backend servers, the ledger."""

import heapq
import itertools
import random
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from benchmarks.once_explorer._limits import END, PEER_TIMEOUT
from benchmarks.once_explorer._log import Log
from benchmarks.once_explorer._node import Node
from wasabistage.base import Ran
from wasabistage.once import (
    DispatchLost,
    DispatchUnsent,
    HomeReplied,
    HomeUnreachable,
    Outcome,
    OutcomeArrived,
    Verdict,
)


@dataclass
class Result:
    """What one schedule showed.

    :param ends: how purchases ended: served, refused, stopped by the
        caller itself, unknown.
    :param doubled: keys that ran more than once.
    :param false_no: keys that ran though an answer said they were not run.
    :param unequal: keys with two different successful answers.
    :param faults: faults caused, by name.
    :param dispatched: calls that the backend servers ran.
    """

    ends: Counter = field(default_factory=Counter)
    doubled: int = 0
    false_no: int = 0
    unequal: int = 0
    faults: Counter = field(default_factory=Counter)
    dispatched: int = 0

    @property
    def violations(self):
        """Number of broken promises."""
        return self.doubled + self.false_no + self.unequal


class World:
    """Everything around the decisions, for one schedule.

    :param seed: names the schedule.
    :param variant: the classes under test.
    :param faults: names of the faults that may happen.
    :param entries: number of entries.
    :param outage: the log's one outage as (start, end), or ``None`` to draw.
    """

    def __init__(self, seed, variant, faults, *, entries=4, outage=None):
        self.rng = random.Random(f"{seed}/{variant.name}")
        self.variant = variant
        self.faults = frozenset(faults)
        self.now = 0.0
        self.heap = []
        self.order = itertools.count()
        self.names = itertools.count(1)
        self.result = Result()
        self.ledger = defaultdict(list)
        self.said_no = set()
        self.answers = defaultdict(set)
        self.outages = [outage] if outage else []
        self.cuts = {}
        self.log = Log(self)
        self.homes = {}
        self.slots = [None] * entries
        for slot in range(entries):
            self.start(slot)
        self.plan_faults()

    def at(self, delay, function, *args):
        """Call a function after a delay."""
        item = (self.now + delay, next(self.order), function, args)
        heapq.heappush(self.heap, item)

    def name(self):
        """Return a fresh attempt name."""
        return f"r{next(self.names)}"

    def run(self):
        """Run the schedule.

        :return: a :class:`Result`.
        """
        while self.heap and self.heap[0][0] < END:
            self.now, _, function, args = heapq.heappop(self.heap)
            function(*args)
        result = self.result
        result.doubled = sum(len(times) > 1 for times in self.ledger.values())
        result.false_no = len(self.said_no & self.ledger.keys())
        result.unequal = sum(len(seen) > 1 for seen in self.answers.values())
        result.dispatched = sum(map(len, self.ledger.values()))
        return result

    # Faults

    def draw(self, fault, chance):
        """Tell whether a fault happens here, and count it."""
        happens = fault in self.faults and self.rng.random() < chance
        self.result.faults[fault] += happens
        return happens

    def plan_faults(self):
        """Place the timed faults."""
        rng = self.rng
        if "log_down" in self.faults and not self.outages:
            start = rng.uniform(0.0, 50.0)
            self.outages.append((start, start + rng.choice((3.0, 30.0, 150.0))))
            self.result.faults["log_down"] += 1
        for fault, action in (("kill", self.kill), ("cut", self.cut)):
            for _ in range(rng.randint(1, 4) if fault in self.faults else 0):
                self.at(rng.uniform(1.0, 250.0), action)
        for _ in range(rng.randint(1, 4) if "pause" in self.faults else 0):
            self.at(rng.uniform(1.0, 90.0), self.pause_any)

    def start(self, slot):
        """Start a new process life in a slot."""
        node = Node(self, slot, self.variant)
        self.slots[slot] = node
        self.homes[node.incarnation] = node

    def kill(self):
        """Kill an entry; another life starts in its place."""
        slot = self.rng.randrange(len(self.slots))
        if self.slots[slot] is not None:
            self.result.faults["kill"] += 1
            self.slots[slot].dead = True
            self.slots[slot] = None
            self.at(self.rng.uniform(0.1, 5.0), self.start, slot)

    def pause_any(self):
        """Pause one entry."""
        node = self.rng.choice(self.slots)
        if node is not None:
            self.maybe_pause(node, 1.0)

    def maybe_pause(self, node, chance):
        """Pause an entry for up to several lives of a key."""
        if "pause" in self.faults and self.rng.random() < chance:
            self.result.faults["pause"] += 1
            longest = self.rng.choice((2.0, 20.0, 100.0, 300.0))
            node.resumes = self.now + longest * self.rng.random()

    def cut(self):
        """Cut one direction between two entries."""
        self.result.faults["cut"] += 1
        pair = tuple(self.rng.sample(range(len(self.slots)), 2))
        until = self.now + self.rng.uniform(1.0, 100.0)
        self.cuts[pair] = max(until, self.cuts.get(pair, 0.0))

    def is_cut(self, source, target):
        """Tell whether messages of one direction are lost."""
        return self.now < self.cuts.get((source, target), 0.0)

    def log_delay(self):
        """Return one way's delay to the log."""
        if self.draw("log_slow", 0.5):
            return self.rng.choice((0.5, 3.0, 30.0)) * self.rng.random()
        return self.rng.uniform(0.001, 0.01)

    # Backend servers and peers

    def dispatch(self, node, action):
        """Send a call to a backend server that checks nothing."""
        facts = {"key": action.key, "attempt": action.attempt}
        if self.draw("server_refused", 0.3):
            node.deliver_in(
                0.01, lambda: DispatchUnsent(wall_time=node.wall_time(), **facts)
            )
            return
        delay = self.rng.uniform(0.001, 0.05)
        lost = self.draw("server_lost", 0.3)
        if lost and self.rng.random() < 0.5:
            delay = self.rng.uniform(1.0, 30.0)
        self.at(delay, self.execute, node, facts, lost and self.rng.random() < 0.7)
        if lost:
            node.deliver_in(2.0, DispatchLost(**facts))

    def execute(self, node, facts, silent):
        """Run a call and enter it in the ledger."""
        self.ledger[facts["key"]].append(self.now)
        body = f"{facts['key'].key}/{self.rng.getrandbits(32)}".encode()
        outcome = Outcome(status=201, body=body, digest=body.hex())
        if not silent:
            delay = self.rng.uniform(0.001, 0.3)
            event = lambda: OutcomeArrived(
                outcome=outcome, wall_time=node.wall_time(), **facts
            )
            node.deliver_in(delay, event)

    def forward(self, node, action):
        """Carry a forwarded attempt to its home and the reply back."""
        home = self.homes.get(action.home)
        mine = action.attempt
        if home is None or home.dead:
            node.deliver_in(0.01, HomeUnreachable(attempt=mine, bytes_sent=False))
            return
        node.deliver_in(PEER_TIMEOUT, HomeUnreachable(attempt=mine, bytes_sent=True))
        if self.is_cut(node.slot, home.slot):
            return

        def receive(reply):
            if not self.is_cut(home.slot, node.slot):
                node.deliver_in(0.001, HomeReplied(attempt=mine, reply=reply))

        home.take({**node.calls[mine], "forwarded": True}, receive)

    def see(self, reply):
        """Check what a reply promises."""
        if reply.ran == Ran.NO:
            self.said_no.add(reply.key)
        if reply.verdict == Verdict.OUTCOME:
            self.answers[reply.key].add((reply.outcome.status, reply.outcome.digest))
