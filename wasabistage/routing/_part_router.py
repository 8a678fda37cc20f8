"""Router for prompts whose parts lie in engines and cache stores."""

import hashlib
import math
from dataclasses import dataclass

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.routing._estimate import FirstTokenEstimator
from wasabistage.routing._load import EstimateQuery
from wasabistage.routing._router import NO_SERVER


@dataclass(frozen=True, kw_only=True)
class PartCandidate:
    """A model engine that may be chosen.

    :param server: its id.
    :param address: ``IP:PORT``.
    :param version: weight version that it runs.
    :param cache_key: text under which it keeps the prompt's parts.
    :param weight: share of its normal work, 0 to 1.
    :param failure_domain: failure domain it stands in.
    :param memory_tokens: its KV cache memory, in tokens.
    :param penalty: seconds that count against it besides, for what it would cost the
        request other than time.
    :param max_begin_seconds: seconds within which a run must begin there.
    """

    server: str
    address: str
    version: int
    cache_key: str
    weight: float = 1.0
    failure_domain: str = ""
    memory_tokens: int = 0
    penalty: float = 0.0
    max_begin_seconds: float = math.inf


@dataclass(frozen=True, kw_only=True)
class PartStore:
    """A cache store.

    :param address: ``IP:PORT``.
    :param failure_domain: failure domain it stands in.
    :param capacity_tokens: its room, in tokens.
    :param link_bytes: bytes a second over its link.
    :param first_byte: seconds that each transfer waits besides.
    """

    address: str
    failure_domain: str = ""
    capacity_tokens: int = 0
    link_bytes: float = 1.0
    first_byte: float = 0.0


@dataclass(frozen=True, kw_only=True)
class PartQuery:
    """Asks for the engine of one prompt.

    :param parts: tuple of objects with ``part`` and ``tokens``; the last one is not
        shared with other prompts.
    :param prompt_tokens: length of the prompt, in tokens.
    :param output_tokens: most tokens that are generated.
    :param candidates: tuple of :class:`PartCandidate`.
    :param stores: tuple of :class:`PartStore`.
    :param token_bytes: KV cache bytes of one token.
    :param link_bytes: bytes a second over an engine's link.
    :param draw: random number from 0 up to 1, for spreading.
    """

    parts: tuple
    prompt_tokens: int
    output_tokens: int = 0
    candidates: tuple[PartCandidate, ...] = ()
    stores: tuple[PartStore, ...] = ()
    token_bytes: int = 1
    link_bytes: float = 1.0
    draw: float = 0.0


@dataclass(frozen=True, kw_only=True)
class PartDecision:
    """The chosen engine, and where its parts come from and go to.

    :param candidate: the :class:`PartCandidate`.
    :param tokens: prompt tokens that the engine has to compute.
    :param kept: prompt tokens that the engine keeps already.
    :param fetched: prompt tokens that it fetches.
    :param fetch_from: for each part the address to fetch it from, or ``""``.
    :param save_to: for each part the address to save it to, or ``""``.
    :param seconds: predicted time to the first token.
    :param backlog: seconds of computing that the engine has before it.
    """

    candidate: PartCandidate
    tokens: int
    kept: int
    fetched: int
    fetch_from: tuple[str, ...]
    save_to: tuple[str, ...]
    seconds: float
    backlog: float = 0.0


@dataclass(frozen=True)
class _Plan:
    candidate: PartCandidate
    tokens: int
    kept: int
    kept_parts: int
    fetched: int
    fetch_from: tuple
    seconds: float
    score: float
    backlog: float
    begin: float


