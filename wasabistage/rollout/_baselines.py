"""Simple rollout policies that serve as baselines in benchmarks."""

from wasabistage.rollout._policy import RolloutPolicy

#: Equals the number of slots in the fold of every instance.
ALL_SLOTS = 64


class OneByOne(RolloutPolicy):
    """Baseline that orders one server at a time."""

    def get_slot_count(self):
        """Return the number of slots.

        :return: 1, regardless of ``slots``.
        """
        return 1


class AllAtOnce(RolloutPolicy):
    """Baseline that orders servers on all slots at the same time."""

    def get_slot_count(self):
        """Return the number of slots.

        :return: ``ALL_SLOTS``, regardless of ``slots``.
        """
        return ALL_SLOTS
