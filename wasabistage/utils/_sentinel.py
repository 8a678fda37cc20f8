"""Falsy values that say why there is no result."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Sentinel:
    """A named absence with its reason; falsy.

    :param name: short constant name, such as ``NO_SERVER``.
    :param reason: why there is no result, one sentence.
    """

    name: str
    reason: str = ""

    def __bool__(self):
        return False

    def with_reason(self, reason):
        """Return this sentinel with a reason.

        :param reason: why there is no result, one sentence.
        :return: a new :class:`Sentinel` with the same name.
        """
        return Sentinel(self.name, reason)

    def has_same_name(self, other):
        """Tell whether two sentinels have the same name.

        :param other: any value.
        :return: ``True`` if ``other`` is a sentinel of this name.
        """
        return isinstance(other, Sentinel) and other.name == self.name
