import itertools
import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from wasabistage.exceptions import SettingError
from wasabistage.routing import (
    AllowanceQuery,
    ColdAllowance,
    ConnectionLost,
    RequestArrived,
    RequestDropped,
    RequestOver,
    RequestTaken,
    RequestWritten,
    ServerAnswered,
    ServerRecorded,
    WarmthPolicy,
    WarmthQuery,
)
from wasabistage.topology import SharerTable, get_rank

COLD_SECONDS = 20.0
BOUND = 30  # 17 requests per second, 1.5 times, and 5
#: Time for which a started process sends nothing to cold servers in the replays.
HOLD_BACK_SECONDS = 4.0


class WarmthPolicyTest(unittest.TestCase):
    def setUp(self):
        self.policy = WarmthPolicy().reset()

    def record(self, now, cold_left=None, incarnation=1, **fields):
        event = ServerRecorded(
            server="s", incarnation=incarnation, cold_left=cold_left, **fields
        )
        return self.policy.observe(event, now)

    def get_cold_left(self, now):
        query = WarmthQuery(server="s", cold_seconds=COLD_SECONDS)
        return self.policy.decide(query, now)

    # Guards against a fleet that counts as cold when it starts before any traffic.
    def test_server_of_the_first_list_is_warm_unless_its_record_says_otherwise(self):
        self.record(0.0, is_first=True)
        self.assertEqual(self.get_cold_left(0.0), 0.0)
        self.setUp()
        self.record(0.0, 8.0, is_first=True)
        self.assertEqual(self.get_cold_left(1.0), 7.0)

    def test_server_that_appears_later_or_starts_again_is_cold(self):
        self.record(0.0)
        self.assertEqual(self.get_cold_left(1.0), COLD_SECONDS - 1.0)
        self.record(50.0, incarnation=2)
        self.assertEqual(self.get_cold_left(50.0), COLD_SECONDS)
        self.assertEqual(self.get_cold_left(70.0), 0.0)

    def test_older_incarnation_says_nothing(self):
        self.record(0.0, incarnation=2, is_first=True)
        self.record(1.0, 9.0, incarnation=1)
        self.assertEqual(self.get_cold_left(1.0), 0.0)

    def test_server_becomes_cold_and_warm_without_a_restart(self):
        self.record(0.0, is_first=True)
        self.assertTrue(self.record(5.0, 9.0))
        self.assertEqual(self.get_cold_left(6.0), 8.0)
        self.assertTrue(self.record(7.0, 0.0))
        self.assertEqual(self.get_cold_left(7.0), 0.0)
        # Records that repeat that a server is warm are not passed on.
        self.assertFalse(self.record(8.0, 0.0))

    # Guards against a record of the process that was lost, which arrives after its end
    # and would make the next process of the server warm.
    def test_only_a_record_written_after_a_lost_connection_makes_warm(self):
        self.record(0.0, is_first=True)
        self.policy.observe(ConnectionLost(server="s"), 5.0)
        self.assertEqual(self.get_cold_left(5.0), COLD_SECONDS)
        self.record(6.0, 0.0, written_after=4.5)
        self.assertEqual(self.get_cold_left(6.0), COLD_SECONDS - 1.0)
        self.record(7.0, 0.0, written_after=5.5)
        self.assertEqual(self.get_cold_left(7.0), 0.0)

    def test_only_a_response_to_a_later_request_makes_warm(self):
        self.policy.observe(ConnectionLost(server="s"), 5.0)
        self.record(5.5, is_first=True)
        for asked_at, expected in ((4.9, COLD_SECONDS - 1.0), (5.1, 0.0)):
            event = ServerAnswered(server="s", cold_left=0.0, asked_at=asked_at)
            self.policy.observe(event, 6.0)
            self.assertEqual(self.get_cold_left(6.0), expected)

    def test_bad_times_say_nothing_and_huge_ones_end(self):
        self.record(0.0, is_first=True)
        for value in (-3.0, float("nan"), float("-inf")):
            self.record(1.0, value)
            self.policy.observe(
                ServerAnswered(server="s", cold_left=value, asked_at=0.0), 1.0
            )
            self.assertEqual(self.get_cold_left(1.0), 0.0)
        for value in (1e300, float("inf")):
            self.record(2.0, value)
            self.assertEqual(self.get_cold_left(2.0), COLD_SECONDS)
        self.assertEqual(self.get_cold_left(2.0 + COLD_SECONDS), 0.0)

    # Guards against a new incarnation whose record holds nonsense and counts as warm.
    def test_new_incarnation_with_a_bad_time_is_cold(self):
        self.record(0.0, is_first=True)
        self.record(1.0, -3.0, incarnation=2)
        self.assertEqual(self.get_cold_left(1.0), COLD_SECONDS)

    # Guards against entries that all turn to a server at the moment it becomes warm,
    # and against a ramp that begins again with each record of a warm server.
    def test_work_ramps_up_once_after_the_cold_time(self):
        def get_weight(now):
            end = self.policy.get_end("s", COLD_SECONDS)
            return self.policy.get_weight(end, now)

        self.record(0.0, 4.0, is_first=True)
        weights = [get_weight(now) for now in (1, 4, 5, 6, 9)]
        self.assertEqual(weights, [1.0, 0.5, 0.75, 1.0, 1.0])
        self.record(10.0, 4.0)
        for now in (11.0, 12.0, 13.0, 14.0):
            self.record(now, 0.0)
        weights = [get_weight(now) for now in (11, 12, 13, 14)]
        self.assertEqual(weights, [0.5, 0.75, 1.0, 1.0])
        self.assertEqual(get_weight(10.0), 1.0)

    def test_unknown_server_is_warm_and_the_number_is_bounded(self):
        self.assertEqual(self.get_cold_left(0.0), 0.0)
        self.policy = WarmthPolicy(max_servers=1).reset()
        self.record(0.0)
        self.policy.observe(ConnectionLost(server="t"), 0.0)
        self.assertEqual(self.get_cold_left(0.0), 0.0)
        for arguments in ({"max_servers": 0}, {"ramp": 0.0}, {"first_weight": 0.0}):
            with self.assertRaises(SettingError):
                WarmthPolicy(**arguments).reset()


