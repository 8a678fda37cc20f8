"""The policy benchmarks as one suite: each one's figures with their aims."""

from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from benchmarks import (
    backends,
    configuration,
    fairness,
    floods,
    membership,
    once,
    parts,
    retries,
    returning,
    rollout,
    sessions,
)
from benchmarks._report import Aim, Figures
from wasabistage.membership import MembershipPolicy

MIB = 1 << 20
SHORT_SECONDS = 60.0
SHORT_SCHEDULES = 60
SCHEDULES = 1000
WORKERS = 2
MAJORITY = backends.SERVERS // 2 + 1
PLAIN = "no store, predictive"
OWN_RETURNING = "predictive + export + staging"
DEGRADED = ("half the store gone", "link at a tenth")


@dataclass(frozen=True, kw_only=True)
class Benchmark:
    """One benchmark of the suite.

    :param name: short name, also of its files.
    :param title: what it asks, one clause.
    :param collect: function of the seed, the repeats and whether it is the short
        form; returns :class:`benchmarks._report.Figures`.
    :param own: names of the policies that are this project's defaults; the others
        are baselines, whose misses are expected.
    """

    name: str
    title: str
    collect: Callable
    own: tuple[str, ...]


def collect_floods(seed, repeats, short):
    """Play the floods; see :class:`Benchmark`."""
    return floods.run(seed, repeats)


def collect_fairness(seed, repeats, short):
    """Play the fairness cases; see :class:`Benchmark`."""
    return fairness.run(seed, repeats)


def collect_retries(seed, repeats, short):
    """Play the retry cases; see :class:`Benchmark`."""
    return retries.run(seed, repeats)


def collect_returning(seed, repeats, short):
    """Play the returning prompts; see :class:`Benchmark`."""
    figures = Figures()
    seconds = SHORT_SECONDS if short else returning.RUN_SECONDS
    warm = returning.WARM_SECONDS * seconds / returning.RUN_SECONDS
    for repeat in range(seed, seed + repeats):
        runs = {
            arm.name.strip(): returning.run_arm(arm, repeat, seconds, warm)
            for arm in returning.ARMS
        }
        for name, run in runs.items():
            add_returning(figures, name, run, runs[PLAIN])
    return figures


def add_returning(figures, name, run, plain):
    """Add one arm's figures, beside those of plain recompute.

    :param figures: a :class:`benchmarks._report.Figures`.
    :param name: name of the arm.
    :param run: its :class:`benchmarks.returning.Figures`.
    :param plain: those of the arm without stores on the same arrivals.
    """
    scenario = name if name in DEGRADED else "stores hold the histories"
    policy = OWN_RETURNING if name in DEGRADED else name
    whole = not name.startswith(("no store", "link at", "half"))
    share = Aim(at_most=0.1) if whole else Aim()
    ratio = Aim(at_most=0.25 if whole else 1.1)
    behind = "urgent fetches behind a background one"

    def add(figure, value, aim):
        figures.add(scenario, policy, figure, value, aim)

    add("recomputed share of prompt work", run.recompute, share)
    add("first token p95 (s)", run.p95, Aim())
    add("first token p95 / plain recompute", run.p95 / plain.p95, ratio)
    add(behind, run.behind, Aim(at_most=0))
    add("link use, fetch + stage", run.fetch_link + run.stage_link, Aim())
    add("link use, export", run.export_link, Aim())


def collect_backends(seed, repeats, short):
    """Play the faults of backend servers; see :class:`Benchmark`."""
    figures = Figures()
    seconds = SHORT_SECONDS if short else backends.SECONDS
    for repeat in range(seed, seed + repeats):
        for scenario in backends.SCENARIOS:
            for arm in backends.ARMS:
                run = backends.Run(arm, scenario, repeat, seconds).play()
                add_backends(figures, scenario, arm.name, run)
    return figures


