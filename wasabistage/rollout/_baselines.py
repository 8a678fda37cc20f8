"""Plain ways to roll weights out, to compare with."""

from wasabistage.rollout._policy import RolloutPolicy

UNLIMITED_SLOTS = 64


class OneByOne(RolloutPolicy):
    """Baseline that changes one server after another."""

    def slot_count(self):
        """Return the number of slots.

        :return: 1, whatever ``slots`` says.
        """
        return 1


class AllAtOnce(RolloutPolicy):
    """Baseline that changes every server at the same time."""

    def slot_count(self):
        """Return the number of slots.

        :return: a large number, whatever ``slots`` says.
        """
        return UNLIMITED_SLOTS
