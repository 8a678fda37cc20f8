"""Floods of one rank: what the others keep, how early work is refused, recovery.

Seven entry instances before 48 slots; open-loop arrivals with heavy-tailed gaps and
lengths. Each policy meets the same arrivals.
"""

from dataclasses import replace
from random import Random
from statistics import quantiles
from time import perf_counter

from benchmarks._load import (
    DEADLINES,
    MEAN_TOKENS,
    SLOT_SECONDS_PER_TOKEN,
    EntriesLoop,
    account_sizes,
    make_arrivals,
)
from benchmarks._report import Aim, Figures, parse_options, publish_figures
from wasabistage.admission import (
    CapacityChanged,
    EntryAdmission,
    FirstComeFirstServed,
    GrantSlot,
    RankedFairQueue,
    RequestArrived,
    RequestFinished,
    ShareLimiter,
    StrictPriority,
)
from wasabistage.base import Rank

ENTRIES = 7
SLOTS = 48
CAPACITY = SLOTS / (MEAN_TOKENS * SLOT_SECONDS_PER_TOKEN)
USUAL_LOAD = {Rank.URGENT: 0.1, Rank.INTERACTIVE: 0.4, Rank.BACKGROUND: 0.2}
FLOORS = {Rank.URGENT: 0.5, Rank.INTERACTIVE: 0.3, Rank.BACKGROUND: 0.05}
FLOOD_START = 20.0
FLOOD_END = 50.0
END = 70.0
SETTLED = 5.0
EARLY = 0.2
RECOVERED = 0.95
WINDOW = 2.0
LENGTHENING = 4
COST_ACCOUNTS = 750
COST_QUEUED = 1000
COST_REQUESTS = 5000
POLICIES = {
    "ranked fair": lambda: RankedFairQueue(rank_floors=FLOORS),
    "ranked, headroom 1": lambda: RankedFairQueue(rank_floors=FLOORS, headroom=1.0),
    "strict priority": StrictPriority,
    "first come": FirstComeFirstServed,
}


def make_load(seed, flood_rank=None, flood=0.0):
    """Draw the usual load and a flood on top of it.

    :param seed: seed.
    :param flood_rank: rank of the flood, or ``None`` for none.
    :param flood: its rate relative to capacity.
    :return: a list of arrivals in order of time.
    """
    accounts = account_sizes(10)
    arrivals = []
    for rank, load in USUAL_LOAD.items():
        arrivals += make_arrivals(
            Random(f"{seed} {rank}"),
            rate=load * CAPACITY,
            start=0.0,
            end=END,
            rank=rank,
            accounts=accounts,
            entries=range(ENTRIES),
        )
    if flood_rank is not None:
        arrivals += make_arrivals(
            Random(f"{seed} flood"),
            rate=flood * CAPACITY,
            start=FLOOD_START,
            end=FLOOD_END,
            rank=flood_rank,
            accounts=accounts,
            entries=range(ENTRIES),
        )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def lengthen(arrivals, seed):
    """Make background work longer and rarer, of the same total cost.

    :param arrivals: a list of arrivals.
    :param seed: seed.
    :return: a list of arrivals.
    """
    random = Random(f"{seed} lengthen")
    longer = []
    for arrival in arrivals:
        if arrival.rank is not Rank.BACKGROUND:
            longer.append(arrival)
        elif random.random() < 1 / LENGTHENING:
            tokens = arrival.tokens * LENGTHENING
            longer.append(replace(arrival, tokens=tokens))
    return longer


def play(make_queue, arrivals):
    """Play a load.

    :param make_queue: function that builds an admission policy.
    :param arrivals: the load.
    :return: a list of outcomes.
    """
    admissions = [
        EntryAdmission(
            limiter=ShareLimiter(entry=f"entry-{n}"), queue=make_queue()
        ).reset()
        for n in range(ENTRIES)
    ]
    return EntriesLoop(admissions, SLOTS).run(arrivals, END + 15.0)