class PartRouter(Policy):
    """Least predicted first token, with a price on computing what could be reused.

    Every engine gets a plan: the parts that it keeps, then the parts that a store
    keeps, then everything else computed. A prompt that is computed takes engine time
    from others, so the time of that computation counts ``work_weight`` times besides.

    :param parts: the :class:`wasabistage.cache.PartMap`.
    :param estimator: a :class:`FirstTokenEstimator`, which receives the events.
    :param work_weight: weight of the engine time that a plan takes from others.
    :param slack: share by which a score may exceed the best and count as equal.
    :param other_domain_factor: transfers between failure domains take this many
        times as long.
    :param fill_limit: share of a store that is filled.
    :param memory_share: share of an engine's memory that may be promised to requests
        before more of them wait for it.
    :param run_seconds: usual length of a run, after which its memory comes free, in
        seconds.
    """

    def __init__(
        self,
        parts,
        *,
        estimator=None,
        work_weight=1.0,
        slack=0.05,
        other_domain_factor=2.0,
        fill_limit=0.97,
        memory_share=0.9,
        run_seconds=2.0,
    ):
        self.parts = parts
        self.estimator = estimator
        self.work_weight = work_weight
        self.slack = slack
        self.other_domain_factor = other_domain_factor
        self.fill_limit = fill_limit
        self.memory_share = memory_share
        self.run_seconds = run_seconds

    def reset(self):
        """Check the arguments and forget what was learned."""
        if self.work_weight < 0 or self.slack < 0 or self.other_domain_factor < 1:
            raise SettingError(
                "work_weight or slack is negative, or other_domain_factor below 1",
                remedy="set the first two to 0 or more, the last to 1 or more",
            )
        self.estimator_ = self.estimator or FirstTokenEstimator()
        self.estimator_.reset()
        self.reserved_tokens_ = {}
        self.requests_ = {}
        self.peers_promised_ = {}
        return self

    def observe(self, event, now):
        """Learn from a dispatch, its first token or its end.

        :param event: an event of :class:`FirstTokenEstimator`, or a
            :class:`MemoryReserved` or :class:`MemoryReleased`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, MemoryReserved):
            self.requests_[event.request] = (event.server, event.tokens)
            held = self.reserved_tokens_.get(event.server, 0)
            self.reserved_tokens_[event.server] = held + event.tokens
        elif isinstance(event, MemoryReleased):
            server, tokens = self.requests_.pop(event.request, ("", 0))
            if server:
                self.reserved_tokens_[server] -= tokens
        elif isinstance(event, PeerMemoryReserved):
            if event.reserved_tokens:
                self.peers_promised_[event.peer] = event.reserved_tokens
            else:
                self.peers_promised_.pop(event.peer, None)
        else:
            self.estimator_.observe(event, now)

    def get_reserved_tokens(self, server):
        """Return the memory promised to requests at an engine by all entries.

        :param server: id of the engine.
        :return: tokens.
        """
        peers = self.peers_promised_.values()
        others = sum(reserved_tokens.get(server, 0) for reserved_tokens in peers)
        return self.reserved_tokens_.get(server, 0) + others

    def decide(self, query, now):
        """Answer a :class:`PartQuery`.

        :param query: a :class:`PartQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`PartDecision`, or ``NO_SERVER``.
        """
        if not query.candidates:
            return NO_SERVER.because("no model engine may take the prompt")
        plans = [self._plan(query, item, now) for item in query.candidates]
        plans = [
            plan for plan in plans if plan.begin <= plan.candidate.max_begin_seconds
        ]
        if not plans:
            return NO_SERVER.because("no model engine begins the prompt in time")
        plans.sort(key=lambda plan: (plan.score, plan.candidate.server))
        bound = plans[0].score * (1.0 + self.slack)
        tied = sum(plan.score <= bound for plan in plans)
        plan = plans[min(int(query.draw * tied), tied - 1)]
        return PartDecision(
            candidate=plan.candidate,
            tokens=plan.tokens,
            kept=plan.kept,
            fetched=plan.fetched,
            fetch_from=self._fetch_names(query, plan),
            save_to=self._saves(query, plan, now),
            seconds=plan.seconds,
            backlog=plan.backlog,
        )

    def _plan(self, query, candidate, now):
        kept, index = self._kept(query, candidate)
        fetch_from, fetched, fetch_seconds = self._fetches(query, candidate, index)
        tokens = max(1, query.prompt_tokens - kept - fetched)
        server = candidate.server
        estimate = self.estimator_.decide(
            EstimateQuery(server=server, tokens=tokens), now
        )
        own = self.estimator_.prefill_seconds(server, tokens, now)
        queue = estimate.queue if estimate else 0.0
        begin = max(queue, fetch_seconds) + self._memory_wait(query, candidate)
        seconds = self.estimator_.overhead + begin + own
        seconds /= max(candidate.weight, 0.01)
        return _Plan(
            candidate=candidate,
            tokens=tokens,
            kept=kept,
            kept_parts=index,
            fetched=fetched,
            fetch_from=fetch_from,
            seconds=seconds,
            score=seconds + self.work_weight * own + candidate.penalty,
            backlog=queue,
            begin=begin,
        )

    def _kept(self, query, candidate):
        """Return the tokens kept without a gap, and the index of the next part."""
        kept = 0
        for index, part in enumerate(query.parts):
            held = self.parts.tokens(candidate.address, candidate.cache_key, part.part)
            if held < part.tokens:
                return kept, index
            kept += part.tokens
        return kept, len(query.parts)

    def _fetches(self, query, candidate, index):
        """Return addresses, tokens and seconds of the parts that stores keep."""
        addresses, fetched, seconds = [""] * len(query.parts), 0, 0.0
        for at in range(index, len(query.parts)):
            part = query.parts[at]
            found = self._best_store(query, candidate, part)
            if found is None:
                break
            addresses[at], cost = found
            fetched += part.tokens
            seconds += cost
        return tuple(addresses), fetched, seconds

    def _fetch_names(self, query, plan):
        """Return for each part the store to fetch it from, or ``""``.

        Parts that the engine is believed to keep are named too: it fetches only what
        it lacks, and it may have given them up since it said so.
        """
        names = list(plan.fetch_from)
        for at, part in enumerate(query.parts[: plan.kept_parts]):
            found = self._best_store(query, plan.candidate, part)
            if found is None:
                break
            names[at] = found[0]
        return tuple(names)

    def _best_store(self, query, candidate, part):
        best = None
        for store in query.stores:
            held = self.parts.tokens(store.address, candidate.cache_key, part.part)
            if held < part.tokens:
                continue
            cost = self._transfer_seconds(query, candidate, store, part.tokens)
            if best is None or cost < best[1]:
                best = (store.address, cost)
        return best

    def _transfer_seconds(self, query, candidate, store, tokens):
        rate = min(query.link_bytes, store.link_bytes)
        seconds = tokens * query.token_bytes / rate
        if candidate.failure_domain != store.failure_domain:
            seconds *= self.other_domain_factor
        return store.first_byte + seconds

    def _memory_wait(self, query, candidate):
        """Return the time until memory for the prompt comes free."""
        room = candidate.memory_tokens * self.memory_share
        if not room:
            return 0.0
        size = query.prompt_tokens + query.output_tokens
        excess = self.get_reserved_tokens(candidate.server) + size - room
        return max(0.0, excess) * self.run_seconds / room

    def _saves(self, query, plan, now):
        """Return for each part the store that it is saved to."""
        cache_key = plan.candidate.cache_key
        shared = query.parts[:-1]
        return tuple(self._save_to(query, cache_key, part, now) for part in shared) + (
            "",
        ) * (len(query.parts) - len(shared))

    def _save_to(self, query, cache_key, part, now):
        if self.parts.is_save_in_progress(cache_key, part.part, now):
            return ""
        if any(
            self.parts.tokens(store.address, cache_key, part.part) >= part.tokens
            for store in query.stores
        ):
            return ""
        for store in order_stores(query.stores, part.part):
            taken = self.parts.get_total_tokens(store.address)
            taken += self.parts.get_saving_tokens(store.address, now)
            if taken + part.tokens <= self.fill_limit * store.capacity_tokens:
                return store.address
        return ""


@dataclass(frozen=True, kw_only=True)
class MemoryReserved:
    """A request will take memory of an engine.

    :param request: id of the attempt.
    :param server: id of the engine.
    :param tokens: prompt and output tokens.
    """

    request: str
    server: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class PeerMemoryReserved:
    """Another entry says how much memory it has promised.

    :param peer: name of the entry.
    :param reserved_tokens: dict of engine to tokens; empty if the entry is gone.
    """

    peer: str
    reserved_tokens: dict


@dataclass(frozen=True, kw_only=True)
class MemoryReleased:
    """A request no longer takes memory of an engine.

    :param request: id of the attempt.
    """

    request: str


def order_stores(stores, part):
    """Order stores as homes of a part: large ones first, then by rendezvous hash.

    :param stores: :class:`PartStore` objects.
    :param part: id of the part.
    :return: list of the stores.
    """
    largest = max((store.capacity_tokens for store in stores), default=0)

    def rank(store):
        is_small = 2 * store.capacity_tokens < largest
        name = f"{store.address}/{part}".encode()
        return is_small, hashlib.blake2b(name, digest_size=8).digest()

    return sorted(stores, key=rank)
