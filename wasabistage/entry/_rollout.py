"""The task that orders backend servers to run what is declared."""

from dataclasses import dataclass

import trio

from wasabistage.entry._routing_messages import LoadArrived
from wasabistage.entry._targets import find_place, make_targets, order_bodies
from wasabistage.entry._task import TickingTask
from wasabistage.exceptions import UnavailableError, WasabistageError
from wasabistage.membership import MemberPhase, MemberState
from wasabistage.observe import make_logger
from wasabistage.reference import LogPage, NewRecord
from wasabistage.rollout import (
    NO_RECORD,
    AppendEnded,
    AppendRecord,
    DrainStarted,
    GrantRecord,
    LogRecord,
    OrderEnded,
    PlaceChanged,
    ReadServer,
    ReleaseRecord,
    ReportTimeBounds,
    RolloutPolicy,
    SendOrder,
    ServerReported,
    Target,
    TargetsChanged,
    decode_order_record,
    encode_order_record,
)
from wasabistage.timing import Tick

STREAM = "orders"
#: Longest wait of one read for a new record.
READ_WAIT_SECONDS = 5.0
READ_PAUSE_SECONDS = 0.1
READ_RETRY_SECONDS = 0.5
#: Time between two readings of a server that is being ordered.
SERVER_READ_SECONDS = 0.1
WATCH_SECONDS = 0.2
#: Shares of a lease: the longest order, and the longest way to its sending.
ORDER_SHARE = 0.3
SEND_SHARE = 0.1
LONGEST_CARRY_SECONDS = 600.0
CARRY_SHARE = 0.25
log = make_logger("rollout")


@dataclass(frozen=True, kw_only=True)
class PageRead:
    """A page of the order stream.

    :param start: the offset that was asked for.
    :param page: the :class:`wasabistage.reference.LogPage`.
    """

    start: int
    page: LogPage


@dataclass(frozen=True, kw_only=True)
class CountOrders:
    """Asks how many grants and appends are not settled yet."""


