"""What all queueing policies share: the request table, deadlines and dispatch."""

from abc import abstractmethod
from heapq import heapify, heappop, heappush

from wasabistage.admission._base import AdmissionPolicy
from wasabistage.admission._messages import (
    DEADLINE_UNREACHABLE,
    EXPIRED,
    NO_CAPACITY,
    NO_ESTIMATE,
    QUEUE_FULL,
    CapacityChanged,
    Drop,
    FirstByteReceived,
    GrantSlot,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    WeightsChanged,
)
from wasabistage.admission._retry_after import MIN_RETRY_AFTER, RetryAfter
from wasabistage.exceptions import ConflictError, SettingError

HEAP_SLACK = 64


class QueuedRequest:
    """A request from its arrival to its end.

    :param event: the :class:`RequestArrived` it came with.
    :param now: monotonic time of its arrival, in seconds.
    """

    __slots__ = (
        "request_id",
        "account",
        "rank",
        "service",
        "cost",
        "deadline_at",
        "arrived_at",
        "granted_at",
        "predicted_wait",
        "seconds",
    )

    def __init__(self, event, now):
        self.request_id = event.request_id
        self.account = event.account
        self.rank = event.rank
        self.service = event.service
        self.cost = event.cost
        self.deadline_at = event.deadline_at
        self.arrived_at = now
        self.granted_at = None
        self.predicted_wait = 0.0
        self.seconds = 0.0


