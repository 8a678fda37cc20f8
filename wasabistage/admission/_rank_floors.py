"""Which rank of a service is served next: urgent first, above declared floors."""

from math import exp, sqrt

CREDIT_SECONDS = 2.0
DEMAND_SECONDS = 1.0
USE_SECONDS = 3.0
DEFAULT_SERVICE_SECONDS = 1.0
RATE_MEMORY = 0.98


class RankState:
    """Use, credit and learned rates of one rank of one service.

    :param floor: least share of the slots that the rank keeps, 0 to 1.
    """

    __slots__ = (
        "floor",
        "running",
        "credit",
        "demand",
        "use",
        "wanted",
        "seconds",
        "tokens",
        "count",
    )

    def __init__(self, floor):
        self.floor = floor
        self.running = 0
        self.credit = 0.0
        self.demand = 0.0
        self.use = 0.0
        self.wanted = 0
        self.seconds = 0.0
        self.tokens = 0.0
        self.count = 0.0

    def learn(self, seconds, tokens):
        """Take in the slot time and cost of a finished request.

        :param seconds: time the slot was held.
        :param tokens: actual cost.
        """
        self.seconds = RATE_MEMORY * self.seconds + seconds
        self.tokens = RATE_MEMORY * self.tokens + tokens
        self.count = RATE_MEMORY * self.count + 1.0

    def slot_seconds(self, tokens, requests=1):
        """Predict the slot time of a cost.

        :param tokens: cost, in tokens.
        :param requests: requests that the cost is spread over.
        :return: slot time, in seconds.
        """
        if not self.count:
            return DEFAULT_SERVICE_SECONDS * requests
        if not self.tokens:
            return self.seconds / self.count * requests
        return self.seconds / self.tokens * tokens


class RankFloors:
    """Chooses among ranks that have work.

    A rank with work earns credit at its floor's share of the slots and pays for the
    slot time it is granted; one that is owed credit goes before those that are not.
    Otherwise the most urgent rank goes first. The others leave free as many slots as
    its recent demand is likely to need, up to its floor.

    :param floors: least share by rank, 0 to 1, summing to at most 1.
    :param headroom: slots kept free, in standard deviations of the demand of the most
        urgent rank; 0 lends every idle slot.
    """

    def __init__(self, floors, headroom):
        self.headroom = headroom
        self.ranks = {rank: RankState(floor) for rank, floor in sorted(floors.items())}
        self.slots = 0
        self.at = None

    @property
    def running(self):
        """Number of slots in use."""
        return sum(state.running for state in self.ranks.values())

    def advance(self, queued, now):
        """Let credit and demand follow the time passed.

        :param queued: number of waiting requests by rank, before this moment.
        :param now: monotonic time, in seconds.
        """
        passed = now - self.at if self.at is not None else 0.0
        self.at = now
        if passed <= 0:
            return
        keep = exp(-passed / DEMAND_SECONDS)
        keep_use = exp(-passed / USE_SECONDS)
        for rank, state in self.ranks.items():
            state.wanted = min(state.running + queued[rank], self.slots)
            state.demand = keep * state.demand + (1 - keep) * state.wanted
            state.use = keep_use * state.use + (1 - keep_use) * state.wanted
            earning = state.floor * self.slots
            state.credit += earning * passed
            cap = CREDIT_SECONDS * earning if queued[rank] else 0.0
            state.credit = min(state.credit, cap)

    def choose(self, queued):
        """Choose the rank to serve next.

        :param queued: number of waiting requests by rank.
        :return: a rank, or ``None`` when nothing may be granted now.
        """
        free = self.slots - self.running
        if free < 1:
            return None
        for rank, state in self.ranks.items():
            if queued[rank] and state.credit > 0:
                return rank
        first, *others = self.ranks
        if queued[first]:
            return first
        kept = self.likely_need(self.ranks[first]) - self.ranks[first].running
        if free <= kept:
            return None
        return next((rank for rank in others if queued[rank]), None)

    def likely_need(self, state):
        """Return the slots that a rank is likely to need, up to its floor.

        :param state: the rank's state.
        :return: number of slots.
        """
        if not self.headroom:
            return 0
        need = state.demand + self.headroom * sqrt(state.demand)
        return min(int(state.floor * self.slots), round(need))

    def grant(self, rank, seconds):
        """Charge a grant.

        :param rank: rank of the request.
        :param seconds: predicted slot time.
        """
        state = self.ranks[rank]
        state.running += 1
        least = -CREDIT_SECONDS * state.floor * self.slots
        state.credit = max(state.credit, least) - seconds

    def release(self, rank, predicted, seconds):
        """Free a slot and charge what the prediction missed.

        :param rank: rank of the request.
        :param predicted: slot time charged at the grant, in seconds.
        :param seconds: actual slot time.
        """
        state = self.ranks[rank]
        state.running -= 1
        state.credit -= seconds - predicted

    def rate(self, rank):
        """Predict the slots that a rank can count on.

        :param rank: the rank.
        :return: slot-seconds a second.
        """
        used = 0.0
        for other, state in self.ranks.items():
            if other == rank:
                continue
            bound = self.slots if other < rank else state.floor * self.slots
            used += min(state.use, bound, state.wanted + 1)
        return max(self.ranks[rank].floor * self.slots, self.slots - used)
