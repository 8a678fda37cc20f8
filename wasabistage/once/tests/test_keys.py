import unittest
import uuid

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.once import (
    CallKey,
    TicketMint,
    compute_call_digest,
    generate_uuid_key,
    parse_key_time,
    parse_ticket,
)
from wasabistage.once._keys import is_live

WALL_SECONDS = 1_700_000_000.0
SECRET = bytes(range(32))


class TestUuidKeys(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.floats(0.0, 4e9), st.binary(min_size=10, max_size=10))
    def test_generated_key_is_uuid7_with_its_time(self, wall_time, data):
        key = generate_uuid_key(wall_time, data)
        self.assertEqual(uuid.UUID(key).version, 7)
        self.assertAlmostEqual(parse_key_time(key), wall_time, delta=0.0011)

    def test_other_spellings_of_key_are_rejected(self):
        key = generate_uuid_key(WALL_SECONDS, bytes(10))
        for text in (
            key.upper(),
            "{" + key + "}",
            key + " ",
            "",
            str(uuid.UUID(int=0)),
        ):
            self.assertFalse(parse_key_time(text))

    def test_wrong_number_of_random_bytes_raises(self):
        with self.assertRaises(ValueError):
            generate_uuid_key(WALL_SECONDS, b"short")

    def test_key_is_live_from_two_skews_ahead_until_horizon(self):
        times = {"horizon": 100.0, "clock_skew": 5.0}
        self.assertTrue(is_live(WALL_SECONDS, WALL_SECONDS - 10.0, **times))
        self.assertFalse(is_live(WALL_SECONDS, WALL_SECONDS - 10.1, **times))
        self.assertTrue(is_live(WALL_SECONDS, WALL_SECONDS + 100.0, **times))
        self.assertFalse(is_live(WALL_SECONDS, WALL_SECONDS + 100.1, **times))

    def test_same_key_of_two_accounts_differs(self):
        self.assertNotEqual(
            CallKey(account="a", key="k"), CallKey(account="b", key="k")
        )

    def test_digest_depends_on_boundary_between_fields(self):
        self.assertNotEqual(
            compute_call_digest("ab", "c", b""), compute_call_digest("a", "bc", b"")
        )


class TestTickets(unittest.TestCase):
    def setUp(self):
        self.mint = TicketMint("i1", SECRET)
        self.ticket = self.mint.issue("padavu", bytes(16), WALL_SECONDS, 7.0)

    def test_parsed_ticket_has_home_and_times(self):
        parsed = parse_ticket(self.ticket.text)
        self.assertEqual(
            (parsed.home, parsed.issued_at, parsed.issued_at_monotonic),
            ("i1", WALL_SECONDS, 7.0),
        )

    def test_ticket_verifies_only_for_account_it_was_issued_to(self):
        self.assertTrue(self.mint.verify("padavu", self.ticket))
        self.assertFalse(self.mint.verify("guest", self.ticket))

    def test_ticket_does_not_verify_with_another_secret(self):
        self.assertFalse(TicketMint("i1", b"x" * 32).verify("padavu", self.ticket))

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.integers(0, 200), st.sampled_from("0A_.z9-"))
    def test_ticket_with_changed_character_does_not_verify(self, index, letter):
        text = self.ticket.text
        index %= len(text)
        changed = text[:index] + letter + text[index + 1 :]
        ticket = parse_ticket(changed)
        if changed != text and ticket:
            self.assertFalse(self.mint.verify("padavu", ticket))

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.text(max_size=300))
    def test_parsing_arbitrary_text_does_not_raise(self, text):
        parse_ticket(text)
        parse_key_time(text)
