"""Discrete-time simulation of a log, servers and entries around rollout policies."""

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
LOAD_WORK_SECONDS = 0.4  # duration of a load at full speed
MAX_FULL_SPEED_LOADS = 2
REPORT_INTERVAL_SECONDS = 0.5
REPORT_LAG_SECONDS = 0.3
MAX_ORDER_DELAY_SECONDS = 2.4  # in the network
MAX_ACTION_DELAY_SECONDS = 0.2  # at suspension points
VERSIONS = ("v1", "v2", "v3")


@dataclass
class Server:
    """Backend server; all loading servers share the bandwidth for loads."""

    name: str
    checks_fencing: bool
    runs: Target
    last_fencing: int = -1
    remaining_work: float = 0.0
    loading_target: Target | None = None
    last_order: tuple | None = None

    @property
    def loading(self):
        return self.loading_target is not None


@dataclass
class Entry:
    """Entry instance: a policy, its position in the log, delayed actions and reports.

    Actions and reports are kept with the time at which they are due.
    """

    number: int
    policy: RolloutPolicy
    next_offset: int = 0
    config_version: int = -1
    paused_until: float = 0.0
    pending_actions: list = field(default_factory=list)
    pending_reports: list = field(default_factory=list)


class World:
    """Simulated log, entries, servers, network and faults."""

    def __init__(
        self,
        seed,
        policy_class=RolloutPolicy,
        checks_fencing=True,
        entries=3,
        servers=6,
        load_work=LOAD_WORK_SECONDS,
        order_delay=MAX_ORDER_DELAY_SECONDS,
        action_delay=MAX_ACTION_DELAY_SECONDS,
    ):
        self.load_work = load_work
        self.order_delay = order_delay
        self.action_delay = action_delay
        self.rng = random.Random(seed)
        self.policy_class = policy_class
        self.now = 0.0
        self.log = []
        self.log_down_until = 0.0
        self.started_count = 0
        self.entries = [self.start_entry(number) for number in range(entries)]
        self.servers = {
            f"m{n}": Server(f"m{n}", checks_fencing, self.make_target("v1"))
            for n in range(servers)
        }
        self.configs = []
        self.orders = []
        self.max_loading = 0
        self.refused_count = 0
        self.accepted = []

    def make_target(self, version):
        return Target(versions={"x": version})

    def start_entry(self, number):
        self.started_count += 1
        policy = self.policy_class(f"e{number}", f"{self.started_count:08d}").reset()
        policy.observe(PlaceChanged(place=number), self.now)
        return Entry(number, policy)

    def publish(self, version):
        targets = {name: self.make_target(version) for name in self.servers}
        event = TargetsChanged(config_version=len(self.configs), targets=targets)
        self.configs.append((self.now, event))

    def run(self, until, faults=False):
        while self.now < until:
            if faults:
                self.inject_faults()
            self.step()

    def inject_faults(self):
        for entry in self.entries:
            sending = any(isinstance(a[1], SendOrder) for a in entry.pending_actions)
            paused = self.now < entry.paused_until
            if sending and not paused and self.rng.random() < 0.1:
                entry.paused_until = self.now + self.rng.uniform(1.0, 20.0)
        entry = self.rng.choice(self.entries)
        draw = self.rng.random()
        if draw < 0.006:
            entry.paused_until = self.now + self.rng.uniform(1.0, 30.0)
        elif draw < 0.008:
            self.entries[entry.number] = self.start_entry(entry.number)
        elif draw < 0.010:
            self.log_down_until = self.now + self.rng.uniform(1.0, 20.0)

    def step(self):
        self.now = round(self.now + STEP_SECONDS, 6)
        for entry in self.entries:
            if self.now >= entry.paused_until:
                self.run_entry(entry)
        for order in [o for o in self.orders if o[0] <= self.now]:
            self.orders.remove(order)
            self.deliver(*order[1:])
        self.advance_loads()

    def run_entry(self, entry):
        self.execute_due_actions(entry)
        self.observe_events(entry)
        for action in entry.policy.tick(self.now):
            due = self.now + self.rng.uniform(0.0, self.action_delay)
            entry.pending_actions.append((due, action))

    def observe_events(self, entry):
        policy = entry.policy
        for version, (at, event) in enumerate(self.configs):
            if version > entry.config_version and self.now >= at + 0.3 * entry.number:
                entry.config_version = version
                policy.observe(event, self.now)
        if self.now >= self.log_down_until:
            for offset in range(entry.next_offset, len(self.log)):
                policy.observe(
                    LogRecord(offset=offset, record=self.log[offset]), self.now
                )
            entry.next_offset = len(self.log)
        for report in [r for r in entry.pending_reports if r[0] <= self.now]:
            entry.pending_reports.remove(report)
            policy.observe(report[1], self.now)
        if (
            round(self.now / STEP_SECONDS)
            % round(REPORT_INTERVAL_SECONDS / STEP_SECONDS)
            == 0
        ):
            for name in self.servers:
                entry.pending_reports.append(
                    (self.now + REPORT_LAG_SECONDS, self.read_server(name))
                )

    def read_server(self, name):
        server = self.servers[name]
        return ServerReported(
            server=name,
            runs=server.runs,
            loading=server.loading,
            asked_at=self.now,
        )

    def execute_due_actions(self, entry):
        due = [action for action in entry.pending_actions if action[0] <= self.now]
        entry.pending_actions = [
            action for action in entry.pending_actions if action[0] > self.now
        ]
        for _, action in due:
            match action:
                case AppendRecord():
                    self.append(action.record)
                case ReadServer():
                    entry.policy.observe(self.read_server(action.server), self.now)
                case SendOrder():
                    self.send(entry, action)

    def append(self, record):
        # The writer is never told whether its append took effect.
        if self.now >= self.log_down_until or self.rng.random() < 0.3:
            self.log.append(record)
            if self.rng.random() < 0.1:
                self.log.append(record)

    def send(self, entry, order):
        if entry.policy.may_send(order, self.now):
            due = self.now + self.rng.uniform(0.0, self.order_delay)
            self.orders.append((due, order, entry))

    def deliver(self, order, entry):
        server = self.servers[order.server]
        if server.checks_fencing and order.fencing < server.last_fencing:
            self.refused_count += 1
            self.end_order(order, entry, refused=True)
            return
        server.last_fencing = order.fencing
        server.loading_target = order.target
        server.remaining_work = self.load_work
        server.last_order = (order, entry)
        self.accepted.append(order)

    def end_order(self, order, entry, refused=False):
        if entry is not None and entry in self.entries:
            event = OrderEnded(
                fencing=order.fencing, attempt=order.attempt, refused=refused
            )
            entry.policy.observe(event, self.now)

    def advance_loads(self):
        loading = [server for server in self.servers.values() if server.loading]
        self.max_loading = max(self.max_loading, len(loading))
        speed = min(1.0, MAX_FULL_SPEED_LOADS / len(loading)) if loading else 0.0
        for server in loading:
            server.remaining_work -= STEP_SECONDS * speed
            if server.remaining_work <= 1e-9:
                server.runs = server.loading_target
                server.loading_target = None
                self.end_order(*server.last_order)

    def versions(self):
        return {server.runs.versions["x"] for server in self.servers.values()}

    def granted_slots(self):
        return [entry.policy.fold_.get_granted_slots() for entry in self.entries]
