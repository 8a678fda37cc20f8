"""One common limit for each client account, held at every entry instance."""

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
from wasabistage.admission._retry_after import MIN_RETRY_AFTER, RetryAfter
from wasabistage.base import Policy, Rank
from wasabistage.declarations import ClientAccount
from wasabistage.exceptions import SettingError

BURST_SECONDS = 1.0
URGENT_OVERDRAFT_SECONDS = 1.0
URGENT_EXTRA_REQUESTS = 1
UNLIMITED = ClientAccount(name="")


class RunningRequest:
    """A request that passed its limit and has not ended.

    :param event: the :class:`RequestArrived` it came with.
    :param now: monotonic time, in seconds.

    ``at`` is the time of its grant, or of its arrival while it waits.
    """

    __slots__ = ("account", "service", "cost", "at")

    def __init__(self, event, now):
        self.account = event.account
        self.service = event.service
        self.cost = event.cost
        self.at = now


class TokenBucket:
    """Tokens of one account at this entry; may go below zero by a correction.

    :param tokens: tokens held at the start.
    :param now: monotonic time, in seconds.
    """

    __slots__ = ("tokens", "at")

    def __init__(self, tokens, now):
        self.tokens = tokens
        self.at = now

    def fill(self, rate, now):
        """Add what has come in since the last call.

        :param rate: tokens a second.
        :param now: monotonic time, in seconds.
        """
        self.tokens += rate * (now - self.at)
        self.tokens = min(self.tokens, rate * BURST_SECONDS)
        self.at = now


class CommonLimit(Policy):
    """Holds each client account to its share, at this entry, of its common limit.

    Each :class:`RequestArrived` is answered by one :class:`Allow` or :class:`Refuse`.
    What becomes of a passed request is told by one :class:`GrantSlot`, :class:`Refuse`
    or
    :class:`Drop` of the queue, and after a grant by one :class:`RequestFinished` or
    :class:`RequestCancelled`.

    :param entry: name of this entry instance.
    :param accounts: client accounts by name; others are not limited.
    """

    def __init__(self, *, entry="entry", accounts=None):
        self.entry = entry
        self.accounts = accounts

    def reset(self):
        """Forget all requests and demand.

        :return: the policy itself.
        :raises SettingError: if the entry has no name.
        """
        if not self.entry:
            raise SettingError("the entry has no name", remedy="name it in settings")
        self.accounts_ = dict(self.accounts or {})
        self.requests_ = {}
        self.in_flight_counts_ = {}
        self.buckets_ = {}
        self.retry_after_ = RetryAfter()
        self.handlers_ = {
            RequestArrived: self._arrive,
            RequestFinished: self._finish,
            RequestCancelled: self._cancel,
            GrantSlot: self._grant,
            Refuse: self._give_back,
            Drop: self._give_back,
            EntriesChanged: self._change_entries,
            AccountsChanged: self._change_accounts,
        }
        return self

    def observe(self, event, now):
        """Take in an event and say what to do.

        :param event: one of the events of this package, or an action of the queue.
        :param now: monotonic time, in seconds.
        :return: a list of :class:`Allow` and :class:`Refuse`.
        """
        return self.handlers_[type(event)](event, now) or []

    @abstractmethod
    def rate_at_entry(self, account, now):
        """Return this entry's part of an account's rate.

        :param account: a :class:`ClientAccount` with a rate.
        :param now: monotonic time, in seconds.
        :return: tokens a second.
        """

    @abstractmethod
    def concurrency_at_entry(self, account, now):
        """Return this entry's part of an account's concurrency.

        :param account: a :class:`ClientAccount` with a concurrency.
        :param now: monotonic time, in seconds.
        :return: requests at a time.
        """

    def _arrive(self, event, now):
        account = self.accounts_.get(event.account, UNLIMITED)
        wait = self._wait(account, event, now)
        if wait > 0:
            return [self._refuse(event, wait)]
        if account.rate:
            self.buckets_[account.name].tokens -= event.cost
        running = self.in_flight_counts_.get(event.account, 0)
        self.in_flight_counts_[event.account] = running + 1
        self.requests_[event.request_id] = RunningRequest(event, now)
        return [Allow(request_id=event.request_id)]

    def _wait(self, account, event, now):
        """Return the seconds until a request fits; 0 when it does now.

        Urgent work may overdraw: an account's own long prompts must not keep its
        purchases out.
        """
        urgent = event.rank is Rank.URGENT
        if account.concurrency:
            allowed = self.concurrency_at_entry(account, now)
            allowed += URGENT_EXTRA_REQUESTS if urgent else 0
            if self.in_flight_counts_.get(account.name, 0) >= allowed:
                return MIN_RETRY_AFTER
        if not account.rate:
            return 0.0
        rate = self.rate_at_entry(account, now)
        bucket = self.buckets_.get(account.name)
        if bucket is None:
            bucket = TokenBucket(rate * BURST_SECONDS, now)
            self.buckets_[account.name] = bucket
        bucket.fill(rate, now)
        needed = min(event.cost, rate * BURST_SECONDS)
        needed -= rate * URGENT_OVERDRAFT_SECONDS if urgent else 0.0
        return (needed - bucket.tokens) / rate if bucket.tokens < needed else 0.0

    def _finish(self, event, now):
        request = self._forget(event.request_id)
        if request is None or event.cost is None:
            return
        bucket = self.buckets_.get(request.account)
        if bucket is not None:
            bucket.tokens -= event.cost - request.cost
        self.learn_speed(request, event.cost, now)

    def _cancel(self, event, now):
        self._forget(event.request_id)

    def _grant(self, event, now):
        request = self.requests_.get(event.request_id)
        if request is not None:
            request.at = now

    def _give_back(self, event, now):
        """Return the tokens of a request that the queue refused."""
        request = self._forget(event.request_id)
        if request is None:
            return
        bucket = self.buckets_.get(request.account)
        if bucket is not None:
            bucket.tokens += request.cost

    def _forget(self, request_id):
        request = self.requests_.pop(request_id, None)
        if request is None:
            return None
        self.in_flight_counts_[request.account] -= 1
        if not self.in_flight_counts_[request.account]:
            del self.in_flight_counts_[request.account]
        return request

    def learn_speed(self, request, cost, now):
        """Take in a finished request; the base class learns nothing.

        :param request: the request.
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

    def _weights(self):
        return {name: account.weight for name, account in self.accounts_.items()}

    def _refuse(self, event, wait):
        seconds = self.retry_after_.spread(wait)
        return Refuse(
            request_id=event.request_id, reason=ACCOUNT_LIMIT, retry_after=seconds
        )
