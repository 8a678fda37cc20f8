"""Learned estimates of the time to the first token on each backend server."""

from collections import OrderedDict
from dataclasses import dataclass, field
from statistics import median

from wasabistage.base import Policy
from wasabistage.cache import Tier
from wasabistage.exceptions import SettingError
from wasabistage.routing._load import (
    Dispatched,
    DispatchEnded,
    Estimate,
    FetchCompleted,
    FetchProgress,
    FirstToken,
    KeepFetching,
    LinkQueue,
    LoadReport,
    PeerDispatched,
)
from wasabistage.utils import Sentinel

MAX_SERVERS = 4096
MAX_LINKS = 4096
MAX_OPEN_DISPATCHES = 4096
MAX_RECENT_DISPATCHES = 1024
MIN_LEARN_TOKENS = 512
MAX_RATIO = 4.0
MIN_LEARN_BYTES = 65536
MIN_SECONDS = 1e-6
USUAL_PERIOD = 1.0
MIN_CHECK_SECONDS = 0.05
CHECK_SHARE = 0.5

UNKNOWN_SERVER = Sentinel("UNKNOWN_SERVER")
GIVE_UP = Sentinel("GIVE_UP")


@dataclass
class _OpenDispatch:
    server: str
    tokens: int
    at: float
    ahead: float


@dataclass
class _ServerLoad:
    rate: float
    learned: float = float("-inf")
    version: str = ""
    queued: float = 0.0
    level: float = 0.0
    level_at: float = float("-inf")
    running: int = 0
    measured: float = float("-inf")
    heard: float = float("-inf")
    recent: OrderedDict = field(default_factory=OrderedDict)


