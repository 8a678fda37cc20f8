"""Choice among faulty backend servers: spread, ejection, slow start, the majority.

Seeded open-loop arrivals drive real routers and health policies, one of each per
entry instance, over servers that compute one request after another. A failed call
is tried once more, at the next of the decision's alternatives.
"""

import argparse
import heapq
import json
import platform
import random
from collections import deque
from dataclasses import dataclass, field
from statistics import median

from wasabistage.routing import (
    CallEnded,
    CallStarted,
    Candidate,
    Dispatched,
    DispatchEnded,
    FirstTokenArrived,
    FirstTokenEstimator,
    Health,
    HealthPolicy,
    HealthQuery,
    LeastLoadedRouter,
    LoadReport,
    NoEjection,
    PeerDispatched,
    PredictiveRouter,
    RandomRouter,
    RoundRobinRouter,
    RouteQuery,
    ServerAppeared,
    ServerLeaving,
)

SERVERS = 6
ENTRIES = 7
PREFILL_RATE = 8000.0
OVERHEAD = 0.02
RATE = 14.0
SECONDS = 180.0
FAULT_AT = 30.0
MEAN_LOG_TOKENS = 7.2
SPREAD_LOG_TOKENS = 0.8
REPORT_PERIOD = 0.1
FAIL_SECONDS = 0.01
GOSSIP_PERIOD = 0.2
GOSSIP_DELAY = 0.002
FLAP_SECONDS = 5.0
WARMING_SECONDS = 10.0
WARMING_FACTOR = 0.5
BAD = "m0"


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """What is wrong with the servers, from ``FAULT_AT`` on.

    :param name: name in the table.
    :param lag: lag of load reports, in seconds.
    :param slow: factor by which server ``BAD`` is slower.
    :param failing: share of failing calls.
    :param failing_servers: how many servers fail.
    :param flapping: whether ``BAD`` is down every other ``FLAP_SECONDS``.
    :param renewed: whether all servers are replaced at ``FAULT_AT``.
    :param leaving: whether ``BAD`` says that it leaves.
    """

    name: str
    lag: float = 0.5
    slow: float = 1.0
    failing: float = 0.0
    failing_servers: int = 1
    flapping: bool = False
    renewed: bool = False
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class Arm:
    """A way of choosing.

    :param name: name in the table.
    :param router: router class.
    :param health: health policy class.
    :param shared: whether entries tell each other the ends of calls and what they
        sent.
    """

    name: str
    router: type = PredictiveRouter
    health: type = HealthPolicy
    shared: bool = True


SCENARIOS = (
    Scenario(name="healthy, lag 0.1 s", lag=0.1),
    Scenario(name="healthy, lag 1 s", lag=1.0),
    Scenario(name="healthy, lag 5 s", lag=5.0),
    Scenario(name="one 5 times slower", slow=5.0),
    Scenario(name="one fails 1 in 3", failing=1 / 3),
    Scenario(name="one flapping", flapping=True),
    Scenario(name="two of six fail", failing=1.0, failing_servers=2),
    Scenario(name="all fail 1 in 3", failing=1 / 3, failing_servers=SERVERS),
    Scenario(name="all new, cold", renewed=True),
    Scenario(name="one leaving", leaving=True),
)
ARMS = (
    Arm(name="predictive + health"),
    Arm(name="predictive, no gossip", shared=False),
    Arm(name="predictive, no ejection", health=NoEjection),
    Arm(name="least loaded", router=LeastLoadedRouter, health=NoEjection),
    Arm(name="round robin", router=RoundRobinRouter, health=NoEjection),
    Arm(name="random", router=RandomRouter, health=NoEjection),
)


@dataclass
class Call:
    """One request and its attempts."""

    number: int
    at: float
    tokens: int
    entry: int
    attempts: int = 0
    tried: list = field(default_factory=list)


