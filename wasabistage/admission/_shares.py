"""Division of limits and slots among accounts and entry instances."""

#: Minimum weight of an account at an entry, so that queues can divide by it.
MIN_WEIGHT = 0.05


def compute_max_min_shares(capacity, demands, weights):
    """Divide a capacity by weighted max-min fairness.

    No share exceeds the demand; the rest of the capacity goes to the other names.

    :param capacity: amount to divide.
    :param demands: demand by name.
    :param weights: weight by name; 1 where missing.
    :return: share by name.
    """
    names = sorted(demands, key=lambda name: demands[name] / weights.get(name, 1.0))
    weight_left = sum(weights.get(name, 1.0) for name in demands)
    shares = {}
    for name in names:
        weight = weights.get(name, 1.0)
        shares[name] = min(demands[name], capacity * weight / weight_left)
        capacity -= shares[name]
        weight_left -= weight
    return shares


def apportion(total, amounts):
    """Divide a whole number in proportion, by the largest remainder method.

    Ties are broken by name, so that entries with the same view compute the same
    shares.

    :param total: whole number to divide.
    :param amounts: amount by name, to which the shares are proportional; the shares
        are equal if all amounts are 0.
    :return: whole number by name, summing to ``total``.
    """
    names = sorted(amounts)
    amounts_sum = sum(amounts.values())
    if not names:
        return {}
    if amounts_sum <= 0:
        amounts = dict.fromkeys(names, 1.0)
        amounts_sum = len(names)
    exact = {name: total * amounts[name] / amounts_sum for name in names}
    shares = {name: int(exact[name]) for name in names}
    remainder = total - sum(shares.values())
    names.sort(key=lambda name: (round(shares[name] - exact[name], 9), name))
    for name in names[:remainder]:
        shares[name] += 1
    return shares


class SlotDivision:
    """Division of a service's slots among accounts and entries.

    The slots are divided among the accounts by weighted max-min fairness; the share of
    an account is divided among the entries in proportion to its demand at each.

    :param slots: number of slots to divide.
    :param demands: for each entry, demand in slots by account.
    :param weights: declared weight by account; 1 where missing.
    """

    def __init__(self, slots, demands, weights):
        self.demands = demands
        self.weights = weights
        self.totals = {}
        for by_account in demands.values():
            for account, demand in by_account.items():
                self.totals[account] = self.totals.get(account, 0.0) + demand
        self.shares = compute_max_min_shares(slots, self.totals, weights)
        ratios = (share / self._get_weight(name) for name, share in self.shares.items())
        self.max_share_per_weight = max(ratios, default=0.0)

    def get_slots(self, entry):
        """Return the share of the slots of all accounts at an entry.

        :param entry: name of the entry.
        :return: number of slots, not rounded.
        """
        demands = self.demands[entry].items()
        return sum(self._get_share(account, demand) for account, demand in demands)

    def get_weights(self, entry):
        """Return the accounts' weights at an entry.

        The weight of an account is its share at the entry. An account whose demand is
        below its fair share also gets the unused rest of that share, so that its
        bursts are served first.

        :param entry: name of the entry.
        :return: weight by account.
        """
        weights = {}
        for account, demand in self.demands[entry].items():
            unused = (
                self.max_share_per_weight * self._get_weight(account)
                - self.totals[account]
            )
            weight = self._get_share(account, demand) + max(0.0, unused)
            weights[account] = max(weight, MIN_WEIGHT)
        return weights

    def get_saturated(self):
        """Return the accounts whose demand exceeds their share.

        :return: a frozenset of account names.
        """
        shares = self.shares.items()
        return frozenset(name for name, share in shares if share < self.totals[name])

    def _get_share(self, account, demand):
        """Return the share that goes to an account's demand at one entry."""
        total = self.totals[account]
        return self.shares[account] * demand / total if total else 0.0

    def _get_weight(self, account):
        return self.weights.get(account, 1.0)
