"""Router for prompts whose parts are kept by engines and cache stores."""

import hashlib
import math
from dataclasses import dataclass, field

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.routing._estimate import FirstTokenEstimator
from wasabistage.routing._load import EstimateQuery
from wasabistage.routing._router import NO_SERVER


@dataclass(frozen=True, kw_only=True)
class PartCandidate:
    """A model engine that the router may select.

    :param server: id of the engine.
    :param address: address of the engine, ``IP:PORT``.
    :param version: weight version that it runs.
    :param cache_key: key under which it keeps the parts of the prompt.
    :param weight: fraction of its normal share of work, 0 to 1.
    :param failure_domain: failure domain of the engine.
    :param memory_tokens: KV cache memory, in tokens; 0 for no bound.
    :param slots: number of requests that it runs at once; 0 for no bound.
    :param penalty: cost added to the score for disadvantages other than latency, in
        seconds.
    :param is_slow: whether work takes much longer on it than usual at the moment.
    :param max_begin_seconds: time within which the run must begin, in seconds; an
        engine that would begin later is not selected.
    """

    server: str
    address: str
    version: int
    cache_key: str
    weight: float = 1.0
    failure_domain: str = ""
    memory_tokens: int = 0
    slots: int = 0
    penalty: float = 0.0
    is_slow: bool = False
    max_begin_seconds: float = math.inf


@dataclass(frozen=True, kw_only=True)
class PartStore:
    """A cache store for parts.

    :param address: address of the store, ``IP:PORT``.
    :param failure_domain: failure domain of the store.
    :param capacity_tokens: capacity, in tokens.
    :param link_bytes_per_second: rate of its link, in bytes per second.
    :param first_byte_seconds: latency of a transfer until its first byte, in seconds.
    """

    address: str
    failure_domain: str = ""
    capacity_tokens: int = 0
    link_bytes_per_second: float = 1.0
    first_byte_seconds: float = 0.0


@dataclass(frozen=True, kw_only=True)
class PartQuery:
    """Question which engine takes a prompt.

    :param parts: tuple of objects with ``part``, the id of the part, and ``tokens``;
        the last part is not shared with other prompts.
    :param prompt_tokens: length of the prompt, in tokens.
    :param output_tokens: maximum number of tokens that are generated.
    :param candidates: tuple of :class:`PartCandidate`.
    :param stores: tuple of :class:`PartStore`.
    :param token_bytes: size of the KV cache of one token, in bytes.
    :param link_bytes_per_second: rate of an engine's link, in bytes per second.
    :param draw: random number from 0 to below 1 that selects among equal engines.
    :param slack_seconds: difference of scores up to which engines count as equal. It
        is the queue that may have changed since the load was last reported.
    :param is_fleet_new: whether all entries have just started, so that none has a map
        of a store from before.
    """

    parts: tuple
    prompt_tokens: int
    output_tokens: int = 0
    slack_seconds: float = 0.0
    candidates: tuple[PartCandidate, ...] = ()
    stores: tuple[PartStore, ...] = ()
    token_bytes: int = 1
    link_bytes_per_second: float = 1.0
    draw: float = 0.0
    is_fleet_new: bool = False


@dataclass(frozen=True, kw_only=True)
class PartDecision:
    """The selected engine, and the stores from and to which it transfers parts.

    :param candidate: the selected :class:`PartCandidate`.
    :param tokens: prompt tokens that the engine has to compute.
    :param kept: prompt tokens whose KV cache the engine keeps.
    :param fetched: prompt tokens whose KV cache the engine fetches.
    :param fetch_from: for each part the address of the store to fetch it from, or
        ``""``.
    :param save_to: for each part the address of the store to save it to, or ``""``.
    :param seconds: predicted time to the first token, in seconds.
    :param backlog: computing time of the work ahead of the prompt, in seconds.
    :param spacing_wait: time for which a long prompt should wait, so that the streams
        of the engine go on between it and the long prompt before, in seconds.
    """

    candidate: PartCandidate
    tokens: int
    kept: int
    fetched: int
    fetch_from: tuple[str, ...]
    save_to: tuple[str, ...]
    seconds: float
    backlog: float = 0.0
    spacing_wait: float = 0.0


@dataclass(frozen=True)
class _PartPlan:
    """Plan for one candidate.

    :ivar kept: prompt tokens whose KV cache the engine keeps.
    :ivar kept_parts: number of the leading parts that the engine keeps.
    :ivar fetched: prompt tokens whose KV cache the engine fetches.
    :ivar begin_seconds: predicted time until the run begins, in seconds.
    :ivar spacing_wait: see :class:`PartDecision`.
    """

    candidate: PartCandidate
    tokens: int
    kept: int
    kept_parts: int
    fetched: int
    fetch_from: tuple
    seconds: float
    score: float
    backlog: float
    begin_seconds: float
    spacing_wait: float = 0.0


