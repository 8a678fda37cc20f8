"""Base class of the admission policies."""

from abc import abstractmethod

from wasabistage.base import Policy


class AdmissionPolicy(Policy):
    """Policy that decides when each request gets one of this entry instance's slots.

    The policy answers each :class:`RequestArrived` with exactly one :class:`GrantSlot`,
    :class:`Refuse` or :class:`Drop`, at once or in a later call, unless the request
    is cancelled first. The owner must follow each grant by exactly one
    :class:`RequestFinished` or :class:`RequestCancelled`.
    """

    @abstractmethod
    def observe(self, event, now):
        """Process an event and return the resulting actions.

        :param event: one of the events of this package.
        :param now: monotonic time, in seconds; never decreases.
        :return: a list of :class:`GrantSlot`, :class:`Refuse` and :class:`Drop`.
        """

    @abstractmethod
    def decide(self, query, now):
        """Predict how long a request would be queued.

        :param query: a :class:`WaitQuery`.
        :param now: monotonic time, in seconds.
        :return: a :class:`WaitEstimate` or the sentinel ``NO_ESTIMATE``.
        """
