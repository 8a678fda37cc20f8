"""Slopes of the decisions: time and memory over size, in this process."""

import gc
import random
import statistics
import time
import tracemalloc
from dataclasses import dataclass

from benchmarks import configuration, membership, sessions
from benchmarks._processes import resident_bytes
from benchmarks.once_explorer import measure_costs
from wasabistage.admission import (
    CapacityChanged,
    EntryAdmission,
    GrantSlot,
    RequestArrived,
    RequestFinished,
)
from wasabistage.base import Rank
from wasabistage.cache import (
    CacheEvent,
    CacheListing,
    PrefixCommitted,
    PrefixIndex,
    StoredSessionQuery,
    StoreIndex,
)
from wasabistage.membership import (
    BackendMembership,
    ServerReportReceived,
    UsableServersQuery,
)
from wasabistage.routing import (
    Candidate,
    HealthPolicy,
    HealthQuery,
    LoadReport,
    PredictiveRouter,
    RouteQuery,
    ServerAppeared,
)

SEED = 20261204
MICROSECONDS = 1e6
MEMBERS = (3, 7, 14, 25, 40)
SERVERS = (6, 24, 70, 200, 1100)
ACCOUNTS = (10, 100, 750)
SESSIONS = (10_000, 100_000, 830_000)
CONFIG_SIZES = ((10, 10), (200, 100), (1100, 750))
PIECES = (1_000, 16_384)
QUEUED = 200
SLOTS = 64
ADMITTED = 2000
SPREAD_HIGH = 0x9E3779B97F4A7C15
SPREAD_LOW = 0xD1B54A32D192ED03
MASK = (1 << 64) - 1
STORES = 16


@dataclass(frozen=True, kw_only=True)
class Slope:
    """One measured point.

    :param role: what was measured.
    :param size: how many of what, in words.
    :param count: the same as a number.
    :param name: the figure with its unit.
    :param value: the figure.
    """

    role: str
    size: str
    count: int
    name: str
    value: float


def point(role, count, what, name, value):
    """Build a :class:`Slope`."""
    return Slope(
        role=role, size=f"{count:,} {what}", count=count, name=name, value=value
    )


def key(step):
    """Make a piece key.

    :param step: a number.
    :return: 32 hex digits; odd constants spread the number over all of them.
    """
    return f"{step * SPREAD_HIGH & MASK:016x}{step * SPREAD_LOW & MASK:016x}"


def time_each(action, count, repeats=5):
    """Time an action that takes a step number.

    :param action: function of a step number.
    :param count: steps of one repeat.
    :param repeats: repeats.
    :return: microseconds for each step, median of the repeats.
    """
    times = []
    for repeat in range(repeats):
        start = time.perf_counter()
        for step in range(repeat * count, (repeat + 1) * count):
            action(step)
        times.append((time.perf_counter() - start) / count * MICROSECONDS)
    return statistics.median(times)


def measure_members(counts):
    """Membership of entry instances.

    :param counts: instances.
    :return: a list of :class:`Slope`.
    """
    rows = []
    for count in counts:
        runs = [membership.measure_heartbeat(count - 1) for _ in range(3)]
        beat, tick, view, size = (
            statistics.median(column) for column in zip(*runs, strict=True)
        )
        names = ("us per heartbeat", "us per tick", "us per view", "bytes each")
        for name, value in zip(names, (beat, tick, view, size), strict=True):
            rows.append(point("membership", count, "instances", name, value))
    return rows


def make_servers(names):
    """Build the policies that hold backend servers, filled.

    :param names: names of the servers.
    :return: the membership, the health and the routing policy.
    """
    known = BackendMembership(servers=names).reset()
    health, router = HealthPolicy().reset(), PredictiveRouter().reset()
    for name in names:
        known.observe(make_report(name, 1), 0.0)
        seen = ServerAppeared(
            server=name, service="m", incarnation="1", starts_slowly=False
        )
        health.observe(seen, 0.0)
        router.observe(LoadReport(server=name, version="v1", model="m"), 0.0)
    return known, health, router


def make_report(name, sequence):
    """Build a backend server's report for the membership."""
    return ServerReportReceived(
        server=name, incarnation="1", sequence=sequence, draining=False
    )


