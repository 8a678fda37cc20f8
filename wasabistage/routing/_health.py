"""Policies that decide which backend servers receive new work.

They combine circuit breakers, ejection of outliers, slow start and announcements of
servers that leave.
"""

from collections import deque
from dataclasses import dataclass, field, replace
from statistics import median

from wasabistage.base import Policy
from wasabistage.exceptions import SettingError
from wasabistage.routing._health_messages import (
    CallEnded,
    CallStarted,
    Health,
    HealthChanged,
    PeerCallsEnded,
    ServerAppeared,
    ServerHealth,
    ServerLeaving,
    ServerRemoved,
)

MAX_SERVERS = 4096
MIN_PEERS_FOR_LATENCY = 3
MAX_BACKOFF_STEPS = 6


@dataclass
class _ServerState:
    """State of one server.

    :ivar since: time of the last change of state.
    :ivar retry_at: time from which an open breaker admits probes.
    :ivar open_count: number of openings, less one for each completed slow start.
    """

    service: str
    incarnation: str
    state: Health = Health.CLOSED
    since: float = 0.0
    retry_at: float = 0.0
    open_count: int = 0
    probes_started: int = 0
    probes_succeeded: int = 0
    outcomes: deque = field(default_factory=deque)
    cached_median_seconds: float | None = None

    def add_outcome(self, ok, seconds, window):
        """Add an outcome; keep the newest ``window`` of them.

        :param ok: whether the call succeeded.
        :param seconds: its duration, or ``None`` if it is unknown.
        :param window: number of outcomes kept.
        """
        self.outcomes.append((ok, seconds))
        if len(self.outcomes) > window:
            self.outcomes.popleft()
        self.cached_median_seconds = None

    def clear_outcomes(self):
        """Clear the outcomes."""
        self.outcomes.clear()
        self.cached_median_seconds = None

    def compute_median_seconds(self, min_outcomes):
        """Return the median duration of successful calls; 0 if there are too few."""
        if self.cached_median_seconds is None:
            seconds = [item for ok, item in self.outcomes if ok and item is not None]
            self.cached_median_seconds = (
                median(seconds) if len(seconds) >= min_outcomes else 0.0
            )
        return self.cached_median_seconds


