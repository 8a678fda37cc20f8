"""Retries while a third of the backend servers fail, and after an overload.

Six backend servers with bounded queues; open-loop arrivals with heavy-tailed gaps
and service times. A server goes on with a request whose caller has timed out, as a
server without cancellation does.
"""

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from benchmarks._load import GAP_SIGMA, heavy_tailed
from benchmarks._report import Aim, Figures, parse_options, publish_figures
from wasabistage.retries import (
    AlwaysRetry,
    Failure,
    FirstAttemptSent,
    NeverRetry,
    RetryPolicy,
    RetryQuery,
)

SERVERS = tuple(f"server-{n}" for n in range(6))
FAILING = SERVERS[:2]
SLOTS = 8
QUEUED = 64
SERVICE_SECONDS = 0.2
SERVICE_SIGMA = 0.5
ERROR_SECONDS = 0.02
ATTEMPT_SECONDS = 1.0
DEADLINE_SECONDS = 3.0
CAPACITY = len(SERVERS) * SLOTS / SERVICE_SECONDS
END = 40.0
FAULT_START = 10.0
FAULT_END = 25.0
STORM_END = 15.0
BREAKER_FAILURES = 5
PROBE_SECONDS = 1.0
SERVICE = "status"
WINDOW = 1.0
POLICIES = {
    "budgeted": RetryPolicy,
    "always": AlwaysRetry,
    "never": NeverRetry,
}


@dataclass
class Request:
    """A request over its attempts.

    :param at: time of arrival, in seconds.
    :param attempts: attempts so far.
    :param failed: names of the servers tried.
    :param done_at: time of a good answer, or ``None``.
    """

    at: float
    attempts: int = 0
    failed: tuple = ()
    done_at: float | None = None

    @property
    def good(self):
        """Whether it was answered before its deadline."""
        if self.done_at is None:
            return False
        return self.done_at <= self.at + DEADLINE_SECONDS


@dataclass
class Server:
    """A backend server with slots, a bounded queue, and what routing knows of it.

    :param running: slots in use.
    :param queue: waiting attempts.
    :param failures: failures in a row.
    :param probe_at: when a tripped breaker lets one request through.
    """

    running: int = 0
    queue: deque = field(default_factory=deque)
    failures: int = 0
    probe_at: float = 0.0


class RetryLoop:
    """Plays a load against six servers.

    :param policy: a retry policy, reset.
    :param random: a seeded :class:`random.Random`.
    :param fails: function of a server's name and the time to the chance that an
        attempt fails there.
    :param breaker: whether routing leaves out servers that failed five times in a
        row, but for a probe a second.
    """

    def __init__(self, policy, random, fails, breaker):
        self.policy = policy
        self.random = random
        self.fails = fails
        self.breaker = breaker
        self.servers = {name: Server() for name in SERVERS}
        self.events = []
        self.count = 0
        self.requests = []

    def at(self, time, call, *arguments):
        """Schedule a call with the time as its first argument."""
        self.count += 1
        heappush(self.events, (time, self.count, call, arguments))

    def run(self, rate):
        """Play.

        :param rate: function of the time to arrivals a second.
        :return: a list of :class:`Request`.
        """
        self.at(0.0, self.arrive, rate)
        while self.events:
            now, _, call, arguments = heappop(self.events)
            call(now, *arguments)
        return self.requests

    def arrive(self, now, rate):
        """Start a request and schedule the next."""
        request = Request(now)
        self.requests.append(request)
        self.policy.observe(FirstAttemptSent(service=SERVICE), now)
        self.send(now, request, self.candidates(now))
        gap = heavy_tailed(self.random, 1 / rate(now), GAP_SIGMA)
        if now + gap < END:
            self.at(now + gap, self.arrive, rate)

    def candidates(self, now):
        """Return the servers that routing would use."""
        if not self.breaker:
            return SERVERS
        names = [n for n, s in self.servers.items() if s.failures < BREAKER_FAILURES]
        for name, server in self.servers.items():
            if server.failures >= BREAKER_FAILURES and now >= server.probe_at:
                server.probe_at = now + PROBE_SECONDS
                names.append(name)
        return tuple(names) or SERVERS

    def send(self, now, request, names):
        """Send an attempt to the less loaded of two servers."""
        request.attempts += 1
        pair = [self.random.choice(names), self.random.choice(names)]
        servers = self.servers
        name = min(pair, key=lambda n: servers[n].running + len(servers[n].queue))
        server = servers[name]
        attempt = request.attempts
        if self.random.random() < self.fails(name, now):
            at = now + ERROR_SECONDS
            self.at(at, self.failed, request, attempt, name, Failure.ERROR)
        elif len(server.queue) >= QUEUED:
            at = now + ERROR_SECONDS
            self.at(at, self.failed, request, attempt, name, Failure.OVERLOAD)
        else:
            server.queue.append((request, attempt))
            at = now + ATTEMPT_SECONDS
            self.at(at, self.failed, request, attempt, name, Failure.LOST)
            self.start(now, name)

    def start(self, now, name):
        """Start what a server has slots for."""
        server = self.servers[name]
        while server.queue and server.running < SLOTS:
            request, attempt = server.queue.popleft()
            server.running += 1
            seconds = heavy_tailed(self.random, SERVICE_SECONDS, SERVICE_SIGMA)
            self.at(now + seconds, self.finish, name, request, attempt)

    def finish(self, now, name, request, attempt):
        """End an attempt at a server."""
        server = self.servers[name]
        server.running -= 1
        if request.attempts == attempt and request.done_at is None:
            request.done_at = now
            server.failures = 0
        self.start(now, name)

    def failed(self, now, request, attempt, name, failure):
        """Take in that an attempt failed, unless it was answered."""
        if request.done_at is not None or request.attempts != attempt:
            return
        if len(request.failed) >= attempt:
            return
        request.failed += (name,)
        self.servers[name].failures += 1
        query = RetryQuery(
            service=SERVICE,
            idempotent=True,
            failure=failure,
            attempts=attempt,
            failed=request.failed,
            candidates=self.candidates(now),
            deadline_at=request.at + DEADLINE_SECONDS,
            draw=self.random.random(),
        )
        retry = self.policy.decide(query, now)
        if retry:
            self.at(now + retry.delay, self.send, request, retry.servers)


