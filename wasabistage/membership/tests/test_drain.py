import unittest

from wasabistage.exceptions import SettingError
from wasabistage.membership import (
    Admission,
    AdmitQuery,
    CloseListeners,
    DrainPolicy,
    DrainRequested,
    Exit,
    FlushOutcomes,
    HandOverWork,
    RemainingWork,
    StopAtOnce,
    Withdraw,
)


def drain(work_at, kind=DrainPolicy, until=80, **arguments):
    """Drain with the work of each second and return (second, action) pairs."""
    policy = kind(**arguments).reset()
    taken = []
    policy.observe(work_at(0), 0.0)
    policy.observe(DrainRequested(), 0.0)
    for second in range(until):
        policy.observe(work_at(second), float(second))
        taken += [(second, type(action)) for action in policy.tick(float(second))]
        if policy.chart_.final:
            break
    return policy, taken


class TestDrain(unittest.TestCase):
    def test_too_short_bound_is_refused(self):
        with self.assertRaises(SettingError):
            DrainPolicy(bound=5.0).reset()

    def test_serves_until_requested(self):
        policy = DrainPolicy().reset()
        self.assertEqual(policy.tick(5.0), [])
        self.assertIs(policy.decide(AdmitQuery(), 5.0), Admission.SERVE)

    def test_idle_process_still_hands_on_while_callers_hold_its_address(self):
        _, taken = drain(lambda second: RemainingWork())
        kinds = [Withdraw, CloseListeners, FlushOutcomes, Exit]
        self.assertEqual(taken, list(zip((0, 10, 10, 10), kinds, strict=True)))

    def test_new_work_is_handed_on_then_refused(self):
        policy = DrainPolicy().reset()
        policy.observe(DrainRequested(), 0.0)
        policy.observe(RemainingWork(requests=1), 0.0)
        seen = []
        for second in (0.0, 9.0, 10.0):
            policy.tick(second)
            seen.append(policy.decide(AdmitQuery(), second))
        self.assertEqual(seen, [Admission.HAND_ON, Admission.HAND_ON, Admission.CLOSED])

    def test_request_within_bound_is_finished(self):
        policy, taken = drain(lambda second: RemainingWork(requests=int(second < 40)))
        self.assertEqual(taken[-1], (40, Exit))
        self.assertEqual(policy.work_, RemainingWork())

    def test_long_stream_is_handed_over_before_the_bound(self):
        policy, taken = drain(lambda second: RemainingWork(streams=int(second < 52)))
        self.assertIn((50, HandOverWork), taken)
        self.assertEqual(taken[-1], (52, Exit))

    def test_outcomes_wait_for_the_log(self):
        _, taken = drain(lambda second: RemainingWork(outcomes=int(second < 30)))
        self.assertIn((10, FlushOutcomes), taken)
        self.assertEqual(taken[-1], (30, Exit))

    def test_bound_holds_and_tells_what_was_cut(self):
        for kind, at in ((DrainPolicy, 60.0), (StopAtOnce, 0.0)):
            policy = kind().reset()
            policy.observe(RemainingWork(requests=2), 0.0)
            policy.observe(DrainRequested(), 0.0)
            exits = []
            for second in range(70):
                actions = policy.tick(float(second))
                exits += [a for a in actions if isinstance(a, Exit)]
            self.assertEqual(
                exits,
                [Exit(remaining_work=RemainingWork(requests=2), elapsed_seconds=at)],
            )
            self.assertFalse(exits[0].clean)
