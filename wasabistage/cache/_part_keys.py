"""Cache keys under which engines and stores keep the parts of prompts."""

SEPARATOR = "|"


def part_cache_key(model, version, account=""):
    """Return the text under which a prompt's parts are kept.

    Parts of another version, and of a client account that shares with nobody, are
    found under another text only.

    :param model: name of the model.
    :param version: weight version of the engine that computes them, a number.
    :param account: name of the client account if it shares no cache, else ``""``.
    :return: a string.
    """
    return SEPARATOR.join((model, str(version), account))


def parse_part_cache_key(cache_key):
    """Return the model and version of a cache key.

    :param cache_key: a string made by :func:`part_cache_key`.
    :return: tuple of model and version, or ``None`` if it was made by another writer.
    """
    fields = cache_key.split(SEPARATOR)
    if len(fields) != 3 or not fields[1].isdigit():
        return None
    return fields[0], int(fields[1])
