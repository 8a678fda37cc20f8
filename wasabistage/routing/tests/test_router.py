"""Tests of the routers and the estimator.

They cover load reports that lag and servers that report another version.
"""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.cache import ServerHolding, StoreHolding, Tier
from wasabistage.routing import (
    GIVE_UP,
    NO_SERVER,
    Candidate,
    Dispatched,
    DispatchEnded,
    EstimateQuery,
    FetchCompleted,
    FetchProgressQuery,
    FirstTokenArrived,
    FirstTokenEstimator,
    LeastLoadedRouter,
    LeastOutstandingRouter,
    LinkQueueMeasured,
    LoadReport,
    PeerDispatched,
    Plan,
    PredictiveRouter,
    RandomRouter,
    RoundRobinRouter,
    RouteQuery,
    StickyRouter,
)

ROUTERS = (
    PredictiveRouter,
    RandomRouter,
    LeastLoadedRouter,
    StickyRouter,
    RoundRobinRouter,
)


def make_query(servers="abc", **changes):
    fields = {
        "account": "x",
        "model": "m",
        "version": "v1",
        "prompt_tokens": 20_500,
        "piece_bytes": 1 << 20,
        "candidates": tuple(Candidate(server=name, version="v1") for name in servers),
    }
    return RouteQuery(**{**fields, **changes})


def make_router(queued):
    router = PredictiveRouter().reset()
    for server, tokens in queued.items():
        router.observe(LoadReport(server=server, queued_tokens=tokens), 0.0)
    return router


def stored(pieces, trust=1.0):
    return StoreHolding(
        store="s", tail="t", pieces=pieces, tier=Tier.MEMORY, trust=trust
    )


class TestEligibility(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        st.lists(st.tuples(st.booleans(), st.sampled_from(["v1", "v2", ""]))),
        st.floats(0, 1),
    )
    def test_routers_select_only_usable_servers_with_queried_version(self, items, draw):
        candidates = tuple(
            Candidate(server=str(number), version=version, usable=usable)
            for number, (usable, version) in enumerate(items)
        )
        eligible = {
            item.server for item in candidates if item.usable and item.version == "v1"
        }
        for router in ROUTERS:
            query = make_query(candidates=candidates, draw=draw)
            decision = router().reset().decide(query, 0.0)
            if not eligible:
                self.assertTrue(NO_SERVER.has_same_name(decision))
                self.assertTrue(decision.reason)
                continue
            self.assertEqual({decision.server, *decision.alternatives}, eligible)


class TestPredictiveRouter(unittest.TestCase):
    def decide(self, router, **changes):
        return router.decide(make_query(**changes), 0.0)

    def test_holder_is_selected_unless_its_queue_takes_longer_than_fetch(self):
        held = (ServerHolding(server="a", pieces=10, trust=1.0),)
        idle = make_router({"a": 0, "b": 0, "c": 0})
        decision = self.decide(idle, held=held, stored=(stored(10),))
        self.assertEqual((decision.server, decision.plan), ("a", Plan.HOLD))
        self.assertEqual(decision.tokens, 20)
        busy = make_router({"a": 40_000, "b": 0, "c": 9000})
        decision = self.decide(busy, held=held, stored=(stored(10),))
        self.assertEqual((decision.server, decision.plan), ("b", Plan.FETCH))
        self.assertEqual((decision.store, decision.fetched), ("s", 10))

    def test_slow_or_busy_link_leads_to_recomputing(self):
        router = make_router({"a": 0, "b": 0, "c": 0})
        for _ in range(40):
            router.observe(FetchCompleted(store="s", size=1 << 20, seconds=1.0), 0.0)
        self.assertEqual(self.decide(router, stored=(stored(10),)).plan, Plan.RECOMPUTE)
        router = make_router({"a": 0, "b": 0, "c": 0})
        router.observe(LinkQueueMeasured(store="s", size=1 << 33), 0.0)
        self.assertEqual(self.decide(router, stored=(stored(10),)).plan, Plan.RECOMPUTE)

    def test_server_with_more_pieces_of_low_trust_is_not_selected(self):
        router = make_router({"a": 0, "b": 0, "c": 0})
        held = (
            ServerHolding(server="a", pieces=10, trust=0.1),
            ServerHolding(server="b", pieces=8, trust=1.0),
        )
        self.assertEqual(self.decide(router, held=held).server, "b")

    def test_server_with_some_pieces_fetches_only_missing_ones(self):
        router = make_router({"a": 0, "b": 0, "c": 0})
        held = (ServerHolding(server="a", pieces=6, trust=1.0),)
        decision = self.decide(router, held=held, stored=(stored(10),))
        self.assertEqual((decision.server, decision.fetched), ("a", 4))

    def test_draw_selects_among_equal_servers(self):
        router = make_router({"a": 0, "b": 0, "c": 0})
        chosen = {self.decide(router, draw=draw / 10).server for draw in range(10)}
        self.assertEqual(chosen, {"a", "b", "c"})

    def test_fully_held_prompt_still_computes_one_token(self):
        router = make_router({"a": 0})
        held = (ServerHolding(server="a", pieces=10, trust=1.0),)
        decision = self.decide(router, servers="a", held=held, prompt_tokens=20_480)
        self.assertEqual(decision.tokens, 1)


