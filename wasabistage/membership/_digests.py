"""Messages between many entry instances, their encoding, and placement by hash."""

import hashlib
from dataclasses import dataclass, fields, is_dataclass

import msgspec

FRAME_BYTES = 66  # bytes around one message: IP and TCP headers, length, kind


def encode_message(message):
    """Encode a message by position, as peers do.

    :param message: a flat data class.
    :return: MessagePack bytes.
    """
    return msgspec.msgpack.encode(_plain(message))


def _plain(value):
    if is_dataclass(value):
        return [_plain(getattr(value, item.name)) for item in fields(value)]
    if isinstance(value, tuple):
        return [_plain(item) for item in value]
    return value


def rank_by_hash(key, names):
    """Order names by rendezvous hashing.

    :param key: what is to be placed.
    :param names: the names to choose from.
    :return: a list; when a name goes, only what it held moves.
    """

    def weight(name):
        text = f"{key}\0{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(names, key=weight)


@dataclass(frozen=True, kw_only=True)
class ServerWord:
    """Wire message: a watcher's word on one backend server.

    :param server: number of the server in the configuration.
    :param load: share of its capacity in use, in percent.
    :param sequence: number of the report it comes from.
    :param leaving: whether it is leaving.
    """

    server: int
    load: int
    sequence: int
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class CellDigest:
    """Wire message: one cell in a few bytes.

    :param cell: name of the cell.
    :param sequence: counts up with each digest.
    :param members: serving entry instances.
    :param servers: ready backend servers.
    :param load: mean share of capacity in use, in percent.
    :param config_version: lowest configuration version in force.
    :param addresses: a few addresses for callers.
    """

    cell: str
    sequence: int
    members: int
    servers: int
    load: int
    config_version: int
    addresses: tuple[str, ...] = ()
