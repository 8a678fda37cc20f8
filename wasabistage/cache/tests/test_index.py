"""Tests of the indexes with lost, duplicated and late events, bounds and faults."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.cache import (
    CacheEvent,
    CacheListing,
    CacheSequenceReport,
    CompactTable,
    PrefixCommitted,
    PrefixDropped,
    PrefixIndex,
    PrefixOutcome,
    PrefixQuery,
    RequestListing,
    RequestRecords,
    StoredPrefixQuery,
    StoredSessionQuery,
    StoreEmptied,
    StoreFailed,
    StoreFault,
    StoreIndex,
    StoreRankingQuery,
    StoreReplied,
    piece_keys,
    session_key,
)

KEYS = piece_keys("a", "m", "v", bytes(range(32)), 4)


def make_event(sequence, stored=(), removed=(), incarnation="1"):
    return CacheEvent(
        server="s",
        incarnation=incarnation,
        sequence=sequence,
        stored=tuple(stored),
        removed=tuple(removed),
    )


def make_listing(sequence, keys, incarnation="1"):
    return CacheListing(
        server="s", incarnation=incarnation, sequence=sequence, keys=tuple(keys)
    )


class TestPrefixIndex(unittest.TestCase):
    def setUp(self):
        self.index = PrefixIndex().reset()

    def count_held(self, now=0.0, keys=KEYS):
        holdings = self.index.decide(PrefixQuery(keys=keys), now)
        return holdings[0].pieces if holdings else 0

    def test_gap_lowers_trust_and_requests_listings_until_one_arrives(self):
        self.index.observe(make_event(1, KEYS[:3]), 0.0)
        trusted = self.index.decide(PrefixQuery(keys=KEYS), 0.0)[0].trust
        self.assertEqual(self.index.tick(0.0), [])
        self.index.observe(make_event(3, KEYS[4:5]), 0.0)
        lowered = self.index.decide(PrefixQuery(keys=KEYS), 0.0)[0].trust
        self.assertLess(lowered, trusted)
        self.assertEqual(self.index.tick(0.0), [RequestListing(server="s")])
        self.assertEqual(self.index.tick(0.1), [])
        self.assertEqual(self.index.tick(3.0), [RequestListing(server="s")])
        self.index.observe(make_listing(3, KEYS[:5]), 3.0)
        self.assertEqual(self.count_held(3.0), 5)
        self.assertEqual(self.index.tick(6.0), [])

    def test_repeated_reports_of_one_sequence_keep_full_trust(self):
        self.index.observe(make_event(1, KEYS[:3]), 0.0)
        report = CacheSequenceReport(server="s", incarnation="1", sequence=1)
        for now in range(1, 300):
            self.index.observe(report, float(now))
        trust = self.index.decide(PrefixQuery(keys=KEYS), 299.0)[0].trust
        self.assertEqual(trust, 1.0)
        self.assertEqual(self.index.tick(299.0), [])

    def test_loss_of_the_last_event_is_detected_as_a_gap(self):
        self.index.observe(make_event(1, KEYS[:3]), 0.0)
        report = CacheSequenceReport(server="s", incarnation="1", sequence=2)
        self.index.observe(report, 1.0)
        self.assertEqual(self.index.tick(1.0), [RequestListing(server="s")])

    def test_duplicate_event_changes_nothing(self):
        self.index.observe(make_event(1, KEYS[:3]), 0.0)
        self.index.observe(make_event(2, removed=KEYS[2:3]), 0.0)
        self.index.observe(make_event(1, KEYS[:3]), 0.0)
        self.assertEqual(self.count_held(), 2)

    def test_late_event_removes_only_pieces_not_stored_since(self):
        self.index.observe(make_event(1, KEYS[:3]), 0.0)
        self.index.observe(make_event(3, KEYS[1:2]), 0.0)
        self.index.observe(make_event(2, KEYS[3:4], removed=KEYS[1:3]), 0.0)
        self.assertEqual(self.count_held(), 2)

    def test_events_newer_than_a_listing_are_applied_after_it(self):
        self.index.observe(make_event(1, KEYS[:1]), 0.0)
        self.index.observe(make_event(3, KEYS[1:2]), 0.0)
        self.index.observe(make_event(4, removed=KEYS[1:2]), 0.0)
        self.index.observe(make_listing(3, KEYS[:4]), 0.0)
        self.assertEqual(self.count_held(), 1)
        self.assertEqual(self.index.tick(0.0), [])

    def test_listing_older_than_the_gap_is_requested_again(self):
        self.index.observe(make_event(1, KEYS[:1]), 0.0)
        self.index.observe(make_event(4, KEYS[1:2]), 0.0)
        self.index.observe(make_listing(2, KEYS[:1]), 0.0)
        self.assertEqual(self.index.tick(0.0), [RequestListing(server="s")])

    def test_new_incarnation_clears_pieces_and_old_one_is_ignored(self):
        self.index.observe(make_event(1, KEYS), 0.0)
        self.index.observe(make_event(1, KEYS[:1], incarnation="2"), 0.0)
        self.index.observe(make_event(2, KEYS), 0.0)
        self.index.observe(make_listing(2, KEYS), 0.0)
        self.assertEqual(self.count_held(), 1)

    def test_full_index_evicts_the_least_recently_used_pieces(self):
        self.index = PrefixIndex(max_pieces=4).reset()
        self.index.observe(make_event(1, KEYS[:4]), 0.0)
        self.count_held(keys=KEYS[:2])
        self.index.observe(make_event(2, KEYS[4:6]), 0.0)
        self.assertEqual(self.count_held(), 2)

    def test_trust_falls_when_pieces_are_missing_and_with_age(self):
        self.index.observe(make_event(1, KEYS), 0.0)
        query = PrefixQuery(keys=KEYS)
        fresh = self.index.decide(query, 0.0)[0].trust
        self.assertLess(self.index.decide(query, 30.0)[0].trust, fresh)
        self.index.observe(PrefixOutcome(server="s", expected=8, found=0), 0.0)
        self.assertLess(self.index.decide(query, 0.0)[0].trust, fresh)
        self.assertEqual(self.index.tick(61.0), [RequestListing(server="s")])

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(KEYS), st.booleans()), min_size=1, max_size=20
        ),
        st.randoms(use_true_random=False),
    )
    def test_lossy_reordered_events_with_a_current_listing_give_the_true_pieces(
        self, steps, random
    ):
        events, expected_pieces = [], set()
        for number, (key, is_stored) in enumerate(steps, 1):
            field = "stored" if is_stored else "removed"
            events.append(make_event(number, **{field: (key,)}))
            expected_pieces = (
                expected_pieces | {key} if is_stored else expected_pieces - {key}
            )
        received = [item for item in events if random.random() < 0.7]
        received += [item for item in events if random.random() < 0.3]
        random.shuffle(received)
        for item in received:
            self.index.observe(item, 0.0)
        self.index.observe(make_listing(len(steps), expected_pieces), 0.0)
        for item in received:
            self.index.observe(item, 0.0)
        for key in KEYS:
            self.assertEqual(self.count_held(keys=(key,)), int(key in expected_pieces))
        self.index.reset()


class TestCompactTable(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 40), st.booleans()), max_size=200))
    def test_random_operations_give_the_rows_of_a_dict(self, steps):
        table, expected = CompactTable(columns=2, max_rows=50), {}
        for number, (key, is_put) in enumerate(steps):
            key *= 64
            if is_put:
                table.put(key, number, key)
                expected[key] = (number, key)
            else:
                self.assertEqual(table.remove(key), expected.pop(key, None) is not None)
        self.assertEqual(dict(table.rows()), expected)
        self.assertEqual(len(table), len(expected))

    def test_full_table_evicts_old_rows_first(self):
        table = CompactTable(max_rows=1000)
        for number in range(1, 5001):
            table.put(number * 977, number)
        self.assertEqual(len(table), 1000)
        kept = [words[0] for _, words in table.rows()]
        self.assertGreater(sum(kept) / len(kept), 4000)
        self.assertEqual(table.get(5000 * 977), (5000,))


class TestStoreIndex(unittest.TestCase):
    def setUp(self):
        self.index = StoreIndex().reset()
        self.session = session_key("a", "m", "s")
        self.commit("one", 4)

    def commit(self, store, pieces, replaces=""):
        self.index.observe(
            PrefixCommitted(
                store=store,
                tail=KEYS[pieces - 1],
                pieces=pieces,
                session=self.session,
                replaces=replaces,
            ),
            1.0,
        )

    def find_stored(self, now=1.0):
        holdings = self.index.decide(StoredPrefixQuery(keys=KEYS), now)
        return {item.store: item.pieces for item in holdings}

    def test_record_is_found_by_prompt_and_by_session_until_replaced(self):
        self.assertEqual(self.find_stored(), {"one": 4})
        holdings = self.index.decide(StoredSessionQuery(session=self.session), 1.0)
        self.assertEqual((holdings[0].tail, holdings[0].pieces), (KEYS[3], 4))
        self.commit("one", 6, replaces=KEYS[3])
        self.assertEqual(self.find_stored(), {"one": 6})
        self.assertEqual(len(self.index.tails_), 1)

    def test_dropped_record_is_found_neither_by_prompt_nor_by_session(self):
        self.index.observe(PrefixDropped(store="one", tail=KEYS[3]), 1.0)
        self.assertEqual(self.find_stored(), {})
        holdings = self.index.decide(StoredSessionQuery(session=self.session), 1.0)
        self.assertEqual(holdings, ())

    def test_unreachable_store_is_omitted_and_listed_when_tried_again(self):
        failed = StoreFailed(store="one", fault=StoreFault.UNREACHABLE)
        self.index.observe(failed, 2.0)
        self.assertEqual(self.find_stored(2.5), {})
        self.assertEqual(self.index.tick(2.5), [])
        self.assertEqual(self.find_stored(3.1), {"one": 4})
        self.assertEqual(self.index.tick(3.1), [RequestRecords(store="one")])
        self.index.observe(failed, 3.2)
        self.assertEqual(self.find_stored(5.0), {})
        self.index.observe(StoreReplied(store="one"), 5.0)
        self.assertEqual(self.find_stored(5.0), {"one": 4})

    def test_emptied_store_loses_its_rows_and_others_keep_theirs(self):
        self.commit("two", 5)
        self.index.observe(StoreEmptied(store="one"), 2.0)
        self.assertEqual(self.find_stored(), {"two": 5})
        self.commit("three", 2)
        self.assertEqual(self.find_stored(), {"two": 5, "three": 2})

    def test_full_store_is_read_but_not_written(self):
        self.commit("two", 5)
        query = StoreRankingQuery(session=self.session)
        self.assertEqual(len(self.index.decide(query, 1.0)), 2)
        self.index.observe(StoreFailed(store="one", fault=StoreFault.FULL), 2.0)
        self.assertEqual(self.index.decide(query, 2.0), ("two",))
        self.assertEqual(self.find_stored(2.0), {"one": 4, "two": 5})
