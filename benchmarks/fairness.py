"""Fairness over client accounts, and one common limit over seven entries.

Eight small and two large client accounts; the large ask ten times their share, each
through entries of its own, the small through two entries each. A small account's
service is compared with what the same requests get when it is alone.
"""

from random import Random

from benchmarks._load import (
    DEADLINES,
    MEAN_TOKENS,
    SERVICE,
    EntriesLoop,
    make_arrivals,
)
from benchmarks._report import Aim, Figures, parse_options, publish_figures
from benchmarks.floods import (
    CAPACITY,
    ENTRIES,
    SLOTS,
    during,
    goodput,
)
from wasabistage.admission import (
    AccountsChanged,
    Allow,
    EntriesChanged,
    EntryAdmission,
    EqualShareLimiter,
    FirstComeFirstServed,
    GrantSlot,
    RankedFairQueue,
    RequestArrived,
    RequestFinished,
    SendReport,
    ShareLimiter,
    SlotShareQuery,
)
from wasabistage.base import Rank
from wasabistage.declarations import ClientAccount

SMALL = tuple(f"small-{n}" for n in range(8))
LARGE = ("large-0", "large-1")
SMALL_LOAD = 0.08
LARGE_LOAD = 1.0
LARGE_ENTRIES = {"large-0": (0, 1, 2, 3), "large-1": (3, 4, 5, 6)}
END = 45.0
SETTLED = 5.0
LIMIT = 5000.0
LIMIT_START = 10.0
LIMIT_END = 40.0
LIMIT_TOKENS = 50.0
MOVE_AT = 20.0
MOVE_WINDOW = 10.0
CUT_OFF = (5, 6)
POLICIES = {
    "fair, gossiped shares": (ShareLimiter, RankedFairQueue),
    "fair, equal shares": (EqualShareLimiter, RankedFairQueue),
    "first come": (EqualShareLimiter, FirstComeFirstServed),
}


def make_load(seed, small=SMALL, large=LARGE):
    """Draw the load of some accounts; an account's own is always the same.

    :param seed: seed.
    :param small: names of the small accounts that ask.
    :param large: names of the large accounts that ask.
    :return: a list of arrivals in order of time.
    """
    arrivals = []
    for name in (*small, *large):
        number = int(name[-1])
        is_small = name in SMALL
        entries = (number % ENTRIES, (number + 3) % ENTRIES)
        arrivals += make_arrivals(
            Random(f"{seed} {name}"),
            rate=(SMALL_LOAD if is_small else LARGE_LOAD) * CAPACITY,
            start=0.0,
            end=END,
            rank=Rank.INTERACTIVE,
            accounts={name: 1.0},
            entries=entries if is_small else LARGE_ENTRIES[name],
        )
    return sorted(arrivals, key=lambda arrival: arrival.at)


def play(make_limiter, make_queue, arrivals):
    """Play a load.

    :param make_limiter: class of the limiter.
    :param make_queue: class of the queue.
    :param arrivals: the load.
    :return: a list of outcomes.
    """
    admissions = [
        EntryAdmission(
            limiter=make_limiter(entry=f"entry-{n}"), queue=make_queue()
        ).reset()
        for n in range(ENTRIES)
    ]
    loop = EntriesLoop(admissions, SLOTS)
    return loop.run(arrivals, END + DEADLINES[Rank.BACKGROUND])


def served(outcomes, account):
    """Return the tokens that an account was served in time.

    :param outcomes: a list of outcomes.
    :param account: name of the account.
    :return: tokens.
    """
    settled = during(outcomes, SETTLED, END)
    return sum(
        o.arrival.tokens for o in settled if o.arrival.account == account and o.good
    )


def slots_in_use(outcomes):
    """Return the part of all slot time that was used.

    :param outcomes: a list of outcomes.
    :return: part, 0 to 1.
    """
    used = 0.0
    for outcome in outcomes:
        if outcome.granted_at is not None:
            start = max(SETTLED, outcome.granted_at)
            used += max(0.0, min(END, outcome.end) - start)
    return used / (SLOTS * (END - SETTLED))


