"""Policies that select the backend server for a request.

One task owns one :class:`HealthPolicy` and one :class:`Router` and receives every
message over a bounded channel:

- ``router.observe`` receives load reports, dispatches, first tokens, ends of attempts
  and transfers.
- Each entry instance sends its peers, about every 0.2 s, the number of tokens that it
  has sent to each server since its last message. The peers observe them as
  :class:`PeerDispatched`. Without these messages, load reports that lag by one second
  would make routing worse than round robin. The same messages carry the ends of calls
  for the peers' ``health.observe``.
- ``health.observe`` receives the servers that appear, announce that they stop or are
  removed, and the starts and ends of calls. :class:`CallStarted` must be observed in
  the same step as the decision that leads to the call. Otherwise a half-open server
  receives more calls than its probes.
- To route a request, ``health.decide(HealthQuery)`` returns the usable servers and
  their weights. Together with the version that each server has reported, they make up
  the :class:`Candidate` tuple. ``PrefixIndex.decide`` and ``StoreIndex.decide`` return
  ``held`` and ``stored``. Then ``router.decide(RouteQuery)`` selects the server.
- ``router.estimator_.decide(FetchProgressQuery)`` is called for a fetch that takes
  longer than ``RouteDecision.check_fetch_after`` and for a prompt that waits for staged
  pieces. On ``GIVE_UP`` the caller cancels the transfer, verifies and imports the
  pieces that have arrived, and recomputes the rest.
- ``health.tick`` is called about once a second. The changes that it returns are logged
  and counted.
"""

from wasabistage.utils import build_lazy_exports

__getattr__, __all__ = build_lazy_exports(
    __name__,
    {
        "_engine_gate": (
            "EngineGate",
            "GateQuery",
            "OpenGate",
            "PASS",
            "RankedGate",
            "TOO_LATE",
            "WAIT",
            "WaitEnded",
        ),
        "_estimate": (
            "FirstTokenEstimator",
            "GIVE_UP",
            "UNKNOWN_SERVER",
            "get_link_name",
        ),
        "_evacuation": (
            "EvacuationOrdered",
            "EvacuationPolicy",
            "EvacuationQuery",
            "EvacuationWithdrawn",
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
            "PeerCallsEnded",
            "ServerAppeared",
            "ServerHealth",
            "ServerLeaving",
            "ServerRemoved",
        ),
        "_load": (
            "Dispatched",
            "DispatchEnded",
            "Estimate",
            "EstimateQuery",
            "FetchCompleted",
            "FetchProgressQuery",
            "FirstTokenArrived",
            "KeepFetching",
            "LinkQueueMeasured",
            "LoadReport",
            "PeerDispatched",
        ),
        "_messages": (
            "Candidate",
            "Plan",
            "RouteDecision",
            "RouteQuery",
        ),
        "_candidates": (
            "CandidateQuery",
            "CandidateSelector",
        ),
        "_pace": (
            "PaceEstimator",
            "PaceQuery",
            "PaceReported",
        ),
        "_part_router": (
            "MemoryReleased",
            "MemoryReserved",
            "PartCandidate",
            "PartDecision",
            "PartQuery",
            "PartRouter",
            "PartStore",
            "PeerMemoryReserved",
            "order_stores",
        ),
        "_request_bytes": (
            "RequestBytesLimiter",
            "RequestBytesQuery",
            "RequestBytesReleased",
            "RequestBytesSent",
        ),
        "_rest": (
            "RestPolicy",
            "RestQuery",
            "RestRequested",
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
        "_slow_moments": ("PaceNewsQuery", "SlowMoments"),
        "_silence": (
            "BytesReceived",
            "PeerBytesReceived",
            "SilenceDetector",
            "SilenceQuery",
            "RequestEnded",
            "RequestSent",
        ),
        "_slow_writes": (
            "EndCaller",
            "PauseSilence",
            "SlowWritePolicy",
            "WriteBegun",
            "WriteEnded",
        ),
        "_probabilistic_admission": (
            "ProbabilisticAdmission",
            "RoomQuery",
        ),
        "_warmth": (
            "Allowance",
            "AllowanceQuery",
            "ColdAllowance",
            "ConnectionLost",
            "RequestArrived",
            "RequestDropped",
            "RequestOver",
            "RequestTaken",
            "RequestWritten",
            "ServerAnswered",
            "ServerRecorded",
            "WarmthPolicy",
            "WarmthQuery",
        ),
    },
)
