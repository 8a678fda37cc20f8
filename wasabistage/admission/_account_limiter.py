"""Limits of client accounts that all entry instances of a deployment share."""

from abc import abstractmethod

from wasabistage.admission._demand_messages import (
    AccountsChanged,
    Allow,
    EntriesChanged,
)
from wasabistage.admission._messages import (
    ACCOUNT_LIMIT,
    Drop,
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
from wasabistage.base import Policy, Rank
from wasabistage.declarations import ClientAccount
from wasabistage.exceptions import SettingError

#: Size of a token bucket, as the time in which its rate fills it.
MAX_BURST_SECONDS = 1.0
#: Tokens that urgent requests may overdraw, as the time in which the rate gives them.
MAX_URGENT_OVERDRAFT_SECONDS = 1.0
#: Requests that an account may run above its concurrency if they are urgent.
MAX_URGENT_EXTRA_REQUESTS = 1
UNLIMITED_ACCOUNT = ClientAccount(name="")


class InFlightRequest:
    """A queued or running request that its account's limit allowed.

    :param event: the request's :class:`RequestArrived`.
    :param now: monotonic time of its arrival, in seconds.

    ``started_at`` is the time of the grant, or of the arrival before the grant.
    """

    __slots__ = ("account", "service", "cost", "started_at")

    def __init__(self, event, now):
        self.account = event.account
        self.service = event.service
        self.cost = event.cost
        self.started_at = now


class TokenBucket:
    """Token bucket of one account at this entry.

    The number of tokens is negative after an urgent request has overdrawn the bucket
    or a request has cost more than estimated.

    :param tokens: initial number of tokens.
    :param now: monotonic time, in seconds.
    """

    __slots__ = ("tokens", "refilled_at")

    def __init__(self, tokens, now):
        self.tokens = tokens
        self.refilled_at = now

    def refill(self, rate, now):
        """Add the tokens for the time since the last call.

        :param rate: refill rate, in tokens per second.
        :param now: monotonic time, in seconds.
        """
        self.tokens += rate * (now - self.refilled_at)
        self.tokens = min(self.tokens, rate * MAX_BURST_SECONDS)
        self.refilled_at = now


class AccountLimiter(Policy):
    """Holds each client account to this entry's share of the account's limit.

    The rate and the concurrency of an account are limits for the whole deployment; a
    subclass says how the entry instances divide them.

    Each :class:`RequestArrived` is answered by one :class:`Allow` or :class:`Refuse`.
    The owner then passes on what happens to an allowed request: one :class:`GrantSlot`,
    :class:`Refuse` or :class:`Drop` of the queue, and after a grant one
    :class:`RequestFinished` or :class:`RequestCancelled`.

    :param entry: name of this entry instance.
    :param accounts: client accounts by name; other accounts are not limited.
    """

    def __init__(self, *, entry="entry", accounts=None):
        self.entry = entry
        self.accounts = accounts

    def reset(self):
        """Check the entry's name and clear all requests and token buckets.

        :return: the policy itself.
        :raises SettingError: if the entry's name is empty.
        """
        if not self.entry:
            raise SettingError(
                f"entry is {self.entry!r}, not the name of an entry instance",
                remedy="set entry to the name in the settings of the entry instance",
            )
        self.accounts_ = dict(self.accounts or {})
        self.requests_ = {}
        self.in_flight_counts_ = {}
        self.buckets_ = {}
        self.retry_after_ = RetryAfterSpreader()
        self.handlers_ = {
            RequestArrived: self._arrive,
            RequestFinished: self._finish,
            RequestCancelled: self._cancel,
            GrantSlot: self._grant,
            Refuse: self._refund,
            Drop: self._refund,
            EntriesChanged: self._change_entries,
            AccountsChanged: self._change_accounts,
        }
        return self

    def observe(self, event, now):
        """Process an event and return the resulting actions.

        :param event: one of the events of this package, or an action of the queue.
        :param now: monotonic time, in seconds.
        :return: a list of :class:`Allow` and :class:`Refuse`.
        """
        return self.handlers_[type(event)](event, now) or []

    @abstractmethod
    def get_local_rate(self, account, now):
        """Return this entry's share of an account's rate.

        :param account: a :class:`ClientAccount` with a rate.
        :param now: monotonic time, in seconds.
        :return: tokens per second.
        """

    @abstractmethod
    def get_local_concurrency(self, account, now):
        """Return this entry's share of an account's concurrency.

        :param account: a :class:`ClientAccount` with a concurrency.
        :param now: monotonic time, in seconds.
        :return: number of requests queued or running at the same time.
        """

    def _arrive(self, event, now):
        account = self.accounts_.get(event.account, UNLIMITED_ACCOUNT)
        wait = self._compute_wait(account, event, now)
        if wait > 0:
            return [self._refuse(event, wait)]
        if account.rate:
            self.buckets_[account.name].tokens -= event.cost
        running = self.in_flight_counts_.get(event.account, 0)
        self.in_flight_counts_[event.account] = running + 1
        self.requests_[event.request_id] = InFlightRequest(event, now)
        return [Allow(request_id=event.request_id)]

    def _compute_wait(self, account, event, now):
        """Return the time until the limit allows a request, in seconds.

        The result is 0 if the request is allowed now. Urgent requests may exceed the
        limit by a fixed amount, so that an account's long prompts don't block its
        purchases.
        """
        is_urgent = event.rank is Rank.URGENT
        if account.concurrency:
            limit = self.get_local_concurrency(account, now)
            limit += MAX_URGENT_EXTRA_REQUESTS if is_urgent else 0
            if self.in_flight_counts_.get(account.name, 0) >= limit:
                return MIN_RETRY_AFTER_SECONDS
        if not account.rate:
            return 0.0
        rate = self.get_local_rate(account, now)
        bucket = self.buckets_.get(account.name)
        if bucket is None:
            bucket = TokenBucket(rate * MAX_BURST_SECONDS, now)
            self.buckets_[account.name] = bucket
        bucket.refill(rate, now)
        needed = min(event.cost, rate * MAX_BURST_SECONDS)
        needed -= rate * MAX_URGENT_OVERDRAFT_SECONDS if is_urgent else 0.0
        return (needed - bucket.tokens) / rate if bucket.tokens < needed else 0.0

    def _finish(self, event, now):
        request = self._remove(event.request_id)
        if request is None or event.cost is None:
            return
        bucket = self.buckets_.get(request.account)
        if bucket is not None:
            bucket.tokens -= event.cost - request.cost
        self.record_finished(request, event.cost, now)

    def _cancel(self, event, now):
        self._remove(event.request_id)

    def _grant(self, event, now):
        request = self.requests_.get(event.request_id)
        if request is not None:
            request.started_at = now

    def _refund(self, event, now):
        """Return the tokens of a request that the queue refused."""
        request = self._remove(event.request_id)
        if request is None:
            return
        bucket = self.buckets_.get(request.account)
        if bucket is not None:
            bucket.tokens += request.cost

    def _remove(self, request_id):
        request = self.requests_.pop(request_id, None)
        if request is None:
            return None
        self.in_flight_counts_[request.account] -= 1
        if not self.in_flight_counts_[request.account]:
            del self.in_flight_counts_[request.account]
        return request

    def record_finished(self, request, cost, now):
        """Record a finished request; the base class does nothing.

        :param request: the :class:`InFlightRequest`.
        :param cost: actual cost, in tokens.
        :param now: monotonic time, in seconds.
        """
        return

    def _change_entries(self, event, now):
        return

    def _change_accounts(self, event, now):
        self.accounts_ = dict(event.accounts)
        for name in [name for name in self.buckets_ if name not in self.accounts_]:
            del self.buckets_[name]

    def _get_weights(self):
        return {name: account.weight for name, account in self.accounts_.items()}

    def _refuse(self, event, wait):
        seconds = self.retry_after_.spread(wait)
        return Refuse(
            request_id=event.request_id, reason=ACCOUNT_LIMIT, retry_after=seconds
        )
