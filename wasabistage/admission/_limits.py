"""Common limits of client accounts and slot shares over all entry instances."""

from abc import abstractmethod

from wasabistage.admission._demand_messages import (
    AccountsChanged,
    DemandReport,
    EntriesChanged,
    Pass,
    SendReport,
    Share,
)
from wasabistage.admission._demand_table import DemandCounter, DemandTable
from wasabistage.admission._messages import (
    ACCOUNT_LIMIT,
    Arrive,
    Cancelled,
    Drop,
    Finished,
    Grant,
    Refuse,
)
from wasabistage.admission._shares import SlotDivision, apportion
from wasabistage.base import Policy
from wasabistage.declarations import ClientAccount
from wasabistage.exceptions import SettingError

BURST_SECONDS = 1.0
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 30.0
GOLDEN_RATIO = 0.6180339887498949
EQUAL_PART = 0.05
UNLIMITED = ClientAccount(name="")


class RunningRequest:
    """A request that passed its limit and has not ended.

    :param event: the :class:`Arrive` it came with.
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

    Each :class:`Arrive` is answered by one :class:`Pass` or :class:`Refuse`. What
    becomes of a passed request is told by one :class:`Grant`, :class:`Refuse` or
    :class:`Drop` of the queue, and after a grant by one :class:`Finished` or
    :class:`Cancelled`.

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
        self.running_ = {}
        self.buckets_ = {}
        self.refusals_ = 0
        self.handlers_ = {
            Arrive: self._arrive,
            Finished: self._finish,
            Cancelled: self._cancel,
            Grant: self._grant,
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
        :return: a list of :class:`Pass` and :class:`Refuse`.
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
        wait = self._wait(account, event.cost, now)
        if wait > 0:
            return [self._refuse(event, wait)]
        if account.rate:
            self.buckets_[account.name].tokens -= event.cost
        running = self.running_.get(event.account, 0)
        self.running_[event.account] = running + 1
        self.requests_[event.request_id] = RunningRequest(event, now)
        return [Pass(request_id=event.request_id)]

    def _wait(self, account, cost, now):
        """Return the seconds until a request fits; 0 when it does now."""
        if account.concurrency:
            allowed = self.concurrency_at_entry(account, now)
            if self.running_.get(account.name, 0) >= allowed:
                return MIN_RETRY_AFTER
        if not account.rate:
            return 0.0
        rate = self.rate_at_entry(account, now)
        bucket = self.buckets_.get(account.name)
        if bucket is None:
            bucket = TokenBucket(rate * BURST_SECONDS, now)
            self.buckets_[account.name] = bucket
        bucket.fill(rate, now)
        needed = min(cost, rate * BURST_SECONDS)
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
        self.running_[request.account] -= 1
        if not self.running_[request.account]:
            del self.running_[request.account]
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
        self.refusals_ += 1
        spread = 1.0 + self.refusals_ * GOLDEN_RATIO % 1.0
        seconds = min(MAX_RETRY_AFTER, max(MIN_RETRY_AFTER, wait) * spread)
        return Refuse(
            request_id=event.request_id, reason=ACCOUNT_LIMIT, retry_after=seconds
        )


class PerEntryLimit(CommonLimit):
    """Baseline: every entry takes an equal part of each limit and of the slots."""

    def reset(self):
        """Forget all requests; start as the only entry."""
        super().reset()
        self.entries_ = [self.entry]
        return self

    def decide(self, query, now):
        """Return an equal part of a service's slots.

        :param query: a :class:`ShareQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Share` with the accounts' declared weights.
        """
        equal = dict.fromkeys(self.entries_, 1.0)
        slots = apportion(query.slots, equal)[self.entry]
        return Share(slots=slots, weights=self._weights())

    def rate_at_entry(self, account, now):
        """Return an equal part of the rate."""
        return account.rate / len(self.entries_)

    def concurrency_at_entry(self, account, now):
        """Return an equal part of the concurrency."""
        equal = dict.fromkeys(self.entries_, 1.0)
        return apportion(account.concurrency, equal)[self.entry]

    def _change_entries(self, event, now):
        self.entries_ = sorted({*event.members, self.entry})


class ShareLimiter(CommonLimit):
    """Divides limits and slots by the demand that the entries tell each other.

    Entries that hear each other divide their pool, which is as large a part of the
    whole as they are of the entries: a little equally, the rest by demand. For
    those not heard of lately an equal part stays reserved, and an entry that hears
    nobody takes just that, so that the parts never sum to more than the limit as
    long as views agree.

    :param entry: name of this entry instance.
    :param accounts: client accounts by name; others are not limited.
    :param incarnation: number that grows with each start of this entry.
    :param report_interval: time between reports, in seconds.
    :param stale_after: age at which a peer's report no longer counts, in seconds.
    """

    def __init__(
        self,
        *,
        entry="entry",
        accounts=None,
        incarnation=0,
        report_interval=0.5,
        stale_after=2.0,
    ):
        super().__init__(entry=entry, accounts=accounts)
        self.incarnation = incarnation
        self.report_interval = report_interval
        self.stale_after = stale_after

    def reset(self):
        """Check the arguments and forget all requests and demand.

        :return: the policy itself.
        :raises SettingError: if the times are out of range.
        """
        super().reset()
        if not 0 < self.report_interval < self.stale_after:
            raise SettingError(
                "report_interval is not between 0 and stale_after",
                remedy="set report_interval above 0 and below stale_after",
            )
        self.counter_ = DemandCounter()
        self.table_ = DemandTable(self.entry, self.stale_after)
        self.sequence_ = 0
        self.report_due_ = None
        self.parts_ = {}
        self.handlers_[DemandReport] = self._merge
        return self

    def tick(self, now):
        """Report this entry's demand when due.

        :param now: monotonic time, in seconds.
        :return: a list of at most one :class:`SendReport`.
        """
        self.parts_.clear()
        if self.report_due_ is not None and now < self.report_due_:
            return []
        self.report_due_ = now + self.report_interval
        self.sequence_ += 1
        demands = self.counter_.largest(now)
        report = self.table_.own_report(self.incarnation, self.sequence_, demands, now)
        return [SendReport(report=report)]

    def decide(self, query, now):
        """Divide a service's slots by weighted max-min fairness over all entries.

        Fairness is reckoned over the accounts' demand at every entry; an entry's
        share is the sum of its accounts' parts.

        :param query: a :class:`ShareQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`Share`.
        """
        fresh = self.table_.fresh(now)
        equal = apportion(query.slots, self.table_.members)
        pool = sum(equal[name] for name in fresh)
        least = {name: min(1, equal[name]) for name in fresh}
        division = SlotDivision(
            pool, self.table_.slots_of(query.service, fresh), self._weights()
        )
        wanted = {name: division.slots(name) for name in fresh}
        above = {name: max(0.0, wanted[name] - least[name]) for name in fresh}
        extra = apportion(pool - sum(least.values()), above)
        return Share(
            slots=least[self.entry] + extra[self.entry],
            weights=division.weights_at(self.entry),
            saturated=division.saturated(),
        )

    def rate_at_entry(self, account, now):
        """Return this entry's part of the rate, by demand."""
        pool, parts = self._parts(account.name, now)
        return account.rate * pool * parts[self.entry]

    def concurrency_at_entry(self, account, now):
        """Return this entry's part of the concurrency, by demand.

        Every entry whose equal part holds a whole request keeps one of them.
        """
        _, parts = self._parts(account.name, now)
        equal = apportion(account.concurrency, self.table_.members)
        least = {name: min(1, equal[name]) for name in parts}
        pool = sum(equal[name] for name in parts) - sum(least.values())
        return least[self.entry] + apportion(pool, parts)[self.entry]

    def learn_speed(self, request, cost, now):
        """Learn the slot time of a token."""
        self.counter_.learn_speed(request.service, now - request.at, cost)

    def _arrive(self, event, now):
        self.counter_.add(event.service, event.account, event.cost, now)
        return super()._arrive(event, now)

    def _merge(self, event, now):
        if event.entry != self.entry:
            self.table_.merge(event, now)
            self.parts_.clear()

    def _change_entries(self, event, now):
        self.table_.set_members(event.members)
        self.parts_.clear()

    def _parts(self, account, now):
        """Return the pool and its division by entry; kept until the next tick."""
        if account in self.parts_:
            return self.parts_[account]
        fresh = self.table_.fresh(now)
        rates = self.table_.rates_of(account, fresh)
        total = sum(rates.values())
        members = self.table_.members
        size = sum(members[name] for name in fresh)
        equal_part = EQUAL_PART if total else 1.0
        parts = {}
        for name in fresh:
            by_demand = rates[name] / total if total else 0.0
            equal = members[name] / size
            parts[name] = equal_part * equal + (1 - equal_part) * by_demand
        self.parts_[account] = (self.table_.pool(fresh), parts)
        return self.parts_[account]
