"""Recognises client accounts by their bearer keys."""

import hashlib
import hmac

from wasabistage.exceptions import UnauthorizedError

SCHEME = "Bearer "
LONGEST_KEY_BYTES = 512


class AccountDirectory:
    """Maps the hashes of bearer keys to client accounts.

    :param deployment: the :class:`wasabistage.declarations.Deployment` in force.
    """

    def __init__(self, deployment):
        self.deployment = deployment
        self.by_hash = {
            key_hash: account
            for account in deployment.accounts.values()
            for key_hash in account.key_hashes
        }

    def authenticate(self, header):
        """Return the client account of an ``Authorization`` header.

        The key is hashed before it is looked up, so the time of the look-up tells
        nothing about a valid key.

        :param header: value of the header, or ``None``.
        :return: a :class:`wasabistage.declarations.ClientAccount`.
        :raises UnauthorizedError: if the key is missing, malformed or unknown.
        """
        if not header or not header.startswith(SCHEME):
            raise UnauthorizedError(
                "the request carries no bearer key",
                remedy="send the header 'Authorization: Bearer KEY'",
            )
        key = header[len(SCHEME) :].encode("utf-8", "surrogateescape")
        digest = hashlib.sha256(key[:LONGEST_KEY_BYTES]).hexdigest()
        account = self.by_hash.get(digest)
        known = account is not None and any(
            hmac.compare_digest(digest, item) for item in account.key_hashes
        )
        if not known or len(key) > LONGEST_KEY_BYTES:
            raise UnauthorizedError(
                "the bearer key is not known",
                remedy="use a key whose hash stands in the account's declaration",
            )
        return account
