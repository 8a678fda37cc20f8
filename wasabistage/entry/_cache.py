"""The task that knows where cache pieces are and moves them."""

import secrets
from dataclasses import dataclass

from wasabistage.cache import (
    BYTES_PER_TOKEN,
    CacheEvent,
    CacheListing,
    CacheSequenceReport,
    ChunkMoved,
    EngineCacheRemoved,
    LinkScheduler,
    NextChunkQuery,
    PrefixCommitted,
    PrefixDropped,
    PrefixIndex,
    PrefixOutcome,
    PrefixQuery,
    RequestListing,
    RequestRecords,
    StoredPrefixQuery,
    StoreEmptied,
    StoreFailed,
    StoreFault,
    StoreIndex,
    StoreReplied,
    Tier,
    TransferCancelled,
    TransferKind,
    TransferQuery,
    decode_record,
)
from wasabistage.entry._cache_messages import (
    AskProgress,
    Fetched,
    FetchPieces,
    FindPieces,
    FoundPieces,
    Progress,
    SessionAnnounced,
    TurnEnded,
)
from wasabistage.entry._exports import Exporter
from wasabistage.entry._staging import Stager
from wasabistage.entry._task import LATER, TickingTask
from wasabistage.entry._transfers import ChunkDone, ChunkMover, Job, committed_event
from wasabistage.exceptions import WasabistageError
from wasabistage.routing import LinkQueueMeasured, get_link_name
from wasabistage.sessions import SessionTable
from wasabistage.timing import Tick

TRANSFER_ID_BYTES = 8
MAX_SESSIONS = 100_000


@dataclass(frozen=True, kw_only=True)
class _RecordsListed:
    store: str
    records: tuple


