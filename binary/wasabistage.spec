"""How PyInstaller gathers the program into one folder."""

from pathlib import Path

from PyInstaller.building.api import COLLECT, EXE, PYZ
from PyInstaller.building.build_main import Analysis
from PyInstaller.utils.hooks import copy_metadata

ROOT = Path(SPECPATH).parent  # noqa: F821, given by PyInstaller
PROGRAM = ROOT / "wasabistage"
#: Distributions that find their parts through installed metadata.
WITH_METADATA = ("opentelemetry-api", "opentelemetry-sdk")
#: Parts of packages that the program never imports.
UNUSED = ("tkinter", "setuptools", "pip")


def find_modules():
    """List the program's modules, but for its tests."""
    paths = [path.relative_to(ROOT) for path in PROGRAM.rglob("*.py")]
    shipped = [path.with_suffix("") for path in paths if "tests" not in path.parts]
    return [".".join(path.parts).removesuffix(".__init__") for path in shipped]


def find_data():
    """List the files that are read at run time, with their folders."""
    found = [
        (str(path), str(path.parent.relative_to(ROOT)))
        for path in PROGRAM.rglob("*.yaml")
    ]
    for name in WITH_METADATA:
        found += copy_metadata(name)
    return found


analysis = Analysis(
    [str(PROGRAM / "__main__.py")],
    pathex=[str(ROOT)],
    datas=find_data(),
    hiddenimports=[
        *find_modules(),
        "opentelemetry.context.contextvars_context",
    ],
    excludes=list(UNUSED),
)
program = EXE(
    PYZ(analysis.pure),
    analysis.scripts,
    name="wasabistage",
    exclude_binaries=True,
    console=True,
    strip=True,
    upx=False,
)
COLLECT(
    program,
    analysis.binaries,
    analysis.datas,
    name="wasabistage",
    strip=True,
    upx=False,
)
