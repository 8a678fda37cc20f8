import unittest
from dataclasses import replace

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.exceptions import SettingError
from wasabistage.once import (
    AppendConfirmed,
    AppendFailed,
    AppendUnknown,
    CallKey,
    ClaimFold,
    LogBatcher,
    LogEntry,
    Outcome,
    Record,
    RecordKind,
    RecordsRead,
    TicketMint,
    decode_record,
    encode_record,
    generate_uuid_key,
)

WALL = 1_700_000_000.0


def own_key(number=0, wall=WALL):
    return CallKey(
        account="padavu", key=generate_uuid_key(wall, number.to_bytes(10, "big"))
    )


def make_record(kind=RecordKind.CLAIM, writer="a", number=1, key=None, **facts):
    key = key or own_key()
    return Record(
        kind=kind,
        writer=writer,
        number=number,
        key=key,
        digest="d",
        written=WALL,
        **facts,
    )


def make_read(records, start=0, trimmed_to=0, wall=WALL, at_end=True):
    entries = tuple(
        LogEntry(offset=start + index, record=record)
        for index, record in enumerate(records)
    )
    return RecordsRead(
        start=start,
        entries=entries,
        next_offset=start + len(entries),
        trimmed_to=trimmed_to,
        at_end=at_end,
        wall=wall,
    )


FUZZED = {
    "kind": st.sampled_from(RecordKind),
    "writer": st.text(max_size=3),
    "number": st.integers(),
    "key": st.sampled_from([own_key(), CallKey(account="", key="\x00")]),
    "digest": st.text(max_size=3),
    "written": st.floats(),
    "outcome": st.none() | st.builds(Outcome, status=st.integers(), body=st.binary()),
    "carried_from": st.none() | st.integers(),
}


class TestRecords(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.binary(max_size=200))
    def test_other_bytes_are_no_record(self, data):
        with self.assertRaises(msgspec.MsgspecError):
            decode_record(data)

    def test_record_survives_the_log(self):
        record = make_record(
            RecordKind.OUTCOME,
            outcome=Outcome(
                status=201, headers=(("a", "b"),), body=b"\x00", digest="x"
            ),
            carried_from=4,
        )
        self.assertEqual(decode_record(encode_record(record)), record)


class TestLogBatcher(unittest.TestCase):
    def setUp(self):
        self.batcher = LogBatcher(interval=0.1, max_records=2, backlog=4).reset()

    def offer(self, count):
        return [self.batcher.offer(make_record(number=i)) for i in range(count)]

    def numbers(self, now):
        return [r.number for a in self.batcher.tick(now) for r in a.records]

    def test_groups_within_the_rate_one_append_at_a_time(self):
        self.offer(3)
        self.assertEqual(self.numbers(1.0), [0, 1])
        self.assertEqual(self.numbers(2.0), [])
        self.batcher.observe(AppendConfirmed(batch=1), 2.0)
        self.assertEqual(self.numbers(2.0), [2])
        self.batcher.observe(AppendConfirmed(batch=2), 2.0)
        self.offer(1)
        self.assertEqual(self.numbers(2.05), [])
        self.assertEqual(self.numbers(2.1), [0])

    def test_backlog_is_bounded_and_intents_go_first(self):
        self.offer(2)
        self.assertFalse(self.batcher.offer(make_record(RecordKind.INTENT)))
        self.assertEqual(self.offer(3), [True, True, False])
        self.assertEqual(self.batcher.refused_, 2)

    def test_failed_append_is_sent_again_in_order(self):
        self.offer(3)
        self.numbers(1.0)
        self.batcher.observe(AppendFailed(batch=1), 1.0)
        self.assertEqual(self.numbers(1.1), [])
        self.assertEqual(self.numbers(2.0), [0, 1])

    def test_unknown_append_is_read_back_before_it_is_sent_again(self):
        self.offer(2)
        self.numbers(1.0)
        self.batcher.observe(AppendUnknown(batch=1), 1.0)
        self.assertTrue(self.batcher.needs_read_)
        self.assertEqual(self.numbers(9.0), [])
        self.batcher.observe(make_read([make_record(number=0)], at_end=False), 9.0)
        self.assertEqual(self.numbers(9.0), [])
        self.batcher.observe(make_read([]), 9.0)
        self.assertEqual(self.numbers(9.0), [1])

    def test_append_seen_before_its_answer_was_lost_is_not_sent_again(self):
        self.offer(2)
        self.numbers(1.0)
        records = [make_record(number=0), make_record(number=1)]
        self.batcher.observe(make_read(records), 1.0)
        self.batcher.observe(AppendUnknown(batch=1), 2.0)
        self.assertEqual(self.numbers(9.0), [])
        self.assertEqual(self.batcher.decide(None, 9.0), 0)

    def test_an_append_is_bounded_in_bytes(self):
        batcher = LogBatcher(max_bytes=10).reset()
        for number in range(2):
            outcome = Outcome(status=200, body=b"x" * 8)
            batcher.offer(
                make_record(RecordKind.OUTCOME, number=number, outcome=outcome)
            )
        self.assertEqual(len(batcher.tick(1.0)[0].records), 1)

    def test_bad_arguments_are_named(self):
        for batcher in (LogBatcher(interval=-1.0), LogBatcher(backlog=1)):
            self.assertRaises(SettingError, batcher.reset)