class PartRouter(Policy):
    """Router that minimizes the predicted time to the first token plus a cost.

    For each engine the router builds a plan: the engine reuses the parts that it keeps,
    fetches the following parts that stores keep, and computes the rest. The computation
    takes engine time from other requests. Its time is therefore added to the score once
    more, multiplied by ``work_weight``.

    :param parts: the :class:`wasabistage.cache.PartMap`.
    :param estimator: a :class:`FirstTokenEstimator` that observes the events; ``None``
        for one with default arguments.
    :param work_weight: weight of the computing time in the score, 0 or more.
    :param slack: fraction by which a score may exceed the best one and still count as
        equal, 0 or more.
    :param other_domain_factor: factor of the transfer time between failure domains, 1
        or more.
    :param fill_limit: fraction of a store's capacity up to which parts are saved to it.
    :param memory_share: fraction of an engine's memory that may be reserved before
        further requests are expected to wait for memory.
    :param run_seconds: expected duration of a run, after which its memory is released,
        in seconds.
    :param long_spacing: time between two long prompts at one engine, in seconds; 0 to
        send them one after another.
    :param slow_penalty: cost of a long prompt on an engine that is slow at the moment,
        for the pauses in the streams of that engine, in seconds.
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
        long_spacing=0.0,
        slow_penalty=0.3,
    ):
        self.parts = parts
        self.estimator = estimator
        self.work_weight = work_weight
        self.slack = slack
        self.other_domain_factor = other_domain_factor
        self.fill_limit = fill_limit
        self.memory_share = memory_share
        self.run_seconds = run_seconds
        self.long_spacing = long_spacing
        self.slow_penalty = slow_penalty

    def reset(self):
        """Check the arguments and clear the learned state."""
        if self.work_weight < 0 or self.slack < 0 or self.other_domain_factor < 1:
            raise SettingError(
                "work_weight and slack must be 0 or more, and other_domain_factor 1 or "
                f"more, but they are {self.work_weight!r}, {self.slack!r} and "
                f"{self.other_domain_factor!r}",
                remedy="set work_weight and slack to 0 or more, and "
                "other_domain_factor to 1 or more",
            )
        self.estimator_ = self.estimator or FirstTokenEstimator()
        self.estimator_.reset()
        self.reserved_tokens_ = {}
        self.runs_ = {}
        self.requests_ = {}
        #: Stores that hold a part, by its key, during one decision.
        self.stores_by_part_ = {}
        self.peer_reservations_ = {}
        self.peer_reserved_tokens_ = {}
        self.peer_runs_ = {}
        return self

    def observe(self, event, now):
        """Update the reserved memory or the estimates.

        :param event: a :class:`MemoryReserved`, :class:`MemoryReleased` or
            :class:`PeerMemoryReserved`, or an event of :class:`FirstTokenEstimator`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, MemoryReserved):
            self.requests_[event.request] = (event.server, event.tokens)
            reserved = self.reserved_tokens_.get(event.server, 0)
            self.reserved_tokens_[event.server] = reserved + event.tokens
            self.runs_[event.server] = self.runs_.get(event.server, 0) + 1
        elif isinstance(event, MemoryReleased):
            server, tokens = self.requests_.pop(event.request, ("", 0))
            if server:
                self.reserved_tokens_[server] -= tokens
                self.runs_[server] -= 1
        elif isinstance(event, PeerMemoryReserved):
            self._record_peer_reservation(event)
        else:
            self.estimator_.observe(event, now)

    def _record_peer_reservation(self, event):
        known = self.peer_reservations_.pop(event.peer, None)
        if known is not None:
            add_counts(self.peer_reserved_tokens_, known.reserved_tokens, -1)
            add_counts(self.peer_runs_, known.runs, -1)
        if event.reserved_tokens or event.runs:
            self.peer_reservations_[event.peer] = event
            add_counts(self.peer_reserved_tokens_, event.reserved_tokens, 1)
            add_counts(self.peer_runs_, event.runs, 1)

    def get_reserved_tokens(self, server):
        """Return the memory that all entries have reserved at an engine.

        :param server: id of the engine.
        :return: tokens.
        """
        others = self.peer_reserved_tokens_.get(server, 0)
        return self.reserved_tokens_.get(server, 0) + others

    def get_runs(self, server):
        """Return the requests that all entries have open at an engine.

        :param server: id of the engine.
        """
        return self.runs_.get(server, 0) + self.peer_runs_.get(server, 0)

    def decide(self, query, now):
        """Answer a :class:`PartQuery`.

        :param query: a :class:`PartQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`PartDecision`, or ``NO_SERVER``.
        """
        if not query.candidates:
            return NO_SERVER.with_reason(
                "no model engine is a candidate for the prompt"
            )
        self.stores_by_part_ = {}
        plans = [self._build_plan(query, item, now) for item in query.candidates]
        plans = [
            plan
            for plan in plans
            if plan.begin_seconds <= plan.candidate.max_begin_seconds
        ]
        if not plans:
            return NO_SERVER.with_reason(
                "no model engine would begin the prompt within its time limit"
            )
        plans.sort(key=lambda plan: (plan.score, plan.candidate.server))
        bound = plans[0].score * (1.0 + self.slack) + query.slack_seconds
        tied = sum(plan.score <= bound for plan in plans)
        plan = plans[min(int(query.draw * tied), tied - 1)]
        return PartDecision(
            candidate=plan.candidate,
            tokens=plan.tokens,
            kept=plan.kept,
            fetched=plan.fetched,
            fetch_from=self._find_fetch_addresses(query, plan),
            save_to=self._select_save_addresses(query, plan, now),
            seconds=plan.seconds,
            backlog=plan.backlog,
            spacing_wait=plan.spacing_wait,
        )

    def _build_plan(self, query, candidate, now):
        kept, index = self._find_kept(query, candidate)
        fetch_from, fetched, fetch_seconds = self._plan_fetches(query, candidate, index)
        tokens = max(1, query.prompt_tokens - kept - fetched)
        server = candidate.server
        estimate = self.estimator_.decide(
            EstimateQuery(server=server, tokens=tokens), now
        )
        prefill_seconds = self.estimator_.estimate_prefill_seconds(server, tokens, now)
        queue = estimate.queue if estimate else 0.0
        wait_seconds = max(
            self._estimate_memory_wait_seconds(query, candidate),
            self._estimate_slot_wait_seconds(candidate),
        )
        spacing_wait = self._estimate_spacing_wait(server, tokens, now)
        begin_seconds = max(queue, fetch_seconds, spacing_wait) + wait_seconds
        seconds = self.estimator_.overhead + begin_seconds + prefill_seconds
        seconds /= max(candidate.weight, 0.01)
        penalty = candidate.penalty
        if candidate.is_slow and tokens >= self.estimator_.long_tokens:
            penalty += self.slow_penalty
        return _PartPlan(
            candidate=candidate,
            tokens=tokens,
            kept=kept,
            kept_parts=index,
            fetched=fetched,
            fetch_from=fetch_from,
            seconds=seconds,
            score=seconds + self.work_weight * prefill_seconds + penalty,
            backlog=queue,
            begin_seconds=begin_seconds,
            spacing_wait=spacing_wait,
        )

    def _estimate_spacing_wait(self, server, tokens, now):
        """Estimate the seconds for which a long prompt keeps away from an engine."""
        if not self.long_spacing or tokens < self.estimator_.long_tokens:
            return 0.0
        long_seconds = self.estimator_.estimate_long_seconds(server, now)
        return max(0.0, long_seconds + self.long_spacing)

    def _find_kept(self, query, candidate):
        """Return the tokens and the number of the leading parts an engine keeps."""
        kept = 0
        for index, part in enumerate(query.parts):
            found_tokens = self.parts.tokens(
                candidate.address, candidate.cache_key, part.part
            )
            if found_tokens < part.tokens:
                return kept, index
            kept += part.tokens
        return kept, len(query.parts)

    def _plan_fetches(self, query, candidate, index):
        """Return addresses, tokens and seconds for fetching parts from ``index``."""
        addresses, fetched, seconds = [""] * len(query.parts), 0, 0.0
        for position in range(index, len(query.parts)):
            part = query.parts[position]
            found = self._find_fastest_store(query, candidate, part)
            if found is None:
                break
            addresses[position], transfer_seconds = found
            fetched += part.tokens
            seconds += transfer_seconds
        return tuple(addresses), fetched, seconds

    def _find_fetch_addresses(self, query, plan):
        """Return for each part the store to fetch it from, or ``""``.

        This includes parts that the engine has reported to keep. It may have evicted
        them since, and it fetches only the parts that it lacks.
        """
        addresses = list(plan.fetch_from)
        for position, part in enumerate(query.parts[: plan.kept_parts]):
            found = self._find_fastest_store(query, plan.candidate, part)
            if found is None:
                break
            addresses[position] = found[0]
        return tuple(addresses)

    def _find_fastest_store(self, query, candidate, part):
        best = None
        for store in self._find_stores(query, candidate.cache_key, part):
            transfer_seconds = self._estimate_transfer_seconds(
                query, candidate, store, part.tokens
            )
            if best is None or transfer_seconds < best[1]:
                best = (store.address, transfer_seconds)
        return best

    def _find_stores(self, query, cache_key, part):
        """Return the stores that hold a part; found once for all candidates."""
        key = cache_key, part.part
        if key not in self.stores_by_part_:
            holders = self.parts.get_holders(*key)
            self.stores_by_part_[key] = [
                store
                for store in query.stores
                if holders and holders.get(store.address, 0) >= part.tokens
            ]
        return self.stores_by_part_[key]

    def _estimate_transfer_seconds(self, query, candidate, store, tokens):
        rate = min(query.link_bytes_per_second, store.link_bytes_per_second)
        seconds = tokens * query.token_bytes / rate
        if candidate.failure_domain != store.failure_domain:
            seconds *= self.other_domain_factor
        return store.first_byte_seconds + seconds

    def _estimate_memory_wait_seconds(self, query, candidate):
        """Estimate the seconds until enough memory for the prompt is released."""
        room = candidate.memory_tokens * self.memory_share
        if not room:
            return 0.0
        size = query.prompt_tokens + query.output_tokens
        excess = self.get_reserved_tokens(candidate.server) + size - room
        return max(0.0, excess) * self.run_seconds / room

    def _estimate_slot_wait_seconds(self, candidate):
        """Estimate the seconds until the engine begins another request."""
        if not candidate.slots:
            return 0.0
        excess = self.get_runs(candidate.server) + 1 - candidate.slots
        return max(0, excess) * self.run_seconds / candidate.slots

    def _select_save_addresses(self, query, plan, now):
        """Return for each part the store to save it to, or ``""``."""
        cache_key = plan.candidate.cache_key
        shared = query.parts[:-1]
        return tuple(
            self._select_save_address(query, cache_key, part, now) for part in shared
        ) + ("",) * (len(query.parts) - len(shared))

    def _select_save_address(self, query, cache_key, part, now):
        if self.parts.is_save_in_progress(cache_key, part.part, now):
            return ""
        if self._find_stores(query, cache_key, part):
            return ""
        for store in order_stores(query.stores, part.part):
            may_save = self.parts.may_save(
                store.address,
                cache_key,
                part.part,
                now,
                is_fleet_new=query.is_fleet_new,
            )
            if not may_save:
                continue
            occupied_tokens = self.parts.get_total_tokens(store.address)
            occupied_tokens += self.parts.get_saving_tokens(store.address, now)
            if occupied_tokens + part.tokens <= self.fill_limit * store.capacity_tokens:
                return store.address
        return ""


