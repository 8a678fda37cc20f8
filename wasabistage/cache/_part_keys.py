"""Cache keys, which separate the cached parts of models and client accounts.

Engines and stores keep the parts of prompts under these keys. A key depends on the
configuration in force alone, so that all entries compute the same one without a
message, whatever they have missed and whenever they were restarted.
"""

from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from urllib.parse import quote, unquote

SEPARATOR = "|"
MAX_VERSION_DIGITS = 19  # of the largest 64-bit integer
DIGEST_BYTES = 8
EMPTY_NAME = "%"  # quote() returns this for no name
MAX_SCOPES = 64  # sets of accounts whose scope is kept
MAX_KEYS = 1024  # keys that are kept, one per model, version and scope


@dataclass(frozen=True, kw_only=True)
class PartCacheKey:
    """Fields of a cache key.

    :param model: name of the model.
    :param version: weight version of the engine that computes the parts.
    :param scope: the accounts that share the parts; see :func:`cache_scope`.
    """

    model: str
    version: int
    scope: str


def cache_scope(account, dedicated_accounts):
    """Return the name of the accounts that share cached parts with an account.

    A dedicated account has a scope of its own. All others share one that belongs to the
    set of dedicated accounts: no account that is in the set has ever used it. An
    account that becomes dedicated leaves its parts in a scope that nobody uses while it
    is.

    :param account: name of the client account, or ``None`` for requests without one.
    :param dedicated_accounts: frozenset of the names of all accounts that share no
        part with others.
    :return: a string.
    """
    if account in dedicated_accounts:
        return quote_name(account) or EMPTY_NAME
    return get_shared_scope(dedicated_accounts)


@lru_cache(maxsize=MAX_SCOPES)
def get_shared_scope(dedicated_accounts):
    """Return the scope of all accounts that are not dedicated.

    :param dedicated_accounts: see :func:`cache_scope`.
    :return: a string that is the name of no account's scope.
    """
    if not dedicated_accounts:
        return ""
    names = sorted(quote_name(name) for name in dedicated_accounts)
    text = SEPARATOR.join(names).encode()
    return SEPARATOR + blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def find_scopes(dedicated_accounts):
    """Return the scopes in which parts can be used, a set of strings.

    :param dedicated_accounts: see :func:`cache_scope`.
    """
    scopes = {cache_scope(name, dedicated_accounts) for name in dedicated_accounts}
    return scopes | {get_shared_scope(dedicated_accounts)}


@lru_cache(maxsize=MAX_KEYS)
def part_cache_key(model, version, scope=""):
    """Return the cache key of a prompt's parts.

    Each combination of model, weight version and scope has a key of its own.

    :param model: name of the model.
    :param version: weight version of the engine that computes the parts, an integer.
    :param scope: the accounts that share the parts; see :func:`cache_scope`.
    :return: a string of ASCII characters.
    """
    return SEPARATOR.join((quote_name(model), str(version), scope))


def quote_name(name):
    """Return a name as ASCII characters without separators."""
    return quote(name, safe="", errors="surrogatepass")


def parse_part_cache_key(cache_key):
    """Return the :class:`PartCacheKey` of a cache key.

    :param cache_key: a string made by :func:`part_cache_key`.
    :return: the fields, or ``None`` if the string has another format.
    """
    fields = cache_key.split(SEPARATOR, 2)
    if len(fields) != 3:
        return None
    model, version, scope = fields
    # Other digits than the ASCII ones are no number to int().
    if not (version.isascii() and version.isdigit()):
        return None
    if len(version) > MAX_VERSION_DIGITS:
        return None
    return PartCacheKey(model=unquote(model), version=int(version), scope=scope)
