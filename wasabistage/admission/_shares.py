"""Stateless arithmetic of shares."""


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