class TestFirstTokenEstimator(unittest.TestCase):
    def setUp(self):
        self.estimator = FirstTokenEstimator(prefill_rate=1000.0).reset()

    def dispatch(self, request, tokens, now):
        event = Dispatched(request=request, server="a", tokens=tokens)
        self.estimator.observe(event, now)

    def test_own_dispatches_since_measurement_add_to_backlog(self):
        self.dispatch("old", 500, 0.0)
        self.dispatch("new", 700, 2.0)
        report = LoadReport(server="a", queued_tokens=3000, lag=1.0)
        self.estimator.observe(report, 2.0)
        self.assertAlmostEqual(
            self.estimator.estimate_backlog("a", 2.0), 3000 + 700 - 1000
        )
        self.assertEqual(self.estimator.estimate_backlog("a", 99.0), 0.0)

    def test_peer_dispatches_since_measurement_add_to_backlog(self):
        report = LoadReport(server="a", queued_tokens=3000, lag=1.0)
        self.estimator.observe(report, 2.0)
        for lag, tokens in ((1.5, 400), (0.2, 600)):
            peer = PeerDispatched(server="a", tokens=tokens, lag=lag)
            self.estimator.observe(peer, 2.0)
        self.assertAlmostEqual(
            self.estimator.estimate_backlog("a", 2.0), 3000 + 600 - 1000
        )

    def test_idle_time_does_not_reduce_later_work(self):
        self.dispatch("x", 500, 9.9)
        self.estimator.observe(LoadReport(server="a", lag=10.0), 10.0)
        self.assertAlmostEqual(self.estimator.estimate_backlog("a", 10.0), 400, delta=1)

    def test_failed_attempt_is_subtracted_from_backlog(self):
        self.estimator.observe(LoadReport(server="a"), 0.0)
        self.dispatch("x", 500, 0.0)
        self.estimator.observe(DispatchEnded(request="x"), 0.0)
        self.assertEqual(self.estimator.estimate_backlog("a", 0.0), 0.0)

    def test_prompt_with_first_token_is_not_subtracted_from_backlog_twice(self):
        self.estimator.observe(LoadReport(server="a"), 0.0)
        self.dispatch("x", 2000, 0.0)
        self.dispatch("y", 2000, 0.0)
        self.estimator.observe(FirstTokenArrived(request="x", seconds=2.0), 2.0)
        self.assertAlmostEqual(
            self.estimator.estimate_backlog("a", 2.0), 2000, delta=100
        )

    def test_report_measured_earlier_does_not_replace_newer_one(self):
        self.estimator.observe(LoadReport(server="a", queued_tokens=10), 5.0)
        late = LoadReport(server="a", queued_tokens=9000, lag=4.0)
        self.estimator.observe(late, 5.1)
        self.assertLess(self.estimator.estimate_backlog("a", 5.1), 10)

    def test_slow_server_gets_lower_rate_from_samples(self):
        for number in range(40):
            now = 10.0 * number
            self.estimator.observe(LoadReport(server="a"), now)
            self.dispatch(str(number), 1000, now)
            self.estimator.observe(
                FirstTokenArrived(request=str(number), seconds=5.0), now + 5.0
            )
        found = self.estimator.estimate_prefill_seconds("a", 1000, 395.0)
        self.assertAlmostEqual(found, 5.0, delta=0.2)
        self.assertEqual(len(self.estimator.open_dispatches_), 0)

    def test_single_slow_sample_has_bounded_effect_that_decays(self):
        for server in "abc":
            self.estimator.observe(LoadReport(server=server), 0.0)
        self.dispatch("x", 600, 0.0)
        self.estimator.observe(FirstTokenArrived(request="x", seconds=60.0), 60.0)
        self.assertGreater(self.estimator.estimate_rate("a", 60.0), 700.0)
        self.assertLess(self.estimator.estimate_rate("a", 60.0), 900.0)
        self.assertAlmostEqual(
            self.estimator.estimate_rate("a", 600.0), 1000.0, delta=1.0
        )

    def sample(self, request, now, rate, tokens=6000):
        """Let an idle server compute a prompt at a rate; return the time of its end."""
        self.estimator.observe(LoadReport(server="a"), now)
        self.dispatch(request, tokens, now)
        seconds = tokens / rate + self.estimator.overhead
        event = FirstTokenArrived(request=request, seconds=seconds)
        self.estimator.observe(event, now + seconds)
        return now + seconds

    # Guards against a fetch that is given up for computing that takes four times as
    # long, since the initial rate still counts after three prompts.
    def test_fetch_is_kept_after_three_prompts_of_a_slow_server(self):
        self.estimator = FirstTokenEstimator(prefill_rate=8000.0).reset()
        now = 0.0
        for number in range(3):
            now = self.sample(str(number), now, 1000.0)
        progress = FetchProgressQuery(
            server="a", store="s", ahead=0, size=2000, tokens=6000
        )
        queue = LinkQueueMeasured(store="s", size=0, rate=1000.0)
        self.estimator.observe(queue, now)
        self.assertTrue(self.estimator.decide(progress, now))

    # Guards against an entry that takes 45 engines for as fast as their initial rate,
    # since each gives it a sample every few seconds.
    def test_rate_of_servers_without_samples_follows_the_others(self):
        self.estimator = FirstTokenEstimator(prefill_rate=8000.0, pool_gain=0.03)
        self.estimator.reset()
        now = 0.0
        for number in range(10):
            now = self.sample(str(number), now, 4000.0)
        self.assertAlmostEqual(
            self.estimator.estimate_rate("other", now), 4000.0, delta=400.0
        )
        # Ten samples that each weigh ``gain`` leave this part of the first error.
        left = 2.0 ** ((1.0 - self.estimator.gain) ** 10)
        self.assertLess(self.estimator.estimate_rate("a", now), 4000.0 * left)

    def test_fast_server_is_learned_as_soon(self):
        now = 0.0
        for number in range(4):
            now = self.sample(str(number), now, 8000.0)
        self.assertGreater(self.estimator.estimate_rate("a", now), 4000.0)

    # Guards against a stalled prompt, at any place among the first ones, that makes a
    # server appear slow.
    def test_one_slow_sample_among_the_first_has_a_bounded_effect(self):
        for slow in range(5):
            self.setUp()
            now, rates = 0.0, []
            for number in range(5):
                now = self.sample(str(number), now, 10.0 if number == slow else 1000.0)
                rates.append(self.estimator.estimate_rate("a", now))
            with self.subTest(slow=slow):
                self.assertGreater(min(rates), 700.0)

    def test_server_without_samples_is_not_slower_than_peers(self):
        for server in "abc":
            self.estimator.observe(LoadReport(server=server), 0.0)
        for number in range(10):
            now = 10.0 * number
            self.dispatch(str(number), 1000, now)
            first = FirstTokenArrived(request=str(number), seconds=0.1)
            self.estimator.observe(first, now + 0.1)
        learned = self.estimator.estimate_rate("a", 91.0)
        self.assertGreater(learned, 2000.0)
        self.assertGreaterEqual(self.estimator.estimate_rate("b", 91.0), learned)

    def test_short_prompt_waits_for_chunks_of_long_prompt_if_interleaved(self):
        report = LoadReport(server="a", queued_tokens=90_000, running=2)
        self.estimator.observe(report, 0.0)
        self.assertEqual(self.estimator.estimate_tokens_ahead("a", 300, 0.0), 2048)
        self.assertEqual(self.estimator.estimate_tokens_ahead("a", 80_000, 0.0), 90_000)
        serial = FirstTokenEstimator(chunk_tokens=0).reset()
        serial.observe(report, 0.0)
        self.assertEqual(serial.estimate_tokens_ahead("a", 300, 0.0), 90_000)

    def test_fetch_is_given_up_only_if_recomputing_is_faster(self):
        progress = FetchProgressQuery(
            server="a", store="s", ahead=500, size=500, tokens=2000
        )
        self.estimator.observe(LinkQueueMeasured(store="s", size=0, rate=1000.0), 0.0)
        keep = self.estimator.decide(progress, 0.0)
        self.assertAlmostEqual(keep.check_after, 0.5)
        self.estimator.observe(LinkQueueMeasured(store="s", size=0, rate=100.0), 1.0)
        self.assertTrue(GIVE_UP.has_same_name(self.estimator.decide(progress, 1.0)))

    def test_unknown_server_has_no_estimate(self):
        self.assertFalse(
            self.estimator.decide(EstimateQuery(server="z", tokens=1), 0.0)
        )


