"""Turns of waiting prompts, while more of them wait than engines have room for.

Pattern: an engine returns empty while prompts wait at all of 195 entries. Each entry
sees its room, a moment later than it is, and none sees the others' prompts. Without
turns all of them are sent to it at once, and most are rejected as the engine is full.
"""

from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class RoomQuery:
    """Question whether a prompt is sent now, or waits for a later turn.

    :param room: free slots of the engines that were scored, as last reported.
    :param waiting: prompts that wait at the entries that share these engines, as last
        reported.
    :param own_waiting: prompts that wait at this entry now.
    :param has_waited: whether the prompt has waited for the gate.
    :param rounds: queries per waiting prompt between two reports of the room.
    :param draw: random number from 0 to below 1.
    """

    room: int
    waiting: int
    own_waiting: int
    has_waited: bool
    draw: float
    rounds: float = 1.0


class ProbabilisticAdmission(Policy):
    """Sends a prompt with the probability that the room suffices for all that wait.

    :param overbooking: prompts that are sent per free slot; engines queue a few.
    """

    def __init__(self, *, overbooking=1.25):
        self.overbooking = overbooking

    def reset(self):
        """Check the arguments."""
        if self.overbooking <= 0:
            raise SettingError(
                f"overbooking must be above 0, but is {self.overbooking!r}",
                remedy="set overbooking to a value above 0",
            )
        return self

    def observe(self, event, now):
        """Ignore an event: the lottery learns nothing."""

    def decide(self, query, now):
        """Answer a :class:`RoomQuery`.

        :param query: a :class:`RoomQuery`.
        :param now: monotonic time, in seconds; not used.
        :return: whether the prompt is sent now.
        """
        waiting = max(query.waiting, query.own_waiting)
        tries = query.rounds * waiting if query.has_waited else waiting + 1
        return query.draw * tries < self.overbooking * query.room