def third_fails(name, now):
    """Fail every attempt at a third of the servers for a while."""
    return float(name in FAILING and FAULT_START <= now < FAULT_END)


def one_in_three(name, now):
    """Fail one attempt in three at every server for a while."""
    return (1 / 3) * (FAULT_START <= now < FAULT_END)


def never_fails(name, now):
    """Fail nothing."""
    return 0.0


def steady(now):
    """Return six tenths of the capacity."""
    return 0.6 * CAPACITY


def overload(now):
    """Return eight tenths of the capacity, and twice the capacity for a while."""
    return CAPACITY * (2.0 if FAULT_START <= now < STORM_END else 0.8)


SCENARIOS = {
    "a third fails, breaker": (third_fails, steady, True, FAULT_END),
    "a third fails, no breaker": (third_fails, steady, False, FAULT_END),
    "one call in three fails": (one_in_three, steady, False, FAULT_END),
    "2x overload for 5 s": (never_fails, overload, False, STORM_END),
}


def goodput(requests):
    """Return the part of the requests answered before their deadline.

    :param requests: a list of :class:`Request`.
    :return: part, 0 to 1.
    """
    return sum(request.good for request in requests) / max(1, len(requests))


def between(requests, start, end):
    """Select requests by time of arrival.

    :param requests: a list of :class:`Request`.
    :param start: first time, in seconds.
    :param end: time after the last, in seconds.
    :return: the selected requests.
    """
    return [request for request in requests if start <= request.at < end]


def recovery_time(requests, fault_end):
    """Return when goodput is back above 95% for good.

    :param requests: a list of :class:`Request`.
    :param fault_end: end of the fault, in seconds.
    :return: seconds after the fault's end.
    """
    recovered = at = fault_end
    while at + WINDOW <= END:
        if goodput(between(requests, at, at + WINDOW)) < 0.95:
            recovered = at + WINDOW
        at += WINDOW
    return recovered - fault_end


def run(seed, repeats):
    """Play every scenario with every policy.

    :param seed: seed of the first repeat.
    :param repeats: number of repeats.
    :return: a :class:`Figures`.
    """
    figures = Figures()
    for repeat in range(seed, seed + repeats):
        for scenario, (fails, rate, breaker, end) in SCENARIOS.items():
            for policy, make in POLICIES.items():
                random = Random(f"{repeat} {scenario}")
                loop = RetryLoop(make().reset(), random, fails, breaker)
                requests = loop.run(rate)
                measure(figures, scenario, policy, requests, end)
    return figures


def measure(figures, scenario, policy, requests, fault_end):
    """Add the figures of one run.

    :param figures: a :class:`Figures`.
    :param scenario: its name.
    :param policy: name of the policy.
    :param requests: the requests.
    :param fault_end: end of the fault, in seconds.
    """
    fault = between(requests, FAULT_START, fault_end)
    attempts = sum(request.attempts for request in fault) / len(fault)
    aim = Aim(at_most=1.1)
    figures.add(scenario, policy, "attempts per request in the fault", attempts, aim)
    figures.add(scenario, policy, "goodput in the fault", goodput(fault))
    recovery = recovery_time(requests, fault_end)
    aim = Aim(at_most=5.0)
    figures.add(scenario, policy, "recovery to 95% (s)", recovery, aim)


def main(argv=None):
    """Run the benchmark.

    :param argv: command-line arguments; ``None`` for those of the process.
    """
    options = parse_options(__doc__.splitlines()[0], argv)
    publish_figures("retries", run(options.seed, options.repeats), options)


if __name__ == "__main__":
    main()
