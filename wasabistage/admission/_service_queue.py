"""Queues of one service at one entry instance."""

from abc import ABC, abstractmethod
from collections import OrderedDict

from wasabistage.admission._account_queue import AccountQueue
from wasabistage.admission._messages import WaitEstimate
from wasabistage.admission._rank_floors import RankScheduler
from wasabistage.base import Rank

#: Weight of the earlier measurements in the mean time to the first byte.
FIRST_BYTE_DECAY_RATIO = 0.95
WAIT_RATIO_STEP = 0.05
WAIT_RATIO_QUANTILE = 0.9
MIN_WAIT_RATIO = 0.5
MAX_WAIT_RATIO = 2.0
UNKNOWN_WAIT_SECONDS = float("inf")


class ServiceQueue(ABC):
    """Queued requests of one service, and its slots in use.

    :param max_queued: maximum number of queued requests of each rank.
    """

    def __init__(self, max_queued):
        self.max_queued = max_queued
        self.slots = 0
        self.running = 0
        self.first_byte_seconds = 0.0
        self.saturated = frozenset()

    def set_slots(self, slots):
        """Set the number of slots.

        :param slots: number of requests that may run at the same time.
        """
        self.slots = slots

    def set_weights(self, weights):
        """Set the accounts' weights; queues without fairness ignore them.

        :param weights: weight by account name.
        """
        return

    def record_first_byte(self, seconds):
        """Record the time from a grant to the first byte.

        :param seconds: measured time.
        """
        decay = FIRST_BYTE_DECAY_RATIO if self.first_byte_seconds else 0.0
        self.first_byte_seconds = (
            decay * self.first_byte_seconds + (1 - decay) * seconds
        )

    @abstractmethod
    def push(self, request, now):
        """Add a request to the queue.

        :param request: the :class:`RequestState`.
        :param now: monotonic time, in seconds.
        :return: the request to remove if the queue is over its bound, possibly the
            added one; otherwise ``None``.
        """

    @abstractmethod
    def pop(self, now):
        """Remove and return the next request if a slot is free for it.

        :param now: monotonic time, in seconds.
        :return: the request, or ``None``.
        """

    @abstractmethod
    def remove(self, request, now):
        """Remove a queued request.

        :param request: a request that was pushed and not popped since.
        :param now: monotonic time, in seconds.
        """

    @abstractmethod
    def release(self, request, seconds, cost, now):
        """Free the slot of a popped request.

        :param request: the :class:`RequestState`.
        :param seconds: time for which it held the slot.
        :param cost: actual cost, in tokens.
        :param now: monotonic time, in seconds.
        """

    @abstractmethod
    def estimate(self, rank, account, now):
        """Predict the wait of a new request.

        :param rank: rank of the request.
        :param account: name of its client account.
        :param now: monotonic time, in seconds.
        :return: a :class:`WaitEstimate`.
        """


class FifoServiceQueue(ServiceQueue):
    """First-come, first-served queue without fairness.

    :param max_queued: maximum number of queued requests; a new one above it is
        refused.
    :param by_rank: whether each rank has a queue of its own and a more urgent rank
        always goes first.
    """

    def __init__(self, max_queued, by_rank):
        super().__init__(max_queued)
        self.by_rank = by_rank
        self.queues = {rank: OrderedDict() for rank in Rank}

    def push(self, request, now):
        """Add a request; return it for removal if the queue was full."""
        queue = self._get_queue(request)
        if len(queue) >= self.max_queued:
            queue[request.request_id] = request
            return request
        queue[request.request_id] = request
        return None

    def pop(self, now):
        """Remove and return the oldest request of the most urgent rank."""
        if self.running >= self.slots:
            return None
        for queue in self.queues.values():
            if queue:
                self.running += 1
                return queue.popitem(last=False)[1]
        return None

    def remove(self, request, now):
        """Remove a queued request."""
        del self._get_queue(request)[request.request_id]

    def release(self, request, seconds, cost, now):
        """Free a slot."""
        self.running -= 1

    def estimate(self, rank, account, now):
        """Return a wait of 0: the baselines refuse no request for its wait."""
        return WaitEstimate(
            wait_seconds=0.0, first_byte_seconds=self.first_byte_seconds
        )

    def _get_queue(self, request):
        return self.queues[request.rank if self.by_rank else Rank.URGENT]