class TestClaimFold(unittest.TestCase):
    def setUp(self):
        self.key = own_key()
        self.fold = self.make_fold()

    def make_fold(self, **params):
        times = {"retention": 100.0, "horizon": 70.0, "clock_skew": 1.0}
        return ClaimFold(**{**times, **params}).reset()

    def standing(self, *records, **facts):
        self.fold.observe(make_read(records, **facts), 0.0)
        return self.fold.decide(self.key, 0.0)

    def test_first_claim_is_home(self):
        standing = self.standing(make_record(writer="b"), make_record(writer="a"))
        self.assertEqual((standing.home, standing.is_abandoned), ("b", False))

    def test_abandon_counts_only_before_every_claim(self):
        abandon = make_record(RecordKind.ABANDON, writer="c")
        self.assertFalse(self.standing(make_record(), abandon).is_abandoned)
        self.setUp()
        self.assertTrue(self.standing(abandon, make_record()).is_abandoned)

    def test_home_may_refuse_after_its_claim(self):
        refusal = make_record(RecordKind.ABANDON, writer="a", number=2)
        self.assertTrue(self.standing(make_record(writer="a"), refusal).is_abandoned)

    def test_outcome_counts_only_from_the_home(self):
        outcome = Outcome(status=200)
        foreign = make_record(RecordKind.OUTCOME, writer="c", outcome=outcome)
        self.assertIsNone(self.standing(make_record(), foreign).outcome)

    def test_ticketed_key_heeds_its_home_alone(self):
        ticket = TicketMint("h", bytes(32)).issue("padavu", bytes(16), WALL, 1.0)
        self.key = CallKey(account="padavu", key=ticket.text)
        foreign = [
            make_record(kind, writer="c", key=self.key)
            for kind in (RecordKind.CLAIM, RecordKind.ABANDON)
        ]
        standing = self.standing(*foreign)
        self.assertEqual((standing.home, standing.is_abandoned), ("h", False))
        refusal = make_record(RecordKind.ABANDON, writer="h", key=self.key)
        self.assertTrue(self.standing(refusal, start=2).is_abandoned)

    def test_carried_copy_counts_at_its_original_offset(self):
        carried = make_record(writer="b", carried_from=3)
        standing = self.standing(make_record(writer="a"), carried, start=5)
        self.assertEqual(standing.home, "b")
        late = make_record(RecordKind.ABANDON, writer="c", carried_from=4)
        self.assertFalse(self.standing(late, start=7).is_abandoned)

    def test_repeated_and_old_answers_change_nothing(self):
        self.standing(make_record(writer="a"))
        standing = self.standing(make_record(writer="b"))
        self.assertEqual(standing.home, "a")

    def test_trim_past_the_position_makes_older_keys_doubtful(self):
        self.standing(make_record())
        self.assertTrue(self.fold.is_certain(WALL, WALL))
        self.standing(start=9, trimmed_to=9)
        self.assertFalse(self.fold.is_certain(WALL, WALL))
        self.assertTrue(self.fold.is_certain(WALL + 4.1, WALL + 4.1))

    def test_trimmed_start_of_a_new_reader_is_no_gap(self):
        self.standing(make_record(), start=9, trimmed_to=9)
        self.assertEqual(self.fold.gaps_, 0)

    def test_full_table_forgets_no_key_and_doubts_the_unread(self):
        self.fold = self.make_fold(max_keys=1)
        other = make_record(key=own_key(7))
        self.assertEqual(self.standing(make_record(), other).home, "a")
        self.assertEqual(self.fold.decide(other.key, 0.0).home, "")
        self.assertFalse(self.fold.is_certain(WALL, WALL))
        self.assertTrue(self.fold.is_full("guest"))

    def test_senseless_records_are_skipped(self):
        ahead = make_record(carried_from=9)
        empty = make_record(RecordKind.OUTCOME)
        foreign = make_record(key=CallKey(account="padavu", key="x"))
        self.assertEqual(self.standing(ahead, empty, foreign).home, "")
        self.assertEqual(self.fold.skipped_, 3)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.builds(Record, **FUZZED), max_size=8))
    def test_any_decoded_records_are_folded(self, records):
        fold = self.make_fold()
        fold.observe(make_read(records), 0.0)
        fold.tick(1000.0)
        self.assertEqual(fold.position_, len(records))

    def test_one_account_cannot_fill_the_table(self):
        self.fold = self.make_fold(max_account_keys=1)
        self.standing(make_record())
        self.assertTrue(self.fold.is_full("padavu"))
        self.assertFalse(self.fold.is_full("guest"))
        self.fold.tick(75.0)
        self.assertFalse(self.fold.is_full("padavu"))

    def test_ticketed_keys_are_bounded_by_dropping_the_oldest(self):
        self.fold = self.make_fold(max_ticketed=2, max_keys=1)
        mint = TicketMint("h", bytes(32))
        for number in range(20):
            ticket = mint.issue("padavu", number.to_bytes(16, "big"), WALL, 1.0)
            self.key = CallKey(account="padavu", key=ticket.text)
            refusal = make_record(RecordKind.ABANDON, writer="h", key=self.key)
            self.assertTrue(self.standing(refusal, start=number).is_abandoned)
        self.assertEqual(len(self.fold.ticket_keys_), 2)
        self.assertLessEqual(len(self.fold.expiries_), 6)
        self.assertTrue(self.fold.is_certain(WALL, WALL))

    def test_carries_live_records_once_before_half_the_retention(self):
        self.standing(
            make_record(), make_record(RecordKind.ABANDON, writer="a", number=2)
        )
        self.assertEqual(self.fold.tick(39.0), [])
        copies = self.fold.tick(49.0)
        self.assertEqual([copy.carried_from for copy in copies], [0, 1])
        self.assertEqual(self.fold.tick(60.0), [])

    def test_spares_what_another_reader_carried(self):
        self.standing(make_record(), make_record(carried_from=0))
        self.assertEqual(self.fold.tick(49.0), [])

    def test_forgets_expired_keys_and_ignores_their_late_records(self):
        self.standing(make_record())
        self.fold.tick(75.0)
        self.assertEqual(self.fold.keys_, {})
        late = self.standing(make_record(), start=1, wall=WALL + 75.0)
        self.assertEqual(late.home, "")

    def test_outcome_bodies_are_bounded_in_all(self):
        self.fold = self.make_fold(outcome_bytes=5)
        outcome = Outcome(status=200, body=b"123456", digest="x")
        record = make_record(RecordKind.OUTCOME, writer="a", outcome=outcome)
        kept = self.standing(make_record(), record).outcome.record.outcome
        self.assertEqual(kept, replace(outcome, body=b"", body_omitted=True))

    def test_horizon_beyond_the_retention_is_refused(self):
        with self.assertRaisesRegex(SettingError, "set horizon below"):
            self.make_fold(horizon=97.0)
