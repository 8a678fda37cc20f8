import unittest
from functools import partial

import httpx
import trio

from standins._engine_state import EngineParams
from wasabistage.declarations import ServiceKind
from wasabistage.entry.tests.process_case import CALL_SECONDS, ProcessCase, bearer

STREAMS = 6
TOKENS = 120
FIRST_SECONDS = 1.0


def ask(text):
    return [{"role": "user", "content": text}]


class TestAnswersUnderFaults(ProcessCase):
    """Every byte of every answer is compared with what the engine made."""

    servers = ("engine-1", "engine-2")
    engine = EngineParams(token_seconds=0.01)

    def tearDown(self):
        self.expect_idle()

    def play(self, strike=None, account="solvers"):
        """Stream answers, strike while they run, and check each byte.

        :param strike: function that brings the fault about, or ``None``.
        :return: the answers.
        """
        return trio.run(self._play, strike, account)

    async def _play(self, strike, account):
        answers = []
        async with self.client(account) as client:
            async with trio.open_nursery() as nursery:
                for number in range(STREAMS):
                    nursery.start_soon(
                        self._stream, client, account, f"{self.id()} {number}", answers
                    )
                if strike is not None:
                    await trio.sleep(FIRST_SECONDS)
                    await trio.to_thread.run_sync(strike)
        return answers

    async def _stream(self, client, account, text, answers):
        messages = ask(text)
        answer = await client.complete("hints", messages, max_tokens=TOKENS)
        made = self.expected(account, "hints", messages, TOKENS)
        self.assertEqual(answer.text, made)
        answers.append(answer)

    def resumed(self):
        """Sum the entries' counts of answers that went on after a cut."""
        return sum(
            item.metrics.get("answer.resumed", 0) for item in self.status() if item
        )

    def test_entry_killed(self):
        before = self.resumed()
        busiest = {}

        def strike():
            told = [item for item in self.status() if item]
            busiest.update(
                {item.instance: item.metrics["work.streams"] for item in told}
            )
            self.fleet.kill(max(busiest, key=busiest.get))

        answers = self.play(strike)
        killed = max(busiest, key=busiest.get)
        self.fleet.restart(killed)
        self.assertEqual(len(answers), STREAMS)
        if busiest[killed]:
            self.assertGreater(max(item.attempts for item in answers), 1)
            self.assertGreater(self.resumed(), before)

    def test_engine_cuts_streams(self):
        self.fault_all(ServiceKind.MODEL, cut_after=50)
        self.addCleanup(self.fault_all, ServiceKind.MODEL, cut_after=0)
        answers = self.play()
        # The entries resumed at the engine; the callers saw nothing of it.
        self.assertEqual([item.errors for item in answers], [()] * STREAMS)
        self.assertEqual({item.attempts for item in answers}, {1})

    def test_engine_killed(self):
        strike = partial(self.fleet.kill, "engine-1")
        answers = self.play(strike)
        self.fleet.restart("engine-1")
        self.assertEqual(len(answers), STREAMS)

    def test_engine_crosses_ids(self):
        self.fault_all(ServiceKind.MODEL, cross_ids=True)
        self.addCleanup(self.fault_all, ServiceKind.MODEL, cross_ids=False)
        for entry in range(1, self.entries + 1):
            address = self.fleet.entry_address(entry)
            url = f"http://{address}/v1/chat/completions"
            body = {
                "model": "hints",
                "messages": ask(f"crossed {entry}"),
                "stream": True,
                "max_tokens": 4,
            }
            answer = httpx.post(
                url,
                json=body,
                headers=bearer("solvers"),
                timeout=CALL_SECONDS,
                trust_env=False,
            )
            self.assertNotIn('"content"', answer.text)

    def test_caller_gone(self):
        before = self.engine_sum("cancelled")
        url = f"http://{self.fleet.entry_address(1)}/v1/chat/completions"
        body = {
            "model": "hints",
            "messages": ask("gone"),
            "stream": True,
            "max_tokens": 20_000,
        }
        with httpx.stream(
            "POST",
            url,
            json=body,
            headers=bearer("solvers"),
            timeout=CALL_SECONDS,
            trust_env=False,
        ) as answer:
            next(answer.iter_lines())
        self.wait(
            lambda: self.engine_sum("cancelled") > before, "a cancelled engine stream"
        )


if __name__ == "__main__":
    unittest.main()
