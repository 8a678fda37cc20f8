"""The policies of one edge process and the state that its tasks share.

Tasks call the policies directly. There must be no suspension point between a decision
and the events that record its effects.
"""

import math
import random

from wasabistage.cache import PartMap
from wasabistage.fleet import (
    KeyFreshness,
    RouteTable,
    ServerTable,
    StoreEra,
    Topic,
)
from wasabistage.quarantine import CrashQuarantine
from wasabistage.retries import WindowRetryPolicy
from wasabistage.rollout import OrderLease, VersionRollout
from wasabistage.routing import (
    CandidateSelector,
    ColdAllowance,
    EvacuationPolicy,
    FirstTokenEstimator,
    HealthPolicy,
    LeastOutstandingRouter,
    PaceEstimator,
    PartRouter,
    ProbabilisticAdmission,
    RankedGate,
    RequestBytesLimiter,
    RestPolicy,
    SilenceDetector,
    SlowMoments,
    WarmthPolicy,
)

#: Fraction of ``key_removal_ms`` for which keys stay valid without a new read. Their
#: age counts from the start of a read, so the rest covers only the network delay of
#: the request.
KEY_TRUST_FRACTION = 0.9
#: Time without a byte after which an engine with open streams counts as silent. An
#: engine that reads long prompts sends an event of several tokens every second.
STREAM_SILENCE_SECONDS = 1.5
BYTES_PER_MEGABYTE = 1e6
PREFILL_OVERHEAD_SECONDS = 0.01  # first engine step and two network hops


