import unittest
from dataclasses import replace

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
from wasabistage.utils import UnreadableError

WALL_SECONDS = 1_700_000_000.0


def make_uuid_key(number=0, wall_time=WALL_SECONDS):
    return CallKey(
        account="padavu", key=generate_uuid_key(wall_time, number.to_bytes(10, "big"))
    )


def make_record(kind=RecordKind.CLAIM, writer="a", number=1, key=None, **fields):
    key = key or make_uuid_key()
    return Record(
        kind=kind,
        writer=writer,
        number=number,
        key=key,
        digest="d",
        written=WALL_SECONDS,
        **fields,
    )


def make_read(records, start=0, trimmed_to=0, wall_time=WALL_SECONDS, at_end=True):
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
        wall_time=wall_time,
    )


RECORD_FIELD_STRATEGIES = {
    "kind": st.sampled_from(RecordKind),
    "writer": st.text(max_size=3),
    "number": st.integers(),
    "key": st.sampled_from([make_uuid_key(), CallKey(account="", key="\x00")]),
    "digest": st.text(max_size=3),
    "written": st.floats(),
    "outcome": st.none() | st.builds(Outcome, status=st.integers(), body=st.binary()),
    "carried_from": st.none() | st.integers(),
}


class TestRecordEncoding(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.binary(max_size=200))
    def test_decoding_arbitrary_bytes_raises_unreadable_error(self, data):
        with self.assertRaises(UnreadableError):
            decode_record(data)

    def test_record_is_equal_after_encoding_and_decoding(self):
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

    def offer_records(self, count):
        return [self.batcher.offer(make_record(number=i)) for i in range(count)]

    def tick_record_numbers(self, now):
        return [r.number for a in self.batcher.tick(now) for r in a.records]

    def test_appends_run_one_at_a_time_and_an_interval_apart(self):
        self.offer_records(3)
        self.assertEqual(self.tick_record_numbers(1.0), [0, 1])
        self.assertEqual(self.tick_record_numbers(2.0), [])
        self.batcher.observe(AppendConfirmed(batch=1), 2.0)
        self.assertEqual(self.tick_record_numbers(2.0), [2])
        self.batcher.observe(AppendConfirmed(batch=2), 2.0)
        self.offer_records(1)
        self.assertEqual(self.tick_record_numbers(2.05), [])
        self.assertEqual(self.tick_record_numbers(2.1), [0])

    def test_backlog_is_bounded_and_refuses_intents_first(self):
        self.offer_records(2)
        self.assertFalse(self.batcher.offer(make_record(RecordKind.INTENT)))
        self.assertEqual(self.offer_records(3), [True, True, False])
        self.assertEqual(self.batcher.refused_count_, 2)

    def test_failed_append_is_repeated_in_order(self):
        self.offer_records(3)
        self.tick_record_numbers(1.0)
        self.batcher.observe(AppendFailed(batch=1), 1.0)
        self.assertEqual(self.tick_record_numbers(1.1), [])
        self.assertEqual(self.tick_record_numbers(2.0), [0, 1])

    def test_append_with_unknown_result_is_read_back_before_repeat(self):
        self.offer_records(2)
        self.tick_record_numbers(1.0)
        self.batcher.observe(AppendUnknown(batch=1), 1.0)
        self.assertTrue(self.batcher.needs_read_)
        self.assertEqual(self.tick_record_numbers(9.0), [])
        self.batcher.observe(make_read([make_record(number=0)], at_end=False), 9.0)
        self.assertEqual(self.tick_record_numbers(9.0), [])
        self.batcher.observe(make_read([]), 9.0)
        self.assertEqual(self.tick_record_numbers(9.0), [1])

    def test_append_read_back_before_unknown_result_is_not_repeated(self):
        self.offer_records(2)
        self.tick_record_numbers(1.0)
        records = [make_record(number=0), make_record(number=1)]
        self.batcher.observe(make_read(records), 1.0)
        self.batcher.observe(AppendUnknown(batch=1), 2.0)
        self.assertEqual(self.tick_record_numbers(9.0), [])
        self.assertEqual(self.batcher.decide(None, 9.0), 0)

    def test_append_is_bounded_in_bytes(self):
        batcher = LogBatcher(max_bytes=10).reset()
        for number in range(2):
            outcome = Outcome(status=200, body=b"x" * 8)
            batcher.offer(
                make_record(RecordKind.OUTCOME, number=number, outcome=outcome)
            )
        self.assertEqual(len(batcher.tick(1.0)[0].records), 1)

    def test_invalid_arguments_raise_setting_error(self):
        for batcher in (LogBatcher(interval=-1.0), LogBatcher(backlog=1)):
            self.assertRaises(SettingError, batcher.reset)


