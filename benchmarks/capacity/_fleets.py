"""Slopes of whole processes: entries and engines on loopback."""

import time
from dataclasses import dataclass, replace
from statistics import median

import trio

from benchmarks._processes import fleet_pid, read_use, resident_bytes
from standins.fleet import PEER_KEY, Fleet, FleetOptions
from wasabistage.declarations import ServiceKind
from wasabistage.operators import read_status

ENTRIES = (3, 7, 14, 20)
ENGINES = (12, 24)
AT_ENTRIES = 7
OWN_ENGINES = 6
SETTLE_SECONDS = 6.0
IDLE_SECONDS = 12.0
SHORT_SECONDS = 2.0
FIRST_PORT = 22001
MEGABYTE = 1e6


@dataclass(frozen=True, kw_only=True)
class FleetCost:
    """What an idle entry takes in a fleet; medians over the entries.

    :param entries: entry instances.
    :param servers: backend servers.
    :param core: share of a core of one entry.
    :param core_most: that of the busiest entry.
    :param resident: resident memory of one entry, in MB.
    :param calls: calls that one entry sends its peers a second.
    :param processes: processes of the fleet.
    :param total: resident memory of the whole fleet, in MB.
    """

    entries: int
    servers: int
    core: float
    core_most: float
    resident: float
    calls: float
    processes: int
    total: float


def make_fleet(entries, engines=OWN_ENGINES):
    """Build a fleet with more engines than the example declares.

    :param entries: entry instances.
    :param engines: model engines.
    :return: a :class:`standins.fleet.Fleet`, not started.
    """
    fleet = Fleet(FleetOptions(entries=entries, drain_timeout=2))
    servers = dict(fleet.deployment.servers)
    first = next(s for s in servers.values() if s.kind is ServiceKind.MODEL)
    for number in range(OWN_ENGINES, engines):
        name = f"engine-{number + 1}"
        address = f"{fleet.host}:{FIRST_PORT + number}"
        servers[name] = replace(first, name=name, address=address)
    fleet.deployment = replace(fleet.deployment, servers=servers)
    return fleet


def count_calls(fleet):
    """Read how many calls each entry has sent its peers.

    :param fleet: a running fleet.
    :return: a list of counts; ``None`` for an entry that did not answer.
    """
    addresses = [
        fleet.peer_address(number + 1) for number in range(fleet.options.entries)
    ]
    told = trio.run(read_status, addresses, PEER_KEY)
    return [item and item.metrics.get("peer.calls", 0) for item in told]


def measure_fleet(entries, engines, seconds):
    """Watch an idle fleet.

    :param entries: entry instances.
    :param engines: model engines.
    :param seconds: how long it is watched.
    :return: a :class:`FleetCost`.
    """
    with make_fleet(entries, engines) as fleet:
        fleet.publish()
        fleet.wait_served()
        time.sleep(min(SETTLE_SECONDS, seconds))
        pids = [fleet_pid(fleet, name) for name in fleet.entry_names]
        calls, counted_at = count_calls(fleet), time.monotonic()
        before, started = [read_use(pid) for pid in pids], time.monotonic()
        time.sleep(seconds)
        after, wall = [read_use(pid) for pid in pids], time.monotonic() - started
        span = time.monotonic() - counted_at
        pairs = zip(calls, count_calls(fleet), strict=True)
        sent = [b - a for a, b in pairs if a is not None and b is not None]
        everyone = [fleet_pid(fleet, name) for name in fleet.processes]
        total = sum(resident_bytes(pid) for pid in everyone)
        servers = len(fleet.deployment.servers)
    cores = [(b.seconds - a.seconds) / wall for a, b in zip(before, after, strict=True)]
    return FleetCost(
        entries=entries,
        servers=servers,
        core=median(cores),
        core_most=max(cores),
        resident=median(use.resident for use in after) / MEGABYTE,
        calls=median(sent) / span,
        processes=len(everyone),
        total=total / MEGABYTE,
    )


def measure_fleets(short=False):
    """Watch fleets of several sizes, one after another.

    :param short: whether to watch the smallest one alone, for a moment.
    :return: a list of :class:`FleetCost`.
    """
    if short:
        return [measure_fleet(ENTRIES[0], OWN_ENGINES, SHORT_SECONDS)]
    sizes = [(entries, OWN_ENGINES) for entries in ENTRIES]
    sizes += [(AT_ENTRIES, engines) for engines in ENGINES]
    return [measure_fleet(*size, IDLE_SECONDS) for size in sizes]
