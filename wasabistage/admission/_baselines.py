"""Queueing policies that benchmarks compare :class:`RankedFairQueue` with."""

from wasabistage.admission._queueing import QueueingPolicy
from wasabistage.admission._service_queue import FifoServiceQueue


class FirstComeFirstServed(QueueingPolicy):
    """Baseline: one FIFO queue for each service, regardless of rank and account.

    Expired requests are dropped. At ``max_queued`` the newest request is refused.

    :param max_queued: maximum number of queued requests of a service.
    """

    def build_queue(self):
        """Build the queue of a service."""
        return FifoServiceQueue(self.max_queued, by_rank=False)


class StrictPriority(QueueingPolicy):
    """Baseline: the most urgent rank first, without floors or fairness.

    Expired requests are dropped. At ``max_queued`` the newest request of the rank is
    refused.

    :param max_queued: maximum number of queued requests of each rank of a service.
    """

    def build_queue(self):
        """Build the queue of a service."""
        return FifoServiceQueue(self.max_queued, by_rank=True)
