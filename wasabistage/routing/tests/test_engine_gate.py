import random
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.routing import (
    PASS,
    TOO_LATE,
    WAIT,
    GateQuery,
    OpenGate,
    RankedGate,
    WaitEnded,
)

MEMORY = 80_000


def ask(request="r", rank=2, arrived_at=0.0, **fields):
    values = {
        "size": 12_000,
        "tokens": 12_000,
        "backlog": 0.0,
        "promised": 0,
        "memory": MEMORY,
        "predicted": 0.15,
        "objective": 1.2,
        "patience": 4.8,
        **fields,
    }
    return GateQuery(request=request, rank=rank, arrived_at=arrived_at, **values)


class RankedGateTest(unittest.TestCase):
    def setUp(self):
        self.gate = RankedGate().reset()

    def test_empty_limits_are_refused(self):
        with self.assertRaises(SettingError):
            RankedGate(memory_shares=()).reset()

    def test_idle_engine_takes_a_prompt_of_any_size(self):
        self.assertIs(self.gate.decide(ask(size=2 * MEMORY), 0.0), PASS)

    def test_memory_is_kept_for_more_urgent_ranks(self):
        reserved_tokens = int(0.8 * MEMORY)
        self.assertIs(self.gate.decide(ask(reserved_tokens=reserved_tokens), 0.0), WAIT)
        urgent = ask("u", rank=0, size=900, reserved_tokens=reserved_tokens)
        self.assertIs(self.gate.decide(urgent, 0.0), PASS)

    def test_longest_prompts_find_room_where_long_ones_do(self):
        reserved_tokens = int(0.55 * MEMORY)
        for size in (12_000, 20_000, 36_000):
            query = ask(str(size), size=size, reserved_tokens=reserved_tokens)
            self.assertIs(self.gate.decide(query, 0.0), PASS)

    def test_longest_prompt_that_waits_is_not_passed_by_long_ones(self):
        longest = ask("longest", size=36_000, reserved_tokens=MEMORY)
        self.assertIs(self.gate.decide(longest, 0.0), WAIT)
        later = ask("later", size=21_000, arrived_at=0.1)
        self.assertIs(self.gate.decide(later, 0.1), WAIT)

    def test_long_prompts_go_one_after_the_other(self):
        self.assertIs(self.gate.decide(ask(backlog=0.14), 0.0), WAIT)
        self.assertIs(self.gate.decide(ask(backlog=0.02), 0.1), PASS)

    def test_more_urgent_and_earlier_prompts_pass_first(self):
        full = {"promised": MEMORY}
        first, second = ask("first", **full), ask("second", arrived_at=0.1, **full)
        urgent = ask("urgent", rank=1, arrived_at=0.2, **full)
        for query in (first, second, urgent):
            self.assertIs(self.gate.decide(query, 0.2), WAIT)
        self.assertIs(self.gate.decide(ask("second", arrived_at=0.1), 0.3), WAIT)
        self.assertIs(self.gate.decide(ask("first"), 0.3), WAIT)
        passing = ask("urgent", rank=1, arrived_at=0.2)
        self.assertIs(self.gate.decide(passing, 0.3), PASS)
        self.gate.observe(WaitEnded(request="urgent"), 0.3)
        self.assertIs(self.gate.decide(ask("first"), 0.3), PASS)

    def test_prompt_that_can_meet_its_objective_passes_before_a_late_one(self):
        late = ask("late", reserved_tokens=MEMORY)
        self.gate.decide(late, 2.0)
        self.assertIs(self.gate.decide(ask("fresh", arrived_at=1.9), 2.0), PASS)

    def test_what_comes_too_late_is_refused_at_once(self):
        self.assertIs(self.gate.decide(ask(predicted=4.5), 0.0), TOO_LATE)
        self.assertIs(self.gate.decide(ask(reserved_tokens=MEMORY), 3.7), TOO_LATE)


class OneEngine:
    """Engine that computes prompts in turn, keeps memory for a run, and slows down.

    A run is longer the more prompts are computed beside it, and nothing begins while
    the memory is full.
    """

    RATE = 85_000.0  # prompt tokens a second
    RUN = 1.5  # seconds of an undisturbed run

    def __init__(self):
        self.free_at = 0.0
        self.runs = []

    def reserved_tokens(self, now):
        self.runs = [run for run in self.runs if run[0] > now]
        return sum(size for _, size in self.runs)

    def backlog(self, now):
        return max(0.0, self.free_at - now)

    def send(self, size, now):
        start = max(now, self.free_at)
        held = sorted(run for run in self.runs if run[0] > start)
        used = sum(run_size for _, run_size in held)
        while held and used + size > MEMORY:
            end, freed = held.pop(0)
            start, used = max(start, end), used - freed
        first = start + size / self.RATE
        self.free_at = first
        crowd = 1.0 + used / MEMORY
        self.runs.append((first + self.RUN * crowd, size))
        return first - now


def play_burst(gate, seed):
    """Play a burst of long prompts beside urgent ones; return shares in time."""
    draw, engine, waiting = random.Random(seed), OneEngine(), []
    on_time = {0: [0, 0], 2: [0, 0]}
    for step in range(2000):
        now = step * 0.01
        rate = 6.0 if 500 <= step < 1000 else 1.5
        if draw.random() < rate * 0.01:
            waiting.append((2, 12_000, now, 1.2, 4.8))
        if draw.random() < 0.06:
            waiting.append((0, 900, now, 0.25, 2.0))
        for item in sorted(waiting):
            rank, size, arrived_at, objective, patience = item
            backlog, reserved_tokens = engine.backlog(now), engine.reserved_tokens(now)
            verdict = gate.decide(
                ask(
                    str(item),
                    rank,
                    arrived_at,
                    size=size,
                    tokens=size,
                    backlog=backlog,
                    reserved_tokens=reserved_tokens,
                    predicted=backlog + size / engine.RATE,
                    objective=objective,
                    patience=patience,
                ),
                now,
            )
            if verdict is WAIT:
                continue
            gate.observe(WaitEnded(request=str(item)), now)
            waiting.remove(item)
            on_time[rank][1] += 1
            if verdict is PASS:
                first = now - arrived_at + engine.send(size, now)
                on_time[rank][0] += first <= objective
    return {rank: good / total for rank, (good, total) in on_time.items()}


class BurstOfLongPromptsTest(unittest.TestCase):
    def test_urgent_prompts_keep_their_objective_and_long_ones_lose_nothing(self):
        for seed in range(5):
            gated = play_burst(RankedGate().reset(), seed)
            plain = play_burst(OpenGate().reset(), seed)
            # The users' aim: 95 in 100 first tokens in time for urgent prompts.
            self.assertGreater(gated[0], plain[0] + 0.1)
            self.assertGreaterEqual(gated[2], plain[2])


if __name__ == "__main__":
    unittest.main()
