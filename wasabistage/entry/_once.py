"""The task that runs non-idempotent calls at most once."""

import secrets
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, replace

import trio

from wasabistage.entry._calls import resolve_plain
from wasabistage.entry._gossip import FindIncarnation
from wasabistage.entry._plain import PlainAnswer, PlainCall
from wasabistage.entry._task import LATER, Reply, TickingTask
from wasabistage.entry._wire import ONCE, OnceAnswered, OnceForward
from wasabistage.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.observe import make_logger
from wasabistage.once import (
    AppendConfirmed,
    AppendFailed,
    AppendRecords,
    AppendUnknown,
    AttemptCancelled,
    CallArrived,
    CallKey,
    ClaimFold,
    Dispatch,
    DispatchLost,
    DispatchUnsent,
    ForwardToHome,
    HomeReplied,
    HomeUnreachable,
    LogBatcher,
    LogEntry,
    OnceCoordinator,
    Outcome,
    OutcomeArrived,
    ReadFailed,
    ReadLog,
    RecordsRead,
    TicketsQuery,
    Verdict,
    build_error,
    compute_call_digest,
    decode_record,
    encode_record,
)
from wasabistage.once import Reply as OnceReply
from wasabistage.reference import NewRecord
from wasabistage.timing import Tick
from wasabistage.utils import UnreadableError

STREAM = "once"
#: Time between two ticks while something waits, and while nothing does.
#: Time between two ticks while an attempt or a record waits.
BUSY_TICK_SECONDS = 0.02
NONCE_BYTES = 16
SECRET_BYTES = 32
ATTEMPT_BYTES = 12
RECORD_ID_BYTES = 16
MOST_TICKETS = 16
MOST_SERVERS = 3
SHORTEST_DISPATCH_SECONDS = 30.0
FORWARD_SLACK_SECONDS = 0.5
log = make_logger("once")


@dataclass(frozen=True, kw_only=True)
class RunOnce:
    """Asks to run a non-idempotent call.

    :param call: the :class:`wasabistage.entry._plain.PlainCall`.
    :param deadline: monotonic time after which nobody waits, in seconds.
    :param inquire: whether the caller only asks what became of the key.
    """

    call: PlainCall
    deadline: float
    inquire: bool = False


@dataclass(frozen=True, kw_only=True)
class TakeTickets:
    """Asks for tickets.

    :param account: name of the client account.
    :param count: how many.
    """

    account: str
    count: int


@dataclass(frozen=True, kw_only=True)
class CountUnsettled:
    """Asks how many attempts and records are not settled yet."""


@dataclass
class Attempt:
    """One attempt that waits for its reply.

    :ivar call: what to dispatch.
    :ivar reply: where the answer goes.
    :ivar forwarded: whether a peer waits for it.
    :ivar inquire: whether the caller only asks what became of the key.
    :ivar deadline: monotonic time after which nobody waits, in seconds.
    :ivar handled: whether it was dispatched here or sent to the key's home.
    """

    call: PlainCall
    reply: Reply
    forwarded: bool
    inquire: bool
    deadline: float
    handled: bool = False


