"""The indexes under gaps, duplicates, late events, bounds and store faults."""

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


def event(sequence, stored=(), removed=(), life="1"):
    return CacheEvent(
        server="s",
        incarnation=life,
        sequence=sequence,
        stored=tuple(stored),
        removed=tuple(removed),
    )


def listing(sequence, keys, life="1"):
    return CacheListing(
        server="s", incarnation=life, sequence=sequence, keys=tuple(keys)
    )


class TestPrefixIndex(unittest.TestCase):
    def setUp(self):
        self.index = PrefixIndex().reset()

    def held(self, now=0.0, keys=KEYS):
        found = self.index.decide(PrefixQuery(keys=keys), now)
        return found[0].pieces if found else 0

    def test_gap_makes_doubtful_until_the_listing(self):
        self.index.observe(event(1, KEYS[:3]), 0.0)
        trusted = self.index.decide(PrefixQuery(keys=KEYS), 0.0)[0].trust
        self.assertEqual(self.index.tick(0.0), [])
        self.index.observe(event(3, KEYS[4:5]), 0.0)
        doubted = self.index.decide(PrefixQuery(keys=KEYS), 0.0)[0].trust
        self.assertLess(doubted, trusted)
        self.assertEqual(self.index.tick(0.0), [RequestListing(server="s")])
        self.assertEqual(self.index.tick(0.1), [])
        self.assertEqual(self.index.tick(3.0), [RequestListing(server="s")])
        self.index.observe(listing(3, KEYS[:5]), 3.0)
        self.assertEqual(self.held(3.0), 5)
        self.assertEqual(self.index.tick(6.0), [])

    def test_quiet_engine_keeps_its_trust(self):
        self.index.observe(event(1, KEYS[:3]), 0.0)
        quiet = CacheSequenceReport(server="s", incarnation="1", sequence=1)
        for now in range(1, 300):
            self.index.observe(quiet, float(now))
        trust = self.index.decide(PrefixQuery(keys=KEYS), 299.0)[0].trust
        self.assertEqual(trust, 1.0)
        self.assertEqual(self.index.tick(299.0), [])

    def test_last_event_that_never_came_shows_as_a_gap(self):
        self.index.observe(event(1, KEYS[:3]), 0.0)
        lost = CacheSequenceReport(server="s", incarnation="1", sequence=2)
        self.index.observe(lost, 1.0)
        self.assertEqual(self.index.tick(1.0), [RequestListing(server="s")])

    def test_duplicate_changes_nothing(self):
        self.index.observe(event(1, KEYS[:3]), 0.0)
        self.index.observe(event(2, removed=KEYS[2:3]), 0.0)
        self.index.observe(event(1, KEYS[:3]), 0.0)
        self.assertEqual(self.held(), 2)

    def test_late_event_only_removes_what_was_not_stored_since(self):
        self.index.observe(event(1, KEYS[:3]), 0.0)
        self.index.observe(event(3, KEYS[1:2]), 0.0)
        self.index.observe(event(2, KEYS[3:4], removed=KEYS[1:3]), 0.0)
        self.assertEqual(self.held(), 2)

    def test_events_newer_than_a_listing_are_replayed_over_it(self):
        self.index.observe(event(1, KEYS[:1]), 0.0)
        self.index.observe(event(3, KEYS[1:2]), 0.0)
        self.index.observe(event(4, removed=KEYS[1:2]), 0.0)
        self.index.observe(listing(3, KEYS[:4]), 0.0)
        self.assertEqual(self.held(), 1)
        self.assertEqual(self.index.tick(0.0), [])

    def test_listing_older_than_the_gap_leaves_the_doubt(self):
        self.index.observe(event(1, KEYS[:1]), 0.0)
        self.index.observe(event(4, KEYS[1:2]), 0.0)
        self.index.observe(listing(2, KEYS[:1]), 0.0)
        self.assertEqual(self.index.tick(0.0), [RequestListing(server="s")])

    def test_new_life_forgets_and_old_life_stays_dead(self):
        self.index.observe(event(1, KEYS), 0.0)
        self.index.observe(event(1, KEYS[:1], life="2"), 0.0)
        self.index.observe(event(2, KEYS), 0.0)
        self.index.observe(listing(2, KEYS), 0.0)
        self.assertEqual(self.held(), 1)

    def test_bound_drops_the_least_recently_used(self):
        self.index = PrefixIndex(max_pieces=4).reset()
        self.index.observe(event(1, KEYS[:4]), 0.0)
        self.held(keys=KEYS[:2])
        self.index.observe(event(2, KEYS[4:6]), 0.0)
        self.assertEqual(self.held(), 2)

    def test_trust_falls_with_wrong_promises_and_with_age(self):
        self.index.observe(event(1, KEYS), 0.0)
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
    def test_any_lossy_order_ends_right_after_a_current_listing(self, steps, random):
        events, truth = [], set()
        for number, (key, stores) in enumerate(steps, 1):
            kind = "stored" if stores else "removed"
            events.append(event(number, **{kind: (key,)}))
            truth = truth | {key} if stores else truth - {key}
        heard = [item for item in events if random.random() < 0.7]
        heard += [item for item in events if random.random() < 0.3]
        random.shuffle(heard)
        for item in heard:
            self.index.observe(item, 0.0)
        self.index.observe(listing(len(steps), truth), 0.0)
        for item in heard:
            self.index.observe(item, 0.0)
        for key in KEYS:
            self.assertEqual(self.held(keys=(key,)), int(key in truth))
        self.index.reset()


