"""Tests of the link schedulers and of the export and staging policies."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.base import Rank
from wasabistage.cache import (
    BACKLOG_FULL,
    LINK_IDLE,
    NOT_WORTH,
    QUEUE_FULL,
    BacklogChanged,
    ChunkMoved,
    ExportAll,
    ExportPolicy,
    ExportQuery,
    FifoLinkScheduler,
    ImportPieces,
    LinkScheduler,
    LoadIntoMemory,
    NextChunkQuery,
    NoExport,
    ServerHolding,
    SessionExpired,
    SessionReturned,
    StagingPolicy,
    StagingQuery,
    StagingUsed,
    StoreHolding,
    Tier,
    TransferCancelled,
    TransferKind,
    TransferPromoted,
    TransferQuery,
)

FETCH, STAGE, EXPORT = TransferKind
MAX_CHUNK_SECONDS = 0.1  # as docs/design/cache.md says
RATE_BYTES_PER_SECOND = 1e6


def make_transfer_query(name, kind, size=100_000, **fields):
    return TransferQuery(transfer=name, link="s", kind=kind, size=size, **fields)


def carry_until_idle(scheduler, now=0.0, latency=0.0, steps=10_000):
    """Carry all transfers over a serial link; yield each chunk and its end."""
    for _ in range(steps):
        chunk = scheduler.decide(NextChunkQuery(link="s"), now)
        if not chunk:
            if not scheduler.transfers_:
                return
            now += 0.001
            continue
        seconds = latency + chunk.size / RATE_BYTES_PER_SECOND
        now += seconds
        event = ChunkMoved(transfer=chunk.transfer, size=chunk.size, seconds=seconds)
        scheduler.observe(event, now)
        yield chunk, now
    raise AssertionError(
        f"{len(scheduler.transfers_)} transfers have not ended after {steps} steps"
    )


def run_until_idle(scheduler):
    """Carry all transfers over a serial link; return their ids as they end."""
    return [chunk.transfer for chunk, _ in carry_until_idle(scheduler) if chunk.last]


class TestLinkScheduler(unittest.TestCase):
    def setUp(self):
        self.scheduler = LinkScheduler(link_rate=RATE_BYTES_PER_SECOND).reset()

    def enqueue(self, *arguments, **fields):
        return self.scheduler.decide(make_transfer_query(*arguments, **fields), 0.0)

    def test_fetches_end_by_rank_then_staging_then_export(self):
        self.enqueue("export", EXPORT)
        self.enqueue("stage", STAGE)
        self.enqueue("tag", FETCH, rank=Rank.BACKGROUND)
        self.enqueue("chat", FETCH, rank=Rank.INTERACTIVE)
        self.enqueue("buy", FETCH, rank=Rank.URGENT)
        self.assertEqual(
            run_until_idle(self.scheduler), ["buy", "chat", "tag", "stage", "export"]
        )

    def test_fetch_starts_while_an_export_chunk_is_in_flight(self):
        self.enqueue("export", EXPORT)
        chunk = self.scheduler.decide(NextChunkQuery(link="s"), 1.0)
        self.assertLessEqual(chunk.size, RATE_BYTES_PER_SECOND * 0.005)
        self.enqueue("fetch", FETCH)
        chunk = self.scheduler.decide(NextChunkQuery(link="s"), 1.0)
        self.assertEqual(chunk.transfer, "fetch")
        idle = self.scheduler.decide(NextChunkQuery(link="s"), 1.0)
        self.assertTrue(LINK_IDLE.has_same_name(idle))

    def test_fifo_baseline_makes_a_fetch_wait_for_the_whole_export(self):
        scheduler = FifoLinkScheduler(link_rate=RATE_BYTES_PER_SECOND).reset()
        scheduler.decide(make_transfer_query("export", EXPORT), 0.0)
        scheduler.decide(make_transfer_query("fetch", FETCH), 0.0)
        self.assertEqual(run_until_idle(scheduler), ["export", "fetch"])

    def test_small_account_is_not_delayed_by_a_large_one_of_its_rank(self):
        for number in range(20):
            self.enqueue(f"big{number}", FETCH, account="big")
        self.enqueue("small", FETCH, account="small")
        self.assertLess(run_until_idle(self.scheduler).index("small"), 3)

    def test_account_served_before_is_not_delayed_by_a_new_one(self):
        for number in range(20):
            self.enqueue(f"old{number}", FETCH, account="old")
        run_until_idle(self.scheduler)
        for number in range(20):
            self.enqueue(f"new{number}", FETCH, account="new")
        self.enqueue("old", FETCH, account="old")
        self.assertLess(run_until_idle(self.scheduler).index("old"), 3)

    def test_max_queue_bounds_each_kind_and_cancelling_makes_room(self):
        self.scheduler = LinkScheduler(max_queue=2).reset()
        for name in "ab":
            self.assertTrue(self.enqueue(name, EXPORT))
        self.assertTrue(QUEUE_FULL.has_same_name(self.enqueue("c", EXPORT)))
        self.assertTrue(self.enqueue("d", FETCH))
        self.scheduler.observe(TransferCancelled(transfer="a"), 0.0)
        self.assertTrue(self.enqueue("c", EXPORT))

    def test_promoted_staging_precedes_fetches_of_lower_rank(self):
        self.enqueue("stage", STAGE)
        self.enqueue("chat", FETCH)
        promoted = TransferPromoted(transfer="stage", rank=Rank.URGENT)
        self.scheduler.observe(promoted, 0.0)
        self.assertEqual(run_until_idle(self.scheduler), ["stage", "chat"])

    def test_failed_chunk_ends_the_transfer(self):
        self.enqueue("a", FETCH)
        self.scheduler.decide(NextChunkQuery(link="s"), 0.0)
        self.scheduler.observe(ChunkMoved(transfer="a", size=0, seconds=0.1), 0.1)
        self.assertEqual(run_until_idle(self.scheduler), [])

    # Guards against chunks that shrink until a link carries nothing but latency.
    def test_latency_of_each_chunk_at_most_doubles_the_time_of_a_fetch(self):
        for latency in (0.0, 0.001, 0.02, 0.1):
            scheduler = LinkScheduler(link_rate=RATE_BYTES_PER_SECOND).reset()
            now = 0.0
            for number in range(12):
                started = now
                scheduler.decide(make_transfer_query(f"f{number}", FETCH), now)
                for _, end in carry_until_idle(scheduler, now, latency):
                    now = end
            with self.subTest(latency=latency):
                carried = 100_000 / RATE_BYTES_PER_SECOND
                self.assertLessEqual(now - started, 2 * (latency + carried))

    # Guards against rates measured on chunks that are counted but carry no piece.
    def test_chunks_are_whole_pieces(self):
        scheduler = LinkScheduler(link_rate=RATE_BYTES_PER_SECOND).reset()
        query = make_transfer_query("f", FETCH, size=1_000_000, piece_bytes=30_000)
        scheduler.decide(query, 0.0)
        *sizes, last = [chunk.size for chunk, _ in carry_until_idle(scheduler)]
        self.assertEqual({size % 30_000 for size in sizes}, {0})
        self.assertEqual(sum(sizes) + last, 1_000_000)

    # Guards against a link whose smallest chunks, all alike, hide its latency.
    def test_latency_is_found_from_the_smallest_chunks(self):
        for latency in (0.1, 1.0):
            scheduler = LinkScheduler(link_rate=RATE_BYTES_PER_SECOND).reset()
            query = make_transfer_query("f", FETCH, size=5_000_000, piece_bytes=5_000)
            scheduler.decide(query, 0.0)
            *_, (_, ended_at) = carry_until_idle(scheduler, latency=latency)
            with self.subTest(latency=latency):
                best = (5.0 / MAX_CHUNK_SECONDS) * latency + 5.0
                self.assertLessEqual(ended_at, 2 * best)

    # Guards against chunks that grow with the latency of a link until an urgent fetch
    # has to wait for seconds of another one.
    def test_long_latency_does_not_lengthen_chunks_without_bound(self):
        for latency in (0.2, 1.0, 30.0):
            scheduler = LinkScheduler(link_rate=RATE_BYTES_PER_SECOND).reset()
            query = make_transfer_query("fetch", FETCH, size=5_000_000)
            scheduler.decide(query, 0.0)
            with self.subTest(latency=latency):
                for chunk, _ in carry_until_idle(scheduler, latency=latency):
                    self.assertLessEqual(
                        chunk.size, MAX_CHUNK_SECONDS * RATE_BYTES_PER_SECOND
                    )

    @settings(max_examples=50, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(TransferKind), st.integers(1, 60_000)),
            max_size=20,
        )
    )
    def test_every_transfer_ends_exactly_once(self, items):
        scheduler = LinkScheduler(link_rate=RATE_BYTES_PER_SECOND).reset()
        for position, (kind, size) in enumerate(items):
            scheduler.decide(make_transfer_query(str(position), kind, size), 0.0)
        self.assertEqual(
            sorted(map(int, run_until_idle(scheduler))), list(range(len(items)))
        )


def make_export_query(**changes):
    fields = {
        "session": "s",
        "history_tokens": 4096,
        "size": 1 << 20,
        "idle_seconds": 0.0,
        "link_rate": 1e6,
        "prefill_rate": 4096.0,
    }
    return ExportQuery(**{**fields, **changes})


class TestExport(unittest.TestCase):
    def test_return_probability_follows_observed_idle_times(self):
        policy = ExportPolicy().reset()
        for _ in range(50):
            policy.observe(SessionReturned(idle_seconds=60.0), 0.0)
            policy.observe(SessionExpired(idle_seconds=90_000.0), 0.0)
        self.assertAlmostEqual(policy.estimate_return_probability(0.0), 0.5, delta=0.02)
        self.assertLess(policy.estimate_return_probability(1000.0), 0.1)

    def test_low_value_export_is_omitted_except_for_a_long_history(self):
        policy = ExportPolicy().reset()
        self.assertTrue(policy.decide(make_export_query(size=1 << 10), 0.0))
        costly = policy.decide(make_export_query(size=1 << 24), 0.0)
        self.assertTrue(NOT_WORTH.has_same_name(costly))
        long = make_export_query(size=1 << 24, history_tokens=40_000)
        self.assertTrue(policy.decide(long, 0.0))

    def test_full_backlog_refuses_every_export_and_backlog_raises_the_price(self):
        for policy_class in (ExportPolicy, ExportAll):
            policy = policy_class(max_backlog=1 << 21).reset()
            policy.observe(BacklogChanged(size=1 << 21), 0.0)
            answer = policy.decide(make_export_query(history_tokens=40_000), 0.0)
            self.assertTrue(BACKLOG_FULL.has_same_name(answer))
        policy = ExportPolicy(max_backlog=1 << 22).reset()
        query = make_export_query(size=1 << 18)
        self.assertTrue(policy.decide(query, 0.0))
        policy.observe(BacklogChanged(size=3 << 20), 0.0)
        self.assertFalse(policy.decide(query, 0.0))
        self.assertFalse(NoExport().reset().decide(query, 0.0))


class TestStaging(unittest.TestCase):
    def query(self, number=0, tier=Tier.DISK, **changes):
        stored = StoreHolding(store="x", tail="t", pieces=8, tier=tier, trust=1.0)
        fields = {"session": str(number), "server": "a", "piece_bytes": 1}
        return StagingQuery(**{**fields, "stored": (stored,), **changes})

    def test_pieces_that_the_server_lacks_are_loaded_and_imported(self):
        held = (ServerHolding(server="a", pieces=3, trust=1.0),)
        actions = StagingPolicy().reset().decide(self.query(held=held), 0.0)
        self.assertEqual(actions[0], LoadIntoMemory(session="0", store="x", tail="t"))
        self.assertIsInstance(actions[1], ImportPieces)
        self.assertEqual((actions[1].first, actions[1].pieces), (3, 8))

    def test_staged_or_held_pieces_are_skipped_and_long_link_queue_stops_imports(self):
        policy = StagingPolicy().reset()
        busy = policy.decide(self.query(queue_seconds=9.0), 0.0)
        self.assertEqual([type(action) for action in busy], [LoadIntoMemory])
        self.assertTrue(policy.decide(self.query(), 0.0))
        self.assertEqual(policy.decide(self.query(), 0.0), ())
        held = (ServerHolding(server="b", pieces=8, trust=1.0),)
        self.assertEqual(policy.decide(self.query(1, held=held), 0.0), ())

    def test_imports_stop_while_unused_and_resume_when_used(self):
        policy = StagingPolicy(expiry=1.0).reset()
        for number in range(200):
            policy.decide(self.query(number, Tier.MEMORY), float(number))
            policy.tick(float(number))
        results = [
            len(policy.decide(self.query(number, Tier.MEMORY), 300.0))
            for number in range(300, 340)
        ]
        self.assertEqual(sum(results), 2)
        for number in range(300, 600):
            policy.decide(self.query(number, Tier.MEMORY), 300.0)
            policy.observe(StagingUsed(session=str(number)), 300.0)
        results = [
            len(policy.decide(self.query(number, Tier.MEMORY), 300.0))
            for number in range(600, 620)
        ]
        self.assertEqual(sum(results), 20)

    def test_nothing_is_staged_beyond_max_open(self):
        policy = StagingPolicy(max_open=3).reset()
        results = [policy.decide(self.query(number), 0.0) for number in range(5)]
        self.assertEqual([bool(item) for item in results], [True] * 3 + [False] * 2)
