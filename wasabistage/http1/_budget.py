"""Bound of the memory that bodies of responses take together."""

from contextlib import contextmanager

from wasabistage.http1._channel import ChannelError


class NoRoomError(ChannelError):
    """This process has no memory for the body. The server did not fail."""


class ByteBudget:
    """Number of bytes that all bodies which are read at the same time may have.

    :param limit: largest sum, in bytes.
    :param free_bytes: first bytes of each body that do not count, so that small bodies
        are read while large ones use up the budget.
    """

    def __init__(self, limit, free_bytes=0):
        self.limit = limit
        self.free_bytes = free_bytes
        self.held = 0

    @contextmanager
    def hold(self, account=None):
        """Return a :class:`ByteHold` whose bytes are released at the end.

        :param account: function that takes a number of bytes more or, if it is
            negative, fewer, and returns whether there is room; or ``None``.
        """
        hold = ByteHold(self, account)
        try:
            yield hold
        finally:
            hold.finish()
            if account is not None:
                account(-hold.size)


class ByteHold:
    """Bytes of one body that count towards a :class:`ByteBudget`.

    :param budget: the budget.
    :param account: see :meth:`ByteBudget.hold`.
    """

    def __init__(self, budget, account=None):
        self.budget = budget
        self.account = account
        self.size = 0
        self.counted = 0

    def finish(self):
        """Release the bytes of a complete body; the account still holds them."""
        self.budget.held -= self.counted
        self.counted = 0

    def add(self, size):
        """Add bytes of the body.

        :param size: number of bytes.
        :raises NoRoomError: if the budget or the account has no room for them.
        """
        counted = max(0, self.size + size - self.budget.free_bytes)
        growth = counted - self.counted
        if growth and self.budget.held + growth > self.budget.limit:
            raise NoRoomError(
                f"bodies of responses take over {self.budget.limit} bytes together"
            )
        if self.account is not None and not self.account(size):
            raise NoRoomError("there is no memory for the body of the response")
        self.budget.held += growth
        self.counted = counted
        self.size += size
