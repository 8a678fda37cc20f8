import unittest

from wasabistage.rollout import (
    ServerOrdered,
    ServerVersion,
    SwapCandidate,
    SwapEnded,
    SwapQuery,
    VersionNamed,
    VersionSwap,
)

SERVERS = tuple(f"s{number}" for number in range(6))
QUERY = SwapQuery(
    candidates=tuple(
        SwapCandidate(server=name, incarnation=1, models=("m",)) for name in SERVERS
    )
)


class VersionSwapTest(unittest.TestCase):
    def setUp(self):
        self.swap = VersionSwap(at_once=2, word_time=0.7, retry_time=0.5).reset()
        for name in SERVERS:
            self.see(name, 1)

    def see(self, server, version, incarnation=1):
        event = ServerVersion(
            server=server, incarnation=incarnation, model="m", version=version
        )
        self.swap.observe(event, 0.0)

    def name(self, version, now=0.0):
        self.swap.observe(VersionNamed(model="m", version=version), now)

    def next(self, now):
        return [item.server for item in self.swap.decide(QUERY, now)]

    def test_nothing_to_do_without_a_newer_version(self):
        self.assertEqual(self.next(0.0), [])
        self.name(1)
        self.assertEqual(self.next(0.0), [])

    def test_two_at_a_time_until_all_run_it(self):
        self.name(2)
        self.assertEqual(self.next(0.0), ["s0", "s1"])
        self.swap.observe(ServerOrdered(server="s0"), 0.0)
        self.swap.observe(ServerOrdered(server="s1"), 0.0)
        self.assertEqual(self.next(0.1), [])
        self.see("s0", 2)
        self.assertEqual(self.next(0.2), ["s2"])

    def test_order_without_further_word_is_given_again(self):
        self.name(2)
        self.swap.observe(ServerOrdered(server="s0"), 0.0)
        self.swap.observe(ServerOrdered(server="s1"), 0.0)
        self.assertEqual(self.next(0.71), ["s0", "s1"])

    def test_failed_server_comes_last_and_later(self):
        self.name(2)
        self.swap.observe(SwapEnded(server="s0", ok=False), 1.0)
        self.assertEqual(self.next(1.1), ["s1", "s2"])
        for name in SERVERS[1:]:
            self.see(name, 2)
        self.assertEqual(self.next(1.2), [])
        self.assertEqual(self.next(1.6), ["s0"])

    def test_late_word_does_not_turn_a_version_back(self):
        self.see("s0", 3)
        self.see("s0", 2)
        self.assertEqual(self.swap.version("s0", "m"), 3)
        self.see("s0", 1, incarnation=2)
        self.assertEqual(self.swap.version("s0", "m"), 1)

    def test_all_entries_agree_which_servers_come_soon(self):
        self.name(2)
        self.assertEqual(
            self.swap.soon(reversed(SERVERS), "m"), {"s0", "s1", "s2", "s3"}
        )

    def test_age_counts_from_the_newest_naming(self):
        self.name(2, now=1.0)
        self.name(2, now=5.0)
        self.assertEqual(self.swap.age("m", 6.0), 5.0)
        self.name(3, now=6.0)
        self.assertEqual(self.swap.age("m", 6.5), 0.5)


if __name__ == "__main__":
    unittest.main()
