import random
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.routing import Dispatched, FirstTokenEstimator, PeerDispatched
from wasabistage.topology import (
    DispatchNotices,
    FleetMember,
    NoticeQuery,
    NoticeReceived,
)

ENTRIES = 22
ENGINES = [f"e{n}" for n in range(15)]
RATE = 50000.0  # prompt tokens per second that an engine computes
PROMPT_TOKENS = 12000
PROMPTS_PER_SECOND = 33
REPORT_SECONDS = 0.4  # two hops of reports


def build_members(count=ENTRIES, domains=1):
    return {
        f"n{n}": FleetMember(
            name=f"n{n}", failure_domain=f"d{n % domains}", ip=f"10.0.0.{n}"
        )
        for n in range(count)
    }


class Entry:
    """What one entry knows of the engines' queues."""

    def __init__(self):
        self.estimator = FirstTokenEstimator(
            prefill_rate=RATE, overhead=0.0, chunk_tokens=0
        ).reset()
        self.notices = DispatchNotices().reset()
        self.reported = []

    def select(self, now, draw):
        """Return an engine with the shortest queue."""
        backlogs = [self.estimator.estimate_backlog(name, now) for name in ENGINES]
        best = [n for n, item in enumerate(backlogs) if item <= min(backlogs) + 1.0]
        return ENGINES[best[int(draw * len(best))]]


def play(has_notices, seconds=20.0, seed=1):
    """Return the wait of each prompt behind those sent to its engine before."""
    rng, now, count = random.Random(seed), 0.0, 0
    entries = [Entry() for _ in range(ENTRIES)]
    free_at = dict.fromkeys(ENGINES, 0.0)
    reports, waits = [], []
    while now < seconds:
        now += rng.expovariate(PROMPTS_PER_SECOND)
        count += 1
        while reports and reports[0][0] <= now:
            _, sender, server = reports.pop(0)
            for entry in entries:
                if entry is sender:
                    continue
                tokens = entry.notices.take_unknown(server, PROMPT_TOKENS, now)
                if tokens:
                    event = PeerDispatched(
                        server=server, tokens=tokens, lag=REPORT_SECONDS
                    )
                    entry.estimator.observe(event, now)
        sender = rng.choice(entries)
        server = sender.select(now, rng.random())
        event = Dispatched(request=str(count), server=server, tokens=PROMPT_TOKENS)
        sender.estimator.observe(event, now)
        reports.append((now + REPORT_SECONDS, sender, server))
        if has_notices:
            for entry in entries:
                if entry is not sender:
                    notice = NoticeReceived(server=server, tokens=PROMPT_TOKENS)
                    entry.notices.observe(notice, now)
                    told = PeerDispatched(server=server, tokens=PROMPT_TOKENS)
                    entry.estimator.observe(told, now)
        waits.append(max(0.0, free_at[server] - now))
        free_at[server] = max(now, free_at[server]) + PROMPT_TOKENS / RATE
    return waits


class PlacementTest(unittest.TestCase):
    """Pattern: entries that see an idle engine all choose it until a report comes."""

    def test_prompts_wait_less_with_notices(self):
        for seed in range(3):
            with self.subTest(seed):
                reports_alone = play(False, seed=seed)
                with_notices = play(True, seed=seed)
                waiting = sum(item > 0.05 for item in reports_alone)
                fewer = sum(item > 0.05 for item in with_notices)
                self.assertGreater(waiting, 0.2 * len(reports_alone))
                self.assertLess(fewer, 0.25 * waiting)


class DispatchNoticesTest(unittest.TestCase):
    def setUp(self):
        self.notices = DispatchNotices().reset()

    def decide(self, tokens=5000, slots=24, domain="d0", members=None):
        query = NoticeQuery(
            tokens=tokens,
            slots=slots,
            failure_domain=domain,
            own="n0",
            members=build_members(67, 3) if members is None else members,
        )
        return self.notices.decide(query, 0.0)

    def test_entries_of_the_failure_domain_of_the_engine_are_told(self):
        ips = self.decide(domain="d1")
        self.assertEqual(len(ips), 22)
        self.assertIn("10.0.0.1", ips)
        self.assertNotIn("10.0.0.2", ips)

    def test_the_own_entry_is_not_told(self):
        self.assertNotIn("10.0.0.0", self.decide())

    def test_short_prompts_are_left_to_the_reports(self):
        self.assertEqual(self.decide(tokens=500), [])

    def test_entries_with_a_share_of_a_slot_each_need_no_notice(self):
        self.assertEqual(self.decide(slots=67), [])

    def test_number_of_targets_is_bounded(self):
        self.assertEqual(len(self.decide(members=build_members(400))), 64)

    # Guards against a prompt that counts twice, by its notice and by the next report.
    def test_reported_tokens_that_were_noticed_count_once(self):
        self.notices.observe(NoticeReceived(server="e", tokens=5000), 1.0)
        self.assertEqual(self.notices.take_unknown("e", 4000, 1.2), 0)
        self.assertEqual(self.notices.take_unknown("e", 4000, 1.4), 3000)
        self.assertEqual(self.notices.take_unknown("e", 4000, 1.5), 4000)
        self.assertEqual(self.notices.take_unknown("other", 4000, 1.5), 4000)

    # Guards against work that stays hidden since the report of a noticed prompt was
    # lost.
    def test_old_notices_hide_no_reported_tokens(self):
        self.notices.observe(NoticeReceived(server="e", tokens=5000), 1.0)
        self.assertEqual(self.notices.take_unknown("e", 4000, 3.0), 4000)

    def test_arguments_are_checked(self):
        for name in ("min_tokens", "max_targets", "max_age"):
            with self.assertRaises(SettingError):
                DispatchNotices(**{name: 0}).reset()
