"""Tests of the map of prompt parts and of their cache keys."""

import unittest
from types import SimpleNamespace

from wasabistage.cache import (
    SAVE_TIMEOUT_SECONDS,
    PartMap,
    parse_part_cache_key,
    part_cache_key,
)


def events(*rows, epoch=1, position=1):
    return SimpleNamespace(
        epoch=epoch,
        position=position,
        events=tuple(
            SimpleNamespace(cache_key="k", part=part, tokens=tokens)
            for part, tokens in rows
        ),
    )


class PartMapTest(unittest.TestCase):
    def setUp(self):
        self.parts = PartMap()

    def test_newer_event_replaces_the_tokens_of_a_part(self):
        self.parts.apply_events("a", events(("p", 800), ("q", 200)))
        self.assertEqual(self.parts.get_total_tokens("a"), 1000)
        self.parts.apply_events("a", events(("p", 128), ("q", 0)))
        self.assertEqual(self.parts.tokens("a", "k", "p"), 128)
        self.assertEqual(self.parts.tokens("a", "k", "q"), 0)
        self.assertEqual(self.parts.get_total_tokens("a"), 128)

    def test_restart_of_a_source_removes_its_parts(self):
        self.assertFalse(self.parts.apply_events("a", events(("p", 800))))
        self.assertTrue(self.parts.apply_events("a", events(epoch=2)))
        self.assertEqual(self.parts.tokens("a", "k", "p"), 0)

    def test_listing_replaces_the_parts_of_a_source(self):
        self.parts.apply_events("a", events(("p", 800)))
        self.parts.apply_events("a", events(("q", 10)), is_listing=True)
        self.assertEqual(self.parts.find_parts("a", lambda key: True), [("k", "q")])

    def test_save_counts_as_in_progress_until_its_timeout(self):
        self.parts.record_save_start("a", "k", "p", 500, 0.0)
        self.assertTrue(
            self.parts.is_save_in_progress("k", "p", SAVE_TIMEOUT_SECONDS - 0.1)
        )
        self.assertEqual(self.parts.get_saving_tokens("a", 0.1), 500)
        self.assertEqual(self.parts.get_saving_tokens("a", SAVE_TIMEOUT_SECONDS), 0)
        self.assertFalse(self.parts.is_save_in_progress("k", "p", SAVE_TIMEOUT_SECONDS))


class PartKeysTest(unittest.TestCase):
    def test_versions_and_dedicated_accounts_have_keys_of_their_own(self):
        keys = {
            part_cache_key("m", 1),
            part_cache_key("m", 2),
            part_cache_key("m", 1, "alone"),
        }
        self.assertEqual(len(keys), 3)
        self.assertEqual(parse_part_cache_key(part_cache_key("m", 7, "x")), ("m", 7))
        self.assertIsNone(parse_part_cache_key("another format"))


if __name__ == "__main__":
    unittest.main()
