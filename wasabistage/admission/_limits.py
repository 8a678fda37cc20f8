"""How the entries divide the common limits and the slots."""

from wasabistage.admission._common_limit import CommonLimit
from wasabistage.admission._demand_messages import DemandReport, SendReport, Share
from wasabistage.admission._demand_table import DemandCounter, DemandTable
from wasabistage.admission._shares import SlotDivision, apportion
from wasabistage.exceptions import SettingError

#: Reports after which the parts have followed demand that moved.
REPORTS_TO_FOLLOW = 2
EQUAL_PART = 0.05


class EqualShareLimiter(CommonLimit):
    """Baseline: every entry takes an equal part of each limit and of the slots."""

    def reset(self):
        """Forget all requests; start as the only entry."""
        super().reset()
        self.entries_ = [self.entry]
        return self

    def decide(self, query, now):
        """Return an equal part of a service's slots.

        :param query: a :class:`SlotShareQuery`.
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
    :param max_reported: demands in a report, the largest; the others count as none.
    """

    def __init__(
        self,
        *,
        entry="entry",
        accounts=None,
        incarnation=0,
        report_interval=0.5,
        stale_after=2.0,
        max_reported=64,
    ):
        super().__init__(entry=entry, accounts=accounts)
        self.incarnation = incarnation
        self.report_interval = report_interval
        self.stale_after = stale_after
        self.max_reported = max_reported

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
        if self.max_reported < 1:
            raise SettingError(
                f"max_reported is {self.max_reported}", remedy="set it to 1 or more"
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
        if self.report_due_ is not None and now < self.report_due_:
            return []
        self.parts_.clear()
        self.report_due_ = now + self.report_interval
        self.sequence_ += 1
        demands = self.counter_.largest(self.max_reported, now)
        report = self.table_.own_report(self.incarnation, self.sequence_, demands, now)
        return [SendReport(report=report)]

    def decide(self, query, now):
        """Divide a service's slots by weighted max-min fairness over all entries.

        Fairness is reckoned over the accounts' demand at every entry; an entry's
        share is the sum of its accounts' parts.

        :param query: a :class:`SlotShareQuery`.
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

    def _wait(self, account, event, now):
        """Return the seconds until a request fits; 0 when it does now.

        An account whose work has moved here while it asks for less than its limit
        waits for the next reports only: then the parts follow it.
        """
        wait = super()._wait(account, event, now)
        if not wait or not account.rate:
            return wait
        fresh = self.table_.fresh(now)
        asked = sum(self.table_.rates_of(account.name, fresh).values())
        if asked > account.rate:
            return wait
        return min(wait, REPORTS_TO_FOLLOW * self.report_interval)

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

    def _change_entries(self, event, now):
        self.table_.set_members(event.members)
        self.parts_.clear()

    def _parts(self, account, now):
        """Return the pool and its division by entry; kept until the next report."""
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
