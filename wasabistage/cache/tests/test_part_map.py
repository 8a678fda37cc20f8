"""Tests of the map of prompt parts and of their cache keys."""

import random
import unittest
from types import SimpleNamespace

from wasabistage.cache import (
    SAVE_PAUSE_SECONDS,
    SAVE_TIMEOUT_SECONDS,
    PartCacheKey,
    PartMap,
    cache_scope,
    find_scopes,
    parse_part_cache_key,
    part_cache_key,
)


def make_events(*rows, epoch=1, position=1, has_gap=False):
    return SimpleNamespace(
        epoch=epoch,
        position=position,
        has_gap=has_gap,
        events=tuple(
            SimpleNamespace(cache_key="k", part=part, tokens=tokens)
            for part, tokens in rows
        ),
    )


class PartMapTest(unittest.TestCase):
    def setUp(self):
        self.parts = PartMap()

    def test_newer_event_replaces_the_tokens_of_a_part(self):
        self.parts.apply_events("a", make_events(("p", 800), ("q", 200)), 0.0)
        self.assertEqual(self.parts.get_total_tokens("a"), 1000)
        self.parts.apply_events("a", make_events(("p", 128), ("q", 0)), 0.0)
        self.assertEqual(self.parts.tokens("a", "k", "p"), 128)
        self.assertEqual(self.parts.tokens("a", "k", "q"), 0)
        self.assertEqual(self.parts.get_total_tokens("a"), 128)

    def test_restart_of_a_source_removes_its_parts(self):
        self.assertFalse(self.parts.apply_events("a", make_events(("p", 800)), 0.0))
        self.assertTrue(self.parts.apply_events("a", make_events(epoch=2), 0.0))
        self.assertEqual(self.parts.tokens("a", "k", "p"), 0)

    def test_listing_replaces_the_parts_of_a_source(self):
        self.parts.apply_events("a", make_events(("p", 800)), 0.0)
        self.parts.apply_events("a", make_events(("q", 10)), 0.0, is_listing=True)
        self.assertEqual(self.parts.find_parts("a", lambda key: True), [("k", "q")])

    def test_save_counts_as_in_progress_until_its_timeout(self):
        self.parts.record_save_start("a", "k", "p", 500, 0.0)
        self.assertTrue(
            self.parts.is_save_in_progress("k", "p", SAVE_TIMEOUT_SECONDS - 0.1)
        )
        self.assertEqual(self.parts.get_saving_tokens("a", 0.1), 500)
        self.assertEqual(self.parts.get_saving_tokens("a", SAVE_TIMEOUT_SECONDS), 0)
        self.assertFalse(self.parts.is_save_in_progress("k", "p", SAVE_TIMEOUT_SECONDS))


