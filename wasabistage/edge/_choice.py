"""Builds the questions that routing answers for one request."""

import math
from dataclasses import dataclass

from wasabistage.cache import part_cache_key
from wasabistage.fleet import ServerRecord
from wasabistage.routing import (
    NO_SERVER,
    Candidate,
    GateQuery,
    HealthQuery,
    PartCandidate,
    PartDecision,
    PartQuery,
    PartStore,
    RouteQuery,
    SilenceQuery,
)

#: Seconds after a version was named from which an older one lowers an answer's worth.
OLD_VERSION_GRACE = 1.0
#: What an answer by an older version costs, as a share of the route's objective.
OLD_VERSION_PENALTY = 0.1
#: Share of the time to bring a version in force in which an older one may be used.
OLD_VERSION_SHARE = 0.9
#: A caller leaves a silent stream after this many objectives, and seconds at least.
STREAM_PATIENCE = 4.0
MIN_STREAM_PATIENCE = 2.0
#: Seconds that count against an engine that loads soon, per token to be generated: a
#: longer run is more likely to go on under other weights, which lowers its worth.
LOADS_SOON_PENALTY = 0.002


@dataclass(frozen=True, kw_only=True)
class Choice:
    """A backend server for one attempt.

    :param record: its :class:`wasabistage.fleet.ServerRecord`.
    :param plan: a :class:`wasabistage.routing.PartDecision`, or ``None`` without a
        prompt.
    """

    record: ServerRecord
    plan: PartDecision | None = None


def choose_service(state, route, draw):
    """Return the name of the service that takes a request.

    :param state: an :class:`EdgeState`.
    :param route: a :class:`wasabistage.fleet.Route`.
    :param draw: random number from 0 up to 1.
    """
    total = sum(weight for _, weight in route.targets)
    at = draw * total
    for service, weight in route.targets:
        at -= weight
        if at < 0:
            return service
    return route.targets[-1][0]


def choose_server(state, request, route, account, service, excluded, now):
    """Choose the backend server of an attempt.

    :param state: an :class:`EdgeState`.
    :param request: a :class:`CallerRequest`.
    :param route: its :class:`wasabistage.fleet.Route`.
    :param account: a :class:`wasabistage.fleet.ClientAccount`, or ``None``.
    :param service: name of the service.
    :param excluded: ids of the servers that failed this request.
    :param now: monotonic time, in seconds.
    :return: a :class:`Choice`, or ``NO_SERVER``.
    """
    weights = {
        item.server: item.weight
        for item in state.health.decide(HealthQuery(service=service), now)
        if item.usable
    }
    records = [
        record
        for record in state.servers.usable(service)
        if record.server in weights and record.server not in excluded
    ]
    talking = [
        record
        for record in records
        if not state.silence.decide(SilenceQuery(server=record.server), now)
    ]
    # With every server silent, silence tells nothing.
    records = talking or records
    if not records:
        return NO_SERVER.with_reason(
            "no backend server of the service may be tried now"
        )
    spec = state.routes.configuration.services.get(service)
    if request.prompt is not None and spec is not None and spec.engine is not None:
        return choose_engine(
            state, request, route, account, records, weights, spec, now
        )
    query = RouteQuery(
        account="",
        model="",
        version="",
        prompt_tokens=1,
        candidates=tuple(
            Candidate(server=item.server, version="", weight=weights[item.server])
            for item in records
        ),
        draw=state.random.random(),
    )
    decision = state.plain_router.decide(query, now)
    return Choice(record=next(r for r in records if r.server == decision.server))


def choose_engine(state, request, route, account, records, weights, spec, now):
    """Choose the model engine of a prompt; see :func:`choose_server`."""
    prompt = request.prompt
    dedicated = account.name if account is not None and account.is_dedicated else ""
    next_servers = state.swap.next_servers(
        [record.server for record in records], prompt.model
    )
    candidates = []
    for record in records:
        version = state.swap.version(record.server, prompt.model)
        if version is None or state.swap.is_ordered(record.server, now):
            continue
        age = state.swap.age(record.server, prompt.model, now)
        max_begin_seconds = version_time_left(state, age)
        if max_begin_seconds <= 0:
            continue
        candidates.append(
            PartCandidate(
                server=record.server,
                address=record.address,
                version=version,
                cache_key=part_cache_key(prompt.model, version, dedicated),
                weight=weights[record.server],
                failure_domain=record.failure_domain,
                memory_tokens=spec.engine.memory_tokens,
                penalty=version_penalty(
                    route, prompt, age, loads_soon=record.server in next_servers
                ),
                max_begin_seconds=max_begin_seconds,
            )
        )
    query = PartQuery(
        parts=prompt.parts,
        prompt_tokens=prompt.prompt_tokens,
        output_tokens=prompt.output_tokens,
        candidates=tuple(candidates),
        stores=part_stores(state),
        token_bytes=spec.engine.token_bytes,
        link_bytes_per_second=spec.engine.link_bytes_per_second,
        draw=state.random.random(),
    )
    decision = state.part_router.decide(query, now)
    if not decision:
        return decision
    server = decision.candidate.server
    record = next(item for item in records if item.server == server)
    return Choice(record=record, plan=decision)


def version_time_left(state, age):
    """Return the time in which a run may still begin on an older weight version.

    :param age: for how long an engine has been behind, in seconds; 0 if it isn't.
    :return: seconds; infinite for an engine that runs the named version.
    """
    if not age:
        return math.inf
    return OLD_VERSION_SHARE * state.settings.bounds.version_ms / 1000.0 - age


def version_penalty(route, prompt, age, *, loads_soon):
    """Return the seconds that count against an engine for its weight version.

    :param age: for how long it has been behind, in seconds; 0 if it isn't.
    :param loads_soon: whether it is among those that load the named version next.
    """
    if not age:
        return 0.0
    penalty = OLD_VERSION_PENALTY * route.objective if age > OLD_VERSION_GRACE else 0.0
    if loads_soon:
        penalty += LOADS_SOON_PENALTY * prompt.output_tokens
    return penalty


def part_stores(state):
    """Return the cache stores as :class:`wasabistage.routing.PartStore`."""
    return tuple(
        PartStore(
            address=store.address,
            failure_domain=store.failure_domain,
            capacity_tokens=store.capacity_tokens,
            link_bytes_per_second=store.link_bytes_per_second,
            first_byte_seconds=store.first_byte_seconds,
        )
        for store in state.routes.configuration.stores.values()
    )


def gate_query(state, exchange, choice):
    """Return the :class:`wasabistage.admission.GateQuery` of a choice.

    :param state: an :class:`EdgeState`.
    :param exchange: an :class:`Exchange`.
    :param choice: a :class:`Choice` with a plan.
    """
    request, route, plan = exchange.request, exchange.route, choice.plan
    prompt = request.prompt
    patience = max(MIN_STREAM_PATIENCE, STREAM_PATIENCE * route.objective)
    left = exchange.deadline_at - request.begun_at
    return GateQuery(
        request=request.request_id,
        rank=request_rank(route, exchange.account),
        size=prompt.prompt_tokens + prompt.output_tokens,
        tokens=plan.tokens,
        backlog=plan.backlog,
        reserved_tokens=state.part_router.get_reserved_tokens(plan.candidate.server),
        memory=plan.candidate.memory_tokens,
        predicted=plan.seconds,
        arrived_at=request.begun_at,
        objective=route.objective,
        patience=min(patience, left),
    )


def request_rank(route, account):
    """Return the rank of a request: its account's, else its route's."""
    if account is not None and account.rank is not None:
        return account.rank
    return route.rank