class RolloutTask(TickingTask):
    """Owns the decisions on orders and carries their actions out.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param routing: task that is told what a server answered.
    :param gossip: task that knows which entries live.
    :param make_policy: policy class, :class:`wasabistage.rollout.RolloutPolicy` or a
        baseline.
    """

    name = "rollout"
    tick_seconds = 0.1

    def __init__(self, context, routing, gossip, make_policy=RolloutPolicy):
        super().__init__(context)
        self.routing = routing
        self.gossip = gossip
        self.make_policy = make_policy
        self.ages = ReportTimeBounds().reset()
        # Nothing is decided before the stream's first page tells where it begins.
        self.policy = None
        self.deployment = None
        self.runs = {}
        self.polled_at = {}
        self.polling = set()
        self.appending = 0
        self.draining = False

    async def start(self):
        """Begin to tick and to follow the order stream."""
        await super().start()
        self.nursery.start_soon(self._follow_log)

    async def _follow_log(self):
        start, wait = 0, 0.0
        while True:
            try:
                page = await self.context.log.read(STREAM, start, wait)
            except WasabistageError:
                self.metrics.count("log.failures")
                await trio.sleep(READ_RETRY_SECONDS)
                continue
            await self.ask(PageRead(start=start, page=page))
            end = page_end(page, start)
            wait = READ_WAIT_SECONDS if end >= page.next_offset else 0.0
            start = end
            if not page.records:
                await trio.sleep(READ_PAUSE_SECONDS)

    async def handle(self, message, reply):
        """Handle a message; see :meth:`Task.handle`."""
        now = self.context.timers.now()
        match message:
            case PageRead():
                self._take_page(message, now)
            case LoadArrived():
                self._take_load(message, now)
            case OrderEnded() | AppendEnded():
                self._observe(message, now)
            case CountOrders():
                return self._count_unsettled()
            case Tick():
                self._follow_declarations(now)
                self._follow_entries(now)
        if self.policy is not None:
            self._carry_out(now)
            self._watch_granted(now)

    def _observe(self, event, now):
        if self.policy is not None:
            self.policy.observe(event, now)

    def _take_page(self, message, now):
        page = message.page
        if self.policy is None or page.first > message.start:
            self._begin(page.first, now)
        for item in page.records:
            record = decode_order_record(item.data)
            if NO_RECORD.has_same_name(record):
                # A foreign record grants nothing.
                continue
            self._note(item.offset, record, now)
            self.policy.observe(LogRecord(offset=item.offset, record=record), now)

    def _note(self, offset, record, now):
        """Look at a server as soon as its order began or ended."""
        if isinstance(record, GrantRecord):
            facts = {"server": record.server, "holder": record.holder}
            log.info("a server is to be ordered", extra={**facts, "fencing": offset})
            self._read_server(record.server, now)
        elif isinstance(record, ReleaseRecord):
            ended = self.policy.fold_.state(record.slot).grant
            if ended is not None:
                self._read_server(ended.server, now)

    def _begin(self, first_offset, now):
        """Build the decisions anew; orders of an earlier build aren't sent any more."""
        settings = self.context.settings
        lease = settings.lease
        carry_time = min(LONGEST_CARRY_SECONDS, settings.log_retention * CARRY_SHARE)
        self.policy = self.make_policy(
            settings.name,
            self.context.incarnation,
            lease=lease,
            order_time=lease * ORDER_SHARE,
            send_time=lease * SEND_SHARE,
            retry_time=SERVER_READ_SECONDS,
            carry_time=carry_time,
            first_offset=first_offset,
        ).reset()
        self.deployment = None
        self._follow_declarations(now)
        self._follow_entries(now)
        for event in self.runs.values():
            self.policy.observe(event, now)
        if self.draining:
            self.policy.observe(DrainStarted(), now)

    def _follow_declarations(self, now):
        in_force = self.context.config.value
        if self.policy is None or in_force.deployment is self.deployment:
            return
        self.deployment = in_force.deployment
        targets = make_targets(self.deployment)
        self.ages.remove_undeclared(targets)
        self.runs = {n: runs for n, runs in self.runs.items() if n in targets}
        self.polled_at = {n: at for n, at in self.polled_at.items() if n in targets}
        changed = TargetsChanged(
            config_version=in_force.version,
            targets=targets,
            slots=self.deployment.weight_store.parallel_loads,
        )
        self.policy.observe(changed, now)

    def _follow_entries(self, now):
        view = self.gossip.view.value
        if self.policy is None or view is None:
            return
        own = self.context.settings.name
        names = [
            item.instance
            for item in view.members
            if item.state is MemberState.SERVING and item.instance != own
        ]
        place = find_place(own, names)
        if place != self.policy.place_:
            self.policy.observe(PlaceChanged(place=place), now)
        if self.gossip.phase is not MemberPhase.SERVING and not self.draining:
            self.draining = True
            self.policy.observe(DrainStarted(), now)

    def _take_load(self, message, now):
        load = message.load
        produced = self.ages.estimate_earliest_time(
            message.name, load.incarnation, load.sequence, message.asked_at
        )
        if produced is None:
            return
        event = ServerReported(
            server=message.name,
            runs=Target(versions=dict(load.versions), adapters=tuple(load.adapters)),
            loading=False,
            asked_at=produced,
        )
        self.runs[message.name] = event
        self._observe(event, now)

    def _count_unsettled(self):
        holds = self.policy.held_grants_.grants_.values() if self.policy else ()
        waiting = sum(hold.release_appended_at < hold.granted_at for hold in holds)
        return waiting + self.appending

    def _carry_out(self, now):
        for action in self.policy.tick(now):
            match action:
                case AppendRecord():
                    self.appending += 1
                    self.nursery.start_soon(self._append, action.record)
                case ReadServer():
                    self._read_server(action.server, now)
                case SendOrder():
                    self._start_order(action)

    def _watch_granted(self, now):
        """Read servers that are ordered by anyone, so that routing knows at once."""
        for _, state in self.policy.fold_.get_granted_slots():
            name = state.grant.server
            if now - self.polled_at.get(name, 0.0) >= WATCH_SECONDS:
                self._read_server(name, now)

    def _read_server(self, name, now):
        server = self.deployment.servers.get(name)
        if server is None or name in self.polling:
            return
        self.polling.add(name)
        self.polled_at[name] = now
        self.nursery.start_soon(self._poll, server, now)

    async def _poll(self, server, asked_at):
        try:
            load = await self.context.engine(server).load()
        except WasabistageError:
            load = None
        finally:
            self.polling.discard(server.name)
        # Routing hands every report that it takes on to this task.
        self.routing.tell(LoadArrived(name=server.name, load=load, asked_at=asked_at))

    async def _append(self, record):
        self.metrics.count("log.appends")
        item = NewRecord(record_id=record.record_id, data=encode_order_record(record))
        try:
            await self.context.log.append(STREAM, [item])
        except WasabistageError:
            # The log shows whether it was appended; the decisions wait for that.
            self.metrics.count("log.failures")
        finally:
            self.appending -= 1
        self.tell(AppendEnded(record_id=record.record_id))

    def _start_order(self, order):
        server = self.deployment.servers.get(order.server)
        runs = self.policy.version_view_.reports_.get(order.server)
        if server is None or runs is None:
            self.tell(OrderEnded(fencing=order.fencing, attempt=order.attempt))
            return
        bodies = order_bodies(order, runs.runs)
        self.nursery.start_soon(self._send_all, server, order, bodies)

    async def _send_all(self, server, order, bodies):
        ended = True
        with trio.move_on_after(self.policy.order_time) as scope:
            for body in bodies:
                ended = await self._send(server, order, body)
                if not ended:
                    break
        if ended and not scope.cancelled_caught:
            self.tell(OrderEnded(fencing=order.fencing, attempt=order.attempt))
        # Otherwise it may be under way still; the decisions wait until it can't be.

    async def _send(self, server, order, body):
        """Send one order; return whether it has surely ended."""

        def may_send():
            return self.policy.may_send(order, self.context.timers.now())

        facts = {"server": server.name, **body}
        if not may_send():
            log.info("an order was held back", extra=facts)
            return True
        try:
            await self.context.engine(server).order(
                body, may_send, timeout=self.policy.order_time
            )
        except UnavailableError as error:
            log.info("an order was not taken", extra={**facts, "reason": error.message})
            return True
        except WasabistageError as error:
            self.metrics.count("order.sent")
            log.info("an order got no answer", extra={**facts, "reason": error.message})
            return False
        self.metrics.count("order.sent")
        log.info("an order was carried out", extra=facts)
        return True


def page_end(page, start):
    """Return the offset from which to read on.

    :param page: a :class:`wasabistage.reference.LogPage`.
    :param start: the offset that was asked for.
    :return: an offset.
    """
    if page.records:
        return page.records[-1].offset + 1
    return max(start, page.first)
