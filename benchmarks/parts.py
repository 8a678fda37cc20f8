"""Prompts that share parts, before engines and stores: what map and gate gain.

Seven entries hear late what six engines and two stores keep. Engines read prompts in
chunks between each other, so two prompts that share a new part read it twice. The
sizes, rates and links are those of a small deployment as its operators publish them.
Every arm meets the same arrivals.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from random import Random
from statistics import median

from benchmarks._report import Aim, Figures, parse_options, publish_figures
from wasabistage.cache import PartMap
from wasabistage.routing import (
    TOO_LATE,
    Dispatched,
    DispatchEnded,
    FirstToken,
    FirstTokenEstimator,
    GateQuery,
    Left,
    MemoryPromised,
    MemoryReturned,
    OpenGate,
    PartCandidate,
    PartQuery,
    PartRouter,
    PartStore,
    PeerDispatched,
    PeerMemory,
    RankedGate,
)

ENTRIES = 7
ENGINES = 6
MEMORY_TOKENS = 83_000  # 500,000 in all engines
PREFILL_RATE = 85_000.0  # tokens a second: 8,610 in 101 ms
TOKEN_BYTES = 330_000  # 0.33 GB for 1,000 tokens
LINK_BYTES = 4.4e10  # bytes a second: 8,610 tokens in 64 ms
STORES = (("large", 2_300_000), ("fast", 460_000))
FIRST_BYTE = 0.004  # seconds that a transfer waits besides
TOKEN_SECONDS = 0.02  # seconds an output token while few runs share an engine
RUNS_AT_FULL_SPEED = 12  # runs; more of them slow each other
RUN_SHARE = 0.03  # share of an engine's reading that each run takes, fitted
MOST_RUN_SHARE = 0.8  # share that all runs take together at most, fitted
TRANSIT = 0.02  # seconds from the caller to the engine and back
EVENT_LAG = 0.4  # seconds until an entry hears of a part
PEER_LAG = 0.1  # seconds until an entry hears of another's dispatch
STEP = 0.005  # seconds of simulated time
LOOK = 0.015  # seconds between two looks of a waiting prompt
REUSE = 20.0  # seconds in which a part that is read once more counts as read again
SECONDS = 40.0
KEY = "m|1|"
READ_AGAIN = "shared tokens read again"


@dataclass(frozen=True, kw_only=True)
class Kind:
    """A kind of prompt.

    :param rank: its rank, 0 first.
    :param rate: prompts a second.
    :param objective: seconds to the first token.
    :param shared: number and range of tokens of the parts that prompts share.
    :param own: range of tokens of a prompt's own part.
    :param output: range of output tokens.
    """

    rank: int
    rate: float
    objective: float
    shared: tuple
    own: tuple
    output: tuple


KINDS = (
    Kind(rank=2, rate=10.0, objective=1.0, shared=(120, 4000, 13000), own=(2000, 14000),
         output=(20, 60)),
    Kind(rank=1, rate=30.0, objective=0.25, shared=(400, 300, 1200), own=(200, 2400),
         output=(20, 40)),
    Kind(rank=1, rate=18.0, objective=0.4, shared=(200, 600, 3000), own=(200, 3000),
         output=(10, 30)),
)  # fmt: skip


@dataclass(frozen=True, kw_only=True)
class Scenario:
    """A load.

    :param name: its name.
    :param factor: arrivals of the first kind during the burst, relative to usual.
    :param lost: engines that are lost while the burst lasts.
    """

    name: str
    factor: float = 1.0
    lost: int = 0


SCENARIOS = (
    Scenario(name="calm"),
    Scenario(name="burst of long prompts", factor=3.0),
    Scenario(name="burst, two engines lost", factor=2.5, lost=2),
)
BURST = (12.0, 18.0)


@dataclass(frozen=True)
class Part:
    """A part of a prompt."""

    part: str
    tokens: int


@dataclass
class Prompt:
    """A prompt and what became of it."""

    name: str
    at: float
    kind: Kind
    entry: int
    parts: tuple
    output: int
    first_at: float | None = None
    refused_at: float | None = None

    @property
    def tokens(self):
        """Length of the prompt, in tokens."""
        return sum(part.tokens for part in self.parts)

    @property
    def is_in_time(self):
        """Whether its first token met the objective."""
        first = self.first_at
        return first is not None and first - self.at <= self.kind.objective


@dataclass
class Work:
    """A prompt at an engine."""

    prompt: Prompt
    computed: tuple
    saves: tuple
    ready_at: float
    left: float
    output_left: float = 0.0
    is_running: bool = False


@dataclass
class Engine:
    """An engine: reads prompts in chunks in turn; runs slow each other."""

    name: str
    work: list = field(default_factory=list)
    waiting: deque = field(default_factory=deque)
    cached: OrderedDict = field(default_factory=OrderedDict)
    is_lost: bool = False

    def used(self):
        """Return the memory that prompts and runs hold, in tokens."""
        return sum(item.prompt.tokens + item.prompt.output for item in self.work)

    def admit(self):
        """Take waiting prompts in while memory lasts."""
        while self.waiting:
            prompt = self.waiting[0].prompt
            if (
                self.work
                and self.used() + prompt.tokens + prompt.output > MEMORY_TOKENS
            ):
                return
            self.work.append(self.waiting.popleft())

    def keep(self, part):
        """Keep a part; return the parts that yield for it."""
        self.cached.pop(part.part, None)
        self.cached[part.part] = part.tokens
        dropped = []
        room = MEMORY_TOKENS - self.used()
        while len(self.cached) > 1 and sum(self.cached.values()) > room:
            dropped.append(self.cached.popitem(last=False)[0])
        return dropped


@dataclass(frozen=True, kw_only=True)
class Arm:
    """What is compared.

    :param name: its name.
    :param knows_parts: whether entries hear what engines and stores keep.
    :param gate: class of the gate.
    """

    name: str
    knows_parts: bool
    gate: type


ARMS = (
    Arm(name="parts and gate", knows_parts=True, gate=RankedGate),
    Arm(name="parts, no gate", knows_parts=True, gate=OpenGate),
    Arm(name="least work, no gate", knows_parts=False, gate=OpenGate),
)


class Entry:
    """An entry: the product's map, router and gate."""

    def __init__(self, arm):
        self.parts = PartMap()
        estimator = FirstTokenEstimator(prefill_rate=PREFILL_RATE, chunk_tokens=0)
        self.router = PartRouter(self.parts, estimator=estimator).reset()
        self.gate = arm.gate().reset()
        self.waiting = []


