"""The entry process: tasks, caller API, peer protocol."""

from wasabistage.entry._process import run_entry

__all__ = ["run_entry"]
