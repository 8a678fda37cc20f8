import heapq
import math
import random
import unittest
from collections import Counter

from wasabistage.exceptions import SettingError
from wasabistage.retries import (
    CallerRefused,
    ConstantReturn,
    PromptSent,
    ReturnQuery,
    SpreadReturn,
)

ROOM = 100.0  # prompts that the engines take in a second
OBJECTIVE = 0.5
MAX_WAIT_SECONDS = 0.6  # a prompt that would wait longer is refused at once
BURST = 2.5
BURST_BEGIN, BURST_END = 2.0, 7.0
CALM = 0.7
END = 14.0
MIN_TIME_LEFT = 0.35  # below it a caller gives up
BIN_SECONDS = 0.1


class Engines:
    """Engines with one queue, and callers that return when they are told to.

    :param policy: a :class:`ConstantReturn` or :class:`SpreadReturn`.
    :param patience: time after which a caller gives up, in seconds.
    """

    def __init__(self, policy, patience, seed=1):
        self.policy = policy
        self.patience = patience
        self.random = random.Random(seed)
        self.busy_until = 0.0
        self.arrivals = Counter()
        self.served = 0
        self.calls = 0
        self.waiting = []

    def play(self):
        events, at, number = [], 0.0, 0
        while at < END:
            is_burst = BURST_BEGIN <= at < BURST_END
            at += self.random.expovariate(ROOM * (BURST if is_burst else CALM))
            number += 1
            heapq.heappush(events, (at, number, at))
        while events:
            now, number, first = heapq.heappop(events)
            seconds = self.call(now, first + self.patience - now)
            if seconds is not None:
                heapq.heappush(events, (now + seconds, number, first))
        return self

    def call(self, now, time_left):
        """Serve or refuse one call; return the time after which it comes again."""
        self.calls += 1
        self.arrivals[int(now / BIN_SECONDS)] += 1
        wait = max(0.0, self.busy_until - now)
        if wait <= MAX_WAIT_SECONDS and wait + 0.2 <= time_left:
            self.busy_until = now + wait + 1.0 / ROOM
            self.served += 1
            self.policy.observe(PromptSent(), now)
            return None
        query = ReturnQuery(
            rank=1,
            waiting=int(wait * ROOM),
            shortest=OBJECTIVE,
            needed=OBJECTIVE,
            time_left=time_left,
            draw=self.random.random(),
        )
        # Callers return after a third of their time left at the latest.
        seconds = min(self.policy.decide(query, now), time_left / 3.0)
        self.policy.observe(CallerRefused(rank=1, seconds=seconds), now)
        return seconds if time_left - seconds >= MIN_TIME_LEFT else None

    def get_peak(self, begin, end):
        """Return the most calls in half a second, relative to the room."""
        bins = range(round(begin / BIN_SECONDS), round(end / BIN_SECONDS))
        sums = [sum(self.arrivals[number + i] for i in range(5)) for number in bins]
        return max(sums) / (5 * BIN_SECONDS * ROOM)


class BurstTest(unittest.TestCase):
    """Pattern: a burst of one rank, 2.5 times the room, for 5 s."""

    def play(self, patience):
        constant = Engines(ConstantReturn().reset(), patience).play()
        spread = Engines(SpreadReturn().reset(), patience).play()
        return constant, spread

    def test_wave_after_the_burst_is_halved(self):
        constant, spread = self.play(8.0)
        before = constant.get_peak(BURST_END, END)
        self.assertLess(spread.get_peak(BURST_END, END), 0.6 * before)

    def test_callers_call_less_and_more_of_them_are_served(self):
        for patience in (4.0, 8.0):
            constant, spread = self.play(patience)
            self.assertLess(spread.calls, 0.9 * constant.calls)
            self.assertGreater(spread.served, constant.served)

    def test_impatient_callers_are_served_as_before(self):
        """Guards against times that cost callers with little time their answer."""
        constant, spread = self.play(2.0)
        self.assertGreaterEqual(spread.served, 0.98 * constant.served)


