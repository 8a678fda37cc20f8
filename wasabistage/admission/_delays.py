"""Requests that wait a moment for their account's common limit."""

from dataclasses import dataclass

from wasabistage.admission._messages import RequestArrived
from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class HoldQuery:
    """Query: may a request wait for its account's limit?

    :param event: the :class:`RequestArrived`.
    :param wait: seconds until the limit has room for it.
    """

    event: RequestArrived
    wait: float


class DelayedRequests(Policy):
    """Holds requests back whose account's limit has room again soon.

    Sending a caller away for a tenth of a second costs more than waiting for it: the
    caller's work moves to another entry, whose part of the limit is no larger. A
    request is held if the wait is a small part of what is left to its deadline; at
    the bound per account it is refused.

    :param wait_part: longest wait, as a part of the time to the deadline.
    :param max_held: requests held per account.
    :param max_wait: longest wait, in seconds, also for distant deadlines: a caller
        that hears nothing for long takes its connection for broken.
    """

    def __init__(self, *, wait_part=0.2, max_held=32, max_wait=2.0):
        self.wait_part = wait_part
        self.max_held = max_held
        self.max_wait = max_wait

    def reset(self):
        """Check the arguments and hold nothing.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if not 0 <= self.wait_part < 1 or min(self.max_held, self.max_wait) < 0:
            raise SettingError(
                "wait_part is not below 1, or max_held or max_wait is negative",
                remedy="use wait_part=0.2, max_held=32 and max_wait=2",
            )
        self.held_ = {}
        self.counts_ = {}
        self.ends_ = {}
        return self

    def observe(self, event, now):
        """Forget a request whose caller has gone.

        :param event: a :class:`RequestCancelled`; others are ignored.
        :param now: monotonic time, in seconds.
        """
        self._forget(getattr(event, "request_id", ""))

    def decide(self, query, now):
        """Tell whether a refused request is held instead.

        :param query: a :class:`HoldQuery`.
        :param now: monotonic time, in seconds.
        :return: ``True`` if it is held.
        """
        event = query.event
        arrived = self.ends_.get(event.request_id)
        longest = min(self.max_wait, self.wait_part * (event.deadline_at - now))
        end = arrived or now + longest
        due = now + query.wait
        known = event.request_id in self.held_
        if due > end or (not known and self._is_full(event.account)):
            self._forget(event.request_id)
            return False
        if not known:
            self.counts_[event.account] = self.counts_.get(event.account, 0) + 1
        self.held_[event.request_id] = (due, event)
        self.ends_[event.request_id] = end
        return True

    def due(self, now):
        """Return the requests to be offered again, the best rank first.

        They stay counted until they pass or are refused, see :meth:`release`.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`RequestArrived`.
        """
        events = [event for due, event in self.held_.values() if due <= now]
        return sorted(events, key=lambda event: event.rank)

    def release(self, request_id):
        """Forget a request that has passed the limit.

        :param request_id: id of the request.
        """
        self._forget(request_id)

    def _is_full(self, account):
        return self.counts_.get(account, 0) >= self.max_held

    def _forget(self, request_id):
        held = self.held_.pop(request_id, None)
        self.ends_.pop(request_id, None)
        if held is None:
            return
        account = held[1].account
        self.counts_[account] -= 1
        if not self.counts_[account]:
            del self.counts_[account]
