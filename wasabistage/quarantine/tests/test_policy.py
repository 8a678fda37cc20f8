import itertools
import random
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.quarantine import (
    PARTS_QUARANTINED,
    Admitted,
    AnswerBegun,
    AnswerContinued,
    AnswerEnd,
    AttemptEnded,
    AttemptSent,
    CrashQuarantine,
    QuarantineQuery,
    ServerHeard,
    TrialDue,
    TrialStarted,
)
from wasabistage.quarantine._policy import MAX_PARTS

#: Share of sound prompts that may be withheld while servers crash at random.
MAX_WITHHELD_SHARE = 0.01


class QuarantineCase(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.ids = itertools.count()
        self.quarantine = CrashQuarantine().reset()

    def send(self, parts, server="s", quarantine=None):
        """Send a prompt; return the id of the attempt."""
        attempt = f"a{next(self.ids)}"
        event = AttemptSent(attempt=attempt, server=server, parts=tuple(parts))
        (quarantine or self.quarantine).observe(event, self.now)
        return attempt

    def begin(self, parts, server="s", quarantine=None):
        attempt = self.send(parts, server, quarantine)
        event = AnswerBegun(attempt=attempt)
        (quarantine or self.quarantine).observe(event, self.now)
        return attempt

    def end(self, attempt, end, quarantine=None):
        event = AttemptEnded(attempt=attempt, end=end)
        (quarantine or self.quarantine).observe(event, self.now)

    def go_on(self, attempt, *, has_events=True):
        """Have bytes of an answer arrive."""
        event = AnswerContinued(attempt=attempt, has_events=has_events)
        self.quarantine.observe(event, self.now)

    def crash(self, parts, server="s", quarantine=None):
        """Have a server close the connection when its answer has just begun."""
        attempt = self.begin(parts, server, quarantine)
        self.now += 0.1
        self.end(attempt, AnswerEnd.CLOSED, quarantine)

    def answer(self, parts, server="s", quarantine=None):
        attempt = self.begin(parts, server, quarantine)
        self.end(attempt, AnswerEnd.WHOLE, quarantine)

    def ask(self, parts, request="r", quarantine=None):
        query = QuarantineQuery(request=request, parts=tuple(parts))
        return (quarantine or self.quarantine).decide(query, self.now)

    def share(self, sender, receiver):
        """Give one quarantine the evidence of another."""
        for evidence in sender.get_evidence(self.now, is_full=True):
            receiver.observe(evidence, self.now)


class AttributionTest(QuarantineCase):
    def test_two_crashes_put_the_part_in_quarantine(self):
        self.crash(["a", "x"], "s1")
        self.assertTrue(self.ask(["b", "x"]))
        self.now += 1.0
        self.crash(["b", "x"], "s2")
        decision = self.ask(["c", "x"])
        self.assertTrue(decision.has_same_name(PARTS_QUARANTINED))
        self.assertIn("x", decision.reason)
        self.assertTrue(self.ask(["a", "b"]))

    def test_sound_parts_beside_the_cause_stay_in_use(self):
        """Pattern: prompts with the part share their other parts with sound ones."""
        for number in range(4):
            self.crash(["system", "session", "x"], f"s{number}")
            self.now += 0.4
            self.assertIsInstance(self.ask(["system", "session"]), Admitted)
        self.answer(["system", "session"])
        self.crash(["other", "x"], "s8")
        for parts in (["system", "session"], ["system"], ["other"]):
            self.assertIsInstance(self.ask(parts), Admitted)
        self.assertFalse(self.ask(["new", "x"]))

    def test_prompts_that_began_beside_the_cause_stay_in_use(self):
        """Pattern: another prompt's answer had begun on both servers that crashed."""
        for _ in range(100):
            self.answer(["popular"])
        for server in ("s1", "s2"):
            attempts = [self.begin([part], server) for part in ("popular", "x")]
            self.now += 0.1
            for attempt in attempts:
                self.end(attempt, AnswerEnd.CLOSED)
            self.now += 1.0
        self.assertIsInstance(self.ask(["popular"]), Admitted)
        self.assertFalse(self.ask(["x"]))

    def test_parts_of_different_prompts_are_a_cause_each(self):
        """Pattern: two prompts' answers, both new, had begun on each crashed server."""
        for number in range(100):
            self.answer([f"p{number}"])
        for server in ("s1", "s2"):
            attempts = [self.begin([part], server) for part in ("y", "x")]
            self.now += 0.1
            for attempt in attempts:
                self.end(attempt, AnswerEnd.CLOSED)
            self.now += 1.0
        self.assertFalse(self.ask(["x"]))
        self.assertFalse(self.ask(["y"]))
        self.now += self.quarantine.ambiguous_hold
        self.assertIsInstance(self.ask(["x"]), TrialDue)
        self.crash(["x"], "s3")
        self.assertIsInstance(self.ask(["y"]), Admitted)
        self.now += self.quarantine.ambiguous_hold
        self.assertFalse(self.ask(["x"]))

    # Guards against a sound session that is withheld, since its answers had begun on
    # servers that crashed under other prompts of it, and no earlier answer is known.
    def test_prompts_whose_events_came_beside_the_cause_stay_in_use(self):
        """Pattern: the entries have just started; the prompts share a session."""
        for server in ("s1", "s2"):
            sound = self.begin(["system", "session"], server)
            self.go_on(sound)
            harmful = self.begin(["system", "session", "x"], server)
            self.now += 0.1
            for attempt in (harmful, sound):
                self.end(attempt, AnswerEnd.CLOSED)
            self.now += 1.0
        self.assertIsInstance(self.ask(["system", "session"]), Admitted)
        self.assertFalse(self.ask(["system", "session", "x"]))

    def test_part_that_crashes_servers_after_the_first_event_is_found(self):
        for number in range(self.quarantine.max_outages):
            attempt = self.begin(["a", "x"], f"s{number}")
            self.go_on(attempt)
            self.now += 0.1
            self.end(attempt, AnswerEnd.CLOSED)
            self.now += 1.0
        self.assertFalse(self.ask(["a", "x"]))

    # Guards against sound prompts that are withheld for a moment after a crash, until
    # the entry hears of the harmful prompt that another one has sent.
    def test_prompts_with_events_are_not_withheld_before_others_tell_of_the_cause(self):
        for server in ("s1", "s2"):
            attempt = self.begin(["system", "session"], server)
            self.go_on(attempt)
            self.now += 0.1
            self.end(attempt, AnswerEnd.CLOSED)
            self.now += 1.0
        self.assertIsInstance(self.ask(["system", "session"]), Admitted)

    # Guards against a cause that isn't found at servers that send the head of an answer
    # long before its first event.
    def test_part_that_crashes_servers_long_after_the_head_is_found(self):
        for server in ("s1", "s2"):
            attempt = self.begin(["x"], server)
            self.now += 1.5
            self.go_on(attempt, has_events=False)
            self.end(attempt, AnswerEnd.CLOSED)
        self.assertFalse(self.ask(["x"]))

    def test_part_that_turns_harmful_is_found(self):
        """Pattern: new weights crash under a part that was answered before."""
        self.answer(["x"])
        for number in range(self.quarantine.max_outages):
            self.assertTrue(self.ask(["x"]))
            self.crash(["x"], f"s{number}")
            self.now += 1.0
        self.assertFalse(self.ask(["x"]))

    def test_answer_clears_a_part(self):
        self.crash(["a"], "s1")
        self.answer(["a"], "s2")
        self.now += 1.0
        self.crash(["a"], "s3")
        self.assertTrue(self.ask(["a"]))

    def test_answer_that_goes_on_clears_a_part_before_its_end(self):
        self.crash(["a"], "s1")
        attempt = self.begin(["a"], "s2")
        self.now += 0.6
        self.go_on(attempt)
        self.crash(["a"], "s3")
        self.assertTrue(self.ask(["a"]))

    def test_servers_that_fail_together_say_no_more_than_one(self):
        """Pattern: a third of the servers lose power at the same moment."""
        attempts = [self.begin(["popular"], f"s{number}") for number in range(16)]
        self.now += 0.1
        for attempt in attempts:
            self.end(attempt, AnswerEnd.CLOSED)
        self.assertTrue(self.ask(["popular"]))

    def test_answers_that_were_under_way_are_not_suspected(self):
        for number in range(5):
            attempt = self.begin(["a"], f"s{number}")
            self.now += 0.7
            self.go_on(attempt)
            self.end(attempt, AnswerEnd.CLOSED)
        self.assertEqual(self.quarantine.get_evidence(self.now, is_full=True), [])

    def test_reset_of_one_connection_is_no_crash(self):
        """Pattern: a server resets some connections and goes on with the others."""
        for number in range(5):
            self.crash(["a", "b"], f"s{number}")
            self.now += 0.3
            self.quarantine.observe(ServerHeard(server=f"s{number}"), self.now)
        self.assertTrue(self.ask(["a", "b"]))

    def test_refuted_crash_is_not_believed_when_another_entry_tells_it_later(self):
        other = CrashQuarantine().reset()
        self.crash(["a"], "s1")
        self.share(self.quarantine, other)
        self.now += 0.3
        self.quarantine.observe(ServerHeard(server="s1"), self.now)
        self.now += 30.0
        self.quarantine.tick(self.now)
        self.share(other, self.quarantine)
        self.crash(["a"], "s2")
        self.assertTrue(self.ask(["a"]))

    def test_timeouts_and_errors_are_no_crashes(self):
        for number in range(5):
            attempt = self.begin(["a"], f"s{number}")
            self.now += 0.4
            self.end(attempt, AnswerEnd.OTHER)
        self.assertTrue(self.ask(["a"]))

    def test_random_crashes_withhold_next_to_nothing(self):
        """Pattern: a server crashes every second under 400 parts of any popularity."""
        source = random.Random(5)
        parts = [f"p{number}" for number in range(400)]
        weights = [1.0 / (number + 1) for number in range(400)]
        withheld = asked = 0
        for _ in range(600):
            running = []
            for _ in range(10):
                request = ["system", *source.choices(parts, weights, k=2)]
                asked += 1
                withheld += not self.ask(request)
                running.append(self.begin(request, f"s{source.randrange(6)}"))
            self.now += 0.1
            server = f"s{source.randrange(6)}"
            for attempt in running:
                is_lost = self.quarantine.attempts_[attempt].server == server
                self.end(attempt, AnswerEnd.CLOSED if is_lost else AnswerEnd.WHOLE)
            self.now += 0.9
        self.assertLess(withheld / asked, MAX_WITHHELD_SHARE)


class HoldTest(QuarantineCase):
    def setUp(self):
        super().setUp()
        self.crash(["x"], "s1")
        self.now += 1.0
        self.crash(["x"], "s2")

    def test_one_prompt_is_tried_after_the_hold(self):
        self.assertFalse(self.ask(["x"]))
        self.now += self.quarantine.hold
        self.assertIsInstance(self.ask(["x"], "first"), TrialDue)
        event = TrialStarted(request="first", parts=("x",))
        self.quarantine.observe(event, self.now)
        self.assertTrue(self.ask(["x"], "first"))
        self.assertFalse(self.ask(["x"], "second"))
        self.answer(["x"])
        self.assertIsInstance(self.ask(["x"], "second"), Admitted)

    def test_crash_of_a_trial_doubles_the_hold(self):
        self.now += self.quarantine.hold
        self.crash(["x"], "s3")
        self.assertFalse(self.ask(["x"], "first"))
        self.now += 1.5 * self.quarantine.hold
        self.assertFalse(self.ask(["x"]))
        self.now += 0.6 * self.quarantine.hold
        self.assertTrue(self.ask(["x"]))

    def test_prompts_that_wait_in_a_server_are_withdrawn(self):
        waiting, begun = self.send(["x", "y"]), self.begin(["x"])
        self.send(["y"])
        found = self.quarantine.find_withheld_attempts(self.now)
        self.assertEqual(found, [waiting])
        self.end(begun, AnswerEnd.CLOSED)

    # Guards against a quarantine that ends since other prompts are lost: their parts
    # fill the table, and the share of lost prompts raises the number of outages needed.
    def test_storm_of_other_crashes_doesn_t_end_a_quarantine(self):
        self.assertFalse(self.ask(["x"]))
        for number in range(MAX_PARTS + 50):
            attempt = self.begin([f"p{number}"], "s3")
            self.end(attempt, AnswerEnd.CLOSED)
        self.assertLessEqual(len(self.quarantine.suspects_), MAX_PARTS)
        self.assertFalse(self.ask(["x"]))
        evidence = self.quarantine.get_evidence(self.now, is_full=True)
        self.assertEqual(evidence[0].part, "x")

    def test_evidence_is_forgotten_some_time_after_the_hold(self):
        event = TrialStarted(request="first", parts=("x",))
        self.quarantine.observe(event, self.now)
        later = self.quarantine.hold + self.quarantine.forget_seconds + 1.0
        self.now += later
        self.quarantine.tick(self.now)
        self.assertIsInstance(self.ask(["x"]), Admitted)
        self.assertFalse(self.quarantine.suspects_)
        self.assertFalse(self.quarantine.trials_)


class SharingTest(QuarantineCase):
    def setUp(self):
        super().setUp()
        self.other = CrashQuarantine().reset()

    def test_crashes_at_several_entries_add_up(self):
        """Pattern: requests with the part come at any entry, one at each."""
        self.crash(["a", "x"], "s1")
        self.share(self.quarantine, self.other)
        self.now += 1.0
        self.crash(["b", "x"], "s2", self.other)
        self.share(self.other, self.quarantine)
        for quarantine in (self.quarantine, self.other):
            self.assertFalse(self.ask(["c", "x"], quarantine=quarantine))

    def test_evidence_that_comes_twice_counts_once(self):
        self.crash(["x"], "s1")
        for _ in range(3):
            self.share(self.quarantine, self.other)
            self.now += 0.1
            self.share(self.other, self.quarantine)
        self.assertTrue(self.ask(["x"]))
        self.assertTrue(self.ask(["x"], quarantine=self.other))

    def test_answer_at_another_entry_clears_a_part(self):
        self.crash(["a"], "s1")
        self.share(self.quarantine, self.other)
        self.now += 0.5
        self.answer(["a"], "s2", self.other)
        self.share(self.other, self.quarantine)
        self.now += 0.5
        self.crash(["a"], "s3")
        self.assertTrue(self.ask(["a"]))

    def test_only_changes_are_told_unless_all_is_wanted(self):
        self.crash(["a"], "s1")
        self.now += 2.0
        evidence = self.quarantine.get_evidence(self.now, is_full=False)
        self.assertEqual(evidence, [])
        evidence = self.quarantine.get_evidence(self.now, is_full=True)
        self.assertEqual([item.part for item in evidence], ["a"])


class ParamsTest(unittest.TestCase):
    def test_bad_arguments_are_named(self):
        for arguments in (
            {"min_outages": 1},
            {"max_outages": 1},
            {"false_share": 1.0},
            {"hold": 0.0},
            {"max_hold": 1.0},
        ):
            with self.assertRaisesRegex(SettingError, next(iter(arguments))):
                CrashQuarantine(**arguments).reset()


if __name__ == "__main__":
    unittest.main()