def draw_prompts(scenario, seed):
    """Draw the arrivals of a scenario, in order of time.

    :param scenario: a :class:`Scenario`.
    :param seed: seed.
    :return: list of :class:`Prompt`.
    """
    random, prompts = Random(f"{seed} {scenario.name}"), []
    for place, kind in enumerate(KINDS):
        count, least, most = kind.shared
        sizes = [random.randint(least, most) for _ in range(count)]
        at = random.expovariate(kind.rate)
        while at < SECONDS:
            # A few shared parts are asked for most.
            index = min(int(random.paretovariate(0.7)) - 1, count - 1)
            shared = Part(f"{place}-{index}", sizes[index])
            own = Part(f"own-{place}-{len(prompts)}", random.randint(*kind.own))
            prompts.append(
                Prompt(
                    name=f"p{place}-{len(prompts)}",
                    at=at,
                    kind=kind,
                    entry=random.randrange(ENTRIES),
                    parts=(Part(f"system-{place}", 128), shared, own),
                    output=random.randint(*kind.output),
                )
            )
            in_burst = BURST[0] <= at < BURST[1] and place == 0
            at += random.expovariate(kind.rate * (scenario.factor if in_burst else 1))
    return sorted(prompts, key=lambda prompt: prompt.at)


class Run:
    """One scenario under one arm.

    :param arm: an :class:`Arm`.
    :param scenario: a :class:`Scenario`.
    :param seed: seed.
    """

    def __init__(self, arm, scenario, seed):
        self.arm = arm
        self.scenario = scenario
        self.random = Random(f"{seed} draws")
        self.prompts = draw_prompts(scenario, seed)
        self.engines = [Engine(f"e{number}") for number in range(ENGINES)]
        self.entries = [Entry(arm) for _ in range(ENTRIES)]
        self.stored = {name: {} for name, _ in STORES}
        self.later = []
        self.read_at = {}
        self.read_tokens = self.read_again = 0

    def play(self):
        """Play it to its end; return itself."""
        arriving, now = deque(self.prompts), 0.0
        while now < SECONDS + 5.0:
            self._lose_engines(now)
            while arriving and arriving[0].at <= now:
                prompt = arriving.popleft()
                self.entries[prompt.entry].waiting.append((now, prompt))
            for number, entry in enumerate(self.entries):
                self._serve(number, entry, now)
            for engine in self.engines:
                self._compute(engine, now)
            due = [item for item in self.later if item[0] <= now]
            self.later = [item for item in self.later if item[0] > now]
            for _, act in due:
                act(now)
            now += STEP
        return self

    def _lose_engines(self, now):
        gone = BURST[0] <= now < BURST[1]
        for engine in self.engines[: self.scenario.lost]:
            if gone and not engine.is_lost:
                # Their prompts are lost to the callers, too: none is repeated here.
                engine.work, engine.waiting = [], deque()
                engine.cached = OrderedDict()
                for entry in self.entries:
                    entry.parts.source(engine.name).clear()
            engine.is_lost = gone

    def _after(self, seconds, now, act):
        self.later.append((now + seconds, act))

    def _tell_kept(self, place, part, tokens, now):
        """Let every entry hear what a place keeps, late."""
        if not self.arm.knows_parts:
            return

        def tell(_):
            for entry in self.entries:
                entry.parts.source(place).set((KEY, part), tokens)

        self._after(EVENT_LAG, now, tell)

    def _serve(self, number, entry, now):
        """Send, keep or refuse the prompts that wait at an entry."""
        kept = []
        for look_at, prompt in entry.waiting:
            if look_at > now:
                kept.append((look_at, prompt))
                continue
            decision = entry.router.decide(self._query(prompt), now)
            verdict = entry.gate.decide(self._gate_query(entry, prompt, decision), now)
            if not verdict and not verdict.is_(TOO_LATE):
                kept.append((now + LOOK, prompt))
                continue
            entry.gate.observe(Left(request=prompt.name), now)
            if verdict:
                self._send(number, prompt, decision, now)
            else:
                prompt.refused_at = now
        entry.waiting = kept

    def _query(self, prompt):
        candidates = tuple(
            PartCandidate(
                server=engine.name,
                address=engine.name,
                version=1,
                cache_key=KEY,
                failure_domain="a",
                memory_tokens=MEMORY_TOKENS,
            )
            for engine in self.engines
            if not engine.is_lost
        )
        stores = tuple(
            PartStore(
                address=name,
                failure_domain="a",
                capacity_tokens=tokens,
                link_bytes=LINK_BYTES,
                first_byte=FIRST_BYTE,
            )
            for name, tokens in STORES
        )
        return PartQuery(
            parts=prompt.parts,
            prompt_tokens=prompt.tokens,
            output_tokens=prompt.output,
            candidates=candidates,
            stores=stores if self.arm.knows_parts else (),
            token_bytes=TOKEN_BYTES,
            link_bytes=LINK_BYTES,
            draw=self.random.random(),
        )

    @staticmethod
    def _gate_query(entry, prompt, decision):
        return GateQuery(
            request=prompt.name,
            rank=prompt.kind.rank,
            size=prompt.tokens + prompt.output,
            tokens=decision.tokens,
            backlog=decision.backlog,
            promised=entry.router.memory_promised(decision.candidate.server),
            memory=MEMORY_TOKENS,
            predicted=decision.seconds,
            arrived_at=prompt.at,
            objective=prompt.kind.objective,
            patience=max(2.0, 4.0 * prompt.kind.objective),
        )

    def _send(self, number, prompt, decision, now):
        """Hand a prompt to its engine, and tell the other entries."""
        server = decision.candidate.server
        size = prompt.tokens + prompt.output
        router = self.entries[number].router
        sent = Dispatched(request=prompt.name, server=server, tokens=decision.tokens)
        router.observe(sent, now)
        promise = MemoryPromised(request=prompt.name, server=server, tokens=size)
        router.observe(promise, now)
        self._tell_peers(number, server, decision.tokens, now)
        for part, store in zip(prompt.parts, decision.save_to, strict=True):
            if store:
                self.entries[number].parts.note_saving(
                    store, KEY, part.part, part.tokens, now
                )
        engine = self.engines[int(server[1:])]
        fetched = {
            part.part
            for part, store in zip(prompt.parts, decision.fetch_from, strict=True)
            if store and part.part in self.stored[store]
        }
        missed = fetched - set(engine.cached)
        size = sum(part.tokens for part in prompt.parts if part.part in missed)
        ready_at = now + (FIRST_BYTE + size * TOKEN_BYTES / LINK_BYTES) * bool(missed)
        computed = self._missing(fetched | set(engine.cached), prompt)
        left = float(sum(part.tokens for part in computed))
        work = Work(prompt, computed, decision.save_to, ready_at, left)
        engine.waiting.append(work)

    def _tell_peers(self, number, server, tokens, now):
        source = self.entries[number].router
        event = PeerDispatched(server=server, tokens=tokens, lag=PEER_LAG)

        def tell(at):
            memory = PeerMemory(peer=str(number), promised=dict(source.promised_))
            for other, entry in enumerate(self.entries):
                if other != number:
                    entry.router.observe(event, at)
                    entry.router.observe(memory, at)

        self._after(PEER_LAG, now, tell)

    @staticmethod
    def _missing(held, prompt):
        """Return the parts that an engine has to read: all from the first gap on."""
        for index, part in enumerate(prompt.parts):
            if part.part not in held:
                return prompt.parts[index:]
        return prompt.parts[-1:]

    def _compute(self, engine, now):
        """Let an engine work for one step."""
        if engine.is_lost:
            return
        engine.admit()
        reading = [w for w in engine.work if not w.is_running and w.ready_at <= now]
        running = [work for work in engine.work if work.is_running]
        rate = 1.0 - min(MOST_RUN_SHARE, RUN_SHARE * len(running))
        for work in reading:
            work.left -= PREFILL_RATE * rate * STEP / len(reading)
            if work.left <= 0:
                self._begin(engine, work, now)
        slowness = max(1.0, len(running) / RUNS_AT_FULL_SPEED)
        for work in running:
            work.output_left -= STEP / (TOKEN_SECONDS * slowness)
            if work.output_left <= 0:
                engine.work.remove(work)
                self._end(work, now)

    def _begin(self, engine, work, now):
        """A prompt was read: its first token leaves, its parts are kept."""
        prompt = work.prompt
        work.is_running, work.output_left = True, prompt.output
        prompt.first_at = now + TRANSIT
        router = self.entries[prompt.entry].router
        first = FirstToken(request=prompt.name, seconds=now - prompt.at, learn=False)
        router.observe(first, now)
        for part in work.computed:
            self._note_read(part, part is prompt.parts[-1], now)
        for part, store in zip(prompt.parts, work.saves, strict=True):
            for dropped in engine.keep(part):
                self._tell_kept(engine.name, dropped, 0, now)
            self._tell_kept(engine.name, part.part, part.tokens, now)
            if store:
                self._save(store, part, now)

    def _note_read(self, part, is_own, now):
        self.read_tokens += part.tokens
        if not is_own and now - self.read_at.get(part.part, -REUSE) < REUSE:
            self.read_again += part.tokens
        self.read_at[part.part] = now

    def _save(self, store, part, now):
        def save(at):
            self.stored[store][part.part] = part.tokens
            self._tell_kept(store, part.part, part.tokens, at)

        self._after(FIRST_BYTE + part.tokens * TOKEN_BYTES / LINK_BYTES, now, save)

    def _end(self, work, now):
        prompt = work.prompt
        router = self.entries[prompt.entry].router
        router.observe(DispatchEnded(request=prompt.name), now)
        router.observe(MemoryReturned(request=prompt.name), now)