@dataclass(frozen=True, kw_only=True)
class MemoryReserved:
    """Memory of an engine was reserved for a request.

    :param request: id of the attempt.
    :param server: id of the engine.
    :param tokens: reserved memory, for prompt and output, in tokens.
    """

    request: str
    server: str
    tokens: int


@dataclass(frozen=True, kw_only=True)
class PeerMemoryReserved:
    """Another entry reported the memory that it has reserved at engines.

    :param peer: name of the entry.
    :param reserved_tokens: dict from the id of an engine to reserved tokens; empty if
        the entry has stopped or failed.
    :param runs: dict from the id of an engine to the number of open requests.
    """

    peer: str
    reserved_tokens: dict
    runs: dict = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class MemoryReleased:
    """The memory reserved for a request was released.

    :param request: id of the attempt.
    """

    request: str


def add_counts(sums, counts, sign):
    """Add counts to sums, or subtract them.

    :param sums: dict of name to sum; names with a sum of 0 are removed.
    :param counts: dict of name to count.
    :param sign: 1 to add, -1 to subtract.
    """
    for name, count in counts.items():
        total = sums.get(name, 0) + sign * count
        if total:
            sums[name] = total
        else:
            sums.pop(name, None)


def order_stores(stores, part):
    """Order stores by preference for a part.

    Stores with less than half of the largest capacity come last. Within the large and
    the small stores, the order is that of a rendezvous hash, which spreads the parts.

    :param stores: :class:`PartStore` objects.
    :param part: id of the part.
    :return: list of the stores, most preferred first.
    """
    largest = max((store.capacity_tokens for store in stores), default=0)

    def sort_key(store):
        is_small = 2 * store.capacity_tokens < largest
        name = f"{store.address}/{part}".encode()
        return is_small, hashlib.blake2b(name, digest_size=8).digest()

    return sorted(stores, key=sort_key)
