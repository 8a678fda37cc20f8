"""Logs, metrics and traces."""

from wasabistage.observe._logs import make_log_handler, make_logger
from wasabistage.observe._metrics import (
    METRICS,
    MemoryMetrics,
    Metrics,
    StatsdMetrics,
    describe_metrics,
    make_metrics,
)
from wasabistage.observe._traces import SpanBuffer, SpanRecord, Tracer

__all__ = [
    "METRICS",
    "MemoryMetrics",
    "Metrics",
    "SpanBuffer",
    "SpanRecord",
    "StatsdMetrics",
    "Tracer",
    "describe_metrics",
    "make_log_handler",
    "make_logger",
    "make_metrics",
]
