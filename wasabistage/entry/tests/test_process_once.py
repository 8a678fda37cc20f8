import unittest
from functools import partial

import httpx
import trio

from standins.fleet import PEER_KEY
from wasabistage.declarations import ServiceKind
from wasabistage.entry.tests.process_case import (
    CALL_SECONDS,
    ProcessCase,
    Purchases,
    bearer,
    own_key,
)
from wasabistage.operators import read_status

EACH = 4
WORK_SECONDS = 0.4
HOME = 1
OTHERS = (2, 3)


async def in_thread(function, *arguments, **named):
    """Run a blocking call of the fleet."""
    return await trio.to_thread.run_sync(partial(function, *arguments, **named))


class TestOnceUnderFaults(ProcessCase):
    """Callers send each key again through other entries while a fault strikes."""

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.bought = Purchases(cls.fleet)

    def setUp(self):
        self.fault_all(ServiceKind.PLAIN, late_answer=WORK_SECONDS)

    def tearDown(self):
        self.fault_all(ServiceKind.PLAIN, late_answer=0.0)
        self.expect_idle()
        # Every key of this class is judged again after each later fault.
        self.bought.judge(self, self.ledger())

    def play(self, strike, heal, before=False):
        """Send keys, strike, send them again elsewhere, heal, and send them again.

        :param strike: function that brings the fault about.
        :param heal: function that ends it.
        :param before: whether the fault strikes before the first attempt.
        :return: the tickets and the callers' own keys.
        """
        return trio.run(self._play, strike, heal, before)

    async def _play(self, strike, heal, before):
        async with httpx.AsyncClient(
            headers=bearer("solvers"), timeout=CALL_SECONDS, trust_env=False
        ) as http:
            tickets = await self.bought.tickets(http, HOME, EACH)
            own = [own_key() for _ in range(EACH)]
            if before:
                await in_thread(strike)
            async with trio.open_nursery() as nursery:
                for key in tickets + own:
                    nursery.start_soon(self.bought.attempt, http, HOME, key)
                await trio.sleep(WORK_SECONDS / 2)
                if not before:
                    await in_thread(strike)
                for place, key in enumerate(tickets + own):
                    other = OTHERS[place % len(OTHERS)]
                    ask = place % EACH == EACH - 1
                    nursery.start_soon(self.bought.attempt, http, other, key, ask)
                await trio.sleep(WORK_SECONDS)
                await in_thread(heal)
            async with trio.open_nursery() as nursery:
                for key in tickets + own:
                    nursery.start_soon(
                        self.bought.insist, http, (*OTHERS, HOME), key, 1
                    )
        return tickets, own

    def known(self, keys):
        return [key for key in keys if key in self.bought.answers]

    def test_backend_answers_late(self):
        tickets, own = self.play(lambda: None, lambda: None)
        run = self.known(tickets + own)
        refused = self.bought.refused & set(tickets + own)
        self.assertEqual(len(run) + len(refused), 2 * EACH)

    def test_refused_by_admission(self):
        """More calls than the account may run at a time, each sent at two entries."""
        before = len(self.bought.refused)
        trio.run(self._flood)
        self.assertGreater(len(self.bought.refused), before)

    async def _flood(self):
        async with httpx.AsyncClient(
            headers=bearer("support"), timeout=CALL_SECONDS, trust_env=False
        ) as http:
            tickets = await self.bought.tickets(http, HOME, 4 * EACH)
            keys = tickets + [own_key() for _ in range(4 * EACH)]
            async with trio.open_nursery() as nursery:
                for entry in (HOME, *OTHERS):
                    for key in keys:
                        nursery.start_soon(self.bought.attempt, http, entry, key)

    def test_home_killed(self):
        strike = partial(self.fleet.kill, "entry-1")
        self.play(strike, partial(self.fleet.restart, "entry-1"))

    def test_home_paused_and_continued(self):
        def heal():
            self.wait_suspected()
            self.fleet.resume("entry-1")

        self.addCleanup(self.fleet.resume, "entry-1")
        self.play(partial(self.fleet.pause, "entry-1"), heal)

    def wait_suspected(self):
        """Wait until the others no longer count on the paused home."""
        peers = [self.fleet.peer_address(entry) for entry in OTHERS]

        def suspected():
            told = trio.run(read_status, peers, PEER_KEY)
            if None in told:
                return False
            states = {
                member.state
                for item in told
                for member in item.members
                if member.instance == "entry-1"
            }
            return "serving" not in states

        self.wait(suspected, "a suspected home")

    def test_log_down(self):
        strike = partial(self.fleet.fault, "log", down=True)
        heal = partial(self.fleet.fault, "log", down=False)
        tickets, _ = self.play(strike, heal, before=True)
        # The last ticket is one that a caller may have stopped by asking.
        self.assertEqual(self.known(tickets[:-1]), tickets[:-1])

    def test_log_loses_answers(self):
        strike = partial(self.fleet.fault, "log", lose_answers=True)
        heal = partial(self.fleet.fault, "log", lose_answers=False)
        self.play(strike, heal, before=True)

    def test_log_appends_late(self):
        strike = partial(self.fleet.fault, "log", late_effect=1.0)
        heal = partial(self.fleet.fault, "log", late_effect=0.0)
        self.play(strike, heal, before=True)

    def test_log_slow(self):
        strike = partial(self.fleet.fault, "log", delay=0.7)
        heal = partial(self.fleet.fault, "log", delay=0.0)
        self.play(strike, heal, before=True)

    def test_log_trimmed(self):
        def trim():
            offset = self.fleet.get("log", "/streams/once/records?limit=1")["next"]
            self.fleet.post("log", f"/witness/trim/once/{offset}")

        self.play(trim, trim)

    def test_log_down_and_home_killed(self):
        def strike():
            self.fleet.fault("log", down=True)
            self.fleet.kill("entry-1")

        def heal():
            self.fleet.fault("log", down=False)
            self.fleet.restart("entry-1")

        self.play(strike, heal)

    def test_log_loses_answers_and_home_paused(self):
        def strike():
            self.fleet.fault("log", lose_answers=True)
            self.fleet.pause("entry-1")

        def heal():
            self.fleet.fault("log", lose_answers=False)
            self.fleet.resume("entry-1")

        self.play(strike, heal)


if __name__ == "__main__":
    unittest.main()
