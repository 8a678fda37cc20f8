"""Weighted fair queue over client accounts, within one rank of one service.

Start-time fair queueing: each account has a start tag; the lowest is served next
and advances by cost over weight. The cost is estimated at the grant and corrected
when the actual cost is known.
"""

from collections import OrderedDict
from heapq import heapify, heappop, heappush

COMPACTION_SLACK = 64
MAX_IDLE_ACCOUNTS = 1024


class AccountState:
    """Waiting requests and start tag of one account.

    :param name: name of the account.
    :param weight: share relative to other accounts.
    :param start: start tag of its next request, in tokens over weight.
    """

    __slots__ = ("name", "weight", "start", "waiting", "cost")

    def __init__(self, name, weight, start):
        self.name = name
        self.weight = weight
        self.start = start
        self.waiting = OrderedDict()
        self.cost = 0.0

    @property
    def load(self):
        """Queued cost over weight, in tokens."""
        return self.cost / self.weight


class AccountQueue:
    """Start-time fair queue of requests over accounts.

    Holds what it is given; the bound is kept by the caller, who asks
    :meth:`heaviest` for the account to shed from. At most ``MAX_IDLE_ACCOUNTS``
    accounts without waiting work are remembered; those furthest behind go first.
    """

    def __init__(self):
        self.accounts = {}
        self.weights = {}
        self.virtual_time = 0.0
        self.size = 0
        self.cost = 0.0
        self.active_weight = 0.0
        self._order = []
        self._heaviest = None

    def __len__(self):
        return self.size

    def set_weights(self, weights):
        """Replace the accounts' weights.

        :param weights: weight by name of the account; others have weight 1.
        """
        self.weights = dict(weights)
        self.active_weight = 0.0
        for state in self.accounts.values():
            state.weight = self.weight_of(state.name)
            if state.waiting:
                self.active_weight += state.weight
        self._heaviest = None

    def weight_of(self, account):
        """Return the weight of an account.

        :param account: name of the account.
        :return: its weight, 1 when none is set.
        """
        return self.weights.get(account, 1.0)

    def push(self, request):
        """Append a request behind its account's others.

        :param request: an object with ``request_id``, ``account`` and ``cost``.
        """
        state = self._state(request.account)
        if not state.waiting:
            state.start = max(state.start, self.virtual_time)
            self.active_weight += state.weight
            heappush(self._order, (state.start, state.name))
        state.waiting[request.request_id] = request
        self._add(state, request.cost, 1)
        if self._heaviest and state.load > self._heaviest.load:
            self._heaviest = state

    def pop(self):
        """Remove the request to be served next.

        :return: the request, or ``None`` when nothing waits.
        """
        while self._order:
            tag, name = heappop(self._order)
            state = self.accounts.get(name)
            if state is None or not state.waiting or tag != state.start:
                continue
            _, request = state.waiting.popitem(last=False)
            self.virtual_time = max(self.virtual_time, state.start)
            state.start += request.cost / state.weight
            self._removed(state, request)
            if state.waiting:
                heappush(self._order, (state.start, name))
            return request
        return None

    def remove(self, request):
        """Remove a waiting request.

        :param request: a request that was pushed and not popped since.
        """
        state = self.accounts[request.account]
        del state.waiting[request.request_id]
        self._removed(state, request)

    def correct(self, account, difference):
        """Charge the difference between actual and estimated cost.

        :param account: name of the account.
        :param difference: actual less estimated cost, in tokens.
        """
        state = self._state(account)
        state.start = max(0.0, state.start + difference / state.weight)
        if state.waiting:
            heappush(self._order, (state.start, account))
            self._compact()

    def heaviest(self):
        """Return the account with the most queued cost over weight.

        :return: an :class:`AccountState`, or ``None`` when nothing waits.
        """
        if self._heaviest is None and self.size:
            waiting = (state for state in self.accounts.values() if state.waiting)
            self._heaviest = max(waiting, key=lambda state: state.load)
        return self._heaviest

    def work_ahead(self, account):
        """Return the queued cost that is served before a new request.

        :param account: name of the account that the new request is from.
        :return: cost, in tokens.
        """
        weight = self.weight_of(account)
        state = self.accounts.get(account)
        own = state.cost if state else 0.0
        lead = max(0.0, state.start - self.virtual_time) * weight if state else 0.0
        total = self.active_weight
        if not (state and state.waiting):
            total += weight
        return min(self.cost, (own + lead) * total / weight)

    def _state(self, account):
        state = self.accounts.get(account)
        if state is None:
            if len(self.accounts) >= MAX_IDLE_ACCOUNTS:
                self._forget_idle()
            state = AccountState(account, self.weight_of(account), self.virtual_time)
            self.accounts[account] = state
        return state

    def _forget_idle(self):
        idle = [state for state in self.accounts.values() if not state.waiting]
        idle.sort(key=lambda state: state.start)
        for state in idle[: max(1, len(idle) // 2)]:
            del self.accounts[state.name]

    def _add(self, state, cost, count):
        state.cost += cost
        self.cost += cost
        self.size += count

    def _removed(self, state, request):
        self._add(state, -request.cost, -1)
        if not state.waiting:
            state.cost = 0.0
            self.active_weight -= state.weight
        if not self.size:
            self.cost = 0.0
            self.active_weight = 0.0
        if state is self._heaviest:
            self._heaviest = None
        self._compact()

    def _compact(self):
        if len(self._order) <= 2 * len(self.accounts) + COMPACTION_SLACK:
            return
        states = self.accounts.values()
        self._order = [(s.start, s.name) for s in states if s.waiting]
        heapify(self._order)
