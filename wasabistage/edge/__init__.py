"""The edge of an entry that runs on a platform with its own wire.

The decisions are those of :mod:`wasabistage.routing`, :mod:`wasabistage.retries`,
:mod:`wasabistage.rollout`, :mod:`wasabistage.cache` and :mod:`wasabistage.fleet`; this
package carries them out with trio and h11. What the platform's wire looks like is up
to a :class:`PlatformAdapter`.
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
