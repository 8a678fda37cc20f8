import unittest
from types import SimpleNamespace

from wasabistage.cache import PartMap
from wasabistage.exceptions import SettingError
from wasabistage.routing import (
    Dispatched,
    FirstTokenEstimator,
    MemoryReleased,
    MemoryReserved,
    PartCandidate,
    PartQuery,
    PartRouter,
    PartStore,
    PeerMemoryReserved,
    order_stores,
)

LARGE = PartStore(
    address="l:1",
    failure_domain="a",
    capacity_tokens=1_000_000,
    link_bytes_per_second=1e11,
)
SMALL = PartStore(
    address="f:1",
    failure_domain="a",
    capacity_tokens=100_000,
    link_bytes_per_second=1e11,
)


def part(name, tokens):
    return SimpleNamespace(part=name, tokens=tokens)


def events(*rows, epoch=1):
    return SimpleNamespace(
        epoch=epoch,
        position=len(rows),
        has_gap=False,
        events=tuple(
            SimpleNamespace(cache_key=key, part=name, tokens=tokens)
            for key, name, tokens in rows
        ),
    )


def candidate(server, **fields):
    return PartCandidate(
        server=server,
        address=f"{server}:1",
        version=1,
        cache_key="m|1|",
        failure_domain="a",
        memory_tokens=80_000,
        **fields,
    )


PARTS = (part("system", 500), part("session", 8000), part("own", 1500))


