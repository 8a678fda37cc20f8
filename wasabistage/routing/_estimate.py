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
    FetchProgressQuery,
    FirstTokenArrived,
    KeepFetching,
    LinkQueueMeasured,
    LoadReport,
    PeerDispatched,
)
from wasabistage.utils import Sentinel

MAX_SERVERS = 4096
MAX_LINKS = 4096
MAX_OPEN_DISPATCHES = 4096
MAX_RECENT_DISPATCHES = 1024
#: Minimum number of tokens, including those ahead of the prompt, for a sample of a
#: prefill rate.
MIN_SAMPLE_TOKENS = 512
#: Maximum ratio of a sample to a learned rate, and of a learned rate to a sample.
MAX_RATE_RATIO = 4.0
#: Number of first samples of a server that may use ``AGREED_GAIN``: its rate begins at
#: an initial value that is no measurement.
FIRST_SAMPLES = 4
#: Weight of a sample in a learned rate if it and the sample before it deviate to the
#: same side, each by ``AGREED_RATIO`` or more. Smaller deviations are those of a queue
#: or of a busy machine, which must not turn the router from one server to the other.
AGREED_GAIN = 0.5
AGREED_RATIO = 2.0
#: Minimum size of a fetch for a sample of a link rate.
MIN_SAMPLE_BYTES = 65536
MIN_PREFILL_SECONDS = 1e-6
MEDIAN_INTERVAL_SECONDS = 1.0
MIN_CHECK_INTERVAL_SECONDS = 0.05
#: Fraction of the predicted rest of a fetch after which it is checked again.
CHECK_FRACTION = 0.5

UNKNOWN_SERVER = Sentinel("UNKNOWN_SERVER")
GIVE_UP = Sentinel("GIVE_UP")


@dataclass
class _Dispatch:
    """Prompt tokens that this or another entry instance sent to a server.

    :ivar tokens_ahead: tokens that were to be computed first when it was sent.
    """

    server: str
    tokens: int
    sent_at: float
    tokens_ahead: float


@dataclass
class _ServerLoad:
    """Reported and estimated load of one server.

    :ivar rate: learned prefill rate, in prompt tokens per second.
    :ivar sample_count: number of samples of the rate.
    :ivar last_sample: the last sample, in prompt tokens per second.
    :ivar reported_tokens: backlog in the last report, measured at ``measured_at``.
    :ivar backlog_tokens: estimated backlog at the time ``backlog_at``.
    :ivar recent_dispatches: dispatches since the last report was measured, by request
        id or by number for those of peers.
    :ivar long_until: estimated time at which the last long prompt is computed.
    """

    rate: float
    rate_learned_at: float = float("-inf")
    sample_count: int = 0
    last_sample: float = 0.0
    version: str = ""
    reported_tokens: float = 0.0
    backlog_tokens: float = 0.0
    backlog_at: float = float("-inf")
    running: int = 0
    measured_at: float = float("-inf")
    received_at: float = float("-inf")
    recent_dispatches: OrderedDict = field(default_factory=OrderedDict)
    long_until: float = float("-inf")


