"""Decides which new pieces of an answered prompt are copied to a store."""

import secrets

from wasabistage.cache import (
    BacklogChanged,
    ExportPolicy,
    ExportQuery,
    PrefixDropped,
    SessionReturned,
    StoredPrefixQuery,
    StoreRankingQuery,
    TransferKind,
    decode_record,
    verify_record,
)
from wasabistage.entry._transfers import Job
from wasabistage.exceptions import WasabistageError

TRANSFER_ID_BYTES = 8
PREFILL_RATE_GUESS = 20_000.0  # tokens a second


class Exporter:
    """Prepares exports for the cache task, which owns it.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param stores: the task's :class:`wasabistage.cache.StoreIndex`.
    :param links: the task's link scheduler.
    :param offer: function that queues a :class:`Job`; ``False`` if there is no room.
    :param tell: function that takes what happened.
    """

    def __init__(self, context, stores, links, offer, tell):
        self.context = context
        self.stores = stores
        self.links = links
        self.offer = offer
        self.tell = tell
        self.policy = ExportPolicy().reset()
        self.under_way = set()

    def note_return(self, idle_seconds, now):
        """Learn that a session came back.

        :param idle_seconds: seconds since its last turn.
        :param now: monotonic time, in seconds.
        """
        self.policy.observe(SessionReturned(idle_seconds=idle_seconds), now)

    def end(self, job):
        """Note that a transfer ended.

        :param job: the :class:`Job`.
        """
        self.under_way.discard(job.keys[-1])

    async def export_new(self, prompt, server):
        """Queue the export of what no store holds yet.

        :param prompt: the :class:`wasabistage.entry._cache_messages.Prompt`.
        :param server: name of the backend server that holds its pieces.
        """
        now = self.context.timers.now()
        best = self._best_stored(prompt, now)
        have = best.pieces if best else 0
        keys = prompt.keys[have:]
        if not keys or keys[-1] in self.under_way:
            return
        store = self._choose_store(best, prompt, now)
        if store is None or not self._is_worth(prompt, keys, store, now):
            return
        self.under_way.add(keys[-1])
        before = await self._read_before(best, store, prompt)
        job = self._make_job(prompt, server, store, keys, before)
        if job is None or not self.offer(job):
            self.under_way.discard(keys[-1])

    def _best_stored(self, prompt, now):
        stored = self.stores.decide(StoredPrefixQuery(keys=prompt.keys), now)
        return max(stored, key=lambda item: item.pieces, default=None)

    def _choose_store(self, best, prompt, now):
        stores = self.context.config.value.deployment.stores
        if best is not None:
            return stores.get(best.store)
        names = self.stores.decide(StoreRankingQuery(session=prompt.keys[0]), now)
        return stores.get(names[0]) if names else None

    def _is_worth(self, prompt, keys, store, now):
        backlog = self.links.backlog(store.name, TransferKind.EXPORT)
        self.policy.observe(BacklogChanged(size=backlog), now)
        query = ExportQuery(
            session=prompt.session or keys[-1],
            history_tokens=len(prompt.keys) * prompt.model.piece_tokens,
            size=len(keys) * prompt.piece_bytes,
            idle_seconds=0.0,
            link_rate=store.link_rate,
            prefill_rate=PREFILL_RATE_GUESS,
        )
        return self.policy.decide(query, now)

    def _make_job(self, prompt, server, store, keys, before):
        if before is None:
            return None
        transfer = secrets.token_hex(TRANSFER_ID_BYTES)
        # Without the earlier pieces' record the whole prefix is written anew.
        moved = keys if before else prompt.keys
        job = Job(transfer, prompt, store.name, server, moved, TransferKind.EXPORT)
        job.before = before
        return job

    async def _read_before(self, best, store, prompt):
        """Return the pieces that an earlier record commits; ``None`` on failure."""
        if best is None:
            return ()
        try:
            data = await self.context.store(store).read_commit(best.tail)
        except WasabistageError:
            self.tell(PrefixDropped(store=store.name, tail=best.tail))
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