class PartRouterTest(unittest.TestCase):
    def setUp(self):
        self.parts = PartMap()
        for store in (LARGE, SMALL):
            self.parts.apply_events(store.address, events(), -60.0)
        estimator = FirstTokenEstimator(prefill_rate=85_000.0, chunk_tokens=0)
        self.router = PartRouter(self.parts, estimator=estimator).reset()

    def route(self, *candidates, stores=(LARGE, SMALL), draw=0.0, slack_seconds=0.0):
        query = PartQuery(
            parts=PARTS,
            prompt_tokens=10_000,
            output_tokens=50,
            candidates=candidates or (candidate("s1"), candidate("s2")),
            stores=stores,
            token_bytes=300_000,
            link_bytes_per_second=4e10,
            draw=draw,
            slack_seconds=slack_seconds,
        )
        return self.router.decide(query, 0.0)

    def test_reset_with_negative_work_weight_raises(self):
        with self.assertRaises(SettingError):
            PartRouter(self.parts, work_weight=-1).reset()

    def test_parts_that_engine_keeps_get_store_to_fetch_from(self):
        # An engine short of memory evicts parts before its events report it.
        rows = [("m|1|", item.part, item.tokens) for item in PARTS[:-1]]
        self.parts.apply_events("l:1", events(*rows), 0.0)
        self.parts.apply_events("s1:1", events(*rows), 0.0)
        decision = self.route(candidate("s1"))
        self.assertEqual((decision.kept, decision.fetched), (8500, 0))
        self.assertEqual(decision.fetch_from, ("l:1", "l:1", ""))

    # Guards against two long prompts that an engine reads one after the other.
    def test_long_prompts_keep_their_distance_at_an_engine(self):
        self.assertEqual(self.route(candidate("s1")).spacing_wait, 0.0)
        self.router.long_spacing = 0.06
        self.router.observe(Dispatched(request="r", server="s1", tokens=8_500), 0.0)
        decision = self.route(candidate("s1"))
        self.assertAlmostEqual(decision.spacing_wait, 0.1 + 0.06)
        self.assertAlmostEqual(
            decision.seconds, 0.02 + 0.16 + 10_000 / 85_000.0, delta=0.001
        )

    # Guards against streams that pause while a slow engine reads a long prompt.
    def test_long_prompt_avoids_an_engine_that_is_slow_at_the_moment(self):
        slow, busy = candidate("s1", is_slow=True), candidate("s2", penalty=0.1)
        self.assertEqual(self.route(slow, busy).candidate.server, "s2")
        usual = candidate("s1")
        self.assertEqual(self.route(usual, busy).candidate.server, "s1")
        short = PartQuery(
            parts=PARTS[:1], prompt_tokens=500, candidates=(slow, busy), stores=()
        )
        self.assertEqual(self.router.decide(short, 0.0).candidate.server, "s1")

    def test_engine_that_begins_after_its_limit_is_not_selected(self):
        self.router.observe(Dispatched(request="r", server="s1", tokens=85_000), 0.0)
        late, free = (
            candidate("s1", max_begin_seconds=0.5),
            candidate("s2", penalty=9.0),
        )
        self.assertEqual(self.route(late, free).candidate.server, "s2")
        self.assertFalse(self.route(late))
        in_time = candidate("s1", max_begin_seconds=1.5)
        self.assertEqual(self.route(in_time, free).candidate.server, "s1")

    def test_query_without_candidates_returns_no_server(self):
        query = PartQuery(parts=PARTS, prompt_tokens=10)
        self.assertFalse(self.router.decide(query, 0.0))

    def test_engine_that_keeps_leading_parts_is_selected(self):
        kept = events(("m|1|", "system", 500), ("m|1|", "session", 8000))
        self.parts.apply_events("s2:1", kept, 0.0)
        found = self.route()
        self.assertEqual(found.candidate.server, "s2")
        self.assertEqual((found.kept, found.tokens), (8500, 1500))

    def test_parts_after_a_gap_are_not_reused(self):
        self.parts.apply_events("s1:1", events(("m|1|", "session", 8000)), 0.0)
        found = self.route(candidate("s1"), stores=())
        self.assertEqual((found.kept, found.tokens), (0, 10_000))

    def test_parts_of_another_version_are_not_reused(self):
        self.parts.apply_events("s1:1", events(("m|2|", "system", 500)), 0.0)
        self.assertEqual(self.route(candidate("s1"), stores=()).kept, 0)

    def test_parts_in_store_are_fetched_and_not_saved_again(self):
        stored = events(("m|1|", "system", 500), ("m|1|", "session", 8000))
        self.parts.apply_events(LARGE.address, stored, 0.0)
        found = self.route()
        self.assertEqual(found.fetch_from, ("l:1", "l:1", ""))
        self.assertEqual((found.fetched, found.tokens), (8500, 1500))
        self.assertEqual(found.save_to, ("", "", ""))

    def test_shared_parts_are_saved_once_to_large_store(self):
        self.assertEqual(self.route().save_to, ("l:1", "l:1", ""))
        self.parts.record_save_start("l:1", "m|1|", "session", 8000, 0.0)
        self.assertEqual(self.route().save_to, ("l:1", "", ""))

    def test_full_store_receives_no_parts(self):
        self.parts.apply_events("l:1", events(("x", "y", 995_000)), 0.0)
        self.assertEqual(self.route().save_to, ("f:1", "f:1", ""))
        self.assertEqual(self.route(stores=(LARGE,)).save_to, ("", "", ""))

    def test_engine_with_backlog_is_not_selected(self):
        event = Dispatched(request="r", server="s1", tokens=40_000)
        self.router.observe(event, 0.0)
        self.assertEqual(self.route().candidate.server, "s2")

    def test_engine_with_memory_reserved_by_any_entry_is_not_selected(self):
        self.router.observe(
            PeerMemoryReserved(peer="b", reserved_tokens={"s1": 79_000}), 0.0
        )
        self.assertEqual(self.route().candidate.server, "s2")
        self.router.observe(PeerMemoryReserved(peer="b", reserved_tokens={}), 0.0)
        reservation = MemoryReserved(request="r", server="s2", tokens=79_000)
        self.router.observe(reservation, 0.0)
        self.assertEqual(self.route().candidate.server, "s1")
        self.router.observe(MemoryReleased(request="r"), 0.0)
        self.assertEqual(self.router.get_reserved_tokens("s2"), 0)

    def test_engine_whose_slots_other_entries_use_is_not_selected(self):
        busy = PeerMemoryReserved(peer="b", reserved_tokens={}, runs={"s1": 8})
        self.router.observe(busy, 0.0)
        self.assertEqual(self.router.get_runs("s1"), 8)
        found = self.route(candidate("s1", slots=8), candidate("s2", slots=8))
        self.assertEqual(found.candidate.server, "s2")
        self.router.observe(PeerMemoryReserved(peer="b", reserved_tokens={}), 0.0)
        self.assertEqual(self.router.get_runs("s1"), 0)

    def test_reports_of_many_entries_add_up_and_are_replaced(self):
        for peer in ("b", "c"):
            for tokens in (100, 300):
                event = PeerMemoryReserved(
                    peer=peer, reserved_tokens={"s1": tokens}, runs={"s1": 1}
                )
                self.router.observe(event, 0.0)
        self.assertEqual(self.router.get_reserved_tokens("s1"), 600)
        self.assertEqual(self.router.get_runs("s1"), 2)
        self.router.observe(PeerMemoryReserved(peer="b", reserved_tokens={}), 0.0)
        self.assertEqual(self.router.get_reserved_tokens("s1"), 300)

    def test_slack_in_seconds_makes_engines_equal(self):
        self.router.observe(Dispatched(request="r", server="s1", tokens=6000), 0.0)
        chosen = {self.route(draw=draw).candidate.server for draw in (0.0, 0.9)}
        self.assertEqual(chosen, {"s2"})
        chosen = {
            self.route(draw=draw, slack_seconds=1.0).candidate.server
            for draw in (0.0, 0.9)
        }
        self.assertEqual(chosen, {"s1", "s2"})

    def test_nothing_is_saved_to_a_store_that_has_just_restarted(self):
        self.assertEqual(self.route().save_to[0], LARGE.address)
        self.parts.apply_events(LARGE.address, events(epoch=2), 0.0)
        self.assertNotEqual(self.route().save_to[0], LARGE.address)
        self.assertFalse(self.parts.may_save(LARGE.address, "m|1|", "system", 1.9))
        self.assertTrue(self.parts.may_save(LARGE.address, "m|1|", "system", 2.1))

    # Guards against a process that has just started, and saves what those that fetch
    # know to be in the store already.
    def test_nothing_is_saved_to_a_store_whose_parts_are_not_all_known(self):
        self.parts.remove_source(LARGE.address)
        self.assertNotEqual(self.route().save_to[0], LARGE.address)
        self.parts.apply_events(LARGE.address, events(), -60.0, since=7)
        self.assertNotEqual(self.route().save_to[0], LARGE.address)
        self.parts.apply_events(LARGE.address, events(), -0.1, is_listing=True)
        self.assertEqual(self.route().save_to[0], LARGE.address)
        self.parts.apply_events(LARGE.address, events(epoch=2), -1.9)
        self.assertNotEqual(self.route().save_to[0], LARGE.address)
        self.parts.observe_epoch_age(LARGE.address, 2, 2.1, 0.0)
        self.assertEqual(self.route().save_to[0], LARGE.address)

    def test_engine_with_penalty_is_not_selected(self):
        found = self.route(candidate("s1", penalty=1.0), candidate("s2"))
        self.assertEqual(found.candidate.server, "s2")

    def test_draw_selects_among_equal_engines(self):
        servers = {self.route(draw=draw).candidate.server for draw in (0.0, 0.9)}
        self.assertEqual(servers, {"s1", "s2"})


class OrderStoresTest(unittest.TestCase):
    def test_large_stores_come_first_and_share_parts_about_evenly(self):
        other = PartStore(address="l:2", capacity_tokens=1_000_000)
        first_stores = [
            order_stores((SMALL, LARGE, other), f"part{number}")[0].address
            for number in range(100)
        ]
        self.assertEqual(set(first_stores), {"l:1", "l:2"})
        self.assertGreater(
            min(first_stores.count("l:1"), first_stores.count("l:2")), 25
        )


if __name__ == "__main__":
    unittest.main()
