"""Account limiters that divide limits and slots among the entry instances."""

from wasabistage.admission._account_limiter import AccountLimiter
from wasabistage.admission._demand_messages import (
    DemandReport,
    SendReport,
    SlotShare,
)
from wasabistage.admission._demand_table import DemandCounter, DemandTable
from wasabistage.admission._shares import SlotDivision, apportion
from wasabistage.exceptions import SettingError

#: Report intervals after which the shares reflect demand that has moved.
REBALANCE_INTERVALS = 2
#: Fraction of the pool divided equally, so that entries without demand keep a share.
EQUAL_FRACTION = 0.05


class EqualShareLimiter(AccountLimiter):
    """Baseline: every entry takes an equal share of each limit and of the slots."""

    def reset(self):
        """Clear all requests and assume that this entry is the only one."""
        super().reset()
        self.entries_ = [self.entry]
        return self

    def decide(self, query, now):
        """Return an equal share of a service's slots.

        :param query: a :class:`SlotShareQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`SlotShare` with the accounts' declared weights.
        """
        equal = dict.fromkeys(self.entries_, 1.0)
        slots = apportion(query.slots, equal)[self.entry]
        return SlotShare(slots=slots, weights=self._get_weights())

    def get_local_rate(self, account, now):
        """Return an equal share of the rate."""
        return account.rate / len(self.entries_)

    def get_local_concurrency(self, account, now):
        """Return an equal share of the concurrency."""
        equal = dict.fromkeys(self.entries_, 1.0)
        return apportion(account.concurrency, equal)[self.entry]

    def _change_entries(self, event, now):
        self.entries_ = sorted({*event.members, self.entry})


class ShareLimiter(AccountLimiter):
    """Limiter that divides limits and slots by the demand that the entries report.

    An equal share of each limit belongs to every entry instance. Connected entries,
    which receive each other's reports, pool their equal shares: they divide a small
    fraction of the pool equally and the rest by demand. The equal shares of other
    entries stay reserved for them, and an entry without connected peers uses just its
    own. So the shares never sum to more than the limit while the entries agree on who
    is connected.

    :param entry: name of this entry instance.
    :param accounts: client accounts by name; other accounts are not limited.
    :param incarnation: number that increases with each start of this entry.
    :param report_interval: time between reports, in seconds.
    :param stale_after: age after which a peer's report is stale, in seconds.
    :param max_reported: maximum number of demands in a report. The largest are
        reported; peers count the others as 0.
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
        """Check the arguments and clear all requests and demand.

        :return: the policy itself.
        :raises SettingError: if an argument is out of range.
        """
        super().reset()
        if not 0 < self.report_interval < self.stale_after:
            raise SettingError(
                f"report_interval is {self.report_interval}, not between 0 and "
                f"stale_after, which is {self.stale_after}",
                remedy="set report_interval above 0 and below stale_after",
            )
        if self.max_reported < 1:
            raise SettingError(
                f"max_reported is {self.max_reported}, below 1",
                remedy="set max_reported to 1 or more",
            )
        self.counter_ = DemandCounter()
        self.table_ = DemandTable(self.entry, self.stale_after)
        self.sequence_ = 0
        self.next_report_at_ = None
        self.divisions_ = {}
        self.handlers_[DemandReport] = self._add_report
        return self

    def tick(self, now):
        """Build this entry's demand report when it is due.

        :param now: monotonic time, in seconds.
        :return: a list of at most one :class:`SendReport`.
        """
        if self.next_report_at_ is not None and now < self.next_report_at_:
            return []
        self.divisions_.clear()
        self.next_report_at_ = now + self.report_interval
        self.sequence_ += 1
        demands = self.counter_.get_largest(self.max_reported, now)
        report = self.table_.build_report(
            self.incarnation, self.sequence_, demands, now
        )
        return [SendReport(report=report)]

    def decide(self, query, now):
        """Divide a service's slots by weighted max-min fairness over all entries.

        Each account's fair share follows from its demand at all connected entries; an
        entry's share is the sum of its accounts' shares at the entry. Every entry whose
        equal share is at least one slot keeps one slot.

        :param query: a :class:`SlotShareQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`SlotShare`.
        """
        connected = self.table_.get_connected(now)
        equal = apportion(query.slots, self.table_.members)
        pool = sum(equal[name] for name in connected)
        base = {name: min(1, equal[name]) for name in connected}
        division = SlotDivision(
            pool, self.table_.get_slots(query.service, connected), self._get_weights()
        )
        wanted = {name: division.get_slots(name) for name in connected}
        above_base = {name: max(0.0, wanted[name] - base[name]) for name in connected}
        extra = apportion(pool - sum(base.values()), above_base)
        return SlotShare(
            slots=base[self.entry] + extra[self.entry],
            weights=division.get_weights(self.entry),
            saturated=division.get_saturated(),
        )

    def _compute_wait(self, account, event, now):
        """Return the time until the limit allows a request, in seconds.

        If the account's total demand is within its rate, its work has only moved
        between entries. The wait is then bounded by the time that the reports take to
        move its share, too.
        """
        wait = super()._compute_wait(account, event, now)
        if not wait or not account.rate:
            return wait
        connected = self.table_.get_connected(now)
        demand = sum(self.table_.get_rates(account.name, connected).values())
        if demand > account.rate:
            return wait
        return min(wait, REBALANCE_INTERVALS * self.report_interval)

    def get_local_rate(self, account, now):
        """Return this entry's share of the rate, by demand."""
        pool_fraction, fractions = self._divide_pool(account.name, now)
        return account.rate * pool_fraction * fractions[self.entry]

    def get_local_concurrency(self, account, now):
        """Return this entry's share of the concurrency, by demand.

        Every entry whose equal share is at least one request keeps one request.
        """
        _, fractions = self._divide_pool(account.name, now)
        equal = apportion(account.concurrency, self.table_.members)
        base = {name: min(1, equal[name]) for name in fractions}
        rest = sum(equal[name] for name in fractions) - sum(base.values())
        return base[self.entry] + apportion(rest, fractions)[self.entry]

    def record_finished(self, request, cost, now):
        """Record the slot time of a finished request."""
        self.counter_.record_finished(request.service, now - request.started_at, cost)

    def _arrive(self, event, now):
        self.counter_.record_arrived(event.service, event.account, event.cost, now)
        return super()._arrive(event, now)

    def _add_report(self, event, now):
        if event.entry != self.entry:
            self.table_.add_report(event, now)

    def _change_entries(self, event, now):
        self.table_.set_members(event.members)
        self.divisions_.clear()

    def _divide_pool(self, account, now):
        """Return the pool's fraction of the limit, and the entries' fractions of it.

        The second result is the fraction of the pool by name of the connected entry.
        Both are cached until this entry's next report or a change of the entries.
        """
        if account in self.divisions_:
            return self.divisions_[account]
        connected = self.table_.get_connected(now)
        rates = self.table_.get_rates(account, connected)
        total = sum(rates.values())
        members = self.table_.members
        size = sum(members[name] for name in connected)
        equal_fraction = EQUAL_FRACTION if total else 1.0
        fractions = {}
        for name in connected:
            by_demand = rates[name] / total if total else 0.0
            equal = members[name] / size
            fractions[name] = equal_fraction * equal + (1 - equal_fraction) * by_demand
        self.divisions_[account] = (
            self.table_.get_pool_fraction(connected),
            fractions,
        )
        return self.divisions_[account]
