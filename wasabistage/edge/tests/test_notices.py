import unittest

import msgspec

from wasabistage.edge._notices import MAX_NOTICE_TOKENS
from wasabistage.edge._peer_messages import (
    ENCODER,
    NOTICE_DECODER,
    DispatchNotice,
    PaceNotice,
)
from wasabistage.edge.tests.fleet_case import Fleet
from wasabistage.fleet import ServerRecord
from wasabistage.routing import PaceQuery
from wasabistage.utils import UnreadableError, decode_data

ENGINE = ServerRecord(
    server="s1",
    incarnation=1,
    service="s",
    address="10.5.5.5:80",
    failure_domain="domain-0",
    slots=2,
)
TOKENS = 12000


class NoticesTest(unittest.TestCase):
    """Pattern: seven entries, and engines with two slots."""

    def setUp(self):
        self.fleet = Fleet(7, 2)
        self.fleet.play(2.0)
        self.entries = list(self.fleet.entries.values())
        for entry in self.entries:
            entry.state.servers.observe(ENGINE, self.fleet.now)
            entry.state.view.is_crowded = True
            entry.state.notices.sock = object()

    def get_backlog(self, entry):
        estimator = entry.state.part_router.estimator_
        return estimator.estimate_backlog("s1", self.fleet.now)

    def deliver(self, sender):
        """Deliver the queued notices; return the names of the receivers."""
        names = []
        while sender.state.notices.unsent:
            data, ips = sender.state.notices.unsent.popleft()
            for ip in ips:
                receiver = self.fleet.entries[ip]
                receiver.state.notices.handle(decode_data(NOTICE_DECODER, data))
                names.append(receiver.name)
        return names

    # Guards against prompts that others send behind a long one they don't know of.
    def test_prompt_is_known_in_the_failure_domain_at_once(self):
        sender = self.entries[0]
        sender.state.notices.notify(ENGINE, TOKENS)
        names = self.deliver(sender)
        near = {item.name for item in self.entries if item.domain == "domain-0"}
        self.assertEqual(set(names), near - {sender.name})
        for entry in self.entries:
            is_told = entry.name in names
            self.assertEqual(self.get_backlog(entry), TOKENS if is_told else 0)

    def test_slow_engine_is_known_in_the_failure_domain_once(self):
        sender = self.entries[0]
        sender.state.notices.notify_pace(ENGINE, 2.5)
        sender.state.notices.notify_pace(ENGINE, 2.4)
        names = self.deliver(sender)
        self.assertEqual(len(names), len(set(names)))
        query = PaceQuery(server="s1")
        for entry in self.entries:
            is_slow = entry.state.slow_moments.decide(query, self.fleet.now)
            self.assertEqual(is_slow, entry is sender or entry.name in names)

    def test_nothing_is_sent_without_a_socket_or_in_fleets_that_are_not_crowded(self):
        sender = self.entries[0]
        sender.state.view.is_crowded = False
        sender.state.notices.notify(ENGINE, TOKENS)
        sender.state.view.is_crowded, sender.state.notices.sock = True, None
        sender.state.notices.notify(ENGINE, TOKENS)
        self.assertFalse(sender.state.notices.unsent)

    # Guards against work that a foreign or damaged datagram adds to an engine.
    def test_foreign_notices_are_ignored(self):
        receiver = self.entries[0]
        for notice in (
            DispatchNotice("stranger", "s1", TOKENS),
            DispatchNotice("entry-1", "unknown", TOKENS),
            DispatchNotice("entry-1", "s1", -1),
            DispatchNotice("entry-1", "s1", MAX_NOTICE_TOKENS + 1),
            PaceNotice("entry-1", "s1", -2.0),
        ):
            receiver.state.notices.handle(notice)
        self.assertEqual(self.get_backlog(receiver), 0)
        is_slow = receiver.state.slow_moments.decide(
            PaceQuery(server="s1"), self.fleet.now
        )
        self.assertFalse(is_slow)

    def test_damaged_notices_are_unreadable(self):
        whole = ENCODER.encode(DispatchNotice("entry-1", "s1", TOKENS))
        other = msgspec.msgpack.encode(["d", "entry-1", "s1", "many"])
        for data in (b"", b"\xff" * 40, whole[:-1], other):
            with self.assertRaises(UnreadableError):
                decode_data(NOTICE_DECODER, data)


if __name__ == "__main__":
    unittest.main()
