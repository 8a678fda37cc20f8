"""Routes, client accounts, backend servers and stored records that an entry knows."""

from wasabistage.fleet._configuration import (
    CacheStore,
    CallerLimits,
    ClientAccount,
    Configuration,
    EngineSpec,
    Route,
    RouteKind,
    Service,
)
from wasabistage.fleet._eras import (
    EraChange,
    StoreEra,
    get_era,
    get_offset,
    make_place,
)
from wasabistage.fleet._records import (
    OvertakenError,
    RecordPage,
    RecordStore,
    StoredRecord,
    StoreError,
    Topic,
    TrimmedError,
)
from wasabistage.fleet._route_table import (
    NO_CONFIGURATION,
    NO_KEY,
    NO_ROUTE,
    STALE_KEYS,
    UNKNOWN_KEY,
    Caller,
    KeyFreshness,
    RouteTable,
)
from wasabistage.fleet._servers import (
    RETURN_TIMEOUT_SECONDS,
    ListedServer,
    ServerRecord,
    ServerTable,
)
from wasabistage.fleet._version_claims import VersionClaims

__all__ = [
    "NO_CONFIGURATION",
    "NO_KEY",
    "NO_ROUTE",
    "RETURN_TIMEOUT_SECONDS",
    "STALE_KEYS",
    "UNKNOWN_KEY",
    "CacheStore",
    "Caller",
    "CallerLimits",
    "ClientAccount",
    "Configuration",
    "EngineSpec",
    "EraChange",
    "KeyFreshness",
    "ListedServer",
    "OvertakenError",
    "RecordPage",
    "RecordStore",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServerRecord",
    "ServerTable",
    "Service",
    "StoreEra",
    "StoreError",
    "StoredRecord",
    "Topic",
    "TrimmedError",
    "VersionClaims",
    "get_era",
    "get_offset",
    "make_place",
]
