"""The task that watches the backend servers and chooses one for a request."""

from dataclasses import dataclass, replace

import trio

from wasabistage.declarations import BackendServer, ServiceKind
from wasabistage.entry._task import Task
from wasabistage.exceptions import UnavailableError, WasabistageError
from wasabistage.platform import EngineLoad

LOAD_FRESH_SECONDS = 5.0


@dataclass(frozen=True, kw_only=True)
class ServerReport:
    """A load report that arrived, or its failure.

    :param name: name of the backend server.
    :param load: the report, or ``None`` if none came.
    """

    name: str
    load: EngineLoad | None


@dataclass(frozen=True, kw_only=True)
class ChooseServer:
    """Asks for the backend server of one attempt.

    :param service: the :class:`wasabistage.declarations.Service`.
    :param tried: names of the servers tried before.
    """

    service: object
    tried: tuple = ()


@dataclass(frozen=True, kw_only=True)
class AttemptEnded:
    """Tells how an attempt ended.

    :param server: name of the backend server.
    :param good: whether it answered.
    """

    server: str
    good: bool


@dataclass
class ServerState:
    """What this entry knows of one backend server.

    :ivar server: its declaration.
    :ivar load: its newest load report.
    :ivar reported_at: when that came, monotonic seconds.
    :ivar running: this entry's own requests on it.
    """

    server: BackendServer
    load: EngineLoad = EngineLoad()
    reported_at: float = float("-inf")
    running: int = 0


class RoutingTask(Task):
    """Owns the state of the backend servers.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    """

    name = "routing"

    def __init__(self, context):
        super().__init__(context.metrics)
        self.context = context
        self.servers = {}

    async def start(self):
        """Begin to poll the load reports."""
        period = self.context.settings.heartbeat_interval
        self.nursery.start_soon(self.context.timers.run_subscription, period, self.poll)

    async def poll(self, tick):
        """Ask every declared server for its load.

        :param tick: a :class:`wasabistage.entry._timer.Tick`.
        """
        deployment = self.context.config.value.deployment
        async with trio.open_nursery() as nursery:
            for server in deployment.servers.values():
                nursery.start_soon(self._poll_one, server)

    async def _poll_one(self, server):
        try:
            load = await self.context.engine(server).load()
        except WasabistageError:
            load = None
        self.tell(ServerReport(name=server.name, load=load))

    async def handle(self, message, reply):
        """Handle a report, a question or the end of an attempt."""
        self._follow_declarations()
        if isinstance(message, ServerReport):
            self._take_report(message)
        elif isinstance(message, AttemptEnded):
            state = self.servers.get(message.server)
            if state is not None:
                state.running -= 1
        else:
            return self._choose(message)

    def _follow_declarations(self):
        declared = self.context.config.value.deployment.servers
        for name in list(self.servers):
            if name not in declared:
                del self.servers[name]
        for name, server in declared.items():
            if name not in self.servers:
                self.servers[name] = ServerState(server)
            self.servers[name].server = server

    def _take_report(self, message):
        state = self.servers.get(message.name)
        if state is None or message.load is None:
            return
        state.load = replace(message.load)
        state.reported_at = self.context.timers.now()

    def _choose(self, message):
        fit = [
            state
            for state in self.servers.values()
            if self._serves(state, message.service)
            and state.server.name not in message.tried
        ]
        if not fit:
            raise UnavailableError(
                f"no backend server can take a call of {message.service.name}",
                remedy="retry later, or check the servers of this service",
                retry_after=1.0,
            )
        best = min(fit, key=lambda state: state.running + state.load.queued)
        best.running += 1
        return best.server

    def _serves(self, state, service):
        fresh = self.context.timers.now() - state.reported_at < LOAD_FRESH_SECONDS
        if not fresh or state.load.draining:
            return False
        if service.kind is ServiceKind.PLAIN:
            return service.name in state.server.services
        models = self.context.config.value.deployment.models
        model = models.get(service.model)
        if model is None or model.name not in state.server.models:
            return False
        return state.load.versions.get(model.name) == model.version
