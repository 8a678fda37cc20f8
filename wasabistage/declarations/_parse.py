"""A folder of declaration files to located sections."""

import os
from pathlib import Path

from wasabistage.declarations._ini import read_ini
from wasabistage.declarations._problem import Problem

MAX_FILES = 2000
MAX_TOTAL_BYTES = 16 * 1024 * 1024
SUFFIX = ".ini"


def parse_folder(path):
    """Read every declaration file below a folder.

    :param path: the folder.
    :return: a tuple of the list of :class:`wasabistage.declarations.Section` and
        the list of :class:`wasabistage.declarations.Problem`.
    """
    root = Path(path)
    if not root.is_dir():
        return [], [_problem(root, "is not a folder", "name a folder that exists")]
    files, problems = _find_files(root)
    if not files and not problems:
        remedy = f"put *{SUFFIX} files beside the services' code"
        problems.append(_problem(root, "holds no declaration file", remedy))
    sections = []
    total = 0
    for file in files[:MAX_FILES]:
        found, faults = read_ini(file)
        sections.extend(found)
        problems.extend(faults)
        total += file.stat().st_size if file.exists() else 0
        if total > MAX_TOTAL_BYTES:
            what = f"declarations are larger than {MAX_TOTAL_BYTES} bytes together"
            problems.append(_problem(root, what, "remove what is not a declaration"))
            break
    if len(files) > MAX_FILES:
        what = f"holds more than {MAX_FILES} declaration files"
        problems.append(_problem(root, what, "join small files"))
    return sections, problems


def _find_files(root):
    """Walk the folder in a fixed order without following links."""
    files = []
    problems = []
    home = root.resolve()
    for folder, folders, names in os.walk(root):
        here = Path(folder)
        folders[:] = sorted(name for name in folders if not name.startswith("."))
        wanted = folders + [name for name in sorted(names) if name.endswith(SUFFIX)]
        for name in wanted:
            link = here / name
            if not link.is_symlink():
                continue
            # A link within the folder is read where it points to.
            if not link.resolve().is_relative_to(home):
                what = "symbolic link leads out of the folder"
                problems.append(_problem(link, what, "copy the file to its place"))
        files.extend(
            here / name
            for name in sorted(names)
            if name.endswith(SUFFIX) and not (here / name).is_symlink()
        )
    return files, problems


def _problem(path, what, remedy):
    return Problem(file=str(path), line=0, what=what, remedy=remedy)
