"""The task that watches the backend servers and chooses one for a request."""

import random
from dataclasses import dataclass, field, replace

import trio

from wasabistage.cache import CacheEvent, CacheSequenceReport, EngineCacheRemoved
from wasabistage.declarations import ServiceKind
from wasabistage.entry._admission import SlotsOfService
from wasabistage.entry._gossip import SendNow
from wasabistage.entry._polls import EVENTS_SECONDS, PollPlan
from wasabistage.entry._routing_messages import (
    AskRetry,
    AskServers,
    AttemptEnded,
    ChooseServer,
    Chosen,
    LoadArrived,
    VersionMissing,
    VersionPendingError,
)
from wasabistage.entry._task import TickingTask
from wasabistage.exceptions import UnavailableError, WasabistageError
from wasabistage.membership import (
    BackendMembership,
    LeavingNotice,
    NoticesQuery,
    NoticesReceived,
    RequestNotices,
    SendNotices,
    ServerCallEnded,
    ServersListed,
    UsableServersQuery,
)
from wasabistage.membership import ServerReportReceived as MembershipReport
from wasabistage.observe import make_logger
from wasabistage.reference import EngineLoad
from wasabistage.retries import FirstAttemptSent, RetryPolicy, RetryQuery
from wasabistage.routing import (
    CallEnded,
    CallStarted,
    Candidate,
    Dispatched,
    DispatchEnded,
    FetchCompleted,
    FetchProgressQuery,
    FirstTokenArrived,
    HealthPolicy,
    HealthQuery,
    LeastOutstandingRouter,
    LoadReport,
    PeerDispatched,
    PredictiveRouter,
    RouteQuery,
    ServerAppeared,
    ServerRemoved,
)
from wasabistage.timing import Tick

DISPATCHED_SECONDS = 0.25
PLAIN_VERSION = "plain"
MODEL_PREFIX = "model:"
PLAIN_PREFIX = "service:"
log = make_logger("routing")


@dataclass
class ServerFacts:
    """What this entry knows of one backend server.

    :ivar load: its newest load report.
    :ivar heard: whether a report ever came.
    :ivar polling: whether a poll is under way.
    :ivar next_event: sequence number of the next cache event.
    """

    load: EngineLoad = field(default_factory=EngineLoad)
    heard: bool = False
    polling: bool = False
    next_event: int = 0


