"""Answers operators who ask for the status and the traces of this entry."""

from wasabistage.declarations import EverywhereQuery, InForceQuery
from wasabistage.entry._routing_messages import AskServers
from wasabistage.entry._wire import (
    MemberStatus,
    ServerStatus,
    StatusTold,
    TraceTold,
)


class StatusAnswerer:
    """Collects the status of one entry from its tasks.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param config: the configuration task.
    :param gossip: the task that knows the entries.
    :param routing: the task that knows the backend servers.
    :param app: the :class:`wasabistage.entry._app.CallerApp`.
    """

    def __init__(self, context, config, gossip, routing, app):
        self.context = context
        self.config = config
        self.gossip = gossip
        self.routing = routing
        self.app = app

    async def status(self, question):
        """Answer a question for the status.

        :param question: a :class:`wasabistage.entry._wire.StatusAsk`.
        :return: a :class:`wasabistage.entry._wire.StatusTold`.
        """
        settings = self.context.settings
        version = self.context.config.value.version
        in_force = await self.config.ask(InForceQuery())
        everywhere = await self.config.ask(EverywhereQuery(version=version))
        servers = await self.routing.ask(AskServers())
        return StatusTold(
            instance=settings.name,
            incarnation=self.context.incarnation,
            failure_domain=settings.failure_domain,
            phase=str(self.gossip.phase),
            config_version=version,
            config_doubtful=bool(in_force and in_force.doubtful),
            everywhere=bool(everywhere),
            running=self.app.running,
            waiting=len(self.app.plain.admission.waiting),
            members=tuple(_member(item) for item in self.gossip.view.value.members),
            servers=tuple(_server(*item) for item in servers),
            metrics={**self.context.metrics.values, **self.app.count_work()},
        )

    async def trace(self, question):
        """Answer a question for the spans of a request.

        :param question: a :class:`wasabistage.entry._wire.TraceAsk`.
        :return: a :class:`wasabistage.entry._wire.TraceTold`.
        """
        spans = self.context.tracer.buffer.find(question.request_id)
        return TraceTold(spans=spans)


def _member(member):
    return MemberStatus(
        instance=member.instance,
        state=str(member.state),
        age=min(member.age, 1e9),
        config_version=member.config_version,
    )


def _server(name, state, load):
    return ServerStatus(
        server=name,
        state=state,
        running=load.running,
        queued=load.queued,
        versions=dict(load.versions),
    )
