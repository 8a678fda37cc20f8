"""Base class of policies and small types that all packages share.

A *policy* makes decisions. It does no I/O and reads neither a clock nor a source of
randomness: the time and, where needed, a seeded random number are passed as arguments.
Tests and benchmarks therefore call a policy exactly as the entry process does.
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
    """Whether the request that an error refers to was run."""

    NO = "no"
    UNKNOWN = "unknown"


class Policy(ABC):
    """Base class of policies, which make decisions without I/O.

    The constructor only stores its named arguments. ``reset`` checks them and
    initializes the learned state, whose attributes end in ``_``.
    """

    def get_params(self):
        """Return the constructor's arguments.

        :return: a dict of argument name to stored value.
        """
        names = inspect.signature(type(self).__init__).parameters
        return {name: getattr(self, name) for name in names if name != "self"}

    @abstractmethod
    def reset(self):
        """Check the arguments and initialize the learned state.

        :return: the policy itself.
        :raises wasabistage.exceptions.SettingError: if an argument is out of range.
        """

    @abstractmethod
    def observe(self, event, now):
        """Update the learned state from an event.

        :param event: an event, one of the data classes of the policy's package.
        :param now: monotonic time, in seconds.
        """

    @abstractmethod
    def decide(self, query, now):
        """Answer a query.

        :param query: a query, one of the data classes of the policy's package.
        :param now: monotonic time, in seconds.
        :return: a decision, or a falsy :class:`wasabistage.utils.Sentinel` with the
            reason why there is none.
        """

    def tick(self, now):
        """Update the learned state for the time passed and collect due actions.

        :param now: monotonic time, in seconds.
        :return: a list of actions that the task that owns the policy must carry out.
        """
        return []