class RoutingTask(TickingTask):
    """Owns the state of the backend servers.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param admission: task that is told the slots of each service.
    :param cache: task that is told the cache events.
    """

    name = "routing"
    tick_seconds = 0.25

    def __init__(self, context, admission, cache):
        super().__init__(context)
        self.admission = admission
        self.cache = cache
        self.membership = BackendMembership().reset()
        self.health = HealthPolicy().reset()
        self.router = PredictiveRouter().reset()
        self.plain_router = LeastOutstandingRouter().reset()
        self.random = random.Random(context.incarnation + "routing")
        self.retries = RetryPolicy().reset()
        self.facts = {}
        self.polls = PollPlan(context.settings.name)
        self.deployment = None
        self.gossip = None
        self.rollout = None
        self.sent = {}
        self.told_at = 0.0

    async def start(self):
        """Begin to poll the load reports and the cache events."""
        await super().start()
        self.subscribe(self.context.settings.heartbeat_interval, self._poll_loads)
        self.subscribe(EVENTS_SECONDS, self._poll_events)

    async def _poll_loads(self, tick):
        servers = self.context.config.value.deployment.servers
        view = self.gossip.view.value if self.gossip is not None else None
        names = [item.instance for item in view.candidates] if view else []
        self.polls.follow(servers, names)
        for server in servers.values():
            facts = self.facts.get(server.name)
            if facts is None or facts.polling:
                continue
            if self.polls.load_due(server.name, facts.heard, tick.now):
                facts.polling = True
                self.nursery.start_soon(self._poll_load, server, facts)

    async def _poll_load(self, server, facts):
        asked_at = self.context.timers.now()
        try:
            load = await self.context.engine(server).load()
        except WasabistageError:
            load = None
        finally:
            facts.polling = False
        self.tell(LoadArrived(name=server.name, load=load, asked_at=asked_at))

    async def _poll_events(self, tick):
        servers = self.context.config.value.deployment.servers.values()
        async with trio.open_nursery() as nursery:
            for server in servers:
                facts = self.facts.get(server.name)
                if server.kind is not ServiceKind.MODEL or not facts:
                    continue
                busy = facts.load.running + facts.load.queued > 0
                due = facts.heard and self.polls.events_due(server.name, busy, tick.now)
                if due:
                    nursery.start_soon(self._poll_event, server, facts)

    async def _poll_event(self, server, facts):
        try:
            answer = await self.context.engine(server).cache_events(facts.next_event)
        except WasabistageError:
            return
        now = self.context.timers.now()
        self.polls.events_came(server.name, len(answer["events"]), now)
        for event in answer["events"]:
            facts.next_event = max(facts.next_event, event["seq"] + 1)
            self.cache.tell(
                CacheEvent(
                    server=server.name,
                    incarnation=answer["incarnation"],
                    sequence=event["seq"],
                    stored=tuple(event["stored"]),
                    removed=tuple(event["removed"]),
                )
            )
        self.cache.tell(
            CacheSequenceReport(
                server=server.name,
                incarnation=answer["incarnation"],
                sequence=answer["newest"],
            )
        )

    async def handle(self, message, reply):
        """Handle a message; see :meth:`Task.handle`."""
        now = self.context.timers.now()
        self._follow_declarations(now)
        match message:
            case LoadArrived():
                self._take_load(message, now)
            case ServersListed() | LeavingNotice():
                self.membership.observe(message, now)
            case ChooseServer():
                return self._choose(message, now)
            case AttemptEnded():
                self._end_attempt(message, now)
            case FirstTokenArrived() | FetchCompleted() | PeerDispatched():
                self.router.observe(message, now)
                self.plain_router.observe(message, now)
            case FetchProgressQuery():
                return self.router.estimator_.decide(message, now)
            case NoticesQuery():
                return self.membership.decide(message, now)
            case NoticesReceived():
                self.membership.observe(message, now)
            case AskServers():
                return self._describe(now)
            case FirstAttemptSent():
                self.retries.observe(message, now)
            case VersionMissing():
                self._drop_version(message)
            case AskRetry():
                return self._retry(message, now)
            case Tick():
                self._tick(now)

    def _follow_declarations(self, now):
        deployment = self.context.config.value.deployment
        if deployment is self.deployment:
            return
        self.deployment = deployment
        self.membership.set_servers(tuple(deployment.servers))
        for name in set(self.facts) - set(deployment.servers):
            del self.facts[name]
            self.health.observe(ServerRemoved(server=name), now)
            self.cache.tell(EngineCacheRemoved(server=name))
        for name in deployment.servers:
            self.facts.setdefault(name, ServerFacts())

    def _tick(self, now):
        for action in self.membership.tick(now):
            if isinstance(action, SendNotices):
                for sign in action.notices:
                    self.gossip.tell(sign)
            elif isinstance(action, RequestNotices):
                self.gossip.tell(action)
        self._tell_dispatched(now)
        for change in self.health.tick(now):
            facts = {"server": change.server, "state": str(change.state)}
            log.info("a backend server changed", extra=facts)
        self._tell_slots(now)

    def _tell_dispatched(self, now):
        """Tell the peers what was sent since, so that late reports cause no herd."""
        if not self.sent or now - self.told_at < DISPATCHED_SECONDS:
            return
        lag = (now - self.told_at) / 2
        for server, tokens in self.sent.items():
            event = PeerDispatched(server=server, tokens=tokens, lag=lag)
            self.gossip.tell(event)
        self.sent.clear()
        self.told_at = now
        self.gossip.tell(SendNow())

    def _tell_slots(self, now):
        for service in self.deployment.services.values():
            names = self._fit(service)
            usable = self.membership.decide(UsableServersQuery(servers=names), now)
            ready = usable.ready + usable.suspect if usable else ()
            slots = sum(self.deployment.servers[name].slots for name in ready)
            self.admission.tell(SlotsOfService(service=service.name, slots=slots))

    def _fit(self, service):
        """Return the names of the servers that are declared for a service."""
        servers = self.deployment.servers.values()
        if service.kind is ServiceKind.PLAIN:
            return tuple(s.name for s in servers if service.name in s.services)
        return tuple(s.name for s in servers if service.model in s.models)

    def _take_load(self, message, now):
        facts = self.facts.get(message.name)
        if facts is None:
            return
        if message.load is None:
            self.membership.observe(ServerCallEnded(server=message.name, ok=False), now)
            return
        if self.rollout is not None:
            self.rollout.tell(message)
        load = message.load
        if facts.heard and facts.load.incarnation != load.incarnation:
            facts.next_event = 0
            self.cache.tell(EngineCacheRemoved(server=message.name))
        server = self.deployment.servers[message.name]
        self._observe_health(server, load, facts, now)
        facts.load = load
        facts.heard = True
        self.membership.observe(
            MembershipReport(
                server=message.name,
                incarnation=load.incarnation,
                sequence=load.sequence,
                draining=load.draining,
            ),
            now,
        )
        self._observe_load(server, load, now - message.asked_at, now)

    def _drop_version(self, message):
        """Forget a version that its server doesn't hold, until its next report."""
        facts = self.facts.get(message.server)
        if facts is not None:
            versions = {**facts.load.versions, message.model: ""}
            facts.load = replace(facts.load, versions=versions)

    def _observe_health(self, server, load, facts, now):
        starts_slowly = facts.heard and facts.load.incarnation != load.incarnation
        self.health.observe(
            ServerAppeared(
                server=server.name,
                service=health_group(server),
                incarnation=load.incarnation,
                starts_slowly=starts_slowly,
            ),
            now,
        )

    def _observe_load(self, server, load, lag, now):
        if server.kind is ServiceKind.PLAIN:
            report = LoadReport(
                server=server.name, version=PLAIN_VERSION, running=load.running, lag=lag
            )
            self.plain_router.observe(report, now)
            return
        for model, version in load.versions.items():
            self.router.observe(
                LoadReport(
                    server=server.name,
                    version=version,
                    queued_tokens=load.queued_tokens,
                    running=load.running,
                    lag=lag,
                    model=model,
                ),
                now,
            )

    def _choose(self, message, now):
        names = tuple(n for n in self._fit(message.service) if n not in message.tried)
        usable = self.membership.decide(UsableServersQuery(servers=names), now)
        if not usable:
            raise no_server(message.service, usable.reason)
        allowed = self._prefer(usable.ready + usable.suspect, now)
        candidates = tuple(
            self._candidate(name, message, allowed[name]) for name in allowed
        )
        query = self._route_query(message, candidates)
        router = self.plain_router if message.prompt is None else self.router
        if message.found is not None:
            for queue in message.found.queues:
                router.observe(queue, now)
        decision = router.decide(query, now)
        if not decision and candidates and lacks_version(query):
            raise version_pending(query)
        if not decision:
            raise no_server(message.service, decision.reason)
        self._start_attempt(message, decision, router, now)
        return Chosen(
            server=self.deployment.servers[decision.server], decision=decision
        )

    def _prefer(self, names, now):
        """Return the weight of each server that health allows."""
        groups = {health_group(self.deployment.servers[name]) for name in names}
        healths = {}
        for group in groups:
            for item in self.health.decide(HealthQuery(service=group), now):
                healths[item.server] = item
        heard = [name for name in names if self.facts[name].heard]
        good = {
            name: healths[name].weight
            for name in heard
            if name in healths and healths[name].usable
        }
        return good or {name: 1.0 for name in heard}

    def _candidate(self, name, message, weight):
        server = self.deployment.servers[name]
        version = PLAIN_VERSION
        if message.prompt is not None:
            version = self.facts[name].load.versions.get(message.service.model, "")
        return Candidate(
            server=name,
            version=version,
            weight=weight,
            failure_domain=server.failure_domain,
        )

    def _route_query(self, message, candidates):
        prompt, found = message.prompt, message.found
        if prompt is None:
            return RouteQuery(
                account="",
                model=message.service.name,
                version=PLAIN_VERSION,
                prompt_tokens=1,
                rank=message.rank,
                candidates=candidates,
                draw=self.random.random(),
            )
        return RouteQuery(
            account=prompt.account,
            model=prompt.model.name,
            version=prompt.model.version,
            piece_keys=prompt.keys,
            prompt_tokens=prompt.tokens,
            piece_tokens=prompt.model.piece_tokens,
            piece_bytes=prompt.piece_bytes,
            rank=message.rank,
            candidates=candidates,
            held=found.held if found else (),
            stored=found.stored if found else (),
            session=prompt.session,
            draw=self.random.random(),
        )

    def _retry(self, message, now):
        names = self._fit(message.service)
        usable = self.membership.decide(UsableServersQuery(servers=names), now)
        candidates = usable.ready + usable.suspect if usable else ()
        query = RetryQuery(
            service=message.service.name,
            idempotent=message.idempotent,
            failure=message.failure,
            attempts=len(message.tried),
            tried_servers=message.tried,
            candidates=candidates,
            deadline_at=message.deadline_at,
            draw=self.random.random(),
        )
        return self.retries.decide(query, now)

    def _start_attempt(self, message, decision, router, now):
        self.polls.started(decision.server)
        self.health.observe(CallStarted(server=decision.server), now)
        router.observe(
            Dispatched(
                request=message.attempt,
                server=decision.server,
                tokens=max(1, decision.tokens),
            ),
            now,
        )
        sent = self.sent.get(decision.server, 0)
        self.sent[decision.server] = sent + max(1, decision.tokens)

    def _end_attempt(self, message, now):
        self.polls.ended(message.server)
        ended = DispatchEnded(request=message.attempt)
        self.router.observe(ended, now)
        self.plain_router.observe(ended, now)
        self.membership.observe(
            ServerCallEnded(server=message.server, ok=message.good), now
        )
        self.health.observe(
            CallEnded(server=message.server, ok=message.good, seconds=message.seconds),
            now,
        )

    def _describe(self, now):
        return tuple(
            (name, str(self.membership.state(name, now)), facts.load)
            for name, facts in sorted(self.facts.items())
        )