class FirstTokenEstimator(Policy):
    """Estimates from load reports, own dispatches since, and what happened.

    The backlog of a server is its last report, drained at the learned rate since it
    was measured, plus what this and other entry instances have sent since, in the
    order of time, so that a server's idle time is not taken off later work.
    At a bound, the oldest dispatch, and news of further servers and links, are left
    out.

    :param prefill_rate: first guess of prompt tokens computed a second.
    :param link_rate: first guess of a store link's rate, in bytes a second.
    :param overhead: fixed time to the first token, in seconds.
    :param gain: weight of the newest outcome, 0 to 1.
    :param chunk_tokens: tokens of one prompt that an engine computes before another
        prompt's turn; 0 for engines that compute prompts one after another.
    :param half_life: seconds in which half of what was learned of a server fades.
    """

    def __init__(
        self,
        *,
        prefill_rate=8000.0,
        link_rate=1.25e9,
        overhead=0.02,
        gain=0.15,
        chunk_tokens=1024,
        half_life=30.0,
    ):
        self.prefill_rate = prefill_rate
        self.link_rate = link_rate
        self.overhead = overhead
        self.gain = gain
        self.chunk_tokens = chunk_tokens
        self.half_life = half_life

    def reset(self):
        """Check the arguments and forget what was learned."""
        for name in ("prefill_rate", "link_rate", "half_life"):
            if getattr(self, name) <= 0:
                raise SettingError(
                    f"{name} is not positive", remedy=f"set {name} above 0"
                )
        if self.overhead < 0 or self.chunk_tokens < 0 or not 0 < self.gain <= 1:
            raise SettingError(
                "overhead, chunk_tokens or gain is out of range",
                remedy="set both to 0 or more, and gain above 0, up to 1",
            )
        self.servers_ = {}
        self.open_ = OrderedDict()
        self.peer_events_ = 0
        self.usual_, self.usual_at_ = self.prefill_rate, float("-inf")
        self.learned_usual_, self.learned_at_ = 0.0, float("-inf")
        self.links_ = {}
        self.queues_ = {}
        return self

    def observe(self, event, now):
        """Learn from a report, a dispatch, an outcome or a transfer.

        :param event: :class:`LoadReport`, :class:`Dispatched`,
            :class:`PeerDispatched`, :class:`FirstToken`, :class:`DispatchEnded`,
            :class:`FetchCompleted` or :class:`LinkQueue`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, LoadReport):
            self._take_report(event, now)
        elif isinstance(event, Dispatched):
            self._take_dispatch(event, now)
        elif isinstance(event, PeerDispatched):
            self._take_peer(event, now)
        elif isinstance(event, FirstToken):
            self._take_first_token(event, now)
        elif isinstance(event, DispatchEnded):
            self._close(event.request)
        elif isinstance(event, FetchCompleted):
            self._take_fetch(event)
        elif isinstance(event, LinkQueue):
            self._take_queue(event, now)

    def _server(self, name):
        load = self.servers_.get(name)
        if load is None:
            load = _ServerLoad(self.prefill_rate)
            if len(self.servers_) < MAX_SERVERS:
                self.servers_[name] = load
        return load

    def _take_report(self, report, now):
        load = self._server(report.server)
        measured = now - report.lag
        if measured < load.measured:
            return
        load.version = report.version
        load.queued = float(report.queued_tokens)
        load.running = report.running
        load.measured = measured
        load.heard = now
        for key, dispatch in list(load.recent.items()):
            if dispatch.at <= measured:
                del load.recent[key]
        self._replay(load, self.rate(report.server, now))

    def _replay(self, load, rate):
        """Carry the reported backlog forward over the dispatches since."""
        load.level, load.level_at = load.queued, load.measured
        for dispatch in sorted(load.recent.values(), key=lambda item: item.at):
            drained = rate * (dispatch.at - load.level_at)
            load.level = max(0.0, load.level - drained) + dispatch.tokens
            load.level_at = dispatch.at

    def _take_dispatch(self, event, now):
        load = self._server(event.server)
        ahead = self.ahead(event.server, event.tokens, now)
        dispatch = _OpenDispatch(event.server, event.tokens, now, ahead)
        self.open_[event.request] = dispatch
        self._remember(load, event.request, dispatch, now)
        if len(self.open_) > MAX_OPEN_DISPATCHES:
            self.open_.popitem(last=False)

    def _take_peer(self, event, now):
        load = self._server(event.server)
        self.peer_events_ += 1
        dispatch = _OpenDispatch(event.server, event.tokens, now - event.lag, 0.0)
        if dispatch.at > load.measured:
            self._remember(load, self.peer_events_, dispatch, now)

    def _remember(self, load, key, dispatch, now):
        load.level = self.backlog(dispatch.server, now) + dispatch.tokens
        load.level_at = now
        load.recent[key] = dispatch
        if len(load.recent) > MAX_RECENT_DISPATCHES:
            load.recent.popitem(last=False)

    def _take_first_token(self, event, now):
        dispatch = self.open_.pop(event.request, None)
        if dispatch is None or not event.learn:
            return
        computed = dispatch.tokens if event.computed is None else event.computed
        work = dispatch.ahead + computed
        if work < MIN_LEARN_TOKENS:
            return
        seconds = max(MIN_SECONDS, event.seconds - self.overhead)
        load = self._server(dispatch.server)
        rate = self.rate(dispatch.server, now)
        load.rate = _blend(rate, work / seconds, self.gain)
        load.learned = now

    def _close(self, request):
        """Forget an attempt that will not be computed."""
        dispatch = self.open_.pop(request, None)
        if dispatch is None:
            return
        load = self._server(dispatch.server)
        if load.recent.pop(request, None):
            load.level = max(0.0, load.level - dispatch.tokens)

    def _take_fetch(self, event):
        if event.size < MIN_LEARN_BYTES or event.seconds <= 0:
            return
        if event.store not in self.links_ and len(self.links_) >= MAX_LINKS:
            return
        sample = event.size / event.seconds
        # The first measurement replaces the guess, which may be far off.
        rate = self.links_.get(event.store, sample)
        self.links_[event.store] = _blend(rate, sample, self.gain)

    def _take_queue(self, event, now):
        if event.store in self.queues_ or len(self.queues_) < MAX_LINKS:
            self.queues_[event.store] = (event.size, now, event.rate)

    def rate(self, server, now):
        """Return the rate at which a server is believed to compute prompts.

        A rate learned long ago drifts back to the peers' median: a server that once
        looked slow gets no work by which to prove otherwise.

        :param server: name of the backend server.
        :param now: monotonic time, in seconds.
        :return: prompt tokens a second.
        """
        load = self._server(server)
        if load.learned == float("-inf"):
            # A server that has done nothing must not look worse than its peers.
            return max(load.rate, self._learned_usual(now))
        kept = 0.5 ** (max(0.0, now - load.learned) / self.half_life)
        return load.rate**kept * self._usual(now) ** (1.0 - kept)

    def _usual(self, now):
        """Return the servers' median rate, worked out once a second at most."""
        if now - self.usual_at_ >= USUAL_PERIOD:
            rates = [item.rate for item in self.servers_.values()]
            self.usual_ = median(rates)
            self.usual_at_ = now
        return self.usual_

    def _learned_usual(self, now):
        """Return the median rate of the servers learned of; 0 without one."""
        if now - self.learned_at_ >= USUAL_PERIOD:
            rates = [
                item.rate
                for item in self.servers_.values()
                if item.learned > float("-inf")
            ]
            self.learned_usual_ = median(rates) if rates else 0.0
            self.learned_at_ = now
        return self.learned_usual_

    def backlog(self, server, now):
        """Return the prompt tokens that stand before a new request.

        :param server: name of the backend server.
        :param now: monotonic time, in seconds.
        :return: tokens, 0 or more.
        """
        load = self._server(server)
        if load.level <= 0.0:
            return 0.0
        return max(0.0, load.level - self.rate(server, now) * (now - load.level_at))

    def ahead(self, server, tokens, now):
        """Return the tokens computed before a new request's last one.

        Engines that interleave prompts compute of each other prompt no more than of
        the new one, so a short prompt does not wait for a long one.

        :param server: name of the backend server.
        :param tokens: prompt tokens of the new request.
        :param now: monotonic time, in seconds.
        :return: tokens, 0 or more.
        """
        backlog = self.backlog(server, now)
        if not self.chunk_tokens:
            return backlog
        load = self._server(server)
        others = max(1, load.running + len(load.recent))
        return min(backlog, float(others * max(tokens, self.chunk_tokens)))

    def prefill_seconds(self, server, tokens, now):
        """Return the time that a server needs for some prompt tokens.

        :param server: name of the backend server.
        :param tokens: prompt tokens.
        :param now: monotonic time, in seconds.
        :return: seconds.
        """
        return tokens / self.rate(server, now)

    def fetch_seconds(self, store, size, now):
        """Return the time for a fetch, waiting for the link included.

        :param store: name of the store.
        :param size: bytes to fetch.
        :param now: monotonic time, in seconds.
        :return: seconds.
        """
        rate = self._link_rate(store)
        queued, heard, _ = self.queues_.get(store, (0, now, 0.0))
        waiting = max(0.0, queued - rate * (now - heard))
        return (waiting + size) / rate

    def _link_rate(self, store):
        rate = self.links_.get(store, self.link_rate)
        _, _, measured = self.queues_.get(store, (0, 0.0, 0.0))
        return min(rate, measured) if measured else rate

    def _check_fetch(self, query, now):
        fetch = (query.ahead + query.size) / self._link_rate(query.store)
        recompute = self.prefill_seconds(query.server, query.tokens, now)
        if fetch > recompute:
            return GIVE_UP.because(
                f"{fetch:.2f} s to fetch, {recompute:.2f} to compute"
            )
        return KeepFetching(check_after=max(MIN_CHECK_SECONDS, CHECK_SHARE * fetch))

    def decide(self, query, now):
        """Answer an :class:`EstimateQuery` or a :class:`FetchProgress`.

        :param query: :class:`EstimateQuery` or :class:`FetchProgress`.
        :param now: monotonic time, in seconds.
        :return: an :class:`Estimate`, or ``UNKNOWN_SERVER`` without a report;
            :class:`KeepFetching`, or ``GIVE_UP`` where recomputing is faster.
        """
        if isinstance(query, FetchProgress):
            return self._check_fetch(query, now)
        if query.server not in self.servers_:
            return UNKNOWN_SERVER.because(f"no report of {query.server} yet")
        rate = self.rate(query.server, now)
        queue = self.ahead(query.server, query.tokens, now) / rate
        fetch = 0.0
        if query.size:
            fetch = self.fetch_seconds(query.store, query.size, now)
        seconds = self.overhead + max(queue, fetch) + query.tokens / rate
        return Estimate(seconds=seconds, queue=queue, fetch=fetch)


def get_link_name(store, tier):
    """Return the name under which a store's tier is estimated.

    :param store: name of the store.
    :param tier: the :class:`wasabistage.cache.Tier` that holds the pieces.
    :return: the name to give in :class:`FetchCompleted` and :class:`LinkQueue`.
    """
    return store if tier is Tier.MEMORY else f"{store}/disk"


def _blend(old, new, gain):
    """Move a rate towards a new sample by their ratio, within a bounded step."""
    ratio = min(max(new / old, 1.0 / MAX_RATIO), MAX_RATIO)
    return old * ratio**gain
