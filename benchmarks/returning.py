"""Returning prompts: reuse, first-token time and link use against baselines.

Seeded arrivals drive the real policies over a small queue model: model servers that
compute the prompts of the best rank in turns of one chunk each (continuous
batching), with an LRU prefix cache; stores with memory,
disk and one serial link each. Decoding takes no server time here. Cache events come
late and some are lost; load reports lag. Each entry instance has its own router;
the indexes and the link queues are shared, as if heard and kept alike by all.
"""

import argparse
import heapq
import json
import platform
import random
from collections import OrderedDict
from dataclasses import dataclass, field, replace
from hashlib import blake2b
from statistics import median

from wasabistage.base import Rank
from wasabistage.cache import (
    BacklogChanged,
    CacheEvent,
    CacheListing,
    ExportAll,
    ExportPolicy,
    ExportQuery,
    FifoLinkScheduler,
    ImportPieces,
    LinkScheduler,
    NextChunkQuery,
    NoExport,
    NoStaging,
    PrefixCommitted,
    PrefixDropped,
    PrefixIndex,
    PrefixOutcome,
    PrefixQuery,
    ServerHolding,
    SessionReturned,
    StagingPolicy,
    StagingQuery,
    StagingUsed,
    StoredPrefixQuery,
    StoredSessionQuery,
    StoreEmptied,
    StoreFailed,
    StoreFault,
    StoreIndex,
    StoreRankingQuery,
    StoreReplied,
    Tier,
    TransferCancelled,
    TransferKind,
    TransferPromoted,
    TransferQuery,
    session_key,
)
from wasabistage.cache import ChunkMoved as Moved
from wasabistage.routing import (
    Candidate,
    Dispatched,
    FetchCompleted,
    FetchProgressQuery,
    FirstTokenArrived,
    FirstTokenEstimator,
    LeastLoadedRouter,
    LinkQueueMeasured,
    LoadReport,
    PeerDispatched,
    Plan,
    PredictiveRouter,
    RandomRouter,
    RouteQuery,
    StickyRouter,
    get_link_name,
)

PIECE_TOKENS = 2048
PIECE_BYTES = 64 << 20
PREFILL_RATE = 8000.0
CHUNK_TOKENS = 1024
LINK_RATE = 1.25e9
DISK_RATE = 2e9
SLOW_DISK_RATE = 5e8
SERVERS = 6
STORES = 2
ENTRIES = 7
SERVER_PIECES = 96
MEMORY_PIECES = 600
DISK_PIECES = 6000
OVERHEAD = 0.02
DECODE_SECONDS = 4.0
REPORT_PERIOD = 0.5
REPORT_LAG = 0.3
GOSSIP_DELAY = 0.1
EVENT_LOSS = 0.02
CHUNK_SECONDS = 0.02
LINK_POLL = 0.02
LISTING_SECONDS = 0.2
MAX_PROMPT = 100_000
WARM_SECONDS = 900.0
RUN_SECONDS = 2100.0
SESSION_RATE = 0.42
MEAN_TURNS = 8
ACCOUNTS = 10


@dataclass(frozen=True, kw_only=True)
class Turn:
    """One prompt of a session.

    :param session: session key.
    :param account: client account.
    :param rank: rank of the call.
    :param at: arrival, in seconds.
    :param lead: seconds by which the question for an entry came before; 0 for none.
    :param idle_seconds: seconds since the session's last turn; 0 for a first one.
    :param history: tokens that the session had before.
    :param prompt: prompt tokens, history included.
    :param total: tokens after the answer.
    """

    session: str
    account: str
    rank: Rank
    at: float
    lead: float
    idle_seconds: float
    history: int
    prompt: int
    total: int


@dataclass(frozen=True, kw_only=True)
class Arm:
    """One way of serving the same arrivals.

    :param name: name in the table.
    :param router: router class.
    :param export: export policy.
    :param staging: whether to stage ahead.
    :param link: link scheduler class.
    :param half_gone: whether one store is lost at the end of the warm-up.
    :param link_share: rate of the links after the warm-up, against normal.
    :param disk_rate: rate of each store's disk, in bytes a second.
    """

    name: str
    router: type = PredictiveRouter
    export: type = ExportPolicy
    staging: bool = True
    link: type = LinkScheduler
    half_gone: bool = False
    link_share: float = 1.0
    disk_rate: float = DISK_RATE


