"""Clients of the reference platform in :mod:`standins` and of its backend servers."""

from wasabistage.reference._engine import (
    EngineClient,
    EngineFrame,
    EngineLoad,
    EngineRequest,
    HttpEngineClient,
    PieceRead,
)
from wasabistage.reference._http import NOT_SENT, call_json, make_http_client
from wasabistage.reference._livelist import (
    HttpListClient,
    ListClient,
    ListedInstance,
    LiveList,
)
from wasabistage.reference._log import (
    HttpLogClient,
    LogClient,
    LogPage,
    LogRecord,
    NewRecord,
)
from wasabistage.reference._store import HttpStoreClient

__all__ = [
    "NOT_SENT",
    "EngineClient",
    "EngineFrame",
    "EngineLoad",
    "EngineRequest",
    "HttpEngineClient",
    "HttpListClient",
    "HttpLogClient",
    "HttpStoreClient",
    "ListClient",
    "ListedInstance",
    "LiveList",
    "LogClient",
    "LogPage",
    "LogRecord",
    "NewRecord",
    "PieceRead",
    "call_json",
    "make_http_client",
]
