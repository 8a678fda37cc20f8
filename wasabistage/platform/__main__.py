"""Run one edge process on the users' platform.

``python -m wasabistage.platform [--check] [SETTINGS]``; with ``--check`` the settings
are only read, and the exit code says whether they are good.
"""

import os
import signal
import sys

from wasabistage._alone import load_alone

SETTINGS_VARIABLE = "WASABISTAGE_CONFIG"


def main():
    """Run until told to stop."""
    # Until the settings are read there is nothing to reload, and the default action
    # would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    words = sys.argv[1:]
    only_check = "--check" in words
    paths = [word for word in words if word != "--check"]
    load_alone()
    # trio is loaded by now, without a child process.
    from wasabistage.edge._process import check_edge, run_edge
    from wasabistage.platform._adapter import UsersPlatform

    path = paths[0] if paths else os.environ.get(SETTINGS_VARIABLE)
    if not path or len(paths) > 1:
        print(
            f"bad_setting: no settings file; give one path or set {SETTINGS_VARIABLE}",
            file=sys.stderr,
        )
        sys.exit(2)
    if only_check:
        check_edge(path)
        print(f"{path}: good")
        return
    run_edge(path, UsersPlatform)


if __name__ == "__main__":
    main()