ARMS = (
    Arm(name="predictive + export + staging"),
    Arm(name="  without staging", staging=False),
    Arm(name="  export all", export=ExportAll),
    Arm(name="  first-come link", link=FifoLinkScheduler),
    Arm(name="no store, predictive", export=NoExport, staging=False),
    Arm(name="no store, sticky", router=StickyRouter, export=NoExport, staging=False),
    Arm(
        name="no store, least loaded",
        router=LeastLoadedRouter,
        export=NoExport,
        staging=False,
    ),
    Arm(name="no store, random", router=RandomRouter, export=NoExport, staging=False),
    Arm(name="slow disks", disk_rate=SLOW_DISK_RATE),
    Arm(name="half the store gone", half_gone=True),
    Arm(name="link at a tenth", link_share=0.1),
    Arm(name="link at a tenth, export all", link_share=0.1, export=ExportAll),
)


def make_turns(seed, seconds=RUN_SECONDS, rate=SESSION_RATE):
    """Draw arrivals with heavy-tailed gaps, lengths and account sizes.

    :param seed: seed.
    :param seconds: end of the arrivals, in seconds.
    :param rate: sessions started a second.
    :return: a list of :class:`Turn`, in order of arrival.
    """
    draw = random.Random(seed)
    shares = [1.0 / (place + 1) for place in range(ACCOUNTS)]
    turns, start, number = [], draw.expovariate(rate), 0
    while start < seconds:
        account = draw.choices(range(ACCOUNTS), shares)[0]
        rank = draw.choices(list(Rank), (0.1, 0.75, 0.15))[0]
        session = session_key(f"a{account}", "m", str(number))
        turns += _make_session(draw, session, f"a{account}", rank, start)
        start += draw.expovariate(rate)
        number += 1
    turns = [turn for turn in turns if turn.at < seconds]
    return sorted(turns, key=lambda turn: turn.at)


def _make_session(draw, session, account, rank, at):
    turns, history, idle_seconds = [], 0, 0.0
    size = int(min(draw.lognormvariate(9.0, 1.0), MAX_PROMPT))
    while draw.random() > 1.0 / MEAN_TURNS or not turns:
        added = size if not history else int(draw.lognormvariate(5.7, 0.8))
        answer = int(draw.lognormvariate(5.3, 0.5))
        prompt = min(history + added, MAX_PROMPT)
        turn = Turn(
            session=session,
            account=account,
            rank=rank,
            at=at,
            lead=draw.uniform(0.1, 2.0) if draw.random() < 0.7 else 0.0,
            idle_seconds=idle_seconds,
            history=history,
            prompt=prompt,
            total=prompt + answer,
        )
        turns.append(turn)
        history = min(turn.total, MAX_PROMPT)
        idle_seconds = 20.0 + draw.lognormvariate(4.6, 1.4)
        at += idle_seconds
    return turns


@dataclass
class Job:
    """A prompt on its way through a server."""

    turn: Turn
    request: str
    entry: int
    server: str
    tokens: int
    expected: int
    keys: tuple
    ready: bool = True
    fetched: bool = False
    store: str = ""
    left: int = -1
    computed: int = 0


@dataclass
class Engine:
    """A model server: prompts of the best rank in turns of one chunk, LRU cache."""

    name: str
    cache: OrderedDict = field(default_factory=OrderedDict)
    queue: list = field(default_factory=list)
    job: Job | None = None
    sequence: int = 0

    def prefix(self, keys):
        """Return how many pieces are cached, and mark them used."""
        count = 0
        for key in keys:
            if key not in self.cache:
                break
            self.cache.move_to_end(key)
            count += 1
        return count

    def insert(self, keys):
        """Cache pieces; return those stored and those removed."""
        stored = [key for key in keys if key not in self.cache]
        for key in keys:
            self.cache[key] = None
            self.cache.move_to_end(key)
        removed = []
        while len(self.cache) > SERVER_PIECES:
            removed.append(self.cache.popitem(last=False)[0])
        return stored, removed

    def backlog(self):
        """Return the tokens queued and not yet computed."""
        jobs = self.queue + ([self.job] if self.job else [])
        return sum(job.left if job.left >= 0 else job.tokens for job in jobs)


