import json
import time
import unittest
from functools import partial

import httpx
import trio

from standins._engine_state import EngineParams
from wasabistage.declarations import ServiceKind
from wasabistage.entry.tests.process_case import (
    CALL_SECONDS,
    ProcessCase,
    Purchases,
    bearer,
)

SIGN_SECONDS = 3.0
CALLS = 24
TOKENS = 60
STALE_SECONDS = 10.0


class TestLeaving(ProcessCase):
    """Backend servers that leave, and a live list that is stale or empty."""

    servers = ("app-1", "app-2", "app-3", "app-4")

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.http = httpx.Client(
            timeout=CALL_SECONDS, trust_env=False, headers=bearer("solvers")
        )
        cls.addClassCleanup(cls.http.close)

    def ask_all(self, count=CALLS):
        """Call an idempotent call at every entry; return the status codes."""
        codes = []
        for number in range(count):
            address = self.fleet.entry_address(1 + number % self.entries)
            url = f"http://{address}/v1/services/shop/balance"
            codes.append(self.http.get(url).status_code)
        return codes

    def ran(self, name):
        return len(self.fleet.get(name, "/witness/ledger")["ledger"])

    def expect_no_new_work(self, name):
        """Call every entry; the server must see none of it."""
        time.sleep(SIGN_SECONDS)
        before = self.ran(name)
        codes = self.ask_all()
        self.assertEqual(set(codes), {200})
        self.assertEqual(self.ran(name), before)

    def test_leaving_by_the_live_list(self):
        self.wait_work("app-1")
        self.fleet.set_list(leaving=("app-1",))
        self.expect_no_new_work("app-1")
        self.fleet.set_list()
        self.wait_work("app-1")

    def test_leaving_by_the_load_report(self):
        self.wait_work("app-1")
        self.fleet.put("app-1", "/witness/draining")
        self.expect_no_new_work("app-1")
        # A new life of the server takes work again.
        self.fleet.kill("app-1")
        self.fleet.restart("app-1")
        self.wait_work("app-1")

    def wait_work(self, name):
        """Wait until a server gets new work, or its absence would prove nothing."""
        before = self.ran(name)

        def works():
            self.ask_all()
            return self.ran(name) > before

        self.wait(works, f"work at {name}")

    def test_live_list_stale(self):
        self.fleet.put("livelist", f"/witness/lag/{STALE_SECONDS}")
        self.addCleanup(self.fleet.put, "livelist", "/witness/lag/0.0")
        self.fleet.kill("app-1")
        codes = self.ask_all(2 * CALLS)
        self.fleet.restart("app-1")
        self.assertEqual(set(codes), {200})

    def test_live_list_empty(self):
        self.fleet.put("livelist", "/witness/instances", [])
        self.addCleanup(self.fleet.set_list)
        time.sleep(SIGN_SECONDS)
        self.assertEqual(set(self.ask_all()), {200})

    def test_the_last_server_leaves(self):
        self.fleet.set_list(leaving=self.servers)
        time.sleep(SIGN_SECONDS)
        before = sum(self.ran(name) for name in self.servers)
        codes = self.ask_all()
        self.assertEqual(sum(self.ran(name) for name in self.servers), before)
        self.assertEqual(set(codes), {503})
        self.fleet.set_list()
        self.wait(lambda: set(self.ask_all()) == {200}, "service after it")


class TestDrain(ProcessCase):
    """SIGTERM under streams and purchases cuts nothing."""

    servers = ("engine-1", "app-1")
    engine = EngineParams(token_seconds=0.01)

    def setUp(self):
        self.fault_all(ServiceKind.PLAIN, late_answer=0.2)

    def tearDown(self):
        self.fault_all(ServiceKind.PLAIN, late_answer=0.0)
        self.expect_idle()

    def drained(self, name):
        """Return what the entry's log says of its last drain."""
        lines = [json.loads(line) for line in self.fleet.logs(name).splitlines()]
        return [line for line in lines if line["event"] == "drained"][-1]

    def replace_entry(self, name):
        """Drain an entry, start it again, and check that it cut nothing."""
        code = self.fleet.terminate(name, 2 * self.drain_timeout)
        facts = self.drained(name)
        self.fleet.restart(name)
        cut = {key: facts[key] for key in facts if key.startswith("cut_")}
        self.assertEqual(code, 0)
        self.assertEqual(cut, dict.fromkeys(cut, 0))
        self.assertEqual(len(cut), 3)

    def test_one_entry_drains(self):
        self.play(("entry-1",))

    def test_all_entries_are_replaced(self):
        self.play(tuple(self.fleet.entry_names))

    def play(self, names):
        bought = Purchases(self.fleet)
        counts = trio.run(self._play, names, bought)
        bought.judge(self, self.ledger())
        self.assertEqual(bought.unknown, 0)
        self.assertGreater(counts["streams"], 0)
        self.assertGreater(counts["purchases"], 0)

    async def _play(self, names, bought):
        self.done = False
        counts = {"streams": 0, "purchases": 0}
        async with trio.open_nursery() as nursery:
            for number in range(4):
                nursery.start_soon(self._stream, number, counts)
                nursery.start_soon(self._buy, number, bought, counts)
            await trio.sleep(0.5)
            for name in names:
                await trio.to_thread.run_sync(partial(self.replace_entry, name))
            self.done = True
        return counts

    async def _stream(self, number, counts):
        async with self.client() as client:
            while not self.done:
                text = f"drain {number} {counts['streams']}"
                messages = [{"role": "user", "content": text}]
                answer = await client.complete("hints", messages, max_tokens=TOKENS)
                made = self.expected("solvers", "hints", messages, TOKENS)
                self.assertEqual(answer.text, made)
                counts["streams"] += 1

    async def _buy(self, number, bought, counts):
        async with self.client() as client:
            while not self.done:
                answer = await client.run_once("shop", "POST", "/hints/buy", b"order")
                self.assertEqual(answer.status, 200)
                counts["purchases"] += 1


if __name__ == "__main__":
    unittest.main()
