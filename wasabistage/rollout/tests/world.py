"""Small event-driven fakes around the rollout policies: log, servers, entries."""

import random
from dataclasses import dataclass, field

from wasabistage.rollout import (
    AppendRecord,
    LogRecord,
    OrderEnded,
    PlaceChanged,
    ReadServer,
    RolloutPolicy,
    SendOrder,
    ServerReported,
    Target,
    TargetsChanged,
)

STEP_SECONDS = 0.1  # seconds
LOAD_WORK = 0.4  # seconds of loading while at most two servers load
FAST_LOADS = 2
REPORT_INTERVAL = 0.5  # seconds
REPORT_LAG = 0.3  # seconds
ORDER_DELAY = 2.4  # seconds, longest in the network
ACTION_DELAY = 0.2  # seconds, longest at suspension points
VERSIONS = ("v1", "v2", "v3")


@dataclass
class Server:
    """Backend server; loads at a shared speed."""

    name: str
    checks_fencing: bool
    runs: Target
    seen: int = -1
    work: float = 0.0
    wanted: Target | None = None
    caller: tuple | None = None

    @property
    def loading(self):
        return self.wanted is not None


@dataclass
class Entry:
    """Entry instance: a policy, its place in the log and its suspended actions."""

    number: int
    policy: RolloutPolicy
    read: int = 0
    config: int = -1
    paused_until: float = 0.0
    actions: list = field(default_factory=list)
    reports: list = field(default_factory=list)


class World:
    """A log, entries, servers, their network and the faults."""

    def __init__(
        self,
        seed,
        kind=RolloutPolicy,
        checks_fencing=True,
        entries=3,
        servers=6,
        load_work=LOAD_WORK,
        order_delay=ORDER_DELAY,
        action_delay=ACTION_DELAY,
    ):
        self.load_work = load_work
        self.order_delay = order_delay
        self.action_delay = action_delay
        self.draws = random.Random(seed)
        self.kind = kind
        self.now = 0.0
        self.log = []
        self.log_down_until = 0.0
        self.lives = 0
        self.entries = [self.start(number) for number in range(entries)]
        self.servers = {
            f"m{n}": Server(f"m{n}", checks_fencing, self.target("v1"))
            for n in range(servers)
        }
        self.configs = []
        self.orders = []
        self.max_loading = 0
        self.refused = 0
        self.accepted = []

    def target(self, version):
        return Target(versions={"x": version})

    def start(self, number):
        self.lives += 1
        policy = self.kind(f"e{number}", f"{self.lives:08d}").reset()
        policy.observe(PlaceChanged(place=number), self.now)
        return Entry(number, policy)

    def publish(self, version):
        targets = {name: self.target(version) for name in self.servers}
        event = TargetsChanged(config_version=len(self.configs), targets=targets)
        self.configs.append((self.now, event))

    def run(self, until, faults=False):
        while self.now < until:
            if faults:
                self.break_something()
            self.step()

    def break_something(self):
        for entry in self.entries:
            sending = any(isinstance(a[1], SendOrder) for a in entry.actions)
            paused = self.now < entry.paused_until
            if sending and not paused and self.draws.random() < 0.1:
                entry.paused_until = self.now + self.draws.uniform(1.0, 20.0)
        entry = self.draws.choice(self.entries)
        chance = self.draws.random()
        if chance < 0.006:
            entry.paused_until = self.now + self.draws.uniform(1.0, 30.0)
        elif chance < 0.008:
            self.entries[entry.number] = self.start(entry.number)
        elif chance < 0.010:
            self.log_down_until = self.now + self.draws.uniform(1.0, 20.0)

    def step(self):
        self.now = round(self.now + STEP_SECONDS, 6)
        for entry in self.entries:
            if self.now >= entry.paused_until:
                self.run_entry(entry)
        for order in [o for o in self.orders if o[0] <= self.now]:
            self.orders.remove(order)
            self.deliver(*order[1:])
        self.load()

    def run_entry(self, entry):
        self.execute_due(entry)
        self.hear(entry)
        for action in entry.policy.tick(self.now):
            due = self.now + self.draws.uniform(0.0, self.action_delay)
            entry.actions.append((due, action))

    def hear(self, entry):
        policy = entry.policy
        for version, (at, event) in enumerate(self.configs):
            if version > entry.config and self.now >= at + 0.3 * entry.number:
                entry.config = version
                policy.observe(event, self.now)
        if self.now >= self.log_down_until:
            for offset in range(entry.read, len(self.log)):
                policy.observe(
                    LogRecord(offset=offset, record=self.log[offset]), self.now
                )
            entry.read = len(self.log)
        for report in [r for r in entry.reports if r[0] <= self.now]:
            entry.reports.remove(report)
            policy.observe(report[1], self.now)
        if round(self.now / STEP_SECONDS) % round(REPORT_INTERVAL / STEP_SECONDS) == 0:
            for name in self.servers:
                entry.reports.append((self.now + REPORT_LAG, self.read(name)))

    def read(self, name):
        server = self.servers[name]
        return ServerReported(
            server=name,
            runs=server.runs,
            loading=server.loading,
            asked_at=self.now,
        )

    def execute_due(self, entry):
        due = [action for action in entry.actions if action[0] <= self.now]
        entry.actions = [action for action in entry.actions if action[0] > self.now]
        for _, action in due:
            match action:
                case AppendRecord():
                    self.append(action.record)
                case ReadServer():
                    entry.policy.observe(self.read(action.server), self.now)
                case SendOrder():
                    self.send(entry, action)

    def append(self, record):
        # A writer never learns here whether its append took effect.
        if self.now >= self.log_down_until or self.draws.random() < 0.3:
            self.log.append(record)
            if self.draws.random() < 0.1:
                self.log.append(record)

    def send(self, entry, order):
        if entry.policy.may_send(order, self.now):
            due = self.now + self.draws.uniform(0.0, self.order_delay)
            self.orders.append((due, order, entry))

    def deliver(self, order, entry):
        server = self.servers[order.server]
        if server.checks_fencing and order.fencing < server.seen:
            self.refused += 1
            self.end_order(order, entry, refused=True)
            return
        server.seen = order.fencing
        server.wanted = order.target
        server.work = self.load_work
        server.caller = (order, entry)
        self.accepted.append(order)

    def end_order(self, order, entry, refused=False):
        if entry is not None and entry in self.entries:
            event = OrderEnded(
                fencing=order.fencing, attempt=order.attempt, refused=refused
            )
            entry.policy.observe(event, self.now)

    def load(self):
        loading = [server for server in self.servers.values() if server.loading]
        self.max_loading = max(self.max_loading, len(loading))
        speed = min(1.0, FAST_LOADS / len(loading)) if loading else 0.0
        for server in loading:
            server.work -= STEP_SECONDS * speed
            if server.work <= 1e-9:
                server.runs = server.wanted
                server.wanted = None
                self.end_order(*server.caller)

    def versions(self):
        return {server.runs.versions["x"] for server in self.servers.values()}

    def held(self):
        return [entry.policy.fold_.get_granted_slots() for entry in self.entries]