class ColdAllowanceTest(unittest.TestCase):
    def setUp(self):
        self.policy = ColdAllowance(window=1.0, margin=0.5).reset()

    def decide(self, now, bound=2, rank=0, count=1):
        query = AllowanceQuery(server="s", bound=bound, rank=rank, count=count)
        return self.policy.decide(query, now)

    def send(self, kind, request, now):
        self.policy.observe(kind(server="s", request=request), now)

    def test_request_counts_until_it_has_arrived_for_a_second(self):
        self.send(RequestTaken, "a", 0.0)
        self.send(RequestTaken, "b", 0.0)
        self.assertFalse(self.decide(60.0))
        self.send(RequestWritten, "a", 60.0)
        self.assertEqual(self.decide(60.0).seconds, 1.5)
        self.send(RequestArrived, "a", 60.2)
        self.assertFalse(self.decide(61.1))
        self.assertTrue(self.decide(61.2))

    def test_dropped_request_counts_no_longer(self):
        self.send(RequestTaken, "a", 0.0)
        self.send(RequestDropped, "a", 0.1)
        self.assertEqual(self.decide(0.1).used, 0)

    def test_attempt_that_ends_while_it_is_written_counts_for_a_while(self):
        self.send(RequestTaken, "a", 0.0)
        self.send(RequestOver, "a", 3.0)
        self.assertFalse(self.decide(4.4, bound=1))
        self.assertTrue(self.decide(4.6, bound=1))

    def test_unknown_rank_has_no_share(self):
        self.assertFalse(self.decide(0.0, rank=None))
        self.assertEqual(self.decide(0.0, bound=0).share, 0)

    def test_memory_is_freed_once_nothing_counts(self):
        self.send(RequestTaken, "a", 0.0)
        self.send(RequestWritten, "a", 0.0)
        self.policy.tick(1.4)
        self.assertEqual(len(self.policy.servers_), 1)
        self.policy.tick(1.6)
        self.assertEqual(self.policy.servers_, {})

    def test_reset_with_bad_arguments_raises(self):
        for arguments in ({"window": 0.0}, {"margin": -1.0}):
            with self.subTest(arguments), self.assertRaises(SettingError):
                ColdAllowance(**arguments).reset()

    # Guards against shares that exceed the bound since entries know different others:
    # each list has all entries that send, and any number of further ones.
    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        bound=st.integers(0, 60),
        running=st.sets(st.integers(0, 80), min_size=1, max_size=70),
        data=st.data(),
    )
    def test_shares_of_different_lists_stay_within_the_bound(
        self, bound, running, data
    ):
        total = 0
        for name in running:
            known = running | data.draw(st.sets(st.integers(81, 200), max_size=30))
            rank = get_rank(str(name), {str(item) for item in known}, "server")
            total += self.decide(0.0, bound, rank, len(known)).share
        self.assertLessEqual(total, bound)

    def test_entries_with_one_list_use_the_whole_bound(self):
        names = {f"entry-{number}" for number in range(61)}
        shares = [
            self.decide(0.0, BOUND, get_rank(name, names, "s"), len(names)).share
            for name in names
        ]
        self.assertEqual(sum(shares), BOUND)


