"""Goodput during a weight rollout, and schedules of faults explored.

Run: ``python -m benchmarks.rollout``. Seeded; the same figures each run. Requests
arrive at three entry instances; each waits for a free slot on a server that it may use,
and counts if it gets one within the deadline. A load takes 0.2 s, longer while more
than two servers load.
"""

import random
import statistics
from collections import deque
from functools import partial

from wasabistage.rollout import AllAtOnce, OneByOne, RolloutPolicy, RoutableQuery
from wasabistage.rollout.tests.world import STEP_SECONDS, World

SEED = 20261204
REPEATS = 5
SERVERS = 6
SLOTS = 4  # requests at a time on one server
SERVICE_TIME = 0.5  # seconds
DEADLINE = 1.0  # seconds of waiting
UTILISATION = 0.6
PUBLISH_AT = 10.0  # seconds
WINDOW = 10.0  # seconds of the rollout that are compared
LOAD_WORK = 0.2  # seconds
NETWORK_DELAY = 0.01  # seconds, longest of an order
APPEND_DELAY = 0.05  # seconds, longest of an append to the log


class Traffic:
    """Open-loop requests over a :class:`World`.

    :param world: the fakes.
    :param seed: seed of the arrivals, equal for every policy.
    """

    def __init__(self, world, seed):
        self.world = world
        self.draws = random.Random(seed)
        self.queues = [deque() for _ in world.entries]
        self.running = {name: [] for name in world.servers}
        self.served = {}

    def step(self):
        """Go on by one step of the world."""
        self.world.step()
        now = self.world.now
        rate = UTILISATION * SERVERS * SLOTS / SERVICE_TIME
        count = int(rate * STEP_SECONDS) + (
            self.draws.random() < rate * STEP_SECONDS % 1
        )
        for _ in range(count):
            self.draws.choice(self.queues).append(now)
        for name, ends in self.running.items():
            self.running[name] = [end for end in ends if end > now]
        for number, queue in enumerate(self.queues):
            self.dispatch(number, queue, now)

    def dispatch(self, number, queue, now):
        """Give waiting requests of one entry instance to servers.

        :param number: number of the entry instance.
        :param queue: arrival times of its waiting requests.
        :param now: simulated time, in seconds.
        """
        query = RoutableQuery(model="x", servers=tuple(self.running))
        answer = self.world.entries[number].policy.decide(query, now)
        names = [*answer.servers, *answer.old_servers] if answer else []
        while queue:
            if now - queue[0] > DEADLINE:
                queue.popleft()
                continue
            free = [name for name in names if len(self.running[name]) < SLOTS]
            if not free:
                return
            name = min(free, key=lambda name: len(self.running[name]))
            # A server that is loading takes the request once it has loaded.
            wait = LOAD_WORK if self.world.servers[name].loading else 0.0
            self.running[name].append(now + wait + SERVICE_TIME)
            arrived = queue.popleft()
            second = int(arrived)
            self.served[second] = self.served.get(second, 0) + 1


def run(kind, seed, publish=True):
    """Play one rollout.

    :param kind: policy class.
    :param seed: seed of the world and the arrivals.
    :param publish: whether a new version is published.
    :return: requests served by second of arrival, seconds until every server ran the
        new version, and the most servers that loaded at once.
    """
    world = World(
        seed,
        kind,
        load_work=LOAD_WORK,
        servers=SERVERS,
        order_delay=NETWORK_DELAY,
        action_delay=APPEND_DELAY,
    )
    traffic = Traffic(world, seed)
    world.publish("v1")
    took = float("nan")
    while world.now < PUBLISH_AT + WINDOW + 2.0:
        if publish and round(world.now, 6) == PUBLISH_AT:
            world.publish("v2")
        traffic.step()
        if world.versions() == {"v2"} and took != took:
            took = world.now - PUBLISH_AT
    return traffic.served, took, world.max_loading


def measure(kind):
    """Compare a rollout with the same arrivals without one.

    :param kind: policy class.
    :return: lost share of goodput over the window: median and largest; lost share of
        the worst second and seconds until done, as medians; most loads at once.
    """
    rows = []
    seconds = range(int(PUBLISH_AT), int(PUBLISH_AT + WINDOW))
    for repeat in range(REPEATS):
        base, _, _ = run(kind, SEED + repeat, publish=False)
        served, took, loads = run(kind, SEED + repeat)
        total = sum(base.get(s, 0) for s in seconds)
        dip = 1 - sum(served.get(s, 0) for s in seconds) / total
        worst = max(1 - served.get(s, 0) / base[s] for s in seconds)
        rows.append((dip, worst, took, loads))
    dips, worsts, times, loads = zip(*rows, strict=True)
    return (
        statistics.median(dips),
        max(dips),
        statistics.median(worsts),
        statistics.median(times),
        max(loads),
    )


def main():
    """Print the table."""
    print(f"seed {SEED}, {REPEATS} repeats, {UTILISATION:.0%} utilisation")
    print("policy                    lost  most lost  worst second  done s  loads")
    kinds = {
        "two, declared only": RolloutPolicy,
        "two, old one serves too": partial(RolloutPolicy, serve_old=True),
        "one by one, declared only": OneByOne,
        "one by one, old serves": partial(OneByOne, serve_old=True),
        "all at once, declared": AllAtOnce,
        "all at once, old serves": partial(AllAtOnce, serve_old=True, keep_share=0.0),
    }
    for name, kind in kinds.items():
        dip, most, worst, took, loads = measure(kind)
        print(f"{name:25} {dip:5.1%} {most:9.1%} {worst:12.1%} {took:8.1f} {loads:5}")


if __name__ == "__main__":
    main()
