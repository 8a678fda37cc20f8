"""Logs and metrics of a process that starts fast and has little memory.

:mod:`wasabistage.observe` adds statsd, traces and log levels to them.
"""

from wasabistage.telemetry._base import Metrics
from wasabistage.telemetry._exposition import TextMetrics
from wasabistage.telemetry._line_log import BoundedLineLog, LineLog, MemoryLineLog

__all__ = [
    "BoundedLineLog",
    "LineLog",
    "MemoryLineLog",
    "Metrics",
    "TextMetrics",
]
