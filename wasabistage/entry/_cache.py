"""The task that knows where cache pieces are and moves them."""

import secrets
from dataclasses import dataclass

import trio

from wasabistage.base import Rank
from wasabistage.cache import (
    BYTES_PER_TOKEN,
    BacklogChanged,
    CacheEvent,
    CacheListing,
    Chunk,
    ChunkMoved,
    CommitRecord,
    Committed,
    CommittedPiece,
    CommittedPrefix,
    Dropped,
    ExportPolicy,
    ExportQuery,
    Import,
    Lift,
    LinkScheduler,
    LongestPrefix,
    NextChunk,
    OfferTransfer,
    PrefixIndex,
    PrefixOutcome,
    RequestListing,
    RequestRecords,
    Returned,
    ServerGone,
    SessionPrefix,
    StageQuery,
    StageUsed,
    StagingPolicy,
    StoreChoice,
    StoreEmptied,
    StoreFailed,
    StoreFault,
    StoreIndex,
    StoreReplied,
    TransferCancelled,
    TransferKind,
    cache_salt,
    decode_record,
    encode_record,
    session_key,
    verify_piece,
    verify_record,
)
from wasabistage.entry._task import LATER, Task
from wasabistage.entry._timer import Tick
from wasabistage.exceptions import WasabistageError
from wasabistage.observe import make_logger
from wasabistage.sessions import SessionTable

TICK_SECONDS = 0.25
TRANSFER_ID_BYTES = 8
MAX_SESSIONS = 100_000
PREFILL_RATE_GUESS = 20_000.0
log = make_logger("cache")


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """What the cache needs to know of a prompt.

    :param account: name of the client account.
    :param model: the :class:`wasabistage.declarations.Model`.
    :param session: name of the session; empty for none.
    :param keys: piece keys.
    :param tokens: prompt length, in tokens.
    :param rank: rank of the call.
    """

    account: str
    model: object
    session: str
    keys: tuple
    tokens: int
    rank: Rank

    @property
    def piece_bytes(self):
        """Bytes of KV cache in one piece."""
        return self.model.piece_tokens * self.model.token_bytes

    @property
    def salt(self):
        """Cache salt of the account, model and version."""
        return cache_salt(self.account, self.model.name, self.model.version)


@dataclass(frozen=True, kw_only=True)
class FindPieces:
    """Asks where a prompt's pieces are; answered by :class:`FoundPieces`.

    :param prompt: the :class:`Prompt`.
    """

    prompt: Prompt


@dataclass(frozen=True, kw_only=True)
class FoundPieces:
    """Where a prompt's pieces are.

    :param held: tuple of :class:`wasabistage.cache.Holding`.
    :param stored: tuple of :class:`wasabistage.cache.StoreHolding`.
    :param queues: bytes ahead of a new fetch by store.
    """

    held: tuple
    stored: tuple
    queues: dict


@dataclass(frozen=True, kw_only=True)
class FetchPieces:
    """Asks to import pieces; answered by :class:`Fetched`.

    :param prompt: the :class:`Prompt`.
    :param store: name of the store.
    :param tail: tail key of the commit record.
    :param server: name of the backend server.
    :param first: first piece to import.
    :param pieces: end of the pieces to import.
    :param kind: why they move.
    """

    prompt: Prompt
    store: str
    tail: str
    server: str
    first: int
    pieces: int
    kind: TransferKind = TransferKind.FETCH


@dataclass(frozen=True, kw_only=True)
class Fetched:
    """How a fetch ended.

    :param pieces: pieces attached.
    :param size: bytes moved.
    :param seconds: time on the wire.
    """

    pieces: int = 0
    size: int = 0
    seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class TurnEnded:
    """Tells that a prompt was answered.

    :param prompt: the :class:`Prompt`.
    :param server: name of the backend server.
    :param expected: pieces that routing expected to be reused.
    :param cached_tokens: prompt tokens that the engine reused.
    """

    prompt: Prompt
    server: str
    expected: int
    cached_tokens: int


@dataclass(frozen=True, kw_only=True)
class SessionAnnounced:
    """Tells that a caller asked for an entry and named a session.

    :param account: name of the client account.
    :param session: name of the session.
    """

    account: str
    session: str


@dataclass(frozen=True, kw_only=True)
class _ChunkDone:
    job: object
    chunk: Chunk
    size: int
    seconds: float


@dataclass(frozen=True, kw_only=True)
class _RecordsListed:
    store: str
    records: tuple