def health_group(server):
    """Return the group of servers that a server's health is compared within.

    :param server: a :class:`wasabistage.declarations.BackendServer`.
    :return: a string.
    """
    if server.kind is ServiceKind.PLAIN:
        return PLAIN_PREFIX + ",".join(sorted(server.services))
    return MODEL_PREFIX + ",".join(sorted(server.models))


def lacks_version(query):
    """Tell whether no server reports the version that a request needs.

    :param query: a :class:`wasabistage.routing.RouteQuery`.
    :return: ``True`` if none does.
    """
    return all(item.version != query.version for item in query.candidates)


def version_pending(query):
    """Build the error for a model whose declared version is not loaded yet.

    :param query: a :class:`wasabistage.routing.RouteQuery`.
    :return: a :class:`VersionPendingError`.
    """
    return VersionPendingError(
        f"no backend server has loaded version {query.version} of {query.model} yet",
        remedy="retry later; the rollout is under way",
        retry_after=1.0,
    )


def no_server(service, reason):
    """Build the error for a call that no server can take.

    :param service: the :class:`wasabistage.declarations.Service`.
    :param reason: why, one clause.
    :return: an :class:`UnavailableError`.
    """
    return UnavailableError(
        f"no backend server can take a call of {service.name}: {reason}",
        remedy="retry later, or check the servers of this service",
        retry_after=1.0,
    )
