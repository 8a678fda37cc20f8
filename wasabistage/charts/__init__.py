"""State charts, read from files and run by an interpreter or from a flat table.

The chart files (``*.yaml``) are part of this package. Use a :class:`CompiledChart`
where events are frequent, such as per request, and a :class:`ChartInterpreter`
elsewhere. Both offer ``send(event, now)``, ``state`` and ``is_final``.
"""

from wasabistage.charts._interpreter import (
    NOT_HANDLED,
    Chart,
    ChartInterpreter,
    CompiledChart,
    Transition,
    UnknownEventError,
)
from wasabistage.charts._loader import CHART_NAMES, ChartFault, check_chart, load_chart

__all__ = [
    "CHART_NAMES",
    "NOT_HANDLED",
    "Chart",
    "ChartFault",
    "ChartInterpreter",
    "CompiledChart",
    "Transition",
    "UnknownEventError",
    "check_chart",
    "load_chart",
]
