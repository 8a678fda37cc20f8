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

from wasabistage.utils import lazy_names

__getattr__, __all__ = lazy_names(
    __name__,
    {
        "_engine_gate": (
            "EngineGate",
            "GateQuery",
            "WaitEnded",
            "OpenGate",
            "PASS",
            "RankedGate",
            "TOO_LATE",
            "WAIT",
        ),
        "_estimate": (
            "FirstTokenEstimator",
            "GIVE_UP",
            "UNKNOWN_SERVER",
            "get_link_name",
        ),
        "_health": (
            "BaseHealthPolicy",
            "HealthPolicy",
            "NoEjection",
        ),
        "_health_messages": (
            "CallEnded",
            "CallStarted",
            "Health",
            "HealthChanged",
            "HealthQuery",
            "ServerHealth",
            "ServerLeaving",
            "ServerRemoved",
            "ServerAppeared",
        ),
        "_load": (
            "DispatchEnded",
            "Dispatched",
            "Estimate",
            "EstimateQuery",
            "FetchCompleted",
            "FetchProgress",
            "FirstToken",
            "KeepFetching",
            "LinkQueue",
            "LoadReport",
            "PeerDispatched",
        ),
        "_messages": (
            "Candidate",
            "Plan",
            "RouteDecision",
            "RouteQuery",
        ),
        "_part_router": (
            "MemoryReserved",
            "MemoryReleased",
            "PartCandidate",
            "PartDecision",
            "PartQuery",
            "PartRouter",
            "PartStore",
            "PeerMemoryReserved",
            "order_stores",
        ),
        "_router": (
            "LeastLoadedRouter",
            "LeastOutstandingRouter",
            "NO_SERVER",
            "PredictiveRouter",
            "RandomRouter",
            "RoundRobinRouter",
            "Router",
            "StickyRouter",
        ),
        "_silence": (
            "SilenceDetector",
            "SilenceQuery",
            "WorkEnded",
            "BytesReceived",
            "WorkSent",
        ),
    },
)