def measure_servers(counts):
    """Backend servers: reports, and the choice among all of them.

    :param counts: servers.
    :return: a list of :class:`Slope`.
    """
    rows = []
    draws = random.Random(SEED)
    for count in counts:
        names = tuple(f"server-{number}" for number in range(count))
        tracemalloc.start()
        known, health, router = make_servers(names)
        size = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        candidates = tuple(Candidate(server=name, version="v1") for name in names)

        def report(step, known=known, names=names, router=router):
            name = names[step % len(names)]
            known.observe(make_report(name, step + 2), 0.1)
            load = LoadReport(server=name, version="v1", model="m", running=step % 8)
            router.observe(load, 0.1)

        def usable(step, known=known, names=names):
            known.decide(UsableServersQuery(servers=names), 0.1)

        def healthy(step, health=health):
            health.decide(HealthQuery(service="m"), 0.1)

        def route(step, router=router, candidates=candidates):
            query = RouteQuery(
                account="a",
                model="m",
                version="v1",
                prompt_tokens=500,
                candidates=candidates,
                draw=draws.random(),
            )
            router.decide(query, 0.1)

        steps = max(10, 4000 // count)
        figures = {
            "us per report": time_each(report, 1000),
            "us per usable set": time_each(usable, steps),
            "us per health set": time_each(healthy, steps),
            "us per route": time_each(route, steps),
            "bytes each": size,
        }
        for name, value in figures.items():
            rows.append(point("backend servers", count, "servers", name, value))
    return rows


def measure_accounts(counts):
    """Admission with many client accounts.

    :param counts: accounts.
    :return: a list of :class:`Slope`.
    """
    rows = []
    for count in counts:
        tracemalloc.start()
        policy = EntryAdmission().reset()
        running = []
        draws = random.Random(SEED)

        def take(event, now, policy=policy, running=running):
            actions = policy.observe(event, now)
            running.extend(a.request_id for a in actions if isinstance(a, GrantSlot))

        def arrive(step, now=0.0, take=take, count=count, draws=draws):
            take(
                RequestArrived(
                    request_id=str(step),
                    account=f"account-{step % count}",
                    rank=Rank(step % 3),
                    service="model",
                    cost=draws.uniform(10.0, 2000.0),
                    deadline_at=1e9,
                ),
                now,
            )

        def turn(step, arrive=arrive, take=take, running=running, count=count):
            now = (step + 1) * 0.01
            arrive(count + QUEUED + SLOTS + step, now)
            take(RequestFinished(request_id=running.pop(0), cost=1000.0), now)

        take(CapacityChanged(service="model", slots=SLOTS), 0.0)
        for step in range(max(QUEUED, count) + SLOTS):
            arrive(step)
        size = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        spent = time_each(turn, ADMITTED // 5)
        ticked = time_each(lambda _, policy=policy: policy.tick(100.0), 50)
        figures = {
            "us per request": spent,
            "us per tick": ticked,
            "bytes each": size,
        }
        for name, value in figures.items():
            rows.append(point("admission", count, "accounts", name, value))
    return rows


def measure_sessions(counts):
    """The tables of sessions, filled to their capacity.

    :param counts: sessions.
    :return: a list of :class:`Slope`.
    """
    rows = []
    for count in counts:
        cost = sessions.measure_sessions(count)
        figures = {
            "MB": cost.memory / 1e6,
            "us per record": cost.record,
            "us per lookup": cost.lookup,
        }
        for name, value in figures.items():
            rows.append(point("session table", count, "sessions", name, value))
        for name, value in measure_store_index(count).items():
            rows.append(point("store index", count, "sessions", name, value))
    return rows


def measure_store_index(count):
    """Fill the index of stores with one committed prefix per session.

    :param count: sessions.
    :return: figures by name.
    """
    gc.collect()
    before = resident_bytes("self")
    index = StoreIndex(max_sessions=count).reset()

    start = time.perf_counter()
    for step in range(count):
        event = PrefixCommitted(
            store=f"store-{step % STORES}",
            tail=key(step),
            pieces=step % 40 + 1,
            session=key(step + count),
        )
        index.observe(event, step * 0.001)
    spent = (time.perf_counter() - start) / count * MICROSECONDS
    size = max(0, resident_bytes("self") - before)
    now = count * 0.001

    def look(step):
        index.decide(StoredSessionQuery(session=key(step * 7 % count + count)), now)

    return {
        "MB": size / 1e6,
        "us per record": spent,
        "us per lookup": time_each(look, 1000),
    }


def measure_cache(counts):
    """The index of the engines' caches.

    :param counts: pieces of one server.
    :return: a list of :class:`Slope`.
    """
    rows = []
    for count in counts:
        tracemalloc.start()
        index = PrefixIndex(max_pieces=count).reset()
        listing = CacheListing(server="server-1", incarnation="1", sequence=0, keys=())
        index.observe(listing, 0.0)

        def store(step, index=index):
            event = CacheEvent(
                server="server-1",
                incarnation="1",
                sequence=step + 1,
                stored=(key(step),),
                removed=(),
            )
            index.observe(event, step * 0.01)

        for step in range(count):
            store(step)
        size = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        spent = time_each(lambda step, n=count: store(n + step), 2000)
        rows.append(point("cache index", count, "pieces", "us per event", spent))
        rows.append(point("cache index", count, "pieces", "bytes each", size))
    return rows


def measure_configuration(sizes):
    """Records of the configuration.

    :param sizes: pairs of servers and accounts.
    :return: a list of :class:`Slope`.
    """
    rows = []
    for servers, accounts in sizes:
        row = configuration.measure_size(servers, accounts, 1, 50)
        what = f"servers, {accounts} accounts"
        figures = {"record bytes": row.record_bytes, "ms per record": row.fold_ms}
        for name, value in figures.items():
            rows.append(point("configuration", servers, what, name, value))
    return rows


def measure_once():
    """Keys of non-idempotent calls.

    :return: a list of :class:`Slope`.
    """
    costs = measure_costs()
    figures = {
        "us per purchase": costs.microseconds,
        "bytes at its home": costs.home_bytes,
        "bytes in each reader": costs.reader_bytes,
        "bytes appended": costs.record_bytes,
    }
    return [point("once-only", 5000, "keys", n, v) for n, v in figures.items()]


def measure_policies(short=False):
    """Measure every policy.

    :param short: whether to leave the larger sizes out.
    :return: a list of :class:`Slope`.
    """

    def sizes(counts):
        return counts[:2] if short else counts

    rows = measure_members(sizes(MEMBERS))
    rows += measure_servers(sizes(SERVERS))
    rows += measure_accounts(sizes(ACCOUNTS))
    rows += measure_sessions(SESSIONS[:1] if short else SESSIONS)
    rows += measure_cache(PIECES[:1] if short else PIECES)
    rows += measure_configuration(sizes(CONFIG_SIZES)[:1] if short else CONFIG_SIZES)
    rows += measure_once()
    return rows