class CacheTask(TickingTask):
    """Owns the indexes of pieces and the links to the stores.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    """

    name = "cache"
    tick_seconds = 0.25

    def __init__(self, context):
        super().__init__(context)
        self.prefixes = PrefixIndex().reset()
        self.stores = StoreIndex(max_sessions=MAX_SESSIONS).reset()
        self.links = LinkScheduler().reset()
        self.sessions = SessionTable(capacity=MAX_SESSIONS).reset()
        self.mover = ChunkMover(context, self.tell, self._spread)
        self.exporter = Exporter(
            context, self.stores, self.links, self._offer, self.tell
        )
        self.stager = Stager(
            context, self.stores, self.prefixes, self.sessions, self.tell
        )
        self.jobs = {}
        self.known_stores = set()
        self.gossip = None

    async def handle(self, message, reply):
        """Handle a message; see :meth:`Task.handle`."""
        now = self.context.timers.now()
        match message:
            case FindPieces():
                return self._find(message.prompt, now)
            case FetchPieces():
                return self._start_fetch(message, reply)
            case AskProgress():
                return self._progress(message)
            case (
                CacheEvent()
                | CacheListing()
                | CacheSequenceReport()
                | EngineCacheRemoved()
            ):
                self.prefixes.observe(message, now)
            case PrefixCommitted() | PrefixDropped() | StoreFailed() | StoreReplied():
                self.stores.observe(message, now)
            case TransferCancelled():
                self._cancel(message, now)
            case TurnEnded():
                self._end_turn(message, now)
            case SessionAnnounced():
                self.nursery.start_soon(
                    self.stager.stage, message.account, message.session
                )
            case ChunkDone():
                self._end_chunk(message, now)
            case _RecordsListed():
                self._take_records(message, now)
            case Tick():
                self._tick(now)

    def _deployment(self):
        return self.context.config.value.deployment

    def _spread(self, event):
        if self.gossip is not None:
            self.gossip.tell(event)

    def _tick(self, now):
        self._follow_stores(now)
        for action in self.prefixes.tick(now) + self.stores.tick(now):
            if isinstance(action, RequestListing):
                self.nursery.start_soon(self._list_pieces, action.server)
            elif isinstance(action, RequestRecords):
                self.nursery.start_soon(self._list_records, action.store)
        self.stager.tick(now)
        for store in self.known_stores:
            self._move(store, now)

    def _follow_stores(self, now):
        declared = set(self._deployment().stores)
        for store in declared - self.known_stores:
            self.nursery.start_soon(self._list_records, store)
        for store in self.known_stores - declared:
            self.stores.observe(StoreEmptied(store=store), now)
        self.known_stores = declared

    async def _list_pieces(self, name):
        server = self._deployment().servers.get(name)
        if server is None:
            self.tell(EngineCacheRemoved(server=name))
            return
        try:
            listing = await self.context.engine(server).cache_listing()
        except WasabistageError:
            return
        self.tell(
            CacheListing(
                server=name,
                incarnation=listing["incarnation"],
                sequence=listing["seq"],
                keys=tuple(listing["keys"]),
            )
        )

    async def _list_records(self, name):
        store = self._deployment().stores.get(name)
        if store is None:
            return
        try:
            records = await self.context.store(store).commits()
        except WasabistageError:
            self.tell(StoreFailed(store=name, fault=StoreFault.UNREACHABLE))
            return
        self.tell(_RecordsListed(store=name, records=records))

    def _take_records(self, message, now):
        self.stores.observe(StoreReplied(store=message.store), now)
        for data in message.records:
            record = decode_record(data)
            if record and record.store == message.store:
                self.stores.observe(committed_event(record), now)

    def _find(self, prompt, now):
        return FoundPieces(
            held=self.prefixes.decide(PrefixQuery(keys=prompt.keys), now),
            stored=self.stores.decide(StoredPrefixQuery(keys=prompt.keys), now),
            queues=tuple(self._link_queue(store) for store in self.known_stores),
        )

    def _link_queue(self, store):
        return LinkQueueMeasured(
            store=get_link_name(store, Tier.MEMORY),
            size=self.links.backlog(store, TransferKind.FETCH),
            rate=self.links.rate(store),
        )

    def _start_fetch(self, message, reply):
        keys = message.prompt.keys[message.first : message.pieces]
        transfer = secrets.token_hex(TRANSFER_ID_BYTES)
        job = Job(
            transfer,
            message.prompt,
            message.store,
            message.server,
            keys,
            message.kind,
            reply,
        )
        job.tail = message.tail
        if not keys or not self._offer(job):
            return Fetched()
        if reply is not None:
            reply.tag = transfer
        return LATER

    def _offer(self, job):
        now = self.context.timers.now()
        offer = TransferQuery(
            transfer=job.transfer,
            link=job.store,
            kind=job.kind,
            size=len(job.keys) * job.prompt.piece_bytes,
            rank=job.prompt.rank,
            account=job.prompt.account,
            piece_bytes=job.prompt.piece_bytes,
        )
        if not self.links.decide(offer, now):
            return False
        self.jobs[job.transfer] = job
        self._move(job.store, now)
        return True

    def _progress(self, message):
        job = self.jobs.get(message.transfer)
        if job is None:
            return Progress()
        left = len(job.keys) - job.moved
        return Progress(ahead=0, left=left * job.prompt.piece_bytes, pieces=left)

    def _move(self, store, now):
        """Start every chunk that the link may carry now."""
        while True:
            chunk = self.links.decide(NextChunkQuery(link=store), now)
            if not chunk:
                return
            job = self.jobs.get(chunk.transfer)
            if job is None:
                self.links.observe(TransferCancelled(transfer=chunk.transfer), now)
                continue
            self.nursery.start_soon(self.mover.carry, job, chunk)

    def _end_chunk(self, message, now):
        job, chunk = message.job, message.chunk
        job.size += message.size
        job.seconds += message.seconds
        event = ChunkMoved(
            transfer=chunk.transfer, size=message.size, seconds=message.seconds
        )
        self.links.observe(event, now)
        if message.size:
            self.stores.observe(StoreReplied(store=job.store), now)
        if chunk.last or not message.size:
            self._finish(job)
        self._move(job.store, now)

    def _finish(self, job):
        self.jobs.pop(job.transfer, None)
        self.exporter.end(job)
        if job.reply is not None:
            job.reply.set(Fetched(pieces=job.moved, size=job.size, seconds=job.seconds))

    def _cancel(self, message, now):
        job = self.jobs.pop(message.transfer, None)
        self.links.observe(message, now)
        if job is not None:
            self._move(job.store, now)

    def _end_turn(self, message, now):
        prompt = message.prompt
        found = message.cached_tokens // prompt.model.piece_tokens
        outcome = PrefixOutcome(
            server=message.server, expected=message.expected, found=found
        )
        self.prefixes.observe(outcome, now)
        if prompt.session:
            self._note_session(prompt, message.server, now)
        if prompt.keys:
            self.nursery.start_soon(self.exporter.export_new, prompt, message.server)

    def _note_session(self, prompt, server, now):
        wall_time = self.context.timers.wall_time()
        hint = self.sessions.lookup(prompt.account, prompt.session)
        if hint:
            self.exporter.note_return(max(0.0, wall_time - hint.last_served_at), now)
        pieces = len(prompt.keys)
        self.sessions.record(prompt.account, prompt.session, server, pieces, wall_time)
        self.stager.note_used(prompt, now)


def text_piece_bytes(model):
    """Return the bytes of text that one piece covers.

    :param model: a :class:`wasabistage.declarations.Model`.
    :return: a number of bytes.
    """
    return model.piece_tokens * BYTES_PER_TOKEN
