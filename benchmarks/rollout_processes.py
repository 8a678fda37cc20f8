"""Goodput during a weight rollout over processes.

Run: ``python -m benchmarks.rollout_processes``. Three entries and six engines on
loopback; requests arrive open-loop with seeded gaps. Each case publishes a version
and compares the window after it with the same arrivals before it. Figures depend on
the machine and what else runs on it.
"""

import random
import statistics
from dataclasses import dataclass, replace

import httpx
import trio

from standins.fleet import Fleet, FleetOptions
from wasabistage.entry.tests.rollout_load import Rollouts, ask_async

SEED = 20261204
ENTRIES = 3
RATE = 40.0  # requests a second
WINDOW = 8.0  # seconds
GOOD_SECONDS = (0.5, 1.0)  # an answer that takes longer is not counted
REPEATS = 3


@dataclass(frozen=True, kw_only=True)
class Case:
    """One way to roll out.

    :param name: what the table calls it.
    :param version_wait: how long requests wait for the first server, in seconds.
    :param parallel_loads: declared loads at once.
    """

    name: str
    version_wait: float = 5.0
    parallel_loads: int = 2


CASES = (
    Case(name="two at once, requests wait (default)"),
    Case(name="two at once, refused at once", version_wait=0.0),
    Case(name="one at a time, requests wait", parallel_loads=1),
    Case(name="six at once, requests wait", parallel_loads=6),
)


async def arrive(fleet, seed):
    """Ask for answers over one window.

    :param fleet: the fleet.
    :param seed: seed of the arrivals.
    :return: list of :class:`wasabistage.entry.tests.rollout_load.Asked`.
    """
    draws = random.Random(seed)
    asked = []

    async def one(http, entry, number):
        asked.append(await ask_async(http, fleet, entry, number))

    limits = httpx.Limits(max_connections=500)
    async with (
        httpx.AsyncClient(trust_env=False, timeout=30.0, limits=limits) as http,
        trio.open_nursery() as nursery,
    ):
        end = trio.current_time() + WINDOW
        number = seed * 1_000_000
        while trio.current_time() < end:
            number += 1
            nursery.start_soon(one, http, 1 + number % ENTRIES, number)
            await trio.sleep(draws.expovariate(RATE))
    return asked


async def arrive_and_publish(fleet, rollouts, seed):
    """Ask over one window at whose start a version is published.

    :return: the answers and the seconds until every engine ran the version.
    """
    took = []

    async def watch():
        begun = trio.current_time()
        version = await trio.to_thread.run_sync(rollouts.publish)
        while not await trio.to_thread.run_sync(rollouts.all_loaded, version):
            await trio.sleep(0.05)
        took.append(trio.current_time() - begun)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(watch)
        asked = await arrive(fleet, seed)
    return asked, took[0]


def describe(asked):
    """Return the shares failed and good within each bound, and the 95th percentile."""
    times = sorted(item.ended - item.begun for item in asked if item.status == 200)
    good = [sum(t <= bound for t in times) / len(asked) for bound in GOOD_SECONDS]
    failed = 1 - len(times) / len(asked)
    return failed, *good, times[int(0.95 * len(times))], times[-1]


def measure(case):
    """Run one case.

    :param case: a :class:`Case`.
    :return: rows without and with a rollout, most loads at once.
    """
    timing = f"version_wait = {case.version_wait}s"
    quiet, rolled = [], []
    with Fleet(FleetOptions(entries=ENTRIES, timing=timing)) as fleet:
        rollouts = Rollouts(fleet)
        store = replace(
            fleet.deployment.weight_store, parallel_loads=case.parallel_loads
        )
        rollouts.deployment = replace(fleet.deployment, weight_store=store)
        fleet.publish(rollouts.deployment)
        fleet.wait_served()
        trio.run(arrive, fleet, 0)
        for repeat in range(1, REPEATS + 1):
            quiet.append((*describe(trio.run(arrive, fleet, SEED + repeat)), 0.0))
            asked, took = trio.run(arrive_and_publish, fleet, rollouts, SEED + repeat)
            rolled.append((*describe(asked), took))
        peak = fleet.get("weights", "/witness/peak")["peak"]
    return quiet, rolled, peak


def main():
    """Print the table."""
    print(f"seed {SEED}, {REPEATS} repeats, {RATE:g} requests/s over {ENTRIES} entries")
    print("failed | <=0.5 s | <=1 s | p95 s | longest s | done s (medians) | loads")
    for case in CASES:
        quiet, rolled, peak = measure(case)
        for name, rows in (("  without", quiet), (case.name, rolled)):
            middle = [statistics.median(column) for column in zip(*rows, strict=True)]
            shares = " | ".join(f"{100 * value:.1f}%" for value in middle[:3])
            seconds = " | ".join(f"{value:.2f}" for value in middle[3:])
            print(f"{name}: {shares} | {seconds} | {peak}", flush=True)


if __name__ == "__main__":
    main()
