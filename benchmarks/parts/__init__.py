"""Prompts that share parts, before engines and stores: what map and gate gain.

Seven entries hear late what six engines and two stores keep. Engines read prompts in
chunks between each other, so two prompts that share a new part read it twice. The
sizes, rates and links are those of a small deployment as its operators publish them.
Every arm meets the same arrivals.
"""

from statistics import median

from benchmarks._report import Aim, Figures
from benchmarks.parts._load import BURST, SCENARIOS, Scenario
from benchmarks.parts._run import ARMS, Arm, Run

__all__ = [
    "ARMS",
    "READ_AGAIN",
    "SCENARIOS",
    "Arm",
    "Run",
    "Scenario",
    "measure",
    "run",
]

READ_AGAIN = "shared tokens read again"


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