class OnceTask(TickingTask):
    """Owns the once-only decisions and carries their actions out.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param plain: the :class:`wasabistage.entry._plain.PlainServer`.
    :param gossip: task that finds the address of a process life.
    :param policy: a :class:`wasabistage.once.OncePolicy`; ``None`` for the real one.
    """

    name = "once"
    tick_seconds = 0.25

    def __init__(self, context, plain, gossip, policy=None):
        super().__init__(context)
        self.plain = plain
        self.gossip = gossip
        self.policy = policy or self._make_policy()
        self.attempts = {}
        self.ticking = False

    def _make_policy(self):
        settings = self.context.settings
        fold = ClaimFold(
            incarnation=self.context.incarnation,
            retention=settings.log_retention,
            horizon=settings.key_horizon,
            clock_skew=settings.clock_skew,
        )
        return OnceCoordinator(
            incarnation=self.context.incarnation,
            secret=secrets.token_bytes(SECRET_BYTES),
            fold=fold,
            batcher=LogBatcher(interval=settings.log_batch),
        ).reset()

    def _keep_ticking(self, now):
        """Tick fast while an attempt or a record waits; an idle entry need not."""
        waits = self.attempts or self.policy.batcher_.decide(None, now)
        if waits and not self.ticking:
            self.ticking = True
            self.nursery.start_soon(self._tick_soon)

    async def _tick_soon(self):
        await trio.sleep(BUSY_TICK_SECONDS)
        self.ticking = False
        self.tell(Tick(now=self.context.timers.now(), period=BUSY_TICK_SECONDS))

    async def handle(self, message, reply):
        """Handle a message; see :meth:`Task.handle`."""
        now = self.context.timers.now()
        match message:
            case RunOnce():
                self._take(message, reply, now)
            case OnceForward():
                if message.home != self.context.incarnation:
                    return OnceAnswered(reply=None)
                self._take_forwarded(message, reply, now)
            case TakeTickets():
                return self._issue(message, now)
            case CountUnsettled():
                return len(self.attempts) + self.policy.batcher_.decide(None, now)
            case Tick():
                pass
            case _:
                self.policy.observe(message, now)
        self._carry_out(now)
        self._keep_ticking(now)
        return LATER

    def _issue(self, message, now):
        count = min(message.count, MOST_TICKETS)
        nonces = tuple(secrets.token_bytes(NONCE_BYTES) for _ in range(count))
        query = TicketsQuery(
            account=message.account,
            nonces=nonces,
            wall_time=self.context.timers.wall_time(),
        )
        return self.policy.decide(query, now) or ()

    def _take(self, message, reply, now):
        attempt = Attempt(message.call, reply, False, message.inquire, message.deadline)
        self._register(attempt, now)

    def _take_forwarded(self, message, reply, now):
        deployment = self.context.config.value.deployment
        account = deployment.accounts.get(message.account)
        if account is None:
            raise UnavailableError(
                "the client account is not declared at the key's home",
                remedy="try again once the configuration is in force everywhere",
            )
        call = PlainCall(
            request_id=message.request_id,
            account=account,
            resolved=resolve_plain(
                deployment, message.service, message.method, message.path
            ),
            path=message.path,
            query=message.query,
            body=message.body,
            headers=message.headers,
            key=message.key,
            parent=self.context.tracer.accept({"traceparent": message.traceparent}),
        )
        deadline = now + message.remaining
        self._register(Attempt(call, reply, True, message.inquire, deadline), now)

    def _register(self, attempt, now):
        call = attempt.call
        attempt_id = secrets.token_hex(ATTEMPT_BYTES)
        self.attempts[attempt_id] = attempt
        attempt.reply.tag = attempt_id
        content = b"\0".join((call.path.encode(), call.query, call.body))
        declared = call.resolved.call
        self.policy.observe(
            CallArrived(
                attempt=attempt_id,
                key=CallKey(account=call.account.name, key=call.key),
                digest=compute_call_digest(
                    call.resolved.service.name, declared.name, content
                ),
                deadline=attempt.deadline,
                wall_time=self.context.timers.wall_time(),
                outage=declared.outage,
                forwarded=attempt.forwarded,
                inquire=attempt.inquire,
            ),
            now,
        )

    def _carry_out(self, now):
        for action in self.policy.tick(now):
            match action:
                case AppendRecords():
                    self.nursery.start_soon(self._append, action)
                case ReadLog():
                    self.nursery.start_soon(self._read, action.start)
                case Dispatch():
                    self._start_dispatch(action)
                case ForwardToHome():
                    attempt = self.attempts[action.attempt]
                    attempt.handled = True
                    self.nursery.start_soon(self._forward, action, attempt)
                case OnceReply():
                    self._reply(action)

    def _reply(self, action):
        attempt = self.attempts.pop(action.attempt, None)
        if attempt is None:
            return
        if action.verdict is Verdict.UNKNOWN:
            self.metrics.count("once.unknown")
        if action.outcome is not None and not (attempt.handled or attempt.inquire):
            self.metrics.count("once.joined")
        if attempt.forwarded:
            attempt.reply.set(OnceAnswered(reply=action))
        elif action.outcome is not None:
            self._answer(attempt, action.outcome)
        else:
            attempt.reply.fail(build_error(action))

    def _answer(self, attempt, outcome):
        if outcome.body_omitted:
            attempt.reply.fail(
                ConflictError(
                    "the call was run; its answer was too large to be kept",
                    remedy="look the result up at the service",
                    ran="unknown",
                )
            )
            return
        attempt.reply.set(
            PlainAnswer(
                status=outcome.status, headers=dict(outcome.headers), body=outcome.body
            )
        )

    async def _append(self, action):
        self.metrics.count("log.appends")
        records = [
            NewRecord(
                record_id=secrets.token_hex(RECORD_ID_BYTES), data=encode_record(item)
            )
            for item in action.records
        ]
        try:
            with self._append_hops(action.records):
                await self.context.log.append(STREAM, records)
            event = AppendConfirmed(batch=action.batch)
        except UnavailableError:
            event = AppendFailed(batch=action.batch)
        except WasabistageError:
            event = AppendUnknown(batch=action.batch)
        if not isinstance(event, AppendConfirmed):
            self.metrics.count("log.failures")
        self.tell(event)

    @contextmanager
    def _append_hops(self, records):
        """Measure an append for each request that waits here for one of its keys."""
        keys = {item.key for item in records}
        with ExitStack() as hops:
            for attempt in self.attempts.values():
                call = attempt.call
                if CallKey(account=call.account.name, key=call.key) in keys:
                    hop = self.context.tracer.hop
                    hops.enter_context(hop("log.append", call.request_id, call.parent))
            yield

    async def _read(self, start):
        try:
            page = await self.context.log.read(STREAM, start)
        except WasabistageError:
            self.metrics.count("log.failures")
            self.tell(ReadFailed())
            return
        wall_time = self.context.timers.wall_time()
        self.tell(records_read(page, start, wall_time))

    def _start_dispatch(self, action):
        self.metrics.count("once.dispatched")
        attempt = self.attempts[action.attempt]
        attempt.handled = True
        self.nursery.start_soon(self._dispatch, action, attempt.call)

    async def _dispatch(self, action, call):
        hop = self.context.tracer.hop("once.dispatch", call.request_id, call.parent)
        with hop as parent:
            event = await self._send(action, replace(call, parent=parent))
        facts = {
            "request_id": call.request_id,
            "account": action.key.account,
            "outcome": type(event).__name__,
        }
        log.info("a non-idempotent call ended", extra=facts)
        self.tell(event)

    async def _send(self, action, call):
        wall_time = self.context.timers.wall_time
        patience = max(SHORTEST_DISPATCH_SECONDS, call.resolved.call.deadline)
        tried = ()
        for _ in range(MOST_SERVERS):
            try:
                server = await self.plain.choose(call, tried)
                tried += (server.name,)
                answer = await self.plain.dispatch(call, server, patience)
            except UnavailableError:
                # Nothing left this process, so another server may be tried.
                continue
            except OutcomeUnknownError:
                return DispatchLost(key=action.key, attempt=action.attempt)
            outcome = Outcome(
                status=answer.status,
                headers=tuple(answer.headers.items()),
                body=answer.body,
            )
            return OutcomeArrived(
                key=action.key,
                attempt=action.attempt,
                outcome=outcome,
                wall_time=wall_time(),
            )
        return DispatchUnsent(
            key=action.key, attempt=action.attempt, wall_time=wall_time()
        )

    async def _forward(self, action, attempt):
        address = await self.gossip.ask(FindIncarnation(incarnation=action.home))
        if not address:
            self.tell(HomeUnreachable(attempt=action.attempt, bytes_sent=False))
            return
        call = attempt.call
        remaining = max(0.0, attempt.deadline - self.context.timers.now())
        with self.context.tracer.hop(
            "once.forward", call.request_id, call.parent, home=address
        ) as parent:
            message = OnceForward(
                attempt=action.attempt,
                home=action.home,
                account=call.account.name,
                key=call.key,
                service=call.resolved.service.name,
                method=call.resolved.call.method,
                path=call.path,
                query=call.query,
                body=call.body,
                headers=call.headers,
                request_id=call.request_id,
                remaining=remaining,
                inquire=attempt.inquire,
                traceparent=self.context.tracer.inject(parent).get("traceparent", ""),
            )
            timeout = remaining + FORWARD_SLACK_SECONDS
            await self._send_forward(action, address, message, timeout)

    async def _send_forward(self, action, address, message, timeout):
        try:
            told = await self.context.peers.call(address, ONCE, message, timeout)
        except UnavailableError:
            event = HomeUnreachable(attempt=action.attempt, bytes_sent=False)
        except WasabistageError:
            event = HomeUnreachable(attempt=action.attempt, bytes_sent=True)
        else:
            if told.reply is None:
                event = HomeUnreachable(attempt=action.attempt, bytes_sent=False)
            else:
                event = HomeReplied(attempt=action.attempt, reply=told.reply)
        self.tell(event)

    async def run_call(self, message):
        """Run a call and wait for its answer.

        :param message: a :class:`RunOnce`.
        :return: a :class:`wasabistage.entry._plain.PlainAnswer`.
        :raises WasabistageError: saying whether the call was run.
        """
        reply = Reply()
        self.post(message, reply)
        try:
            return await reply.wait()
        except trio.Cancelled:
            if reply.tag is not None:
                self.tell(AttemptCancelled(attempt=reply.tag))
            raise

    async def answer_peer(self, message):
        """Take an attempt that a peer forwards.

        :param message: a :class:`OnceForward`.
        :return: a :class:`OnceAnswered`.
        """
        return await self.ask(message)


def records_read(page, start, wall_time):
    """Turn a page of the log into the event that the decisions take.

    :param page: a :class:`wasabistage.reference.LogPage`.
    :param start: the offset that was asked for.
    :param wall_time: wall-clock time after the answer arrived, in seconds.
    :return: a :class:`wasabistage.once.RecordsRead`.
    """
    entries = []
    for item in page.records:
        try:
            record = decode_record(item.data)
        except UnreadableError:
            # A foreign record states nothing about any key.
            continue
        entries.append(LogEntry(offset=item.offset, record=record))
    begin = max(start, page.first)
    end = page.records[-1].offset + 1 if page.records else begin
    return RecordsRead(
        start=start,
        entries=tuple(entries),
        next_offset=end,
        trimmed_to=page.first,
        at_end=end >= page.next_offset,
        wall_time=wall_time,
    )
