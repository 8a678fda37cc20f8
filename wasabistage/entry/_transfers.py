"""Carries chunks of cache pieces between stores and engines.

Engines move the bytes themselves; this module tells them what to move, and lets no
piece be used or committed that was not verified.
"""

from dataclasses import dataclass

from wasabistage.cache import (
    Chunk,
    CommitRecord,
    CommittedPiece,
    PrefixCommitted,
    PrefixDropped,
    StoreFailed,
    StoreFault,
    TransferKind,
    decode_record,
    encode_record,
    session_key,
    verify_piece,
    verify_record,
)
from wasabistage.exceptions import WasabistageError
from wasabistage.observe import make_logger

log = make_logger("cache")


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


@dataclass(frozen=True, kw_only=True)
class ChunkDone:
    """Tells how a chunk ended.

    :param job: the :class:`Job`.
    :param chunk: the :class:`wasabistage.cache.Chunk`.
    :param size: bytes moved; 0 for a failure.
    :param seconds: time on the wire.
    """

    job: Job
    chunk: Chunk
    size: int
    seconds: float


class ChunkMover:
    """Carries chunks out; holds no state between them.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param tell: function that takes what happened, for the cache task.
    :param spread: function that takes a commit record's event, for the peers.
    """

    def __init__(self, context, tell, spread):
        self.context = context
        self.tell = tell
        self.spread = spread

    async def carry(self, job, chunk):
        """Carry one chunk out and tell how it ended.

        :param job: the :class:`Job`.
        :param chunk: a :class:`wasabistage.cache.Chunk`.
        """
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
        done = ChunkDone(job=job, chunk=chunk, size=size, seconds=seconds)
        self.tell(done)

    async def _import_chunk(self, job, keys, chunk):
        deployment = self.context.config.value.deployment
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
            self.context.metrics.count("cache.fetched", len(good))
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
        self.context.metrics.count("cache.rejected")
        log.warning("a cache piece was rejected", extra={"reason": reason})
        self.tell(PrefixDropped(store=job.store, tail=job.tail))

    async def _export_chunk(self, job, keys, chunk):
        deployment = self.context.config.value.deployment
        store = deployment.stores.get(job.store)
        server = deployment.servers.get(job.server)
        if store is None or server is None:
            return 0
        whole = True
        if keys:
            engine = self.context.engine(server)
            written = await engine.export_pieces(store.address, keys, job.prompt.salt)
            job.written.extend(written)
            self.context.metrics.count("cache.exported", len(written))
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
        self.spread(event)


def committed_event(record):
    """Describe a commit record to the index of stores.

    :param record: a :class:`wasabistage.cache.CommitRecord`.
    :return: a :class:`wasabistage.cache.PrefixCommitted`.
    """
    session = ""
    if record.session:
        session = session_key(record.account, record.model, record.session)
    return PrefixCommitted(
        store=record.store,
        tail=record.tail,
        pieces=len(record.pieces),
        session=session,
    )