class CompletenessTest(unittest.TestCase):
    """Pattern: entries start and miss events while a store restarts."""

    def setUp(self):
        self.parts = PartMap()

    def get_save_time(self):
        """Return the first time at which parts may be saved to the store, or None."""
        times = [step / 4 for step in range(200)]
        return next(
            (time for time in times if self.parts.may_save("a", "k", "p", time)), None
        )

    def test_nothing_is_saved_until_the_epoch_was_known_for_a_while(self):
        self.assertIsNone(self.get_save_time())
        self.parts.apply_events("a", make_events(("p", 800)), 10.0)
        self.assertTrue(self.parts.is_complete("a"))
        self.assertEqual(self.get_save_time(), 10.0 + SAVE_PAUSE_SECONDS)
        self.parts.apply_events("a", make_events(position=2), 11.0, since=1)
        self.assertEqual(self.get_save_time(), 10.0 + SAVE_PAUSE_SECONDS)

    # Guards against an entry that has just started and takes the latest events of a
    # store for all of its parts.
    def test_events_after_unknown_ones_are_not_all_parts(self):
        self.parts.apply_events("a", make_events(position=9), 10.0, since=8)
        self.assertFalse(self.parts.is_complete("a"))
        self.parts.apply_events("a", make_events(position=10), 11.0, since=9)
        self.assertIsNone(self.get_save_time())
        self.parts.apply_events("a", make_events(position=10), 12.0, is_listing=True)
        self.assertEqual(self.get_save_time(), 10.0 + SAVE_PAUSE_SECONDS)

    def test_skipped_events_end_completeness(self):
        self.parts.apply_events("a", make_events(("p", 800)), 10.0)
        self.parts.apply_events("a", make_events(position=9), 11.0, since=8)
        self.assertIsNone(self.get_save_time())

    def test_gap_in_the_events_of_the_store_ends_completeness(self):
        self.parts.apply_events("a", make_events(("p", 800)), 10.0)
        self.parts.apply_events("a", make_events(has_gap=True), 11.0, since=1)
        self.assertIsNone(self.get_save_time())

    def test_restart_begins_the_pause_again(self):
        self.parts.apply_events("a", make_events(("p", 800)), 0.0)
        self.parts.apply_events("a", make_events(epoch=2), 10.0, since=1)
        self.assertIsNone(self.get_save_time())
        self.parts.apply_events("a", make_events(epoch=2), 11.0, is_listing=True)
        self.assertEqual(self.get_save_time(), 10.0 + SAVE_PAUSE_SECONDS)

    # Guards against a pause of the saves at each start of an entry, though the store
    # has not restarted.
    def test_epoch_is_as_old_as_the_first_entry_knows(self):
        self.parts.observe_epoch_age("a", 1, 60.0, 9.0)
        self.parts.apply_events("a", make_events(epoch=1), 10.0)
        self.parts.observe_epoch_age("a", 2, 60.0, 10.0)
        self.assertEqual(self.get_save_time(), 10.0 + SAVE_PAUSE_SECONDS)
        for age in (1.5, 1.0, -4.0, float("nan")):
            self.parts.observe_epoch_age("a", 1, age, 11.0)
        self.assertEqual(self.get_save_time(), 9.5 + SAVE_PAUSE_SECONDS)
        self.assertEqual(self.parts.get_epoch_ages(["a", "b"], 12.0), [("a", 1, 2.5)])
        self.parts.apply_events("a", make_events(position=9), 11.0, since=8)
        self.assertIsNone(self.get_save_time())

    # Guards against an entry that saves a part which has just left the store, while
    # those that have not heard of it still fetch it.
    def test_part_that_has_left_the_store_is_not_saved_at_once(self):
        self.parts.apply_events("a", make_events(("p", 800), ("q", 9)), 0.0)
        self.parts.apply_events("a", make_events(("p", 0)), 10.0, since=1)
        self.assertFalse(self.parts.may_save("a", "k", "p", 11.9))
        self.assertTrue(self.parts.may_save("a", "k", "q", 11.9))
        self.assertTrue(self.parts.may_save("a", "k", "p", 12.0))
        self.assertTrue(self.parts.remove_parts("a", 1, [("k", "q")], 20.0))
        self.assertFalse(self.parts.may_save("a", "k", "q", 21.9))
        self.parts.apply_events("a", make_events(("q", 9)), 30.0, since=1)
        self.parts.apply_events("a", make_events(("p", 8)), 31.0, is_listing=True)
        self.assertFalse(self.parts.may_save("a", "k", "q", 32.9))
        self.assertEqual(list(self.parts.source("a").removed_at), [("k", "q")])

    def test_freed_parts_of_another_epoch_stay(self):
        self.parts.apply_events("a", make_events(("p", 800), epoch=2), 0.0)
        self.assertFalse(self.parts.remove_parts("a", 1, [("k", "p")], 1.0))
        self.assertFalse(self.parts.remove_parts("b", 1, [("k", "p")], 1.0))
        self.assertEqual(self.parts.tokens("a", "k", "p"), 800)

    # Guards against a fleet that saves nothing in the first seconds of all.
    def test_new_fleet_saves_before_its_first_listing(self):
        self.assertTrue(self.parts.may_save("a", "k", "p", 0.1, is_fleet_new=True))
        for epoch in (1, 2):
            self.parts.apply_events("a", make_events(epoch=epoch), 1.0)
        self.assertFalse(self.parts.may_save("a", "k", "p", 1.1, is_fleet_new=True))

    def test_epoch_that_the_source_names_again_holds(self):
        for epoch in (1, 2, 1):
            self.parts.apply_events("a", make_events(epoch=epoch), 0.0)
        self.assertFalse(self.parts.is_old_epoch("a", 1))
        self.assertTrue(self.parts.is_old_epoch("a", 2))


