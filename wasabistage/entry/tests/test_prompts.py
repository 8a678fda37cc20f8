import unittest

from wasabistage.base import Rank
from wasabistage.cache import ServerHolding, StoreHolding, Tier
from wasabistage.declarations import Model
from wasabistage.entry._cache_messages import FoundPieces, Prompt
from wasabistage.entry._prompts import expected_work

PROMPT = Prompt(
    account="a",
    model=Model(name="m", version="v", piece_tokens=100),
    session="s",
    keys=("k1", "k2", "k3"),
    tokens=350,
    rank=Rank.INTERACTIVE,
)


def found(held=(), stored=()):
    return FoundPieces(held=tuple(held), stored=tuple(stored), queues=())


class TestExpectedWork(unittest.TestCase):
    def test_new_prompt_costs_all_of_it(self):
        self.assertEqual(expected_work(PROMPT, found()), 350)

    def test_held_history_is_not_charged(self):
        held = [ServerHolding(server="x", pieces=3, trust=1.0)]
        self.assertEqual(expected_work(PROMPT, found(held)), 50)

    def test_doubt_is_charged(self):
        held = [ServerHolding(server="x", pieces=2, trust=0.5)]
        self.assertEqual(expected_work(PROMPT, found(held)), 250)

    def test_best_place_counts(self):
        held = [ServerHolding(server="x", pieces=1, trust=1.0)]
        stored = [
            StoreHolding(store="y", tail="k3", pieces=3, tier=Tier.DISK, trust=1.0)
        ]
        self.assertEqual(expected_work(PROMPT, found(held, stored)), 50)

    def test_work_is_never_nothing(self):
        held = [ServerHolding(server="x", pieces=9, trust=1.0)]
        self.assertEqual(expected_work(PROMPT, found(held)), 1)
