"""Lets the program load its libraries without starting another process."""

import ctypes.util

#: Where the C library keeps threads' names, for whom asks by its short name.
KNOWN_LIBRARIES = {"pthread": "libpthread.so.0"}


def load_alone():
    """Load trio without the child process that it would start.

    On import trio looks up a library by ``ctypes.util.find_library``, which runs
    ``ldconfig``. A process of the program starts no other process, so the answer is
    given here for as long as the import takes.
    """
    kept = ctypes.util.find_library
    ctypes.util.find_library = KNOWN_LIBRARIES.get
    try:
        import trio  # noqa: F401
    finally:
        ctypes.util.find_library = kept
