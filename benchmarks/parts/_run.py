"""One scenario under one arm, in steps of simulated time."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from random import Random
from types import SimpleNamespace

from benchmarks.parts._engine import (
    MEMORY_TOKENS,
    PREFILL_RATE,
    STEP,
    Engine,
    Work,
)
from benchmarks.parts._load import BURST, ENTRIES, SECONDS, draw_prompts
from wasabistage.cache import SAVE_PAUSE_SECONDS, PartMap
from wasabistage.routing import (
    TOO_LATE,
    Dispatched,
    DispatchEnded,
    FirstTokenArrived,
    FirstTokenEstimator,
    GateQuery,
    MemoryReleased,
    MemoryReserved,
    OpenGate,
    PartCandidate,
    PartQuery,
    PartRouter,
    PartStore,
    PeerDispatched,
    PeerMemoryReserved,
    RankedGate,
    WaitEnded,
)

ENGINES = 6
TOKEN_BYTES = 330_000  # 0.33 GB for 1,000 tokens
LINK_BYTES = 4.4e10  # bytes a second: 8,610 tokens in 64 ms
STORES = (("large", 2_300_000), ("fast", 460_000))
FIRST_BYTE = 0.004  # seconds that a transfer waits besides
TRANSIT = 0.02  # seconds from the caller to the engine and back
EVENT_LAG = 0.4  # seconds until an entry hears of a part
PEER_LAG = 0.1  # seconds until an entry hears of another's dispatch
LOOK = 0.015  # seconds between two looks of a waiting prompt
REUSE = 20.0  # seconds in which a part that is read once more counts as read again
KEY = "m|1|"
NO_EVENTS = SimpleNamespace(epoch=1, position=0, has_gap=False, events=())


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
        for name, _ in STORES:
            self.parts.apply_events(name, NO_EVENTS, now=-SAVE_PAUSE_SECONDS)
        estimator = FirstTokenEstimator(prefill_rate=PREFILL_RATE, chunk_tokens=0)
        self.router = PartRouter(self.parts, estimator=estimator).reset()
        self.gate = arm.gate().reset()
        self.waiting = []


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
                self._step(engine, now)
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
            if not verdict and not verdict.has_same_name(TOO_LATE):
                kept.append((now + LOOK, prompt))
                continue
            entry.gate.observe(WaitEnded(request=prompt.name), now)
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
                link_bytes_per_second=LINK_BYTES,
                first_byte_seconds=FIRST_BYTE,
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
            link_bytes_per_second=LINK_BYTES,
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
            reserved_tokens=entry.router.get_reserved_tokens(decision.candidate.server),
            memory_tokens=MEMORY_TOKENS,
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
        promise = MemoryReserved(request=prompt.name, server=server, tokens=size)
        router.observe(promise, now)
        self._tell_peers(number, server, decision.tokens, now)
        for part, store in zip(prompt.parts, decision.save_to, strict=True):
            if store:
                self.entries[number].parts.record_save_start(
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
            memory = PeerMemoryReserved(
                peer=str(number), reserved_tokens=dict(source.reserved_tokens_)
            )
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

    def _step(self, engine, now):
        begun, ended = engine.step(now)
        for work in begun:
            self._begin(engine, work, now)
        for work in ended:
            self._end(work, now)

    def _begin(self, engine, work, now):
        """A prompt was read: its first token leaves, its parts are kept."""
        prompt = work.prompt
        prompt.first_at = now + TRANSIT
        router = self.entries[prompt.entry].router
        first = FirstTokenArrived(
            request=prompt.name, seconds=now - prompt.at, learn=False
        )
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
        router.observe(MemoryReleased(request=prompt.name), now)
