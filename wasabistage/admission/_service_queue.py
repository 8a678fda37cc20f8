"""Queues of one service at one entry instance."""

from abc import ABC, abstractmethod
from collections import OrderedDict

from wasabistage.admission._account_queue import AccountQueue
from wasabistage.admission._messages import WaitEstimate
from wasabistage.admission._rank_floors import RankFloors
from wasabistage.base import Rank

FIRST_BYTE_MEMORY = 0.95
RATIO_STEP = 0.05
RATIO_QUANTILE = 0.9
MIN_RATIO = 0.5
MAX_RATIO = 2.0
UNKNOWN_WAIT = float("inf")


class ServiceQueue(ABC):
    """Waiting requests and slots in use of one service.

    :param max_queued: bound of the waiting requests of each rank.
    """

    def __init__(self, max_queued):
        self.max_queued = max_queued
        self.slots = 0
        self.running = 0
        self.first_byte = 0.0
        self.saturated = frozenset()

    def set_slots(self, slots):
        """Set the number of slots.

        :param slots: requests at a time.
        """
        self.slots = slots

    def set_weights(self, weights):
        """Set the accounts' weights; queues that know no accounts ignore them.

        :param weights: weight by name of the account.
        """
        return

    def learn_first_byte(self, seconds):
        """Take in the time from a grant to its first byte.

        :param seconds: that time.
        """
        keep = FIRST_BYTE_MEMORY if self.first_byte else 0.0
        self.first_byte = keep * self.first_byte + (1 - keep) * seconds

    @abstractmethod
    def push(self, request, now):
        """Queue a request.

        :param request: the request.
        :param now: monotonic time, in seconds.
        :return: the request that must give way at the bound (which may be the one
            pushed), or ``None``.
        """

    @abstractmethod
    def pop(self, now):
        """Take the next request if a slot is free for it.

        :param now: monotonic time, in seconds.
        :return: the request, or ``None``.
        """

    @abstractmethod
    def remove(self, request, now):
        """Remove a waiting request.

        :param request: a request that was pushed and not popped since.
        :param now: monotonic time, in seconds.
        """

    @abstractmethod
    def release(self, request, seconds, cost, now):
        """Free the slot of a popped request.

        :param request: the request.
        :param seconds: time it held the slot.
        :param cost: actual cost, in tokens.
        :param now: monotonic time, in seconds.
        """

    @abstractmethod
    def estimate(self, rank, account, now):
        """Predict the wait of a new request.

        :param rank: its rank.
        :param account: its account.
        :param now: monotonic time, in seconds.
        :return: a :class:`WaitEstimate`.
        """


class FifoServiceQueue(ServiceQueue):
    """First come first served, within a rank if ``ranked``, and no fairness.

    :param max_queued: bound of the waiting requests; the newest is refused at it.
    :param ranked: whether a more urgent rank always goes first.
    """

    def __init__(self, max_queued, ranked):
        super().__init__(max_queued)
        self.ranked = ranked
        self.lines = {rank: OrderedDict() for rank in Rank}

    def push(self, request, now):
        """Queue a request; the pushed one gives way at the bound."""
        line = self._line(request)
        if len(line) >= self.max_queued:
            line[request.request_id] = request
            return request
        line[request.request_id] = request
        return None

    def pop(self, now):
        """Take the oldest request of the most urgent line."""
        if self.running >= self.slots:
            return None
        for line in self.lines.values():
            if line:
                self.running += 1
                return line.popitem(last=False)[1]
        return None

    def remove(self, request, now):
        """Remove a waiting request."""
        del self._line(request)[request.request_id]

    def release(self, request, seconds, cost, now):
        """Free a slot."""
        self.running -= 1

    def estimate(self, rank, account, now):
        """Predict nothing: the baselines refuse nothing early."""
        return WaitEstimate(wait=0.0, first_byte=self.first_byte)

    def _line(self, request):
        return self.lines[request.rank if self.ranked else Rank.URGENT]