@dataclass
class Server:
    """A backend server that computes one call after another."""

    name: str
    queue: deque = field(default_factory=deque)
    call: Call | None = None
    done: int = 0


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Figures after the fault; times in seconds, shares 0 to 1.

    :param served: share of requests served.
    :param attempts: attempts per request.
    :param p50: median first-token time.
    :param p95: its 95th percentile.
    :param spread: largest share of work of a server over the mean share.
    :param bad_share: share of attempts that went to server ``BAD``.
    :param min_usable: least servers in use at any entry at any time.
    :param late_work: calls sent to ``BAD`` more than 3 s after it said it leaves.
    """

    served: float
    attempts: float
    p50: float
    p95: float
    spread: float
    bad_share: float
    min_usable: float
    late_work: float


class Run:
    """One arm in one scenario.

    :param arm: an :class:`Arm`.
    :param scenario: a :class:`Scenario`.
    :param seed: seed.
    :param seconds: end of the arrivals, in seconds.
    """

    def __init__(self, arm, scenario, seed, seconds=SECONDS):
        self.arm, self.scenario, self.seconds = arm, scenario, seconds
        self.arrivals, self.draw = random.Random(seed), random.Random(seed + 1000)
        self.now, self.order, self.events = 0.0, 0, []
        self.servers = {f"m{n}": Server(f"m{n}") for n in range(SERVERS)}
        self.routers = [
            arm.router(
                estimator=FirstTokenEstimator(prefill_rate=PREFILL_RATE, chunk_tokens=0)
            ).reset()
            for _ in range(ENTRIES)
        ]
        self.healths = [arm.health().reset() for _ in range(ENTRIES)]
        self.waits, self.requests, self.attempts, self.late = [], 0, 0, 0
        self.unsaid = [dict.fromkeys(self.servers, 0) for _ in range(ENTRIES)]
        self.sent = dict.fromkeys(self.servers, 0)
        self.min_usable = SERVERS

    def later(self, seconds, action, *arguments):
        """Call something after some seconds."""
        self.order += 1
        entry = (self.now + seconds, self.order, action, arguments)
        heapq.heappush(self.events, entry)

    def play(self):
        """Run to the end.

        :return: :class:`Figures`.
        """
        self.see("1", starts_slowly=False)
        self.later(0.0, self.arrive)
        self.later(0.0, self.report)
        self.later(0.0, self.tick)
        self.later(0.0, self.gossip)
        self.later(FAULT_AT, self.fault)
        while self.events and self.events[0][0] <= self.seconds + 30.0:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.figures()

    def see(self, life, starts_slowly):
        """Tell every entry of every server."""
        for health in self.healths:
            for name in self.servers:
                seen = ServerAppeared(
                    server=name,
                    service="m",
                    incarnation=life,
                    starts_slowly=starts_slowly,
                )
                health.observe(seen, self.now)

    def fault(self):
        """Start what happens once."""
        if self.scenario.renewed:
            self.see("2", starts_slowly=True)
        if self.scenario.leaving:
            for health in self.healths:
                delay = self.draw.uniform(0.0, 2.0)
                event = ServerLeaving(server=BAD)
                self.later(delay, self.tell, health, event)

    def tell(self, health, event):
        """Hand an event to one health policy."""
        health.observe(event, self.now)

    def tick(self):
        """Tick the health policies and note how many servers are in use."""
        for health in self.healths:
            health.tick(self.now)
            found = health.decide(HealthQuery(service="m"), self.now)
            usable = sum(item.usable for item in found)
            leaving = sum(item.state is Health.LEAVING for item in found)
            self.min_usable = min(self.min_usable, usable + leaving)
        self.later(0.5, self.tick)

    def gossip(self):
        """Each entry tells the others what it sent since the last time."""
        for entry, unsaid in enumerate(self.unsaid):
            for server, tokens in unsaid.items():
                if tokens and self.arm.shared:
                    self.later(GOSSIP_DELAY, self.hear, entry, server, tokens)
                unsaid[server] = 0
        self.later(GOSSIP_PERIOD, self.gossip)

    def hear(self, speaker, server, tokens):
        """The other entries hear what one sent."""
        lag = GOSSIP_DELAY + GOSSIP_PERIOD / 2
        event = PeerDispatched(server=server, tokens=tokens, lag=lag)
        for entry, router in enumerate(self.routers):
            if entry != speaker:
                router.observe(event, self.now)

    def report(self):
        """Send every server's load, with the lag."""
        for server in self.servers.values():
            calls = [*server.queue, *([server.call] if server.call else [])]
            load = LoadReport(
                server=server.name,
                version="v1",
                queued_tokens=sum(call.tokens for call in calls),
                running=len(calls),
                lag=self.scenario.lag,
            )
            self.later(self.scenario.lag, self.deliver, load)
        self.later(max(REPORT_PERIOD, self.scenario.lag), self.report)

    def deliver(self, load):
        """Hand a load report to every entry."""
        for router in self.routers:
            router.observe(load, self.now)

    def arrive(self):
        """A request arrives; the next one is drawn."""
        if self.now < self.seconds:
            self.later(self.arrivals.expovariate(RATE), self.arrive)
            tokens = self.arrivals.lognormvariate(MEAN_LOG_TOKENS, SPREAD_LOG_TOKENS)
            entry = self.arrivals.randrange(ENTRIES)
            call = Call(self.order, self.now, max(1, int(tokens)), entry)
            self.requests += self.now >= FAULT_AT
            self.send(call)

    def send(self, call):
        """Choose a server that was not tried yet, and send."""
        health, router = self.healths[call.entry], self.routers[call.entry]
        candidates = tuple(
            Candidate(
                server=item.server,
                version="v1",
                usable=item.usable and item.server not in call.tried,
                weight=item.weight,
            )
            for item in health.decide(HealthQuery(service="m"), self.now)
        )
        decision = router.decide(
            RouteQuery(
                account="a",
                model="m",
                version="v1",
                prompt_tokens=call.tokens,
                candidates=candidates,
                draw=self.draw.random(),
            ),
            self.now,
        )
        if not decision:
            return
        self.dispatch(call, decision.server, health, router)

    def dispatch(self, call, name, health, router):
        """Put the call into the server's queue."""
        call.attempts += 1
        call.tried.append(name)
        if call.at >= FAULT_AT:
            self.attempts += 1
            self.sent[name] += 1
        if self.scenario.leaving and name == BAD and self.now > FAULT_AT + 3.0:
            self.late += 1
        health.observe(CallStarted(server=name), self.now)
        sent = Dispatched(
            request=f"{call.number}/{call.attempts}", server=name, tokens=call.tokens
        )
        router.observe(sent, self.now)
        self.unsaid[call.entry][name] += call.tokens
        server = self.servers[name]
        server.queue.append(call)
        self.start(server)

    def start(self, server):
        """Compute the next call, or fail it."""
        if server.call or not server.queue:
            return
        call = server.call = server.queue.popleft()
        fails = self.fails(server)
        seconds = FAIL_SECONDS if fails else call.tokens / self.rate(server)
        self.later(seconds, self.end, server, call, not fails)

    def fails(self, server):
        """Tell whether the server fails its next call."""
        scenario = self.scenario
        if self.now < FAULT_AT:
            return False
        if int(server.name[1:]) < scenario.failing_servers and scenario.failing:
            return self.draw.random() < scenario.failing
        down = int((self.now - FAULT_AT) / FLAP_SECONDS) % 2 == 0
        return scenario.flapping and server.name == BAD and down

    def rate(self, server):
        """Return the server's true rate now."""
        if self.now < FAULT_AT:
            return PREFILL_RATE
        cold = self.scenario.renewed and self.now < FAULT_AT + WARMING_SECONDS
        rate = PREFILL_RATE * (WARMING_FACTOR if cold else 1.0)
        return rate / self.scenario.slow if server.name == BAD else rate

    def end(self, server, call, ok):
        """A call has its first token or failed."""
        server.call = None
        server.done += ok * call.tokens
        request = f"{call.number}/{call.attempts}"
        wait = self.now + OVERHEAD - call.at
        event = DispatchEnded(request=request)
        if ok:
            event = FirstTokenArrived(
                request=request, seconds=wait, learn=call.attempts == 1
            )
        self.routers[call.entry].observe(event, self.now)
        usual = OVERHEAD + call.tokens / PREFILL_RATE
        ended = CallEnded(server=server.name, ok=ok, seconds=wait / usual)
        self.tell_end(call.entry, ended)
        if ok and call.at >= FAULT_AT:
            self.waits.append(wait)
        elif not ok and call.attempts < 2:
            self.send(call)
        self.start(server)

    def tell_end(self, entry, ended):
        """Hand a call's end to its entry, and where shared to the others."""
        self.healths[entry].observe(ended, self.now)
        if self.arm.shared:
            for place, health in enumerate(self.healths):
                if place != entry:
                    self.later(GOSSIP_PERIOD, self.tell, health, ended)

    def figures(self):
        """Return the figures of the run."""
        waits = sorted(self.waits)
        total = sum(self.sent.values())
        return Figures(
            served=len(waits) / self.requests,
            attempts=self.attempts / self.requests,
            p50=waits[len(waits) // 2],
            p95=waits[int(0.95 * len(waits))],
            spread=max(self.sent.values()) * SERVERS / total,
            bad_share=self.sent[BAD] / total,
            min_usable=self.min_usable,
            late_work=self.late,
        )


def summarise(runs):
    """Return the median of each figure.

    :param runs: list of :class:`Figures`.
    :return: :class:`Figures`.
    """
    names = Figures.__dataclass_fields__
    return Figures(
        **{name: median(getattr(run, name) for run in runs) for name in names}
    )


def format_row(scenario, arm, runs):
    """Return one row of the table.

    :param scenario: a :class:`Scenario`.
    :param arm: an :class:`Arm`.
    :param runs: list of :class:`Figures`.
    :return: a line of text.
    """
    row = summarise(runs)
    low, high = min(run.p95 for run in runs), max(run.p95 for run in runs)
    least = min(run.min_usable for run in runs)
    return (
        f"{scenario.name:20}{arm.name:25}{row.served:8.4f}{row.attempts:8.3f}"
        f"{row.p50:8.3f}{row.p95:8.3f}{low:8.3f}{high:8.3f}{row.spread:8.2f}"
        f"{row.bad_share:8.3f}{least:8.0f}{row.late_work:6.0f}"
    )


HEADER = (
    f"{'scenario':20}{'arm':25}{'served':>8}{'tries':>8}{'p50 s':>8}{'p95 s':>8}"
    f"{'p95 lo':>8}{'p95 hi':>8}{'spread':>8}{'to bad':>8}{'in use':>8}{'late':>6}"
)


def main(argv=None):
    """Print the table.

    :param argv: command-line arguments; ``None`` for those of the process.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=SECONDS)
    parser.add_argument("--json", default="")
    options = parser.parse_args(argv)
    seeds = range(options.seed, options.seed + options.repeats)
    print(f"seeds {list(seeds)}, {platform.machine()}, Python", end=" ")
    print(f"{platform.python_version()}; medians; in use: least of all runs")
    print(HEADER)
    rows = []
    for scenario in SCENARIOS:
        for arm in ARMS:
            runs = [Run(arm, scenario, seed, options.seconds).play() for seed in seeds]
            print(format_row(scenario, arm, runs), flush=True)
            found = [vars(run) for run in runs]
            rows.append({"scenario": scenario.name, "arm": arm.name, "runs": found})
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump({"seeds": list(seeds), "rows": rows}, file, indent=1)


if __name__ == "__main__":
    main()
