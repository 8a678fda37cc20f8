"""Timer service: tasks subscribe to ticks instead of reading a clock."""

import time
from abc import ABC, abstractmethod
from dataclasses import dataclass

import trio

#: Fraction of a period by which a wake-up may precede its tick, due to rounding of
#: floating-point times. Such a wake-up counts as the tick.
MAX_EARLY_WAKE_FRACTION = 1e-6


@dataclass(frozen=True, kw_only=True)
class Tick:
    """Event: a period of a subscription has elapsed.

    :param now: monotonic time of the clock that ticks follow, in seconds. With
        :class:`BootTimeTimerService` this is not the clock of ``now()``.
    :param period: period of the subscription, in seconds.
    """

    now: float
    period: float


class TimerService(ABC):
    """Source of time for the tasks of a process."""

    @abstractmethod
    def now(self):
        """Return the monotonic time.

        :return: seconds since an arbitrary point in time.
        """

    @abstractmethod
    def wall_time(self):
        """Return the wall-clock time.

        :return: seconds since the Unix epoch.
        """

    @abstractmethod
    async def run_subscription(self, period, callback):
        """Call a subscriber once per period until cancelled.

        A tick that falls due while the subscriber is still running is skipped.

        :param period: time between two ticks, in seconds.
        :param callback: asynchronous function that takes a :class:`Tick`.
        """


class TrioTimerService(TimerService):
    """Timer service on trio's clock.

    Ticks fall on multiples of their period since the start of the first subscription,
    so that ticks of several subscribers coincide and wake the process once.
    """

    def __init__(self):
        self.origin = None

    def now(self):
        """Return the time of trio's clock; see :meth:`TimerService.now`."""
        return trio.current_time()

    def wall_time(self):
        """Return the wall-clock time; see :meth:`TimerService.wall_time`."""
        return time.time()

    async def run_subscription(self, period, callback):
        """Call a subscriber periodically; see :meth:`TimerService.run_subscription`."""
        if self.origin is None:
            self.origin = trio.current_time()
        while True:
            elapsed_periods = int(
                (trio.current_time() - self.origin) / period + MAX_EARLY_WAKE_FRACTION
            )
            await trio.sleep_until(self.origin + (elapsed_periods + 1) * period)
            await callback(Tick(now=trio.current_time(), period=period))


class BootTimeTimerService(TrioTimerService):
    """Timer service whose clock also advances while the instance is suspended.

    Use it for leases and for the age of data. Trio's clock stops during a suspension,
    so an instance would regard its lease as valid after it has expired for the others.
    Ticks follow trio's clock, also in their time :attr:`Tick.now`.
    """

    def now(self):
        """Return the time since boot; see :meth:`TimerService.now`.

        :return: seconds, including the time in suspension.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)