def measure(arm, scenario, seed):
    """Play one run and return its figures.

    :return: dict of name to value.
    """
    run = Run(arm, scenario, seed).play()
    within = run.prompts
    if scenario.factor > 1.0:
        within = [item for item in run.prompts if BURST[0] <= item.at < BURST[1] + 4.0]
    asked = sum(part.tokens for item in run.prompts for part in item.parts[:-1])
    urgent = [item for item in within if item.kind.rank < 2]
    long = [item for item in within if item.kind.rank == 2]
    return {
        "in time": share(within),
        "in time, rank 1": share(urgent),
        "in time, rank 2": share(long),
        "first token p50, rank 1 (s)": median(firsts_of(urgent)),
        "first token p50, rank 2 (s)": median(firsts_of(long)),
        READ_AGAIN: run.read_again / asked,
        "refused": sum(item.refused_at is not None for item in within) / len(within),
    }


def firsts_of(prompts):
    """Return the times to the first token, in seconds, of those that were served."""
    return [item.first_at - item.at for item in prompts if item.first_at is not None]


def share(prompts):
    """Return the share of prompts whose first token came in time."""
    return sum(item.is_in_time for item in prompts) / max(1, len(prompts))


def run(seed=1, repeats=3, scenarios=SCENARIOS):
    """Play every scenario under every arm.

    :return: :class:`benchmarks._report.Figures`.
    """
    figures = Figures()
    for repeat in range(seed, seed + repeats):
        for scenario in scenarios:
            for arm in ARMS:
                for name, value in measure(arm, scenario, repeat).items():
                    aim = aim_of(scenario, name)
                    figures.add(scenario.name, arm.name, name, value, aim)
    return figures


def aim_of(scenario, name):
    """Return the aim of a figure; the shares are those that the target states."""
    if name != READ_AGAIN:
        return Aim()
    return Aim(at_most=0.1 if scenario is SCENARIOS[0] else 0.25)


def main(argv=None):
    """Run the benchmark.

    :param argv: command-line arguments; ``None`` for those of the process.
    """
    options = parse_options(__doc__.splitlines()[0], argv)
    publish_figures("parts", run(options.seed, options.repeats), options)


if __name__ == "__main__":
    main()