def add_backends(figures, scenario, policy, run):
    """Add the figures of one run with faults of backend servers."""

    def add(figure, value, aim=None):
        figures.add(scenario.name, policy, figure, value, aim or Aim())

    storm = Aim(at_most=1.1) if scenario.name == "two of six fail" else None
    add("served", run.served)
    add("attempts per request", run.attempts, storm)
    add("first byte p95 (s)", run.p95)
    add("busiest over mean", run.spread)
    add("share of work to the bad one", run.bad_share)
    add("least in use of 6", run.min_usable, Aim(at_least=MAJORITY))
    if scenario.leaving:
        add("sent 3 s after the first sign", run.late_work, Aim(at_most=0))


def collect_rollout(seed, repeats, short):
    """Play weight rollouts; see :class:`Benchmark`."""
    figures = Figures()
    kinds = {"two, declared only": rollout.RolloutPolicy}
    kinds["two, old one serves too"] = rollout.partial(
        rollout.RolloutPolicy, serve_old=True
    )
    if not short:
        kinds["one by one, declared only"] = rollout.OneByOne
        kinds["all at once, declared"] = rollout.AllAtOnce
    seconds = range(int(rollout.PUBLISH_AT), int(rollout.PUBLISH_AT + rollout.WINDOW))
    for repeat in range(seed, seed + repeats):
        for name, kind in kinds.items():
            base, _, _ = rollout.run(kind, repeat, publish=False)
            served, took, loads = rollout.run(kind, repeat)
            total = sum(base.get(second, 0) for second in seconds)
            lost = 1 - sum(served.get(second, 0) for second in seconds) / total
            scenario = "new weights under 60% load"
            figures.add(scenario, name, "goodput lost", lost, Aim(at_most=0.05))
            figures.add(scenario, name, "loads at once", loads, Aim(at_most=2))
            figures.add(scenario, name, "seconds until done", took)
    return figures


def collect_membership(seed, repeats, short):
    """Play the loss and the lateness of heartbeats; see :class:`Benchmark`."""
    figures = Figures()
    joined = "list and heartbeats"
    kinds = {joined: MembershipPolicy}
    kinds["heartbeats only"] = membership.HeartbeatOnlyMembership
    until = 30.0 if short else 45.0
    for repeat in range(seed, seed + repeats):
        times, _ = membership.simulate(MembershipPolicy, repeat, until=until)
        figures.add("one of 7 dies", joined, "detected after (s)", median(times))
        for name, kind in kinds.items():
            _, wrong = membership.simulate(
                kind, repeat, late=0.2, dead=False, until=until
            )
            figures.add("a fifth late", name, "wrongly gone, share", wrong)
        for count in membership.MEMBER_COUNTS:
            beat, tick, _, size = membership.measure_heartbeat(count)
            scenario = f"{count} peers"
            figures.add(scenario, joined, "us per heartbeat", beat)
            figures.add(scenario, joined, "us per tick", tick)
            figures.add(scenario, joined, "bytes per peer", size)
    return figures


def collect_sessions(seed, repeats, short):
    """Time the session table; see :class:`Benchmark`."""
    figures = Figures()
    capacities = sessions.CAPACITIES[:1] if short else sessions.CAPACITIES
    for _ in range(repeats):
        for capacity in capacities:
            row = sessions.measure_sessions(capacity)
            scenario = f"{capacity:,} sessions"
            names = ("MB", "us per record", "us per lookup")
            aims = (Aim(at_most=256.0), Aim(), Aim())
            values = (row.memory / 1e6, row.record, row.lookup)
            for name, value, aim in zip(names, values, aims, strict=True):
                figures.add(scenario, "compact table", name, value, aim)
    return figures


