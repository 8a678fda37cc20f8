import heapq
import math
import random
import unittest

from wasabistage.cache import PartMap
from wasabistage.routing import (
    Dispatched,
    DispatchEnded,
    FirstTokenArrived,
    FirstTokenEstimator,
    PaceEstimator,
    PaceQuery,
    PaceReported,
    PartCandidate,
    PartQuery,
    PartRouter,
)

SERVERS = ("a", "b", "c")
RATE = 85_000.0  # prompt tokens per second
TOKENS = 3000
ARRIVALS_PER_SECOND = 35.0
OBJECTIVE_SECONDS = 0.25
SEEDS = 12
SLOW_FROM, SLOW_UNTIL, SLOW_FACTOR = 3.0, 4.0, 6.0


class EnginePaceTest(unittest.TestCase):
    """Pattern: one of three engines works six times slower for a second."""

    def play(self, seed, uses_pace, learns_usual_rate):
        """Return the share of late prompts, and that of the slow engine afterwards.

        :param uses_pace: whether the pace that engines report is used.
        :param learns_usual_rate: whether the rate of an engine is learned as it would
            be at the usual pace.
        """
        rng = random.Random(seed)
        pace = PaceEstimator().reset()
        estimator = FirstTokenEstimator(prefill_rate=RATE, chunk_tokens=0)
        router = PartRouter(PartMap(), estimator=estimator).reset()
        free_at = dict.fromkeys(SERVERS, 0.0)
        ends, late, after, now = [], [], [], 0.0
        for number in range(300):
            now += rng.expovariate(ARRIVALS_PER_SECOND)
            while ends and ends[0][0] <= now:
                at, request, server, seconds, factor = heapq.heappop(ends)
                pace.observe(PaceReported(server=server, factor=factor), at)
                known = pace.decide(PaceQuery(server=server), at)
                scale = known if learns_usual_rate else 1.0
                event = FirstTokenArrived(
                    request=request, seconds=seconds / scale, learn=True
                )
                router.observe(event, at)
                router.observe(DispatchEnded(request=request), at)
            query = PartQuery(
                parts=(),
                prompt_tokens=TOKENS,
                candidates=tuple(
                    PartCandidate(
                        server=server,
                        address=f"{server}:1",
                        version=1,
                        cache_key="m|1|",
                        failure_domain="a",
                        memory_tokens=10**9,
                        slots=100,
                        weight=1.0 / pace.decide(PaceQuery(server=server), now)
                        if uses_pace
                        else 1.0,
                    )
                    for server in SERVERS
                ),
                draw=rng.random(),
            )
            server = router.decide(query, now).candidate.server
            begin = max(now, free_at[server])
            is_slow = server == "a" and SLOW_FROM < begin < SLOW_UNTIL
            factor = SLOW_FACTOR if is_slow else 1.0
            factor *= math.exp(rng.gauss(0.0, 0.2))
            free_at[server] = begin + TOKENS / RATE * factor
            seconds = free_at[server] - now
            event = Dispatched(request=str(number), server=server, tokens=TOKENS)
            router.observe(event, now)
            heapq.heappush(
                ends, (free_at[server], str(number), server, seconds, factor)
            )
            if SLOW_FROM < now < SLOW_UNTIL:
                late.append(seconds > OBJECTIVE_SECONDS)
            elif SLOW_UNTIL + 1.0 < now < SLOW_UNTIL + 3.0:
                after.append(server == "a")
        return sum(late) / len(late), sum(after) / len(after)

    def play_all(self, **options):
        results = [self.play(seed, **options) for seed in range(SEEDS)]
        return [sum(column) / len(column) for column in zip(*results, strict=True)]

    # Guards against prompts that follow the rate which was learned before the second,
    # and against an engine whose slowness counts twice, in its pace and in its rate.
    def test_prompts_avoid_the_slow_engine_and_return_to_it(self):
        late, after = self.play_all(uses_pace=True, learns_usual_rate=True)
        simple_late, simple_after = self.play_all(
            uses_pace=False, learns_usual_rate=False
        )
        _, twice_after = self.play_all(uses_pace=True, learns_usual_rate=False)
        self.assertLess(late, 0.5 * simple_late)
        self.assertGreater(after, 2.0 * simple_after)
        self.assertGreater(after, twice_after)


if __name__ == "__main__":
    unittest.main()
