"""A current value that others may wait on."""

import trio


class WatchedValue:
    """Holds an immutable value; tells those who wait when it is replaced.

    :param value: the first value.
    """

    def __init__(self, value=None):
        self.value = value
        self.changed = trio.Event()

    def set(self, value):
        """Replace the value and wake those who wait.

        :param value: the new value.
        """
        self.value = value
        self.changed.set()
        self.changed = trio.Event()

    async def wait_change(self):
        """Wait until the value is replaced.

        :return: the new value.
        """
        await self.changed.wait()
        return self.value
