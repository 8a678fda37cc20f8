import unittest

from wasabistage.rollout import (
    PeerOrderEnded,
    ServerOrdered,
    ServerVersionReported,
    VersionLoadCandidate,
    VersionLoadEnded,
    VersionLoadQuery,
    VersionNamed,
    VersionRollout,
)

SERVERS = tuple(f"s{number}" for number in range(6))
QUERY = VersionLoadQuery(
    candidates=tuple(
        VersionLoadCandidate(server=name, incarnation=1, models=("m",))
        for name in SERVERS
    )
)


class VersionSwapTest(unittest.TestCase):
    def setUp(self):
        self.swap = VersionRollout(at_once=2, word_time=0.7, retry_time=0.5).reset()
        for name in SERVERS:
            self.see(name, 1)

    def see(self, server, version, incarnation=1):
        event = ServerVersionReported(
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

    def test_order_that_was_dropped_may_be_given_by_another_at_once(self):
        self.name(2)
        self.swap.observe(ServerOrdered(server="s0"), 0.0)
        self.swap.observe(ServerOrdered(server="s1"), 0.0)
        self.swap.observe(PeerOrderEnded(server="s0"), 0.1)
        self.assertEqual(self.next(0.1), ["s0"])

    def test_failed_server_comes_last_and_later(self):
        self.name(2)
        self.swap.observe(VersionLoadEnded(server="s0", ok=False), 1.0)
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
            self.swap.next_servers(reversed(SERVERS), "m"), {"s0", "s1", "s2", "s3"}
        )

    def test_age_counts_from_the_first_naming_that_a_server_is_behind(self):
        self.name(2, now=1.0)
        self.name(2, now=5.0)
        self.assertEqual(self.swap.age("s0", "m", 6.0), 5.0)
        self.see("s1", 2)
        self.name(3, now=6.0)
        self.assertEqual(self.swap.age("s0", "m", 6.5), 5.5)
        self.assertEqual(self.swap.age("s1", "m", 6.5), 0.5)
        self.see("s1", 3)
        self.assertEqual(self.swap.age("s1", "m", 7.0), 0.0)

    def test_age_told_by_another_entry_counts_if_it_is_longer(self):
        self.name(2, now=9.0)
        event = VersionNamed(model="m", version=2, age=4.0)
        self.swap.observe(event, 9.5)
        self.assertEqual(self.swap.age("s0", "m", 10.0), 4.5)
        self.swap.observe(VersionNamed(model="m", version=2, age=0.1), 10.0)
        self.assertEqual(self.swap.age("s0", "m", 10.0), 4.5)

    def test_ages_are_told_while_a_server_is_behind(self):
        self.name(2, now=1.0)
        self.assertEqual(self.swap.get_named_version_ages(3.0), [("m", 2, 2.0)])
        for name in SERVERS:
            self.see(name, 2)
        self.assertEqual(self.swap.get_named_version_ages(3.0), [])

    def test_servers_that_may_not_be_ordered_yet_hold_nobody_up(self):
        self.name(2)
        query = VersionLoadQuery(
            candidates=QUERY.candidates, excluded_servers=frozenset({"s0", "s1"})
        )
        swaps = self.swap.decide(query, 0.0)
        self.assertEqual([item.server for item in swaps], ["s2", "s3"])


if __name__ == "__main__":
    unittest.main()
