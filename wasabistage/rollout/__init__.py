"""Fenced orders to backend servers: weights, adapters, roles.

Wiring: one task owns a :class:`RolloutPolicy`. It observes every record of the order
stream (:class:`LogRecord`), the configuration (:class:`TargetsChanged`), what servers
say that they run (:class:`ServerReported`, from load reports and from
:class:`ReadServer`), and its place in turn (:class:`PlaceChanged`, such as its place by
rendezvous hashing among the live instances). It carries out ``tick`` every 100 ms. For
:class:`SendOrder` it connects first, then calls ``may_send(order, clock())`` and sends
with no suspension point between, then observes :class:`OrderEnded`. Routing asks
``decide(RoutableQuery(...))``; the weight version of the answer goes into the request's
piece keys.

An entry instance that finds the log trimmed passes the offset from which it reads as
``first_offset``; its policy claims nothing until a :class:`CarryRecord` covers the
rest. Every ``carry_time`` some instance's ``tick`` appends one.
"""

from wasabistage.utils import build_lazy_exports

__getattr__, __all__ = build_lazy_exports(
    __name__,
    {
        "_ages": ("ReportTimeBounds",),
        "_baselines": (
            "AllAtOnce",
            "OneByOne",
        ),
        "_codec": (
            "NO_RECORD",
            "decode_order_record",
            "encode_order_record",
        ),
        "_fold": (
            "GrantFold",
            "NO_OFFSET",
        ),
        "_messages": (
            "AppendEnded",
            "AppendRecord",
            "CarryRecord",
            "DrainStarted",
            "GrantRecord",
            "LogRecord",
            "OrderEnded",
            "ReadServer",
            "ReleaseRecord",
            "RoutableQuery",
            "RoutableServers",
            "SendOrder",
            "ServerReported",
            "SlotState",
            "Target",
            "TargetsChanged",
            "PlaceChanged",
        ),
        "_order_lease": (
            "Claim",
            "NOT_MY_TURN",
            "NOT_READ",
            "OTHER_HOLDS",
            "OrderLease",
            "OrderFenced",
            "TOO_SOON",
            "TopicRead",
            "LeaseRecordAppended",
            "LeaseQuery",
            "LeaseRecord",
        ),
        "_policy": ("RolloutPolicy",),
        "_swap": (
            "PeerOrderEnded",
            "ServerOrdered",
            "ServerVersionReported",
            "Swap",
            "VersionLoadCandidate",
            "VersionLoadEnded",
            "VersionLoadQuery",
            "VersionNamed",
            "VersionRollout",
        ),
        "_versions": ("NO_VERSION",),
    },
)
