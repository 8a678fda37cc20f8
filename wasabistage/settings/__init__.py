"""Settings of one process, read from an INI file."""

from wasabistage.settings._entry import (
    EntrySettings,
    check_settings,
    describe_settings,
    load_settings,
)

__all__ = [
    "EntrySettings",
    "check_settings",
    "describe_settings",
    "load_settings",
]