class FirstTokenEstimator(Policy):
    """Estimator of the time to the first token, from reports, dispatches and times.

    The backlog of a server is the last reported one, minus what the server has computed
    since the measurement at its learned rate, plus what this and other entry instances
    have dispatched to it since. Dispatches are added in order of time, so that the idle
    time of a server does not reduce work that is dispatched later.

    Memory is bounded: the oldest dispatches are evicted, and events of servers beyond
    ``MAX_SERVERS`` and of links beyond ``MAX_LINKS`` are ignored.

    :param prefill_rate: initial prefill rate, in prompt tokens per second.
    :param link_rate: initial rate of a store link, in bytes per second.
    :param overhead: constant part of the time to the first token, in seconds.
    :param gain: weight of a new sample in a learned rate, above 0, up to 1. Among the
        first samples of a server, two that deviate to the same side weigh more.
    :param chunk_tokens: tokens of one prompt that an engine computes before it turns to
        another prompt; 0 for engines that compute prompts one after another.
    :param half_life: time in which the weight of a learned prefill rate halves, in
        seconds.
    :param pool_gain: weight of a new sample in the rate of all servers together, to
        which the rates of servers without recent samples return; 0 to use the median of
        the servers' rates instead. An entry that sends each of many servers a prompt
        every few seconds learns the common rate long before that of each server.
    :param long_tokens: tokens to compute from which a prompt is long: it slows down the
        streams of its server noticeably.
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
        pool_gain=0.0,
        long_tokens=4096,
    ):
        self.prefill_rate = prefill_rate
        self.link_rate = link_rate
        self.overhead = overhead
        self.gain = gain
        self.chunk_tokens = chunk_tokens
        self.half_life = half_life
        self.pool_gain = pool_gain
        self.long_tokens = long_tokens

    def reset(self):
        """Check the arguments and clear the learned state."""
        for name in ("prefill_rate", "link_rate", "half_life"):
            if getattr(self, name) <= 0:
                raise SettingError(
                    f"{name} must be above 0, but is {getattr(self, name)!r}",
                    remedy=f"set {name} to a value above 0",
                )
        if self.overhead < 0 or self.chunk_tokens < 0 or not 0 < self.gain <= 1:
            raise SettingError(
                "overhead and chunk_tokens must be 0 or more, and gain above 0 and at "
                f"most 1, but they are {self.overhead!r}, {self.chunk_tokens!r} and "
                f"{self.gain!r}",
                remedy="set overhead and chunk_tokens to 0 or more, gain to (0, 1]",
            )
        self.servers_ = {}
        self.pooled_rate_, self.pooled_samples_ = self.prefill_rate, 0
        self.open_dispatches_ = OrderedDict()
        self.peer_dispatch_count_ = 0
        self.median_rate_, self.median_rate_at_ = self.prefill_rate, float("-inf")
        self.median_learned_rate_, self.median_learned_rate_at_ = 0.0, float("-inf")
        self.link_rates_ = {}
        self.link_queues_ = {}
        return self

    def observe(self, event, now):
        """Update the estimates from a report, a dispatch, an outcome or a transfer.

        :param event: :class:`LoadReport`, :class:`Dispatched`,
            :class:`PeerDispatched`, :class:`FirstTokenArrived`, :class:`DispatchEnded`,
            :class:`FetchCompleted` or :class:`LinkQueueMeasured`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, LoadReport):
            self._record_report(event, now)
        elif isinstance(event, Dispatched):
            self._record_dispatch(event, now)
        elif isinstance(event, PeerDispatched):
            self._record_peer_dispatch(event, now)
        elif isinstance(event, FirstTokenArrived):
            self._record_first_token(event, now)
        elif isinstance(event, DispatchEnded):
            self._remove_dispatch(event.request)
        elif isinstance(event, FetchCompleted):
            self._record_fetch(event)
        elif isinstance(event, LinkQueueMeasured):
            self._record_link_queue(event, now)

    def _get_load(self, name):
        load = self.servers_.get(name)
        if load is None:
            load = _ServerLoad(self.prefill_rate)
            if len(self.servers_) < MAX_SERVERS:
                self.servers_[name] = load
        return load

    def _record_report(self, report, now):
        load = self._get_load(report.server)
        measured_at = now - report.lag
        if measured_at < load.measured_at:
            return
        load.version = report.version
        load.reported_tokens = float(report.queued_tokens)
        load.running = report.running
        load.measured_at = measured_at
        load.received_at = now
        for key, dispatch in list(load.recent_dispatches.items()):
            if dispatch.sent_at <= measured_at:
                del load.recent_dispatches[key]
        self._recompute_backlog(load, self.estimate_rate(report.server, now))

    def _recompute_backlog(self, load, rate):
        """Recompute the backlog from the last report and the dispatches since."""
        load.backlog_tokens, load.backlog_at = load.reported_tokens, load.measured_at
        for dispatch in sorted(
            load.recent_dispatches.values(), key=lambda item: item.sent_at
        ):
            drained = rate * (dispatch.sent_at - load.backlog_at)
            load.backlog_tokens = (
                max(0.0, load.backlog_tokens - drained) + dispatch.tokens
            )
            load.backlog_at = dispatch.sent_at

    def _record_dispatch(self, event, now):
        load = self._get_load(event.server)
        tokens_ahead = self.estimate_tokens_ahead(event.server, event.tokens, now)
        dispatch = _Dispatch(event.server, event.tokens, now, tokens_ahead)
        self.open_dispatches_[event.request] = dispatch
        self._add_dispatch(load, event.request, dispatch, now)
        if len(self.open_dispatches_) > MAX_OPEN_DISPATCHES:
            self.open_dispatches_.popitem(last=False)

    def _record_peer_dispatch(self, event, now):
        load = self._get_load(event.server)
        self.peer_dispatch_count_ += 1
        dispatch = _Dispatch(event.server, event.tokens, now - event.lag, 0.0)
        if dispatch.sent_at > load.measured_at:
            self._add_dispatch(load, self.peer_dispatch_count_, dispatch, now)

    def _add_dispatch(self, load, key, dispatch, now):
        load.backlog_tokens = (
            self.estimate_backlog(dispatch.server, now) + dispatch.tokens
        )
        load.backlog_at = now
        if dispatch.tokens >= self.long_tokens:
            rate = self.estimate_rate(dispatch.server, now)
            load.long_until = now + load.backlog_tokens / rate
        load.recent_dispatches[key] = dispatch
        if len(load.recent_dispatches) > MAX_RECENT_DISPATCHES:
            load.recent_dispatches.popitem(last=False)

    def _record_first_token(self, event, now):
        dispatch = self.open_dispatches_.pop(event.request, None)
        if dispatch is None or not event.learn:
            return
        computed = dispatch.tokens if event.computed is None else event.computed
        work = dispatch.tokens_ahead + computed
        if work < MIN_SAMPLE_TOKENS:
            return
        seconds = max(MIN_PREFILL_SECONDS, event.seconds - self.overhead)
        load = self._get_load(dispatch.server)
        rate = self.estimate_rate(dispatch.server, now)
        sample, gain = work / seconds, self.gain
        # The first samples of all servers count more, since the initial rate may be far
        # off.
        self.pooled_samples_ += 1
        pool_gain = max(self.pool_gain, 1.0 / (1.0 + self.pooled_samples_))
        self.pooled_rate_ = _blend_rates(self.pooled_rate_, sample, pool_gain)
        previous, load.last_sample = load.last_sample, sample
        load.sample_count += 1
        is_slower = max(previous, sample) * AGREED_RATIO <= rate
        is_faster = min(previous, sample) >= AGREED_RATIO * rate
        is_agreed = previous and (is_slower or is_faster)
        if is_agreed and load.sample_count <= FIRST_SAMPLES:
            # The nearer of the two, so that a single outlier has a bounded effect.
            sample = max(previous, sample) if sample < rate else min(previous, sample)
            gain = max(gain, AGREED_GAIN)
        load.rate = _blend_rates(rate, sample, gain)
        load.rate_learned_at = now

    def _remove_dispatch(self, request):
        """Remove the dispatch of an attempt that ended before its first token."""
        dispatch = self.open_dispatches_.pop(request, None)
        if dispatch is None:
            return
        load = self._get_load(dispatch.server)
        if load.recent_dispatches.pop(request, None):
            load.backlog_tokens = max(0.0, load.backlog_tokens - dispatch.tokens)

    def _record_fetch(self, event):
        if event.size < MIN_SAMPLE_BYTES or event.seconds <= 0:
            return
        if event.store not in self.link_rates_ and len(self.link_rates_) >= MAX_LINKS:
            return
        sample = event.size / event.seconds
        # The first sample replaces the initial rate, which may be far off.
        rate = self.link_rates_.get(event.store, sample)
        self.link_rates_[event.store] = _blend_rates(rate, sample, self.gain)

    def _record_link_queue(self, event, now):
        if event.store in self.link_queues_ or len(self.link_queues_) < MAX_LINKS:
            self.link_queues_[event.store] = (event.size, now, event.rate)

    def estimate_rate(self, server, now):
        """Estimate the prefill rate of a server.

        The weight of a learned rate decays with its age in favour of the median of all
        servers. Otherwise a server once measured as slow would receive no work from
        which a better rate could be learned.

        :param server: name of the backend server.
        :param now: monotonic time, in seconds.
        :return: prompt tokens per second.
        """
        load = self._get_load(server)
        if self.pool_gain:
            return self._estimate_rate_from_pool(load, now)
        if load.rate_learned_at == float("-inf"):
            # A server without a sample must not appear slower than its peers.
            return max(load.rate, self._get_median_learned_rate(now))
        weight = 0.5 ** (max(0.0, now - load.rate_learned_at) / self.half_life)
        return load.rate**weight * self._get_median_rate(now) ** (1.0 - weight)

    def _estimate_rate_from_pool(self, load, now):
        weight = 0.5 ** (max(0.0, now - load.rate_learned_at) / self.half_life)
        return load.rate**weight * self.pooled_rate_ ** (1.0 - weight)

    def _get_median_rate(self, now):
        """Return the median rate of all servers, cached for a short interval."""
        if now - self.median_rate_at_ >= MEDIAN_INTERVAL_SECONDS:
            rates = [item.rate for item in self.servers_.values()]
            self.median_rate_ = median(rates)
            self.median_rate_at_ = now
        return self.median_rate_

    def _get_median_learned_rate(self, now):
        """Return the median rate of servers with a learned rate; 0 if there is none."""
        if now - self.median_learned_rate_at_ >= MEDIAN_INTERVAL_SECONDS:
            rates = [
                item.rate
                for item in self.servers_.values()
                if item.rate_learned_at > float("-inf")
            ]
            self.median_learned_rate_ = median(rates) if rates else 0.0
            self.median_learned_rate_at_ = now
        return self.median_learned_rate_

    def estimate_backlog(self, server, now):
        """Estimate the prompt tokens that a server has still to compute.

        :param server: name of the backend server.
        :param now: monotonic time, in seconds.
        :return: tokens, 0 or more.
        """
        load = self._get_load(server)
        if load.backlog_tokens <= 0.0:
            return 0.0
        return max(
            0.0,
            load.backlog_tokens
            - self.estimate_rate(server, now) * (now - load.backlog_at),
        )

    def estimate_long_seconds(self, server, now):
        """Estimate the time until a server has computed its last long prompt.

        :param server: name of the backend server.
        :param now: monotonic time, in seconds.
        :return: seconds, below 0 if it has; minus infinity if there was none.
        """
        return self._get_load(server).long_until - now

    def estimate_tokens_ahead(self, server, tokens, now):
        """Estimate the tokens computed ahead of the last token of a new prompt.

        Before an engine that interleaves prompts completes the new one, it computes of
        each other prompt at most as many tokens as the new one has, or one chunk if
        that is more. So a short prompt does not wait for the whole of a long one.

        :param server: name of the backend server.
        :param tokens: prompt tokens of the new request.
        :param now: monotonic time, in seconds.
        :return: tokens, 0 or more.
        """
        backlog = self.estimate_backlog(server, now)
        if not self.chunk_tokens:
            return backlog
        load = self._get_load(server)
        others = max(1, load.running + len(load.recent_dispatches))
        return min(backlog, float(others * max(tokens, self.chunk_tokens)))

    def estimate_prefill_seconds(self, server, tokens, now):
        """Estimate the time that a server takes to compute prompt tokens.

        :param server: name of the backend server.
        :param tokens: prompt tokens to compute.
        :param now: monotonic time, in seconds.
        :return: seconds.
        """
        return tokens / self.estimate_rate(server, now)

    def estimate_fetch_seconds(self, store, size, now):
        """Estimate the time of a fetch, including the wait for the link.

        :param store: name from :func:`get_link_name`.
        :param size: bytes to fetch.
        :param now: monotonic time, in seconds.
        :return: seconds.
        """
        rate = self._get_link_rate(store)
        queued_bytes, received_at, _ = self.link_queues_.get(store, (0, now, 0.0))
        waiting_bytes = max(0.0, queued_bytes - rate * (now - received_at))
        return (waiting_bytes + size) / rate

    def _get_link_rate(self, store):
        rate = self.link_rates_.get(store, self.link_rate)
        _, _, measured_rate = self.link_queues_.get(store, (0, 0.0, 0.0))
        return min(rate, measured_rate) if measured_rate else rate

    def _check_fetch_progress(self, query, now):
        fetch_seconds = (query.ahead + query.size) / self._get_link_rate(query.store)
        recompute_seconds = self.estimate_prefill_seconds(
            query.server, query.tokens, now
        )
        if fetch_seconds > recompute_seconds:
            return GIVE_UP.with_reason(
                f"fetching takes {fetch_seconds:.2f} s, "
                f"recomputing {recompute_seconds:.2f} s"
            )
        return KeepFetching(
            check_after=max(MIN_CHECK_INTERVAL_SECONDS, CHECK_FRACTION * fetch_seconds)
        )

    def decide(self, query, now):
        """Answer an :class:`EstimateQuery` or a :class:`FetchProgressQuery`.

        :param query: :class:`EstimateQuery` or :class:`FetchProgressQuery`.
        :param now: monotonic time, in seconds.
        :return: for an :class:`EstimateQuery` an :class:`Estimate`, or
            ``UNKNOWN_SERVER`` if nothing is known of the server; for a
            :class:`FetchProgressQuery` a :class:`KeepFetching`, or ``GIVE_UP`` if
            recomputing is faster.
        """
        if isinstance(query, FetchProgressQuery):
            return self._check_fetch_progress(query, now)
        if query.server not in self.servers_:
            return UNKNOWN_SERVER.with_reason(
                f"no load report or dispatch of server {query.server} yet"
            )
        rate = self.estimate_rate(query.server, now)
        queue = self.estimate_tokens_ahead(query.server, query.tokens, now) / rate
        fetch = 0.0
        if query.size:
            fetch = self.estimate_fetch_seconds(query.store, query.size, now)
        seconds = self.overhead + max(queue, fetch) + query.tokens / rate
        return Estimate(seconds=seconds, queue=queue, fetch=fetch)


def get_link_name(store, tier):
    """Return the name of the link to one tier of a store.

    Each tier has its own rate and queue.

    :param store: name of the store.
    :param tier: the :class:`wasabistage.cache.Tier` that holds the pieces.
    :return: the name for :class:`EstimateQuery`, :class:`FetchCompleted`,
        :class:`FetchProgressQuery` and :class:`LinkQueueMeasured`.
    """
    return store if tier is Tier.MEMORY else f"{store}/disk"


def _blend_rates(old, new, gain):
    """Return the geometric mean of a rate and a sample, weighted by ``gain``.

    The ratio of the sample to the rate is bounded.
    """
    ratio = min(max(new / old, 1.0 / MAX_RATE_RATIO), MAX_RATE_RATIO)
    return old * ratio**gain
