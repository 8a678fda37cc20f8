"""Which backend servers get new work: breakers, ejection, slow start, leaving."""

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
    service: str
    incarnation: str
    state: Health = Health.CLOSED
    since: float = 0.0
    retry_at: float = 0.0
    opened: int = 0
    probing: int = 0
    probed: int = 0
    outcomes: deque = field(default_factory=deque)
    usual: float | None = None

    def add(self, event, window):
        """Remember an outcome, at most ``window`` of them."""
        self.outcomes.append((event.ok, event.seconds))
        if len(self.outcomes) > window:
            self.outcomes.popleft()
        self.usual = None

    def clear(self):
        """Forget the outcomes."""
        self.outcomes.clear()
        self.usual = None

    def usual_seconds(self, min_outcomes):
        """Return the median time of good calls, 0 for too few."""
        if self.usual is None:
            seconds = [item for ok, item in self.outcomes if ok]
            self.usual = median(seconds) if len(seconds) >= min_outcomes else 0.0
        return self.usual


class BaseHealthPolicy(Policy):
    """Base of the health policies: knows servers and their leaving."""

    def reset(self):
        """Forget all servers."""
        self.servers_ = {}
        self.changes_ = []
        return self

    def observe(self, event, now):
        """Take in a server's appearance, leaving, or a call's start or end.

        :param event: :class:`ServerAppeared`, :class:`ServerLeaving`,
            :class:`ServerRemoved`, :class:`CallStarted` or :class:`CallEnded`.
        :param now: monotonic time, in seconds.
        """
        if isinstance(event, ServerAppeared):
            self._see(event, now)
        elif isinstance(event, ServerRemoved):
            self.servers_.pop(event.server, None)
        elif isinstance(event, ServerLeaving):
            self._leave(event, now)

    def _see(self, event, now):
        known = self.servers_.get(event.server)
        if known and known.incarnation == event.incarnation:
            return
        if not known and len(self.servers_) >= MAX_SERVERS:
            return
        state = _ServerState(event.service, event.incarnation, since=now)
        self.servers_[event.server] = state
        if event.starts_slowly:
            self._enter(event.server, Health.SLOW_START, now)

    def _leave(self, event, now):
        known = self.servers_.get(event.server)
        if known and event.incarnation in ("", known.incarnation):
            self._enter(event.server, Health.LEAVING, now)

    def _enter(self, server, state, now):
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
        :return: a tuple of :class:`ServerHealth`, one per server of the service.
        """
        return tuple(
            self._health(server, state, now)
            for server, state in self.servers_.items()
            if state.service == query.service
        )

    def _health(self, server, state, now):
        usable = state.state is not Health.LEAVING
        return ServerHealth(
            server=server, state=state.state, usable=usable, weight=float(usable)
        )

    def tick(self, now):
        """Report the changes of state since the last call.

        :param now: monotonic time, in seconds.
        :return: a list of :class:`HealthChanged`.
        """
        changes, self.changes_ = self.changes_, []
        return changes


class NoEjection(BaseHealthPolicy):
    """Baseline: every server that is not leaving gets work."""


class HealthPolicy(BaseHealthPolicy):
    """Breaker by recent outcomes and latency, with half-open probes and slow start.

    A server opens when its share of failures, or the time of its quick calls
    against its peers' usual ones, passes a threshold. After a growing delay it takes
    a few probes; good ones lead to a slow start, a bad one opens it again. Servers
    open, half open or leaving together never pass ``max_ejected`` of a service by
    this policy's own doing; past it further suspects stay in use.

    :param window: outcomes remembered per server.
    :param min_outcomes: outcomes needed before a server is judged.
    :param failure_share: share of failures that opens a server, 0 to 1.
    :param failure_factor: failures against the peers' median that it takes besides,
        since nothing is won by ejection where all fail alike.
    :param slow_factor: time of quick calls against the peers' usual ones that opens a
        server.
    :param open_delay: seconds open at first, doubled at each reopening.
    :param max_open_delay: bound of that delay, in seconds.
    :param probes: calls admitted while half open.
    :param slow_start: seconds until a returned server has its full share.
    :param first_weight: share of work at the start of a slow start.
    :param max_ejected: largest share of a service's servers kept out, below 0.5.
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
        """Check the arguments and forget all servers."""
        for name in ("window", "min_outcomes", "open_delay", "probes", "slow_start"):
            if getattr(self, name) <= 0:
                raise SettingError(
                    f"{name} is not positive", remedy=f"set {name} above 0"
                )
        for name in ("failure_share", "first_weight"):
            if not 0 < getattr(self, name) <= 1:
                raise SettingError(
                    f"{name} is out of range", remedy=f"set {name} above 0, up to 1"
                )
        if not 0 <= self.max_ejected < 0.5:
            raise SettingError(
                "max_ejected is out of range",
                remedy="set max_ejected from 0 to below 0.5",
            )
        return super().reset()

    def observe(self, event, now):
        """See :meth:`BaseHealthPolicy.observe`; also judges outcomes."""
        super().observe(event, now)
        if isinstance(event, CallStarted):
            self._start(event, now)
        elif isinstance(event, CallEnded):
            self._end(event, now)

    def _start(self, event, now):
        state = self.servers_.get(event.server)
        if state is None:
            return
        if state.state is Health.OPEN and now >= state.retry_at:
            state.probing = state.probed = 0
            self._enter(event.server, Health.HALF_OPEN, now)
        if state.state is Health.HALF_OPEN:
            state.probing += 1

    def _end(self, event, now):
        state = self.servers_.get(event.server)
        if state is None:
            return
        state.add(event, self.window)
        if state.state is Health.HALF_OPEN:
            self._end_probe(event, state, now)
        elif state.state in (Health.CLOSED, Health.SLOW_START):
            if self._suspect(event.server, state) and self._may_eject(state):
                self._open(event.server, state, now)

    def _end_probe(self, event, state, now):
        if not event.ok or self._too_slow(event.server, state, [event.seconds]):
            self._open(event.server, state, now)
            return
        state.probed += 1
        if state.probed >= self.probes:
            state.clear()
            self._enter(event.server, Health.SLOW_START, now)

    def _open(self, server, state, now):
        delay = self.open_delay * 2 ** min(state.opened, MAX_BACKOFF_STEPS)
        state.retry_at = now + min(delay, self.max_open_delay)
        state.opened += 1
        state.clear()
        self._enter(server, Health.OPEN, now)

    def _suspect(self, server, state):
        if len(state.outcomes) < self.min_outcomes:
            return False
        if self._failing(server, state):
            return True
        times = [seconds for ok, seconds in state.outcomes if ok]
        return self._too_slow(server, state, times)

    def _failing(self, server, state):
        """Tell whether a server fails much, and more than its peers do."""
        share = _failed_share(state)
        if share < self.failure_share:
            return False
        peers = [
            _failed_share(other)
            for name, other in self.servers_.items()
            if name != server
            and other.service == state.service
            and len(other.outcomes) >= self.min_outcomes
        ]
        return not peers or share >= self.failure_factor * median(peers)

    def _too_slow(self, server, state, times):
        """Compare a server's quick calls with its peers' usual ones.

        The lower quartile leaves out what waited in a queue for a while; and where
        a whole service turns slow, its usual calls are slow before quick ones are.
        """
        others = [
            other.usual_seconds(self.min_outcomes)
            for name, other in self.servers_.items()
            if name != server and other.service == state.service
        ]
        peers = [seconds for seconds in others if seconds > 0.0]
        if len(peers) < MIN_PEERS_FOR_LATENCY or not times:
            return False
        return _lower_quartile(times) > self.slow_factor * median(peers)

    def _may_eject(self, state):
        """Keep the majority of a service in use, leaving servers counted out."""
        peers = [
            item for item in self.servers_.values() if item.service == state.service
        ]
        out = sum(
            item.state in (Health.OPEN, Health.HALF_OPEN, Health.LEAVING)
            for item in peers
        )
        return out + 1 <= self.max_ejected * len(peers)

    def decide(self, query, now):
        """See :meth:`BaseHealthPolicy.decide`.

        Where other servers left since, open servers are put back into use, the
        nearest to its next probe first, until a majority of those that stay is in
        use again.
        """
        healths = super().decide(query, now)
        staying = [item for item in healths if item.state is not Health.LEAVING]
        shut = [item for item in staying if not item.usable]
        excess = len(shut) - int(self.max_ejected * len(staying))
        if excess <= 0:
            return healths
        shut.sort(key=lambda item: (self.servers_[item.server].retry_at, item.server))
        spared = {item.server for item in shut[:excess]}
        return tuple(
            replace(item, usable=True, weight=self.first_weight)
            if item.server in spared
            else item
            for item in healths
        )

    def _health(self, server, state, now):
        usable, weight = True, 1.0
        if state.state is Health.LEAVING:
            usable, weight = False, 0.0
        elif state.state is Health.OPEN:
            usable, weight = now >= state.retry_at, self.first_weight
        elif state.state is Health.HALF_OPEN:
            usable, weight = state.probing < self.probes, self.first_weight
        elif state.state is Health.SLOW_START:
            weight = self._ramp(state, now)
        return ServerHealth(
            server=server,
            state=state.state,
            usable=usable,
            weight=weight if usable else 0.0,
        )

    def _ramp(self, state, now):
        share = min(1.0, max(0.0, now - state.since) / self.slow_start)
        return self.first_weight + (1.0 - self.first_weight) * share

    def tick(self, now):
        """End slow starts that are through, and lost probes; report changes."""
        for server, state in self.servers_.items():
            age = now - state.since
            if state.state is Health.SLOW_START and age >= self.slow_start:
                self._enter(server, Health.CLOSED, now)
                state.opened = max(0, state.opened - 1)
            elif state.state is Health.HALF_OPEN and age >= self.max_open_delay:
                self._open(server, state, now)
        return super().tick(now)


def _failed_share(state):
    """Return the share of failed outcomes, 0 to 1."""
    return sum(not ok for ok, _ in state.outcomes) / len(state.outcomes)


def _lower_quartile(values):
    """Return the value below which a quarter of the values lies."""
    return sorted(values)[len(values) // 4]
