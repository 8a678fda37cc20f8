"""Clients of the platform and of the backend servers."""

from wasabistage.platform._engine import (
    EngineClient,
    EngineFrame,
    EngineLoad,
    EngineRequest,
    HttpEngineClient,
    PieceRead,
)
from wasabistage.platform._http import NOT_SENT, call_json, make_http_client
from wasabistage.platform._livelist import (
    HttpListClient,
    ListClient,
    ListedInstance,
    LiveList,
)
from wasabistage.platform._log import (
    HttpLogClient,
    LogClient,
    LogPage,
    LogRecord,
    NewRecord,
)
from wasabistage.platform._store import HttpStoreClient

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
