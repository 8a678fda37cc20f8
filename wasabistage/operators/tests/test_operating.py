import contextlib
import io
import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import httpx

from standins.fleet import PEER_KEY, ROOT, Fleet, FleetOptions
from wasabistage.cli import main

KEY = "demo-solvers-key"
SECRET = "MARKED-SECRET"
HEADERS = {"Authorization": f"Bearer {KEY}"}
WAIT_SECONDS = 30


class TestOperating(unittest.TestCase):
    """Runs the commands as processes against two entries."""

    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(FleetOptions(entries=2))
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        folder = tempfile.TemporaryDirectory()
        cls.addClassCleanup(folder.cleanup)
        cls.folder = Path(folder.name) / "padavu"
        shutil.copytree(ROOT / "examples" / "padavu", cls.folder)
        for path in cls.folder.rglob("*.ini"):
            text = path.read_text(encoding="utf-8")
            path.write_text(text.replace("127.0.0.1", cls.fleet.host), "utf-8")
        cls.settings = Path(folder.name) / "operator.ini"
        cls.write_settings(cls.fleet.log_address)
        cls.published = cls.run_process("publish", cls.folder, "--wait", WAIT_SECONDS)
        cls.fleet.wait_served()
        cls.http = httpx.Client(headers=HEADERS, trust_env=False, timeout=WAIT_SECONDS)
        cls.addClassCleanup(cls.http.close)

    @classmethod
    def write_settings(cls, log):
        peers = f"{cls.fleet.peer_address(1)}, {cls.fleet.peer_address(2)}"
        cls.settings.write_text(
            f"[operator]\ndeployment = padavu\nlog = {log}\nentries = {peers}\n"
            f"peer_key = {PEER_KEY}\nauthor = asha\n",
            encoding="utf-8",
        )

    @classmethod
    def run_command(cls, *arguments):
        """Run a command in this process; return code, output, error output."""
        out, err, code = io.StringIO(), io.StringIO(), 0
        command = [*map(str, arguments), "--settings", str(cls.settings)]
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            try:
                main(command)
            except SystemExit as end:
                code = end.code
        return code, out.getvalue(), err.getvalue()

    @classmethod
    def run_process(cls, *arguments):
        """Run a command as its own process; return code, output, error output."""
        done = subprocess.run(
            [sys.executable, "-m", "wasabistage", *map(str, arguments)]
            + ["--settings", str(cls.settings)],
            capture_output=True,
            text=True,
            cwd=ROOT,
            timeout=2 * WAIT_SECONDS,
            env={**os.environ, "PAGER": "false"},
        )
        return done.returncode, done.stdout, done.stderr

    def url(self, index, path):
        return f"http://{self.fleet.entry_address(index)}{path}"

    def trace(self, request_id):
        code, out, err = self.run_command("trace", request_id, "--json")
        self.assertEqual((code, err), (0, ""))
        return json.loads(out)

    def trace_with(self, request_id, name):
        """Wait for the span of a hop that ends after the answer has arrived."""
        end = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < end:
            spans = self.trace(request_id)
            if any(span["name"] == name for span in spans):
                return spans
        return self.fail(f"no span {name}")

    def check_tree(self, spans, expected):
        """Check that spans form one tree of one trace with these hops."""
        self.assertEqual(len({span["trace_id"] for span in spans}), 1)
        known = {span["span_id"] for span in spans}
        roots = [span["name"] for span in spans if span["parent_id"] not in known]
        self.assertEqual(roots, ["request"])
        names = {span["name"] for span in spans}
        self.assertLessEqual(set(expected), names)

    def complete(self, content="three down?", **changes):
        body = {"model": "hints", "max_tokens": 4, "stream": True, **changes}
        body["messages"] = [{"role": "user", "content": content}]
        return self.http.post(self.url(1, "/v1/chat/completions"), json=body)

    def buy_by_ticket(self, home, through):
        """Buy with a ticket of one entry through another one."""
        asked = self.http.get(self.url(home, "/v1/entries?tickets=1")).json()
        return self.http.post(
            self.url(through, "/v1/services/shop/hints/buy"),
            headers={"Idempotency-Key": asked["tickets"][0]},
            content=SECRET,
        )

    def ledger(self):
        servers = self.fleet.deployment.servers.values()
        return [
            call
            for server in servers
            if "shop" in server.services
            for call in self.fleet.get(server.name, "/witness/ledger")["ledger"]
        ]

    def test_spans_of_a_completion(self):
        answer = self.complete()
        spans = self.trace_with(answer.headers["X-Request-Id"], "relay")
        self.check_tree(spans, ["request", "admission", "routing", "engine"])
        code, out, _ = self.run_process("trace", answer.headers["X-Request-Id"])
        self.assertEqual(code, 0)
        self.assertRegex(out, r"\n +0\.00 +[\d.]+  request \[entry-1\]\n")
        self.assertRegex(out, r"  engine \[entry-1\] server=\S+ plan=\S+\n")

    def test_spans_of_a_plain_call_reach_the_server(self):
        answer = self.http.get(self.url(1, "/v1/services/shop/balance"))
        request_id = answer.headers["X-Request-Id"]
        spans = self.trace(request_id)
        self.check_tree(spans, ["request", "admission", "routing", "service"])
        (entry,) = [item for item in self.ledger() if item["request_id"] == request_id]
        (hop,) = [span for span in spans if span["name"] == "service"]
        self.assertEqual(entry["traceparent"].split("-")[1], hop["trace_id"])
        self.assertEqual(entry["traceparent"].split("-")[2], hop["span_id"])

    def test_spans_of_a_call_forwarded_to_its_home(self):
        answer = self.buy_by_ticket(home=1, through=2)
        self.assertEqual(answer.status_code, 200)
        spans = self.trace(answer.headers["X-Request-Id"])
        hops = ["request", "admission", "once.forward", "once.dispatch", "service"]
        self.check_tree(spans, hops)
        where = {span["name"]: span["instance"] for span in spans}
        self.assertEqual(where["once.forward"], "entry-2")
        self.assertEqual(where["once.dispatch"], "entry-1")

    def test_spans_of_a_call_with_an_own_key_show_the_append(self):
        key = f"{int(time.time() * 1000):012x}"
        key = f"{key[:8]}-{key[8:]}-7abc-8abc-{os.urandom(6).hex()}"
        answer = self.http.post(
            self.url(1, "/v1/services/shop/hints/buy"),
            headers={"Idempotency-Key": key},
            content=b"one",
        )
        self.assertEqual(answer.status_code, 200, answer.text)
        spans = self.trace(answer.headers["X-Request-Id"])
        self.check_tree(spans, ["request", "log.append", "once.dispatch", "service"])

    def test_example_of_the_callers_guide(self):
        page = (ROOT / "docs" / "user" / "callers.md").read_text(encoding="utf-8")
        (code,) = re.findall(r"```python\n(.*?)```", page, re.DOTALL)
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            exec(code.replace("127.0.0.1", self.fleet.host), {})
        lines = out.getvalue().splitlines()
        self.assertRegex(lines[0], r" [0-9a-f]{32}$")
        self.assertEqual(lines[1], "200")
        self.assertRegex(lines[2], r"^200 [0-9a-f]{32}$")

    def test_status(self):
        code, out, err = self.run_process("status")
        self.assertEqual((code, err), (0, ""))
        for name in ["entry-1", "entry-2", *self.fleet.deployment.servers]:
            self.assertIn(name, out)
        code, out, _ = self.run_command("status", "--json")
        versions = {item["config_version"] for item in json.loads(out).values()}
        self.assertEqual(len(versions), 1)

    def test_publish_diff_and_an_outage_of_the_log(self):
        path = self.folder / "shop" / "service.ini"
        text = path.read_text(encoding="utf-8")
        self.addCleanup(path.write_text, text, "utf-8")
        code, out, err = self.published
        self.assertEqual((code, err), (0, ""))
        self.assertRegex(out, r"^accepted as version \d+\n  \[")
        self.assertIn("in force everywhere after", out)
        self.assertIn("no difference", self.run_process("diff", self.folder)[1])
        path.write_text(text.replace("cost = 50", "cost = 60"), "utf-8")
        change = "[call shop.buy_hint] cost: 50 -> 60"
        code, out, _ = self.run_command("diff", self.folder)
        self.assertEqual(code, 0)
        self.assertIn(change, out)
        code, out, _ = self.run_command("publish", self.folder, "--base", 999)
        self.assertEqual(code, 3, out)
        self.assertIn("overtaken by version", out)
        code, out, _ = self.run_command("publish", self.folder, "--wait", WAIT_SECONDS)
        self.assertEqual(code, 0, out)
        self.assertRegex(out, r"accepted as version \d+\n")
        self.assertIn(change, out)
        self.assertIn("in force everywhere after", out)
        self.assertIn("unchanged", self.run_command("publish", self.folder)[1])
        self.write_settings(f"{self.fleet.host}:1")
        self.addCleanup(self.write_settings, self.fleet.log_address)
        path.write_text(text.replace("cost = 50", "cost = 70"), "utf-8")
        code, out, err = self.run_command("diff", self.folder)
        self.assertIn("cost: 60 -> 70", out)
        self.assertIn("a newer version may exist", err)
        code, out, _ = self.run_command("publish", self.folder, "--timeout", 2)
        self.assertEqual((code, out[:13]), (4, "not accepted:"))

    def test_nothing_of_a_caller_reaches_logs_and_spans(self):
        answers = [
            self.complete(SECRET),
            self.complete(SECRET, stream=False),
            self.complete(SECRET, max_tokens=SECRET),
            self.complete(SECRET, session=SECRET),
            self.complete(SECRET, model=SECRET),
            self.buy_by_ticket(home=1, through=2),
            self.http.get(self.url(1, f"/v1/entries?{SECRET}=1")),
            self.http.get(self.url(1, f"/v1/services/{SECRET}/{SECRET}")),
            self.http.get(self.url(1, f"/v1/services/shop/balance?q={SECRET}")),
            self.http.post(
                self.url(1, "/v1/services/shop/hints/buy"),
                headers={"Idempotency-Key": SECRET},
                content=SECRET,
            ),
            self.http.get(
                self.url(1, "/v1/entries"),
                headers={"Authorization": f"Bearer {SECRET}"},
            ),
            self.http.get(self.url(1, f"/v1/streams/{SECRET}")),
            self.http.get(self.url(1, f"/{SECRET}")),
        ]
        spans = []
        for answer in answers:
            if answer.status_code >= 400:
                self.assertNotIn(SECRET, answer.text)
            request_id = answer.headers["X-Request-Id"]
            spans.append(self.run_command("trace", request_id, "--json")[1])
        self.assertTrue(spans[0])
        logs = [self.fleet.logs(name) for name in self.fleet.entry_names]
        written = "".join(logs + spans)
        for secret in (SECRET, KEY, PEER_KEY):
            self.assertNotIn(secret, written)
        lines = [json.loads(line) for text in logs for line in io.StringIO(text)]
        by_id = {
            line["request_id"]: line for line in lines if line["event"] == "request"
        }
        for answer in answers:
            line = by_id[answer.headers["X-Request-Id"]]
            self.assertEqual(line["status"], answer.status_code)
        self.assertEqual(by_id[answers[0].headers["X-Request-Id"]]["kind"], "ok")
        self.assertEqual(
            by_id[answers[0].headers["X-Request-Id"]]["account"], "solvers"
        )


if __name__ == "__main__":
    unittest.main()