class SpreadReturnTest(unittest.TestCase):
    def setUp(self):
        self.policy = SpreadReturn(spread=0.0).reset()

    def send(self, rate, seconds=20.0):
        """Send prompts at a rate until now."""
        for number in range(int(rate * seconds)):
            self.policy.observe(PromptSent(), number / rate)
        return seconds

    def ask(self, now, **values):
        fields = {
            "rank": 1,
            "waiting": 0,
            "shortest": 0.2,
            "needed": 0.2,
            "time_left": 30.0,
            "draw": 0.0,
        }
        return self.policy.decide(ReturnQuery(**{**fields, **values}), now)

    def refuse(self, now, rank=1, **values):
        seconds = self.ask(now, rank=rank, **values)
        self.policy.observe(CallerRefused(rank=rank, seconds=seconds), now)
        return seconds

    def test_time_is_what_the_queue_in_front_takes(self):
        now = self.send(10.0)
        self.assertAlmostEqual(self.ask(now, waiting=20), 2.0, delta=0.2)

    def test_callers_refused_together_return_one_after_another(self):
        """Pattern: an engine is lost and 60 waiting prompts are refused at once."""
        now = self.send(10.0)
        times = [self.refuse(now) for _ in range(60)]
        self.assertEqual(times, sorted(times))
        per_second = Counter(int(seconds) for seconds in times)
        self.assertLessEqual(max(per_second.values()), 14)
        self.assertGreater(max(times), 5.0)

    def test_returns_at_the_latest_time_are_spread_as_well(self):
        self.policy = SpreadReturn().reset()
        draws = random.Random(1)
        times = [
            self.refuse(0.0, time_left=9.0, draw=draws.random()) for _ in range(60)
        ]
        self.assertGreater(max(times) - min(times), 0.6)
        self.assertLessEqual(max(times), 3.0)

    def test_urgent_callers_return_first(self):
        now = self.send(10.0)
        for _ in range(30):
            self.refuse(now, rank=2)
        self.assertEqual(self.ask(now, rank=0), 0.2)
        self.assertEqual(self.ask(now, rank=1), 0.2)
        self.assertGreater(self.ask(now, rank=2), 2.5)

    def test_returned_callers_are_no_longer_in_front(self):
        now = self.send(10.0)
        for _ in range(30):
            self.refuse(now)
        self.policy.observe(PromptSent(), now + 5.0)
        self.assertEqual(self.ask(now + 5.0), 0.2)

    def test_time_is_at_most_a_third_of_what_the_caller_has_left(self):
        for time_left in (-1.0, 0.0, 0.1, 0.5, 3.0, 100.0):
            for waiting in (0, 10**6):
                seconds = self.ask(0.0, waiting=waiting, time_left=time_left)
                self.assertGreaterEqual(seconds, 0.0)
                self.assertLessEqual(seconds, max(0.0, time_left / 3.0))

    def test_caller_that_can_not_be_served_any_more_is_not_called_back_early(self):
        now = self.send(10.0)
        self.assertEqual(self.ask(now, time_left=0.9, needed=0.7), 0.3)
        self.assertEqual(self.ask(now, time_left=0.9, needed=0.3), 0.2)

    def test_without_a_prompt_sent_callers_return_as_late_as_they_can(self):
        self.assertEqual(self.ask(0.0, waiting=1, time_left=9.0), 3.0)
        # Rates of the past fade.
        now = self.send(10.0)
        self.assertEqual(self.ask(now + 60.0, waiting=1, time_left=9.0), 3.0)

    def test_question_changes_nothing(self):
        now = self.send(10.0)
        self.refuse(now)
        answers = [self.ask(now, waiting=5) for _ in range(3)]
        self.assertEqual(len(set(answers)), 1)

    def test_remembered_returns_are_bounded(self):
        self.policy = SpreadReturn(max_returns=10, max_ranks=2).reset()
        for rank in range(-2, 50):
            for _ in range(20):
                self.refuse(0.0, rank=rank)
        self.assertEqual([len(times) for times in self.policy.returns_], [10, 10])

    def test_invalid_arguments_are_refused(self):
        for arguments in (
            {"window": 0.0},
            {"window": math.nan},
            {"spread": 1.0},
            {"spread": -0.1},
            {"max_returns": 0},
            {"max_ranks": 0},
        ):
            with self.assertRaises(SettingError):
                SpreadReturn(**arguments).reset()


if __name__ == "__main__":
    unittest.main()
