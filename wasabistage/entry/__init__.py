"""The entry process: tasks, caller API, peer protocol."""

from wasabistage.entry._config import STREAM as CONFIG_STREAM
from wasabistage.entry._config import fold_read
from wasabistage.entry._once import STREAM as ONCE_STREAM
from wasabistage.entry._peers import PeerClient, log_loop_error
from wasabistage.entry._process import run_entry
from wasabistage.entry._wire import (
    CONFIG,
    STATUS,
    TRACE,
    ConfigAsk,
    MemberStatus,
    ServerStatus,
    StatusAsk,
    StatusTold,
    TraceAsk,
)
from wasabistage.timing import Tick, TimerService, TrioTimerService

__all__ = [
    "CONFIG",
    "CONFIG_STREAM",
    "ConfigAsk",
    "MemberStatus",
    "ONCE_STREAM",
    "PeerClient",
    "STATUS",
    "ServerStatus",
    "StatusAsk",
    "StatusTold",
    "TRACE",
    "TraceAsk",
    "Tick",
    "TimerService",
    "TrioTimerService",
    "fold_read",
    "log_loop_error",
    "run_entry",
]
