"""The entry process: tasks, caller API, peer protocol."""

from wasabistage.entry._config import STREAM as CONFIG_STREAM
from wasabistage.entry._config import fold_read
from wasabistage.entry._once import STREAM as ONCE_STREAM
from wasabistage.entry._peers import PeerClient
from wasabistage.entry._process import run_entry
from wasabistage.entry._timer import Tick, TimerService, TrioTimerService

__all__ = [
    "CONFIG_STREAM",
    "ONCE_STREAM",
    "PeerClient",
    "Tick",
    "TimerService",
    "TrioTimerService",
    "fold_read",
    "run_entry",
]
