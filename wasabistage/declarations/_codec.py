"""Deployment to bytes and back, in a stable written form."""

import hashlib
import re
import zlib

import msgspec

from wasabistage.declarations._model import Deployment
from wasabistage.declarations._relations import find_faults
from wasabistage.exceptions import DeclarationError
from wasabistage.utils import Sentinel

#: Number of the written form; raised with any change of it or of its rules.
FORMAT = 1
#: Largest written deployment, compressed and plain.
MAX_DEPLOYMENT_BYTES = 1 << 20
MAX_PLAIN_BYTES = 4 << 20

#: The bytes are not a deployment that this program can put in force.
UNREADABLE = Sentinel("UNREADABLE")

_COMPRESSION_LEVEL = 6
_HASH = re.compile(r"[0-9a-f]{64}")


def digest_of(payload):
    """Digest a written deployment.

    :param payload: its bytes.
    :return: SHA-256 as 64 hex digits.
    """
    return hashlib.sha256(payload).hexdigest()


def encode_deployment(deployment):
    """Write a deployment; equal deployments give equal bytes.

    :param deployment: a :class:`wasabistage.declarations.Deployment`.
    :return: compressed JSON as bytes.
    :raises wasabistage.exceptions.DeclarationError: if it is too large or holds a
        bearer key in place of a digest.
    """
    if not _hashes_are_digests(deployment):
        raise DeclarationError(
            "an account's key_hashes hold something else than SHA-256 digests",
            remedy="hash the bearer key and declare its digest",
        )
    plain = msgspec.to_builtins(deployment, str_keys=True, order="sorted")
    text = msgspec.json.encode(plain)
    payload = zlib.compress(text, _COMPRESSION_LEVEL)
    if len(text) > MAX_PLAIN_BYTES or len(payload) > MAX_DEPLOYMENT_BYTES:
        raise DeclarationError(
            f"the deployment takes {len(text)} bytes, {len(payload)} compressed, "
            f"above {MAX_PLAIN_BYTES} or {MAX_DEPLOYMENT_BYTES}",
            remedy="declare fewer accounts or servers",
        )
    return payload


def decode_deployment(payload, format=FORMAT):
    """Read a written deployment.

    :param payload: its bytes.
    :param format: number of its written form.
    :return: a :class:`wasabistage.declarations.Deployment`, or :data:`UNREADABLE`
        with the reason.
    """
    if format != FORMAT:
        return UNREADABLE.with_reason(f"format {format} is not known to this program")
    if len(payload) > MAX_DEPLOYMENT_BYTES:
        return UNREADABLE.with_reason("it is too large")
    text = plain_bytes(payload)
    if text is None:
        return UNREADABLE.with_reason("it can't be decompressed within its bound")
    try:
        plain = msgspec.json.decode(text)
        deployment = msgspec.convert(plain, Deployment, str_keys=True)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        return UNREADABLE.with_reason(f"it is malformed ({type(error).__name__})")
    if not _hashes_are_digests(deployment) or not _names_match(deployment):
        return UNREADABLE.with_reason("its names or key digests are wrong")
    faults = find_faults(deployment)
    if faults:
        return UNREADABLE.with_reason(f"{len(faults)} faults, first: {faults[0].what}")
    return deployment


def plain_bytes(payload):
    """Decompress a written deployment within its bound.

    :param payload: the written deployment.
    :return: its JSON as bytes, or ``None``.
    """
    reader = zlib.decompressobj()
    try:
        text = reader.decompress(payload, MAX_PLAIN_BYTES)
    except zlib.error:
        return None
    complete = reader.eof and not reader.unused_data
    return text if complete else None


def _hashes_are_digests(deployment):
    return all(
        _HASH.fullmatch(digest)
        for account in deployment.accounts.values()
        for digest in account.key_hashes
    )


def _names_match(deployment):
    tables = (
        deployment.services,
        deployment.models,
        deployment.accounts,
        deployment.servers,
        deployment.stores,
        *(service.calls for service in deployment.services.values()),
    )
    return all(name == part.name for table in tables for name, part in table.items())
