import unittest
from dataclasses import replace

from wasabistage.base import Ran
from wasabistage.declarations import OutagePolicy
from wasabistage.exceptions import OutcomeUnknownError, SettingError
from wasabistage.once import (
    NO_TICKETS,
    AppendConfirmed,
    AppendRecords,
    AttemptCancelled,
    CallArrived,
    CallKey,
    ClaimFold,
    Dispatch,
    DispatchLost,
    DispatchUnsent,
    ForwardToHome,
    HomeReplied,
    HomeUnreachable,
    LogBatcher,
    LogEntry,
    OnceCoordinator,
    Outcome,
    OutcomeArrived,
    ReadFailed,
    ReadLog,
    RecordKind,
    RecordsRead,
    Reply,
    TicketMint,
    TicketPolicy,
    TicketsQuery,
    UncheckedPolicy,
    Verdict,
    build_error,
    generate_uuid_key,
)

WALL_SECONDS = 1_700_000_000.0
NOW_SECONDS = 500.0
OUTCOME = Outcome(status=201, body=b"bought", digest="x")


class EntryHarness:
    """A coordinator whose events the test passes by hand, and a shared log.

    Appends are confirmed at once. The log is read only on :meth:`read`.

    :param name: incarnation of the instance.
    :param log: list of the records of the log, shared by all instances of a test.
    :param params: parameters of :class:`TicketPolicy`.
    """

    def __init__(self, name, log, **params):
        self.name, self.log, self.now = name, log, NOW_SECONDS
        fold = ClaimFold(retention=200.0, horizon=100.0, clock_skew=1.0)
        batcher = LogBatcher(interval=0.0)
        shared = {"incarnation": name, "fold": fold, "batcher": batcher}
        mint = TicketMint(name, name.encode() * 32)
        times = {"first_use": 20.0, "memory": 60.0}
        tickets = TicketPolicy(mint=mint, **{**times, **params}, **shared)
        self.policy = OnceCoordinator(
            incarnation=name, secret=b"", fold=fold, batcher=batcher, tickets=tickets
        ).reset()

    @property
    def wall_time(self):
        return WALL_SECONDS + self.now - NOW_SECONDS

    def issue_ticket(self, number=0, account="padavu"):
        nonces = (number.to_bytes(16, "big"),)
        query = TicketsQuery(account=account, nonces=nonces, wall_time=self.wall_time)
        return CallKey(account=account, key=self.policy.decide(query, self.now)[0])

    def process(self, event):
        self.policy.observe(event, self.now)
        actions = self.policy.tick(self.now)
        for action in actions:
            if isinstance(action, AppendRecords):
                self.log.extend(action.records)
                confirmed = AppendConfirmed(batch=action.batch)
                self.policy.observe(confirmed, self.now)
        handled = (AppendRecords, ReadLog)
        return [action for action in actions if not isinstance(action, handled)]

    def call(self, key, attempt="r1", **fields):
        fields = {
            "digest": "d",
            "deadline": self.now + 5.0,
            "wall": self.wall_time,
            **fields,
        }
        return self.process(CallArrived(attempt=attempt, key=key, **fields))

    def read(self, trimmed_to=0):
        start = self.policy.fold_.next_offset_ or 0
        entries = tuple(
            LogEntry(offset=offset, record=self.log[offset])
            for offset in range(max(start, trimmed_to), len(self.log))
        )
        return self.process(
            RecordsRead(
                start=start,
                entries=entries,
                next_offset=len(self.log),
                trimmed_to=trimmed_to,
                at_end=True,
                wall_time=self.wall_time,
            )
        )

    def finish(self, key, attempt="r1", outcome=OUTCOME):
        event = OutcomeArrived(
            key=key, attempt=attempt, outcome=outcome, wall_time=self.wall_time
        )
        return self.process(event)


