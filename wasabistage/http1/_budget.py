"""Bound of the memory that bodies of responses take together."""

from contextlib import contextmanager

from wasabistage.http1._channel import ChannelError


class ByteBudget:
    """Number of bytes that all bodies which are read at the same time may have.

    :param limit: largest sum, in bytes.
    """

    def __init__(self, limit):
        self.limit = limit
        self.held = 0

    @contextmanager
    def hold(self):
        """Return a :class:`ByteHold` whose bytes are released at the end."""
        hold = ByteHold(self)
        try:
            yield hold
        finally:
            self.held -= hold.size


class ByteHold:
    """Bytes of one body that count towards a :class:`ByteBudget`.

    :param budget: the budget.
    """

    def __init__(self, budget):
        self.budget = budget
        self.size = 0

    def add(self, size):
        """Add bytes of the body.

        :param size: number of bytes.
        :raises ChannelError: if the budget has no room for them.
        """
        if self.budget.held + size > self.budget.limit:
            raise ChannelError(
                f"bodies of responses take over {self.budget.limit} bytes together"
            )
        self.budget.held += size
        self.size += size
