import time
import unittest

import trio
import trio.testing

from wasabistage.timing import BootTimeTimerService, TrioTimerService


class TimerTest(unittest.TestCase):
    def test_ticks_fall_on_multiples_of_period_and_are_skipped_while_callback_runs(
        self,
    ):
        async def run():
            tick_times, timer = [], TrioTimerService()

            async def callback(tick):
                tick_times.append(round(tick.now - start, 3))
                if len(tick_times) == 1:
                    await trio.sleep(2.5)

            start = trio.current_time()
            with trio.move_on_after(6.5):
                await timer.run_subscription(1.0, callback)
            return tick_times

        clock = trio.testing.MockClock(autojump_threshold=0)
        self.assertEqual(trio.run(run, clock=clock), [1.0, 4.0, 5.0, 6.0])

    def test_boot_timer_reads_clock_that_includes_suspension(self):
        now = BootTimeTimerService().now()
        self.assertAlmostEqual(now, time.clock_gettime(time.CLOCK_BOOTTIME), delta=1.0)


if __name__ == "__main__":
    unittest.main()