class Job:
    """One transfer under way.

    :param transfer: its identifier.
    :param prompt: the :class:`Prompt`.
    :param store: name of the store.
    :param server: name of the backend server.
    :param keys: the piece keys to move, in order.
    :param kind: why they move.
    :param reply: who waits for its end, or ``None``.
    """

    def __init__(self, transfer, prompt, store, server, keys, kind, reply=None):
        self.transfer = transfer
        self.prompt = prompt
        self.store = store
        self.server = server
        self.keys = keys
        self.kind = kind
        self.reply = reply
        self.record = None
        self.tail = ""
        self.before = ()
        self.written = []
        self.moved = 0
        self.size = 0
        self.seconds = 0.0

    def keys_of(self, chunk):
        """Return the keys whose pieces begin within a chunk.

        :param chunk: a :class:`wasabistage.cache.Chunk`.
        :return: tuple of piece keys.
        """
        step = self.prompt.piece_bytes
        first = -(-chunk.offset // step)
        end = -(-(chunk.offset + chunk.size) // step)
        return self.keys[first:end]


class CacheTask(Task):
    """Owns the indexes of pieces and the links to the stores.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    """

    name = "cache"

    def __init__(self, context):
        super().__init__(context.metrics)
        self.context = context
        self.prefixes = PrefixIndex().reset()
        self.stores = StoreIndex(max_sessions=MAX_SESSIONS).reset()
        self.links = LinkScheduler().reset()
        self.exports = ExportPolicy().reset()
        self.staging = StagingPolicy().reset()
        self.sessions = SessionTable(capacity=MAX_SESSIONS).reset()
        self.jobs = {}
        self.exporting = set()
        self.known_stores = set()
        self.gossip = None

    async def start(self):
        """Begin to tick."""
        timers = self.context.timers
        self.nursery.start_soon(timers.run_subscription, TICK_SECONDS, self._on_tick)

    async def _on_tick(self, tick):
        self.tell(tick)

    async def handle(self, message, reply):
        """Handle a message; see :meth:`Task.handle`."""
        now = self.context.timers.now()
        match message:
            case FindPieces():
                return self._find(message.prompt, now)
            case FetchPieces():
                return self._start_fetch(message, reply, now)
            case CacheEvent() | CacheListing() | ServerGone():
                self.prefixes.observe(message, now)
            case Committed() | Dropped() | StoreFailed() | StoreReplied():
                self.stores.observe(message, now)
            case TransferCancelled():
                self._cancel(message, now)
            case TurnEnded():
                self._end_turn(message, now)
            case SessionAnnounced():
                self._announce(message, now)
            case _ChunkDone():
                self._end_chunk(message, now)
            case _RecordsListed():
                self._take_records(message, now)
            case Tick():
                self._tick(now)

    def _deployment(self):
        return self.context.config.value.deployment

    def _tick(self, now):
        self._follow_stores(now)
        for action in self.prefixes.tick(now) + self.stores.tick(now):
            if isinstance(action, RequestListing):
                self.nursery.start_soon(self._list_pieces, action.server)
            elif isinstance(action, RequestRecords):
                self.nursery.start_soon(self._list_records, action.store)
        self.staging.tick(now)
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
            self.tell(ServerGone(server=name))
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
        queues = {
            store: self.links.backlog(store, TransferKind.FETCH)
            for store in self.known_stores
        }
        return FoundPieces(
            held=self.prefixes.decide(LongestPrefix(keys=prompt.keys), now),
            stored=self.stores.decide(CommittedPrefix(keys=prompt.keys), now),
            queues=queues,
        )

    def _start_fetch(self, message, reply, now):
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
        if not keys or not self._offer(job, now):
            return Fetched()
        if reply is not None:
            reply.tag = transfer
        return LATER

    def _offer(self, job, now):
        offer = OfferTransfer(
            transfer=job.transfer,
            link=job.store,
            kind=job.kind,
            size=len(job.keys) * job.prompt.piece_bytes,
            rank=job.prompt.rank,
            account=job.prompt.account,
        )
        if not self.links.decide(offer, now):
            return False
        self.jobs[job.transfer] = job
        self._move(job.store, now)
        return True

    def _move(self, store, now):
        """Start every chunk that the link may carry now."""
        while True:
            chunk = self.links.decide(NextChunk(link=store), now)
            if not chunk:
                return
            job = self.jobs.get(chunk.transfer)
            if job is None:
                self.links.observe(TransferCancelled(transfer=chunk.transfer), now)
                continue
            self.nursery.start_soon(self._carry, job, chunk)

    async def _carry(self, job, chunk):
        started = self.context.timers.now()
        keys = job.keys_of(chunk)
        try:
            if job.kind is TransferKind.EXPORT:
                size = await self._export_chunk(job, keys, chunk)
            else:
                size = await self._import_chunk(job, keys, chunk)
        except WasabistageError:
            self.tell(StoreFailed(store=job.store, fault=StoreFault.UNREACHABLE))
            size = 0
        seconds = self.context.timers.now() - started
        self.tell(_ChunkDone(job=job, chunk=chunk, size=size, seconds=seconds))

    async def _import_chunk(self, job, keys, chunk):
        deployment = self._deployment()
        store = deployment.stores.get(job.store)
        server = deployment.servers.get(job.server)
        if store is None or server is None:
            return 0
        if job.record is None:
            job.record = await self._read_record(job, store)
        if not job.record:
            return 0
        if not keys:
            return chunk.size
        engine = self.context.engine(server)
        staging_id, read = await engine.stage_pieces(store.address, keys)
        good = self._verified(job, keys, read)
        if good:
            await engine.attach_pieces(staging_id, good, job.prompt.salt)
            self.metrics.count("cache.fetched", len(good))
            job.moved += len(good)
        # A piece that is missing makes the later ones useless.
        return chunk.size if len(good) == len(keys) else 0

    async def _read_record(self, job, store):
        data = await self.context.store(store).read_commit(job.tail)
        record = decode_record(data)
        prompt = job.prompt
        usable = record and verify_record(
            record, prompt.account, prompt.model.name, prompt.model.version, prompt.keys
        )
        if not usable:
            self._reject(
                job, (record or usable).reason if not record else usable.reason
            )
            return None
        return record

    def _verified(self, job, keys, read):
        by_key = {piece.key: piece for piece in read}
        good = []
        for key in keys:
            piece = by_key.get(key)
            generation = piece.generation if piece else None
            size = piece.size if piece else 0
            digest = piece.sha256 if piece else ""
            result = verify_piece(job.record, key, generation, size, digest)
            if not result:
                self._reject(job, result.reason)
                break
            good.append(key)
        return good

    def _reject(self, job, reason):
        self.metrics.count("cache.rejected")
        log.warning("a cache piece was rejected", extra={"reason": reason})
        self.tell(Dropped(store=job.store, tail=job.tail))

    async def _export_chunk(self, job, keys, chunk):
        deployment = self._deployment()
        store = deployment.stores.get(job.store)
        server = deployment.servers.get(job.server)
        if store is None or server is None:
            return 0
        whole = True
        if keys:
            engine = self.context.engine(server)
            written = await engine.export_pieces(store.address, keys, job.prompt.salt)
            job.written.extend(written)
            self.metrics.count("cache.exported", len(written))
            whole = len(written) == len(keys)
        if chunk.last or not whole:
            await self._commit(job, store)
        return chunk.size if whole else 0

    async def _commit(self, job, store):
        pieces = job.before + tuple(
            CommittedPiece(
                key=piece.key,
                size=piece.size,
                digest=piece.sha256,
                generation=piece.generation,
            )
            for piece in job.written
        )
        if not pieces:
            return
        prompt = job.prompt
        record = CommitRecord(
            account=prompt.account,
            model=prompt.model.name,
            version=prompt.model.version,
            session=prompt.session,
            store=job.store,
            pieces=pieces,
        )
        await self.context.store(store).commit(record.tail, encode_record(record))
        event = committed_event(record)
        self.tell(event)
        if self.gossip is not None:
            self.gossip.tell(event)

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
        self.exporting.discard(job.keys[-1])
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
        silence = self._note_session(prompt, message.server, now)
        if prompt.keys:
            self.nursery.start_soon(self._prepare_export, prompt, message, silence)

    def _note_session(self, prompt, server, now):
        if not prompt.session:
            return 0.0
        wall = self.context.timers.wall()
        hint = self.sessions.lookup(prompt.account, prompt.session)
        if hint:
            self.exports.observe(Returned(silence=max(0.0, wall - hint.last_seen)), now)
        pieces = len(prompt.keys)
        self.sessions.record(prompt.account, prompt.session, server, pieces, wall)
        staged = session_key(prompt.account, prompt.model.name, prompt.session)
        self.staging.observe(StageUsed(session=staged), now)
        return 0.0

    async def _prepare_export(self, prompt, message, silence):
        """Queue the export of what no store holds yet."""
        now = self.context.timers.now()
        stored = self.stores.decide(CommittedPrefix(keys=prompt.keys), now)
        best = max(stored, key=lambda item: item.pieces, default=None)
        have = best.pieces if best else 0
        keys = prompt.keys[have:]
        if not keys or keys[-1] in self.exporting:
            return
        store_name = best.store if best else self._choose_store(prompt, now)
        store = self._deployment().stores.get(store_name)
        if store is None:
            return
        if not self._worth_export(prompt, keys, store, silence, now):
            return
        self.exporting.add(keys[-1])
        before = await self._read_before(best, store, prompt)
        if before is None:
            self.exporting.discard(keys[-1])
            return
        if not before:
            keys = prompt.keys
        transfer = secrets.token_hex(TRANSFER_ID_BYTES)
        kind = TransferKind.EXPORT
        job = Job(transfer, prompt, store_name, message.server, keys, kind)
        job.before = before
        if not self._offer(job, self.context.timers.now()):
            self.exporting.discard(keys[-1])

    def _choose_store(self, prompt, now):
        names = self.stores.decide(StoreChoice(session=prompt.keys[0]), now)
        return names[0] if names else ""

    def _worth_export(self, prompt, keys, store, silence, now):
        backlog = self.links.backlog(store.name, TransferKind.EXPORT)
        self.exports.observe(BacklogChanged(size=backlog), now)
        query = ExportQuery(
            session=prompt.session or keys[-1],
            history_tokens=len(prompt.keys) * prompt.model.piece_tokens,
            size=len(keys) * prompt.piece_bytes,
            silence=silence,
            link_rate=store.link_rate,
            prefill_rate=PREFILL_RATE_GUESS,
        )
        return self.exports.decide(query, now)

    async def _read_before(self, best, store, prompt):
        """Return the pieces that an earlier record already commits."""
        if best is None:
            return ()
        try:
            data = await self.context.store(store).read_commit(best.tail)
        except WasabistageError:
            self.tell(Dropped(store=store.name, tail=best.tail))
            return None
        record = decode_record(data)
        if not record:
            return ()
        model = prompt.model
        usable = verify_record(
            record, prompt.account, model.name, model.version, prompt.keys
        )
        whole = usable and len(usable) == best.pieces
        return tuple(usable) if whole else ()

    def _announce(self, message, now):
        for model in self._deployment().models.values():
            session = session_key(message.account, model.name, message.session)
            stored = self.stores.decide(SessionPrefix(session=session), now)
            if stored:
                self._stage(message, model, session, stored, now)

    def _stage(self, message, model, session, stored, now):
        hint = self.sessions.lookup(message.account, message.session)
        query = StageQuery(
            session=session,
            server=hint.server if hint else "",
            piece_bytes=model.piece_tokens * model.token_bytes,
            stored=stored,
        )
        for action in self.staging.decide(query, now):
            if isinstance(action, Lift):
                self.nursery.start_soon(self._lift, action)
            elif isinstance(action, Import) and action.server:
                self.nursery.start_soon(self._stage_import, action, message, model)

    async def _read_staged(self, action):
        store = self._deployment().stores.get(action.store)
        if store is None:
            return None
        try:
            data = await self.context.store(store).read_commit(action.tail)
        except WasabistageError:
            self.tell(Dropped(store=action.store, tail=action.tail))
            return None
        return decode_record(data) or None

    async def _lift(self, action):
        record = await self._read_staged(action)
        if record is None:
            return
        store = self._deployment().stores[action.store]
        with trio.move_on_after(TICK_SECONDS):
            try:
                keys = [piece.key for piece in record.pieces]
                await self.context.store(store).lift(keys)
            except WasabistageError:
                return

    async def _stage_import(self, action, message, model):
        record = await self._read_staged(action)
        if record is None or record.account != message.account:
            return
        if record.version != model.version:
            return
        prompt = Prompt(
            account=record.account,
            model=model,
            session=message.session,
            keys=tuple(piece.key for piece in record.pieces),
            tokens=len(record.pieces) * model.piece_tokens,
            rank=Rank.INTERACTIVE,
        )
        self.tell(
            FetchPieces(
                prompt=prompt,
                store=action.store,
                tail=action.tail,
                server=action.server,
                first=action.first,
                pieces=action.pieces,
                kind=TransferKind.STAGE,
            )
        )


def committed_event(record):
    """Describe a commit record to the index of stores.

    :param record: a :class:`wasabistage.cache.CommitRecord`.
    :return: a :class:`wasabistage.cache.Committed`.
    """
    session = ""
    if record.session:
        session = session_key(record.account, record.model, record.session)
    return Committed(
        store=record.store,
        tail=record.tail,
        pieces=len(record.pieces),
        session=session,
    )


def text_piece_bytes(model):
    """Return the bytes of text that one piece covers.

    :param model: a :class:`wasabistage.declarations.Model`.
    :return: a number of bytes.
    """
    return model.piece_tokens * BYTES_PER_TOKEN
