"""The task that knows the other entries and talks to them."""

import random
from dataclasses import dataclass, replace

from wasabistage.admission import DemandReport
from wasabistage.cache import PrefixCommitted
from wasabistage.entry._task import TickingTask
from wasabistage.entry._wire import (
    GOSSIP,
    SIGNS,
    Gossip,
    GossipReply,
    SignsAsk,
)
from wasabistage.exceptions import UnavailableError, WasabistageError
from wasabistage.membership import (
    AddressPolicy,
    AddressQuery,
    HeartbeatQuery,
    InstancesListed,
    LeavingNotice,
    ListedInstance,
    Member,
    MemberChanged,
    MemberPhase,
    MembershipPolicy,
    MemberState,
    MemberViewQuery,
    NoticesReceived,
    PeerCallEnded,
    RequestNotices,
    SendHeartbeats,
    ServersListed,
)
from wasabistage.observe import make_logger
from wasabistage.reference import HttpListClient, LiveList
from wasabistage.routing import PeerDispatched
from wasabistage.timing import Tick
from wasabistage.utils import WatchedValue

LIST_SECONDS = 1.0
MAX_SIGNS = 64
MAX_RESUMED = 256
MAX_COMMITS = 256
MILLISECONDS_PER_SECOND = 1000
ENTRY_KIND = "entry"
log = make_logger("membership")


@dataclass(frozen=True, kw_only=True)
class AskAddresses:
    """Asks which entries a caller should use.

    :param account: name of the client account.
    :param session: name of the session; empty for none.
    :param domain: the caller's failure domain; empty if unknown.
    """

    account: str
    session: str = ""
    domain: str = ""


@dataclass(frozen=True, kw_only=True)
class FindIncarnation:
    """Asks for the peer address of a process life.

    :param incarnation: its identifier.
    """

    incarnation: str


@dataclass(frozen=True, kw_only=True)
class StreamResumed:
    """Tells that a caller resumed a stream here.

    :param stream_id: identifier of the stream.
    """

    stream_id: str


@dataclass(frozen=True, kw_only=True)
class ChangePhase:
    """Tells that this entry drains.

    :param phase: the new phase.
    """

    phase: MemberPhase


@dataclass(frozen=True, kw_only=True)
class ReportLoad:
    """Tells the share of this entry's capacity in use.

    :param load: 0 to 1 and above.
    """

    load: float


@dataclass(frozen=True, kw_only=True)
class ReportConfig:
    """Tells what this entry has in force.

    :param version: configuration version.
    :param next_offset: log offset below which it has folded.
    """

    version: int
    next_offset: int


@dataclass(frozen=True, kw_only=True)
class SendNow:
    """Sends gossip at once, since something changed."""


