"""Build ``dist/wasabistage``, one file that runs without an installed Python.

PyInstaller gathers the program into a folder, in an environment that holds only what
the program needs; the folder is packed and appended to the launcher.
"""

import shutil
import subprocess
import sys
import time
from pathlib import Path

from binary._pack import Payload, pack, read_items

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ROOT / "binary"
BUILD = ROOT / "build"
ENVIRONMENT = BUILD / "venv"
READY = ENVIRONMENT / ".ready"
GATHERED = BUILD / "folder" / "wasabistage"
LAUNCHER = BUILD / "launcher"
RESULT = ROOT / "dist" / "wasabistage"
REQUIREMENTS = (ROOT / "requirements.txt", SOURCES / "requirements-build.txt")
C_FLAGS = ("-std=c11", "-O2", "-Wall", "-Wextra", "-Werror")
MEBIBYTE = 1 << 20


class BuildError(Exception):
    """The binary can not be built; the message names the remedy."""


def run(*command: str | Path) -> None:
    """Run one step of the build.

    :param command: the command line.
    :raises BuildError: if it ends with another code than 0.
    """
    result = subprocess.run([str(part) for part in command], cwd=ROOT)
    if result.returncode != 0:
        line = " ".join(str(part) for part in command)
        raise BuildError(f"{line} ended with {result.returncode}; see its output above")


def make_environment() -> None:
    """Install the pinned packages into ``build/venv``, unless they stand there."""
    wanted = "".join(path.read_text(encoding="utf-8") for path in REQUIREMENTS)
    if READY.exists() and READY.read_text(encoding="utf-8") == wanted:
        return
    shutil.rmtree(ENVIRONMENT, ignore_errors=True)
    run(sys.executable, "-m", "venv", ENVIRONMENT)
    options = ["--quiet", "--disable-pip-version-check"]
    for path in REQUIREMENTS:
        options += ["-r", str(path)]
    run(ENVIRONMENT / "bin" / "python", "-m", "pip", "install", *options)
    READY.write_text(wanted, encoding="utf-8")


def gather_program() -> None:
    """Gather the program and what it imports into one folder."""
    run(
        ENVIRONMENT / "bin" / "pyinstaller",
        "--noconfirm",
        "--log-level=WARN",
        f"--distpath={GATHERED.parent}",
        f"--workpath={BUILD / 'work'}",
        SOURCES / "wasabistage.spec",
    )


def compile_launcher() -> None:
    """Compile the launcher, with zlib linked into it.

    :raises BuildError: if the compiler or zlib's static library is missing.
    """
    if shutil.which("gcc") is None:
        raise BuildError("gcc is missing; install it (apt-get install gcc libc6-dev)")
    if not Path("/usr/include/zlib.h").exists():
        raise BuildError("zlib.h is missing; install it (apt-get install zlib1g-dev)")
    sources = sorted(SOURCES.glob("*.c"))
    LAUNCHER.parent.mkdir(parents=True, exist_ok=True)
    run("gcc", *C_FLAGS, "-o", LAUNCHER, *sources, "-l:libz.a")


def write_result(payload: Payload, launcher: Path, result: Path) -> None:
    """Append the payload to the launcher, and replace the result at once.

    :param payload: the packed program.
    :param launcher: the compiled launcher.
    :param result: path of the one binary.
    """
    result.parent.mkdir(parents=True, exist_ok=True)
    part = result.with_name(result.name + ".part")
    part.write_bytes(launcher.read_bytes() + payload.packed)
    part.chmod(0o755)
    part.replace(result)


def main() -> int:
    """Build the binary and print its size.

    :return: exit code.
    """
    started = time.monotonic()
    try:
        compile_launcher()
        make_environment()
        gather_program()
    except BuildError as error:
        print(f"binary: {error}", file=sys.stderr)
        return 1
    payload = pack(read_items(GATHERED))
    write_result(payload, LAUNCHER, RESULT)
    size = RESULT.stat().st_size / MEBIBYTE
    unpacked = payload.size / MEBIBYTE
    seconds = time.monotonic() - started
    name = RESULT.relative_to(ROOT)
    print(f"{name}: {size:.1f} MiB, unpacked {unpacked:.1f} MiB, {seconds:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
