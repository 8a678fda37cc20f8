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


def member(name, domain="d1", load=0.2, state=MemberState.SERVING):
    return Member(
        instance=name,
        state=state,
        failure_domain=domain,
        caller_address=f"{name}:1",
        load=load,
    )


MEMBERS = (
    member("a"),
    member("b"),
    member("c", "d2"),
    member("d", "d2"),
    member("e", "d3"),
    member("f", "d3"),
    member("g", "d4"),
)


def ask(members=MEMBERS, kind=AddressPolicy, **fields):
    query = AddressQuery(candidates=tuple(members), **fields)
    return kind().reset().decide(query, 0.0)


def firsts(kind=AddressPolicy, members=MEMBERS, draws=400, **fields):
    answers = (ask(members, kind, draw=step / draws, **fields) for step in range(draws))
    return collections.Counter(a.addresses[0].instance for a in answers)


class TestAddresses(unittest.TestCase):
    def test_bad_arguments_are_refused(self):
        with self.assertRaises(SettingError):
            AddressPolicy(addresses=1).reset()

    def test_nearest_first_then_another_domain(self):
        answer = ask(caller_domain="d2", draw=0.4)
        domains = [address.failure_domain for address in answer.addresses]
        self.assertEqual(domains[0], "d2")
        self.assertNotEqual(domains[1], "d2")

    def test_draws_spread_callers(self):
        counts = firsts(caller_domain="d2")
        self.assertEqual(set(counts), {"c", "d"})
        self.assertGreater(min(counts.values()), 160)

    def test_list_order_herds(self):
        self.assertEqual(firsts(ListOrderAddresses), {"a": 400})

    def test_random_ignores_nearness(self):
        self.assertEqual(len(firsts(RandomAddresses, caller_domain="d2")), 7)

    def test_less_loaded_is_drawn_more_often(self):
        members = (member("a", load=0.8), member("b", load=0.2))
        counts = firsts(members=members, caller_domain="d1")
        self.assertAlmostEqual(counts["b"] / 400, 0.8, delta=0.08)

    def test_full_instance_comes_last(self):
        members = (member("a", load=0.95), member("b", "d2"), member("c", "d3"))
        answer = ask(members, caller_domain="d1", draw=0.3)
        self.assertEqual(answer.addresses[-1].instance, "a")

    def test_draining_is_left_out_and_two_remain(self):
        members = (
            member("a", state=MemberState.DRAINING),
            member("b"),
            member("c", state=MemberState.SUSPECT),
        )
        answer = ask(members, draw=0.7)
        self.assertEqual([a.instance for a in answer.addresses], ["b", "c"])

    def test_nobody_gives_a_reason(self):
        self.assertTrue(NO_ADDRESS.is_(ask(())))

    def test_session_keeps_its_entry_whatever_the_draw(self):
        counts = firsts(caller_domain="d2", account="x", session="s")
        self.assertEqual(len(counts), 1)
        others = {
            ask(caller_domain="d2", account="x", session=f"s{n}").addresses[0].instance
            for n in range(40)
        }
        self.assertEqual(others, {"c", "d"})

    def test_lifetimes_differ(self):
        lifetimes = {ask(draw=step / 50).lifetime for step in range(50)}
        self.assertGreater(len(lifetimes), 45)
        self.assertTrue(all(5.0 <= lifetime <= 10.0 for lifetime in lifetimes))
