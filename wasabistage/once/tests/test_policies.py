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

WALL = 1_700_000_000.0
NOW = 500.0
OUTCOME = Outcome(status=201, body=b"bought", digest="x")


class Entry:
    """One coordinator with a log that the test feeds by hand."""

    def __init__(self, name, log, **params):
        self.name, self.log, self.now = name, log, NOW
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
    def wall(self):
        return WALL + self.now - NOW

    def ticket(self, number=0, account="padavu"):
        nonces = (number.to_bytes(16, "big"),)
        query = TicketsQuery(account=account, nonces=nonces, wall=self.wall)
        return CallKey(account=account, key=self.policy.decide(query, self.now)[0])

    def see(self, event):
        self.policy.observe(event, self.now)
        actions = self.policy.tick(self.now)
        for action in actions:
            if isinstance(action, AppendRecords):
                self.log.extend(action.records)
                confirmed = AppendConfirmed(batch=action.batch)
                self.policy.observe(confirmed, self.now)
        kept = (AppendRecords, ReadLog)
        return [action for action in actions if not isinstance(action, kept)]

    def call(self, key, attempt="r1", **facts):
        facts = {"digest": "d", "deadline": self.now + 5.0, "wall": self.wall, **facts}
        return self.see(CallArrived(attempt=attempt, key=key, **facts))

    def read(self, trimmed_to=0):
        start = self.policy.fold_.position_ or 0
        entries = tuple(
            LogEntry(offset=offset, record=self.log[offset])
            for offset in range(max(start, trimmed_to), len(self.log))
        )
        return self.see(
            RecordsRead(
                start=start,
                entries=entries,
                next_offset=len(self.log),
                trimmed_to=trimmed_to,
                at_end=True,
                wall=self.wall,
            )
        )

    def finish(self, key, attempt="r1", outcome=OUTCOME):
        event = OutcomeArrived(
            key=key, attempt=attempt, outcome=outcome, wall=self.wall
        )
        return self.see(event)


class PolicyTest(unittest.TestCase):
    def setUp(self):
        self.log = []
        self.a, self.b = Entry("a", self.log), Entry("b", self.log)
        self.own = CallKey(account="padavu", key=generate_uuid_key(WALL, bytes(10)))

    def assert_reply(self, actions, verdict, ran=Ran.UNKNOWN):
        self.assertEqual([type(action) for action in actions], [Reply])
        self.assertEqual((actions[0].verdict, actions[0].ran), (verdict, ran))

    def assert_runs(self, actions):
        self.assertEqual([type(action) for action in actions], [Dispatch])

    def kinds(self):
        return [record.kind for record in self.log]


