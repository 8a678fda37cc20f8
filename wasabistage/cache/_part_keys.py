"""Cache keys, which separate the cached parts of different models and accounts.

Engines and stores keep the parts of prompts under these keys.
"""

SEPARATOR = "|"
MAX_VERSION_DIGITS = 19  # of the largest 64-bit integer


def part_cache_key(model, version, account=""):
    """Return the cache key of a prompt's parts.

    Each combination of model and weight version has a key of its own, and so has each
    client account that does not share its cache with other accounts.

    :param model: name of the model.
    :param version: weight version of the engine that computes the parts, an integer.
    :param account: name of the client account if it does not share its cache, else
        ``""``.
    :return: a string.
    """
    return SEPARATOR.join((model, str(version), account))


def parse_part_cache_key(cache_key):
    """Return the model and the weight version that a cache key names.

    :param cache_key: a string made by :func:`part_cache_key`.
    :return: tuple of model and version, or ``None`` if the string has another format.
    """
    fields = cache_key.split(SEPARATOR)
    if len(fields) != 3:
        return None
    model, version, _ = fields
    # Other digits than the ASCII ones are no number to int().
    if not (version.isascii() and version.isdigit()):
        return None
    if len(version) > MAX_VERSION_DIGITS:
        return None
    return model, int(version)
