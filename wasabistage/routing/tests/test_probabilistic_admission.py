import random
import unittest

from wasabistage.exceptions import SettingError
from wasabistage.routing import ProbabilisticAdmission, RoomQuery

ENTRIES = 32  # of one failure domain
SLOTS = 16
QUEUE = 48


def make_query(**fields):
    values = {
        "room": 4,
        "waiting": 0,
        "own_waiting": 0,
        "has_waited": False,
        "draw": 0.5,
        **fields,
    }
    return RoomQuery(**values)


class ProbabilisticAdmissionTest(unittest.TestCase):
    def setUp(self):
        self.admission = ProbabilisticAdmission().reset()

    def test_prompt_is_sent_while_there_is_room_for_all(self):
        for draw in (0.0, 0.5, 0.999):
            self.assertTrue(self.admission.decide(make_query(draw=draw), 0.0))
            query = make_query(draw=draw, waiting=4, has_waited=True)
            self.assertTrue(self.admission.decide(query, 0.0))

    def test_share_that_is_sent_follows_the_room(self):
        rng = random.Random(1)
        sent = sum(
            self.admission.decide(
                make_query(room=4, waiting=100, has_waited=True, draw=rng.random()),
                0.0,
            )
            for _ in range(20000)
        )
        self.assertAlmostEqual(sent / 20000, 0.05, delta=0.01)

    def test_more_rounds_send_no_more_prompts(self):
        rng = random.Random(1)
        sent = 0
        for _ in range(5000):
            rounds = [
                self.admission.decide(
                    make_query(
                        room=4,
                        waiting=100,
                        has_waited=True,
                        rounds=4.0,
                        draw=rng.random(),
                    ),
                    0.0,
                )
                for _ in range(4)
            ]
            sent += any(rounds)
        self.assertAlmostEqual(sent / 5000, 0.05, delta=0.01)

    def test_nothing_is_sent_without_room(self):
        query = make_query(room=0, waiting=9, has_waited=True, draw=0.0)
        self.assertFalse(self.admission.decide(query, 0.0))

    def test_arguments_are_checked(self):
        with self.assertRaises(SettingError):
            ProbabilisticAdmission(overbooking=0).reset()


class ReturningEngineTest(unittest.TestCase):
    """Pattern: an empty engine returns; 6 prompts wait at each of 32 entries."""

    def play(self, seed, admission):
        """Return the prompts rejected by the full engine in its first second."""
        rng, rejected, running, waiting = random.Random(seed), 0, 0, 6 * ENTRIES
        reported_room, reported_waiting = SLOTS, waiting
        for step in range(20):
            if step % 4 == 0:
                reported_room = max(0, SLOTS - running)
                reported_waiting = waiting
            sent = 0
            for _ in range(waiting):
                query = make_query(
                    room=reported_room,
                    waiting=reported_waiting,
                    own_waiting=6,
                    has_waited=True,
                    draw=rng.random(),
                )
                sent += reported_room > 0 and (
                    admission is None or admission.decide(query, 0.0)
                )
            accepted = min(sent, SLOTS + QUEUE - running)
            rejected += sent - accepted
            running += accepted
            waiting -= accepted
            running -= min(running, 2)
        return rejected

    def test_engine_is_filled_and_not_overrun(self):
        admission = ProbabilisticAdmission().reset()
        without = sum(self.play(seed, None) for seed in range(20))
        with_turns = sum(self.play(seed, admission) for seed in range(20))
        self.assertGreater(without, 20 * ENTRIES)
        self.assertLess(with_turns, 0.1 * without)


if __name__ == "__main__":
    unittest.main()
