"""The task that follows the configuration stream of the log."""

import random
import secrets

from wasabistage.declarations import (
    CarryForward,
    CarryQuery,
    ConfigFold,
    ConfigPeerView,
    EverywhereQuery,
    HeadStated,
    InForceQuery,
    LiveInstances,
    LogFailed,
    LogRead,
    PeerState,
    PollQuery,
    PutInForce,
    RaiseAlarm,
    VersionReported,
    carried_record,
)
from wasabistage.declarations import LogRecord as FoldRecord
from wasabistage.entry._context import ConfigInForce
from wasabistage.entry._gossip import ReportConfig, SendNow
from wasabistage.entry._task import TickingTask
from wasabistage.entry._wire import CONFIG, ConfigAsk, ConfigTold
from wasabistage.exceptions import WasabistageError
from wasabistage.membership import Heartbeat, MemberState
from wasabistage.observe import make_logger
from wasabistage.reference import NewRecord

STREAM = "config"
PEER_ASK_SECONDS = 1.0
RECORD_ID_BYTES = 16
LIVE_STATES = (MemberState.SERVING, MemberState.DRAINING)
log = make_logger("config")


def fold_read(page, start, wall_time):
    """Turn a page of the log into the event that the fold takes.

    :param page: a :class:`wasabistage.reference.LogPage`.
    :param start: the offset that was asked for.
    :param wall_time: wall-clock time, in seconds since 1970.
    :return: a :class:`wasabistage.declarations.LogRead`.
    """
    begin = max(start, page.first)
    end = page.records[-1].offset + 1 if page.records else begin
    records = tuple(
        FoldRecord(
            offset=item.offset,
            data=item.data,
            age=max(0.0, wall_time - item.written_at),
        )
        for item in page.records
    )
    return LogRead(start=begin, end=end, records=records, tail=page.next_offset)


class ConfigTask(TickingTask):
    """Owns the folded configuration and puts versions into force.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    """

    name = "config"
    tick_seconds = 0.25

    def __init__(self, context):
        super().__init__(context)
        settings = context.settings
        self.fold = ConfigFold().reset()
        self.peers = ConfigPeerView(poll_interval=settings.config_poll).reset()
        self.carry = CarryForward(retention=settings.log_retention).reset()
        self.random = random.Random(context.incarnation)
        self.carry_draw = self.random.random()
        self.gossip = None
        self.reading = False
        self.asking = set()
        self.next_ask = {}

    async def start(self):
        """Begin to tick and ask the seeds for what they have in force."""
        await super().start()
        for address in self.context.settings.peers:
            self._ask_peer(address)

    async def handle(self, message, reply):
        """Handle a message; see :meth:`Task.handle`."""
        now = self.context.timers.now()
        match message:
            case LogRead() | LogFailed() | PeerState():
                self.reading = self.reading and isinstance(message, PeerState)
                self.fold.observe(message, now)
                self._follow_up(now)
            case Heartbeat():
                self._hear(message, now)
            case ConfigAsk():
                state = self.fold.state_
                return ConfigTold(state=state if state.head else None)
            case EverywhereQuery() | InForceQuery():
                policy = self.fold
                if isinstance(message, EverywhereQuery):
                    policy = self.peers
                return policy.decide(message, now)
            case _:
                self._poll(now)

    def _poll(self, now):
        self._follow_members(now)
        if not self.reading:
            query = PollQuery(
                next_offset=self.fold.read_from, draw=self.random.random()
            )
            action = self.peers.decide(query, now)
            if action:
                self.reading = True
                self.nursery.start_soon(self._read, action.offset)
        due = CarryQuery(version=self.fold.state_.version, draw=self.carry_draw)
        if not self.fold.has_gap and self.carry.decide(due, now):
            record = NewRecord(
                record_id=secrets.token_hex(RECORD_ID_BYTES),
                data=carried_record(
                    self.fold.state_, secrets.token_hex(RECORD_ID_BYTES)
                ),
            )
            self.nursery.start_soon(self._append, record)

    def _follow_members(self, now):
        view = self.gossip.view.value if self.gossip else None
        if view is None:
            return
        names = [m.instance for m in view.members if m.state in LIVE_STATES]
        names.append(self.context.settings.name)
        self.peers.observe(LiveInstances(names=tuple(names)), now)
        self._report_own(now)

    def _report_own(self, now):
        own = VersionReported(
            instance=self.context.settings.name,
            version=self.context.config.value.version,
            next_offset=self.fold.read_from,
        )
        self.peers.observe(own, now)

    def _hear(self, heartbeat, now):
        self.peers.observe(
            VersionReported(
                instance=heartbeat.instance,
                version=heartbeat.config_version,
                next_offset=heartbeat.newest_offset,
            ),
            now,
        )
        if heartbeat.config_version > self.context.config.value.version:
            self._ask_peer(heartbeat.peer_address)

    def _ask_peer(self, address):
        now = self.context.timers.now()
        if address in self.asking or now < self.next_ask.get(address, 0.0):
            return
        self.asking.add(address)
        self.next_ask[address] = now + PEER_ASK_SECONDS
        self.nursery.start_soon(self._fetch_state, address)

    async def _fetch_state(self, address):
        try:
            told = await self.context.peers.call(address, CONFIG, ConfigAsk())
        except WasabistageError:
            return
        finally:
            self.asking.discard(address)
        if told.state is not None:
            self.tell(PeerState(state=told.state))

    async def _read(self, offset):
        try:
            page = await self.context.log.read(STREAM, offset)
            self.tell(fold_read(page, offset, self.context.timers.wall_time()))
        except WasabistageError:
            self.metrics.count("log.failures")
            self.tell(LogFailed())

    async def _append(self, record):
        self.metrics.count("log.appends")
        try:
            await self.context.log.append(STREAM, [record])
        except WasabistageError:
            self.metrics.count("log.failures")

    def _follow_up(self, now):
        for action in self.fold.tick(now):
            if isinstance(action, RaiseAlarm):
                self.metrics.count("config.alarm")
                facts = {"offset": action.offset, "reason": action.reason}
                log.error("a bad record was skipped", extra=facts)
            elif isinstance(action, HeadStated):
                self.carry.observe(action, now)
            elif isinstance(action, PutInForce):
                self._put_in_force(action)
        self._report_own(now)
        if self.gossip is not None:
            self.gossip.tell(
                ReportConfig(
                    version=self.context.config.value.version,
                    next_offset=self.fold.read_from,
                )
            )

    def _put_in_force(self, action):
        self.metrics.gauge("config.version", action.version)
        self.context.config.set(
            ConfigInForce(version=action.version, deployment=action.deployment)
        )
        log.info("configuration in force", extra={"version": action.version})
        if self.gossip is not None:
            report = ReportConfig(
                version=action.version, next_offset=self.fold.read_from
            )
            self.gossip.tell(report)
            self.gossip.tell(SendNow())

    async def answer_peer(self, question):
        """Answer a peer that asks for the configuration.

        :param question: a :class:`ConfigAsk`.
        :return: a :class:`ConfigTold`.
        """
        return await self.ask(question)
