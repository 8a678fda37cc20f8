"""Settings of one process, read from an INI file."""

from wasabistage.settings._entry import (
    EntrySettings,
    check_settings,
    describe_settings,
    load_settings,
)
from wasabistage.settings._operator import (
    OperatorSettings,
    check_operator_settings,
    load_operator_settings,
)

__all__ = [
    "EntrySettings",
    "OperatorSettings",
    "check_operator_settings",
    "check_settings",
    "describe_settings",
    "load_operator_settings",
    "load_settings",
]
