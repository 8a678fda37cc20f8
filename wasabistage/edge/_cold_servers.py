"""Applies the limit of requests to cold servers; see docs/design/cold_servers.md."""

import math
from dataclasses import dataclass

from wasabistage.routing import (
    AllowanceQuery,
    ConnectionLost,
    RequestTaken,
    ServerAnswered,
    WarmthQuery,
)


@dataclass(frozen=True, kw_only=True)
class ColdLimit:
    """What a cold server of a service may get.

    :param cold_seconds: longest time for which a server is cold after a sign.
    :param bound: requests that a cold server may get in a second from all entries.
    """

    cold_seconds: float
    bound: int


@dataclass(frozen=True, kw_only=True)
class AllCold:
    """No server is selected, since all are cold and this entry's allowance is used up.

    :param seconds: time until the first of them may get a request of this entry.
    :param rate: requests per second that this entry may send to all of them.
    """

    seconds: float
    rate: float
    reason = "all backend servers of the service are cold and have their requests"

    def __bool__(self):
        return False


def get_cold_limit(state, service):
    """Return the :class:`ColdLimit` of a service, or ``None`` if it has none.

    :param state: an :class:`EdgeState`.
    :param service: a :class:`wasabistage.fleet.Service`, or ``None``.
    """
    if service is None or service.cold_seconds is None or service.cold_rate is None:
        return None
    bounds = state.settings.bounds
    if bounds.cold_excess is None or bounds.cold_slack is None:
        return None
    bound = service.cold_rate * bounds.cold_excess + bounds.cold_slack
    if not math.isfinite(bound):
        return None
    return ColdLimit(cold_seconds=service.cold_seconds, bound=math.floor(bound))


def has_cold_limit(state):
    """Return whether cold servers of some service are limited.

    :param state: an :class:`EdgeState`.
    """
    if state.settings.bounds.cold_excess is None or state.routes.configuration is None:
        return False
    services = state.routes.configuration.services.values()
    return any(get_cold_limit(state, service) is not None for service in services)


def count_cold_servers(state, now):
    """Return the number of listed servers that count as cold.

    :param state: an :class:`EdgeState`.
    :param now: monotonic time, in seconds.
    """
    if not has_cold_limit(state):
        return 0
    services = state.routes.configuration.services
    count = 0
    for known in state.servers.servers.values():
        limit = get_cold_limit(state, services.get(known.record.service))
        if limit is not None:
            count += get_cold_left(state, known.record.server, limit, now) > 0.0
    return count


def get_cold_left(state, server, limit, now):
    """Return the seconds for which a server counts as cold, 0 for a warm one.

    :param state: an :class:`EdgeState`.
    :param server: id of the server.
    :param limit: its :class:`ColdLimit`.
    :param now: monotonic time, in seconds.
    """
    query = WarmthQuery(server=server, cold_seconds=limit.cold_seconds)
    return state.warmth.decide(query, now)


def get_allowance(state, server, limit, now):
    """Return the :class:`wasabistage.routing.Allowance` of a cold server.

    :param state: an :class:`EdgeState`.
    :param server: id of the server.
    :param limit: its :class:`ColdLimit`.
    :param now: monotonic time, in seconds.
    """
    rank, count = state.view.get_cold_rank(server)
    query = AllowanceQuery(server=server, bound=limit.bound, rank=rank, count=count)
    return state.cold_allowance.decide(query, now)


def select_allowed(state, records, limit, weights, now):
    """Return the servers that are warm or may get a request of this entry.

    :param state: an :class:`EdgeState`.
    :param records: list of :class:`wasabistage.fleet.ServerRecord`.
    :param limit: the :class:`ColdLimit` of their service, or ``None``.
    :param weights: dict of server to its weight, which is lowered for those that became
        warm a moment ago.
    :param now: monotonic time, in seconds.
    :return: a list, or an :class:`AllCold` if it would be empty.
    """
    if limit is None:
        return records
    warmth, allowed, seconds, share = state.warmth, [], math.inf, 0
    for record in records:
        server = record.server
        # Called for each candidate of each request, so without a query.
        end = warmth.get_end(server, limit.cold_seconds)
        if end <= now:
            allowed.append(record)
            if now - end < warmth.ramp:
                weights[server] *= warmth.get_weight(end, now)
            continue
        allowance = get_allowance(state, server, limit, now)
        if allowance:
            allowed.append(record)
        share += allowance.share
        seconds = min(seconds, end - now, allowance.seconds)
    if allowed or not records:
        return allowed
    rate = share / state.cold_allowance.window
    return AllCold(seconds=seconds, rate=rate)


def record_taken(state, attempt, service):
    """Count an attempt at a server of a service whose cold servers are limited.

    Requests to warm servers are counted as well: a server may become cold within the
    second after they were sent.

    :param state: an :class:`EdgeState`.
    :param attempt: an :class:`Attempt`.
    :param service: its :class:`wasabistage.fleet.Service`, or ``None``.
    """
    attempt.cold_limit = get_cold_limit(state, service)
    if attempt.cold_limit is not None:
        server = attempt.choice.record.server
        event = RequestTaken(server=server, request=attempt.attempt_id)
        state.cold_allowance.observe(event, state.timer.now())


def record_progress(state, attempt, kind):
    """Record how far a counted request has got.

    :param state: an :class:`EdgeState`.
    :param attempt: an :class:`Attempt`.
    :param kind: class of the event, such as ``RequestWritten``.
    """
    if attempt.cold_limit is not None:
        server = attempt.choice.record.server
        event = kind(server=server, request=attempt.attempt_id)
        state.cold_allowance.observe(event, state.timer.now())


def record_lost_connection(state, attempt):
    """Record that the server of an attempt may have started again.

    :param state: an :class:`EdgeState`.
    :param attempt: an :class:`Attempt`.
    """
    limit, server = attempt.cold_limit, attempt.choice.record.server
    if limit is None:
        return
    now = state.timer.now()
    was_cold = get_cold_left(state, server, limit, now) > 0.0
    state.warmth.observe(ConnectionLost(server=server), now)
    if not was_cold:
        state.metrics.count("servers.lost")
        state.log.write("server_maybe_cold", server=server, seconds=limit.cold_seconds)


def record_answer(state, attempt, cold_left):
    """Record what a response tells of the warmth of its server.

    :param state: an :class:`EdgeState`.
    :param attempt: an :class:`Attempt`.
    :param cold_left: time for which the server stays cold, in seconds, or ``None``.
    """
    if attempt.cold_limit is None or cold_left is None:
        return
    event = ServerAnswered(
        server=attempt.choice.record.server,
        cold_left=cold_left,
        asked_at=attempt.begun_at,
    )
    state.warmth.observe(event, state.timer.now())


def is_beyond_allowance(state, attempt):
    """Return whether a counted request must not be sent any more.

    The server may have become cold since it was selected, while a connection to it was
    opened or the process was paused.

    :param state: an :class:`EdgeState`.
    :param attempt: an :class:`Attempt`.
    """
    limit, server = attempt.cold_limit, attempt.choice.record.server
    if limit is None:
        return False
    now = state.timer.now()
    if get_cold_left(state, server, limit, now) <= 0.0:
        return False
    allowance = get_allowance(state, server, limit, now)
    return allowance.used > allowance.share