class QueueingPolicy(AdmissionPolicy):
    """Keeps one queue for each service; a subclass says of what kind.

    :param max_queued: bound of the waiting requests of each rank of a service.
    """

    def __init__(self, *, max_queued=1000):
        self.max_queued = max_queued

    def reset(self):
        """Forget all requests, services and learned rates.

        :return: the policy itself.
        :raises SettingError: if ``max_queued`` is below 1.
        """
        if self.max_queued < 1:
            raise SettingError(
                f"max_queued is {self.max_queued}", remedy="set it to 1 or more"
            )
        self.requests_ = {}
        self.services_ = {}
        self.retry_after_ = RetryAfter()
        self.deadlines_ = []
        self.waiting_ = 0
        self.handlers_ = {
            RequestArrived: self._arrive,
            FirstByteReceived: self._first_byte,
            RequestFinished: self._finish,
            RequestCancelled: self._cancel,
            CapacityChanged: self._change_capacity,
            WeightsChanged: self._change_weights,
        }
        return self

    def observe(self, event, now):
        """Take in an event and say what to do."""
        if isinstance(event, RequestCancelled):
            self._forget_cancelled(event, now)
        actions = self._drop_expired(now)
        self.handlers_[type(event)](event, now, actions)
        return actions

    def decide(self, query, now):
        """Predict the wait of a request."""
        queue = self.services_.get(query.service)
        if queue is None:
            return NO_ESTIMATE
        return queue.estimate(query.rank, query.account, now)

    def tick(self, now):
        """Drop expired work and grant what has become due.

        Call it every 50 to 250 ms.
        """
        actions = self._drop_expired(now)
        for queue in self.services_.values():
            self._dispatch(queue, now, actions)
        return actions

    @abstractmethod
    def make_queue(self):
        """Build the queue of a service.

        :return: an empty :class:`ServiceQueue`.
        """

    def refuses_early(self):
        """Tell whether requests are refused for their predicted wait."""
        return False

    def longest_wait_part(self, saturated):
        """Return the part of the time left that a predicted wait may take.

        :param saturated: whether the account asks for more than its fair share.
        :return: part, 0 to 1.
        """
        return 1.0

    def _queue(self, service):
        if service not in self.services_:
            self.services_[service] = self.make_queue()
        return self.services_[service]

    def _arrive(self, event, now, actions):
        if event.request_id in self.requests_:
            raise ConflictError(
                f"request {event.request_id} is already known",
                remedy="give each arrival its own id",
            )
        queue = self.services_.get(event.service)
        if queue is None or queue.slots < 1:
            actions.append(self._refuse(event, NO_CAPACITY, MIN_RETRY_AFTER))
            return
        if self._refused_early(event, queue, now, actions):
            return
        request = QueuedRequest(event, now)
        self.requests_[request.request_id] = request
        self.waiting_ += 1
        heappush(self.deadlines_, (request.deadline_at, request.request_id))
        loser = queue.push(request, now)
        if loser is not None:
            self._shed(loser, event, queue, now, actions)
        self._dispatch(queue, now, actions)

    def _refused_early(self, event, queue, now, actions):
        """Refuse a request that has expired or, if so set, would in the queue."""
        left = event.deadline_at - now
        if left <= 0:
            actions.append(self._refuse(event, EXPIRED, MIN_RETRY_AFTER))
            return True
        if not self.refuses_early():
            return False
        estimate = queue.estimate(event.rank, event.account, now)
        wait_part = self.longest_wait_part(event.account in queue.saturated)
        longest = wait_part * (left - estimate.first_byte)
        if estimate.wait <= 0 or estimate.wait <= longest:
            return False
        excess = estimate.wait - longest
        actions.append(self._refuse(event, DEADLINE_UNREACHABLE, excess))
        return True

    def _shed(self, loser, event, queue, now, actions):
        estimate = queue.estimate(loser.rank, loser.account, now)
        self._forget_waiting(loser, queue, now)
        kind = Refuse if loser.request_id == event.request_id else Drop
        actions.append(self._refuse(loser, QUEUE_FULL, estimate.wait / 2, kind))

    def _first_byte(self, event, now, actions):
        request = self.requests_.get(event.request_id)
        if request is None or request.granted_at is None:
            return
        queue = self.services_[request.service]
        queue.learn_first_byte(now - request.granted_at)

    def _finish(self, event, now, actions):
        request = self.requests_.get(event.request_id)
        if request is None or request.granted_at is None:
            return
        cost = request.cost if event.cost is None else event.cost
        self._release(request, cost, now, actions)

    def _forget_cancelled(self, event, now):
        """Remove a waiting request before it could be dropped as expired."""
        request = self.requests_.get(event.request_id)
        if request is not None and request.granted_at is None:
            self._forget_waiting(request, self.services_[request.service], now)

    def _cancel(self, event, now, actions):
        request = self.requests_.get(event.request_id)
        if request is not None:
            self._release(request, request.cost, now, actions)

    def _release(self, request, cost, now, actions):
        del self.requests_[request.request_id]
        queue = self.services_[request.service]
        queue.release(request, now - request.granted_at, cost, now)
        self._dispatch(queue, now, actions)

    def _change_capacity(self, event, now, actions):
        queue = self._queue(event.service)
        queue.set_slots(event.slots)
        self._dispatch(queue, now, actions)

    def _change_weights(self, event, now, actions):
        queue = self._queue(event.service)
        queue.set_weights(event.weights)
        queue.saturated = event.saturated

    def _dispatch(self, queue, now, actions):
        while (request := queue.pop(now)) is not None:
            request.granted_at = now
            self.waiting_ -= 1
            waited = now - request.arrived_at
            actions.append(GrantSlot(request_id=request.request_id, waited=waited))

    def _drop_expired(self, now):
        actions = []
        while self.deadlines_ and self.deadlines_[0][0] <= now:
            _, request_id = heappop(self.deadlines_)
            request = self.requests_.get(request_id)
            if request is None or request.granted_at is not None:
                continue
            if request.deadline_at > now:
                continue
            queue = self.services_[request.service]
            estimate = queue.estimate(request.rank, request.account, now)
            self._forget_waiting(request, queue, now)
            actions.append(self._refuse(request, EXPIRED, estimate.wait, Drop))
        self._compact_deadlines()
        return actions

    def _forget_waiting(self, request, queue, now):
        queue.remove(request, now)
        del self.requests_[request.request_id]
        self.waiting_ -= 1

    def _compact_deadlines(self):
        if len(self.deadlines_) <= 2 * self.waiting_ + HEAP_SLACK:
            return
        requests = self.requests_.values()
        waiting = (r for r in requests if r.granted_at is None)
        self.deadlines_ = [(r.deadline_at, r.request_id) for r in waiting]
        heapify(self.deadlines_)

    def _refuse(self, request, reason, seconds, kind=Refuse):
        """Build a refusal whose retry-after is spread over callers."""
        seconds = self.retry_after_.spread(seconds)
        return kind(request_id=request.request_id, reason=reason, retry_after=seconds)
