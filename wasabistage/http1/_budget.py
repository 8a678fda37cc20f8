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
    def hold(self, account=None):
        """Return a :class:`ByteHold` whose bytes are released at the end.

        :param account: function that takes a number of bytes more or, if it is
            negative, fewer, and returns whether there is room; or ``None``.
        """
        hold = ByteHold(self, account)
        try:
            yield hold
        finally:
            self.held -= hold.size
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

    def add(self, size):
        """Add bytes of the body.

        :param size: number of bytes.
        :raises ChannelError: if the budget has no room for them.
        """
        if self.budget.held + size > self.budget.limit:
            raise ChannelError(
                f"bodies of responses take over {self.budget.limit} bytes together"
            )
        if self.account is not None and not self.account(size):
            raise ChannelError("there is no memory for the body of the response")
        self.budget.held += size
        self.size += size
