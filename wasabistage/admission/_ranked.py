"""Admission by rank with floors and by weighted fairness."""

from wasabistage.admission._messages import RankFloorsChanged
from wasabistage.admission._queueing import QueueingPolicy
from wasabistage.admission._service_queue import RankedServiceQueue
from wasabistage.base import Rank
from wasabistage.exceptions import SettingError

DEFAULT_FLOORS = {Rank.URGENT: 0.5, Rank.INTERACTIVE: 0.3, Rank.BACKGROUND: 0.05}


def check_floors(floors):
    """Check rank floors and fill in the missing ones with 0.

    :param floors: least share by rank.
    :return: least share of every rank.
    :raises SettingError: if a floor is negative or they sum to more than 1.
    """
    complete = {rank: floors.get(rank, 0.0) for rank in Rank}
    if min(complete.values()) < 0 or sum(complete.values()) > 1:
        raise SettingError(
            "rank floors are negative or sum to more than 1",
            remedy="declare floors of 0 or more that sum to at most 1",
        )
    return complete


class RankedFairQueue(QueueingPolicy):
    """Urgent first, floors for every rank, fairness over accounts, early refusal.

    Each service has its own slots and queues, so that overload of one never takes
    another's. Within a service the most urgent rank goes first, but a rank below
    its declared floor goes before ranks above theirs. Within a rank client accounts
    share by weighted fairness on cost in tokens. A request whose predicted wait is
    too long for its deadline is refused at arrival; at a full queue the newest request
    of the account with the most queued cost over weight is refused.

    :param rank_floors: least share of capacity by rank, 0 to 1; ``None`` for those
        of a deployment without declarations.
    :param max_queued: bound of the waiting requests of each rank of a service.
    :param headroom: slots that less urgent ranks leave free, in standard deviations
        of the recent demand of the most urgent one, up to its floor; 0 lends every
        idle slot.
    :param wait_part: part of the time left to its deadline that a request's
        predicted wait may take when its account asks for more than its fair share;
        otherwise the whole. A burst may use its deadline; a lasting overload is
        refused early, so that its queues drain soon after it ends.
    """

    def __init__(
        self, *, rank_floors=None, max_queued=1000, headroom=0.0, wait_part=0.3
    ):
        super().__init__(max_queued=max_queued)
        self.rank_floors = rank_floors
        self.headroom = headroom
        self.wait_part = wait_part

    def reset(self):
        """Check the arguments and forget all requests and learned rates.

        :return: the policy itself.
        :raises SettingError: if a floor or the headroom is out of range.
        """
        super().reset()
        declared = DEFAULT_FLOORS if self.rank_floors is None else self.rank_floors
        self.floors_ = check_floors(declared)
        self.handlers_[RankFloorsChanged] = self._change_floors
        if self.headroom < 0:
            raise SettingError(
                f"headroom is {self.headroom}", remedy="set it to 0 or more"
            )
        if not 0 < self.wait_part <= 1:
            raise SettingError(
                f"wait_part is {self.wait_part}", remedy="set it above 0, at most 1"
            )
        return self

    def make_queue(self):
        """Build the queue of a service."""
        return RankedServiceQueue(self.max_queued, self.floors_, self.headroom)

    def refuses_early(self):
        """Requests that can't meet their deadline are refused at arrival."""
        return True

    def longest_wait_part(self, saturated):
        """Return ``wait_part`` for a saturated account, else the whole."""
        return self.wait_part if saturated else 1.0

    def _change_floors(self, event, now, actions):
        self.floors_ = check_floors(event.floors)
        for queue in self.services_.values():
            queue.set_floors(self.floors_)
            self._dispatch(queue, now, actions)
