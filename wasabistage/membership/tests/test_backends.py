import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.exceptions import SettingError
from wasabistage.membership import (
    NO_SERVER,
    NOT_FRESH,
    BackendMembership,
    LeavingNotice,
    ListOnlyServers,
    NoticeSource,
    NoticesQuery,
    NoticesReceived,
    RequestNotices,
    ServerCallEnded,
    ServerReportReceived,
    ServersListed,
    ServerState,
    UsableServersQuery,
)

SERVERS = ("m1", "m2", "m3")
QUERY = UsableServersQuery(servers=SERVERS)
BOUND = 3.0  # seconds from the first sign to the last new work


def make(kind=BackendMembership, **arguments):
    return kind(SERVERS, **arguments).reset()


def report(server, sequence=1, incarnation="1", draining=False):
    return ServerReportReceived(
        server=server, incarnation=incarnation, sequence=sequence, draining=draining
    )


class TestBackends(unittest.TestCase):
    def test_bad_arguments_are_refused(self):
        with self.assertRaises(SettingError):
            make(keep_share=0.0)

    def test_any_source_stops_new_work_at_once(self):
        sign = LeavingNotice(
            server="m1", source=NoticeSource.REPORT, stamp=("1", 5), leaving=True
        )
        listing = ServersListed(
            version=1, live=frozenset(SERVERS[1:]), leaving=frozenset({"m1"})
        )
        for event in (sign, listing, report("m1", draining=True)):
            policy = make()
            policy.observe(event, 0.0)
            self.assertEqual(policy.decide(QUERY, 0.0).ready, ("m2", "m3"))

    def test_sign_reaches_every_entry_within_bound_though_messages_get_lost(self):
        for kind, expected in ((BackendMembership, True), (ListOnlyServers, False)):
            self.assertEqual(self.spread_sign(kind), expected, kind.__name__)

    def spread_sign(self, kind):
        draws = random.Random(7)
        entries = [make(kind) for _ in range(7)]
        entries[0].observe(report("m1", draining=True), 0.0)
        for step in range(int(BOUND / 0.1)):
            now = step * 0.1
            sent = [action for entry in entries for action in entry.tick(now)]
            for action in sent:
                for entry in entries:
                    if draws.random() < 0.5 and not isinstance(action, RequestNotices):
                        for sign in action.notices:
                            entry.observe(sign, now)
        return all(entry.is_leaving("m1") for entry in entries)

    def test_sign_is_relayed_around_cut_links(self):
        entries = [make() for _ in range(7)]
        entries[0].observe(report("m1", draining=True), 0.0)
        for step in range(int(BOUND / 0.1)):
            for number, entry in enumerate(entries):
                for action in entry.tick(step * 0.1):
                    # Each instance reaches the next one only.
                    for sign in getattr(action, "signs", ()):
                        entries[(number + 1) % 7].observe(sign, step * 0.1)
        self.assertTrue(all(entry.is_leaving("m1") for entry in entries))

    def test_paused_process_asks_before_it_places_new_work(self):
        policy, peer = make(), make()
        self.assertEqual(policy.tick(0.0), [RequestNotices()])
        self.assertEqual(policy.decide(QUERY, 0.1).ready, SERVERS)
        peer.observe(report("m1", draining=True), 20.0)
        self.assertTrue(NOT_FRESH.is_(policy.decide(QUERY, 30.0)))
        self.assertEqual(policy.tick(30.0), [RequestNotices()])
        self.assertTrue(NOT_FRESH.is_(policy.decide(QUERY, 30.1)))
        for sign in peer.decide(NoticesQuery(), 30.1).notices:
            policy.observe(sign, 30.1)
        policy.observe(NoticesReceived(), 30.1)
        self.assertEqual(policy.decide(QUERY, 30.1).ready, ("m2", "m3"))

    def test_unasked_the_paused_process_would_use_what_has_left(self):
        policy = make(pause_time=1e9)
        policy.tick(0.0)
        policy.tick(30.0)
        self.assertIn("m1", policy.decide(QUERY, 30.1).ready)

    def test_paused_process_without_peers_goes_on(self):
        policy = make()
        policy.tick(0.0)
        policy.tick(30.0)
        policy.tick(31.0)
        self.assertEqual(policy.decide(QUERY, 31.0).ready, SERVERS)

    def test_serving_report_does_not_lift_the_lists_word(self):
        policy = make()
        policy.observe(ServersListed(version=1, leaving=frozenset({"m1"})), 0.0)
        policy.observe(report("m1", sequence=9), 1.0)
        self.assertIs(policy.state("m1", 1.0), ServerState.LEAVING)
        policy.observe(ServersListed(version=2, live=frozenset(SERVERS)), 2.0)
        self.assertIs(policy.state("m1", 2.0), ServerState.READY)

    def test_late_word_of_an_earlier_life_is_ignored(self):
        policy = make()
        policy.observe(report("m1", sequence=1, incarnation="2"), 0.0)
        policy.observe(report("m1", sequence=50, incarnation="1", draining=True), 0.1)
        self.assertIs(policy.state("m1", 0.1), ServerState.READY)

    def test_doubts_never_remove_the_majority(self):
        policy = make()
        for server in SERVERS:
            for _ in range(3):
                policy.observe(ServerCallEnded(server=server, ok=False), 0.0)
        usable = policy.decide(QUERY, 0.1)
        self.assertEqual((usable.ready, len(usable.suspect)), ((), 2))
        policy.observe(ServersListed(version=1), 0.2)
        self.assertEqual(len(policy.decide(QUERY, 0.2).suspect), 2)
        self.assertEqual(policy.decide(QUERY, 3.0).ready, SERVERS)

    def test_all_leaving_says_why(self):
        policy = make()
        policy.observe(ServersListed(version=1, leaving=frozenset(SERVERS)), 0.0)
        answer = policy.decide(QUERY, 0.0)
        self.assertTrue(NO_SERVER.is_(answer))
        self.assertIn("leaving", answer.reason)

    def test_new_configuration_keeps_what_is_known(self):
        policy = make()
        policy.observe(report("m1", draining=True), 0.0)
        policy.set_servers(("m1", "m4"))
        self.assertTrue(policy.is_leaving("m1"))
        self.assertEqual(set(policy.records_), {"m1", "m4"})

    def test_message_is_bounded_and_the_rest_follows(self):
        policy = make(max_gossip=2)
        for server in SERVERS:
            policy.observe(report(server, draining=True), 0.0)
        actions = [*policy.tick(0.0), *policy.tick(0.1)]
        sizes = [len(a.notices) for a in actions if not isinstance(a, RequestNotices)]
        self.assertEqual(sizes, [2, 1])

    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(SERVERS),
                st.sampled_from(NoticeSource),
                st.tuples(st.sampled_from("12"), st.integers(0, 9)),
            ),
            max_size=20,
        ),
        st.randoms(use_true_random=False),
    )
    def test_words_in_any_order_give_the_same_state(self, words, draws):
        # One source never says two things under one stamp.
        notices = [
            LeavingNotice(
                server=server, source=source, stamp=stamp, leaving=stamp[1] % 2 == 1
            )
            for server, source, stamp in words
        ]
        ends = []
        for _ in range(2):
            policy = make()
            for sign in notices:
                policy.observe(sign, 0.0)
            ends.append({n: r.notices for n, r in policy.records_.items()})
            notices = notices + notices[:3]
            draws.shuffle(notices)
        self.assertEqual(*ends)
