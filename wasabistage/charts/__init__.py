"""State charts in files, interpreted or compiled to flat tables.

The chart files (``*.yaml``) lie in this package. Use a :class:`CompiledChart` where
events come often, such as per request, and a :class:`ChartInterpreter` elsewhere; both
offer ``send(event, now)``, ``state`` and ``final``.
"""

from wasabistage.charts._interpreter import (
    NOT_HANDLED,
    Chart,
    ChartInterpreter,
    CompiledChart,
    Transition,
    UnknownEventError,
)
from wasabistage.charts._loader import CHARTS, ChartFault, check_chart, load_chart

__all__ = [
    "CHARTS",
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
