"""Limits of what the clients of one process may take of its memory and descriptors.

:class:`HoldingPolicy` decides which channels keep what they hold when it is short::

    policy.observe(HoldingChanged(holder=1, client="10.0.0.1", group="callers",
                                  size=70000, stage=Stage.RECEIVING), now)
    ...
    decision = policy.decide(RoomQuery(holder=1, size=65536), now)
    if not decision:                   # a Sentinel
        refuse the request of the holder
    for holder in decision.dropped:
        end what that channel does, and release its memory
"""

from wasabistage.clients._holdings import (
    NO_ROOM,
    TOO_MANY_CHANNELS,
    ChannelQuery,
    HoldingChanged,
    HoldingEnded,
    HoldingPolicy,
    Room,
    RoomQuery,
    Stage,
    UnfinishedQuery,
)

__all__ = [
    "NO_ROOM",
    "TOO_MANY_CHANNELS",
    "ChannelQuery",
    "HoldingChanged",
    "HoldingEnded",
    "HoldingPolicy",
    "Room",
    "RoomQuery",
    "Stage",
    "UnfinishedQuery",
]
