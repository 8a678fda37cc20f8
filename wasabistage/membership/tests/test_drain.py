import unittest

from wasabistage.exceptions import SettingError
from wasabistage.membership import (
    AdmissionDecision,
    AdmissionQuery,
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


def drain(get_work, policy_class=DrainPolicy, until=80, **arguments):
    """Shut down with the work that ``get_work`` returns for each second.

    Return the policy and its actions as pairs of (second, class of the action).
    """
    policy = policy_class(**arguments).reset()
    actions = []
    policy.observe(get_work(0), 0.0)
    policy.observe(DrainRequested(), 0.0)
    for second in range(until):
        policy.observe(get_work(second), float(second))
        actions += [(second, type(action)) for action in policy.tick(float(second))]
        if policy.chart_.is_final:
            break
    return policy, actions


class TestDrain(unittest.TestCase):
    def test_reset_with_too_short_bound_raises_setting_error(self):
        with self.assertRaises(SettingError):
            DrainPolicy(bound=5.0).reset()

    def test_process_before_shutdown_request_serves_requests(self):
        policy = DrainPolicy().reset()
        self.assertEqual(policy.tick(5.0), [])
        self.assertIs(policy.decide(AdmissionQuery(), 5.0), AdmissionDecision.SERVE)

    def test_idle_process_exits_only_after_address_lifetime(self):
        _, actions = drain(lambda second: RemainingWork())
        kinds = [Withdraw, CloseListeners, FlushOutcomes, Exit]
        self.assertEqual(actions, list(zip((0, 10, 10, 10), kinds, strict=True)))

    def test_new_request_is_forwarded_until_addresses_expire_then_refused(self):
        policy = DrainPolicy().reset()
        policy.observe(DrainRequested(), 0.0)
        policy.observe(RemainingWork(requests=1), 0.0)
        decisions = []
        for second in (0.0, 9.0, 10.0):
            policy.tick(second)
            decisions.append(policy.decide(AdmissionQuery(), second))
        self.assertEqual(
            decisions,
            [
                AdmissionDecision.HAND_ON,
                AdmissionDecision.HAND_ON,
                AdmissionDecision.CLOSED,
            ],
        )

    def test_request_that_ends_within_bound_is_not_cut_off(self):
        policy, actions = drain(lambda second: RemainingWork(requests=int(second < 40)))
        self.assertEqual(actions[-1], (40, Exit))
        self.assertEqual(policy.remaining_work_, RemainingWork())

    def test_long_stream_is_handed_over_before_bound(self):
        policy, actions = drain(lambda second: RemainingWork(streams=int(second < 52)))
        self.assertIn((50, HandOverWork), actions)
        self.assertEqual(actions[-1], (52, Exit))

    def test_exit_waits_until_outcomes_are_in_the_log(self):
        _, actions = drain(lambda second: RemainingWork(outcomes=int(second < 30)))
        self.assertIn((10, FlushOutcomes), actions)
        self.assertEqual(actions[-1], (30, Exit))

    def test_process_with_unfinished_work_exits_at_bound_and_reports_it(self):
        for policy_class, at in ((DrainPolicy, 60.0), (StopAtOnce, 0.0)):
            policy = policy_class().reset()
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
            self.assertFalse(exits[0].is_clean)
