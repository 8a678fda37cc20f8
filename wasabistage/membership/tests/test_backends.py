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
    ListOnlyBackendMembership,
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
MAX_SPREAD_SECONDS = 3.0  # from the first notice until every entry instance has it


def make_policy(policy_class=BackendMembership, **arguments):
    return policy_class(SERVERS, **arguments).reset()


def make_report(server, sequence=1, incarnation="1", draining=False):
    return ServerReportReceived(
        server=server, incarnation=incarnation, sequence=sequence, draining=draining
    )


class TestBackends(unittest.TestCase):
    def test_reset_with_keep_share_of_zero_raises_setting_error(self):
        with self.assertRaises(SettingError):
            make_policy(keep_share=0.0)

    def test_leaving_notice_of_any_source_excludes_server_at_once(self):
        notice = LeavingNotice(
            server="m1", source=NoticeSource.REPORT, stamp=("1", 5), leaving=True
        )
        listing = ServersListed(
            version=1, live=frozenset(SERVERS[1:]), leaving=frozenset({"m1"})
        )
        for event in (notice, listing, make_report("m1", draining=True)):
            policy = make_policy()
            policy.observe(event, 0.0)
            self.assertEqual(policy.decide(QUERY, 0.0).ready, ("m2", "m3"))

    def test_notice_reaches_every_entry_despite_lost_messages_except_with_list_only(
        self,
    ):
        for policy_class, expected in (
            (BackendMembership, True),
            (ListOnlyBackendMembership, False),
        ):
            self.assertEqual(
                self.spread_notice(policy_class), expected, policy_class.__name__
            )

    def spread_notice(self, policy_class):
        """Return whether a notice reaches all entries if half the messages get lost."""
        draws = random.Random(7)
        entries = [make_policy(policy_class) for _ in range(7)]
        entries[0].observe(make_report("m1", draining=True), 0.0)
        for step in range(int(MAX_SPREAD_SECONDS / 0.1)):
            now = step * 0.1
            actions = [action for entry in entries for action in entry.tick(now)]
            for action in actions:
                for entry in entries:
                    if draws.random() < 0.5 and not isinstance(action, RequestNotices):
                        for notice in action.notices:
                            entry.observe(notice, now)
        return all(entry.is_leaving("m1") for entry in entries)

    def test_notice_is_relayed_along_ring_to_every_entry(self):
        entries = [make_policy() for _ in range(7)]
        entries[0].observe(make_report("m1", draining=True), 0.0)
        for step in range(int(MAX_SPREAD_SECONDS / 0.1)):
            for number, entry in enumerate(entries):
                for action in entry.tick(step * 0.1):
                    # Each entry instance can send to the next one only.
                    for notice in getattr(action, "notices", ()):
                        entries[(number + 1) % 7].observe(notice, step * 0.1)
        self.assertTrue(all(entry.is_leaving("m1") for entry in entries))

    def test_paused_process_gives_out_no_work_until_peer_answers(self):
        policy, peer = make_policy(), make_policy()
        self.assertEqual(policy.tick(0.0), [RequestNotices()])
        self.assertEqual(policy.decide(QUERY, 0.1).ready, SERVERS)
        peer.observe(make_report("m1", draining=True), 20.0)
        self.assertTrue(NOT_FRESH.has_same_name(policy.decide(QUERY, 30.0)))
        self.assertEqual(policy.tick(30.0), [RequestNotices()])
        self.assertTrue(NOT_FRESH.has_same_name(policy.decide(QUERY, 30.1)))
        for notice in peer.decide(NoticesQuery(), 30.1).notices:
            policy.observe(notice, 30.1)
        policy.observe(NoticesReceived(), 30.1)
        self.assertEqual(policy.decide(QUERY, 30.1).ready, ("m2", "m3"))

    def test_process_without_pause_check_gives_out_work_right_after_pause(self):
        policy = make_policy(pause_time=1e9)
        policy.tick(0.0)
        policy.tick(30.0)
        self.assertIn("m1", policy.decide(QUERY, 30.1).ready)

    def test_paused_process_without_answer_continues_after_ask_time(self):
        policy = make_policy()
        policy.tick(0.0)
        policy.tick(30.0)
        policy.tick(31.0)
        self.assertEqual(policy.decide(QUERY, 31.0).ready, SERVERS)

    def test_serving_report_does_not_override_leaving_notice_of_list(self):
        policy = make_policy()
        policy.observe(ServersListed(version=1, leaving=frozenset({"m1"})), 0.0)
        policy.observe(make_report("m1", sequence=9), 1.0)
        self.assertIs(policy.get_state("m1", 1.0), ServerState.LEAVING)
        policy.observe(ServersListed(version=2, live=frozenset(SERVERS)), 2.0)
        self.assertIs(policy.get_state("m1", 2.0), ServerState.READY)

    def test_late_report_of_earlier_incarnation_is_ignored(self):
        policy = make_policy()
        policy.observe(make_report("m1", sequence=1, incarnation="2"), 0.0)
        policy.observe(
            make_report("m1", sequence=50, incarnation="1", draining=True), 0.1
        )
        self.assertIs(policy.get_state("m1", 0.1), ServerState.READY)

    def test_suspect_servers_are_kept_up_to_keep_share(self):
        policy = make_policy()
        for server in SERVERS:
            for _ in range(3):
                policy.observe(ServerCallEnded(server=server, ok=False), 0.0)
        usable = policy.decide(QUERY, 0.1)
        self.assertEqual((usable.ready, len(usable.suspect)), ((), 2))
        policy.observe(ServersListed(version=1), 0.2)
        self.assertEqual(len(policy.decide(QUERY, 0.2).suspect), 2)
        self.assertEqual(policy.decide(QUERY, 3.0).ready, SERVERS)

    def test_query_with_all_servers_leaving_returns_no_server_with_reason(self):
        policy = make_policy()
        policy.observe(ServersListed(version=1, leaving=frozenset(SERVERS)), 0.0)
        answer = policy.decide(QUERY, 0.0)
        self.assertTrue(NO_SERVER.has_same_name(answer))
        self.assertIn("leaving", answer.reason)

    def test_declare_keeps_notices_of_remaining_servers(self):
        policy = make_policy()
        policy.observe(make_report("m1", draining=True), 0.0)
        policy.set_servers(("m1", "m4"))
        self.assertTrue(policy.is_leaving("m1"))
        self.assertEqual(set(policy.records_), {"m1", "m4"})

    def test_notices_above_max_gossip_follow_in_next_message(self):
        policy = make_policy(max_gossip=2)
        for server in SERVERS:
            policy.observe(make_report(server, draining=True), 0.0)
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
    def test_notices_in_any_order_and_number_give_the_same_state(
        self, drawn_notices, draws
    ):
        # A source never sends two different notices with the same stamp.
        notices = [
            LeavingNotice(
                server=server, source=source, stamp=stamp, leaving=stamp[1] % 2 == 1
            )
            for server, source, stamp in drawn_notices
        ]
        results = []
        for _ in range(2):
            policy = make_policy()
            for notice in notices:
                policy.observe(notice, 0.0)
            results.append(
                {name: record.notices for name, record in policy.records_.items()}
            )
            notices = notices + notices[:3]
            draws.shuffle(notices)
        self.assertEqual(*results)
