import unittest

from wasabistage.edge._intake import (
    CALLERS,
    CONTROL_GROUPS,
    MAX_CLIENT_BYTES,
    create_policy,
    share_descriptors,
)
from wasabistage.edge._settings import LimitsSection


class BoundsTest(unittest.TestCase):
    # Guards against bounds that add up to more than the machine has.
    def test_descriptors_leave_room_for_servers_and_files(self):
        for max_fds in (64, 256, 1024, 4100, 8192):
            with self.subTest(max_fds):
                callers, control = share_descriptors(max_fds)
                used = 2 * callers + len(CONTROL_GROUPS) * control
                self.assertLess(used, max_fds - min(200, max_fds // 4))

    def test_memory_is_a_share_of_the_machines(self):
        small = create_policy(LimitsSection(memory_mb=100))
        large = create_policy(LimitsSection(memory_mb=2000))
        self.assertEqual(small.limit, 20_000_000)
        self.assertEqual(large.limit, MAX_CLIENT_BYTES)
        self.assertIn(CALLERS, large.max_channels)


if __name__ == "__main__":
    unittest.main()
