"""Baselines of admission."""

from wasabistage.admission._queueing import QueueingPolicy
from wasabistage.admission._service_queue import FifoServiceQueue


class FirstComeFirstServed(QueueingPolicy):
    """Baseline: one line for each service, whatever the rank or account.

    Expired work is dropped; at ``max_queued`` the newest request is refused.

    :param max_queued: bound of the waiting requests of a service.
    """

    def make_queue(self):
        """Build the queue of a service."""
        return FifoServiceQueue(self.max_queued, ranked=False)


class StrictPriority(QueueingPolicy):
    """Baseline: the most urgent rank first, without floors or fairness.

    Expired work is dropped; at ``max_queued`` a rank's newest request is refused.

    :param max_queued: bound of the waiting requests of each rank of a service.
    """

    def make_queue(self):
        """Build the queue of a service."""
        return FifoServiceQueue(self.max_queued, ranked=True)
