"""What operators do: publish a deployment, look at a running one."""

from wasabistage.operators._arguments import (
    UsageError,
    check_arguments,
    find_commands,
    name_of_command,
    wants_help,
)
from wasabistage.operators._commands import (
    Difference,
    Publication,
    compare_folder,
    load_folder,
    publish_folder,
)
from wasabistage.operators._explain import ask_explanation, format_explanation
from wasabistage.operators._in_force import ConfigFound, find_in_force
from wasabistage.operators._publish import publish_deployment, run_publication
from wasabistage.operators._report import (
    find_doubts,
    format_outcome,
    format_status,
    format_trace,
)
from wasabistage.operators._status import (
    read_spans,
    read_states,
    read_status,
    read_trace,
)
from wasabistage.operators._waiting import Spread, judge_spread, wait_everywhere

__all__ = [
    "ConfigFound",
    "Difference",
    "Publication",
    "Spread",
    "UsageError",
    "ask_explanation",
    "check_arguments",
    "compare_folder",
    "find_commands",
    "find_doubts",
    "find_in_force",
    "format_explanation",
    "format_outcome",
    "format_status",
    "format_trace",
    "judge_spread",
    "load_folder",
    "name_of_command",
    "publish_deployment",
    "publish_folder",
    "read_spans",
    "read_states",
    "read_status",
    "read_trace",
    "run_publication",
    "wait_everywhere",
    "wants_help",
]
