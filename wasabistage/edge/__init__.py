"""The edge process: an entry that runs on a platform with its own wire protocol.

:mod:`wasabistage.routing`, :mod:`wasabistage.retries`, :mod:`wasabistage.rollout`,
:mod:`wasabistage.cache` and :mod:`wasabistage.fleet` make the decisions; this package
carries them out with trio and h11. A :class:`PlatformAdapter` encodes and decodes the
platform's wire protocol.
"""

from wasabistage.edge._adapter import PlatformAdapter
from wasabistage.edge._messages import (
    BadRequestError,
    CacheEvent,
    CacheEvents,
    CallerRequest,
    Dispatch,
    EngineReport,
    NamedWeightVersion,
    OrderAnswer,
    OrderMethod,
    Prompt,
    PromptPart,
    ResponseMetadata,
    ServerLoad,
    VersionOrder,
)

__all__ = [
    "ResponseMetadata",
    "BadRequestError",
    "CacheEvent",
    "CacheEvents",
    "CallerRequest",
    "Dispatch",
    "EngineReport",
    "NamedWeightVersion",
    "OrderAnswer",
    "OrderMethod",
    "PlatformAdapter",
    "Prompt",
    "PromptPart",
    "ServerLoad",
    "VersionOrder",
]
