"""Membership: the state of entry instances and backend servers.

Entry instances: one task owns a :class:`MembershipPolicy`. It observes each received
:class:`Heartbeat`, each platform list as an :class:`InstancesListed` and each ended
call to a peer as a :class:`PeerCallEnded`. It calls ``tick`` on a timer. For
:class:`SendHeartbeats` it asks ``decide(HeartbeatQuery(...))`` once and sends the
answer to each address. For a caller that asks for addresses, it asks
``decide(MemberViewQuery())`` and passes the candidates to an :class:`AddressPolicy`,
together with the :class:`Member` of this instance unless it is draining.

Backend servers: the routing task owns a :class:`BackendMembership`. It observes each
:class:`LeavingNotice` of a peer, and sends the :class:`SendNotices` of ``tick`` to
every peer. For :class:`RequestNotices` it asks every peer, whose policy answers
``decide(NoticesQuery())``; it observes the notices of the answer and then
:class:`NoticesReceived`. It calls ``tick`` at least every second: a gap longer than
``pause_time`` counts as a pause of the process, after which no new work is given out
until a peer has answered or ``ask_time`` has passed.

Shutdown: the task that handles ``SIGTERM`` owns a :class:`DrainPolicy`; see
``_drain.py``.

Terms: a backend server is *leaving* if it has announced that it stops, by the
platform's list or in its own report. A *notice* tells whether a server is leaving.
A *report* is what a server or a peer sends about itself.
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
    ListOnlyBackendMembership,
)
from wasabistage.membership._baselines import (
    HeartbeatOnlyMembership,
    ListOnlyMembership,
)
from wasabistage.membership._digests import (
    CellDigest,
    ServerDigest,
    encode_message,
    rank_by_hash,
)
from wasabistage.membership._drain import (
    AdmissionDecision,
    AdmissionQuery,
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
    IncarnationQuery,
    IncarnationState,
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
    "NO_ADDRESS",
    "NO_SERVER",
    "NOT_FRESH",
    "AddressAnswer",
    "AddressPolicy",
    "AddressQuery",
    "AdmissionDecision",
    "AdmissionQuery",
    "RequestNotices",
    "BackendMembership",
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
    "SendNotices",
    "HandOverWork",
    "Heartbeat",
    "HeartbeatOnlyMembership",
    "HeartbeatQuery",
    "IncarnationQuery",
    "IncarnationState",
    "InstancesListed",
    "LeavingNotice",
    "ListOnlyBackendMembership",
    "ListOnlyMembership",
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
    "ServerDigest",
    "ServersListed",
    "ServerReportReceived",
    "ServerState",
    "NoticeSource",
    "NoticesQuery",
    "NoticesReceived",
    "StopAtOnce",
    "UsableServersQuery",
    "UsableServers",
    "MemberViewQuery",
    "Withdraw",
    "RemainingWork",
    "encode_message",
    "build_incarnation_id",
    "rank_by_hash",
]
