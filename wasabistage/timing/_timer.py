"""The timer service: parts subscribe to ticks instead of reading a clock."""

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

import trio

#: Part of a period by which a wake-up may come early for its tick.
ROUNDING = 1e-6


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
    def wall_time(self):
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
    """Timer service on trio's clock.

    Ticks fall on multiples of their period since the service's first one, so that
    several subscribers wake the process once.
    """

    def __init__(self):
        self.origin = None

    def now(self):
        """Return trio's time; see :meth:`TimerService.now`."""
        return trio.current_time()

    def wall_time(self):
        """Return the wall-clock time; see :meth:`TimerService.wall_time`."""
        return time.time()

    async def run_subscription(self, period, receive):
        """Tick; see :meth:`TimerService.run_subscription`."""
        if self.origin is None:
            self.origin = trio.current_time()
        while True:
            turns = int((trio.current_time() - self.origin) / period + ROUNDING)
            await trio.sleep_until(self.origin + (turns + 1) * period)
            await receive(Tick(now=trio.current_time(), period=period))


class BootTimeTimerService(TrioTimerService):
    """Timer service whose time also counts while the instance is suspended.

    Leases and the age of facts are measured with it: trio's own clock stands still
    during a suspension, so that a lease would seem to be held for longer than others
    grant it.
    """

    def now(self):
        """Return the time since boot; see :meth:`TimerService.now`."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
