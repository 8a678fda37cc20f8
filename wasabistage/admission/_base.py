"""Base class of the admission policies."""

from abc import abstractmethod

from wasabistage.base import Policy


class AdmissionPolicy(Policy):
    """Decides which request may use one of this entry's slots, and when.

    Each :class:`RequestArrived` is answered by exactly one of :class:`GrantSlot`,
    :class:`Refuse` or :class:`Drop`, at once or by a later call, unless the request
    is cancelled first. Each grant must be followed by exactly one
    :class:`RequestFinished` or :class:`RequestCancelled`.
    """

    @abstractmethod
    def observe(self, event, now):
        """Take in an event and say what to do.

        :param event: one of the events of this package.
        :param now: monotonic time, in seconds; never goes back.
        :return: a list of :class:`GrantSlot`, :class:`Refuse` and :class:`Drop`.
        """

    @abstractmethod
    def decide(self, query, now):
        """Predict the wait of a request.

        :param query: a :class:`WaitQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`WaitEstimate` or the sentinel ``NO_ESTIMATE``.
        """
