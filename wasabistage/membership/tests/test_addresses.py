import collections
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.membership import (
    NO_ADDRESS,
    AddressPolicy,
    AddressQuery,
    ListOrderAddresses,
    Member,
    MemberState,
    RandomAddresses,
)


def make_member(name, domain="d1", load=0.2, state=MemberState.SERVING):
    return Member(
        instance=name,
        state=state,
        failure_domain=domain,
        caller_address=f"{name}:1",
        load=load,
    )


MEMBERS = (
    make_member("a"),
    make_member("b"),
    make_member("c", "d2"),
    make_member("d", "d2"),
    make_member("e", "d3"),
    make_member("f", "d3"),
    make_member("g", "d4"),
)


def decide(members=MEMBERS, policy_class=AddressPolicy, **fields):
    query = AddressQuery(candidates=tuple(members), **fields)
    return policy_class().reset().decide(query, 0.0)


def count_first_instances(
    policy_class=AddressPolicy, members=MEMBERS, draws=400, **fields
):
    """Return how often each instance is the first address, over evenly spaced draws."""
    answers = (
        decide(members, policy_class, draw=step / draws, **fields)
        for step in range(draws)
    )
    return collections.Counter(a.addresses[0].instance for a in answers)


class TestAddresses(unittest.TestCase):
    def test_reset_with_one_address_raises_setting_error(self):
        with self.assertRaises(SettingError):
            AddressPolicy(addresses=1).reset()

    def test_first_address_is_in_callers_domain_and_second_in_another(self):
        answer = decide(caller_domain="d2", draw=0.4)
        domains = [address.failure_domain for address in answer.addresses]
        self.assertEqual(domains[0], "d2")
        self.assertNotEqual(domains[1], "d2")

    def test_draws_spread_callers_over_instances_of_their_domain(self):
        counts = count_first_instances(caller_domain="d2")
        self.assertEqual(set(counts), {"c", "d"})
        self.assertGreater(min(counts.values()), 160)

    def test_list_order_sends_every_caller_to_first_instance(self):
        self.assertEqual(count_first_instances(ListOrderAddresses), {"a": 400})

    def test_random_order_ignores_callers_domain(self):
        self.assertEqual(
            len(count_first_instances(RandomAddresses, caller_domain="d2")), 7
        )

    def test_instances_are_drawn_in_proportion_to_free_capacity(self):
        members = (make_member("a", load=0.8), make_member("b", load=0.2))
        counts = count_first_instances(members=members, caller_domain="d1")
        self.assertAlmostEqual(counts["b"] / 400, 0.8, delta=0.08)

    def test_instance_above_full_load_ranks_behind_other_domains(self):
        members = (
            make_member("a", load=0.95),
            make_member("b", "d2"),
            make_member("c", "d3"),
        )
        answer = decide(members, caller_domain="d1", draw=0.3)
        self.assertEqual(answer.addresses[-1].instance, "a")

    def test_draining_instance_is_excluded_and_suspect_one_ranks_last(self):
        members = (
            make_member("a", state=MemberState.DRAINING),
            make_member("b"),
            make_member("c", state=MemberState.SUSPECT),
        )
        answer = decide(members, draw=0.7)
        self.assertEqual([a.instance for a in answer.addresses], ["b", "c"])

    def test_query_without_candidates_returns_no_address(self):
        self.assertTrue(NO_ADDRESS.has_same_name(decide(())))

    def test_session_has_same_first_instance_for_every_draw(self):
        counts = count_first_instances(caller_domain="d2", account="x", session="s")
        self.assertEqual(len(counts), 1)
        first_instances = {
            decide(caller_domain="d2", account="x", session=f"s{n}")
            .addresses[0]
            .instance
            for n in range(40)
        }
        self.assertEqual(first_instances, {"c", "d"})

    def test_lifetimes_differ_between_draws_within_bounds(self):
        lifetimes = {decide(draw=step / 50).lifetime for step in range(50)}
        self.assertGreater(len(lifetimes), 45)
        self.assertTrue(all(5.0 <= lifetime <= 10.0 for lifetime in lifetimes))