def measure_fairness(figures, seed):
    """Add the figures of small accounts beside large ones.

    :param figures: a :class:`Figures`.
    :param seed: seed.
    """
    for policy, (make_limiter, make_queue) in POLICIES.items():
        together = play(make_limiter, make_queue, make_load(seed))
        parts = []
        for name in SMALL:
            alone = play(make_limiter, make_queue, make_load(seed, (name,), ()))
            parts.append(served(together, name) / served(alone, name))
        scenario = "2 large at 10x"
        aim = Aim(at_least=0.95)
        figures.add(scenario, policy, "worst small / alone", min(parts), aim)
        figures.add(scenario, policy, "mean small / alone", sum(parts) / len(parts))
        large = sum(served(together, name) for name in LARGE)
        capacity = CAPACITY * MEAN_TOKENS * (END - SETTLED)
        figures.add(scenario, policy, "served to large / capacity", large / capacity)
        figures.add(scenario, policy, "slots in use", slots_in_use(together))
        idle = play(make_limiter, make_queue, make_load(seed, (), LARGE[:1]))
        lent = slots_in_use(idle)
        aim = Aim(at_least=0.9)
        figures.add("1 large alone at 10x", policy, "slots in use", lent, aim)
        in_time = goodput(during(idle, SETTLED, END))
        figures.add("1 large alone at 10x", policy, "goodput", in_time)


class LimitLoop:
    """Plays one account's requests against the common limit of all entries.

    :param limiters: a limiter for each entry, reset.
    :param rates: tokens a second asked for at each entry.
    :param cut: numbers of the entries that no report reaches or leaves.
    :param moved: tokens a second asked for from ``MOVE_AT`` on, when the cut begins;
        ``None`` for a cut from the start and steady demand.
    """

    step = 0.01

    def __init__(self, limiters, rates, cut, moved=None):
        self.limiters = limiters
        self.rates = rates
        self.cut = cut
        self.moved = moved
        self.count = 0
        self.passed = []

    def run(self, random):
        """Play.

        :param random: a seeded :class:`random.Random`.
        :return: tokens a second that passed between ``LIMIT_START`` and the end.
        """
        account = ClientAccount(name="account", rate=LIMIT)
        names = {limiter.entry: 1 for limiter in self.limiters}
        for limiter in self.limiters:
            limiter.observe(EntriesChanged(members=names), 0.0)
            limiter.observe(AccountsChanged(accounts={"account": account}), 0.0)
        for step in range(round(LIMIT_END / self.step)):
            now = step * self.step
            if self.moved and now >= MOVE_AT:
                self.rates = self.moved
            self.passed.append(self.one_step(random, now, step % 10 == 0))
        return self.passed_between(LIMIT_START, LIMIT_END)

    def passed_between(self, start, end):
        """Return the rate that passed in a span of time.

        :param start: start of the span, in seconds.
        :param end: end of the span, in seconds.
        :return: tokens a second.
        """
        span = self.passed[round(start / self.step) : round(end / self.step)]
        return sum(span) / (end - start)

    def is_cut(self, number, now):
        """Tell whether an entry is cut off now."""
        return number in self.cut and (self.moved is None or now >= MOVE_AT)

    def one_step(self, random, now, ticks):
        """Play one step of time.

        :return: tokens that passed.
        """
        passed = 0.0
        for number, limiter in enumerate(self.limiters):
            if ticks:
                self.tick(number, limiter, now)
            chance = self.rates[number] * self.step / LIMIT_TOKENS
            while random.random() < chance:
                passed += self.ask(limiter, random, now)
                chance -= 1.0
        return passed

    def tick(self, number, limiter, now):
        """Tick a limiter and carry its report to those that it reaches."""
        for action in limiter.tick(now):
            if not isinstance(action, SendReport) or self.is_cut(number, now):
                continue
            for other, peer in enumerate(self.limiters):
                if other != number and not self.is_cut(other, now):
                    peer.observe(action.report, now)

    def ask(self, limiter, random, now):
        """Send a request with a heavy-tailed cost that ends at once.

        :return: tokens that passed.
        """
        self.count += 1
        tokens = LIMIT_TOKENS * random.paretovariate(2.5) * 0.6
        request_id = str(self.count)
        event = RequestArrived(
            request_id=request_id,
            account="account",
            rank=Rank.INTERACTIVE,
            service=SERVICE,
            cost=tokens,
            deadline_at=now + 5.0,
        )
        if not isinstance(limiter.observe(event, now)[0], Allow):
            return 0.0
        limiter.observe(GrantSlot(request_id=request_id, waited=0.0), now)
        limiter.observe(RequestFinished(request_id=request_id, cost=tokens), now)
        return tokens


