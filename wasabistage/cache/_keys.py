"""Piece keys: hash chains that name a prompt's KV cache pieces.

Client account, model, weight version and piece size are the root of the chain, so
that two accounts or two versions never share a key, whatever their prompts are.
Every field is length-prefixed: no two inputs can collide by concatenation.
"""

from hashlib import blake2b

from wasabistage.exceptions import SettingError

BYTES_PER_TOKEN = 4
KEY_BYTES = 16
CHAIN_BYTES = 32
LENGTH_BYTES = 8
SHORT_KEY_BYTES = 8
ROOT_PERSON = b"wasabi-root"
PIECE_PERSON = b"wasabi-piece"
SALT_PERSON = b"wasabi-salt"
SESSION_PERSON = b"wasabi-session"


def _chain(person, *fields):
    """Digest length-prefixed fields into one link of a chain."""
    state = blake2b(digest_size=CHAIN_BYTES, person=person)
    for field in fields:
        state.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        state.update(field)
    return state.digest()


def piece_keys(account, model, version, text, piece_bytes):
    """Return the keys of a prompt's whole pieces, in order.

    :param account: name of the client account.
    :param model: name of the model.
    :param version: weight version.
    :param text: the prompt, in UTF-8 bytes.
    :param piece_bytes: bytes of text in one piece, that is the model's
        ``piece_tokens`` times ``BYTES_PER_TOKEN``.
    :return: a tuple of hex keys; text after the last whole piece has none.
    :raises SettingError: if ``piece_bytes`` is not positive.
    """
    if piece_bytes <= 0:
        raise SettingError(
            f"piece_bytes is {piece_bytes}", remedy="set piece_tokens to 1 or more"
        )
    link = _chain(
        ROOT_PERSON,
        account.encode(),
        model.encode(),
        version.encode(),
        str(piece_bytes).encode(),
    )
    keys = []
    for start in range(0, len(text) - piece_bytes + 1, piece_bytes):
        link = _chain(PIECE_PERSON, link, text[start : start + piece_bytes])
        keys.append(link[:KEY_BYTES].hex())
    return tuple(keys)


def cache_salt(account, model, version):
    """Return the salt that keeps an engine's own prefix cache apart.

    :param account: name of the client account.
    :param model: name of the model.
    :param version: weight version.
    :return: a hex string, different for each combination.
    """
    link = _chain(SALT_PERSON, account.encode(), model.encode(), version.encode())
    return link[:KEY_BYTES].hex()


def session_key(account, model, session):
    """Return the key of a session's name, for tables of sessions.

    :param account: name of the client account.
    :param model: name of the model.
    :param session: name that the caller gave the session.
    :return: a hex key.
    """
    link = _chain(SESSION_PERSON, account.encode(), model.encode(), session.encode())
    return link[:KEY_BYTES].hex()


def short_key(key):
    """Return the 64-bit number by which tables of hints remember a key.

    :param key: a hex key.
    :return: an integer; a collision only makes a wrong hint.
    """
    return int(key[: 2 * SHORT_KEY_BYTES], 16)
