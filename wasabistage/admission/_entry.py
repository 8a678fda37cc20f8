"""Admission of one entry instance: account limits, slot shares and queues."""

from wasabistage.admission._account_limiter import AccountLimiter
from wasabistage.admission._base import AdmissionPolicy
from wasabistage.admission._demand_messages import (
    AccountsChanged,
    Allow,
    DemandReport,
    EntriesChanged,
    SlotShareQuery,
)
from wasabistage.admission._hold_policy import HoldPolicy, HoldQuery
from wasabistage.admission._limits import ShareLimiter
from wasabistage.admission._messages import (
    AccountWeightsChanged,
    CapacityChanged,
    RequestArrived,
    RequestCancelled,
    RequestFinished,
)
from wasabistage.admission._ranked import RankedFairQueue
from wasabistage.exceptions import SettingError


class EntryAdmission(AdmissionPolicy):
    """Policy that applies the account limit to each request, then queues it.

    Accepts the events of the limiter and of the queue. :class:`CapacityChanged` gives
    the slots of all backend servers of a service; the limiter computes this entry's
    share of them.

    :param limiter: an :class:`AccountLimiter`; ``None`` for a :class:`ShareLimiter`.
    :param queue: an :class:`AdmissionPolicy`; ``None`` for a
        :class:`RankedFairQueue`.
    :param delays: a :class:`HoldPolicy` that holds requests over the account
        limit; ``None`` for one with default arguments.
    :param share_interval: time between updates of the slot shares, in seconds.
    """

    def __init__(self, *, limiter=None, queue=None, delays=None, share_interval=0.5):
        self.limiter = limiter
        self.queue = queue
        self.delays = delays
        self.share_interval = share_interval

    def reset(self):
        """Reset the limiter, the queue and the held requests; clear all services.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if self.share_interval <= 0:
            raise SettingError(
                f"share_interval is {self.share_interval}, not above 0",
                remedy="set share_interval to a value above 0",
            )
        limiter = ShareLimiter() if self.limiter is None else self.limiter
        queue = RankedFairQueue() if self.queue is None else self.queue
        if not isinstance(limiter, AccountLimiter):
            raise SettingError(
                f"limiter is a {type(limiter).__name__}, not an AccountLimiter",
                remedy="pass a limiter such as ShareLimiter",
            )
        self.limiter_ = limiter.reset()
        self.queue_ = queue.reset()
        self.delays_ = (self.delays or HoldPolicy()).reset()
        self.total_slots_ = {}
        self.next_share_at_ = None
        return self

    def observe(self, event, now):
        """Process an event and return the resulting actions."""
        if isinstance(event, RequestArrived):
            return self._arrive(event, now)
        if isinstance(event, (DemandReport, EntriesChanged, AccountsChanged)):
            self.limiter_.observe(event, now)
            return []
        if isinstance(event, CapacityChanged):
            self.total_slots_[event.service] = event.slots
            return self._update_share(event.service, now)
        if isinstance(event, (RequestFinished, RequestCancelled)):
            self.limiter_.observe(event, now)
        if isinstance(event, RequestCancelled):
            self.delays_.observe(event, now)
        return self._notify_limiter(self.queue_.observe(event, now), now)

    def decide(self, query, now):
        """Predict how long a request would be queued."""
        return self.queue_.decide(query, now)

    def tick(self, now):
        """Report demand, update the slot shares, check held and queued requests."""
        actions = self.limiter_.tick(now)
        if self.next_share_at_ is None or now >= self.next_share_at_:
            self.next_share_at_ = now + self.share_interval
            for service in self.total_slots_:
                actions += self._update_share(service, now)
        for event in self.delays_.get_due(now):
            actions += self._arrive(event, now)
        return actions + self._notify_limiter(self.queue_.tick(now), now)

    def _arrive(self, event, now):
        (action,) = self.limiter_.observe(event, now)
        if not isinstance(action, Allow):
            query = HoldQuery(event=event, wait=action.retry_after)
            return [] if self.delays_.decide(query, now) else [action]
        self.delays_.remove(event.request_id)
        return self._notify_limiter(self.queue_.observe(event, now), now)

    def _update_share(self, service, now):
        query = SlotShareQuery(service=service, slots=self.total_slots_[service])
        share = self.limiter_.decide(query, now)
        weights = AccountWeightsChanged(
            service=service, weights=share.weights, saturated=share.saturated
        )
        capacity = CapacityChanged(service=service, slots=share.slots)
        actions = self.queue_.observe(weights, now)
        actions += self.queue_.observe(capacity, now)
        return self._notify_limiter(actions, now)

    def _notify_limiter(self, actions, now):
        """Forward the queue's actions to the limiter and return them."""
        for action in actions:
            self.limiter_.observe(action, now)
        return actions
