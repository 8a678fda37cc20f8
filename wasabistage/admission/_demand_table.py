"""Demand at this entry, and what the peers last reported."""

from math import exp

from wasabistage.admission._demand_messages import AccountDemand, DemandReport

DEMAND_SECONDS = 3.0
MAX_COUNTERS = 4096
MIN_REPORTED_RATE = 0.1
DEFAULT_SLOT_SECONDS_PER_TOKEN = 0.001
SPEED_MEMORY = 0.98


class DemandCounter:
    """Counts what accounts ask for, forgetting exponentially.

    At most ``MAX_COUNTERS`` pairs of service and account are counted; at the bound
    the half with the least demand is forgotten.
    """

    def __init__(self):
        self.rates = {}
        self.seconds = {}
        self.tokens = {}

    def add(self, service, account, cost, now):
        """Count a request.

        :param service: name of the service.
        :param account: name of the account.
        :param cost: cost, in tokens.
        :param now: monotonic time, in seconds.
        """
        key = (service, account)
        if key not in self.rates and len(self.rates) >= MAX_COUNTERS:
            self._forget_least(now)
        self.rates[key] = (self.rate(key, now) + cost / DEMAND_SECONDS, now)

    def learn_speed(self, service, seconds, cost):
        """Take in the slot time of a finished request.

        :param service: name of the service.
        :param seconds: time the slot was held.
        :param cost: actual cost, in tokens.
        """
        old_seconds = self.seconds.get(service, 0.0)
        old_tokens = self.tokens.get(service, 0.0)
        self.seconds[service] = SPEED_MEMORY * old_seconds + seconds
        self.tokens[service] = SPEED_MEMORY * old_tokens + cost

    def rate(self, key, now):
        """Return the demand of a pair of service and account.

        :param key: the pair.
        :param now: monotonic time, in seconds.
        :return: tokens a second.
        """
        rate, at = self.rates.get(key, (0.0, now))
        return rate * exp((at - now) / DEMAND_SECONDS)

    def largest(self, most, now):
        """Return what a report carries.

        :param most: bound of the demands it carries.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`AccountDemand`, largest first.
        """
        demands = []
        for service, account in self.rates:
            rate = self.rate((service, account), now)
            slots = rate * self._slot_seconds_per_token(service)
            if rate >= MIN_REPORTED_RATE:
                demands.append((slots, rate, service, account))
        demands.sort(reverse=True)
        return tuple(
            AccountDemand(service=service, account=account, rate=rate, slots=slots)
            for slots, rate, service, account in demands[:most]
        )

    def _slot_seconds_per_token(self, service):
        if not self.tokens.get(service):
            return DEFAULT_SLOT_SECONDS_PER_TOKEN
        return self.seconds[service] / self.tokens[service]

    def _forget_least(self, now):
        keys = sorted(self.rates, key=lambda key: self.rate(key, now))
        for key in keys[: len(keys) // 2 + 1]:
            del self.rates[key]


class DemandTable:
    """The last report of each entry, this one's own included.

    Reports of entries that are no members are ignored, which bounds the table.

    :param entry: name of this entry instance.
    :param stale_after: age at which a peer's report no longer counts, in seconds.
    """

    def __init__(self, entry, stale_after):
        self.entry = entry
        self.stale_after = stale_after
        self.members = {entry: 1}
        self.reports = {}
        self.heard_at = {}
        self.rates = {}
        self.slots = {}

    def set_members(self, members):
        """Set the entries that share.

        :param members: number of entries by name.
        """
        self.members = dict(members)
        self.members.setdefault(self.entry, 1)
        for name in [name for name in self.reports if name not in self.members]:
            del self.reports[name]
            del self.heard_at[name]
            del self.rates[name]
            del self.slots[name]

    def merge(self, report, now):
        """Take in a report unless a newer one of its entry is held.

        :param report: a :class:`DemandReport`.
        :param now: monotonic time, in seconds.
        """
        if report.entry not in self.members:
            return
        held = self.reports.get(report.entry)
        age = (report.incarnation, report.sequence)
        if held and (held.incarnation, held.sequence) >= age:
            return
        self.reports[report.entry] = report
        self.heard_at[report.entry] = now
        self._index(report)

    def heard(self, now):
        """Return the peers with a fresh report.

        :param now: monotonic time, in seconds.
        :return: sorted names.
        """
        oldest = now - self.stale_after
        names = (n for n, at in self.heard_at.items() if at >= oldest)
        return tuple(sorted(name for name in names if name != self.entry))

    def fresh(self, now):
        """Return the entries whose demand counts: those that hear and are heard.

        :param now: monotonic time, in seconds.
        :return: sorted names, this entry's own among them.
        """
        names = [n for n in self.heard(now) if self.entry in self.reports[n].heard]
        return sorted([*names, self.entry])

    def own_report(self, incarnation, sequence, demands, now):
        """Build this entry's report and hold it as its own demand.

        :param incarnation: number of this start.
        :param sequence: number of the report.
        :param demands: the demands it carries.
        :param now: monotonic time, in seconds.
        :return: a :class:`DemandReport`.
        """
        report = DemandReport(
            entry=self.entry,
            incarnation=incarnation,
            sequence=sequence,
            heard=self.heard(now),
            demands=demands,
        )
        self.merge(report, now)
        return report

    def pool(self, names):
        """Return the part of a common limit that some entries divide.

        :param names: names of entries.
        :return: part of the whole, 0 to 1.
        """
        size = sum(self.members[name] for name in names)
        return size / sum(self.members.values())

    def rates_of(self, account, names):
        """Return an account's demand by entry.

        :param account: name of the account.
        :param names: names of entries.
        :return: tokens a second by entry.
        """
        return {name: self.rates.get(name, {}).get(account, 0.0) for name in names}

    def slots_of(self, service, names):
        """Return a service's demand by entry and account.

        :param service: name of the service.
        :param names: names of entries.
        :return: slots by account by entry.
        """
        return {name: self.slots.get(name, {}).get(service, {}) for name in names}

    def _index(self, report):
        """Keep a report's demand by account, and by service and account."""
        rates, slots = {}, {}
        for demand in report.demands:
            rates[demand.account] = rates.get(demand.account, 0.0) + demand.rate
            slots.setdefault(demand.service, {})[demand.account] = demand.slots
        self.rates[report.entry] = rates
        self.slots[report.entry] = slots
