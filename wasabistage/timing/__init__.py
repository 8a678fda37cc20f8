"""Timer service, the only source of time for the tasks of a process."""

from wasabistage.timing._timer import (
    BootTimerService,
    Tick,
    TimerService,
    TrioTimerService,
)

__all__ = ["BootTimerService", "Tick", "TimerService", "TrioTimerService"]
