"""The timer service: parts subscribe to ticks instead of reading a clock."""

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

import trio


@dataclass(frozen=True, kw_only=True)
class Tick:
    """A moment that a subscriber asked for.

    :param now: monotonic time, in seconds.
    :param period: period of the subscription, in seconds.
    """

    now: float
    period: float


class TimerService(ABC):
    """Source of time for the tasks."""

    @abstractmethod
    def now(self):
        """Return the monotonic time.

        :return: seconds since an arbitrary start.
        """

    @abstractmethod
    def wall(self):
        """Return the wall-clock time.

        :return: seconds since 1970.
        """

    @abstractmethod
    async def run_subscription(self, period, receive):
        """Call a subscriber once per period until cancelled.

        A period during which the subscriber was still busy is left out.

        :param period: seconds between two ticks.
        :param receive: asynchronous function that takes a :class:`Tick`.
        """


class TrioTimerService(TimerService):
    """Timer service on trio's clock."""

    def now(self):
        """Return trio's time; see :meth:`TimerService.now`."""
        return trio.current_time()

    def wall(self):
        """Return the wall-clock time; see :meth:`TimerService.wall`."""
        return time.time()

    async def run_subscription(self, period, receive):
        """Tick; see :meth:`TimerService.run_subscription`."""
        due = trio.current_time() + period
        while True:
            await trio.sleep_until(due)
            await receive(Tick(now=trio.current_time(), period=period))
            due = max(due + period, trio.current_time())
