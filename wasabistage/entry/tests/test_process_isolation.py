import socket
import unittest
from dataclasses import replace
from functools import partial

import httpx
import trio

from wasabistage.declarations import Call
from wasabistage.entry.tests.process_case import (
    CALL_SECONDS,
    ProcessCase,
    Purchases,
    bearer,
    own_key,
)

TOKENS = 8
WILD = "/open/"
HOSTILE_TAILS = (
    "../balance",
    "%2e%2e/balance",
    "%2e%2e%2fbalance",
    "%252e%252e/balance",
    "a/../../balance",
    "..%5cbalance",
    "./x",
    "a%0d%0aX-Client-Account:%20editor",
    "a%00b",
    "a%3Fb=1",
    "a%23b",
    "a%2f%2e%2e%2f%2e%2e%2fbalance",
    "%ff%fe",
    "http://127.0.0.1:1/balance",
)
HOSTILE_HEADERS = {
    "X-Client-Account": "editor",
    "X-Request-Id": "0" * 32,
    "traceparent": "00-junk-junk-zz",
    "Host": "127.0.0.1:1",
    "X-Priority": "0",
    "X-Forwarded-For": "10.0.0.1",
}


class TestIsolation(ProcessCase):
    """Two client accounts with equal prompts, and hostile callers."""

    entries = 2
    servers = ("engine-1", "app-1")

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        shop = cls.fleet.deployment.services["shop"]
        calls = dict(shop.calls)
        for method, idempotent in (("GET", True), ("POST", False)):
            call = Call(
                name=f"open-{method.lower()}",
                method=method,
                path=WILD + "*",
                idempotent=idempotent,
                deadline=5.0,
            )
            calls[call.name] = call
        shop = replace(shop, calls=calls)
        services = {**cls.fleet.deployment.services, "shop": shop}
        cls.fleet.deployment = replace(cls.fleet.deployment, services=services)
        cls.fleet.publish(cls.fleet.deployment)

    def setUp(self):
        self.http = httpx.Client(timeout=CALL_SECONDS, trust_env=False)
        self.addCleanup(self.http.close)

    def tearDown(self):
        self.expect_idle()

    def url(self, path, entry=1):
        return f"http://{self.fleet.entry_address(entry)}{path}"

    async def _both(self, messages):
        answers = {}
        for account in ("solvers", "editor"):
            async with self.client(account) as client:
                answers[account] = await client.complete(
                    "hints", messages, session="same", max_tokens=TOKENS
                )
        return answers

    def test_equal_prompts_share_nothing(self):
        messages = [{"role": "user", "content": "the same prompt. " * 1500}]
        for _ in range(2):
            answers = trio.run(self._both, messages)
            for account, answer in answers.items():
                made = self.expected(account, "hints", messages, TOKENS)
                self.assertEqual(answer.text, made)
        self.assertNotEqual(answers["solvers"].text, answers["editor"].text)
        self.assertGreater(answers["solvers"].cached_tokens, 0)
        self.assertEqual(self.engine_sum("cross_account"), 0)

    def test_a_stream_opens_for_its_account_alone(self):
        messages = [{"role": "user", "content": "mine"}]
        body = {"model": "hints", "messages": messages, "max_tokens": TOKENS}
        answer = self.http.post(
            self.url("/v1/chat/completions"), json=body, headers=bearer("solvers")
        )
        path = f"/v1/streams/{answer.json()['id']}"
        codes = {}
        for account in ("solvers", "editor"):
            for entry in (1, 2):
                hostile = {**bearer(account), "X-Client-Account": "solvers"}
                told = self.http.get(self.url(path, entry), headers=hostile)
                codes[account, entry] = told.status_code
        self.assertEqual(
            codes,
            {
                ("solvers", 1): 200,
                ("solvers", 2): 200,
                ("editor", 1): 404,
                ("editor", 2): 404,
            },
        )

    def test_a_key_is_its_account_s_alone(self):
        bought = Purchases(self.fleet)
        ran = trio.run(self._buy_as_both, bought)
        ledger = [entry for entry in self.ledger() if entry["key"] in ran]
        accounts = {entry["account"] for entry in ledger}
        ticket, own = ran
        self.assertEqual(accounts, {"solvers", "editor"})
        # An own key names another action for another account; a ticket none at all.
        by_key = {key: [e["account"] for e in ledger if e["key"] == key] for key in ran}
        self.assertEqual(by_key[ticket], ["solvers"])
        self.assertEqual(sorted(by_key[own]), ["editor", "solvers"])

    async def _buy_as_both(self, bought):
        mine = bearer("solvers")
        theirs = bearer("editor")
        make = partial(httpx.AsyncClient, timeout=CALL_SECONDS, trust_env=False)
        async with make(headers=mine) as one, make(headers=theirs) as two:
            (ticket,) = await bought.tickets(one, 1, 1)
            own = own_key()
            for key in (ticket, own):
                self.assertEqual(await bought.attempt(one, 1, key), "run")
            stolen = Purchases(self.fleet)
            for entry in (1, 2):
                await stolen.attempt(two, entry, ticket)
                await stolen.attempt(two, entry, ticket, inquire=True)
            self.assertEqual(stolen.answers, {})
            self.assertEqual(await stolen.attempt(two, 2, own), "run")
        return ticket, own

    def test_hostile_headers_change_nothing(self):
        headers = {**HOSTILE_HEADERS, **bearer("solvers")}
        answer = self.http.get(self.url("/v1/services/shop/balance"), headers=headers)
        self.assertEqual(answer.status_code, 200)
        last = [e for e in self.ledger() if e["path"] == "/balance"][-1]
        self.assertEqual(last["account"], "solvers")
        self.assertNotEqual(last["request_id"], "0" * 32)

    def test_hostile_paths_reach_no_other_path(self):
        # Wait until the wild calls are in force.
        for entry in (1, 2):
            url = self.url("/v1/services/shop/open/x", entry)
            self.wait(
                lambda url=url: (
                    self.http.get(url, headers=bearer("solvers")).status_code == 200
                ),
                "the wild calls",
            )
        start = len(self.ledger())
        for method in ("GET", "POST"):
            for tail in HOSTILE_TAILS:
                self._send_raw(method, f"/v1/services/shop{WILD}{tail}")
        for target in (
            "http://127.0.0.1:1/v1/services/shop/balance/../x",
            "/v1/services/shop/open/x HTTP/1.1\r\nX-Evil: 1\r\n\r\nGET /balance",
            "/v1/services/../services/shop/open/../balance",
            "//evil/v1/services/shop/open/x",
        ):
            self._send_raw("GET", target)
        reached = {entry["path"] for entry in self.ledger()[start:]}
        wrong = {
            path
            for path in reached
            if not path.startswith(WILD) or ".." in path.split("/")
        }
        self.assertEqual(wrong, set())
        self.assertTrue(reached)
        accounts = {entry["account"] for entry in self.ledger()[start:]}
        self.assertEqual(accounts, {"solvers"})
        # The entries outlived it.
        self.assertEqual([bool(item) for item in self.status()], [True, True])

    def _send_raw(self, method, target):
        """Send a request as it is written, without a client that cleans it."""
        host, _, port = self.fleet.entry_address(1).rpartition(":")
        lines = [
            f"{method} {target} HTTP/1.1",
            "Host: x",
            f"Authorization: {bearer('solvers')['Authorization']}",
            f"Idempotency-Key: {own_key()}",
            "Content-Length: 0",
            "Connection: close",
        ]
        text = "\r\n".join(lines) + "\r\n\r\n"
        with socket.create_connection((host, int(port)), CALL_SECONDS) as link:
            link.settimeout(CALL_SECONDS)
            link.sendall(text.encode())
            answer = b""
            while b"\r\n\r\n" not in answer:
                answer += link.recv(65536)


if __name__ == "__main__":
    unittest.main()
