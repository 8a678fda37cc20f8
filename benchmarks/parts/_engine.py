"""Engines: prompts read in chunks between each other, runs that slow each other."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from benchmarks.parts._load import Prompt

MEMORY_TOKENS = 83_000  # 500,000 in all engines
PREFILL_RATE = 85_000.0  # tokens a second: 8,610 in 101 ms
TOKEN_SECONDS = 0.02  # seconds an output token while few runs share an engine
RUNS_AT_FULL_SPEED = 12  # runs; more of them slow each other
RUN_SHARE = 0.03  # share of an engine's reading that each run takes, fitted
MOST_RUN_SHARE = 0.8  # share that all runs take together at most, fitted
STEP = 0.005  # seconds of simulated time


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

    def step(self, now):
        """Work for one step.

        :param now: simulated time, in seconds.
        :return: lists of the :class:`Work` that was read and that ended in the step.
        """
        if self.is_lost:
            return [], []
        self.admit()
        reading = [w for w in self.work if not w.is_running and w.ready_at <= now]
        running = [work for work in self.work if work.is_running]
        ended = self._run(running)
        return self._read(reading, len(running)), ended

    def _read(self, reading, runs):
        rate = 1.0 - min(MOST_RUN_SHARE, RUN_SHARE * runs)
        for work in reading:
            work.left -= PREFILL_RATE * rate * STEP / len(reading)
        begun = [work for work in reading if work.left <= 0]
        for work in begun:
            work.is_running, work.output_left = True, work.prompt.output
        return begun

    def _run(self, running):
        slowness = max(1.0, len(running) / RUNS_AT_FULL_SPEED)
        for work in running:
            work.output_left -= STEP / (TOKEN_SECONDS * slowness)
        ended = [work for work in running if work.output_left <= 0]
        for work in ended:
            self.work.remove(work)
        return ended
