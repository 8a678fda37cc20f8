"""Deployment to bytes and back, in a stable written form."""

import hashlib
import re

import msgspec

from wasabistage.declarations._model import Deployment
from wasabistage.declarations._relations import find_faults
from wasabistage.exceptions import DeclarationError
from wasabistage.utils import Sentinel

#: Number of the written form; raised with any change of it or of its rules.
FORMAT = 1
MAX_DEPLOYMENT_BYTES = 1 << 20

#: The bytes are not a deployment that this program can put in force.
UNREADABLE = Sentinel("UNREADABLE")

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
    :return: JSON as bytes.
    :raises wasabistage.exceptions.DeclarationError: if it is too large or holds a
        bearer key in place of a digest.
    """
    if not _hashes_are_digests(deployment):
        raise DeclarationError(
            "an account's key_hashes hold something else than SHA-256 digests",
            remedy="hash the bearer key and declare its digest",
        )
    plain = msgspec.to_builtins(deployment, str_keys=True, order="sorted")
    payload = msgspec.json.encode(plain)
    if len(payload) > MAX_DEPLOYMENT_BYTES:
        raise DeclarationError(
            f"the deployment takes {len(payload)} bytes, above {MAX_DEPLOYMENT_BYTES}",
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
        return UNREADABLE.because(f"format {format} is not known to this program")
    if len(payload) > MAX_DEPLOYMENT_BYTES:
        return UNREADABLE.because("it is too large")
    try:
        plain = msgspec.json.decode(payload)
        deployment = msgspec.convert(plain, Deployment, str_keys=True)
    except (msgspec.MsgspecError, RecursionError, ValueError) as error:
        return UNREADABLE.because(f"it is malformed ({type(error).__name__})")
    if not _hashes_are_digests(deployment) or not _names_match(deployment):
        return UNREADABLE.because("its names or key digests are wrong")
    faults = find_faults(deployment)
    if faults:
        return UNREADABLE.because(f"{len(faults)} faults, first: {faults[0].what}")
    return deployment


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
