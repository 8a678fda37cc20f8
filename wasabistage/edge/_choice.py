"""Selects the service and backend server of a request by queries to the routers."""

import math
from dataclasses import dataclass, replace

from wasabistage.cache import cache_scope, part_cache_key
from wasabistage.edge._cold_servers import get_cold_limit, select_allowed
from wasabistage.edge._regions import get_home_regions, is_allowed
from wasabistage.edge._version_watch import WITHDRAWAL_SECONDS
from wasabistage.fleet import RouteKind, ServerRecord
from wasabistage.routing import (
    NO_SERVER,
    Candidate,
    CandidateQuery,
    EvacuationQuery,
    GateQuery,
    HealthQuery,
    PaceQuery,
    PartCandidate,
    PartDecision,
    PartQuery,
    PartStore,
    RequestBytesQuery,
    RestQuery,
    RouteQuery,
    SilenceQuery,
)

#: Time after the naming of a version from which responses by older ones are penalized.
OLD_VERSION_GRACE_SECONDS = 1.0
#: Penalty of a response by an older version, relative to the route's objective.
OLD_VERSION_PENALTY_RATIO = 0.1
#: Fraction of ``version_ms`` within which a request may start on an older version.
OLD_VERSION_FRACTION = 0.9
#: Assumed time for which a caller waits for the first event of a stream, relative to
#: the route's objective, and its lower bound.
STREAM_PATIENCE_RATIO = 4.0
MIN_STREAM_PATIENCE_SECONDS = 2.0
#: The same for the next event, relative to the longest pause of the route.
GAP_PATIENCE_RATIO = 8.0
#: Penalty per token to generate on an engine that loads a version soon. The longer a
#: request runs, the more likely the engine changes its weights before the request ends.
LOADS_SOON_PENALTY_SECONDS_PER_TOKEN = 0.002
#: Queue of an engine that other entries may have changed since it was last reported,
#: in a fleet in which reports take two hops.
FOLLOWER_SLACK_SECONDS = 0.03
#: Cost of an engine in another failure domain, for the traffic between them.
OTHER_DOMAIN_PENALTY_SECONDS = 0.005
#: The same in a crowded fleet, where entries tell those of the engine's failure domain
#: alone of long prompts at once. The others learn of its queue later.
CROWDED_OTHER_DOMAIN_PENALTY_SECONDS = 0.15


@dataclass(frozen=True, kw_only=True)
class Choice:
    """The backend server selected for one attempt.

    :param record: its :class:`wasabistage.fleet.ServerRecord`.
    :param plan: a :class:`wasabistage.routing.PartDecision`, or ``None`` for a request
        without a prompt.
    :param room: free slots of all engines that were scored.
    """

    record: ServerRecord
    plan: PartDecision | None = None
    room: int = 0


@dataclass(frozen=True, kw_only=True)
class AllResting:
    """No server is selected, since all of the service want no requests for a time.

    :param seconds: time until the first of them takes requests, in seconds.
    """

    seconds: float
    reason = "all backend servers of the service want no requests for a time"

    def __bool__(self):
        return False


@dataclass(frozen=True, kw_only=True)
class AllEvacuated:
    """No server is selected, since all are in failure domains that are evacuated.

    :param failure_domains: sorted names of these failure domains.
    """

    failure_domains: tuple

    @property
    def reason(self):
        """Description for the log."""
        names = ", ".join(self.failure_domains)
        return f"all backend servers of the service are evacuated: {names}"

    def __bool__(self):
        return False


def is_evacuated(state, record, now):
    """Return whether nothing is sent to a server since its failure domain is evacuated.

    :param state: an :class:`EdgeState`.
    :param record: its :class:`wasabistage.fleet.ServerRecord`.
    :param now: monotonic time, in seconds.
    """
    query = EvacuationQuery(failure_domain=record.failure_domain)
    return state.evacuation.decide(query, now)


