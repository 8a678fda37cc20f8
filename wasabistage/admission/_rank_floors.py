"""Choice of the rank that is served next, with a minimum share for each rank."""

from math import exp, sqrt

#: Bound of a rank's credit and debt, as the time in which its floor earns it.
MAX_CREDIT_SECONDS = 2.0
SHORT_TIME_CONSTANT_SECONDS = 1.0
LONG_TIME_CONSTANT_SECONDS = 3.0
DEFAULT_SLOT_SECONDS = 1.0
#: Factor applied to the totals before each finished request is added.
SLOT_SECONDS_DECAY_RATIO = 0.98


class RankState:
    """Credit, demand for slots and mean slot time of one rank of one service.

    The demand is the number of slots that running and queued requests can use:
    ``demand`` at the last update, ``short_mean`` and ``long_mean`` as exponential
    averages with ``SHORT_TIME_CONSTANT_SECONDS`` and ``LONG_TIME_CONSTANT_SECONDS``.
    The totals cover finished requests and decay with each one.

    :param floor: minimum fraction of the slots that the rank can use, 0 to 1.
    """

    __slots__ = (
        "floor",
        "running",
        "credit",
        "short_mean",
        "long_mean",
        "demand",
        "total_seconds",
        "total_tokens",
        "total_requests",
    )

    def __init__(self, floor):
        self.floor = floor
        self.running = 0
        self.credit = 0.0
        self.short_mean = 0.0
        self.long_mean = 0.0
        self.demand = 0
        self.total_seconds = 0.0
        self.total_tokens = 0.0
        self.total_requests = 0.0

    def record_finished(self, seconds, tokens):
        """Record the slot time and cost of a finished request.

        :param seconds: time for which the request held its slot.
        :param tokens: actual cost.
        """
        self.total_seconds = SLOT_SECONDS_DECAY_RATIO * self.total_seconds + seconds
        self.total_tokens = SLOT_SECONDS_DECAY_RATIO * self.total_tokens + tokens
        self.total_requests = SLOT_SECONDS_DECAY_RATIO * self.total_requests + 1.0

    def estimate_seconds(self, tokens, requests=1):
        """Estimate the slot time of requests from their cost.

        :param tokens: total cost of the requests, in tokens.
        :param requests: number of requests.
        :return: total slot time, in seconds.
        """
        if not self.total_requests:
            return DEFAULT_SLOT_SECONDS * requests
        if not self.total_tokens:
            return self.total_seconds / self.total_requests * requests
        return self.total_seconds / self.total_tokens * tokens


class RankScheduler:
    """Scheduler that selects the rank whose request gets the next free slot.

    A rank earns credit, in slot-seconds, at the rate of its floor, and each grant is
    charged its slot time. The credit of a rank without queued requests is at most 0. A
    rank with positive credit goes before those without; otherwise the most urgent rank
    goes first. The less urgent ranks leave as many slots free as the most urgent one
    probably needs, up to its floor.

    :param floors: minimum fraction of the slots by rank, 0 to 1, summing to at most 1.
    :param headroom: free slots above the mean demand of the most urgent rank, in
        standard deviations of the demand; at 0 no slot is left free.
    """

    def __init__(self, floors, headroom):
        self.headroom = headroom
        self.ranks = {rank: RankState(floor) for rank, floor in sorted(floors.items())}
        self.slots = 0
        self.updated_at = None

    @property
    def running(self):
        """Number of slots in use."""
        return sum(state.running for state in self.ranks.values())

    def update(self, queued_counts, now):
        """Update credit and demand for the time since the last update.

        :param queued_counts: number of queued requests by rank during that time.
        :param now: monotonic time, in seconds.
        """
        elapsed = now - self.updated_at if self.updated_at is not None else 0.0
        self.updated_at = now
        if elapsed <= 0:
            return
        short_decay = exp(-elapsed / SHORT_TIME_CONSTANT_SECONDS)
        long_decay = exp(-elapsed / LONG_TIME_CONSTANT_SECONDS)
        for rank, state in self.ranks.items():
            state.demand = min(state.running + queued_counts[rank], self.slots)
            state.short_mean = (
                short_decay * state.short_mean + (1 - short_decay) * state.demand
            )
            state.long_mean = (
                long_decay * state.long_mean + (1 - long_decay) * state.demand
            )
            earning = state.floor * self.slots
            state.credit += earning * elapsed
            max_credit = MAX_CREDIT_SECONDS * earning if queued_counts[rank] else 0.0
            state.credit = min(state.credit, max_credit)

    def select_rank(self, queued_counts):
        """Select the rank to serve next.

        :param queued_counts: number of queued requests by rank.
        :return: a rank, or ``None`` if no slot may be granted now.
        """
        free = self.slots - self.running
        if free < 1:
            return None
        for rank, state in self.ranks.items():
            if queued_counts[rank] and state.credit > 0:
                return rank
        first, *others = self.ranks
        if queued_counts[first]:
            return first
        needed = self.estimate_need(self.ranks[first]) - self.ranks[first].running
        if free <= needed:
            return None
        return next((rank for rank in others if queued_counts[rank]), None)

    def estimate_need(self, state):
        """Estimate the slots that a rank needs soon, up to its floor.

        The estimate is the mean demand plus ``headroom`` standard deviations, with the
        variance of a Poisson distribution. It is 0 if ``headroom`` is 0.

        :param state: the rank's :class:`RankState`.
        :return: number of slots.
        """
        if not self.headroom:
            return 0
        need = state.short_mean + self.headroom * sqrt(state.short_mean)
        return min(int(state.floor * self.slots), round(need))

    def record_grant(self, rank, seconds):
        """Count a granted slot and charge its estimated slot time.

        :param rank: rank of the request.
        :param seconds: estimated slot time.
        """
        state = self.ranks[rank]
        state.running += 1
        min_credit = -MAX_CREDIT_SECONDS * state.floor * self.slots
        state.credit = max(state.credit, min_credit) - seconds

    def record_release(self, rank, estimated, seconds):
        """Count a freed slot and charge the rest of its actual slot time.

        :param rank: rank of the request.
        :param estimated: slot time charged at the grant, in seconds.
        :param seconds: actual slot time.
        """
        state = self.ranks[rank]
        state.running -= 1
        state.credit -= seconds - estimated

    def estimate_slots(self, rank):
        """Estimate the slots that the other ranks leave to a rank.

        Each other rank is taken to use its mean demand, but at most one slot more than
        its demand at the last update and, if it is less urgent, at most its floor.

        :param rank: the rank.
        :return: mean number of slots, at least the rank's floor.
        """
        used = 0.0
        for other, state in self.ranks.items():
            if other == rank:
                continue
            bound = self.slots if other < rank else state.floor * self.slots
            used += min(state.long_mean, bound, state.demand + 1)
        return max(self.ranks[rank].floor * self.slots, self.slots - used)
