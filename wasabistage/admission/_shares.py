"""Arithmetic of shares."""

MIN_WEIGHT = 0.05


def fill_shares(capacity, demands, weights):
    """Divide a capacity by weighted max-min fairness.

    Nobody gets more than the demand; what one leaves goes to the others.

    :param capacity: what there is to divide.
    :param demands: demand by name.
    :param weights: weight by name; 1 where missing.
    :return: share by name.
    """
    by_need = sorted(demands, key=lambda name: demands[name] / weights.get(name, 1.0))
    weight_left = sum(weights.get(name, 1.0) for name in demands)
    shares = {}
    for name in by_need:
        weight = weights.get(name, 1.0)
        shares[name] = min(demands[name], capacity * weight / weight_left)
        capacity -= shares[name]
        weight_left -= weight
    return shares


def apportion(total, wanted):
    """Divide a whole number in proportion, by largest remainders.

    Equal remainders go by name, so that entries with one view agree.

    :param total: whole number to divide.
    :param wanted: wanted amount by name; all zero divides equally.
    :return: whole number by name, summing to ``total``.
    """
    names = sorted(wanted)
    whole = sum(wanted.values())
    if not names:
        return {}
    if whole <= 0:
        wanted = dict.fromkeys(names, 1.0)
        whole = len(names)
    exact = {name: total * wanted[name] / whole for name in names}
    shares = {name: int(exact[name]) for name in names}
    left = total - sum(shares.values())
    names.sort(key=lambda name: (round(shares[name] - exact[name], 9), name))
    for name in names[:left]:
        shares[name] += 1
    return shares


class SlotDivision:
    """A service's slots divided over accounts, and each account's over entries.

    :param slots: slots to divide.
    :param demands: wanted slots by account by entry.
    :param weights: declared weight by account; 1 where missing.
    """

    def __init__(self, slots, demands, weights):
        self.demands = demands
        self.weights = weights
        self.totals = {}
        for by_account in demands.values():
            for account, wanted in by_account.items():
                self.totals[account] = self.totals.get(account, 0.0) + wanted
        self.shares = fill_shares(slots, self.totals, weights)
        levels = (share / self._weight(name) for name, share in self.shares.items())
        self.level = max(levels, default=0.0)

    def slots(self, entry):
        """Return the slots that an entry's accounts are due.

        :param entry: name of the entry.
        :return: slots, not rounded.
        """
        wanted = self.demands[entry].items()
        return sum(self._part(account, amount) for account, amount in wanted)

    def weights_at(self, entry):
        """Return the accounts' weights at an entry.

        An account that asks for less than its fair share has as weight what its
        demand elsewhere leaves of that share, so that its bursts are served first.

        :param entry: name of the entry.
        :return: weight by account.
        """
        weights = {}
        for account, wanted in self.demands[entry].items():
            spare = self.level * self._weight(account) - self.totals[account]
            weight = self._part(account, wanted) + max(0.0, spare)
            weights[account] = max(weight, MIN_WEIGHT)
        return weights

    def saturated(self):
        """Return the accounts that ask for more than their share.

        :return: a frozenset of names.
        """
        shares = self.shares.items()
        return frozenset(name for name, share in shares if share < self.totals[name])

    def _part(self, account, wanted):
        total = self.totals[account]
        return self.shares[account] * wanted / total if total else 0.0

    def _weight(self, account):
        return self.weights.get(account, 1.0)
