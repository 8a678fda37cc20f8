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


class TestVersionSwap(unittest.TestCase):
    def setUp(self):
        self.policy = VersionRollout(at_once=2, word_time=0.7, retry_time=0.5).reset()
        for name in SERVERS:
            self.observe_version(name, 1)

    def observe_version(self, server, version, incarnation=1):
        event = ServerVersionReported(
            server=server, incarnation=incarnation, model="m", version=version
        )
        self.policy.observe(event, 0.0)

    def name_version(self, version, now=0.0):
        self.policy.observe(VersionNamed(model="m", version=version), now)

    # Guards against a second order to a server that is carrying out the first (issue
    # 30, A 5).
    def test_server_behind_with_two_models_gets_one_order_at_a_time(self):
        for model in ("a", "b"):
            event = ServerVersionReported(
                server="s0", incarnation=1, model=model, version=1
            )
            self.policy.observe(event, 0.0)
            self.policy.observe(VersionNamed(model=model, version=2), 0.0)
        candidate = VersionLoadCandidate(server="s0", incarnation=1, models=("a", "b"))
        query = VersionLoadQuery(candidates=(candidate,))
        (load,) = self.policy.decide(query, 0.0)
        self.assertEqual(load.model, "a")
        event = ServerVersionReported(server="s0", incarnation=1, model="a", version=2)
        self.policy.observe(event, 0.0)
        (load,) = self.policy.decide(query, 1.0)
        self.assertEqual(load.model, "b")

    def select_next(self, now):
        return [item.server for item in self.policy.decide(QUERY, now)]

    def test_server_is_not_ordered_without_a_newer_version(self):
        self.assertEqual(self.select_next(0.0), [])
        self.name_version(1)
        self.assertEqual(self.select_next(0.0), [])

    def test_at_most_at_once_servers_load_concurrently(self):
        self.name_version(2)
        self.assertEqual(self.select_next(0.0), ["s0", "s1"])
        self.policy.observe(ServerOrdered(server="s0"), 0.0)
        self.policy.observe(ServerOrdered(server="s1"), 0.0)
        self.assertEqual(self.select_next(0.1), [])
        self.observe_version("s0", 2)
        self.assertEqual(self.select_next(0.2), ["s2"])

    def test_server_without_an_event_for_word_time_is_ordered_again(self):
        self.name_version(2)
        self.policy.observe(ServerOrdered(server="s0"), 0.0)
        self.policy.observe(ServerOrdered(server="s1"), 0.0)
        self.assertEqual(self.select_next(0.71), ["s0", "s1"])

    def test_server_whose_order_was_dropped_is_ordered_at_once(self):
        self.name_version(2)
        self.policy.observe(ServerOrdered(server="s0"), 0.0)
        self.policy.observe(ServerOrdered(server="s1"), 0.0)
        self.policy.observe(PeerOrderEnded(server="s0"), 0.1)
        self.assertEqual(self.select_next(0.1), ["s0"])

    def test_server_whose_order_failed_is_ordered_last_and_after_retry_time(self):
        self.name_version(2)
        self.policy.observe(VersionLoadEnded(server="s0", ok=False), 1.0)
        self.assertEqual(self.select_next(1.1), ["s1", "s2"])
        for name in SERVERS[1:]:
            self.observe_version(name, 2)
        self.assertEqual(self.select_next(1.2), [])
        self.assertEqual(self.select_next(1.6), ["s0"])

    def test_late_report_does_not_lower_the_version_within_an_incarnation(self):
        self.observe_version("s0", 3)
        self.observe_version("s0", 2)
        self.assertEqual(self.policy.version("s0", "m"), 3)
        self.observe_version("s0", 1, incarnation=2)
        self.assertEqual(self.policy.version("s0", "m"), 1)

    def test_next_servers_do_not_depend_on_the_order_of_the_argument(self):
        self.name_version(2)
        self.assertEqual(
            self.policy.next_servers(reversed(SERVERS), "m"), {"s0", "s1", "s2", "s3"}
        )

    def test_age_counts_from_the_naming_of_the_first_missing_version(self):
        self.name_version(2, now=1.0)
        self.name_version(2, now=5.0)
        self.assertEqual(self.policy.age("s0", "m", 6.0), 5.0)
        self.observe_version("s1", 2)
        self.name_version(3, now=6.0)
        self.assertEqual(self.policy.age("s0", "m", 6.5), 5.5)
        self.assertEqual(self.policy.age("s1", "m", 6.5), 0.5)
        self.observe_version("s1", 3)
        self.assertEqual(self.policy.age("s1", "m", 7.0), 0.0)

    def test_age_from_another_entry_is_used_only_if_it_is_longer(self):
        self.name_version(2, now=9.0)
        event = VersionNamed(model="m", version=2, age=4.0)
        self.policy.observe(event, 9.5)
        self.assertEqual(self.policy.age("s0", "m", 10.0), 4.5)
        self.policy.observe(VersionNamed(model="m", version=2, age=0.1), 10.0)
        self.assertEqual(self.policy.age("s0", "m", 10.0), 4.5)

    def test_ages_include_a_version_only_while_a_server_is_behind(self):
        self.name_version(2, now=1.0)
        self.assertEqual(self.policy.get_named_version_ages(3.0), [("m", 2, 2.0)])
        for name in SERVERS:
            self.observe_version(name, 2)
        self.assertEqual(self.policy.get_named_version_ages(3.0), [])

    def test_excluded_servers_do_not_delay_the_others(self):
        self.name_version(2)
        query = VersionLoadQuery(
            candidates=QUERY.candidates, excluded_servers=frozenset({"s0", "s1"})
        )
        loads = self.policy.decide(query, 0.0)
        self.assertEqual([item.server for item in loads], ["s2", "s3"])


class LargeRolloutTest(unittest.TestCase):
    """Pattern: 50 engines must run a named version within 8 seconds."""

    def play(self, version_time):
        """Return the time after which all engines run the version."""
        names = [f"s{number:02}" for number in range(50)]
        candidates = tuple(
            VersionLoadCandidate(server=name, incarnation=1, models=("m",))
            for name in names
        )
        policy = VersionRollout(at_once=2, version_time=version_time).reset()
        for name in names:
            event = ServerVersionReported(
                server=name, incarnation=1, model="m", version=1
            )
            policy.observe(event, 0.0)
        policy.observe(VersionNamed(model="m", version=2), 0.0)
        loading, now, most = {}, 0.0, 0
        while any(policy.is_behind(name, "m") for name in names):
            for name in [name for name, end_at in loading.items() if end_at <= now]:
                del loading[name]
                event = ServerVersionReported(
                    server=name, incarnation=1, model="m", version=2
                )
                policy.observe(event, now)
            for load in policy.decide(VersionLoadQuery(candidates=candidates), now):
                loading[load.server] = now + 0.8
            for name in loading:
                policy.observe(ServerOrdered(server=name), now)
            most = max(most, len(loading))
            now += 0.1
        return now, most

    def test_version_is_in_force_in_time(self):
        seconds, most = self.play(version_time=8.0)
        self.assertLess(seconds, 8.0)
        self.assertLessEqual(most, 15)

    def test_fixed_number_takes_too_long(self):
        seconds, _ = self.play(version_time=None)
        self.assertGreater(seconds, 8.0)


if __name__ == "__main__":
    unittest.main()
