import time
import unittest

import trio
import trio.testing

from wasabistage.timing import BootTimeTimerService, TrioTimerService


class TimerTest(unittest.TestCase):
    def test_ticks_fall_on_multiples_and_busy_periods_are_left_out(self):
        async def run():
            seen, timer = [], TrioTimerService()

            async def receive(tick):
                seen.append(round(tick.now - start, 3))
                if len(seen) == 1:
                    await trio.sleep(2.5)

            start = trio.current_time()
            with trio.move_on_after(6.5):
                await timer.run_subscription(1.0, receive)
            return seen

        clock = trio.testing.MockClock(autojump_threshold=0)
        self.assertEqual(trio.run(run, clock=clock), [1.0, 4.0, 5.0, 6.0])

    def test_boot_time_counts_suspensions(self):
        now = BootTimeTimerService().now()
        self.assertAlmostEqual(now, time.clock_gettime(time.CLOCK_BOOTTIME), delta=1.0)


if __name__ == "__main__":
    unittest.main()