LIMIT_SCENARIOS = {
    "limit, even demand": ([2 * LIMIT / ENTRIES] * ENTRIES, ()),
    "limit, one entry asked": ([2 * LIMIT] + [0.0] * (ENTRIES - 1), ()),
    "limit, two entries asked": ([3 * LIMIT, LIMIT] + [0.0] * (ENTRIES - 2), ()),
    "limit, even demand, two cut off": ([2 * LIMIT / ENTRIES] * ENTRIES, CUT_OFF),
    "limit, all at the cut off": ([0.0] * 5 + [LIMIT, LIMIT], CUT_OFF),
    "limit, skewed, two cut off": (
        [2 * LIMIT, LIMIT, 0.0, 0.0, 0.0, LIMIT, LIMIT],
        CUT_OFF,
    ),
    "limit, one entry asked, two cut off": ([2 * LIMIT] + [0.0] * 6, CUT_OFF),
}


def measure_limit(figures, seed):
    """Add how the common limit is held and used.

    :param figures: a :class:`Figures`.
    :param seed: seed.
    """
    for scenario, (rates, cut) in LIMIT_SCENARIOS.items():
        for policy, make in (
            ("gossip", ShareLimiter),
            ("equal parts", EqualShareLimiter),
        ):
            limiters = [make(entry=f"entry-{n}").reset() for n in range(ENTRIES)]
            passed = LimitLoop(limiters, rates, cut).run(Random(f"{seed} {scenario}"))
            name = "passed / limit"
            figures.add(scenario, policy, name, passed / LIMIT, Aim(at_most=1.1))
            aim = Aim(at_least=0.9)
            figures.add(scenario, policy, f"{name}, used", passed / LIMIT, aim)


def measure_move(figures, seed):
    """Add how the limit is held while demand moves, with and without a cut.

    :param figures: a :class:`Figures`.
    :param seed: seed.
    """
    before = [LIMIT] * 5 + [0.0, 0.0]
    after = [LIMIT] * 5 + [2 * LIMIT, 2 * LIMIT]
    for scenario, cut in (("demand moves", ()), ("demand moves at a cut", CUT_OFF)):
        limiters = [ShareLimiter(entry=f"entry-{n}").reset() for n in range(ENTRIES)]
        loop = LimitLoop(limiters, before, cut, after)
        loop.run(Random(f"{seed} {scenario}"))
        worst = max(
            loop.passed_between(MOVE_AT + offset, MOVE_AT + offset + 1.0)
            for offset in range(int(MOVE_WINDOW))
        )
        window = loop.passed_between(MOVE_AT, MOVE_AT + MOVE_WINDOW)
        name = "passed / limit, 10 s after"
        figures.add(scenario, "gossip", name, window / LIMIT, Aim(at_most=1.1))
        figures.add(scenario, "gossip", "passed / limit, worst 1 s", worst / LIMIT)


def measure_slots(figures, seed):
    """Add how far the entries' slot shares together differ from the slots.

    :param figures: a :class:`Figures`.
    :param seed: seed.
    """
    limiters = [ShareLimiter(entry=f"entry-{n}").reset() for n in range(ENTRIES)]
    loop = LimitLoop(limiters, [LIMIT / (n + 1) for n in range(ENTRIES)], ())
    loop.run(Random(f"{seed} slots"))
    query = SlotShareQuery(service=SERVICE, slots=SLOTS)
    shares = [limiter.decide(query, LIMIT_END).slots for limiter in limiters]
    aim = Aim(at_most=1.1)
    figures.add("slot shares", "gossip", "sum / slots", sum(shares) / SLOTS, aim)


def run(seed, repeats):
    """Play every scenario with every policy.

    :param seed: seed of the first repeat.
    :param repeats: number of repeats.
    :return: a :class:`Figures`.
    """
    figures = Figures()
    for repeat in range(seed, seed + repeats):
        measure_fairness(figures, repeat)
        measure_limit(figures, repeat)
        measure_move(figures, repeat)
        measure_slots(figures, repeat)
    return figures


def main(argv=None):
    """Run the benchmark.

    :param argv: command-line arguments; ``None`` for those of the process.
    """
    options = parse_options(__doc__.splitlines()[0], argv)
    publish_figures("fairness", run(options.seed, options.repeats), options)


if __name__ == "__main__":
    main()
