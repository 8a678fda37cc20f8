"""Piece keys, which identify a prompt's KV cache pieces by a chain of hashes.

The first digest of the chain covers client account, model, weight version and piece
size. Thus two accounts or two versions never share a key, whatever their prompts are.
Every field is prefixed by its length, so that different lists of fields never give the
same hash input.
"""

from hashlib import blake2b

from wasabistage.exceptions import SettingError

BYTES_PER_TOKEN = 4  # text bytes counted as one token when a prompt is cut into pieces
KEY_BYTES = 16
DIGEST_BYTES = 32
LENGTH_PREFIX_BYTES = 8
SHORT_KEY_BYTES = 8
ROOT_PERSONALIZATION = b"wasabi-root"
PIECE_PERSONALIZATION = b"wasabi-piece"
SALT_PERSONALIZATION = b"wasabi-salt"
SESSION_PERSONALIZATION = b"wasabi-session"


def _digest_fields(personalization, *fields):
    """Return the digest of fields, each prefixed by its length."""
    hasher = blake2b(digest_size=DIGEST_BYTES, person=personalization)
    for field in fields:
        hasher.update(len(field).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        hasher.update(field)
    return hasher.digest()


def piece_keys(account, model, version, text, piece_bytes):
    """Return the keys of a prompt's complete pieces, in order.

    :param account: name of the client account.
    :param model: name of the model.
    :param version: weight version.
    :param text: the prompt, in UTF-8 bytes.
    :param piece_bytes: bytes of text in one piece: the model's ``piece_tokens`` times
        ``BYTES_PER_TOKEN``.
    :return: a tuple of hex keys; text after the last complete piece has no key.
    :raises SettingError: if ``piece_bytes`` is not positive.
    """
    if piece_bytes <= 0:
        raise SettingError(
            f"piece_bytes is {piece_bytes}, not above 0",
            remedy="set piece_tokens to 1 or more",
        )
    digest = _digest_fields(
        ROOT_PERSONALIZATION,
        account.encode(),
        model.encode(),
        version.encode(),
        str(piece_bytes).encode(),
    )
    keys = []
    for start in range(0, len(text) - piece_bytes + 1, piece_bytes):
        digest = _digest_fields(
            PIECE_PERSONALIZATION, digest, text[start : start + piece_bytes]
        )
        keys.append(digest[:KEY_BYTES].hex())
    return tuple(keys)


def cache_salt(account, model, version):
    """Return the salt that separates accounts and models in an engine's prefix cache.

    :param account: name of the client account.
    :param model: name of the model.
    :param version: weight version.
    :return: a hex string, different for each combination.
    """
    digest = _digest_fields(
        SALT_PERSONALIZATION, account.encode(), model.encode(), version.encode()
    )
    return digest[:KEY_BYTES].hex()


def session_key(account, model, session):
    """Return the key that identifies a session in the indexes.

    :param account: name of the client account.
    :param model: name of the model.
    :param session: name that the caller gave the session.
    :return: a hex key.
    """
    digest = _digest_fields(
        SESSION_PERSONALIZATION, account.encode(), model.encode(), session.encode()
    )
    return digest[:KEY_BYTES].hex()


def truncate_key(key):
    """Return the first 64 bits of a key, by which the indexes identify it.

    :param key: a hex key.
    :return: an integer. A collision only gives a wrong hint: the mismatch is found
        when the piece is read.
    """
    return int(key[: 2 * SHORT_KEY_BYTES], 16)
