"""The command line of wasabistage."""

import sys

import fire

from wasabistage.entry import run_entry
from wasabistage.exceptions import WasabistageError
from wasabistage.settings import load_settings


class Commands:
    """Serving system for prompts that return after long gaps."""

    def entry(self, settings):
        """Run one entry instance.

        :param settings: path of its settings, an INI file.
        """
        run_entry(load_settings(settings))


def main():
    """Run one command and exit with its code."""
    try:
        fire.Fire(Commands, name="wasabistage")
    except WasabistageError as error:
        print(f"{error.kind}: {error}", file=sys.stderr)
        sys.exit(1)