class TestTicketPolicy(PolicyTest):
    def test_home_runs_once_and_attempts_share_the_outcome(self):
        key = self.a.ticket()
        self.assert_runs(self.a.call(key))
        self.assertEqual(self.a.call(key, "r2"), [])
        replies = self.a.finish(key)
        self.assertEqual([reply.attempt for reply in replies], ["r1", "r2"])
        self.assert_reply(self.a.call(key, "r3"), Verdict.OUTCOME, None)
        self.a.see(ReadFailed())
        self.assertEqual(self.kinds(), [RecordKind.INTENT, RecordKind.OUTCOME])

    def test_drained_once_the_outcome_is_in_the_log(self):
        key = self.a.ticket()
        self.assertTrue(self.a.policy.is_drained())
        self.a.call(key)
        self.assertFalse(self.a.policy.is_drained())
        self.a.policy.observe(
            OutcomeArrived(key=key, attempt="r1", outcome=OUTCOME, wall=WALL), NOW
        )
        self.assertFalse(self.a.policy.is_drained())
        self.a.see(ReadFailed())
        self.assertTrue(self.a.policy.is_drained())

    def test_other_entry_forwards_and_passes_the_reply_on(self):
        key = self.a.ticket()
        (action,) = self.b.call(key)
        self.assertEqual(action, ForwardToHome(home="a", key=key, attempt="r1"))
        self.a.call(key, "peer", forwarded=True)
        (reply,) = self.a.finish(key)
        passed = self.b.see(HomeReplied(attempt="r1", reply=reply))
        self.assertEqual(passed, [replace(reply, attempt="r1")])

    def test_crossed_reply_reaches_no_other_caller(self):
        mine, other = self.a.ticket(0), self.a.ticket(1)
        self.b.call(mine)
        self.a.call(other)
        (reply,) = self.a.finish(other)
        self.assertEqual(self.b.see(HomeReplied(attempt="r1", reply=reply)), [])
        self.assert_reply(self.b.read(), Verdict.UNKNOWN)

    def test_dead_home_leaves_the_logged_outcome_or_unknown(self):
        key = self.a.ticket()
        self.a.call(key)
        self.b.call(key)
        self.assertEqual(self.b.see(HomeUnreachable(attempt="r1")), [])
        self.assert_reply(self.b.read(), Verdict.UNKNOWN)
        self.a.finish(key)
        self.a.see(ReadFailed())
        self.b.read()
        self.assert_reply(self.b.call(key, "r2"), Verdict.OUTCOME, None)

    def test_unreachable_home_and_log_is_unknown_with_a_remedy(self):
        key = self.a.ticket()
        self.b.call(key)
        self.b.policy.observe(HomeUnreachable(attempt="r1"), NOW)
        (reply,) = self.b.see(ReadFailed())
        self.assertIsInstance(build_error(reply), OutcomeUnknownError)
        self.assertIn("same key", str(build_error(reply)))

    def test_restarted_home_is_another_incarnation(self):
        key = self.a.ticket()
        self.assertIsInstance(Entry("a2", []).call(key)[0], ForwardToHome)
        twin = Entry("a", [])
        self.assert_reply(twin.call(key), Verdict.EXPIRED, Ran.NO)

    def test_ticket_of_another_account_or_a_forged_one_never_runs(self):
        key = self.a.ticket()
        stolen = CallKey(account="guest", key=key.key)
        self.assert_reply(self.a.call(stolen), Verdict.FORGED, Ran.NO)
        changed = key.key[:-1] + ("A" if key.key[-1] != "A" else "B")
        forged = CallKey(account="padavu", key=changed)
        self.assert_reply(self.a.call(forged), Verdict.FORGED, Ran.NO)
        self.assert_runs(self.a.call(key))

    def test_other_body_is_a_conflict_and_promises_nothing(self):
        key = self.a.ticket()
        self.a.call(key)
        self.assert_reply(self.a.call(key, "r2", digest="e"), Verdict.CONFLICT)

    def test_refusals_are_marked_and_never_run_later(self):
        refusals = (
            {"deadline": NOW},
            {"inquire": True},
            {"outage": OutagePolicy.REFUSE},
        )
        for number, facts in enumerate(refusals):
            key = self.a.ticket(number)
            self.assert_reply(self.a.call(key, **facts), Verdict.NOT_RUN, Ran.NO)
            self.assert_reply(self.a.call(key, "r2"), Verdict.NOT_RUN, Ran.NO)
            self.b.read()
            self.assert_reply(self.b.call(key, "r3"), Verdict.NOT_RUN, Ran.NO)

    def test_unsent_dispatch_is_not_run_and_stays_so(self):
        key = self.a.ticket()
        self.a.call(key)
        unsent = DispatchUnsent(key=key, attempt="r1", wall=WALL)
        self.assert_reply(self.a.see(unsent), Verdict.NOT_RUN, Ran.NO)
        self.assert_reply(self.a.call(key, "r2"), Verdict.NOT_RUN, Ran.NO)

    def test_lost_answer_is_unknown_until_it_comes(self):
        key = self.a.ticket()
        self.a.call(key)
        lost = DispatchLost(key=key, attempt="r1")
        self.assert_reply(self.a.see(lost), Verdict.UNKNOWN)
        self.assert_reply(self.a.call(key, "r2"), Verdict.UNKNOWN)
        self.a.finish(key)
        self.assert_reply(self.a.call(key, "r3"), Verdict.OUTCOME, None)

    def test_expired_tickets_are_not_run(self):
        unused, used = self.a.ticket(0), self.a.ticket(1)
        self.a.call(used)
        self.a.now += 21.0
        self.a.see(ReadFailed())
        self.assert_reply(self.a.call(unused), Verdict.EXPIRED, Ran.NO)
        self.a.now += 60.0
        self.a.see(ReadFailed())
        self.assert_reply(self.a.call(used), Verdict.EXPIRED)
        self.b.now += 103.0
        self.assert_reply(self.b.call(used), Verdict.EXPIRED)

    def test_late_attempt_is_unknown_and_the_dispatch_goes_on(self):
        key = self.a.ticket()
        self.a.call(key)
        self.a.now += 6.0
        self.assert_reply(self.a.see(ReadFailed()), Verdict.UNKNOWN)
        self.assertEqual(self.a.finish(key), [])
        self.assert_reply(self.a.call(key, "r2"), Verdict.OUTCOME, None)

    def test_tables_are_bounded_by_the_tickets_issued(self):
        a = Entry("a", [], max_keys=3, max_unused=2)
        keys = [a.ticket(0), a.ticket(1)]
        query = TicketsQuery(account="padavu", nonces=(bytes(16),), wall=WALL)
        self.assertTrue(NO_TICKETS.is_(a.policy.decide(query, NOW)))
        for key in keys:
            self.assert_runs(a.call(key, key.key))
        a.ticket(2, "guest")
        full = a.policy.decide(replace(query, account="guest"), NOW)
        self.assertIn("full", full.reason)

    def test_waiting_attempts_are_bounded(self):
        a = Entry("a", [], max_waiting=1)
        key = a.ticket()
        a.call(key)
        self.assert_reply(a.call(key, "r2"), Verdict.OVERLOAD)

    def test_forwarded_attempts_are_bounded(self):
        b = Entry("b", [], max_forwards=1)
        b.call(self.a.ticket(0))
        self.assert_reply(b.call(self.a.ticket(1), "r2"), Verdict.OVERLOAD)

    def test_large_body_goes_to_the_first_callers_only(self):
        a = Entry("a", [], max_body=3)
        key = a.ticket()
        a.call(key)
        (first,) = a.finish(key)
        (second,) = a.call(key, "r2")
        self.assertEqual(first.outcome, OUTCOME)
        omitted = replace(OUTCOME, body=b"", body_omitted=True)
        self.assertEqual(second.outcome, omitted)

    def test_times_out_of_order_are_refused(self):
        with self.assertRaises(SettingError):
            Entry("a", [], memory=101.0)


