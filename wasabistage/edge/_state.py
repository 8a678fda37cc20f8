"""The decisions of one edge process and the facts that they share.

They are called directly by the tasks, without a suspension point between a decision
and what follows from it.
"""

import random

from wasabistage.cache import PartMap
from wasabistage.fleet import KeyFreshness, RouteTable, ServerTable
from wasabistage.retries import WindowRetryPolicy
from wasabistage.rollout import OrderLease, VersionRollout
from wasabistage.routing import (
    FirstTokenEstimator,
    HealthPolicy,
    LeastOutstandingRouter,
    PartRouter,
    RankedGate,
    SilenceDetector,
)

#: Part of the time until a removed key must be dead for which keys are trusted. Their
#: age counts from the begin of a read, so the rest covers only the caller's way here.
TRUST_SHARE = 0.9
PREFILL_OVERHEAD = 0.01  # seconds; first step and two hops


class EdgeState:
    """Everything that the tasks of one process share.

    :param settings: an :class:`EdgeSettings`.
    :param timer: a :class:`wasabistage.timing.TimerService`.
    :param platform: a :class:`PlatformAdapter`.
    :param log: a :class:`wasabistage.telemetry.LineLog`.
    :param metrics: a :class:`wasabistage.telemetry.TextMetrics`.
    :param incarnation: id of this process's life.
    """

    def __init__(self, settings, timer, platform, log, metrics, incarnation):
        self.settings = settings
        self.timer = timer
        self.platform = platform
        self.log = log
        self.metrics = metrics
        self.incarnation = incarnation
        self.random = random.Random(incarnation)
        self.routes = RouteTable()
        self.servers = ServerTable()
        bounds = settings.bounds
        self.freshness = KeyFreshness(bounds.key_removal_ms / 1000.0 * TRUST_SHARE)
        self.parts = PartMap()
        self.part_router = PartRouter(
            self.parts,
            estimator=FirstTokenEstimator(
                prefill_rate=settings.engines.prefill_rate,
                overhead=PREFILL_OVERHEAD,
                # Engines compute prompts in the order in which they admitted them.
                chunk_tokens=0,
            ),
        ).reset()
        self.gate = RankedGate().reset()
        self.plain_router = LeastOutstandingRouter().reset()
        # Engines' times differ by prompt, so only failures are judged.
        self.health = HealthPolicy(
            window=12,
            min_outcomes=3,
            failure_share=0.5,
            slow_factor=1e9,
            open_delay=0.5,
            max_open_delay=4.0,
            probes=1,
            slow_start=1.0,
            first_weight=0.3,
        ).reset()
        self.silence = SilenceDetector().reset()
        #: Cancel scopes of the attempts that may be sent elsewhere, by server.
        self.movable = {}
        self.swap = VersionRollout(at_once=settings.engines.loads_at_once).reset()
        self.lease = OrderLease(
            settings.instance.name,
            incarnation,
            turn_time=bounds.order_turn_ms / 1000.0,
        ).reset()
        #: The :class:`GossipTask` and :class:`FactsClient`, set by the process.
        self.gossip = None
        self.facts = None
        self.retries = WindowRetryPolicy(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window=bounds.retry_window_s,
        ).reset()
        self.peers = {}
        self.pools = {}
        self.open_requests = 0
        self.is_draining = False
        #: When this process must have ended, monotonic seconds; only while draining.
        self.stops_at = None
        self.servers_read = False
        self.server_clock_offset = None

    @property
    def is_ready(self):
        """Whether callers should be sent here."""
        return (
            not self.is_draining
            and self.routes.configuration is not None
            and self.servers_read
        )

    @property
    def entries(self):
        """The number of entries that share common budgets, this one included."""
        return 1 + len(self.peers)

    def note_server_clock(self, clock):
        """Note the servers' wall clock, to name times that they understand.

        :param clock: seconds, or ``None``.
        """
        if clock is not None:
            self.server_clock_offset = clock - self.timer.now()

    def server_time(self, moment):
        """Return a moment on the servers' wall clock, or ``None`` if it is unknown.

        :param moment: monotonic seconds.
        """
        if self.server_clock_offset is None:
            return None
        return moment + self.server_clock_offset