class OncePolicyTestCase(unittest.TestCase):
    def setUp(self):
        self.log = []
        self.a, self.b = EntryHarness("a", self.log), EntryHarness("b", self.log)
        self.uuid_key = CallKey(
            account="padavu", key=generate_uuid_key(WALL_SECONDS, bytes(10))
        )

    def assert_reply(self, actions, verdict, ran=Ran.UNKNOWN):
        self.assertEqual([type(action) for action in actions], [Reply])
        self.assertEqual((actions[0].verdict, actions[0].ran), (verdict, ran))

    def assert_dispatch(self, actions):
        self.assertEqual([type(action) for action in actions], [Dispatch])

    def logged_kinds(self):
        return [record.kind for record in self.log]


class TestTicketPolicy(OncePolicyTestCase):
    def test_attempts_at_home_share_one_dispatch_and_its_outcome(self):
        key = self.a.issue_ticket()
        self.assert_dispatch(self.a.call(key))
        self.assertEqual(self.a.call(key, "r2"), [])
        replies = self.a.finish(key)
        self.assertEqual([reply.attempt for reply in replies], ["r1", "r2"])
        self.assert_reply(self.a.call(key, "r3"), Verdict.OUTCOME, None)
        self.a.process(ReadFailed())
        self.assertEqual(self.logged_kinds(), [RecordKind.INTENT, RecordKind.OUTCOME])

    def test_policy_is_drained_once_outcome_is_in_log(self):
        key = self.a.issue_ticket()
        self.assertTrue(self.a.policy.is_drained())
        self.a.call(key)
        self.assertFalse(self.a.policy.is_drained())
        self.a.policy.observe(
            OutcomeArrived(
                key=key, attempt="r1", outcome=OUTCOME, wall_time=WALL_SECONDS
            ),
            NOW_SECONDS,
        )
        self.assertFalse(self.a.policy.is_drained())
        self.a.process(ReadFailed())
        self.assertTrue(self.a.policy.is_drained())

    def test_other_instance_forwards_attempt_and_relays_reply(self):
        key = self.a.issue_ticket()
        (action,) = self.b.call(key)
        self.assertEqual(action, ForwardToHome(home="a", key=key, attempt="r1"))
        self.a.call(key, "peer", forwarded=True)
        (reply,) = self.a.finish(key)
        passed = self.b.process(HomeReplied(attempt="r1", reply=reply))
        self.assertEqual(passed, [replace(reply, attempt="r1")])

    def test_reply_with_another_key_is_not_relayed(self):
        mine, other = self.a.issue_ticket(0), self.a.issue_ticket(1)
        self.b.call(mine)
        self.a.call(other)
        (reply,) = self.a.finish(other)
        self.assertEqual(self.b.process(HomeReplied(attempt="r1", reply=reply)), [])
        self.assert_reply(self.b.read(), Verdict.UNKNOWN)

    def test_unreachable_home_yields_unknown_until_outcome_is_logged(self):
        key = self.a.issue_ticket()
        self.a.call(key)
        self.b.call(key)
        self.assertEqual(self.b.process(HomeUnreachable(attempt="r1")), [])
        self.assert_reply(self.b.read(), Verdict.UNKNOWN)
        self.a.finish(key)
        self.a.process(ReadFailed())
        self.b.read()
        self.assert_reply(self.b.call(key, "r2"), Verdict.OUTCOME, None)

    def test_unreachable_home_and_log_yield_unknown_with_remedy(self):
        key = self.a.issue_ticket()
        self.b.call(key)
        self.b.policy.observe(HomeUnreachable(attempt="r1"), NOW_SECONDS)
        (reply,) = self.b.process(ReadFailed())
        self.assertIsInstance(build_error(reply), OutcomeUnknownError)
        self.assertIn("same key", str(build_error(reply)))

    def test_ticket_of_earlier_incarnation_is_not_run(self):
        key = self.a.issue_ticket()
        self.assertIsInstance(EntryHarness("a2", []).call(key)[0], ForwardToHome)
        same_name = EntryHarness("a", [])
        self.assert_reply(same_name.call(key), Verdict.EXPIRED, Ran.NO)

    def test_stolen_or_forged_ticket_is_not_run(self):
        key = self.a.issue_ticket()
        stolen = CallKey(account="guest", key=key.key)
        self.assert_reply(self.a.call(stolen), Verdict.FORGED, Ran.NO)
        changed = key.key[:-1] + ("A" if key.key[-1] != "A" else "B")
        forged = CallKey(account="padavu", key=changed)
        self.assert_reply(self.a.call(forged), Verdict.FORGED, Ran.NO)
        self.assert_dispatch(self.a.call(key))

    def test_ticket_reused_for_other_body_is_conflict_with_ran_unknown(self):
        key = self.a.issue_ticket()
        self.a.call(key)
        self.assert_reply(self.a.call(key, "r2", digest="e"), Verdict.CONFLICT)

    def test_refused_ticket_stays_not_run_at_every_instance(self):
        refusals = (
            {"deadline": NOW_SECONDS},
            {"inquire": True},
            {"outage": OutagePolicy.REFUSE},
        )
        for number, fields in enumerate(refusals):
            key = self.a.issue_ticket(number)
            self.assert_reply(self.a.call(key, **fields), Verdict.NOT_RUN, Ran.NO)
            self.assert_reply(self.a.call(key, "r2"), Verdict.NOT_RUN, Ran.NO)
            self.b.read()
            self.assert_reply(self.b.call(key, "r3"), Verdict.NOT_RUN, Ran.NO)

    def test_unsent_dispatch_is_not_run_for_later_attempts_too(self):
        key = self.a.issue_ticket()
        self.a.call(key)
        unsent = DispatchUnsent(key=key, attempt="r1", wall_time=WALL_SECONDS)
        self.assert_reply(self.a.process(unsent), Verdict.NOT_RUN, Ran.NO)
        self.assert_reply(self.a.call(key, "r2"), Verdict.NOT_RUN, Ran.NO)

    def test_lost_answer_is_unknown_until_it_arrives(self):
        key = self.a.issue_ticket()
        self.a.call(key)
        lost = DispatchLost(key=key, attempt="r1")
        self.assert_reply(self.a.process(lost), Verdict.UNKNOWN)
        self.assert_reply(self.a.call(key, "r2"), Verdict.UNKNOWN)
        self.a.finish(key)
        self.assert_reply(self.a.call(key, "r3"), Verdict.OUTCOME, None)

    def test_expired_ticket_is_certainly_not_run_only_if_unused(self):
        unused, used = self.a.issue_ticket(0), self.a.issue_ticket(1)
        self.a.call(used)
        self.a.now += 21.0
        self.a.process(ReadFailed())
        self.assert_reply(self.a.call(unused), Verdict.EXPIRED, Ran.NO)
        self.a.now += 60.0
        self.a.process(ReadFailed())
        self.assert_reply(self.a.call(used), Verdict.EXPIRED)
        self.b.now += 103.0
        self.assert_reply(self.b.call(used), Verdict.EXPIRED)

    def test_attempt_past_deadline_is_unknown_while_dispatch_continues(self):
        key = self.a.issue_ticket()
        self.a.call(key)
        self.a.now += 6.0
        self.assert_reply(self.a.process(ReadFailed()), Verdict.UNKNOWN)
        self.assertEqual(self.a.finish(key), [])
        self.assert_reply(self.a.call(key, "r2"), Verdict.OUTCOME, None)

    def test_issued_tickets_are_bounded_per_account_and_in_total(self):
        a = EntryHarness("a", [], max_keys=3, max_unused=2)
        keys = [a.issue_ticket(0), a.issue_ticket(1)]
        query = TicketsQuery(
            account="padavu", nonces=(bytes(16),), wall_time=WALL_SECONDS
        )
        self.assertTrue(NO_TICKETS.has_same_name(a.policy.decide(query, NOW_SECONDS)))
        for key in keys:
            self.assert_dispatch(a.call(key, key.key))
        a.issue_ticket(2, "guest")
        full = a.policy.decide(replace(query, account="guest"), NOW_SECONDS)
        self.assertIn("full", full.reason)

    def test_waiting_attempts_beyond_bound_are_overload(self):
        a = EntryHarness("a", [], max_waiting=1)
        key = a.issue_ticket()
        a.call(key)
        self.assert_reply(a.call(key, "r2"), Verdict.OVERLOAD)

    def test_forwarded_attempts_beyond_bound_are_overload(self):
        b = EntryHarness("b", [], max_forwards=1)
        b.call(self.a.issue_ticket(0))
        self.assert_reply(b.call(self.a.issue_ticket(1), "r2"), Verdict.OVERLOAD)

    def test_large_body_is_sent_to_waiting_attempts_only(self):
        a = EntryHarness("a", [], max_body=3)
        key = a.issue_ticket()
        a.call(key)
        (first,) = a.finish(key)
        (second,) = a.call(key, "r2")
        self.assertEqual(first.outcome, OUTCOME)
        omitted = replace(OUTCOME, body=b"", body_omitted=True)
        self.assertEqual(second.outcome, omitted)

    def test_memory_beyond_horizon_raises_setting_error(self):
        with self.assertRaises(SettingError):
            EntryHarness("a", [], memory=101.0)


