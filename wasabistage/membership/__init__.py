"""Entry instances and backend servers: who is alive, who is leaving.

Wiring: one task owns a :class:`MembershipPolicy`. It observes each received
:class:`Heartbeat`, each read list as an :class:`InstancesListed` and each ended call
to a peer as a :class:`PeerCallEnded`. On a timer it carries out ``tick``: for
:class:`SendHeartbeats` it asks ``decide(HeartbeatQuery(...))`` once and sends the
answer to every address. The caller API asks ``decide(MemberViewQuery())`` and hands the
candidates, with this instance's own :class:`Member` if it isn't draining, to an
:class:`AddressPolicy`.

The routing task owns a :class:`BackendMembership`. Peers' :class:`LeavingNotice` words
go to ``observe``; :class:`SendNotices` of ``tick`` go to every peer. For
:class:`RequestNotices` it asks every peer, whose policy answers
``decide(NoticesQuery())``; it observes the words and then :class:`NoticesReceived`.
Tick at least every second: a longer gap than ``pause_time`` counts as a pause, after
which no new work is placed until a peer answered.

The task that got ``SIGTERM`` drives a :class:`DrainPolicy`; see its module.
"""

from wasabistage.membership._addresses import (
    NO_ADDRESS,
    AddressAnswer,
    AddressPolicy,
    AddressQuery,
    ListOrderAddresses,
    RandomAddresses,
    RankedAddress,
)
from wasabistage.membership._backends import (
    NO_SERVER,
    NOT_FRESH,
    BackendMembership,
    ListOnlyServers,
)
from wasabistage.membership._baselines import (
    HeartbeatOnlyMembership,
    ListOnlyMembership,
)
from wasabistage.membership._digests import (
    CellDigest,
    ServerWord,
    encode_message,
    rank_by_hash,
)
from wasabistage.membership._drain import (
    Admission,
    AdmitQuery,
    CloseListeners,
    DrainPolicy,
    DrainRequested,
    Exit,
    FlushOutcomes,
    HandOverWork,
    RemainingWork,
    StopAtOnce,
    Withdraw,
)
from wasabistage.membership._gossip import (
    CellPlan,
    FullMesh,
    GossipCost,
    GossipPlan,
)
from wasabistage.membership._messages import (
    Heartbeat,
    HeartbeatQuery,
    HomeQuery,
    HomeState,
    InstancesListed,
    ListedInstance,
    Member,
    MemberChanged,
    MemberPhase,
    MemberState,
    MemberView,
    MemberViewQuery,
    PeerCallEnded,
    SendHeartbeats,
    build_incarnation_id,
)
from wasabistage.membership._policy import MembershipPolicy
from wasabistage.membership._server_messages import (
    LeavingNotice,
    NoticeSource,
    NoticesQuery,
    NoticesReceived,
    RequestNotices,
    SendNotices,
    ServerCallEnded,
    ServerReportReceived,
    ServersListed,
    ServerState,
    UsableServers,
    UsableServersQuery,
)

__all__ = [
    "NOT_FRESH",
    "RequestNotices",
    "NoticesQuery",
    "NoticesReceived",
    "Admission",
    "AdmitQuery",
    "CellDigest",
    "CellPlan",
    "CloseListeners",
    "DrainPolicy",
    "DrainRequested",
    "Exit",
    "FlushOutcomes",
    "FullMesh",
    "GossipCost",
    "GossipPlan",
    "HandOverWork",
    "ServerWord",
    "StopAtOnce",
    "Withdraw",
    "RemainingWork",
    "encode_message",
    "rank_by_hash",
    "NO_ADDRESS",
    "NO_SERVER",
    "AddressAnswer",
    "AddressPolicy",
    "AddressQuery",
    "BackendMembership",
    "SendNotices",
    "Heartbeat",
    "HeartbeatOnlyMembership",
    "HeartbeatQuery",
    "HomeQuery",
    "HomeState",
    "InstancesListed",
    "LeavingNotice",
    "ListOnlyMembership",
    "ListOnlyServers",
    "ListOrderAddresses",
    "ListedInstance",
    "Member",
    "MemberChanged",
    "MemberState",
    "MemberView",
    "MembershipPolicy",
    "PeerCallEnded",
    "MemberPhase",
    "RandomAddresses",
    "RankedAddress",
    "SendHeartbeats",
    "ServerCallEnded",
    "ServersListed",
    "ServerReportReceived",
    "ServerState",
    "NoticeSource",
    "UsableServersQuery",
    "UsableServers",
    "MemberViewQuery",
    "build_incarnation_id",
]
