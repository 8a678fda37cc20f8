"""Short-term holding of requests that exceed their account's limit."""

from dataclasses import dataclass

from wasabistage.admission._messages import RequestArrived
from wasabistage.base import Policy
from wasabistage.exceptions import SettingError


@dataclass(frozen=True, kw_only=True)
class HoldQuery:
    """Query: whether to hold a request that exceeds its account's limit.

    :param event: the request's :class:`RequestArrived`.
    :param wait: time until the request is checked against the limit again, in seconds;
        the ``retry_after`` of the limiter's refusal.
    """

    event: RequestArrived
    wait: float


class HoldPolicy(Policy):
    """Policy that holds requests which their account's limit will allow soon.

    Holding a request for a tenth of a second costs less than refusing it: a refused
    caller moves its work to another entry, whose share of the limit is no larger. A
    request is held if its wait is a small fraction of the time to its deadline and
    its account has fewer than ``max_held`` requests held.

    :param wait_part: maximum wait, as a fraction of the time to the deadline.
    :param max_held: maximum number of requests held for each account.
    :param max_wait: maximum wait, in seconds. It applies to distant deadlines, too,
        because a caller without a response assumes after some time that its
        connection is broken.
    """

    def __init__(self, *, wait_part=0.2, max_held=32, max_wait=2.0):
        self.wait_part = wait_part
        self.max_held = max_held
        self.max_wait = max_wait

    def reset(self):
        """Check the arguments and remove all held requests.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        if not 0 <= self.wait_part < 1 or min(self.max_held, self.max_wait) < 0:
            raise SettingError(
                f"wait_part is {self.wait_part}, max_held is {self.max_held} and "
                f"max_wait is {self.max_wait}; at least one is out of range",
                remedy="set wait_part to at least 0 and below 1, and max_held and "
                "max_wait to 0 or more",
            )
        self.held_ = {}
        self.held_counts_ = {}
        self.hold_until_ = {}
        return self

    def observe(self, event, now):
        """Remove a held request whose caller has disconnected.

        :param event: a :class:`RequestCancelled`; events without a request id are
            ignored.
        :param now: monotonic time, in seconds.
        """
        self._remove(getattr(event, "request_id", ""))

    def decide(self, query, now):
        """Hold a request over the limit, or remove it if it can't be held.

        :param query: a :class:`HoldQuery`.
        :param now: monotonic time, in seconds.
        :return: ``True`` if the request is held, ``False`` if it is to be refused.
        """
        event = query.event
        known_hold_until = self.hold_until_.get(event.request_id)
        max_wait = min(self.max_wait, self.wait_part * (event.deadline_at - now))
        hold_until = known_hold_until or now + max_wait
        due = now + query.wait
        is_held = event.request_id in self.held_
        if due > hold_until or (not is_held and self._is_full(event.account)):
            self._remove(event.request_id)
            return False
        if not is_held:
            self.held_counts_[event.account] = (
                self.held_counts_.get(event.account, 0) + 1
            )
        self.held_[event.request_id] = (due, event)
        self.hold_until_[event.request_id] = hold_until
        return True

    def get_due(self, now):
        """Return the requests whose wait is over, the most urgent rank first.

        Each request is to be checked against the limit again. It counts as held until
        :meth:`remove` is called or :meth:`decide` returns ``False`` for it.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`RequestArrived`.
        """
        events = [event for due, event in self.held_.values() if due <= now]
        return sorted(events, key=lambda event: event.rank)

    def remove(self, request_id):
        """Remove a request, since the limit now allows it.

        :param request_id: id of the request.
        """
        self._remove(request_id)

    def _is_full(self, account):
        return self.held_counts_.get(account, 0) >= self.max_held

    def _remove(self, request_id):
        held = self.held_.pop(request_id, None)
        self.hold_until_.pop(request_id, None)
        if held is None:
            return
        account = held[1].account
        self.held_counts_[account] -= 1
        if not self.held_counts_[account]:
            del self.held_counts_[account]