class RankedServiceQueue(ServiceQueue):
    """Ranks with floors, and weighted fairness over accounts within each.

    :param max_queued: bound of the waiting requests of each rank; at the bound the
        newest request of the account with the most queued cost over weight gives way.
    :param floors: least share by rank.
    :param headroom: see :class:`RankFloors`.
    """

    def __init__(self, max_queued, floors, headroom):
        super().__init__(max_queued)
        self.floors = RankFloors(floors, headroom)
        self.lines = {rank: AccountQueue() for rank in floors}
        self.queued = dict.fromkeys(floors, 0)
        self.ratio = dict.fromkeys(floors, 1.0)

    def set_slots(self, slots):
        """Set the number of slots."""
        self.slots = slots
        self.floors.slots = slots

    def set_weights(self, weights):
        """Set the accounts' weights in every rank."""
        for line in self.lines.values():
            line.set_weights(weights)

    def set_floors(self, floors):
        """Set the ranks' floors.

        :param floors: least share by rank.
        """
        for rank, floor in floors.items():
            self.floors.ranks[rank].floor = floor

    def push(self, request, now):
        """Queue a request; the heaviest account's newest gives way at the bound."""
        self.floors.advance(self.queued, now)
        line = self.lines[request.rank]
        request.predicted_wait = self._wait(request.rank, request.account)
        line.push(request)
        self.queued[request.rank] += 1
        if len(line) <= self.max_queued:
            return None
        return next(reversed(line.heaviest().waiting.values()))

    def pop(self, now):
        """Take the next request by rank, floor and fairness."""
        self.floors.advance(self.queued, now)
        rank = self.floors.choose(self.queued)
        if rank is None:
            return None
        request = self.lines[rank].pop()
        self.queued[rank] -= 1
        request.seconds = self.floors.ranks[rank].slot_seconds(request.cost)
        self.floors.grant(rank, request.seconds)
        self.running += 1
        self._learn_wait(request, now)
        if not self.queued[rank]:
            self.ratio[rank] = 1.0
        return request

    def remove(self, request, now):
        """Remove a waiting request."""
        self.floors.advance(self.queued, now)
        if request.deadline_at <= now:
            self._learn_wait(request, now)
        self.lines[request.rank].remove(request)
        self.queued[request.rank] -= 1

    def release(self, request, seconds, cost, now):
        """Free a slot and correct what was estimated."""
        self.floors.advance(self.queued, now)
        self.floors.release(request.rank, request.seconds, seconds)
        self.floors.ranks[request.rank].learn(seconds, cost)
        self.lines[request.rank].correct(request.account, cost - request.cost)
        self.running -= 1

    def estimate(self, rank, account, now):
        """Predict the wait from the work ahead and the rank's likely rate."""
        self.floors.advance(self.queued, now)
        wait = self._wait(rank, account) * self.ratio[rank]
        return WaitEstimate(wait=wait, first_byte=self.first_byte)

    def _wait(self, rank, account):
        """Predict the wait before the learned correction, in seconds."""
        if not self.slots:
            return UNKNOWN_WAIT
        line = self.lines[rank]
        if not line.size:
            return 0.0
        state = self.floors.ranks[rank]
        ahead = line.work_ahead(account)
        requests = line.size * ahead / line.cost if line.cost else line.size
        rate = self.floors.rate(rank)
        return state.slot_seconds(ahead, requests) / rate if rate else UNKNOWN_WAIT

    def _learn_wait(self, request, now):
        """Let the ratio of actual to predicted wait follow its 90th percentile."""
        predicted = request.predicted_wait
        if not 0 < predicted < UNKNOWN_WAIT:
            return
        ratio = self.ratio[request.rank]
        longer = now - request.arrived_at > predicted * ratio
        step = RATIO_QUANTILE if longer else RATIO_QUANTILE - 1
        ratio += RATIO_STEP * step
        self.ratio[request.rank] = min(MAX_RATIO, max(MIN_RATIO, ratio))