class BaseHealthPolicy(Policy):
    """Base class of the health policies, which tracks servers and their leaving."""

    def reset(self):
        """Clear all servers."""
        self.servers_ = {}
        self.changes_ = []
        return self

    def observe(self, event, now):
        """Record that a server appeared, leaves or was removed.

        :param event: :class:`ServerAppeared`, :class:`ServerLeaving`,
            :class:`ServerRemoved`, :class:`CallStarted` or :class:`CallEnded`; the base
            class ignores the last two.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, ServerAppeared):
            self._record_server(event, now)
        elif isinstance(event, ServerRemoved):
            self.servers_.pop(event.server, None)
        elif isinstance(event, ServerLeaving):
            self._record_leaving(event, now)

    def _record_server(self, event, now):
        known = self.servers_.get(event.server)
        if known and known.incarnation == event.incarnation:
            return
        if not known and len(self.servers_) >= MAX_SERVERS:
            return
        state = _ServerState(event.service, event.incarnation, since=now)
        self.servers_[event.server] = state
        if event.starts_slowly:
            self._set_state(event.server, Health.SLOW_START, now)

    def _record_leaving(self, event, now):
        known = self.servers_.get(event.server)
        if known and event.incarnation in ("", known.incarnation):
            self._set_state(event.server, Health.LEAVING, now)

    def _set_state(self, server, state, now):
        known = self.servers_[server]
        if known.state is Health.LEAVING:
            return
        known.state = state
        known.since = now
        self.changes_.append(HealthChanged(server=server, state=state))

    def decide(self, query, now):
        """Answer a :class:`HealthQuery`.

        :param query: :class:`HealthQuery`.
        :param now: monotonic time, in seconds.
        :return: a tuple of :class:`ServerHealth`, one for each server of the service.
        """
        return tuple(
            self._build_health(server, state, now)
            for server, state in self.servers_.items()
            if state.service == query.service
        )

    def _build_health(self, server, state, now):
        usable = state.state is not Health.LEAVING
        return ServerHealth(
            server=server, state=state.state, usable=usable, weight=float(usable)
        )

    def tick(self, now):
        """Return the changes of state since the last call.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`HealthChanged`.
        """
        changes, self.changes_ = self.changes_, []
        return changes


class NoEjection(BaseHealthPolicy):
    """Baseline in which every server that is not leaving receives work."""


class HealthPolicy(BaseHealthPolicy):
    """Circuit breaker by recent failures and latency, with probes and slow start.

    The breaker of a server opens if the fraction of failed calls reaches both a
    threshold and a multiple of its peers' median, or if the lower quartile of its call
    durations exceeds a multiple of its peers' median. After a delay that grows with
    each opening, the server receives a few probes. If they succeed, a slow start
    begins; if one fails, the breaker opens again. A server is ejected while its breaker
    is open or half open. The policy opens a breaker only if the servers that are open,
    half open or leaving then make up at most ``max_ejected`` of the service. Otherwise
    the suspect server stays in use.

    :param window: number of outcomes kept for each server.
    :param min_outcomes: minimum number of outcomes for a server to be ejected, and to
        be compared with as a peer.
    :param failure_share: fraction of failed calls that opens a breaker, above 0, up
        to 1.
    :param failure_factor: minimum ratio of a server's fraction of failed calls to the
        median of its peers' fractions for its breaker to open. If all servers fail
        alike, ejecting one gains nothing.
    :param slow_factor: ratio of the lower quartile of a server's call durations to the
        median of its peers' medians above which its breaker opens.
    :param open_delay: time for which a breaker stays open after its first opening, in
        seconds; it doubles with each opening.
    :param max_open_delay: upper bound of that time, in seconds; also the time after
        which a half-open breaker without enough results opens again.
    :param probes: number of calls sent to a half-open server.
    :param slow_start: duration of the slow start, in seconds.
    :param first_weight: fraction of its normal work that a server receives at the
        beginning of the slow start, above 0, up to 1.
    :param max_ejected: largest fraction of a service's servers that are ejected, from
        0 to below 0.5.
    """

    def __init__(
        self,
        *,
        window=32,
        min_outcomes=8,
        failure_share=0.2,
        failure_factor=2.0,
        slow_factor=2.0,
        open_delay=2.0,
        max_open_delay=60.0,
        probes=3,
        slow_start=10.0,
        first_weight=0.1,
        max_ejected=0.49,
    ):
        self.window = window
        self.min_outcomes = min_outcomes
        self.failure_share = failure_share
        self.failure_factor = failure_factor
        self.slow_factor = slow_factor
        self.open_delay = open_delay
        self.max_open_delay = max_open_delay
        self.probes = probes
        self.slow_start = slow_start
        self.first_weight = first_weight
        self.max_ejected = max_ejected

    def reset(self):
        """Check the arguments and clear all servers."""
        for name in ("window", "min_outcomes", "open_delay", "probes", "slow_start"):
            if getattr(self, name) <= 0:
                raise SettingError(
                    f"{name} must be above 0, but is {getattr(self, name)!r}",
                    remedy=f"set {name} to a value above 0",
                )
        for name in ("failure_share", "first_weight"):
            if not 0 < getattr(self, name) <= 1:
                raise SettingError(
                    f"{name} must be above 0 and at most 1, but is "
                    f"{getattr(self, name)!r}",
                    remedy=f"set {name} to a value above 0, up to 1",
                )
        if not 0 <= self.max_ejected < 0.5:
            raise SettingError(
                "max_ejected must be at least 0 and below 0.5, but is "
                f"{self.max_ejected!r}",
                remedy="set max_ejected to a value from 0 to below 0.5",
            )
        return super().reset()

    def observe(self, event, now):
        """Record an event, and open the breaker of a server that fails or is slow.

        See :meth:`BaseHealthPolicy.observe`.
        """
        super().observe(event, now)
        if isinstance(event, CallStarted):
            self._record_start(event, now)
        elif isinstance(event, CallEnded):
            self._record_end(event, now)
        elif isinstance(event, PeerCallsEnded):
            self._record_peer_ends(event, now)

    def _record_start(self, event, now):
        state = self.servers_.get(event.server)
        if state is None:
            return
        if state.state is Health.OPEN and now >= state.retry_at:
            state.probes_started = state.probes_succeeded = 0
            self._set_state(event.server, Health.HALF_OPEN, now)
        if state.state is Health.HALF_OPEN:
            state.probes_started += 1

    def _record_end(self, event, now):
        state = self.servers_.get(event.server)
        if state is None:
            return
        state.add_outcome(event.ok, event.seconds, self.window)
        if state.state is Health.HALF_OPEN:
            self._record_probe_end(event, state, now)
        elif state.state in (Health.CLOSED, Health.SLOW_START):
            if self._should_eject(event.server, state) and self._may_eject(state):
                self._open_breaker(event.server, state, now)

    def _record_peer_ends(self, event, now):
        """Count calls of other entries like own ones, without their durations.

        While the server is ejected, failed calls of others postpone the own probe, so
        that a fleet does not probe a lost server once per entry.
        """
        state = self.servers_.get(event.server)
        if state is None:
            return
        if state.state is Health.OPEN:
            if event.failed and not event.ok:
                delay = min(self._get_open_delay(state), self.max_open_delay)
                retry_at = now + delay * (0.5 + event.draw)
                state.retry_at = max(state.retry_at, retry_at)
            elif event.ok and not event.failed:
                state.retry_at = min(state.retry_at, now)
            return
        if state.state not in (Health.CLOSED, Health.SLOW_START):
            return
        for ok in spread_outcomes(event.ok, event.failed, self.window):
            state.add_outcome(ok, None, self.window)
        if event.failed and self._should_eject(event.server, state):
            if self._may_eject(state):
                self._open_breaker(event.server, state, now)

    def _get_open_delay(self, state):
        return self.open_delay * 2 ** min(state.open_count, MAX_BACKOFF_STEPS)

    def _record_probe_end(self, event, state, now):
        if not event.ok or self._is_too_slow(event.server, state, [event.seconds]):
            self._open_breaker(event.server, state, now)
            return
        state.probes_succeeded += 1
        if state.probes_succeeded >= self.probes:
            state.clear_outcomes()
            self._set_state(event.server, Health.SLOW_START, now)

    def _open_breaker(self, server, state, now):
        state.retry_at = now + min(self._get_open_delay(state), self.max_open_delay)
        state.open_count += 1
        state.clear_outcomes()
        self._set_state(server, Health.OPEN, now)

    def _should_eject(self, server, state):
        if len(state.outcomes) < self.min_outcomes:
            return False
        if self._is_failing(server, state):
            return True
        durations = [
            seconds for ok, seconds in state.outcomes if ok and seconds is not None
        ]
        return self._is_too_slow(server, state, durations)

    def _is_failing(self, server, state):
        """Return whether a server fails often, and more often than its peers."""
        share = _compute_failure_share(state)
        if share < self.failure_share:
            return False
        peer_shares = [
            _compute_failure_share(other)
            for name, other in self.servers_.items()
            if name != server
            and other.service == state.service
            and len(other.outcomes) >= self.min_outcomes
        ]
        return not peer_shares or share >= self.failure_factor * median(peer_shares)

    def _is_too_slow(self, server, state, durations):
        """Return whether a server is slow in comparison with its peers.

        The lower quartile of the server's call durations is compared with its peers'
        medians. The lower quartile is not affected by calls that wait in a queue for a
        while. If a whole service becomes slow, the medians rise before the lower
        quartiles, so that no server is ejected.
        """
        medians = [
            other.compute_median_seconds(self.min_outcomes)
            for name, other in self.servers_.items()
            if name != server and other.service == state.service
        ]
        peer_medians = [seconds for seconds in medians if seconds > 0.0]
        if len(peer_medians) < MIN_PEERS_FOR_LATENCY or not durations:
            return False
        return _compute_lower_quartile(durations) > self.slow_factor * median(
            peer_medians
        )

    def _may_eject(self, state):
        """Return whether one more server may be ejected.

        A majority of the service stays in use; servers that leave count as ejected.
        """
        peers = [
            item for item in self.servers_.values() if item.service == state.service
        ]
        unavailable = sum(
            item.state in (Health.OPEN, Health.HALF_OPEN, Health.LEAVING)
            for item in peers
        )
        return unavailable + 1 <= self.max_ejected * len(peers)

    def decide(self, query, now):
        """See :meth:`BaseHealthPolicy.decide`.

        If too few servers are in use because others leave, ejected servers are put
        back into use, those with the earliest next probe first, until a majority of
        the servers that do not leave is in use.
        """
        healths = super().decide(query, now)
        staying = [item for item in healths if item.state is not Health.LEAVING]
        ejected = [item for item in staying if not item.usable]
        excess = len(ejected) - int(self.max_ejected * len(staying))
        if excess <= 0:
            return healths
        ejected.sort(
            key=lambda item: (self.servers_[item.server].retry_at, item.server)
        )
        restored = {item.server for item in ejected[:excess]}
        return tuple(
            replace(item, usable=True, weight=self.first_weight)
            if item.server in restored
            else item
            for item in healths
        )

    def _build_health(self, server, state, now):
        usable, weight = True, 1.0
        if state.state is Health.LEAVING:
            usable, weight = False, 0.0
        elif state.state is Health.OPEN:
            usable, weight = now >= state.retry_at, self.first_weight
        elif state.state is Health.HALF_OPEN:
            usable, weight = state.probes_started < self.probes, self.first_weight
        elif state.state is Health.SLOW_START:
            weight = self._get_slow_start_weight(state, now)
        return ServerHealth(
            server=server,
            state=state.state,
            usable=usable,
            weight=weight if usable else 0.0,
        )

    def _get_slow_start_weight(self, state, now):
        elapsed_fraction = min(1.0, max(0.0, now - state.since) / self.slow_start)
        return self.first_weight + (1.0 - self.first_weight) * elapsed_fraction

    def tick(self, now):
        """End slow starts, and reopen half-open breakers whose probes are lost.

        See :meth:`BaseHealthPolicy.tick`.
        """
        for server, state in self.servers_.items():
            age = now - state.since
            if state.state is Health.SLOW_START and age >= self.slow_start:
                self._set_state(server, Health.CLOSED, now)
                state.open_count = max(0, state.open_count - 1)
            elif state.state is Health.HALF_OPEN and age >= self.max_open_delay:
                self._open_breaker(server, state, now)
        return super().tick(now)


def _compute_failure_share(state):
    """Return the fraction of failed outcomes, 0 to 1."""
    return sum(not ok for ok, _ in state.outcomes) / len(state.outcomes)


def _compute_lower_quartile(values):
    """Return the value below which a quarter of the values lie."""
    return sorted(values)[len(values) // 4]


def spread_outcomes(ok, failed, window):
    """Return outcomes in the given proportion, evenly mixed.

    :param ok: number of calls that succeeded.
    :param failed: number of calls that failed.
    :param window: largest number of outcomes returned.
    :return: list of whether each call succeeded.
    """
    count = min(ok + failed, window)
    succeeded = round(ok * count / (ok + failed)) if count else 0
    return [
        (number + 1) * succeeded // count > number * succeeded // count
        for number in range(count)
    ]