def find_usable_records(state, service, home_regions, now):
    """Return the listed servers of a service that may get a request at all.

    :param state: an :class:`EdgeState`.
    :param service: name of the service.
    :param home_regions: regions of the request, see :func:`get_home_regions`.
    :param now: monotonic time, in seconds.
    :return: list of :class:`wasabistage.fleet.ServerRecord`, or an
        :class:`AllEvacuated`.
    """
    records = state.servers.find_usable(service)
    if home_regions:
        records = [item for item in records if is_allowed(state, item, home_regions)]
    if not state.evacuation.orders_:
        return records
    kept = [record for record in records if not is_evacuated(state, record, now)]
    if records and not kept:
        domains = sorted({record.failure_domain for record in records})
        return AllEvacuated(failure_domains=tuple(domains))
    return kept


def get_rest_seconds(state, record, now):
    """Return the time for which a server wants no requests, in seconds.

    :param state: an :class:`EdgeState`.
    :param record: its :class:`wasabistage.fleet.ServerRecord`.
    :param now: monotonic time, in seconds.
    """
    query = RestQuery(server=record.server, incarnation=record.incarnation)
    return state.rests.decide(query, now)


def may_hold_request(state, record, request, now):
    """Return whether a server may hold another request, by its bytes.

    :param state: an :class:`EdgeState`.
    :param record: its :class:`wasabistage.fleet.ServerRecord`.
    :param request: a :class:`CallerRequest`.
    :param now: monotonic time, in seconds.
    """
    query = RequestBytesQuery(
        server=record.server,
        size=request.size,
        entries=state.view.sharers.count(),
    )
    return state.request_bytes.decide(query, now)


def select_service(state, route, draw):
    """Select the service of a request among the route's weighted targets.

    :param state: an :class:`EdgeState`.
    :param route: a :class:`wasabistage.fleet.Route`.
    :param draw: random number in [0, 1).
    :return: name of the service.
    """
    total = sum(weight for _, weight in route.targets)
    remaining = draw * total
    for service, weight in route.targets:
        remaining -= weight
        if remaining < 0:
            return service
    return route.targets[-1][0]


def get_service(state, exchange):
    """Return the service that a request is sent to, as it is declared now.

    One that is no longer declared, or no longer with engines, counts as it was declared
    when the request was taken: its servers may run on, and a prompt must reach them
    with its cache key and weight version.

    :param state: an :class:`EdgeState`.
    :param exchange: an :class:`Exchange`.
    :return: a :class:`wasabistage.fleet.Service`, or ``None`` if it never was declared.
    """
    service = state.routes.configuration.services.get(exchange.service)
    taken = exchange.taken_under.services.get(exchange.service)
    if service is None:
        return taken
    had_engine = taken is not None and taken.engine is not None
    return taken if had_engine and service.engine is None else service


def needs_engine(exchange, service):
    """Return whether a request is a prompt for a service of model engines.

    :param exchange: an :class:`Exchange`.
    :param service: what :func:`get_service` returned.
    """
    has_engine = service is not None and service.engine is not None
    return has_engine and exchange.request.prompt is not None


def select_server(state, exchange, excluded, now):
    """Select the backend server of an attempt.

    :param state: an :class:`EdgeState`.
    :param exchange: an :class:`Exchange`.
    :param excluded: ids of the servers that already failed the request.
    :param now: monotonic time, in seconds.
    :return: a :class:`Choice`, an :class:`AllResting`, an :class:`AllCold`, an
        :class:`AllEvacuated`, or a sentinel such as ``NO_SERVER``.
    """
    request, route, account = exchange.request, exchange.route, exchange.account
    service = exchange.service
    weights = {
        item.server: item.weight / state.pace.decide(PaceQuery(server=item.server), now)
        for item in state.health.decide(HealthQuery(service=service), now)
        if item.usable
    }
    home_regions = get_home_regions(state, route, account)
    usable = find_usable_records(state, service, home_regions, now)
    if isinstance(usable, AllEvacuated):
        return usable
    records = [
        record
        for record in usable
        if record.server in weights and record.server not in excluded
    ]
    awake = [item for item in records if not get_rest_seconds(state, item, now)]
    if records and not awake and not excluded:
        seconds = min(get_rest_seconds(state, item, now) for item in records)
        return AllResting(seconds=seconds)
    records = awake
    if state.request_bytes.limit is not None:
        records = [
            item for item in awake if may_hold_request(state, item, request, now)
        ]
    if awake and not records:
        return NO_SERVER.with_reason(
            "the backend servers of the service hold as many requests as they may"
        )
    responsive = [
        record
        for record in records
        if not state.silence.decide(SilenceQuery(server=record.server), now)
    ]
    # If all servers are silent, silence doesn't distinguish them.
    records = responsive or records
    if not records:
        return NO_SERVER.with_reason(describe_no_server(home_regions))
    service_config = get_service(state, exchange)
    limit = get_cold_limit(state, service_config)
    records = select_allowed(state, records, limit, weights, now)
    if not records:
        return records
    if needs_engine(exchange, service_config):
        return select_engine(state, exchange, records, weights, service_config, now)
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


