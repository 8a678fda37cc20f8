"""Messages of a gossip plan with cells, their encoding, and rendezvous hashing."""

import hashlib
from dataclasses import dataclass, fields, is_dataclass

import msgspec

MESSAGE_OVERHEAD_BYTES = 66  # IP and TCP headers, length and kind of the message


def encode_message(message):
    """Encode a message as peers do: fields by position, without their names.

    :param message: instance of a data class.
    :return: MessagePack bytes.
    """
    return msgspec.msgpack.encode(_convert_to_plain(message))


def _convert_to_plain(value):
    if is_dataclass(value):
        return [_convert_to_plain(getattr(value, item.name)) for item in fields(value)]
    if isinstance(value, tuple):
        return [_convert_to_plain(item) for item in value]
    return value


def rank_by_hash(key, names):
    """Rank names for a key by rendezvous hashing.

    If a name is removed, only the keys that ranked it first are placed elsewhere.

    :param key: key to be placed.
    :param names: names to choose from.
    :return: a list of the names, the best first.
    """

    def get_score(name):
        text = f"{key}\0{name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(names, key=get_score)


@dataclass(frozen=True, kw_only=True)
class ServerDigest:
    """Peer message: summary of one backend server, sent by its watcher.

    :param server: number of the backend server in the configuration.
    :param load: share of its capacity in use, in percent.
    :param sequence: number of the load report that the summary is taken from.
    :param leaving: whether the server is leaving.
    """

    server: int
    load: int
    sequence: int
    leaving: bool = False


@dataclass(frozen=True, kw_only=True)
class CellDigest:
    """Peer message: summary of one cell, which is a group of entry instances.

    :param cell: name of the cell.
    :param sequence: number of the digest, increasing.
    :param members: number of serving entry instances.
    :param servers: number of ready backend servers.
    :param load: mean share of the capacity in use, in percent.
    :param config_version: lowest configuration version in force.
    :param addresses: some addresses for callers, ``IP:PORT``.
    """

    cell: str
    sequence: int
    members: int
    servers: int
    load: int
    config_version: int
    addresses: tuple[str, ...] = ()
