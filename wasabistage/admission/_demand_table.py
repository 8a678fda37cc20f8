"""Measured demand at this entry, and the last demand report of each entry."""

from math import exp

from wasabistage.admission._demand_messages import AccountDemand, DemandReport

DEMAND_TIME_CONSTANT_SECONDS = 3.0
MAX_COUNTERS = 4096
MIN_REPORTED_TOKENS_PER_SECOND = 0.1
DEFAULT_SLOT_SECONDS_PER_TOKEN = 0.001
#: Factor applied to the totals before each finished request is added.
SLOT_SECONDS_DECAY_RATIO = 0.98


class DemandCounter:
    """Exponentially decaying averages of the demand at this entry.

    At most ``MAX_COUNTERS`` pairs of service and account are counted; at this bound
    the half with the least demand is removed.
    """

    def __init__(self):
        self.rates = {}
        self.slot_seconds = {}
        self.tokens = {}

    def record_arrived(self, service, account, cost, now):
        """Record the cost of an arriving request.

        :param service: name of the service.
        :param account: name of the account.
        :param cost: cost, in tokens.
        :param now: monotonic time, in seconds.
        """
        key = (service, account)
        if key not in self.rates and len(self.rates) >= MAX_COUNTERS:
            self._evict_least(now)
        self.rates[key] = (
            self.get_rate(key, now) + cost / DEMAND_TIME_CONSTANT_SECONDS,
            now,
        )

    def record_finished(self, service, seconds, cost):
        """Record the slot time of a finished request.

        :param service: name of the service.
        :param seconds: time for which the request held its slot.
        :param cost: actual cost, in tokens.
        """
        old_seconds = self.slot_seconds.get(service, 0.0)
        old_tokens = self.tokens.get(service, 0.0)
        self.slot_seconds[service] = SLOT_SECONDS_DECAY_RATIO * old_seconds + seconds
        self.tokens[service] = SLOT_SECONDS_DECAY_RATIO * old_tokens + cost

    def get_rate(self, key, now):
        """Return the demand of an account for a service.

        :param key: pair of the names of service and account.
        :param now: monotonic time, in seconds.
        :return: tokens per second.
        """
        rate, updated_at = self.rates.get(key, (0.0, now))
        return rate * exp((updated_at - now) / DEMAND_TIME_CONSTANT_SECONDS)

    def get_largest(self, max_demands, now):
        """Return the demands for a report.

        :param max_demands: maximum number of demands.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`AccountDemand`, the most slots first.
        """
        demands = []
        for service, account in self.rates:
            rate = self.get_rate((service, account), now)
            slots = rate * self._get_slot_seconds_per_token(service)
            if rate >= MIN_REPORTED_TOKENS_PER_SECOND:
                demands.append((slots, rate, service, account))
        demands.sort(reverse=True)
        return tuple(
            AccountDemand(service=service, account=account, rate=rate, slots=slots)
            for slots, rate, service, account in demands[:max_demands]
        )

    def _get_slot_seconds_per_token(self, service):
        if not self.tokens.get(service):
            return DEFAULT_SLOT_SECONDS_PER_TOKEN
        return self.slot_seconds[service] / self.tokens[service]

    def _evict_least(self, now):
        keys = sorted(self.rates, key=lambda key: self.get_rate(key, now))
        for key in keys[: len(keys) // 2 + 1]:
            del self.rates[key]


class DemandTable:
    """The last demand report of each entry, including this one's own.

    Reports of entries that are not members are ignored, which bounds the table.

    :param entry: name of this entry instance.
    :param stale_after: age after which a peer's report is stale, in seconds.
    """

    def __init__(self, entry, stale_after):
        self.entry = entry
        self.stale_after = stale_after
        self.members = {entry: 1}
        self.reports = {}
        self.received_at = {}
        self.rates = {}
        self.slots = {}

    def set_members(self, members):
        """Set the entries that divide limits and slots; remove the others' reports.

        :param members: number of entry instances by name, see
            :class:`EntriesChanged`.
        """
        self.members = dict(members)
        self.members.setdefault(self.entry, 1)
        for name in [name for name in self.reports if name not in self.members]:
            del self.reports[name]
            del self.received_at[name]
            del self.rates[name]
            del self.slots[name]

    def add_report(self, report, now):
        """Store a report, unless the table has the same or a newer one of its entry.

        :param report: a :class:`DemandReport`.
        :param now: monotonic time, in seconds.
        """
        if report.entry not in self.members:
            return
        stored = self.reports.get(report.entry)
        number = (report.incarnation, report.sequence)
        if stored and (stored.incarnation, stored.sequence) >= number:
            return
        self.reports[report.entry] = report
        self.received_at[report.entry] = now
        self._index(report)

    def get_heard_peers(self, now):
        """Return the peers whose last report is not stale.

        :param now: monotonic time, in seconds.
        :return: sorted names.
        """
        oldest = now - self.stale_after
        names = (n for n, at in self.received_at.items() if at >= oldest)
        return tuple(sorted(name for name in names if name != self.entry))

    def get_connected(self, now):
        """Return this entry and the peers with reports in both directions.

        A peer counts if this entry has a recent report of it which says that the peer
        has a recent report of this entry.

        :param now: monotonic time, in seconds.
        :return: sorted names, including this entry's own.
        """
        names = [
            n for n in self.get_heard_peers(now) if self.entry in self.reports[n].heard
        ]
        return sorted([*names, self.entry])

    def build_report(self, incarnation, sequence, demands, now):
        """Build this entry's report and store it in the table.

        :param incarnation: number of this entry's start.
        :param sequence: number of the report.
        :param demands: a tuple of :class:`AccountDemand`.
        :param now: monotonic time, in seconds.
        :return: a :class:`DemandReport`.
        """
        report = DemandReport(
            entry=self.entry,
            incarnation=incarnation,
            sequence=sequence,
            heard=self.get_heard_peers(now),
            demands=demands,
        )
        self.add_report(report, now)
        return report

    def get_pool_fraction(self, names):
        """Return the fraction of a limit that a group of entries divides.

        :param names: names of the entries.
        :return: fraction of the limit, 0 to 1.
        """
        size = sum(self.members[name] for name in names)
        return size / sum(self.members.values())

    def get_rates(self, account, names):
        """Return an account's demand at each entry.

        :param account: name of the account.
        :param names: names of the entries.
        :return: tokens per second by entry.
        """
        return {name: self.rates.get(name, {}).get(account, 0.0) for name in names}

    def get_slots(self, service, names):
        """Return the demand for a service by entry and account.

        :param service: name of the service.
        :param names: names of the entries.
        :return: for each entry, a dict of account name to demand in slots.
        """
        return {name: self.slots.get(name, {}).get(service, {}) for name in names}

    def _index(self, report):
        """Index a report's demand by account, and by service and account."""
        rates, slots = {}, {}
        for demand in report.demands:
            rates[demand.account] = rates.get(demand.account, 0.0) + demand.rate
            slots.setdefault(demand.service, {})[demand.account] = demand.slots
        self.rates[report.entry] = rates
        self.slots[report.entry] = slots
