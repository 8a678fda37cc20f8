"""Decisions on how facts travel between the entries of a fleet of any size.

A few entries of each failure domain are relays. Every other entry, a follower, sends
its reports to one relay and receives the facts of the whole fleet from it. Relays
exchange theirs with each other, and share the reads of record topics and cache
sources. All entries compute the same roles from the live entries by weighted
rendezvous hashing, so that no role is voted on or leased. Two holders of a role for a
moment cost a few messages; a role without a holder is taken over by the next in rank.

Nothing here has a socket, a clock or randomness.
"""

from wasabistage.utils import build_lazy_exports

__getattr__, __all__ = build_lazy_exports(
    __name__,
    {
        "_dispatch_notices": ("DispatchNotices", "NoticeQuery", "NoticeReceived"),
        "_echoes": ("SentReports",),
        "_entry_capacity": (
            "EntryCapacity",
            "IntervalPassed",
            "compute_capacity",
        ),
        "_entry_selection": ("AddressQuery", "AddressRequested", "EntrySelector"),
        "_fact_log": (
            "FACTS_GONE",
            "FactCursor",
            "FactLog",
            "FactOutbox",
            "MissingFacts",
        ),
        "_loads": (
            "LoadRow",
            "LoadTable",
            "NO_BYTES",
            "get_age",
            "select_busiest",
            "subtract_loads",
        ),
        "_members": ("FleetMember", "FleetMemberTable"),
        "_ranking": ("get_rank", "rank_members"),
        "_readers": ("ReadQuery", "ReaderPolicy"),
        "_relay_choice": ("RelayChoice", "RelayQuery", "RelayReported"),
        "_roles": ("RoleQuery", "Roles", "RolePlan"),
        "_sharers": ("SharerTable",),
    },
)
