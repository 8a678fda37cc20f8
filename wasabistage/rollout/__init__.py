"""Weight rollouts: fenced orders of weights, adapters and roles to backend servers.

Entry role. A single task owns a :class:`RolloutPolicy`. The policy observes every
record of the order stream (:class:`LogRecord`), the configuration
(:class:`TargetsChanged`), what servers report to run (:class:`ServerReported`, from
load reports and after :class:`ReadServer`), and the instance's place in the order of
the live instances (:class:`PlaceChanged`), such as its place by rendezvous hashing.
The task calls ``tick`` every 100 ms and carries out the actions. For
:class:`SendOrder` it connects first, calls ``may_send(order, clock())``, sends with no
suspension point in between, and then observes :class:`OrderEnded`.
``decide(RoutableQuery(...))`` selects the servers for a new request; the weight version
of the answer becomes part of the request's piece keys.

An entry instance that finds the log trimmed passes the offset from which it reads as
``first_offset``. Its policy appends no grant until it has read a :class:`CarryRecord`
that covers the missing records. Every ``carry_time`` one of the instances appends one.

Edge role. :class:`VersionRollout` selects the engines that load the named version next;
:class:`OrderLease` decides whether this entry may order them.
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
            "LeaseAppend",
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
            "VersionLoadCandidate",
            "VersionLoadEnded",
            "VersionLoadQuery",
            "VersionLoad",
            "VersionNamed",
            "VersionRollout",
        ),
        "_versions": ("NO_VERSION",),
    },
)
