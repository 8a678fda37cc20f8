"""Packs a folder into the payload that ``payload.c`` reads."""

import gzip
import hashlib
import os
import struct
from dataclasses import dataclass
from pathlib import Path

MAGIC = b"WASABI1\n"
FOOTER = struct.Struct("<8s4Q64s")
COMPRESSION_LEVEL = 9
OWNER_MAY_RUN = 0o100


class PackError(Exception):
    """A folder can not be packed."""


@dataclass(frozen=True, kw_only=True)
class PackItem:
    """One file, folder or symbolic link.

    :ivar kind: ``d`` folder, ``f`` file, ``x`` executable file, ``l`` link.
    :ivar path: its path below the packed folder.
    :ivar data: a file's contents; empty for others.
    :ivar target: what a link points to; empty for others.
    """

    kind: str
    path: str
    data: bytes = b""
    target: str = ""

    @property
    def line(self) -> str:
        """The item's line of the manifest."""
        line = f"{self.kind} {len(self.data)} {self.path}"
        if self.kind == "l":
            line += f"\t{self.target}"
        return line + "\n"


@dataclass(frozen=True, kw_only=True)
class Payload:
    """What is appended to the launcher.

    :ivar packed: the two gzip streams and the footer.
    :ivar key: SHA-256 of the two streams, 64 hex digits.
    :ivar size: bytes of all files once unpacked.
    """

    packed: bytes
    key: str
    size: int


def read_items(folder: Path) -> list[PackItem]:
    """Read a folder's items, each folder before what it holds.

    :param folder: the folder.
    :return: items in an order that depends on the paths alone.
    :raises PackError: if a path holds a tab or a line end.
    """
    paths = sorted(folder.rglob("*"))
    return [_read_item(path, path.relative_to(folder).as_posix()) for path in paths]


def _read_item(path: Path, name: str) -> PackItem:
    if set(name) & set("\t\n"):
        raise PackError(f"{name!r} holds a tab or a line end; rename it")
    if path.is_symlink():
        return PackItem(kind="l", path=name, target=os.readlink(path))
    if path.is_dir():
        return PackItem(kind="d", path=name)
    kind = "x" if path.stat().st_mode & OWNER_MAY_RUN else "f"
    return PackItem(kind=kind, path=name, data=path.read_bytes())


def pack(items: list[PackItem]) -> Payload:
    """Pack items; the same items give the same bytes.

    :param items: from :func:`read_items`.
    :return: a :class:`Payload`.
    """
    manifest = "".join(item.line for item in items).encode()
    data = b"".join(item.data for item in items)
    manifest_packed = gzip.compress(manifest, COMPRESSION_LEVEL, mtime=0)
    data_packed = gzip.compress(data, COMPRESSION_LEVEL, mtime=0)
    key = hashlib.sha256(manifest_packed + data_packed).hexdigest()
    footer = FOOTER.pack(
        MAGIC,
        len(manifest_packed),
        len(manifest),
        len(data_packed),
        len(data),
        key.encode(),
    )
    packed = manifest_packed + data_packed + footer
    return Payload(packed=packed, key=key, size=len(data))