def during(outcomes, start, end, rank=None):
    """Select outcomes by time of arrival and rank.

    :param outcomes: a list of outcomes.
    :param start: first time, in seconds.
    :param end: time after the last, in seconds.
    :param rank: rank, or ``None`` for all.
    :return: the selected outcomes.
    """
    return [
        outcome
        for outcome in outcomes
        if start <= outcome.arrival.at < end
        and (rank is None or outcome.arrival.rank is rank)
    ]


def goodput(outcomes):
    """Return the part of the outcomes whose first byte came in time.

    :param outcomes: a list of outcomes.
    :return: part, 0 to 1.
    """
    return sum(outcome.good for outcome in outcomes) / max(1, len(outcomes))


def first_byte_p95(outcomes):
    """Return the 95th percentile of the time to first byte.

    :param outcomes: a list of outcomes; one not served counts with its deadline.
    :return: seconds.
    """
    times = [o.first_byte or DEADLINES[o.arrival.rank] for o in outcomes]
    return quantiles(times, n=20)[-1]


def slot_share(outcomes, rank, start, end):
    """Return the part of all slot time that a rank used in a span of time.

    :param outcomes: a list of outcomes.
    :param rank: the rank.
    :param start: start of the span, in seconds.
    :param end: end of the span, in seconds.
    :return: part, 0 to 1.
    """
    used = 0.0
    for outcome in outcomes:
        if outcome.arrival.rank is rank and outcome.granted_at is not None:
            used += max(0.0, min(end, outcome.end) - max(start, outcome.granted_at))
    return used / (SLOTS * (end - start))


def early_refusals(outcomes):
    """Return the part of the refusals that came before a fifth of the deadline.

    :param outcomes: a list of outcomes.
    :return: part, 0 to 1.
    """
    refused = [o for o in outcomes if o.refused_at is not None]
    early = (
        o.refused_at - o.arrival.at <= EARLY * DEADLINES[o.arrival.rank]
        for o in refused
    )
    return sum(early) / max(1, len(refused))


def recovery_time(outcomes):
    """Return when goodput is back for good after the flood.

    :param outcomes: a list of outcomes.
    :return: seconds after the flood's end.
    """
    step = 0.5
    recovered = FLOOD_END
    at = FLOOD_END
    while at + WINDOW <= END:
        if goodput(during(outcomes, at, at + WINDOW)) < RECOVERED:
            recovered = at + step
        at += step
    return recovered - FLOOD_END


def measure_flood(figures, scenario, policy, outcomes, calm_p95):
    """Add the figures that both floods share.

    :param figures: a :class:`Figures`.
    :param scenario: its name.
    :param policy: name of the policy.
    :param outcomes: the outcomes.
    :param calm_p95: first-byte p95 of urgent work without a flood, in seconds.
    """
    start = FLOOD_START + SETTLED
    flood = during(outcomes, start, FLOOD_END)
    figures.add(
        scenario,
        policy,
        "refused before 1/5 of deadline",
        early_refusals(flood),
        Aim(at_least=0.99),
    )
    figures.add(
        scenario,
        policy,
        "recovery to 95% (s)",
        recovery_time(outcomes),
        Aim(at_most=5.0),
    )
    for rank in Rank:
        part = goodput(during(flood, start, FLOOD_END, rank))
        is_aim = scenario.startswith("background") and rank is Rank.URGENT
        aim = Aim(at_least=0.99) if is_aim else Aim()
        figures.add(scenario, policy, f"goodput {rank.name.lower()}", part, aim)
    urgent = first_byte_p95(during(flood, start, FLOOD_END, Rank.URGENT))
    aim = Aim(at_most=1.2) if scenario.startswith("background") else Aim()
    figures.add(
        scenario, policy, "urgent first byte p95 / calm", urgent / calm_p95, aim
    )
    in_use = sum(slot_share(outcomes, r, start, FLOOD_END) for r in Rank)
    figures.add(scenario, policy, "slots in use", in_use)


