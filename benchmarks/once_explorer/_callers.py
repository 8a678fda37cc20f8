"""Callers that retry through any entry, ask, repeat late and cheat."""

from benchmarks.once_explorer._limits import ATTEMPT_TIME, CLOCK_SKEW, EPOCH
from benchmarks.once_explorer._world import World
from wasabistage.base import Ran
from wasabistage.declarations import OutagePolicy
from wasabistage.once import (
    CallKey,
    TicketsQuery,
    Verdict,
    generate_uuid_key,
    parse_ticket,
)

ACCOUNT = "padavu"
MOST_ATTEMPTS = 6
RETRIED = (Verdict.UNKNOWN, Verdict.OVERLOAD)


class Purchase:
    """One purchase: its key, its attempts and how it ended.

    :param world: the :class:`World`.
    :param stops: whether it may stop its own key by an inquiry.
    """

    def __init__(self, world, stops):
        self.stops = stops
        self.world = world
        self.rng = world.rng
        self.key = None
        self.home = None
        self.attempts = 0
        self.sent = False
        self.inquired = False

    def begin(self):
        """Choose a key and send the first attempt."""
        self.choose_key()
        if self.key is None:
            self.world.at(1.0, self.begin)
            return
        self.plan_probes()
        hesitates = self.rng.random() < 0.2
        self.world.at(self.rng.uniform(0.0, 0.1) * hesitates, self.attempt)

    def choose_key(self):
        """Take a ticket of an entry, or make a key."""
        kind = self.world.variant.tickets
        tickets = self.rng.random() < 0.5 if kind is None else kind
        if tickets and not self.world.variant.unchecked:
            self.take_ticket()
            return
        wall_time = EPOCH + self.world.now + self.rng.uniform(-CLOCK_SKEW, CLOCK_SKEW)
        key = generate_uuid_key(wall_time, self.rng.randbytes(10))
        self.key = CallKey(account=ACCOUNT, key=key)

    def take_ticket(self):
        """Ask the entries in random order for a ticket."""
        world = self.world
        for slot in self.rng.sample(range(len(world.slots)), len(world.slots)):
            node = world.slots[slot]
            if node is None or world.now < node.resumes:
                continue
            nonces = (self.rng.randbytes(16),)
            query = TicketsQuery(
                account=ACCOUNT, nonces=nonces, wall_time=node.wall_time()
            )
            (ticket,) = node.policy.decide(query, node.mono())
            self.key, self.home = CallKey(account=ACCOUNT, key=ticket), slot
            return

    def plan_probes(self):
        """Arrange attempts beside the main ones."""
        rng = self.rng
        for chance, earliest, latest, facts in (
            (0.2, 0.0, 0.05, {}),
            (0.1, 0.0, 8.0, {"inquire": True}),
            (0.1, 0.0, 0.03, {"inquire": True}),
            (0.1, 0.0, 5.0, {"digest": "another body"}),
            (0.1, 0.0, 5.0, {"outage": OutagePolicy.REFUSE}),
            (0.2, 5.0, 60.0, {}),
            (0.3, 40.0, 350.0, {}),
            (0.1, 60.0, 300.0, {"inquire": True}),
            (0.1, 0.0, 60.0, {"key": CallKey(account="guest", key=self.key.key)}),
        ):
            if not self.stops and facts.keys() & {"inquire", "outage"}:
                continue
            if not parse_ticket(self.key.key) and "key" in facts:
                continue
            if rng.random() < chance:
                delay = rng.uniform(earliest, latest)
                self.world.at(delay, self.probe, self.key, facts)

    def probe(self, key, facts):
        """Send one attempt whose answer only the checks look at."""
        slot = self.rng.randrange(len(self.world.slots))
        # An inquiry stops a key that has not run, and so does the wrong kind of
        # key for a call that is declared log-first.
        self.inquired |= "inquire" in facts or "outage" in facts
        self.send(slot, {"key": key, **facts}, lambda reply: None)

    def attempt(self):
        """Send the next attempt, the first one to the home."""
        world = self.world
        slot = self.rng.randrange(len(world.slots))
        if self.home is not None and not self.attempts and self.rng.random() < 0.85:
            slot = self.home
        self.attempts += 1
        state = {"open": True}

        def receive(reply):
            if state["open"]:
                state["open"] = False
                self.learn(reply)

        if self.send(slot, {"key": self.key}, receive):
            self.sent = True
            world.at(ATTEMPT_TIME, receive, None)
        elif self.home is not None and not self.sent:
            # No byte of this key was ever sent: a new ticket is safe.
            world.at(0.01, self.choose_anew)
        else:
            world.at(0.01, receive, None)

    def choose_anew(self):
        """Take another ticket, since nothing was sent under the old one."""
        self.key = None
        self.attempts = 0
        self.begin()

    def send(self, slot, facts, receive):
        """Send an attempt; false if the connection was refused."""
        world = self.world
        node = world.slots[slot]
        if node is None:
            return False
        lost = world.draw("cut", 0.1)
        target = (lambda reply: None) if lost else receive
        node.take({"digest": "body", **facts}, target)
        return True

    def learn(self, reply):
        """Retry, or end."""
        if reply is None or reply.verdict in RETRIED:
            if self.attempts < MOST_ATTEMPTS:
                self.world.at(self.rng.uniform(0.3, 1.5) * self.attempts, self.attempt)
            else:
                self.finish("unknown")
        elif reply.verdict == Verdict.OUTCOME:
            self.finish("served")
        else:
            refused = "stopped" if self.inquired else "refused"
            self.finish(refused if reply.ran == Ran.NO else "unknown")

    def finish(self, end):
        """Count how the purchase ended."""
        self.world.result.ends[end] += 1


def run_schedule(
    seed, variant, faults, *, purchases=6, entries=4, outage=None, stops=True
):
    """Run one schedule.

    :param seed: names the schedule.
    :param variant: a :class:`Variant`.
    :param faults: names of the faults that may happen.
    :param purchases: number of purchases.
    :param entries: number of entries.
    :param outage: the log's one outage as (start, end) in seconds, or ``None``.
    :param stops: whether callers may stop their own keys by inquiries.
    :return: a :class:`Result`.
    """
    world = World(seed, variant, faults, entries=entries, outage=outage)
    for _ in range(purchases):
        world.at(world.rng.uniform(1.0, 60.0), Purchase(world, stops).begin)
    return world.run()
