import unittest
import uuid

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.once import (
    CallKey,
    TicketMint,
    compute_call_digest,
    generate_uuid_key,
    key_time,
    parse_ticket,
)
from wasabistage.once._keys import is_live

WALL = 1_700_000_000.0
SECRET = bytes(range(32))


class TestOwnKeys(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.floats(0.0, 4e9), st.binary(min_size=10, max_size=10))
    def test_made_key_is_a_uuid7_with_its_time(self, wall, data):
        key = generate_uuid_key(wall, data)
        self.assertEqual(uuid.UUID(key).version, 7)
        self.assertAlmostEqual(key_time(key), wall, delta=0.0011)

    def test_other_spellings_are_no_keys(self):
        key = generate_uuid_key(WALL, bytes(10))
        for text in (
            key.upper(),
            "{" + key + "}",
            key + " ",
            "",
            str(uuid.UUID(int=0)),
        ):
            self.assertFalse(key_time(text))

    def test_wrong_random_bytes_are_refused(self):
        with self.assertRaises(ValueError):
            generate_uuid_key(WALL, b"short")

    def test_live_between_two_skews_ahead_and_the_horizon(self):
        times = {"horizon": 100.0, "clock_skew": 5.0}
        self.assertTrue(is_live(WALL, WALL - 10.0, **times))
        self.assertFalse(is_live(WALL, WALL - 10.1, **times))
        self.assertTrue(is_live(WALL, WALL + 100.0, **times))
        self.assertFalse(is_live(WALL, WALL + 100.1, **times))

    def test_keys_of_two_accounts_differ(self):
        self.assertNotEqual(
            CallKey(account="a", key="k"), CallKey(account="b", key="k")
        )

    def test_digest_tells_parts_apart(self):
        self.assertNotEqual(
            compute_call_digest("ab", "c", b""), compute_call_digest("a", "bc", b"")
        )


class TestTickets(unittest.TestCase):
    def setUp(self):
        self.mint = TicketMint("i1", SECRET)
        self.ticket = self.mint.issue("padavu", bytes(16), WALL, 7.0)

    def test_home_and_times_are_readable_by_all(self):
        parsed = parse_ticket(self.ticket.text)
        self.assertEqual(
            (parsed.home, parsed.issued, parsed.issued_monotonic), ("i1", WALL, 7.0)
        )

    def test_only_the_account_it_was_issued_to(self):
        self.assertTrue(self.mint.verify("padavu", self.ticket))
        self.assertFalse(self.mint.verify("guest", self.ticket))

    def test_another_secret_does_not_verify(self):
        self.assertFalse(TicketMint("i1", b"x" * 32).verify("padavu", self.ticket))

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(0, 200), st.sampled_from("0A_.z9-"))
    def test_no_changed_character_verifies(self, index, letter):
        text = self.ticket.text
        index %= len(text)
        changed = text[:index] + letter + text[index + 1 :]
        ticket = parse_ticket(changed)
        if changed != text and ticket:
            self.assertFalse(self.mint.verify("padavu", ticket))

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.text(max_size=300))
    def test_any_text_is_parsed_or_refused(self, text):
        parse_ticket(text)
        key_time(text)