def measure_floors(figures, scenario, policy, outcomes):
    """Add what the ranks other than urgent keep of their floors.

    :param figures: a :class:`Figures`.
    :param scenario: its name.
    :param policy: name of the policy.
    :param outcomes: the outcomes.
    """
    for rank in (Rank.INTERACTIVE, Rank.BACKGROUND):
        share = slot_share(outcomes, rank, FLOOD_START + SETTLED, FLOOD_END)
        name = f"{rank.name.lower()} share / floor"
        figures.add(scenario, policy, name, share / FLOORS[rank], Aim(at_least=0.9))


def decision_cost(make_queue, seed):
    """Time the decisions of a request with a full queue of many accounts.

    :param make_queue: function that builds an admission policy.
    :param seed: seed.
    :return: microseconds for one arrival, grant and end.
    """
    random = Random(seed)
    policy = EntryAdmission(queue=make_queue()).reset()
    running = []

    def take(event, now):
        actions = policy.observe(event, now)
        running.extend(a.request_id for a in actions if isinstance(a, GrantSlot))

    def arrive(number, now):
        account = f"account-{random.randrange(COST_ACCOUNTS)}"
        event = RequestArrived(
            request_id=str(number),
            account=account,
            rank=Rank(number % 3),
            service="model",
            cost=random.uniform(10.0, 2000.0),
            deadline_at=1e9,
        )
        take(event, now)

    take(CapacityChanged(service="model", slots=SLOTS), 0.0)
    for number in range(COST_QUEUED + SLOTS):
        arrive(number, 0.0)
    start = perf_counter()
    for step in range(COST_REQUESTS):
        now = (step + 1) / CAPACITY
        arrive(COST_QUEUED + SLOTS + step, now)
        take(RequestFinished(request_id=running.pop(0), cost=1000.0), now)
    return (perf_counter() - start) / COST_REQUESTS * 1e6


def run(seed, repeats):
    """Play every scenario with every policy.

    :param seed: seed of the first repeat.
    :param repeats: number of repeats.
    :return: a :class:`Figures`.
    """
    figures = Figures()
    for repeat in range(seed, seed + repeats):
        calm_load = make_load(repeat)
        background = make_load(repeat, Rank.BACKGROUND, 10.0)
        urgent = make_load(repeat, Rank.URGENT, 5.0)
        for policy, make_queue in POLICIES.items():
            calm = play(make_queue, calm_load)
            for rank in Rank:
                name = f"goodput {rank.name.lower()}"
                part = goodput(during(calm, SETTLED, END, rank))
                figures.add("calm 0.7x", policy, name, part)
            p95 = first_byte_p95(during(calm, SETTLED, END, Rank.URGENT))
            figures.add("calm 0.7x", policy, "urgent first byte p95 (s)", p95)
            outcomes = play(make_queue, background)
            measure_flood(figures, "background 10x", policy, outcomes, p95)
            outcomes = play(make_queue, lengthen(background, repeat))
            scenario = "background 10x, 4x as long"
            measure_flood(figures, scenario, policy, outcomes, p95)
            outcomes = play(make_queue, urgent)
            measure_flood(figures, "urgent 5x", policy, outcomes, p95)
            measure_floors(figures, "urgent 5x", policy, outcomes)
            cost = decision_cost(make_queue, repeat)
            name = "arrive, grant, end (us)"
            figures.add("1,000 queued, 750 accounts", policy, name, cost)
    return figures


def main(argv=None):
    """Run the benchmark.

    :param argv: command-line arguments; ``None`` for those of the process.
    """
    options = parse_options(__doc__.splitlines()[0], argv)
    publish_figures("floods", run(options.seed, options.repeats), options)


if __name__ == "__main__":
    main()