class TestCompactTable(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 40), st.booleans()), max_size=200))
    def test_behaves_like_a_dict(self, steps):
        table, model = CompactTable(columns=2, max_rows=50), {}
        for number, (key, puts) in enumerate(steps):
            key *= 64
            if puts:
                table.put(key, number, key)
                model[key] = (number, key)
            else:
                self.assertEqual(table.remove(key), model.pop(key, None) is not None)
        self.assertEqual(dict(table.rows()), model)
        self.assertEqual(len(table), len(model))

    def test_bound_drops_old_rows(self):
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

    def found(self, now=1.0):
        found = self.index.decide(StoredPrefixQuery(keys=KEYS), now)
        return {item.store: item.pieces for item in found}

    def test_prompt_and_session_find_the_record(self):
        self.assertEqual(self.found(), {"one": 4})
        found = self.index.decide(StoredSessionQuery(session=self.session), 1.0)
        self.assertEqual((found[0].tail, found[0].pieces), (KEYS[3], 4))
        self.commit("one", 6, replaces=KEYS[3])
        self.assertEqual(self.found(), {"one": 6})
        self.assertEqual(len(self.index.tails_), 1)

    def test_dropped_record_is_not_offered_by_either_way(self):
        self.index.observe(PrefixDropped(store="one", tail=KEYS[3]), 1.0)
        self.assertEqual(self.found(), {})
        found = self.index.decide(StoredSessionQuery(session=self.session), 1.0)
        self.assertEqual(found, ())

    def test_dead_store_is_left_out_and_listed_on_its_return(self):
        failed = StoreFailed(store="one", fault=StoreFault.UNREACHABLE)
        self.index.observe(failed, 2.0)
        self.assertEqual(self.found(2.5), {})
        self.assertEqual(self.index.tick(2.5), [])
        self.assertEqual(self.found(3.1), {"one": 4})
        self.assertEqual(self.index.tick(3.1), [RequestRecords(store="one")])
        self.index.observe(failed, 3.2)
        self.assertEqual(self.found(5.0), {})
        self.index.observe(StoreReplied(store="one"), 5.0)
        self.assertEqual(self.found(5.0), {"one": 4})

    def test_emptied_store_leaves_the_others(self):
        self.commit("two", 5)
        self.index.observe(StoreEmptied(store="one"), 2.0)
        self.assertEqual(self.found(), {"two": 5})
        self.commit("three", 2)
        self.assertEqual(self.found(), {"two": 5, "three": 2})

    def test_full_store_is_read_but_not_written(self):
        self.commit("two", 5)
        query = StoreRankingQuery(session=self.session)
        self.assertEqual(len(self.index.decide(query, 1.0)), 2)
        self.index.observe(StoreFailed(store="one", fault=StoreFault.FULL), 2.0)
        self.assertEqual(self.index.decide(query, 2.0), ("two",))
        self.assertEqual(self.found(2.0), {"one": 4, "two": 5})
