"""Base class of the queueing policies: request table, deadlines and dispatch."""

from abc import abstractmethod
from heapq import heapify, heappop, heappush

from wasabistage.admission._base import AdmissionPolicy
from wasabistage.admission._messages import (
    DEADLINE_UNREACHABLE,
    EXPIRED,
    NO_CAPACITY,
    NO_ESTIMATE,
    QUEUE_FULL,
    AccountWeightsChanged,
    CapacityChanged,
    Drop,
    FirstByteReceived,
    GrantSlot,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
)
from wasabistage.admission._retry_after import (
    MIN_RETRY_AFTER_SECONDS,
    RetryAfterSpreader,
)
from wasabistage.exceptions import ConflictError, SettingError

#: The heap is compacted above twice the number of queued requests plus this number.
HEAP_SLACK_ITEMS = 64


class RequestState:
    """State of a queued or running request.

    :param event: the request's :class:`RequestArrived`.
    :param now: monotonic time of its arrival, in seconds.

    ``predicted_wait`` is predicted at arrival, in seconds. ``granted_at`` is ``None``
    while the request is queued. ``slot_seconds`` is the slot time estimated at the
    grant.
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
        "slot_seconds",
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
        self.slot_seconds = 0.0


class QueueingPolicy(AdmissionPolicy):
    """Admission policy with one queue for each service; a subclass builds the queues.

    :param max_queued: maximum number of queued requests of each rank of a service.
    """

    def __init__(self, *, max_queued=1000):
        self.max_queued = max_queued

    def reset(self):
        """Check the argument and clear all requests, services and estimates.

        :return: the policy itself.
        :raises SettingError: if ``max_queued`` is below 1.
        """
        if self.max_queued < 1:
            raise SettingError(
                f"max_queued is {self.max_queued}, below 1",
                remedy="set max_queued to 1 or more",
            )
        self.requests_ = {}
        self.services_ = {}
        self.retry_after_ = RetryAfterSpreader()
        self.deadline_heap_ = []
        self.queued_count_ = 0
        self.handlers_ = {
            RequestArrived: self._arrive,
            FirstByteReceived: self._record_first_byte,
            RequestFinished: self._finish,
            RequestCancelled: self._cancel,
            CapacityChanged: self._change_capacity,
            AccountWeightsChanged: self._change_weights,
        }
        return self

    def observe(self, event, now):
        """Process an event and return the resulting actions."""
        if isinstance(event, RequestCancelled):
            self._remove_cancelled(event, now)
        actions = self._drop_expired(now)
        self.handlers_[type(event)](event, now, actions)
        return actions

    def decide(self, query, now):
        """Predict how long a request would be queued."""
        queue = self.services_.get(query.service)
        if queue is None:
            return NO_ESTIMATE
        return queue.estimate(query.rank, query.account, now)

    def tick(self, now):
        """Drop expired requests and grant the free slots.

        To be called every 50 to 250 ms.
        """
        actions = self._drop_expired(now)
        for queue in self.services_.values():
            self._dispatch(queue, now, actions)
        return actions

    @abstractmethod
    def build_queue(self):
        """Build the queue of a service.

        :return: an empty :class:`ServiceQueue`.
        """

    def refuses_early(self):
        """Return whether requests are refused at arrival for their predicted wait."""
        return False

    def get_max_wait_fraction(self, is_saturated):
        """Return the maximum predicted wait, as a fraction of the time left.

        :param is_saturated: whether the account's demand exceeds its fair share.
        :return: fraction of the time to the deadline, 0 to 1.
        """
        return 1.0

    def _get_queue(self, service):
        """Return the queue of a service; build it if the service is new."""
        if service not in self.services_:
            self.services_[service] = self.build_queue()
        return self.services_[service]

    def _arrive(self, event, now, actions):
        if event.request_id in self.requests_:
            raise ConflictError(
                f"request {event.request_id} is already known",
                remedy="give each arrival its own id",
            )
        queue = self.services_.get(event.service)
        if queue is None or queue.slots < 1:
            actions.append(self._refuse(event, NO_CAPACITY, MIN_RETRY_AFTER_SECONDS))
            return
        if self._refuse_at_arrival(event, queue, now, actions):
            return
        request = RequestState(event, now)
        self.requests_[request.request_id] = request
        self.queued_count_ += 1
        heappush(self.deadline_heap_, (request.deadline_at, request.request_id))
        victim = queue.push(request, now)
        if victim is not None:
            self._shed(victim, event, queue, now, actions)
        self._dispatch(queue, now, actions)

    def _refuse_at_arrival(self, event, queue, now, actions):
        """Refuse a request that has expired or will probably expire in the queue.

        Return whether the request was refused. Predicted waits count only if
        :meth:`refuses_early` says so.
        """
        time_left = event.deadline_at - now
        if time_left <= 0:
            actions.append(self._refuse(event, EXPIRED, MIN_RETRY_AFTER_SECONDS))
            return True
        if not self.refuses_early():
            return False
        estimate = queue.estimate(event.rank, event.account, now)
        max_fraction = self.get_max_wait_fraction(event.account in queue.saturated)
        max_wait = max_fraction * (time_left - estimate.first_byte_seconds)
        if estimate.wait_seconds <= 0 or estimate.wait_seconds <= max_wait:
            return False
        excess = estimate.wait_seconds - max_wait
        actions.append(self._refuse(event, DEADLINE_UNREACHABLE, excess))
        return True

    def _shed(self, victim, event, queue, now, actions):
        """Remove a request from a full queue: the arriving one or another."""
        estimate = queue.estimate(victim.rank, victim.account, now)
        self._remove_queued(victim, queue, now)
        action_class = Refuse if victim.request_id == event.request_id else Drop
        actions.append(
            self._refuse(victim, QUEUE_FULL, estimate.wait_seconds / 2, action_class)
        )

    def _record_first_byte(self, event, now, actions):
        request = self.requests_.get(event.request_id)
        if request is None or request.granted_at is None:
            return
        queue = self.services_[request.service]
        queue.record_first_byte(now - request.granted_at)

    def _finish(self, event, now, actions):
        request = self.requests_.get(event.request_id)
        if request is None or request.granted_at is None:
            return
        cost = request.cost if event.cost is None else event.cost
        self._release(request, cost, now, actions)

    def _remove_cancelled(self, event, now):
        """Remove a cancelled request if it is queued.

        Called before expired requests are dropped, because a cancelled request gets no
        action, even if it has expired.
        """
        request = self.requests_.get(event.request_id)
        if request is not None and request.granted_at is None:
            self._remove_queued(request, self.services_[request.service], now)

    def _cancel(self, event, now, actions):
        """Release a running request; :meth:`observe` has removed a queued one."""
        request = self.requests_.get(event.request_id)
        if request is not None:
            self._release(request, request.cost, now, actions)

    def _release(self, request, cost, now, actions):
        del self.requests_[request.request_id]
        queue = self.services_[request.service]
        queue.release(request, now - request.granted_at, cost, now)
        self._dispatch(queue, now, actions)

    def _change_capacity(self, event, now, actions):
        queue = self._get_queue(event.service)
        queue.set_slots(event.slots)
        self._dispatch(queue, now, actions)

    def _change_weights(self, event, now, actions):
        queue = self._get_queue(event.service)
        queue.set_weights(event.weights)
        queue.saturated = event.saturated

    def _dispatch(self, queue, now, actions):
        while (request := queue.pop(now)) is not None:
            request.granted_at = now
            self.queued_count_ -= 1
            waited = now - request.arrived_at
            actions.append(GrantSlot(request_id=request.request_id, waited=waited))

    def _drop_expired(self, now):
        actions = []
        while self.deadline_heap_ and self.deadline_heap_[0][0] <= now:
            _, request_id = heappop(self.deadline_heap_)
            request = self.requests_.get(request_id)
            if request is None or request.granted_at is not None:
                continue
            if request.deadline_at > now:
                continue  # a later request with the same id
            queue = self.services_[request.service]
            estimate = queue.estimate(request.rank, request.account, now)
            self._remove_queued(request, queue, now)
            actions.append(self._refuse(request, EXPIRED, estimate.wait_seconds, Drop))
        self._compact_heap()
        return actions

    def _remove_queued(self, request, queue, now):
        queue.remove(request, now)
        del self.requests_[request.request_id]
        self.queued_count_ -= 1

    def _compact_heap(self):
        """Remove the deadlines of ended requests when they make up most of the heap."""
        if len(self.deadline_heap_) <= 2 * self.queued_count_ + HEAP_SLACK_ITEMS:
            return
        requests = self.requests_.values()
        queued = (r for r in requests if r.granted_at is None)
        self.deadline_heap_ = [(r.deadline_at, r.request_id) for r in queued]
        heapify(self.deadline_heap_)

    def _refuse(self, request, reason, seconds, action_class=Refuse):
        """Build a refusal whose retry-after is spread over callers."""
        seconds = self.retry_after_.spread(seconds)
        return action_class(
            request_id=request.request_id, reason=reason, retry_after=seconds
        )