def has_responsive_server(state, exchange):
    """Return whether a server that isn't silent may get a request once more.

    :param state: an :class:`EdgeState`.
    :param exchange: the :class:`Exchange` of the request.
    """
    service, now = exchange.service, state.timer.now()
    healthy = {
        item.server
        for item in state.health.decide(HealthQuery(service=service), now)
        if item.usable
    }
    home_regions = get_home_regions(state, exchange.route, exchange.account)
    usable = find_usable_records(state, service, home_regions, now)
    if isinstance(usable, AllEvacuated):
        return False
    return any(
        record.server in healthy
        and record.server not in exchange.tried_servers
        and not get_rest_seconds(state, record, now)
        and not state.silence.decide(SilenceQuery(server=record.server), now)
        for record in usable
    )


def describe_no_server(home_regions):
    """Return the reason for which no server is usable, for the log.

    :param home_regions: regions of the request, see :func:`get_home_regions`.
    """
    reason = "no backend server of the service is usable now"
    if not home_regions:
        return reason
    names = " and ".join(", ".join(sorted(regions)) for regions in home_regions)
    return f"{reason} in the allowed regions {names}"


def select_engine(state, exchange, records, weights, service_config, now):
    """Select the model engine of a prompt; see :func:`select_server`.

    :param records: list of the :class:`wasabistage.fleet.ServerRecord` to select from.
    :param weights: dict of server to its weight.
    :param service_config: the :class:`wasabistage.fleet.Service`.
    """
    prompt, route, account = exchange.request.prompt, exchange.route, exchange.account
    scope = get_cache_scope(state, account)
    loading_soon = state.swap.next_servers(
        [record.server for record in records], prompt.model
    )
    candidates = []
    for record in select_candidates(state, prompt, scope, records):
        version = state.swap.version(record.server, prompt.model)
        if version is None or state.swap.is_ordered(record.server, now):
            continue
        age = state.swap.age(record.server, prompt.model, now)
        max_begin_seconds = get_version_time_left(state, age)
        if max_begin_seconds <= 0:
            continue
        candidates.append(
            PartCandidate(
                server=record.server,
                address=record.address,
                version=version,
                cache_key=part_cache_key(prompt.model, version, scope),
                weight=weights[record.server],
                failure_domain=record.failure_domain,
                memory_tokens=service_config.engine.memory_tokens,
                slots=record.slots,
                penalty=estimate_version_penalty(
                    route, prompt, age, loads_soon=record.server in loading_soon
                )
                + get_domain_penalty(state, record),
                is_slow=state.view.is_crowded
                and state.slow_moments.decide(PaceQuery(server=record.server), now),
                max_begin_seconds=max_begin_seconds,
            )
        )
    query = PartQuery(
        parts=prompt.parts,
        prompt_tokens=prompt.prompt_tokens,
        output_tokens=prompt.output_tokens,
        candidates=tuple(candidates),
        stores=build_part_stores(state, get_home_regions(state, route, account)),
        token_bytes=service_config.engine.token_bytes,
        link_bytes_per_second=service_config.engine.link_bytes_per_second,
        draw=state.random.random(),
        slack_seconds=FOLLOWER_SLACK_SECONDS if state.view.is_large else 0.0,
        is_fleet_new=state.view.is_fleet_new(),
    )
    decision = state.part_router.decide(query, now)
    if not decision:
        return decision
    decision = save_nothing_to_evacuated_stores(state, decision, now)
    server = decision.candidate.server
    record = next(item for item in records if item.server == server)
    return Choice(record=record, plan=decision, room=count_room(state, candidates))


