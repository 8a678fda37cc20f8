"""The whole admission of one entry instance: limits, slot shares and queues."""

from wasabistage.admission._base import AdmissionPolicy
from wasabistage.admission._common_limit import CommonLimit
from wasabistage.admission._delays import DelayedRequests, HoldQuery
from wasabistage.admission._demand_messages import (
    AccountsChanged,
    Allow,
    DemandReport,
    EntriesChanged,
    SlotShareQuery,
)
from wasabistage.admission._limits import ShareLimiter
from wasabistage.admission._messages import (
    CapacityChanged,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
    WeightsChanged,
)
from wasabistage.admission._ranked import RankedFairQueue
from wasabistage.exceptions import SettingError


class EntryAdmission(AdmissionPolicy):
    """Passes each request through the common limit and then the queue.

    Takes the events of both. :class:`CapacityChanged` names the slots of all the
    service's backend servers together; this entry's share follows from the limiter.

    :param limiter: a :class:`CommonLimit`; ``None`` for :class:`ShareLimiter`.
    :param queue: an :class:`AdmissionPolicy`; ``None`` for :class:`RankedFairQueue`.
    :param delays: a :class:`DelayedRequests`; ``None`` for one with defaults.
    :param share_interval: time between changes of the slot shares, in seconds.
    """

    def __init__(self, *, limiter=None, queue=None, delays=None, share_interval=0.5):
        self.limiter = limiter
        self.queue = queue
        self.delays = delays
        self.share_interval = share_interval

    def reset(self):
        """Reset limiter and queue, and forget all services.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if self.share_interval <= 0:
            raise SettingError(
                f"share_interval is {self.share_interval}", remedy="set it above 0"
            )
        limiter = ShareLimiter() if self.limiter is None else self.limiter
        queue = RankedFairQueue() if self.queue is None else self.queue
        if not isinstance(limiter, CommonLimit):
            raise SettingError("limiter is no CommonLimit", remedy="pass one")
        self.limiter_ = limiter.reset()
        self.queue_ = queue.reset()
        self.delays_ = (self.delays or DelayedRequests()).reset()
        self.slots_ = {}
        self.share_due_ = None
        return self

    def observe(self, event, now):
        """Take in an event and say what to do."""
        if isinstance(event, RequestArrived):
            return self._arrive(event, now)
        if isinstance(event, (DemandReport, EntriesChanged, AccountsChanged)):
            self.limiter_.observe(event, now)
            return []
        if isinstance(event, CapacityChanged):
            self.slots_[event.service] = event.slots
            return self._share(event.service, now)
        if isinstance(event, (RequestFinished, RequestCancelled)):
            self.limiter_.observe(event, now)
        if isinstance(event, RequestCancelled):
            self.delays_.observe(event, now)
        return self._told(self.queue_.observe(event, now), now)

    def decide(self, query, now):
        """Predict the wait of a request."""
        return self.queue_.decide(query, now)

    def tick(self, now):
        """Report demand, follow the slot shares and drop expired work."""
        actions = self.limiter_.tick(now)
        if self.share_due_ is None or now >= self.share_due_:
            self.share_due_ = now + self.share_interval
            for service in self.slots_:
                actions += self._share(service, now)
        for event in self.delays_.due(now):
            actions += self._arrive(event, now)
        return actions + self._told(self.queue_.tick(now), now)

    def _arrive(self, event, now):
        (limited,) = self.limiter_.observe(event, now)
        if not isinstance(limited, Allow):
            query = HoldQuery(event=event, wait=limited.retry_after)
            return [] if self.delays_.decide(query, now) else [limited]
        self.delays_.release(event.request_id)
        return self._told(self.queue_.observe(event, now), now)

    def _share(self, service, now):
        query = SlotShareQuery(service=service, slots=self.slots_[service])
        share = self.limiter_.decide(query, now)
        weights = WeightsChanged(
            service=service, weights=share.weights, saturated=share.saturated
        )
        capacity = CapacityChanged(service=service, slots=share.slots)
        actions = self.queue_.observe(weights, now)
        actions += self.queue_.observe(capacity, now)
        return self._told(actions, now)

    def _told(self, actions, now):
        """Tell the limiter what the queue did."""
        for action in actions:
            self.limiter_.observe(action, now)
        return actions