class RankedServiceQueue(ServiceQueue):
    """One queue for each rank, with rank floors and weighted fairness over accounts.

    :param max_queued: maximum number of queued requests of each rank; above it the
        newest request of the account with the highest queued cost divided by weight is
        removed.
    :param floors: minimum fraction of the slots by rank.
    :param headroom: see :class:`RankScheduler`.
    """

    def __init__(self, max_queued, floors, headroom):
        super().__init__(max_queued)
        self.scheduler = RankScheduler(floors, headroom)
        self.queues = {rank: AccountQueue() for rank in floors}
        self.queued_counts = dict.fromkeys(floors, 0)
        self.wait_ratios = dict.fromkeys(floors, 1.0)

    def set_slots(self, slots):
        """Set the number of slots."""
        self.slots = slots
        self.scheduler.slots = slots

    def set_weights(self, weights):
        """Set the accounts' weights in every rank."""
        for queue in self.queues.values():
            queue.set_weights(weights)

    def set_floors(self, floors):
        """Set the ranks' floors.

        :param floors: minimum fraction of the slots by rank.
        """
        for rank, floor in floors.items():
            self.scheduler.ranks[rank].floor = floor

    def push(self, request, now):
        """Add a request; above the bound, return the heaviest account's newest one."""
        self.scheduler.update(self.queued_counts, now)
        queue = self.queues[request.rank]
        request.predicted_wait = self._predict_wait(request.rank, request.account)
        queue.push(request)
        self.queued_counts[request.rank] += 1
        if len(queue) <= self.max_queued:
            return None
        return next(reversed(queue.get_heaviest().queued.values()))

    def pop(self, now):
        """Remove and return the next request by rank, floor and fairness."""
        self.scheduler.update(self.queued_counts, now)
        rank = self.scheduler.select_rank(self.queued_counts)
        if rank is None:
            return None
        request = self.queues[rank].pop()
        self.queued_counts[rank] -= 1
        request.slot_seconds = self.scheduler.ranks[rank].estimate_seconds(request.cost)
        self.scheduler.record_grant(rank, request.slot_seconds)
        self.running += 1
        self._update_wait_ratio(request, now)
        if not self.queued_counts[rank]:
            self.wait_ratios[rank] = 1.0
        return request

    def remove(self, request, now):
        """Remove a queued request."""
        self.scheduler.update(self.queued_counts, now)
        if request.deadline_at <= now:
            self._update_wait_ratio(request, now)
        self.queues[request.rank].remove(request)
        self.queued_counts[request.rank] -= 1

    def release(self, request, seconds, cost, now):
        """Free a slot and replace the estimated slot time and cost by the actual."""
        self.scheduler.update(self.queued_counts, now)
        self.scheduler.record_release(request.rank, request.slot_seconds, seconds)
        self.scheduler.ranks[request.rank].record_finished(seconds, cost)
        self.queues[request.rank].correct_cost(request.account, cost - request.cost)
        self.running -= 1

    def estimate(self, rank, account, now):
        """Predict the wait from the queued cost ahead and the rank's likely slots."""
        self.scheduler.update(self.queued_counts, now)
        wait = self._predict_wait(rank, account) * self.wait_ratios[rank]
        return WaitEstimate(
            wait_seconds=wait, first_byte_seconds=self.first_byte_seconds
        )

    def _predict_wait(self, rank, account):
        """Predict the wait in seconds, without the factor from ``wait_ratios``."""
        if not self.slots:
            return UNKNOWN_WAIT_SECONDS
        queue = self.queues[rank]
        if not queue.size:
            return 0.0
        state = self.scheduler.ranks[rank]
        cost_ahead = queue.estimate_cost_ahead(account)
        requests_ahead = (
            queue.size * cost_ahead / queue.queued_cost
            if queue.queued_cost
            else queue.size
        )
        slots = self.scheduler.estimate_slots(rank)
        return (
            state.estimate_seconds(cost_ahead, requests_ahead) / slots
            if slots
            else UNKNOWN_WAIT_SECONDS
        )

    def _update_wait_ratio(self, request, now):
        """Move the rank's ratio of actual to predicted wait to its 90th percentile.

        The ratio rises nine times as much after a longer wait as it falls after a
        shorter one, so that it settles where nine waits in ten are shorter.
        """
        predicted = request.predicted_wait
        if not 0 < predicted < UNKNOWN_WAIT_SECONDS:
            return
        ratio = self.wait_ratios[request.rank]
        is_longer = now - request.arrived_at > predicted * ratio
        step = WAIT_RATIO_QUANTILE if is_longer else WAIT_RATIO_QUANTILE - 1
        ratio += WAIT_RATIO_STEP * step
        self.wait_ratios[request.rank] = min(MAX_WAIT_RATIO, max(MIN_WAIT_RATIO, ratio))