class ReplayedEntry:
    """An entry in a replay, with its list of the others and its own allowance."""

    def __init__(self, name, world, now):
        self.name = name
        self.world = world
        self.numbers = itertools.count()
        self.restart(now)

    def restart(self, now):
        self.started_at = self.read_at = now
        self.sharers = SharerTable(hold=7200.0)
        # A process knows the names in the store before it sends anything.
        self.sharers.observe([*self.world.registered, self.name], now)
        self.allowance = ColdAllowance().reset()

    def decide(self, now):
        names = self.sharers.get_names()
        rank = get_rank(self.name, names, "s")
        if now - self.started_at < HOLD_BACK_SECONDS:
            rank = None
        query = AllowanceQuery(server="s", bound=BOUND, rank=rank, count=len(names))
        return bool(self.allowance.decide(query, now))


class World:
    """Entries that hear each other or not, and one cold server.

    :param is_simple: whether entries divide the bound by the entries that they hear at
        the moment, which is the simple approach.
    """

    def __init__(self, seed, size, *, is_simple=False):
        self.random = random.Random(seed)
        self.registered = [f"entry-{number}" for number in range(size)]
        self.is_simple = is_simple
        self.now = 0.0
        self.entries = [ReplayedEntry(name, self, 0.0) for name in self.registered]
        self.arrivals = []
        self.sides = {}

    def add(self):
        """Start an entry of a new name; the others read it within the hold-back."""
        name = f"entry-{len(self.registered)}"
        self.registered.append(name)
        self.entries.append(ReplayedEntry(name, self, self.now))

    def split(self, sides):
        self.sides = {
            entry.name: self.random.randrange(sides) for entry in self.entries
        }

    def hear(self):
        """Let each entry hear those of its side, and read the store now and then."""
        for entry in self.entries:
            heard = [
                other.name
                for other in self.entries
                if self.sides.get(other.name) == self.sides.get(entry.name)
            ]
            entry.heard = len(heard)
            entry.sharers.observe(heard, self.now)
            if self.now - entry.read_at > 2.0 or self.random.random() < 0.5:
                entry.read_at = self.now
                entry.sharers.observe(self.registered, self.now)

    def step(self, seconds, requests):
        """Offer requests to random entries, spread over a time."""
        self.hear()
        times = sorted(
            self.now + self.random.random() * seconds for _ in range(requests)
        )
        for at in times:
            entry = self.random.choice(self.entries)
            request = str(next(entry.numbers))
            if self.is_simple:
                sent = entry.__dict__.setdefault("sent", [])
                if sum(at - other < 1.0 for other in sent) >= BOUND / entry.heard:
                    continue
                sent.append(at)
            elif not entry.decide(at):
                continue
            for kind in (RequestTaken, RequestWritten):
                entry.allowance.observe(kind(server="s", request=request), at)
            self.arrivals.append(at + self.random.choice((0.001, 0.05, 0.45)))
        self.now += seconds

    def get_busiest_second(self):
        """Return the most requests that arrived in a span of one second."""
        times = sorted(self.arrivals)
        return max(
            (
                sum(begin <= time <= begin + 1.0 for time in times[number:])
                for number, begin in enumerate(times)
            ),
            default=0,
        )


class ReplayTest(unittest.TestCase):
    # Guards against more requests to a cold server than the bound in any second, with
    # any partition, restarts, and entries of new names.
    @settings(max_examples=25, deadline=None, derandomize=True)
    @given(
        seed=st.integers(0, 2**32),
        size=st.integers(1, 40),
        events=st.lists(
            st.sampled_from(("split", "heal", "restart", "restart_all", "add", "")),
            min_size=5,
            max_size=12,
        ),
    )
    def test_no_second_exceeds_the_bound(self, seed, size, events):
        world = World(seed, size)
        for event in events:
            if event == "split":
                world.split(world.random.randint(2, 8))
            elif event == "heal":
                world.sides = {}
            elif event == "restart":
                world.random.choice(world.entries).restart(world.now)
            elif event == "restart_all":
                for entry in world.entries:
                    entry.restart(world.now)
            elif event == "add":
                world.add()
            for _ in range(4):
                world.step(0.4, 60)
        self.assertLessEqual(world.get_busiest_second(), BOUND)

    # Guards against a bound that holds only since nothing is sent, and shows what the
    # simple approach does: divide by the entries that are heard.
    def test_split_fleet_sends_within_the_bound_and_the_simple_one_does_not(self):
        for is_simple in (False, True):
            world = World(1, 12, is_simple=is_simple)
            for _ in range(12):
                world.step(0.4, 100)
            world.split(6)
            for _ in range(12):
                world.step(0.4, 100)
            busiest = world.get_busiest_second()
            if is_simple:
                self.assertGreater(busiest, 2 * BOUND)
            else:
                self.assertLessEqual(busiest, BOUND)
                self.assertGreater(busiest, BOUND / 2)


if __name__ == "__main__":
    unittest.main()