class GossipTask(TickingTask):
    """Owns the view of the entries.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param listeners: a :class:`GossipListeners`.
    """

    name = "gossip"
    tick_seconds = 0.1

    def __init__(self, context, listeners):
        super().__init__(context)
        self.listeners = listeners
        settings = context.settings
        self.policy = MembershipPolicy(
            settings.name,
            context.incarnation,
            failure_domain=settings.failure_domain,
            caller_address=settings.listen,
            peer_address=settings.peer_listen,
            interval=settings.heartbeat_interval,
            suspect_after=settings.suspect_after,
            gone_after=max(15.0, settings.suspect_after * 3),
        ).reset()
        self.addresses = AddressPolicy(lifetime=settings.address_lifetime).reset()
        self.view = WatchedValue(None)
        self.random = random.Random(context.incarnation)
        self.signs = {}
        self.demand = None
        self.resumed = {}
        self.commits = {}
        self.dispatched = {}
        # Full until admission knows a slot.
        self.load = 1.0
        self.phase = MemberPhase.SERVING
        self.config = ReportConfig(version=0, next_offset=0)
        self.names = {}

    async def start(self):
        """Begin to tick, to read the list and to greet the seeds."""
        self._greet_seeds()
        self._refresh_view()
        await super().start()
        self.subscribe(LIST_SECONDS, self._read_list)

    def _greet_seeds(self):
        for address in self.context.settings.peers:
            self.nursery.start_soon(self._send, address, self._gossip())

    async def _read_list(self, tick):
        client = HttpListClient(self.context.http, self.context.settings.live_list)
        try:
            self.tell(await client.read())
        except WasabistageError:
            return

    async def handle(self, message, reply):
        """Handle a message; see :meth:`Task.handle`."""
        now = self.context.timers.now()
        match message:
            case Tick():
                self._tick(now)
            case Gossip():
                self._receive(message, now)
                return GossipReply(heartbeat=self._heartbeat(now))
            case GossipReply():
                self._observe_beat(message.heartbeat, now)
            case PeerCallEnded():
                self.policy.observe(message, now)
            case LiveList():
                self._take_list(message, now)
            case AskAddresses():
                return self._rank(message, now)
            case FindIncarnation():
                return self._find(message)
            case _:
                self._note(message)

    def _note(self, message):
        match message:
            case LeavingNotice():
                self.signs[message.server, message.source] = message
            case DemandReport():
                self.demand = message
            case StreamResumed():
                self.resumed[message.stream_id] = None
                while len(self.resumed) > MAX_RESUMED:
                    self.resumed.pop(next(iter(self.resumed)))
            case PrefixCommitted():
                self.commits[message.store, message.tail] = message
                while len(self.commits) > MAX_COMMITS:
                    self.commits.pop(next(iter(self.commits)))
            case PeerDispatched():
                self._note_dispatched(message)
            case RequestNotices():
                for address in self._peer_addresses():
                    self.nursery.start_soon(self._ask_signs, address)
            case ReportLoad():
                self.load = message.load
            case ReportConfig():
                self.config = message
            case ChangePhase():
                self.phase = message.phase
                self._send_all(self._peer_addresses())
            case SendNow():
                self._send_all(self._peer_addresses())

    def _note_dispatched(self, message):
        known = self.dispatched.get(message.server)
        tokens = message.tokens + (known.tokens if known else 0)
        self.dispatched[message.server] = replace(message, tokens=tokens)

    async def _ask_signs(self, address):
        try:
            told = await self.context.peers.call(address, SIGNS, SignsAsk())
        except WasabistageError:
            return
        self.listeners.on_signs(told)

    def _tick(self, now):
        actions = self.policy.tick(now)
        changed = [item for item in actions if isinstance(item, MemberChanged)]
        for item in changed:
            facts = {"member": item.instance, "state": str(item.after)}
            log.info("an entry changed", extra=facts)
        self._refresh_view()
        for action in actions:
            if isinstance(action, SendHeartbeats):
                self._send_all(action.addresses)

    def _refresh_view(self):
        view = self.policy.decide(MemberViewQuery(), self.context.timers.now())
        self.names = {member.peer_address: member.instance for member in view.members}
        self.view.set(view)

    def _peer_addresses(self):
        seeds = set(self.context.settings.peers)
        return sorted(seeds | set(self.names) - {""})

    def _send_all(self, addresses):
        gossip = self._gossip()
        own = self.context.settings.peer_listen
        targets = set(addresses) | set(self.context.settings.peers)
        for address in sorted(targets - {own, ""}):
            self.nursery.start_soon(self._send, address, gossip)
        self.signs.clear()
        self.demand = None
        self.resumed.clear()
        self.commits.clear()
        self.dispatched.clear()

    def _gossip(self):
        heartbeat = self._heartbeat(self.context.timers.now())
        return Gossip(
            heartbeat=heartbeat,
            signs=tuple(self.signs.values())[:MAX_SIGNS],
            demand=self.demand,
            resumed=tuple(self.resumed),
            commits=tuple(self.commits.values()),
            dispatched=tuple(self.dispatched.values()),
        )

    def _heartbeat(self, now):
        query = HeartbeatQuery(
            load=self.load,
            phase=self.phase,
            config_version=self.config.version,
            newest_offset=self.config.next_offset,
        )
        return self.policy.decide(query, now)

    async def _send(self, address, gossip):
        name = self.names.get(address, "")
        try:
            answer = await self.context.peers.call(address, GOSSIP, gossip)
        except WasabistageError as error:
            refused = isinstance(error, UnavailableError)
            if name:
                self.tell(PeerCallEnded(instance=name, ok=False, refused=refused))
            return
        self.tell(answer)
        if name:
            self.tell(PeerCallEnded(instance=name, ok=True))

    def _receive(self, gossip, now):
        self._observe_beat(gossip.heartbeat, now)
        self.listeners.on_gossip(gossip)

    def _observe_beat(self, heartbeat, now):
        self.policy.observe(heartbeat, now)
        self.listeners.on_heartbeat(heartbeat)

    def _take_list(self, listed, now):
        entries = tuple(
            ListedInstance(
                instance=item.name,
                caller_address=item.address,
                peer_address=item.peer_address,
                failure_domain=item.failure_domain,
                leaving=item.leaving,
            )
            for item in listed.instances
            if item.kind == ENTRY_KIND
        )
        self.policy.observe(InstancesListed(instances=entries), now)
        servers = [item for item in listed.instances if item.kind != ENTRY_KIND]
        self.listeners.on_listing(
            ServersListed(
                version=int(listed.as_of * MILLISECONDS_PER_SECOND),
                live=frozenset(item.name for item in servers if not item.leaving),
                leaving=frozenset(item.name for item in servers if item.leaving),
            )
        )

    def _rank(self, message, now):
        candidates = self.policy.decide(MemberViewQuery(), now).candidates
        if self.phase is MemberPhase.SERVING:
            candidates += (self._own_member(),)
        query = AddressQuery(
            candidates=candidates,
            caller_domain=message.domain,
            account=message.account,
            session=message.session,
            draw=self.random.random(),
        )
        answer = self.addresses.decide(query, now)
        if not answer:
            raise UnavailableError(
                answer.reason, remedy="ask again in a second", retry_after=1.0
            )
        return answer

    def _own_member(self):
        settings = self.context.settings
        return Member(
            instance=settings.name,
            incarnation=self.context.incarnation,
            state=MemberState.SERVING,
            failure_domain=settings.failure_domain,
            caller_address=settings.listen,
            peer_address=settings.peer_listen,
            load=self.load,
            config_version=self.config.version,
        )

    def _find(self, message):
        for member in self.view.value.members:
            if member.incarnation == message.incarnation:
                return member.peer_address
        return ""

    async def answer_peer(self, gossip):
        """Answer the gossip of a peer.

        :param gossip: a :class:`Gossip`.
        :return: a :class:`GossipReply`.
        """
        return await self.ask(gossip)