class TestLogFirstPolicy(OncePolicyTestCase):
    def test_claimer_dispatches_only_after_reading_back_first_claim(self):
        self.assertEqual(self.a.call(self.uuid_key), [])
        self.assertEqual(self.b.call(self.uuid_key), [])
        self.assertEqual(self.logged_kinds(), [RecordKind.CLAIM] * 2)
        self.assert_dispatch(self.a.read())
        (action,) = self.b.read()
        self.assertEqual(
            action, ForwardToHome(home="a", key=self.uuid_key, attempt="r1")
        )

    def test_repeated_claim_record_is_dispatched_once(self):
        self.a.call(self.uuid_key)
        self.log.append(self.log[0])
        self.assert_dispatch(self.a.read())
        self.assertEqual(self.a.read(), [])

    def test_carried_claim_prevents_second_run_after_early_trim(self):
        for carries in (True, False):
            self.setUp()
            self.a.call(self.uuid_key)
            self.assert_dispatch(self.a.read())
            self.a.now += 97.0
            if carries:
                self.a.process(ReadFailed())
            late = EntryHarness("c", self.log)
            late.now += 98.0
            late.call(self.uuid_key, "r2")
            actions = late.read(trimmed_to=1)
            # Without the carried copy the claim is trimmed, and the call runs again.
            expected = ForwardToHome if carries else Dispatch
            self.assertEqual([type(action) for action in actions], [expected])

    def test_claim_read_after_deadline_is_held_until_next_attempt(self):
        self.a.call(self.uuid_key)
        self.a.now += 6.0
        self.assert_reply(self.a.process(ReadFailed()), Verdict.UNKNOWN)
        self.assertEqual(self.a.read(), [])
        self.assert_dispatch(self.a.call(self.uuid_key, "r2"))

    def test_claimer_paused_past_expiry_does_not_dispatch(self):
        self.a.call(self.uuid_key)
        self.a.now += 101.0
        replies = self.a.read()
        self.assertTrue(all(isinstance(reply, Reply) for reply in replies))
        self.assert_reply(self.a.call(self.uuid_key, "r2"), Verdict.UNKNOWN)

    def test_inquiry_before_any_claim_yields_not_run(self):
        self.b.call(self.uuid_key, inquire=True)
        self.a.call(self.uuid_key)
        self.assert_reply(self.b.read(), Verdict.NOT_RUN, Ran.NO)
        self.assert_reply(self.a.read(), Verdict.NOT_RUN, Ran.NO)

    def test_inquiry_after_claim_is_forwarded_to_home(self):
        self.a.call(self.uuid_key)
        self.b.call(self.uuid_key, inquire=True)
        self.assertIsInstance(self.b.read()[0], ForwardToHome)
        self.assert_dispatch(self.a.read())

    def test_inquiry_cancels_claim_that_was_not_dispatched(self):
        self.a.call(self.uuid_key)
        self.a.call(self.uuid_key, "ask", inquire=True)
        replies = self.a.read()
        self.assertEqual([reply.verdict for reply in replies], [Verdict.NOT_RUN] * 2)
        self.a.process(ReadFailed())
        self.b.read()
        self.assert_reply(self.b.call(self.uuid_key), Verdict.NOT_RUN, Ran.NO)

    def test_expired_and_future_keys_are_refused_without_records(self):
        for wall_time in (WALL_SECONDS - 101.0, WALL_SECONDS + 3.0):
            key = CallKey(account="padavu", key=generate_uuid_key(wall_time, bytes(10)))
            self.assert_reply(self.a.call(key), Verdict.EXPIRED)
        self.assertEqual(self.log, [])

    def test_key_reused_for_other_body_is_conflict_at_other_instance(self):
        self.a.call(self.uuid_key)
        self.a.read()
        self.a.finish(self.uuid_key)
        self.b.read()
        self.assert_reply(self.b.call(self.uuid_key, digest="e"), Verdict.CONFLICT)

    def test_claim_without_waiting_attempt_is_held(self):
        self.a.call(self.uuid_key)
        self.a.process(AttemptCancelled(attempt="r1"))
        self.assertEqual(self.a.read(), [])
        self.assert_dispatch(self.a.call(self.uuid_key, "peer", forwarded=True))

    def test_same_key_of_two_accounts_runs_for_each(self):
        self.a.call(self.uuid_key)
        self.b.call(replace(self.uuid_key, account="guest"))
        self.assert_dispatch(self.a.read())
        self.assert_dispatch(self.b.read())

    def test_forwarded_attempt_of_unknown_key_is_not_claimed(self):
        self.assert_reply(self.a.call(self.uuid_key, forwarded=True), Verdict.UNKNOWN)

    def test_full_backlog_refuses_new_key_with_ran_unknown(self):
        self.a.policy.batcher_.backlog = 0
        self.assert_reply(self.a.call(self.uuid_key), Verdict.OVERLOAD)

    def test_account_at_its_bound_is_refused_without_claim(self):
        self.a.policy.fold_.max_account_keys = 0
        self.assert_reply(self.a.call(self.uuid_key), Verdict.OVERLOAD)
        self.assertEqual(self.log, [])

    def test_key_of_other_form_is_bad_key(self):
        key = CallKey(account="padavu", key="my-key-1")
        self.assert_reply(self.a.call(key), Verdict.BAD_KEY)


class TestErrors(OncePolicyTestCase):
    def test_every_verdict_without_outcome_has_error_with_remedy(self):
        for verdict in set(Verdict) - {Verdict.OUTCOME}:
            reply = Reply(
                attempt="r1", key=self.uuid_key, verdict=verdict, ran=Ran.UNKNOWN
            )
            error = build_error(reply)
            self.assertEqual(error.ran, Ran.UNKNOWN)
            self.assertTrue(error.remedy)


class TestUncheckedPolicy(OncePolicyTestCase):
    def test_every_attempt_is_dispatched(self):
        policy = UncheckedPolicy().reset()
        call = CallArrived(
            attempt="r1",
            key=self.uuid_key,
            digest="d",
            deadline=NOW_SECONDS,
            wall_time=WALL_SECONDS,
        )
        for _ in range(2):
            policy.observe(call, NOW_SECONDS)
        self.assertEqual(len(policy.tick(NOW_SECONDS)), 2)