class TestClaimFold(unittest.TestCase):
    def setUp(self):
        self.key = make_uuid_key()
        self.fold = self.make_fold()

    def make_fold(self, **params):
        times = {"retention": 100.0, "horizon": 70.0, "clock_skew": 1.0}
        return ClaimFold(**{**times, **params}).reset()

    def read_state(self, *records, **fields):
        self.fold.observe(make_read(records, **fields), 0.0)
        return self.fold.decide(self.key, 0.0)

    def test_writer_of_first_claim_is_home(self):
        state = self.read_state(make_record(writer="b"), make_record(writer="a"))
        self.assertEqual((state.home, state.is_abandoned), ("b", False))

    def test_abandon_of_other_instance_holds_only_before_every_claim(self):
        abandon = make_record(RecordKind.ABANDON, writer="c")
        self.assertFalse(self.read_state(make_record(), abandon).is_abandoned)
        self.setUp()
        self.assertTrue(self.read_state(abandon, make_record()).is_abandoned)

    def test_abandon_of_home_holds_after_its_claim(self):
        refusal = make_record(RecordKind.ABANDON, writer="a", number=2)
        self.assertTrue(self.read_state(make_record(writer="a"), refusal).is_abandoned)

    def test_outcome_of_other_instance_is_ignored(self):
        outcome = Outcome(status=200)
        foreign = make_record(RecordKind.OUTCOME, writer="c", outcome=outcome)
        self.assertIsNone(self.read_state(make_record(), foreign).outcome)

    def test_records_of_ticket_are_applied_only_from_its_home(self):
        ticket = TicketMint("h", bytes(32)).issue(
            "padavu", bytes(16), WALL_SECONDS, 1.0
        )
        self.key = CallKey(account="padavu", key=ticket.text)
        foreign = [
            make_record(kind, writer="c", key=self.key)
            for kind in (RecordKind.CLAIM, RecordKind.ABANDON)
        ]
        state = self.read_state(*foreign)
        self.assertEqual((state.home, state.is_abandoned), ("h", False))
        refusal = make_record(RecordKind.ABANDON, writer="h", key=self.key)
        self.assertTrue(self.read_state(refusal, start=2).is_abandoned)

    def test_carried_copy_is_applied_at_its_original_offset(self):
        carried = make_record(writer="b", carried_from=3)
        state = self.read_state(make_record(writer="a"), carried, start=5)
        self.assertEqual(state.home, "b")
        late = make_record(RecordKind.ABANDON, writer="c", carried_from=4)
        self.assertFalse(self.read_state(late, start=7).is_abandoned)

    def test_records_read_a_second_time_are_skipped(self):
        self.read_state(make_record(writer="a"))
        state = self.read_state(make_record(writer="b"))
        self.assertEqual(state.home, "a")

    def test_trim_past_next_offset_makes_older_keys_undecidable(self):
        self.read_state(make_record())
        self.assertTrue(self.fold.can_decide(WALL_SECONDS, WALL_SECONDS))
        self.read_state(start=9, trimmed_to=9)
        self.assertFalse(self.fold.can_decide(WALL_SECONDS, WALL_SECONDS))
        self.assertTrue(self.fold.can_decide(WALL_SECONDS + 4.1, WALL_SECONDS + 4.1))

    def test_trimmed_start_of_new_reader_is_not_a_gap(self):
        self.read_state(make_record(), start=9, trimmed_to=9)
        self.assertEqual(self.fold.gap_count_, 0)

    def test_full_table_keeps_its_keys_and_cannot_decide_about_others(self):
        self.fold = self.make_fold(max_keys=1)
        other = make_record(key=make_uuid_key(7))
        self.assertEqual(self.read_state(make_record(), other).home, "a")
        self.assertEqual(self.fold.decide(other.key, 0.0).home, "")
        self.assertFalse(self.fold.can_decide(WALL_SECONDS, WALL_SECONDS))
        self.assertTrue(self.fold.is_full("guest"))

    def test_inconsistent_records_are_skipped_and_counted(self):
        ahead = make_record(carried_from=9)
        empty = make_record(RecordKind.OUTCOME)
        malformed = make_record(key=CallKey(account="padavu", key="x"))
        self.assertEqual(self.read_state(ahead, empty, malformed).home, "")
        self.assertEqual(self.fold.skipped_count_, 3)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.builds(Record, **RECORD_FIELD_STRATEGIES), max_size=8))
    def test_arbitrary_decoded_records_are_applied_without_error(self, records):
        fold = self.make_fold()
        fold.observe(make_read(records), 0.0)
        fold.tick(1000.0)
        self.assertEqual(fold.next_offset_, len(records))

    def test_account_at_its_bound_is_full_and_others_are_not(self):
        self.fold = self.make_fold(max_account_keys=1)
        self.read_state(make_record())
        self.assertTrue(self.fold.is_full("padavu"))
        self.assertFalse(self.fold.is_full("guest"))
        self.fold.tick(75.0)
        self.assertFalse(self.fold.is_full("padavu"))

    def test_oldest_ticket_is_removed_at_the_bound(self):
        self.fold = self.make_fold(max_ticketed=2, max_keys=1)
        mint = TicketMint("h", bytes(32))
        for number in range(20):
            ticket = mint.issue("padavu", number.to_bytes(16, "big"), WALL_SECONDS, 1.0)
            self.key = CallKey(account="padavu", key=ticket.text)
            refusal = make_record(RecordKind.ABANDON, writer="h", key=self.key)
            self.assertTrue(self.read_state(refusal, start=number).is_abandoned)
        self.assertEqual(len(self.fold.ticket_keys_), 2)
        self.assertLessEqual(len(self.fold.expiry_schedule_), 6)
        self.assertTrue(self.fold.can_decide(WALL_SECONDS, WALL_SECONDS))

    def test_live_records_are_carried_once_before_half_the_retention(self):
        self.read_state(
            make_record(), make_record(RecordKind.ABANDON, writer="a", number=2)
        )
        self.assertEqual(self.fold.tick(39.0), [])
        copies = self.fold.tick(49.0)
        self.assertEqual([copy.carried_from for copy in copies], [0, 1])
        self.assertEqual(self.fold.tick(60.0), [])

    def test_records_carried_by_another_reader_are_not_carried_again(self):
        self.read_state(make_record(), make_record(carried_from=0))
        self.assertEqual(self.fold.tick(49.0), [])

    def test_expired_keys_are_removed_and_their_late_records_ignored(self):
        self.read_state(make_record())
        self.fold.tick(75.0)
        self.assertEqual(self.fold.uuid_keys_, {})
        late = self.read_state(make_record(), start=1, wall_time=WALL_SECONDS + 75.0)
        self.assertEqual(late.home, "")

    def test_total_size_of_outcome_bodies_is_bounded(self):
        self.fold = self.make_fold(outcome_bytes=5)
        outcome = Outcome(status=200, body=b"123456", digest="x")
        record = make_record(RecordKind.OUTCOME, writer="a", outcome=outcome)
        kept = self.read_state(make_record(), record).outcome.record.outcome
        self.assertEqual(kept, replace(outcome, body=b"", body_omitted=True))

    def test_horizon_too_long_for_the_retention_raises_setting_error(self):
        with self.assertRaisesRegex(SettingError, "set horizon below"):
            self.make_fold(horizon=97.0)