def get_cache_scope(state, account):
    """Return the scope in which a request uses and leaves cached parts.

    It is that of the configuration in force, which may differ from the one under which
    the request was admitted.

    :param state: an :class:`EdgeState`.
    :param account: its :class:`wasabistage.fleet.ClientAccount`, or ``None``.
    :return: a string; see :func:`wasabistage.cache.cache_scope`.
    """
    configuration = state.routes.configuration
    dedicated = configuration.dedicated_accounts
    if account is None:
        return cache_scope(None, dedicated)
    # An account that was removed keeps what was declared for it last.
    is_removed = account.name not in (configuration.accounts or {})
    if is_removed and account.is_dedicated:
        dedicated |= {account.name}
    return cache_scope(account.name, dedicated)


def save_nothing_to_evacuated_stores(state, decision, now):
    """Return a decision without saves to cache stores that are evacuated.

    What they hold may still be read.

    :param state: an :class:`EdgeState`.
    :param decision: a :class:`wasabistage.routing.PartDecision`.
    :param now: monotonic time, in seconds.
    """
    if not state.evacuation.orders_ or not any(decision.save_to):
        return decision
    evacuated = {
        store.address
        for store in state.routes.configuration.stores.values()
        if is_evacuated(state, store, now)
    }
    kept = tuple("" if item in evacuated else item for item in decision.save_to)
    return replace(decision, save_to=kept)


def count_room(state, candidates):
    """Return the free slots of engines, as far as they are known.

    :param state: an :class:`EdgeState`.
    :param candidates: list of :class:`wasabistage.routing.PartCandidate`.
    """
    return sum(
        max(0, item.slots - state.part_router.get_runs(item.server))
        for item in candidates
    )


def select_candidates(state, prompt, scope, records):
    """Return the engines that are scored for a prompt.

    :param state: an :class:`EdgeState`.
    :param prompt: a :class:`Prompt`.
    :param scope: see :func:`get_cache_scope`.
    :param records: list of :class:`wasabistage.fleet.ServerRecord`.
    :return: list of some of them.
    """
    selector = state.candidate_selector
    if state.view.is_crowded:
        selector = state.crowded_candidate_selector
    if len(records) <= selector.limit:
        return records
    holders = set()
    shared = prompt.parts[:-1]
    if shared:
        longest = max(shared, key=lambda part: part.tokens)
        versions = {state.swap.version(item.server, prompt.model) for item in records}
        for version in versions - {None}:
            cache_key = part_cache_key(prompt.model, version, scope)
            holders.update(state.parts.get_holders(cache_key, longest.part))
    query = CandidateQuery(
        servers=records,
        failure_domain=state.settings.instance.failure_domain,
        holders=frozenset(holders),
        draw=state.random.random(),
    )
    return selector.decide(query, state.timer.now())


def get_version_time_left(state, age):
    """Return the time within which a request may still start on an engine.

    :param state: an :class:`EdgeState`.
    :param age: time since a newer version than the engine's was named, in seconds; 0
        if there is none.
    :return: seconds; infinite for an engine that runs the named version.
    """
    if not age:
        return math.inf
    bound = state.settings.bounds.version_ms / 1000.0
    # What has not begun then is withdrawn.
    limit = min(OLD_VERSION_FRACTION * bound, bound - WITHDRAWAL_SECONDS)
    return limit - age


def get_domain_penalty(state, record):
    """Return the penalty of an engine for its failure domain, in seconds.

    :param state: an :class:`EdgeState`.
    :param record: the engine's :class:`wasabistage.fleet.ServerRecord`.
    """
    if record.failure_domain == state.settings.instance.failure_domain:
        return 0.0
    if state.view.is_crowded:
        return CROWDED_OTHER_DOMAIN_PENALTY_SECONDS
    return OTHER_DOMAIN_PENALTY_SECONDS