def collect_configuration(seed, repeats, short):
    """Time the folding and the spreading of versions; see :class:`Benchmark`."""
    figures = Figures()
    sizes = configuration.SHORT_SIZES if short else configuration.SIZES
    for servers, accounts in sizes:
        for _ in range(repeats):
            row = configuration.measure_size(servers, accounts, 1, 50)
            scenario = f"{servers} servers, {accounts} accounts"
            figures.add(scenario, "fold", "record bytes", row.record_bytes)
            figures.add(scenario, "fold", "ms per record", row.fold_ms)
            figures.add(scenario, "fold", "core share", row.core_share)
    trials = 100 if short else 1000
    for entries in configuration.FLEETS[:1] if short else configuration.FLEETS:
        for kind in (configuration.ConfigPeerView, configuration.EveryonePolls):
            row = configuration.measure_spread(kind, entries, trials)
            scenario = f"{entries} entries"
            aim = Aim(at_most=19.0)
            figures.add(scenario, kind.__name__, "first read, p99 (s)", row.p99_s, aim)
            figures.add(scenario, kind.__name__, "log reads/s", row.reads_a_second)
    return figures


def collect_once(seed, repeats, short):
    """Explore schedules of non-idempotent calls; see :class:`Benchmark`."""
    figures = Figures()
    schedules = SHORT_SCHEDULES if short else SCHEDULES
    names = {variant.name for variant in once.VARIANTS}
    for repeat in range(seed, seed + repeats):
        plan = once.plan(schedules, repeat)
        jobs = [job for job in plan if job.variant in names]
        cells, _ = once.run_all(jobs, WORKERS)
        sums = {}
        for (_, name), cell in cells.items():
            sums.setdefault(name, []).append(cell)
        for variant in once.VARIANTS:
            add_once(figures, variant.name, sums.get(variant.name, []))
    return figures


def add_once(figures, policy, cells):
    """Add the sums over every fault of one variant."""
    scenario = "every fault, alone and in pairs"
    zero = Aim(at_most=0)
    figures.add(scenario, policy, "schedules", sum(c.schedules for c in cells))
    figures.add(scenario, policy, "doubled", sum(c.doubled for c in cells), zero)
    name = "ran after 'not run'"
    figures.add(scenario, policy, name, sum(c.false_no for c in cells), zero)
    ends = sum(sum(cell.ends.values()) for cell in cells) or 1
    for end in once.ENDS:
        share = sum(cell.ends[end] for cell in cells) / ends
        figures.add(scenario, policy, f"{end}, share", share)


def collect_parts(seed, repeats, short):
    """Play prompts that share parts; see :class:`Benchmark`."""
    return parts.run(seed, repeats, parts.SCENARIOS[:1] if short else parts.SCENARIOS)


SUITE = (
    Benchmark(
        name="returning",
        title="prompts that return after the engines' memory turned over",
        collect=collect_returning,
        own=(OWN_RETURNING,),
    ),
    Benchmark(
        name="parts",
        title="prompts that share parts, before engines and cache stores",
        collect=collect_parts,
        own=("parts and gate",),
    ),
    Benchmark(
        name="floods",
        title="ranks under floods",
        collect=collect_floods,
        own=("ranked fair",),
    ),
    Benchmark(
        name="fairness",
        title="small and large client accounts, and common limits",
        collect=collect_fairness,
        own=("fair, gossiped shares", "gossip"),
    ),
    Benchmark(
        name="retries",
        title="retries under faults and overload",
        collect=collect_retries,
        own=("budgeted",),
    ),
    Benchmark(
        name="backends",
        title="lagging, slow, failing, flapping, new and leaving backend servers",
        collect=collect_backends,
        own=("predictive + health",),
    ),
    Benchmark(
        name="rollout",
        title="new weights through the rate-limited store",
        collect=collect_rollout,
        own=("two, declared only", "two, old one serves too"),
    ),
    Benchmark(
        name="membership",
        title="live entries from lagging and late evidence",
        collect=collect_membership,
        own=("list and heartbeats",),
    ),
    Benchmark(
        name="sessions",
        title="the table of remembered sessions",
        collect=collect_sessions,
        own=("compact table",),
    ),
    Benchmark(
        name="configuration",
        title="size, folding and spreading of the configuration",
        collect=collect_configuration,
        own=("fold", "ConfigPeerView"),
    ),
    Benchmark(
        name="once",
        title="non-idempotent calls under explored schedules",
        collect=collect_once,
        own=("tickets", "log_first"),
    ),
)
