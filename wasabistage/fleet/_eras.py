"""Eras of the record store, and places of records in it.

A store that returns from an older copy has lost its newest records and gives their
offsets to others. It tells so by the number of its era, which rises. A place is the
era and the offset in one integer, era first, so that all that is of a newer era lies
behind all that is of an older one. If the store tells no era, or era 0, places are
plain offsets.
"""

from dataclasses import dataclass

OFFSET_BITS = 40
MAX_ERA = (1 << 22) - 1  # a place is below 2 ** 63


def make_place(era, offset):
    """Return the place of an offset in an era, an integer.

    :param era: number of the era.
    :param offset: offset of a record, or of the end of a topic.
    """
    return (era << OFFSET_BITS) + offset


def get_era(place):
    """Return the number of the era of a place."""
    return place >> OFFSET_BITS


def get_offset(place):
    """Return the offset of a place in its era."""
    return place - make_place(get_era(place), 0)


@dataclass(frozen=True, kw_only=True)
class EraChange:
    """A change of what is known of the store's era.

    :param before: the era known before; ``None`` with the first answer of the store.
    :param era: the era known now.
    :param problem: what is wrong with the number that the store told, or ``""``.
    """

    before: int | None
    era: int
    problem: str = ""


class StoreEra:
    """The era of the store, as the answers to all readers and writers tell it.

    It never goes back. An answer without a number, or with one that can't be used, is
    taken for one of the known era.

    :param listener: function that takes an :class:`EraChange`; each problem is told
        once in a row.
    """

    def __init__(self, listener=None):
        self.listener = listener
        self.era = 0
        self.has_answer = False
        #: Whether some answer has told an era.
        self.is_told = False
        self.problem = ""

    def observe(self, text):
        """Take in what an answer of the store tells.

        :param text: the number as decimal digits, bytes; ``None`` if the answer tells
            none.
        :return: whether the answer may be used; one of an older era may not.
        """
        had_answer, self.has_answer = self.has_answer, True
        if text is None:
            if self.is_told:
                self._report("the store tells no era")
            return True
        era = parse_era(text)
        if era is None:
            self._report(f"{text[:32]!r} is no era between 0 and {MAX_ERA}")
            return True
        if era < self.era:
            self._report(f"era {era} is older than {self.era}")
            return False
        self.is_told, self.problem = True, ""
        if era > self.era:
            before, self.era = self.era if had_answer else None, era
            if self.listener is not None:
                self.listener(EraChange(before=before, era=era))
        return True

    def _report(self, problem):
        if problem != self.problem and self.listener is not None:
            self.listener(EraChange(before=self.era, era=self.era, problem=problem))
        self.problem = problem


def parse_era(text):
    """Return the era that a text names, or ``None``.

    :param text: bytes.
    """
    text = text.strip()
    if not text.isdigit() or len(text) > len(str(MAX_ERA)):
        return None
    era = int(text)
    return era if era <= MAX_ERA else None