class PartKeysTest(unittest.TestCase):
    def test_keys_differ_by_version_and_account_and_can_be_parsed(self):
        keys = {
            part_cache_key("m", 1),
            part_cache_key("m", 2),
            part_cache_key("m", 1, "alone"),
        }
        self.assertEqual(len(keys), 3)
        self.assertEqual(
            parse_part_cache_key(part_cache_key("m", 7, "x")),
            PartCacheKey(model="m", version=7, scope="x"),
        )
        self.assertIsNone(parse_part_cache_key("another format"))

    def test_names_with_separators_are_told_apart(self):
        names = ("", "|", "||", "a", "a|b", "%", "%7C", "\u0e01", "0" * 16)
        for name in names:
            parsed = parse_part_cache_key(part_cache_key(name, 1))
            self.assertEqual(parsed.model, name)
        every = frozenset(names)
        self.assertEqual(len(find_scopes(every)), len(names) + 1)
        for name in names:
            self.assertTrue(part_cache_key("m", 1, cache_scope(name, every)).isascii())

    def test_scope_without_dedicated_accounts_is_as_in_older_builds(self):
        self.assertEqual(part_cache_key("m", 1, cache_scope("a", frozenset())), "m|1|")
        own = cache_scope("a", frozenset({"a"}))
        self.assertEqual(part_cache_key("m", 1, own), "m|1|a")


class CacheScopeTest(unittest.TestCase):
    """Pattern: accounts become dedicated and are released again, in any order."""

    ACCOUNTS = (None, "a", "b", "c", "d")

    def draw_sets(self, count):
        draw = random.Random(44)
        names = self.ACCOUNTS[1:]
        return [
            frozenset(name for name in names if draw.random() < 0.5)
            for _ in range(count)
        ]

    # Guards against cached parts of an account that others go on using after it has
    # become dedicated: entries may be late, and requests come under any earlier
    # configuration.
    def test_no_dedicated_account_shares_a_part_with_another(self):
        makers = {}
        for dedicated in self.draw_sets(200):
            for account in self.ACCOUNTS:
                scope = cache_scope(account, dedicated)
                makers.setdefault(scope, set()).add(account)
            for account in self.ACCOUNTS:
                others = makers[cache_scope(account, dedicated)] - {account}
                self.assertFalse(others & dedicated)
                self.assertFalse(others and account in dedicated)

    # Guards against a cache that is emptied for accounts that share it without need.
    def test_scope_changes_with_the_set_of_dedicated_accounts_alone(self):
        sets = {
            frozenset(),
            frozenset({"a"}),
            frozenset({"b"}),
            frozenset({"a", "b"}),
        }
        shared = {cache_scope("c", dedicated) for dedicated in sets}
        self.assertEqual(len(shared), len(sets))
        for dedicated in sets:
            same = frozenset(sorted(dedicated, reverse=True))
            self.assertEqual(cache_scope("c", dedicated), cache_scope("d", same))
            self.assertEqual(cache_scope("c", dedicated), cache_scope(None, same))

    # Guards against a dedicated account whose own parts are lost by a change of others.
    def test_dedicated_account_keeps_its_scope(self):
        alone, among = frozenset({"a"}), frozenset({"a", "b"})
        self.assertEqual(cache_scope("a", alone), cache_scope("a", among))


if __name__ == "__main__":
    unittest.main()