class TestLogFirstPolicy(PolicyTest):
    def test_runs_only_after_its_claim_is_read_back_as_first(self):
        self.assertEqual(self.a.call(self.own), [])
        self.assertEqual(self.b.call(self.own), [])
        self.assertEqual(self.kinds(), [RecordKind.CLAIM] * 2)
        self.assert_runs(self.a.read())
        (action,) = self.b.read()
        self.assertEqual(action, ForwardToHome(home="a", key=self.own, attempt="r1"))

    def test_repeated_claim_record_runs_once(self):
        self.a.call(self.own)
        self.log.append(self.log[0])
        self.assert_runs(self.a.read())
        self.assertEqual(self.a.read(), [])

    def test_carried_claim_outlives_an_early_trim(self):
        for carries in (True, False):
            self.setUp()
            self.a.call(self.own)
            self.assert_runs(self.a.read())
            self.a.now += 97.0
            if carries:
                self.a.see(ReadFailed())
            late = Entry("c", self.log)
            late.now += 98.0
            late.call(self.own, "r2")
            actions = late.read(trimmed_to=1)
            # Without the carried copy the claim is gone, and the key runs again.
            expected = ForwardToHome if carries else Dispatch
            self.assertEqual([type(action) for action in actions], [expected])

    def test_log_down_is_unknown_and_a_late_claim_waits_for_a_caller(self):
        self.a.call(self.own)
        self.a.now += 6.0
        self.assert_reply(self.a.see(ReadFailed()), Verdict.UNKNOWN)
        self.assertEqual(self.a.read(), [])
        self.assert_runs(self.a.call(self.own, "r2"))

    def test_paused_claimer_does_not_run_an_expired_key(self):
        self.a.call(self.own)
        self.a.now += 101.0
        replies = self.a.read()
        self.assertTrue(all(isinstance(reply, Reply) for reply in replies))
        self.assert_reply(self.a.call(self.own, "r2"), Verdict.UNKNOWN)

    def test_inquiry_before_any_claim_proves_not_run(self):
        self.b.call(self.own, inquire=True)
        self.a.call(self.own)
        self.assert_reply(self.b.read(), Verdict.NOT_RUN, Ran.NO)
        self.assert_reply(self.a.read(), Verdict.NOT_RUN, Ran.NO)

    def test_inquiry_after_a_claim_asks_its_home(self):
        self.a.call(self.own)
        self.b.call(self.own, inquire=True)
        self.assertIsInstance(self.b.read()[0], ForwardToHome)
        self.assert_runs(self.a.read())

    def test_inquiry_stops_a_claim_that_has_not_run(self):
        self.a.call(self.own)
        self.a.call(self.own, "ask", inquire=True)
        replies = self.a.read()
        self.assertEqual([reply.verdict for reply in replies], [Verdict.NOT_RUN] * 2)
        self.a.see(ReadFailed())
        self.b.read()
        self.assert_reply(self.b.call(self.own), Verdict.NOT_RUN, Ran.NO)

    def test_expired_and_future_keys_are_refused_unless_the_outcome_is_known(self):
        for wall in (WALL - 101.0, WALL + 3.0):
            key = CallKey(account="padavu", key=generate_uuid_key(wall, bytes(10)))
            self.assert_reply(self.a.call(key), Verdict.EXPIRED)
        self.assertEqual(self.log, [])

    def test_other_body_is_a_conflict_at_every_entry(self):
        self.a.call(self.own)
        self.a.read()
        self.a.finish(self.own)
        self.b.read()
        self.assert_reply(self.b.call(self.own, digest="e"), Verdict.CONFLICT)

    def test_claim_whose_caller_left_is_held(self):
        self.a.call(self.own)
        self.a.see(AttemptCancelled(attempt="r1"))
        self.assertEqual(self.a.read(), [])
        self.assert_runs(self.a.call(self.own, "peer", forwarded=True))

    def test_two_accounts_share_no_key(self):
        self.a.call(self.own)
        self.b.call(replace(self.own, account="guest"))
        self.assert_runs(self.a.read())
        self.assert_runs(self.b.read())

    def test_forwarded_attempt_is_never_claimed_afresh(self):
        self.assert_reply(self.a.call(self.own, forwarded=True), Verdict.UNKNOWN)

    def test_full_backlog_refuses_new_keys_and_promises_nothing(self):
        self.a.policy.batcher_.backlog = 0
        self.assert_reply(self.a.call(self.own), Verdict.OVERLOAD)

    def test_full_account_is_refused_before_a_claim(self):
        self.a.policy.fold_.max_account_keys = 0
        self.assert_reply(self.a.call(self.own), Verdict.OVERLOAD)
        self.assertEqual(self.log, [])

    def test_other_forms_of_keys_are_refused(self):
        key = CallKey(account="padavu", key="my-key-1")
        self.assert_reply(self.a.call(key), Verdict.BAD_KEY)


class TestErrors(PolicyTest):
    def test_each_verdict_without_an_outcome_has_an_error_with_a_remedy(self):
        for verdict in set(Verdict) - {Verdict.OUTCOME}:
            reply = Reply(attempt="r1", key=self.own, verdict=verdict, ran=Ran.UNKNOWN)
            error = build_error(reply)
            self.assertEqual(error.ran, Ran.UNKNOWN)
            self.assertTrue(error.remedy)


class TestUncheckedPolicy(PolicyTest):
    def test_runs_each_attempt(self):
        policy = UncheckedPolicy().reset()
        call = CallArrived(
            attempt="r1", key=self.own, digest="d", deadline=NOW, wall=WALL
        )
        for _ in range(2):
            policy.observe(call, NOW)
        self.assertEqual(len(policy.tick(NOW)), 2)
