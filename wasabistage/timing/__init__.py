"""The timer service, the only source of time for the tasks of a process."""

from wasabistage.timing._timer import (
    BootTimeTimerService,
    Tick,
    TimerService,
    TrioTimerService,
)

__all__ = ["BootTimeTimerService", "Tick", "TimerService", "TrioTimerService"]
