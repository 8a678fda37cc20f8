"""Run one edge process on the users' platform: ``python -m wasabistage.platform``."""

import os
import sys

from wasabistage._alone import load_alone

SETTINGS_VARIABLE = "WASABISTAGE_CONFIG"


def main():
    """Run until told to stop."""
    load_alone()
    # trio is loaded by now, without a child process.
    from wasabistage.edge._process import run_edge
    from wasabistage.platform._adapter import UsersPlatform

    path = sys.argv[1] if len(sys.argv) > 1 else os.environ.get(SETTINGS_VARIABLE)
    if not path:
        print(
            f"bad_setting: no settings file; give its path or set {SETTINGS_VARIABLE}",
            file=sys.stderr,
        )
        sys.exit(2)
    run_edge(path, UsersPlatform)


if __name__ == "__main__":
    main()