def estimate_version_penalty(route, prompt, age, *, loads_soon):
    """Estimate the penalty of an engine for its weight version.

    :param route: a :class:`wasabistage.fleet.Route`.
    :param prompt: a :class:`Prompt`.
    :param age: time since a newer version than the engine's was named, in seconds; 0
        if there is none.
    :param loads_soon: whether the engine is among the next to load the named version.
    :return: penalty, in seconds.
    """
    if not age:
        return 0.0
    penalty = (
        OLD_VERSION_PENALTY_RATIO * route.objective
        if age > OLD_VERSION_GRACE_SECONDS
        else 0.0
    )
    if loads_soon:
        penalty += LOADS_SOON_PENALTY_SECONDS_PER_TOKEN * prompt.output_tokens
    return penalty


def build_part_stores(state, home_regions=()):
    """Build the :class:`wasabistage.routing.PartStore` of each cache store.

    :param state: an :class:`EdgeState`.
    :param home_regions: regions of the request, see :func:`get_home_regions`.
    """
    return tuple(
        PartStore(
            address=store.address,
            failure_domain=store.failure_domain,
            capacity_tokens=store.capacity_tokens,
            link_bytes_per_second=store.link_bytes_per_second,
            first_byte_seconds=store.first_byte_seconds,
        )
        for store in state.routes.configuration.stores.values()
        if is_allowed(state, store, home_regions)
    )


def build_gate_query(state, exchange, choice):
    """Build the :class:`wasabistage.routing.GateQuery` of a choice.

    :param state: an :class:`EdgeState`.
    :param exchange: an :class:`Exchange`.
    :param choice: a :class:`Choice` with a plan.
    """
    request, route, plan = exchange.request, exchange.route, choice.plan
    prompt = request.prompt
    last_event_at = exchange.last_event_at
    if last_event_at is None and exchange.has_begun:
        # The caller waits for the first event since the request.
        last_event_at = request.begun_at
    if last_event_at is None:
        patience = get_patience(route, exchange.deadline_at - request.begun_at)
    else:
        patience = get_gap_patience(route)
    return GateQuery(
        request=request.request_id,
        rank=get_request_rank(route, exchange.account),
        size=prompt.prompt_tokens + prompt.output_tokens,
        tokens=plan.tokens,
        backlog=plan.backlog,
        reserved_tokens=state.part_router.get_reserved_tokens(plan.candidate.server),
        memory_tokens=plan.candidate.memory_tokens,
        runs=state.part_router.get_runs(plan.candidate.server),
        slots=plan.candidate.slots,
        spacing_wait=plan.spacing_wait,
        predicted=plan.seconds,
        arrived_at=request.begun_at,
        objective=route.objective,
        patience=patience,
        last_event_at=last_event_at,
    )


def get_gap_patience(route):
    """Return the assumed time for which a caller waits for the next event of a stream.

    :param route: a :class:`wasabistage.fleet.Route`.
    :return: seconds.
    """
    return max(
        MIN_STREAM_PATIENCE_SECONDS,
        STREAM_PATIENCE_RATIO * route.objective,
        GAP_PATIENCE_RATIO * route.max_gap,
    )


def get_patience(route, timeout):
    """Return the assumed time for which a caller waits for an answer to begin.

    :param route: a :class:`wasabistage.fleet.Route`.
    :param timeout: time from the begin of the request to its deadline, in seconds.
    :return: seconds.
    """
    if route.kind is not RouteKind.STREAM:
        return timeout
    patience = max(MIN_STREAM_PATIENCE_SECONDS, STREAM_PATIENCE_RATIO * route.objective)
    return min(patience, timeout)


def get_request_rank(route, account):
    """Return the rank of a request: its account's if it has one, else its route's."""
    if account is not None and account.rank is not None:
        return account.rank
    return route.rank
