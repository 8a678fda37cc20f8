"""Faults in files, each with its place and its remedy."""

import difflib
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, order=True)
class Problem:
    """One fault in a file.

    :param file: path of the file, as shown to the operator.
    :param line: line number, from 1; 0 when the fault is not on a line.
    :param what: what is wrong.
    :param remedy: what to do about it.
    """

    file: str
    line: int
    what: str
    remedy: str

    def __str__(self):
        return f"{self.file}:{self.line}: {self.what}; {self.remedy}"


class ValueFault(ValueError):
    """A value that can't be read.

    :param what: what is wrong; it must not repeat a secret.
    :param remedy: what to write in its place.
    """

    def __init__(self, what, remedy):
        super().__init__(what)
        self.what = what
        self.remedy = remedy


def suggest(name, known):
    """Word a remedy for an unknown name.

    :param name: the unknown name.
    :param known: the names that are known.
    :return: a remedy that names the nearest known one.
    """
    names = sorted(known)
    if not names:
        return "remove it"
    nearest = difflib.get_close_matches(name[:64], names, n=1, cutoff=0.0)
    return f"did you mean {(nearest or names)[0]!r}? known: {', '.join(names[:12])}"


def shorten(text, limit=40):
    """Make any text safe and short enough for a message.

    :param text: any text.
    :param limit: longest result, in characters before quoting.
    :return: the quoted text, cut when too long.
    """
    if len(text) > limit:
        text = text[: limit - 3] + "..."
    return ascii(text)
