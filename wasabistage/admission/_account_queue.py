"""Weighted fair queue over client accounts, within one rank of one service.

The discipline is start-time fair queueing: the account with the lowest start tag is
served next, and its tag increases by the request's cost divided by the account's
weight. The estimated cost is charged at the grant and corrected when the actual cost is
known.
"""

from collections import OrderedDict
from heapq import heapify, heappop, heappush

#: The heap is compacted above twice the number of accounts plus this number of items.
HEAP_SLACK_ITEMS = 64
#: Number of known accounts at which a new account evicts idle ones.
ACCOUNTS_BEFORE_EVICTION = 1024


class AccountState:
    """Queued requests and start tag of one account.

    :param name: name of the account.
    :param weight: weight relative to other accounts.
    :param start_tag: start tag of its next request, in tokens divided by weight.
    """

    __slots__ = ("name", "weight", "start_tag", "queued", "queued_cost")

    def __init__(self, name, weight, start_tag):
        self.name = name
        self.weight = weight
        self.start_tag = start_tag
        self.queued = OrderedDict()
        self.queued_cost = 0.0

    @property
    def cost_per_weight(self):
        """Queued cost divided by weight, in tokens."""
        return self.queued_cost / self.weight


class AccountQueue:
    """Start-time fair queue of requests over accounts.

    The queue has no bound of its own: the caller removes requests of the account that
    :meth:`get_heaviest` returns. When ``ACCOUNTS_BEFORE_EVICTION`` accounts are known,
    a new one evicts half of those without queued requests, lowest start tags first.
    """

    def __init__(self):
        self.accounts = {}
        self.weights = {}
        self.virtual_time = 0.0
        self.size = 0
        self.queued_cost = 0.0
        self.active_weight = 0.0
        self._start_tag_heap = []
        self._heaviest = None

    def __len__(self):
        return self.size

    def set_weights(self, weights):
        """Replace the accounts' weights.

        :param weights: weight by account name; other accounts have weight 1.
        """
        self.weights = dict(weights)
        self.active_weight = 0.0
        for state in self.accounts.values():
            state.weight = self.get_weight(state.name)
            if state.queued:
                self.active_weight += state.weight
        self._heaviest = None

    def get_weight(self, account):
        """Return the weight of an account.

        :param account: name of the account.
        :return: its weight, 1 if none is set.
        """
        return self.weights.get(account, 1.0)

    def push(self, request):
        """Add a request behind its account's other requests.

        :param request: an object with ``request_id``, ``account`` and ``cost``.
        """
        state = self._get_state(request.account)
        if not state.queued:
            state.start_tag = max(state.start_tag, self.virtual_time)
            self.active_weight += state.weight
            heappush(self._start_tag_heap, (state.start_tag, state.name))
        state.queued[request.request_id] = request
        self._add_to_totals(state, request.cost, 1)
        if self._heaviest and state.cost_per_weight > self._heaviest.cost_per_weight:
            self._heaviest = state

    def pop(self):
        """Remove and return the request to serve next.

        :return: the request, or ``None`` if the queue is empty.
        """
        while self._start_tag_heap:
            tag, name = heappop(self._start_tag_heap)
            state = self.accounts.get(name)
            if state is None or not state.queued or tag != state.start_tag:
                continue  # stale item
            _, request = state.queued.popitem(last=False)
            self.virtual_time = max(self.virtual_time, state.start_tag)
            state.start_tag += request.cost / state.weight
            self._update_after_removal(state, request)
            if state.queued:
                heappush(self._start_tag_heap, (state.start_tag, name))
            return request
        return None

    def remove(self, request):
        """Remove a queued request.

        :param request: a request that was pushed and not popped since.
        """
        state = self.accounts[request.account]
        del state.queued[request.request_id]
        self._update_after_removal(state, request)

    def correct_cost(self, account, difference):
        """Charge an account the difference between actual and estimated cost.

        :param account: name of the account.
        :param difference: actual minus estimated cost, in tokens.
        """
        state = self._get_state(account)
        state.start_tag = max(0.0, state.start_tag + difference / state.weight)
        if state.queued:
            heappush(self._start_tag_heap, (state.start_tag, account))
            self._compact_heap()

    def get_heaviest(self):
        """Return the heaviest account, by queued cost divided by weight.

        :return: an :class:`AccountState`, or ``None`` if the queue is empty.
        """
        if self._heaviest is None and self.size:
            states = (state for state in self.accounts.values() if state.queued)
            self._heaviest = max(states, key=lambda state: state.cost_per_weight)
        return self._heaviest

    def estimate_cost_ahead(self, account):
        """Estimate the queued cost that is served before a new request.

        The request follows its account's queued cost and its account's lead, the cost
        by which the start tag is ahead of the virtual time. Meanwhile the other
        accounts are served in proportion to their weights.

        :param account: name of the new request's account.
        :return: cost, in tokens.
        """
        weight = self.get_weight(account)
        state = self.accounts.get(account)
        own = state.queued_cost if state else 0.0
        lead = max(0.0, state.start_tag - self.virtual_time) * weight if state else 0.0
        total_weight = self.active_weight
        if not (state and state.queued):
            total_weight += weight
        return min(self.queued_cost, (own + lead) * total_weight / weight)

    def _get_state(self, account):
        """Return an account's state; create it if the account is new."""
        state = self.accounts.get(account)
        if state is None:
            if len(self.accounts) >= ACCOUNTS_BEFORE_EVICTION:
                self._evict_idle()
            state = AccountState(account, self.get_weight(account), self.virtual_time)
            self.accounts[account] = state
        return state

    def _evict_idle(self):
        idle = [state for state in self.accounts.values() if not state.queued]
        idle.sort(key=lambda state: state.start_tag)
        for state in idle[: max(1, len(idle) // 2)]:
            del self.accounts[state.name]

    def _add_to_totals(self, state, cost, count):
        state.queued_cost += cost
        self.queued_cost += cost
        self.size += count

    def _update_after_removal(self, state, request):
        """Update the totals; set empty ones to 0 to remove rounding errors."""
        self._add_to_totals(state, -request.cost, -1)
        if not state.queued:
            state.queued_cost = 0.0
            self.active_weight -= state.weight
        if not self.size:
            self.queued_cost = 0.0
            self.active_weight = 0.0
        if state is self._heaviest:
            self._heaviest = None
        self._compact_heap()

    def _compact_heap(self):
        """Remove stale start tags when they make up most of the heap."""
        if len(self._start_tag_heap) <= 2 * len(self.accounts) + HEAP_SLACK_ITEMS:
            return
        states = self.accounts.values()
        self._start_tag_heap = [(s.start_tag, s.name) for s in states if s.queued]
        heapify(self._start_tag_heap)
