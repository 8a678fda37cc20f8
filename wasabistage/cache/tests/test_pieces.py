"""Tests of keys and commit records with forged, truncated and corrupted input."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.cache import (
    FREED,
    HALF_WRITTEN,
    NOT_IN_RECORD,
    OVERWRITTEN,
    WRONG_ACCOUNT,
    WRONG_PREFIX,
    WRONG_VERSION,
    CommitRecord,
    CommittedPiece,
    cache_salt,
    content_digest,
    decode_record,
    encode_record,
    piece_keys,
    verify_piece,
    verify_record,
)

NAMES = st.text(max_size=6)


def make_record(keys, version="v1"):
    pieces = tuple(
        CommittedPiece(
            key=key, size=3, digest=content_digest(b"abc"), generation=7 + index
        )
        for index, key in enumerate(keys)
    )
    return CommitRecord(
        account="a", model="m", version=version, session="s", store="x", pieces=pieces
    )


class TestPieceKeys(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.tuples(NAMES, NAMES, NAMES), st.tuples(NAMES, NAMES, NAMES))
    def test_different_account_model_or_version_shares_no_key(self, one, two):
        text = b"x" * 64
        shared = set(piece_keys(*one, text, 8)) & set(piece_keys(*two, text, 8))
        self.assertEqual(bool(shared), one == two)
        self.assertEqual(cache_salt(*one) == cache_salt(*two), one == two)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.binary(max_size=80), st.binary(max_size=80), st.integers(1, 9))
    def test_keys_are_equal_exactly_up_to_the_common_text(self, one, two, size):
        first = piece_keys("a", "m", "v", one, size)
        second = piece_keys("a", "m", "v", two, size)
        self.assertEqual(len(first), len(one) // size)
        for index, (left, right) in enumerate(zip(first, second, strict=False)):
            end = (index + 1) * size
            self.assertEqual(left == right, one[:end] == two[:end])

    def test_different_piece_sizes_share_no_key(self):
        self.assertFalse(
            set(piece_keys("a", "m", "v", b"x" * 8, 8))
            & set(piece_keys("a", "m", "v", b"x" * 8, 4))
        )


class TestCommit(unittest.TestCase):
    def setUp(self):
        self.keys = piece_keys("a", "m", "v1", b"0123456789", 2)
        self.record = make_record(self.keys[:4])

    def test_truncated_or_corrupted_record_is_refused(self):
        data = encode_record(self.record)
        self.assertEqual(decode_record(data), self.record)
        for end in range(len(data)):
            self.assertFalse(decode_record(data[:end]))
            flipped = data[:end] + bytes([data[end] ^ 1]) + data[end + 1 :]
            self.assertNotEqual(decode_record(flipped) or None, self.record)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_are_refused_without_an_exception(self, data):
        self.assertFalse(decode_record(data))

    def test_record_of_another_account_version_or_text_is_refused(self):
        check = verify_record(self.record, "b", "m", "v1", self.keys)
        self.assertTrue(WRONG_ACCOUNT.has_same_name(check))
        check = verify_record(self.record, "a", "m", "v2", self.keys)
        self.assertTrue(WRONG_VERSION.has_same_name(check))
        forged = replace(self.record, account="b")
        other = piece_keys("b", "m", "v1", b"0123456789", 2)
        check = verify_record(forged, "b", "m", "v1", other)
        self.assertTrue(WRONG_PREFIX.has_same_name(check))

    def test_only_the_common_prefix_of_a_record_is_usable(self):
        keys = piece_keys("a", "m", "v1", b"0123__6789", 2)
        usable = verify_record(self.record, "a", "m", "v1", keys)
        self.assertEqual([piece.key for piece in usable], list(keys[:2]))

    def test_freed_half_written_overwritten_and_unlisted_pieces_are_refused(self):
        key, good = self.keys[1], content_digest(b"abc")
        cases = (
            ((key, None, 3, good), FREED),
            ((key, 9, 3, good), OVERWRITTEN),
            ((key, 8, 2, content_digest(b"ab")), HALF_WRITTEN),
            ((key, 8, 3, content_digest(b"abd")), OVERWRITTEN),
            ((self.keys[4], 8, 3, good), NOT_IN_RECORD),
        )
        for arguments, reason in cases:
            self.assertTrue(reason.has_same_name(verify_piece(self.record, *arguments)))
        self.assertTrue(verify_piece(self.record, key, 8, 3, good))