@dataclass
class StoreModel:
    """A store: sessions with their pieces, LRU from memory to disk to nothing."""

    name: str
    memory: OrderedDict = field(default_factory=OrderedDict)
    disk: OrderedDict = field(default_factory=OrderedDict)
    alive: bool = True
    busy: bool = False
    moved: dict = field(default_factory=dict)

    def pieces(self, session):
        """Return the pieces held of a session, in any tier."""
        return self.memory.get(session, self.disk.get(session, 0))

    def put(self, session, pieces):
        """Hold a session in memory, pushing old ones down."""
        self.disk.pop(session, None)
        self.memory[session] = pieces
        self.memory.move_to_end(session)
        while sum(self.memory.values()) > MEMORY_PIECES and len(self.memory) > 1:
            old, count = self.memory.popitem(last=False)
            self.disk[old] = count
        while sum(self.disk.values()) > DISK_PIECES:
            self.disk.popitem(last=False)


@dataclass
class Tally:
    """What one run measured, after the warm-up."""

    waits: list = field(default_factory=list)
    urgent: list = field(default_factory=list)
    prompt: int = 0
    recomputed: int = 0
    floor: int = 0
    fetches: int = 0
    behind: int = 0
    lost: int = 0
    staged: int = 0
    used: int = 0
    given_up: int = 0