class GossipListeners:
    """Hands what peers tell to the tasks that it concerns.

    :param routing: task for words on backend servers.
    :param admission: task for demand reports.
    :param config: task for versions.
    :param streams: task for resumed streams.
    :param cache: task for commit records.
    """

    def __init__(self, routing, admission, config, streams, cache):
        self.routing = routing
        self.admission = admission
        self.config = config
        self.streams = streams
        self.cache = cache

    def on_gossip(self, gossip):
        """Hand on a peer's message.

        :param gossip: a :class:`Gossip`.
        """
        for sign in gossip.signs:
            self.routing.tell(sign)
        if gossip.demand is not None:
            self.admission.tell(gossip.demand)
        for stream_id in gossip.resumed:
            self.streams.tell(StreamResumed(stream_id=stream_id))
        for commit in gossip.commits:
            self.cache.tell(commit)
        for dispatched in gossip.dispatched:
            self.routing.tell(dispatched)

    def on_signs(self, told):
        """Hand on a peer's answer about leaving backend servers.

        :param told: a :class:`wasabistage.entry._wire.SignsAnswer`.
        """
        for sign in told.signs:
            self.routing.tell(sign)
        self.routing.tell(NoticesReceived())

    def on_heartbeat(self, heartbeat):
        """Hand on a peer's heartbeat.

        :param heartbeat: a :class:`wasabistage.membership.Heartbeat`.
        """
        self.config.tell(heartbeat)

    def on_listing(self, listing):
        """Hand on the list of backend servers.

        :param listing: a :class:`wasabistage.membership.ServersListed`.
        """
        self.routing.tell(listing)
