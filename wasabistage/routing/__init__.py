"""Choice of the backend server for a request.

Wiring into tasks: one task owns one :class:`HealthPolicy` and one :class:`Router`
and gets every message over a bounded channel.

- Load reports, dispatches, first tokens, ends, transfers go to ``router.observe``.
- Every 0.2 s or so each entry instance tells its peers the tokens it
  sent to each server since; they observe :class:`PeerDispatched`. The ends of calls
  go to the peers' ``health.observe`` in the same message. Without this, reports
  that lag by a second make routing worse than round robin.
- Live list, refusals, call starts and ends go to ``health.observe``. A
  :class:`CallStarted` must be observed in the same step as the decision that led to
  it, so that a half-open server is not sent more than its probes.
- For a request: ``health.decide(HealthQuery)`` gives usable servers and weights;
  with each server's own reported version they become the :class:`Candidate` tuple.
  ``PrefixIndex.decide`` and ``StoreIndex.decide`` give ``held`` and ``stored``. Then
  ``router.decide(RouteQuery)``.
- A fetch that runs longer than ``check_fetch_after``, and a prompt that waits for
  staged pieces: ``router.estimator_.decide(FetchProgress)``; ``GIVE_UP`` means cancel
  the transfer, verify and import the pieces that came, recompute the rest.
- ``health.tick`` about once a second; its actions are logged and counted.
"""

from wasabistage.routing._engine_gate import (
    PASS,
    TOO_LATE,
    WAIT,
    EngineGate,
    GateQuery,
    Left,
    OpenGate,
    RankedGate,
)
from wasabistage.routing._estimate import (
    GIVE_UP,
    UNKNOWN_SERVER,
    FirstTokenEstimator,
    link_name,
)
from wasabistage.routing._health import (
    BaseHealthPolicy,
    HealthPolicy,
    NoEjection,
)
from wasabistage.routing._health_messages import (
    CallEnded,
    CallStarted,
    Health,
    HealthChanged,
    HealthQuery,
    ServerHealth,
    ServerLeaving,
    ServerRemoved,
    ServerSeen,
)
from wasabistage.routing._load import (
    Dispatched,
    DispatchEnded,
    Estimate,
    EstimateQuery,
    FetchDone,
    FetchProgress,
    FirstToken,
    KeepFetching,
    LinkQueue,
    LoadReport,
    PeerDispatched,
)
from wasabistage.routing._messages import Candidate, Plan, RouteDecision, RouteQuery
from wasabistage.routing._part_router import (
    MemoryPromised,
    MemoryReturned,
    PartCandidate,
    PartDecision,
    PartQuery,
    PartRouter,
    PartStore,
    PeerMemory,
    order_stores,
)
from wasabistage.routing._router import (
    NO_SERVER,
    LeastLoadedRouter,
    LeastOutstandingRouter,
    PredictiveRouter,
    RandomRouter,
    RoundRobinRouter,
    Router,
    StickyRouter,
)
from wasabistage.routing._silence import (
    SilenceDetector,
    SilenceQuery,
    WorkEnded,
    WorkHeard,
    WorkSent,
)

__all__ = [
    "BaseHealthPolicy",
    "CallEnded",
    "CallStarted",
    "Candidate",
    "DispatchEnded",
    "Dispatched",
    "EngineGate",
    "Estimate",
    "EstimateQuery",
    "FetchDone",
    "FetchProgress",
    "FirstToken",
    "FirstTokenEstimator",
    "GIVE_UP",
    "GateQuery",
    "Health",
    "HealthChanged",
    "HealthPolicy",
    "HealthQuery",
    "KeepFetching",
    "LeastLoadedRouter",
    "LeastOutstandingRouter",
    "Left",
    "LinkQueue",
    "LoadReport",
    "MemoryPromised",
    "MemoryReturned",
    "NO_SERVER",
    "NoEjection",
    "OpenGate",
    "PASS",
    "PartCandidate",
    "PartDecision",
    "PartQuery",
    "PartRouter",
    "PartStore",
    "PeerDispatched",
    "PeerMemory",
    "Plan",
    "PredictiveRouter",
    "RandomRouter",
    "RankedGate",
    "RoundRobinRouter",
    "RouteDecision",
    "RouteQuery",
    "Router",
    "ServerHealth",
    "ServerLeaving",
    "ServerRemoved",
    "ServerSeen",
    "SilenceDetector",
    "SilenceQuery",
    "StickyRouter",
    "TOO_LATE",
    "UNKNOWN_SERVER",
    "WAIT",
    "WorkEnded",
    "WorkHeard",
    "WorkSent",
    "link_name",
    "order_stores",
]
