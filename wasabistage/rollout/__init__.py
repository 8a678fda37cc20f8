"""Fenced orders to backend servers: weights, adapters, roles.

Wiring: one task owns a :class:`RolloutPolicy`. It observes every record of the order
stream (:class:`LogRecord`), the configuration (:class:`TargetsChanged`), what servers
say that they run (:class:`ServerRuns`, from load reports and from :class:`ReadServer`),
and its place in turn (:class:`TurnChanged`, such as its place by rendezvous hashing
among the live instances). It carries out ``tick`` every 100 ms. For :class:`SendOrder`
it connects first, then calls ``may_send(order, clock())`` and sends with no
suspension point between, then observes :class:`OrderEnded`. Routing asks
``decide(RoutableQuery(...))``; the weight version of the answer goes into the request's
piece keys.

An entry instance that finds the log trimmed passes the offset from which it reads as
``first_offset``; its policy claims nothing until a :class:`CarryRecord` covers the
rest. Every ``carry_time`` some instance's ``tick`` appends one.
"""

from wasabistage.rollout._ages import ReportAges
from wasabistage.rollout._baselines import AllAtOnce, OneByOne
from wasabistage.rollout._codec import (
    NO_RECORD,
    decode_order_record,
    encode_order_record,
)
from wasabistage.rollout._fold import NO_OFFSET, GrantFold
from wasabistage.rollout._messages import (
    AppendEnded,
    AppendRecord,
    CarryRecord,
    DrainStarted,
    GrantRecord,
    LogRecord,
    OrderEnded,
    ReadServer,
    ReleaseRecord,
    RoutableQuery,
    RoutableServers,
    SendOrder,
    ServerRuns,
    SlotState,
    Target,
    TargetsChanged,
    TurnChanged,
)
from wasabistage.rollout._order_lease import (
    NOT_MY_TURN,
    NOT_READ,
    OTHER_HOLDS,
    TOO_SOON,
    Claim,
    OrderLease,
    Refused,
    TopicEnd,
    WaveAppended,
    WaveQuery,
    WaveRecord,
)
from wasabistage.rollout._policy import RolloutPolicy
from wasabistage.rollout._swap import (
    ServerOrdered,
    ServerVersion,
    Swap,
    SwapCandidate,
    SwapEnded,
    SwapQuery,
    VersionNamed,
    VersionSwap,
)
from wasabistage.rollout._versions import NO_VERSION

__all__ = [
    "AllAtOnce",
    "AppendEnded",
    "AppendRecord",
    "CarryRecord",
    "Claim",
    "DrainStarted",
    "GrantFold",
    "GrantRecord",
    "LogRecord",
    "NOT_MY_TURN",
    "NOT_READ",
    "NO_OFFSET",
    "NO_RECORD",
    "NO_VERSION",
    "OTHER_HOLDS",
    "OneByOne",
    "OrderEnded",
    "OrderLease",
    "ReadServer",
    "Refused",
    "ReleaseRecord",
    "ReportAges",
    "RolloutPolicy",
    "RoutableQuery",
    "RoutableServers",
    "SendOrder",
    "ServerOrdered",
    "ServerRuns",
    "ServerVersion",
    "SlotState",
    "Swap",
    "SwapCandidate",
    "SwapEnded",
    "SwapQuery",
    "TOO_SOON",
    "Target",
    "TargetsChanged",
    "TopicEnd",
    "TurnChanged",
    "VersionNamed",
    "VersionSwap",
    "WaveAppended",
    "WaveQuery",
    "WaveRecord",
    "decode_order_record",
    "encode_order_record",
]