class EdgeState:
    """State and policies that the tasks of one process share.

    :param settings: an :class:`EdgeSettings`.
    :param timer: a :class:`wasabistage.timing.TimerService`.
    :param platform: a :class:`PlatformAdapter`.
    :param log: a :class:`wasabistage.telemetry.LineLog`.
    :param metrics: a :class:`wasabistage.telemetry.TextMetrics`.
    :param incarnation: id of this process; each start has a new one.
    """

    def __init__(self, settings, timer, platform, log, metrics, incarnation):
        self.settings = settings
        self.timer = timer
        self.platform = platform
        self.log = log
        self.metrics = metrics
        self.incarnation = incarnation
        self.random = random.Random(incarnation)
        #: The era of the record store, as this entry knows it.
        self.store_era = StoreEra(self._record_era_change)
        self.routes = RouteTable()
        self.servers = ServerTable()
        bounds = settings.bounds
        self.freshness = KeyFreshness(
            bounds.key_removal_ms / 1000.0 * KEY_TRUST_FRACTION
        )
        self.parts = PartMap()
        self.part_router = PartRouter(
            self.parts,
            estimator=FirstTokenEstimator(
                prefill_rate=settings.engines.prefill_rate,
                overhead=PREFILL_OVERHEAD_SECONDS,
                # Engines compute whole prompts in the order of admission.
                chunk_tokens=0,
            ),
        ).reset()
        self.candidate_selector = CandidateSelector().reset()
        #: For crowded fleets, whose entries know the queues of near engines well.
        self.crowded_candidate_selector = CandidateSelector(near=24).reset()
        self.gate = RankedGate().reset()
        self.admission = ProbabilisticAdmission().reset()
        self.plain_router = LeastOutstandingRouter().reset()
        # Response times of engines depend on the prompt, so only failures count.
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
        self.pace = PaceEstimator().reset()
        self.slow_moments = SlowMoments().reset()
        self.rests = RestPolicy().reset()
        self.evacuation = EvacuationPolicy().reset()
        self.warmth = WarmthPolicy().reset()
        self.cold_allowance = ColdAllowance().reset()
        megabytes = bounds.server_request_mb
        self.request_bytes = RequestBytesLimiter(
            limit=None if megabytes is None else megabytes * BYTES_PER_MEGABYTE
        ).reset()
        self.silence = SilenceDetector(stream_limit=STREAM_SILENCE_SECONDS).reset()
        self.quarantine = CrashQuarantine().reset()
        #: The :class:`ServerWait` of each attempt that waits for its server and may be
        #: retried elsewhere, by server.
        self.repeatable_waits = {}
        self.swap = VersionRollout(
            at_once=settings.engines.loads_at_once,
            version_time=bounds.version_ms / 1000.0,
        ).reset()
        self.lease = OrderLease(
            settings.instance.name,
            incarnation,
            turn_time=bounds.order_turn_ms / 1000.0,
        ).reset()
        #: The :class:`FleetView`, :class:`LoadExchange`, :class:`ReportTask`,
        #: :class:`NoticeTask`, :class:`FactExchange`, :class:`SnapshotClient` and
        #: :class:`CrashWatch`, which need this state; set by :class:`EdgeProcess`.
        self.view = None
        self.loads = None
        self.reports = None
        self.notices = None
        self.facts = None
        self.snapshots = None
        self.crash_watch = None
        #: The :class:`wasabistage.http1.Intake`; set by :class:`EdgeProcess`.
        self.intake = None
        self.retries = WindowRetryPolicy(
            ratio=bounds.retry_ratio,
            extra=bounds.retry_extra,
            window=bounds.retry_window_s,
        ).reset()
        #: The :class:`Peer` of each entry that sends reports to this one, by its name.
        self.peers = {}
        #: Pools of channels to backend servers, by address.
        self.pools = {}
        self.open_requests = 0
        self.is_draining = False
        #: Time at which open requests are cut, monotonic seconds; set by a drain.
        self.stops_at = None
        self.has_read_servers = False
        self.server_clock_offset = None
        #: Failure domain of each cache source, by its address.
        self.source_domains = {}

    @property
    def is_ready(self):
        """Whether this entry is ready for requests of callers."""
        return (
            not self.is_draining
            and self.routes.configuration is not None
            and self.has_read_servers
        )

    @property
    def entry_count(self):
        """The number of entries that share the retry budgets, including this one.

        ``None`` while it is unknown.
        """
        return self.view.get_sharer_count()

    @property
    def servers_age(self):
        """Time since the list of servers was last confirmed, in seconds."""
        watch = self.facts.watches.get(str(Topic.SERVERS))
        return math.inf if watch is None else self.timer.now() - watch.confirmed_at

    def get_configuration_version(self):
        """Return the version of the configuration in force; 0 if there is none."""
        configuration = self.routes.configuration
        return 0 if configuration is None else configuration.version

    def get_store_addresses(self):
        """Return the set of the addresses of the cache stores."""
        configuration = self.routes.configuration
        stores = {} if configuration is None else configuration.stores
        return {store.address for store in stores.values()}

    def _record_era_change(self, change):
        """Log a new era of the record store, or a number that is none.

        :param change: a :class:`wasabistage.fleet.EraChange`.
        """
        self.metrics.gauge("store.era", change.era)
        if change.problem:
            self.log.write("store_era_unusable", era=change.era, reason=change.problem)
        elif change.before is not None:
            self.log.write("store_era_risen", before=change.before, era=change.era)

    def get_source_domain(self, address):
        """Return the failure domain of a cache source, or ``""``.

        :param address: address of the source.
        """
        return self.source_domains.get(address, "")

    def record_server_clock(self, clock, *, is_relayed=False):
        """Record the offset of the servers' wall clock from the monotonic clock.

        :param clock: time on the servers' wall clock now, in seconds, or ``None``.
        :param is_relayed: whether another entry has read the clock some time ago, so
            that the offset can only be higher.
        """
        if clock is None:
            return
        offset = clock - self.timer.now()
        if is_relayed and self.server_clock_offset is not None:
            offset = max(offset, self.server_clock_offset)
        self.server_clock_offset = offset

    def get_server_clock(self):
        """Return the time on the servers' wall clock, or ``None`` if it is unknown."""
        return self.to_server_time(self.timer.now())

    def to_server_time(self, moment):
        """Convert a time to the servers' wall clock.

        :param moment: monotonic seconds.
        :return: seconds, or ``None`` if the offset of the clock is unknown.
        """
        if self.server_clock_offset is None:
            return None
        return moment + self.server_clock_offset
