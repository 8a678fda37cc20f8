"""Queueing policy with rank floors and weighted fairness over accounts."""

from wasabistage.admission._messages import RankFloorsChanged
from wasabistage.admission._queueing import QueueingPolicy
from wasabistage.admission._service_queue import RankedServiceQueue
from wasabistage.base import Rank
from wasabistage.exceptions import SettingError

DEFAULT_RANK_FLOORS = {Rank.URGENT: 0.5, Rank.INTERACTIVE: 0.3, Rank.BACKGROUND: 0.05}


def check_floors(floors):
    """Check rank floors and add missing ones with the value 0.

    :param floors: minimum fraction of the slots by rank.
    :return: minimum fraction of the slots for every rank.
    :raises SettingError: if a floor is negative or they sum to more than 1.
    """
    complete = {rank: floors.get(rank, 0.0) for rank in Rank}
    if min(complete.values()) < 0 or sum(complete.values()) > 1:
        raise SettingError(
            f"the rank floors are {list(complete.values())}, in order of rank; one is "
            "negative or their sum exceeds 1",
            remedy="set rank floors of 0 or more that sum to at most 1",
        )
    return complete


class RankedFairQueue(QueueingPolicy):
    """Queueing by rank with floors, fairness over accounts and early refusal.

    Each service has its own slots and queues, so that overload of one service does not
    use the slots of another. Within a service the most urgent rank goes first, but a
    rank that is below its floor goes before ranks that are above theirs. Within a rank
    weighted fair queueing shares the tokens among the client accounts. A request whose
    predicted wait is too long for its deadline is refused at arrival. If a queue is
    full, the newest request of the account with the highest queued cost divided by
    weight is refused or dropped.

    :param rank_floors: minimum fraction of the slots by rank, 0 to 1; ``None`` for
        ``DEFAULT_RANK_FLOORS``.
    :param max_queued: maximum number of queued requests of each rank of a service.
    :param headroom: number of standard deviations of demand. The less urgent ranks
        leave the most urgent one slots for its recent mean demand plus so many standard
        deviations, up to its floor; at 0 they may use every idle slot.
    :param wait_part: maximum predicted wait, as a fraction of the time to the
        deadline, of a request whose account's demand exceeds its fair share; other
        requests may wait until the deadline. So a short burst may wait until its
        deadlines, while a lasting overload is refused early and the queues drain soon
        after it ends.
    """

    def __init__(
        self, *, rank_floors=None, max_queued=1000, headroom=0.0, wait_part=0.3
    ):
        super().__init__(max_queued=max_queued)
        self.rank_floors = rank_floors
        self.headroom = headroom
        self.wait_part = wait_part

    def reset(self):
        """Check the arguments and clear all requests, services and estimates.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        super().reset()
        floors = DEFAULT_RANK_FLOORS if self.rank_floors is None else self.rank_floors
        self.floors_ = check_floors(floors)
        self.handlers_[RankFloorsChanged] = self._change_floors
        if self.headroom < 0:
            raise SettingError(
                f"headroom is {self.headroom}, below 0",
                remedy="set headroom to 0 or more",
            )
        if not 0 < self.wait_part <= 1:
            raise SettingError(
                f"wait_part is {self.wait_part}, not above 0 and at most 1",
                remedy="set wait_part to a value above 0 and at most 1",
            )
        return self

    def build_queue(self):
        """Build the queue of a service."""
        return RankedServiceQueue(self.max_queued, self.floors_, self.headroom)

    def refuses_early(self):
        """Return whether requests are refused for their predicted wait; always true."""
        return True

    def get_max_wait_fraction(self, is_saturated):
        """Return ``wait_part`` for a saturated account, 1 for others."""
        return self.wait_part if is_saturated else 1.0

    def _change_floors(self, event, now, actions):
        self.floors_ = check_floors(event.floors)
        for queue in self.services_.values():
            queue.set_floors(self.floors_)
            self._dispatch(queue, now, actions)
