"""Arrivals of prompts that share parts."""

from dataclasses import dataclass
from random import Random

ENTRIES = 7
SECONDS = 40.0


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
