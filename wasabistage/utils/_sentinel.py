"""Falsy values that stand for a missing result and its reason."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Sentinel:
    """Falsy value that a function returns in place of a result.

    :param name: name of the constant that holds it, such as ``NO_SERVER``.
    :param reason: why there is no result, one sentence.
    """

    name: str
    reason: str = ""

    def __bool__(self):
        return False

    def with_reason(self, reason):
        """Return a copy of this sentinel with another reason.

        :param reason: why there is no result, one sentence.
        :return: a new :class:`Sentinel` with the same name.
        """
        return Sentinel(self.name, reason)

    def has_same_name(self, other):
        """Return whether another value is a sentinel of the same name.

        The reasons may differ, unlike with ``==``.

        :param other: any value.
        :return: whether ``other`` is a :class:`Sentinel` of this name.
        """
        return isinstance(other, Sentinel) and other.name == self.name
