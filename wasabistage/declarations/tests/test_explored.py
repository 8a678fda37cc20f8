import os
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.declarations import (
    Accepted,
    AppendAnswered,
    ConfigFold,
    LastWriterFold,
    PublishPolicy,
)
from wasabistage.declarations.tests.world import STEPS, World, explore

#: A longer run: set the variable to the number of schedules.
SEEDS = range(int(os.environ.get("WASABISTAGE_SCHEDULES", "250")))


#: A longer run: set the variable to the number of inputs.
INPUTS = int(os.environ.get("WASABISTAGE_INPUTS", "150"))


class TrustsAnyCarried(ConfigFold):
    """Without the rule that a carried state must reach over the gap."""

    def _use_carried(self, carried, record):
        state = carried.state
        self._adopt(replace(state, next=self.gap_.start), record.age)


class AppliesCarried(ConfigFold):
    """Without the rule that a carried record changes nothing for a full reader."""

    def _check_carried(self, carried, record):
        if carried.state.head:
            head = carried.state.head
            self.state_ = replace(self.state_, head=head)


class SkipsGaps(ConfigFold):
    """Without holding back what was read behind a trimmed part."""

    def _close_gap(self):
        if self.has_gap:
            self._fold_all(*self.gap_.release())


class LastWriterPublish(PublishPolicy):
    """Publisher whose own fold lets the last record win."""

    def reset(self):
        super().reset()
        self.fold_ = LastWriterFold().reset()
        return self


class PublishWithoutReadBack(PublishPolicy):
    """Publisher that takes the log's answer for acceptance."""

    def observe(self, event, now):
        super().observe(event, now)
        if isinstance(event, AppendAnswered):
            self.outcome_ = Accepted(version=event.offset + 1)


class TestExplored(unittest.TestCase):
    def test_seeded_schedules_hold(self):
        failures, outcomes = explore(SEEDS)
        self.assertEqual(failures, [])
        # The schedules must get somewhere, or they would prove nothing.
        self.assertGreater(outcomes, len(SEEDS) // 2)

    @settings(max_examples=INPUTS, derandomize=True, deadline=None, database=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from(STEPS), st.integers(0, 1 << 16)), max_size=60
        )
    )
    def test_generated_schedules_hold(self, steps):
        world = World()
        world.run(steps)
        world.settle()


class TestMechanismsOff(unittest.TestCase):
    """Each mechanism is seen to be needed: without it the checks fail."""

    def assert_fails(self, expected, **kinds):
        others = set()
        for seed in range(250):
            failures, _ = explore([seed], **kinds)
            others.update(failure.partition(": ")[2] for failure in failures)
            if expected in others:
                return
        self.fail(f"never failed by {expected!r}, only by {others}")

    def test_without_base_check(self):
        self.assert_fails("state is not exact", fold=LastWriterFold)

    def test_without_base_check_in_the_publisher(self):
        self.assert_fails("told accepted, but it was not", publisher=LastWriterPublish)

    def test_without_read_back(self):
        self.assert_fails(
            "told accepted, but it was not", publisher=PublishWithoutReadBack
        )

    def test_without_reach_of_carried_state(self):
        self.assert_fails("state is not exact", fold=TrustsAnyCarried)

    def test_with_carried_records_applied(self):
        self.assert_fails("state is not exact", fold=AppliesCarried)

    def test_without_holding_back_behind_a_gap(self):
        self.assert_fails("state is not exact", fold=SkipsGaps)


if __name__ == "__main__":
    unittest.main()
