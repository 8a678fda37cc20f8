"""Moves a session's pieces ahead of its prompt."""

import trio

from wasabistage.base import Rank
from wasabistage.cache import (
    ImportPieces,
    PrefixDropped,
    PrefixQuery,
    StagingPolicy,
    StagingQuery,
    StagingUsed,
    StoredSessionQuery,
    TransferKind,
    decode_record,
    session_key,
)
from wasabistage.entry._cache_messages import FetchPieces, Prompt
from wasabistage.exceptions import WasabistageError

LIFT_SECONDS = 5.0


class Stager:
    """Prepares staging for the cache task, which owns it.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param stores: the task's :class:`wasabistage.cache.StoreIndex`.
    :param prefixes: the task's :class:`wasabistage.cache.PrefixIndex`.
    :param sessions: the task's :class:`wasabistage.sessions.SessionTable`.
    :param tell: function that takes what happened, and :class:`FetchPieces`.
    """

    def __init__(self, context, stores, prefixes, sessions, tell):
        self.context = context
        self.stores = stores
        self.prefixes = prefixes
        self.sessions = sessions
        self.tell = tell
        self.policy = StagingPolicy().reset()

    def tick(self, now):
        """Let unused staging expire.

        :param now: monotonic time, in seconds.
        """
        self.policy.tick(now)

    def note_used(self, prompt, now):
        """Learn that a session's prompt came.

        :param prompt: the :class:`wasabistage.entry._cache_messages.Prompt`.
        :param now: monotonic time, in seconds.
        """
        session = session_key(prompt.account, prompt.model.name, prompt.session)
        self.policy.observe(StagingUsed(session=session), now)

    async def stage(self, account, session):
        """Stage what stores hold of a session.

        :param account: name of the client account.
        :param session: name of the session.
        """
        for model in self.context.config.value.deployment.models.values():
            now = self.context.timers.now()
            key = session_key(account, model.name, session)
            stored = self.stores.decide(StoredSessionQuery(session=key), now)
            if stored:
                await self._stage_model(account, session, model, key, stored)

    async def _stage_model(self, account, session, model, key, stored):
        best = max(stored, key=lambda item: item.pieces)
        record = await self._read_record(best)
        if record is None or record.account != account:
            return
        if record.version != model.version:
            return
        keys = tuple(piece.key for piece in record.pieces)
        now = self.context.timers.now()
        held = self.prefixes.decide(PrefixQuery(keys=keys), now)
        hint = self.sessions.lookup(account, session)
        query = StagingQuery(
            session=key,
            server=self._likely_server(hint, held),
            piece_bytes=model.piece_tokens * model.token_bytes,
            stored=(best,),
            held=held,
        )
        for action in self.policy.decide(query, now):
            if isinstance(action, ImportPieces):
                self._start_import(action, account, session, model, keys)
            else:
                await self._lift(action.store, keys)

    def _likely_server(self, hint, held):
        """Return the server that probably gets the prompt, or an empty name."""
        best = max(held, key=lambda item: item.pieces, default=None)
        if best is not None:
            return best.server
        return hint.server if hint else ""

    def _start_import(self, action, account, session, model, keys):
        if not action.server:
            return
        prompt = Prompt(
            account=account,
            model=model,
            session=session,
            keys=keys,
            tokens=len(keys) * model.piece_tokens,
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

    async def _read_record(self, holding):
        store = self.context.config.value.deployment.stores.get(holding.store)
        if store is None:
            return None
        try:
            data = await self.context.store(store).read_commit(holding.tail)
        except WasabistageError:
            self.tell(PrefixDropped(store=holding.store, tail=holding.tail))
            return None
        return decode_record(data) or None

    async def _lift(self, name, keys):
        store = self.context.config.value.deployment.stores.get(name)
        if store is None:
            return
        with trio.move_on_after(LIFT_SECONDS):
            try:
                await self.context.store(store).lift(keys)
            except WasabistageError:
                return
