import unittest
from types import SimpleNamespace

from wasabistage.cache import (
    SAVE_TIME,
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

    def test_events_say_what_is_kept_now(self):
        self.parts.apply_events("a", events(("p", 800), ("q", 200)))
        self.assertEqual(self.parts.get_total_tokens("a"), 1000)
        self.parts.apply_events("a", events(("p", 128), ("q", 0)))
        self.assertEqual(self.parts.tokens("a", "k", "p"), 128)
        self.assertEqual(self.parts.tokens("a", "k", "q"), 0)
        self.assertEqual(self.parts.get_total_tokens("a"), 128)

    def test_next_life_of_a_source_keeps_nothing(self):
        self.assertFalse(self.parts.apply_events("a", events(("p", 800))))
        self.assertTrue(self.parts.apply_events("a", events(epoch=2)))
        self.assertEqual(self.parts.tokens("a", "k", "p"), 0)

    def test_listing_replaces_what_was_known(self):
        self.parts.apply_events("a", events(("p", 800)))
        self.parts.apply_events("a", events(("q", 10)), is_listing=True)
        self.assertEqual(self.parts.find_parts("a", lambda key: True), [("k", "q")])

    def test_save_counts_for_a_while(self):
        self.parts.record_save_start("a", "k", "p", 500, 0.0)
        self.assertTrue(self.parts.is_save_in_progress("k", "p", SAVE_TIME - 0.1))
        self.assertEqual(self.parts.get_saving_tokens("a", 0.1), 500)
        self.assertEqual(self.parts.get_saving_tokens("a", SAVE_TIME), 0)
        self.assertFalse(self.parts.is_save_in_progress("k", "p", SAVE_TIME))


class PartKeysTest(unittest.TestCase):
    def test_versions_and_dedicated_accounts_never_share(self):
        keys = {
            part_cache_key("m", 1),
            part_cache_key("m", 2),
            part_cache_key("m", 1, "alone"),
        }
        self.assertEqual(len(keys), 3)
        self.assertEqual(parse_part_cache_key(part_cache_key("m", 7, "x")), ("m", 7))
        self.assertIsNone(parse_part_cache_key("another writer's"))


if __name__ == "__main__":
    unittest.main()