class TestLeastOutstandingRouter(unittest.TestCase):
    def setUp(self):
        self.router = LeastOutstandingRouter().reset()
        self.candidates = tuple(
            Candidate(server=name, version="v") for name in ("a", "b", "c", "d")
        )

    def choose(self, draw):
        query = RouteQuery(
            account="",
            model="shop",
            version="v",
            prompt_tokens=1,
            candidates=self.candidates,
            draw=draw,
        )
        return self.router.decide(query, 0.0).server

    def dispatch(self, request, server):
        event = Dispatched(request=request, server=server, tokens=1)
        self.router.observe(event, 0.0)

    def test_draw_spreads_requests_evenly_over_idle_servers(self):
        found = [self.choose(number / 100) for number in range(100)]
        self.assertEqual(
            {name: found.count(name) for name in "abcd"}, dict.fromkeys("abcd", 25)
        )

    def test_busy_server_is_not_selected_until_its_request_ends(self):
        self.dispatch("r1", "a")
        self.assertNotIn("a", {self.choose(number / 100) for number in range(100)})
        self.router.observe(DispatchEnded(request="r1"), 0.0)
        self.assertIn("a", {self.choose(number / 100) for number in range(100)})
        self.assertEqual(self.router.open_counts_, {})

    def test_retry_moves_request_to_its_new_server(self):
        self.dispatch("r1", "a")
        self.dispatch("r1", "b")
        self.assertEqual(self.router.open_counts_, {"b": 1})

    def test_server_that_reports_running_requests_is_not_selected(self):
        self.router.observe(LoadReport(server="c", running=5), 0.0)
        self.assertNotIn("c", {self.choose(number / 100) for number in range(100)})