class Run:
    """One arm over one set of arrivals.

    :param arm: an :class:`Arm`.
    :param turns: list of :class:`Turn`.
    :param seed: seed of losses, delays and spreading.
    :param warm: end of the warm-up, in seconds.
    """

    def __init__(self, arm, turns, seed, warm=WARM_SECONDS):
        self.arm, self.turns, self.warm = arm, turns, warm
        self.draw = random.Random(seed)
        self.now, self.order, self.events = 0.0, 0, []
        self.tally, self.keys = Tally(), {}
        self.engines = {f"m{n}": Engine(f"m{n}") for n in range(SERVERS)}
        self.stores = {f"s{n}": StoreModel(f"s{n}") for n in range(STORES)}
        self.routers = [
            arm.router(
                estimator=FirstTokenEstimator(
                    prefill_rate=PREFILL_RATE, link_rate=LINK_RATE
                )
            ).reset()
            for _ in range(ENTRIES)
        ]
        self.index = PrefixIndex(max_pieces=4 * SERVER_PIECES).reset()
        self.store_index = StoreIndex(max_sessions=20_000).reset()
        self.export = arm.export(max_backlog=200 * PIECE_BYTES).reset()
        self.staging = (StagingPolicy() if arm.staging else NoStaging()).reset()
        extra = {"chunk_seconds": CHUNK_SECONDS} if arm.link is LinkScheduler else {}
        self.link = arm.link(link_rate=LINK_RATE, **extra).reset()
        self.on_end, self.staged, self.wire = {}, {}, {}
        for name in self.stores:
            self.store_index.observe(StoreReplied(store=name), 0.0)

    def later(self, seconds, action, *arguments):
        """Call something after some seconds."""
        self.order += 1
        entry = (self.now + seconds, self.order, action, arguments)
        heapq.heappush(self.events, entry)

    def play(self):
        """Run to the end.

        :return: a :class:`Tally`.
        """
        for turn in self.turns:
            self.later(turn.at, self.arrive, turn)
            if turn.lead and turn.history:
                self.later(turn.at - turn.lead, self.ask, turn)
        self.later(0.0, self.report)
        self.later(1.0, self.second)
        self.later(self.warm, self.fault)
        end = self.turns[-1].at + 60.0
        while self.events and self.events[0][0] <= end:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.tally

    def fault(self):
        """Apply the arm's fault, and start counting the links."""
        for store in self.stores.values():
            store.moved.clear()
        if self.arm.half_gone:
            store = self.stores["s0"]
            store.alive = False
            store.memory.clear()
            store.disk.clear()

    def rate(self):
        """Return the true rate of the links now."""
        return LINK_RATE * (self.arm.link_share if self.now >= self.warm else 1.0)

    def names(self, session, tokens):
        """Return the piece keys of a session's first tokens."""
        known = self.keys.setdefault(session, [])
        while len(known) < tokens // PIECE_TOKENS:
            field = f"{session}/{len(known)}".encode()
            known.append(blake2b(field, digest_size=16).hexdigest())
        return tuple(known[: tokens // PIECE_TOKENS])

    def report(self):
        """Send every server's load, with the lag."""
        for engine in self.engines.values():
            load = LoadReport(
                server=engine.name,
                version="v1",
                queued_tokens=engine.backlog(),
                running=len(engine.queue) + bool(engine.job),
                lag=REPORT_LAG,
            )
            self.later(REPORT_LAG, self.deliver_report, load)
        self.later(REPORT_PERIOD, self.report)

    def deliver_report(self, load):
        """Hand a load report to every entry."""
        for router in self.routers:
            router.observe(load, self.now)

    def second(self):
        """Tick the policies and carry their actions out."""
        for action in self.index.tick(self.now):
            self.later(LISTING_SECONDS, self.list_server, action.server)
        self.store_index.tick(self.now)
        self.staging.tick(self.now)
        self.later(1.0, self.second)

    def list_server(self, server):
        """Answer a request for a listing."""
        engine = self.engines[server]
        listing = CacheListing(
            server=server,
            incarnation="1",
            sequence=engine.sequence,
            keys=tuple(engine.cache),
        )
        self.index.observe(listing, self.now)

    def publish(self, engine, keys):
        """Cache pieces at a server and publish the change, late or never."""
        stored, removed = engine.insert(keys)
        if not stored and not removed:
            return
        engine.sequence += 1
        event = CacheEvent(
            server=engine.name,
            incarnation="1",
            sequence=engine.sequence,
            stored=tuple(stored),
            removed=tuple(removed),
        )
        if self.draw.random() >= EVENT_LOSS:
            delay = self.draw.uniform(0.05, 1.0)
            self.later(delay, self.deliver_event, event)

    def deliver_event(self, event):
        """Hand a cache event to the index."""
        self.index.observe(event, self.now)

    def query(self, turn, keys, stored, held):
        """Make the route query of a prompt."""
        return RouteQuery(
            account=turn.account,
            model="m",
            version="v1",
            session=turn.session,
            piece_keys=keys,
            prompt_tokens=turn.prompt,
            piece_tokens=PIECE_TOKENS,
            piece_bytes=PIECE_BYTES,
            rank=turn.rank,
            candidates=tuple(Candidate(server=n, version="v1") for n in self.engines),
            held=held,
            stored=stored,
            draw=self.draw.random(),
        )

    def route(self, entry, query):
        """Tell the entry's router of the link queues, then decide."""
        router = self.routers[entry]
        for name in self.stores:
            size = self.link.backlog(name, TransferKind.FETCH)
            link = self.link.links_.get(name)
            rate = link.rate if link else 0.0
            for tier in Tier:
                queue = LinkQueueMeasured(
                    store=get_link_name(name, tier), size=size, rate=rate
                )
                router.observe(queue, self.now)
        return router.decide(query, self.now)

    def ask(self, turn):
        """A caller asks for an entry and names a session: stage ahead."""
        stored = self.store_index.decide(
            StoredSessionQuery(session=turn.session), self.now
        )
        if not stored or turn.session in self.staged:
            return
        keys = self.names(turn.session, turn.history)
        held = self.index.decide(PrefixQuery(keys=keys), self.now)
        entry = self.draw.randrange(ENTRIES)
        decision = self.route(entry, self.query(turn, keys, stored, held))
        backlog = self.link.backlog(stored[0].store, TransferKind.STAGE)
        actions = self.staging.decide(
            StagingQuery(
                session=turn.session,
                server=decision.server,
                piece_bytes=PIECE_BYTES,
                stored=stored,
                held=tuple(item for item in held if item.server == decision.server),
                queue_seconds=backlog / LINK_RATE,
            ),
            self.now,
        )
        if decision.plan is not Plan.FETCH:
            return
        for action in actions:
            if isinstance(action, ImportPieces):
                self.stage(turn, action)

    def stage(self, turn, action):
        """Move pieces to a server before the prompt comes."""
        name = f"stage/{turn.session}/{turn.at}"
        self.tally.staged += self.now >= self.warm
        self.staged[turn.session] = (action.server, action.pieces, name)
        keys = self.names(turn.session, turn.history)[: action.pieces]
        offer = TransferQuery(
            transfer=name,
            link=action.store,
            kind=TransferKind.STAGE,
            size=max(1, action.pieces - action.first) * PIECE_BYTES,
            rank=turn.rank,
            account=turn.account,
        )
        self.later(30.0 + turn.lead, self.staged.pop, turn.session, None)
        self.read(action.store, turn.session, action.pieces, offer, keys, action.server)

    def read(self, store_name, session, pieces, offer, keys, server, job=None):
        """Read pieces from a store, lifted from disk first where needed."""
        store = self.stores[store_name]
        if not store.alive or store.pieces(session) < pieces:
            self.lose(store, keys, job)
            return
        delay = 0.0
        if session in store.disk:
            delay = pieces * PIECE_BYTES / self.arm.disk_rate
            store.put(session, store.disk[session])
        self.wire[offer.transfer] = delay
        done = (self.read_done, store, session, pieces, offer, keys, server, job)
        self.on_end[offer.transfer] = done
        self.later(delay, self.offer, offer, job)

    def lose(self, store, keys, job):
        """A read found no whole record: the rest is recomputed."""
        self.tally.lost += 1
        if not store.alive:
            fault = StoreFailed(store=store.name, fault=StoreFault.UNREACHABLE)
            self.store_index.observe(fault, self.now)
            self.store_index.observe(StoreEmptied(store=store.name), self.now)
        elif keys:
            dropped = PrefixDropped(store=store.name, tail=keys[-1])
            self.store_index.observe(dropped, self.now)
        self.release(job)

    def read_done(self, store, session, pieces, offer, keys, server, job):
        """Import what was read, if the store still has it after the read."""
        if not store.alive or store.pieces(session) < pieces:
            self.lose(store, keys, job)
            return
        self.store_index.observe(StoreReplied(store=store.name), self.now)
        self.publish(self.engines[server], keys)
        if job:
            seconds = self.wire.pop(offer.transfer)
            fetch = FetchCompleted(store=job.store, size=offer.size, seconds=seconds)
            self.routers[job.entry].observe(fetch, self.now)
        self.release(job)

    def release(self, job):
        """Let a job that waited for a fetch be computed."""
        if job:
            job.ready = True
            self.start(self.engines[job.server])

    def offer(self, offer, job=None):
        """Queue a transfer on its link."""
        if not self.link.decide(offer, self.now):
            self.on_end.pop(offer.transfer, None)
            self.release(job)
            return
        self.pump(self.stores[offer.link])

    def pump(self, store):
        """Move the link's next chunk if the link is free."""
        if store.busy:
            return
        chunk = self.link.decide(NextChunkQuery(link=store.name), self.now)
        if not chunk:
            if self.link.links_[store.name].waiting:
                store.busy = True
                self.later(LINK_POLL, self.free, store)
            return
        store.busy = True
        if chunk.kind is not TransferKind.FETCH and self.now >= self.warm:
            self.tally.behind += self.link.backlog(store.name, TransferKind.FETCH) > 0
        store.moved[chunk.kind] = store.moved.get(chunk.kind, 0) + chunk.size
        seconds = chunk.size / self.rate()
        self.later(seconds, self.moved, store, chunk, seconds)

    def free(self, store):
        """Ask a link again that had to wait for its budget."""
        store.busy = False
        self.pump(store)

    def moved(self, store, chunk, seconds):
        """A chunk is through."""
        store.busy = False
        event = Moved(transfer=chunk.transfer, size=chunk.size, seconds=seconds)
        self.link.observe(event, self.now)
        if chunk.transfer in self.wire:
            self.wire[chunk.transfer] += seconds
        if chunk.last:
            action, *arguments = self.on_end.pop(chunk.transfer, (None,))
            if action:
                action(*arguments)
        self.pump(store)

    def arrive(self, turn):
        """A prompt arrives: route it and start its fetch."""
        entry = self.draw.randrange(ENTRIES)
        keys = self.names(turn.session, turn.prompt)
        held = self.index.decide(PrefixQuery(keys=keys), self.now)
        stored = self.store_index.decide(StoredPrefixQuery(keys=keys), self.now)
        staged = self.staged.pop(turn.session, None)
        if staged:
            own = ServerHolding(server=staged[0], pieces=staged[1], trust=1.0)
            held = (*(item for item in held if item.server != staged[0]), own)
        if turn.history:
            self.export.observe(
                SessionReturned(idle_seconds=turn.idle_seconds), self.now
            )
        decision = self.route(entry, self.query(turn, keys, stored, held))
        request = f"{turn.session}/{turn.at}"
        job = Job(
            turn,
            request,
            entry,
            decision.server,
            decision.tokens,
            decision.pieces,
            keys,
        )
        sent = Dispatched(
            request=request, server=decision.server, tokens=decision.tokens
        )
        self.routers[entry].observe(sent, self.now)
        self.later(GOSSIP_DELAY, self.gossip, entry, sent)
        if staged and staged[0] == decision.server:
            self.use_staged(job, staged[2])
        elif decision.plan is Plan.FETCH:
            self.fetch(job, decision)
        engine = self.engines[decision.server]
        engine.queue.append(job)
        self.start(engine)

    def gossip(self, speaker, sent):
        """The other entries hear what one sent."""
        event = PeerDispatched(server=sent.server, tokens=sent.tokens, lag=GOSSIP_DELAY)
        for entry, router in enumerate(self.routers):
            if entry != speaker:
                router.observe(event, self.now)

    def use_staged(self, job, name):
        """Wait for staging that is not through, at the prompt's own rank."""
        self.tally.used += self.now >= self.warm
        self.staging.observe(StagingUsed(session=job.turn.session), self.now)
        if name not in self.on_end:
            return
        job.ready, job.fetched = False, True
        action, *arguments = self.on_end[name]
        self.on_end[name] = (action, *arguments[:-1], job)
        job.store = arguments[0].name
        self.later(0.0, self.check_fetch, name)
        promoted = TransferPromoted(transfer=name, rank=job.turn.rank)
        self.link.observe(promoted, self.now)

    def fetch(self, job, decision):
        """Fetch pieces for a job that is queued meanwhile."""
        job.ready, job.fetched = False, True
        stored = self.stores[decision.store]
        tier = Tier.DISK if job.turn.session in stored.disk else Tier.MEMORY
        job.store = get_link_name(decision.store, tier)
        self.tally.fetches += self.now >= self.warm
        offer = TransferQuery(
            transfer=f"fetch/{job.request}",
            link=decision.store,
            kind=TransferKind.FETCH,
            size=decision.fetched * PIECE_BYTES,
            rank=job.turn.rank,
            account=job.turn.account,
        )
        keys = job.keys[: decision.pieces]
        session = job.turn.session
        check = decision.check_fetch_after
        self.later(check, self.check_fetch, offer.transfer)
        self.read(
            decision.store, session, decision.pieces, offer, keys, job.server, job
        )

    def check_fetch(self, name):
        """Ask whether an unfinished fetch goes on."""
        if name not in self.on_end:
            return
        job = self.on_end[name][-1]
        left = self.link.left(name)
        query = FetchProgressQuery(
            server=job.server,
            store=job.store,
            ahead=self.link.ahead(name),
            size=left,
            tokens=-(-left // PIECE_BYTES) * PIECE_TOKENS,
        )
        verdict = self.routers[job.entry].estimator_.decide(query, self.now)
        if verdict:
            self.later(verdict.check_after, self.check_fetch, name)
        else:
            self.give_up(name)

    def give_up(self, name):
        """End a fetch; keep the pieces that are there."""
        _, store, _, pieces, offer, keys, server, job = self.on_end.pop(name)
        lacking = -(-self.link.left(name) // PIECE_BYTES)
        self.link.observe(TransferCancelled(transfer=name), self.now)
        self.tally.given_up += self.now >= self.warm
        if store.alive and store.pieces(job.turn.session) >= pieces:
            self.publish(self.engines[server], keys[: pieces - lacking])
        self.release(job)

    def start(self, engine):
        """Compute a chunk of the next ready job of the best rank."""
        ready = [job for job in engine.queue if job.ready]
        if engine.job or not ready:
            return
        job = min(ready, key=lambda item: item.turn.rank)
        engine.queue.remove(job)
        engine.job = job
        if job.left < 0:
            self.begin(engine, job)
        chunk = min(job.left, CHUNK_TOKENS)
        self.later(chunk / PREFILL_RATE, self.step, engine, job, chunk)

    def begin(self, engine, job):
        """Look up what the server's own cache saves."""
        reused = engine.prefix(job.keys)
        saved = min(reused * PIECE_TOKENS, job.turn.prompt - 1)
        job.left = job.computed = job.turn.prompt - saved
        found = min(reused, job.expected)
        outcome = PrefixOutcome(server=engine.name, expected=job.expected, found=found)
        self.index.observe(outcome, self.now)

    def step(self, engine, job, chunk):
        """A chunk is computed; the job takes its turn again or is through."""
        engine.job = None
        job.left -= chunk
        if job.left > 0:
            engine.queue.append(job)
        else:
            self.first_token(engine, job)
        self.start(engine)

    def first_token(self, engine, job):
        """The first token is there; the answer follows."""
        turn, wait = job.turn, self.now + OVERHEAD - job.turn.at
        event = FirstTokenArrived(
            request=job.request,
            seconds=wait,
            computed=job.computed,
            learn=not job.fetched,
        )
        self.routers[job.entry].observe(event, self.now)
        self.publish(engine, job.keys)
        if turn.at >= self.warm:
            self.measure(turn, wait, job.computed)
        self.later(DECODE_SECONDS, self.answered, engine, turn)

    def measure(self, turn, wait, computed):
        """Count one prompt."""
        tally = self.tally
        tally.prompt += turn.prompt
        if not turn.history:
            return
        tally.waits.append(wait)
        if turn.rank is Rank.URGENT:
            tally.urgent.append(wait)
        reused = turn.prompt - computed
        tally.recomputed += max(0, turn.history - reused)
        tally.floor += turn.history % PIECE_TOKENS

    def answered(self, engine, turn):
        """The answer is complete: its pieces are cached, and maybe exported."""
        self.publish(engine, self.names(turn.session, turn.total))
        self.offer_export(turn.session, engine, turn)

    def offer_export(self, session, engine, turn):
        """Export the pieces that the session's store lacks, if worth it."""
        ranked = self.store_index.decide(StoreRankingQuery(session=session), self.now)
        pieces = turn.total // PIECE_TOKENS
        if not ranked or not pieces:
            return
        store = self.stores[ranked[0]]
        lacking = pieces - store.pieces(session)
        if lacking <= 0:
            return
        backlog = self.link.backlog(store.name, TransferKind.EXPORT)
        self.export.observe(BacklogChanged(size=backlog), self.now)
        query = ExportQuery(
            session=session,
            history_tokens=pieces * PIECE_TOKENS,
            size=lacking * PIECE_BYTES,
            idle_seconds=DECODE_SECONDS,
            link_rate=self.link.links_[store.name].rate
            if store.name in self.link.links_
            else LINK_RATE,
            prefill_rate=PREFILL_RATE,
        )
        if not self.export.decide(query, self.now):
            return
        offer = TransferQuery(
            transfer=f"export/{session}/{self.now}",
            link=store.name,
            kind=TransferKind.EXPORT,
            size=query.size,
            account=turn.account,
        )
        old = store.pieces(session)
        done = (self.export_done, store, engine, turn, old, pieces)
        self.on_end[offer.transfer] = done
        self.offer(offer)

    def export_done(self, store, engine, turn, old, pieces):
        """Write the commit record, if all parts are there."""
        keys = self.names(turn.session, turn.total)
        whole = all(key in engine.cache for key in keys[old:pieces])
        if not store.alive or not whole or store.pieces(turn.session) < old:
            return
        store.put(turn.session, pieces)
        event = PrefixCommitted(
            store=store.name,
            tail=keys[pieces - 1],
            pieces=pieces,
            session=turn.session,
            replaces=keys[old - 1] if old else "",
        )
        self.store_index.observe(event, self.now)

    def figures(self):
        """Return the figures of the run.

        :return: a :class:`Figures`.
        """
        tally = self.tally
        span = (self.turns[-1].at - self.warm) * LINK_RATE * STORES
        kinds = {kind: 0 for kind in TransferKind}
        for store in self.stores.values():
            for kind, size in store.moved.items():
                kinds[kind] += size
        waits = sorted(tally.waits)
        urgent = sorted(tally.urgent)
        return Figures(
            recompute=tally.recomputed / tally.prompt,
            floor=tally.floor / tally.prompt,
            p50=waits[len(waits) // 2],
            p95=waits[int(0.95 * len(waits))],
            urgent_p95=urgent[int(0.95 * len(urgent))],
            mean=sum(waits) / len(waits),
            fetch_link=kinds[TransferKind.FETCH] / span,
            stage_link=kinds[TransferKind.STAGE] / span,
            export_link=kinds[TransferKind.EXPORT] / span,
            behind=tally.behind,
            lost=tally.lost,
            staged=tally.staged,
            used=tally.used,
            given_up=tally.given_up,
            returns=len(waits),
        )


@dataclass(frozen=True, kw_only=True)
class Figures:
    """Figures of one run; times in seconds, shares 0 to 1."""

    recompute: float
    floor: float
    p50: float
    p95: float
    urgent_p95: float
    mean: float
    fetch_link: float
    stage_link: float
    export_link: float
    behind: float
    lost: float
    staged: float
    used: float
    given_up: float
    returns: float


def run_arm(arm, seed, seconds=RUN_SECONDS, warm=WARM_SECONDS):
    """Run one arm on the arrivals of one seed.

    :param arm: an :class:`Arm`.
    :param seed: seed.
    :param seconds: end of the arrivals, in seconds.
    :param warm: end of the warm-up, in seconds.
    :return: :class:`Figures`.
    """
    run = Run(arm, make_turns(seed, seconds), seed, warm)
    run.play()
    return run.figures()


def summarise(runs):
    """Return the median of each figure.

    :param runs: list of :class:`Figures`.
    :return: :class:`Figures`.
    """
    names = Figures.__dataclass_fields__
    middle = {name: median(getattr(run, name) for run in runs) for name in names}
    return replace(runs[0], **middle)


HEADER = (
    f"{'arm':32}{'recomp':>8}{'p50 s':>8}{'p95 s':>8}{'p95 lo':>8}{'p95 hi':>8}"
    f"{'urg95':>8}{'fetch':>7}{'stage':>7}{'export':>7}{'behind':>7}"
    f"{'lost':>6}{'used':>11}{'giveup':>7}"
)


def format_row(arm, middle, runs):
    """Return one row of the table.

    :param arm: an :class:`Arm`.
    :param middle: medians, :class:`Figures`.
    :param runs: list of :class:`Figures`.
    :return: a line of text.
    """
    low, high = min(run.p95 for run in runs), max(run.p95 for run in runs)
    used = f"{middle.used:.0f}/{middle.staged:.0f}"
    return (
        f"{arm.name:32}{middle.recompute:8.3f}{middle.p50:8.3f}{middle.p95:8.3f}"
        f"{low:8.3f}{high:8.3f}{middle.urgent_p95:8.3f}{middle.fetch_link:7.3f}"
        f"{middle.stage_link:7.3f}{middle.export_link:7.3f}{middle.behind:7.0f}"
        f"{middle.lost:6.0f}{used:>11}{middle.given_up:7.0f}"
    )


def main(argv=None):
    """Print the table.

    :param argv: command-line arguments; ``None`` for those of the process.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=RUN_SECONDS)
    parser.add_argument("--json", default="")
    options = parser.parse_args(argv)
    seeds = range(options.seed, options.seed + options.repeats)
    warm = WARM_SECONDS * options.seconds / RUN_SECONDS
    print(f"seeds {list(seeds)}, {platform.machine()}, Python", end=" ")
    print(f"{platform.python_version()}; medians; link shares of full rate")
    print(HEADER)
    results = {}
    for arm in ARMS:
        runs = [run_arm(arm, seed, options.seconds, warm) for seed in seeds]
        middle = summarise(runs)
        print(format_row(arm, middle, runs), flush=True)
        results[arm.name.strip()] = [vars(run) for run in runs]
    print(f"history beyond whole pieces, share of prompt work: {middle.floor:.3f}")
    if options.json:
        with open(options.json, "w", encoding="utf-8") as file:
            json.dump({"seeds": list(seeds), "arms": results}, file, indent=1)


if __name__ == "__main__":
    main()
