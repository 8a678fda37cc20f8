"""Base classes and the small types that every package shares.

A *policy* decides; it never does I/O and holds no clock and no random source.
The time, and where it is needed a seeded random number, come in as arguments, so
that tests and benchmarks drive a policy exactly as the entry process does.
"""

import enum
import inspect
from abc import ABC, abstractmethod


class Rank(enum.IntEnum):
    """Rank of a declared call; a lower value is served first."""

    URGENT = 0
    INTERACTIVE = 1
    BACKGROUND = 2


class Ran(enum.StrEnum):
    """What an error says about whether the request was run."""

    NO = "no"
    UNKNOWN = "unknown"


class Policy(ABC):
    """A decision without I/O.

    Constructors only store their named arguments. ``reset`` checks them and builds
    the learned state, whose attributes end in ``_``.
    """

    def get_params(self):
        """Return the constructor's arguments.

        :return: a dict of argument name to stored value.
        """
        names = inspect.signature(type(self).__init__).parameters
        return {name: getattr(self, name) for name in names if name != "self"}

    @abstractmethod
    def reset(self):
        """Check the arguments and build empty learned state.

        :return: the policy itself.
        :raises wasabistage.exceptions.SettingError: if an argument is out of range.
        """

    @abstractmethod
    def observe(self, event, now):
        """Learn from something that happened.

        :param event: a message, one of the data classes of the policy's package.
        :param now: monotonic time, in seconds.
        """

    @abstractmethod
    def decide(self, query, now):
        """Answer a query.

        :param query: a message, one of the data classes of the policy's package.
        :param now: monotonic time, in seconds.
        :return: a decision, or a falsy :class:`wasabistage.utils.Sentinel` with a
            reason.
        """

    def tick(self, now):
        """Do what falls due by the passing of time.

        :param now: monotonic time, in seconds.
        :return: a list of actions for the task that owns the policy.
        """
        return []
