"""Regions to whose servers and cache stores a request may be sent."""


def get_region(state, failure_domain):
    """Return the region of a failure domain, ``""`` if it is unknown.

    :param state: an :class:`EdgeState`.
    :param failure_domain: name of the failure domain.
    """
    return state.settings.regions.get(failure_domain, "")


def get_home_regions(state, route, account):
    """Return the lists of regions that apply to a request.

    :param state: an :class:`EdgeState`.
    :param route: its :class:`wasabistage.fleet.Route`.
    :param account: its :class:`wasabistage.fleet.ClientAccount`, or ``None``.
    :return: tuple of sets, each of which must hold the region of a server; empty if
        every region is allowed, or the regions of the failure domains are not known.
    """
    if not state.settings.regions:
        return ()
    lists = [route.allowed_regions]
    if account is not None:
        lists.append(account.allowed_regions)
    return tuple(item for item in lists if item)


def is_allowed(state, item, home_regions):
    """Return whether a server or cache store is in an allowed region.

    One whose region is unknown is not.

    :param state: an :class:`EdgeState`.
    :param item: an object with ``failure_domain``.
    :param home_regions: see :func:`get_home_regions`.
    """
    if not home_regions:
        return True
    region = get_region(state, item.failure_domain)
    return all(region in regions for regions in home_regions)
