"""A value whose replacement tasks can wait for."""

import trio


class WatchedValue:
    """Holder of an immutable value that wakes waiting tasks when it is replaced.

    :param value: the initial value.
    """

    def __init__(self, value=None):
        self.value = value
        self.changed = trio.Event()

    def set(self, value):
        """Replace the value and wake the tasks that wait for it.

        :param value: the new value.
        """
        self.value = value
        self.changed.set()
        self.changed = trio.Event()

    async def wait_for_change(self):
        """Wait until the value is replaced.

        :return: the new value.
        """
        await self.changed.wait()
        return self.value
