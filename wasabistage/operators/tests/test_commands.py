import hashlib
import io
import json
import tempfile
import unittest
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path
from unittest import mock

from wasabistage import cli
from wasabistage.declarations import (
    Accepted,
    Change,
    ChangeKind,
    NotAccepted,
    Overtaken,
)
from wasabistage.entry import MemberStatus, ServerStatus, StatusTold
from wasabistage.observe import SpanRecord
from wasabistage.operators import (
    ConfigFound,
    Difference,
    Publication,
    find_commands,
    format_trace,
    judge_spread,
)

ROOT = Path(__file__).parents[3]
PADAVU = str(ROOT / "examples" / "padavu")
SETTINGS = """\
[operator]
deployment = padavu
log = 127.0.0.1:1
entries = 127.0.0.1:2, 127.0.0.1:3
peer_key = 0123456789abcdef
"""
FAULTY = """\
[deployment]
name = padavu
failure_domains = kochi-a

[service shop]
kind = plane
color = red

[call shop.buy]
rank = first
deadline = 5 weeks

[call shap.buy]
method = POST

[account a]
key = open-sesame

[server s]
address = example.org:1
failure_domain = kochi-z
kind = plain

[servr t]

[rank urgent]
floor = 2
"""
FAULTS = (
    (6, "'plane' is not known"),
    (7, "unknown key 'color'"),
    (10, "rank: 'first' is not known"),
    (11, "'5 weeks' is not a duration"),
    (13, "unknown service 'shap'"),
    (16, "'key_hashes' is missing"),
    (17, "would publish a bearer key"),
    (20, "'example.org:1' does not start with an IP number"),
    (24, r"unknown section \[servr t\]"),
    (27, "floor: input should be less than or equal to 1"),
)
CHANGE = Change(
    kind=ChangeKind.CHANGED, section="model", name="a", key="version", old="1", new="2"
)


def make_status(version=3, **changes):
    """Build the status that an entry tells."""
    values = {
        "instance": "entry-1",
        "incarnation": "0a",
        "failure_domain": "kochi-a",
        "phase": "serving",
        "config_version": version,
        "config_doubtful": False,
        "everywhere": True,
        "running": 4,
        "waiting": 2,
        "members": (
            MemberStatus(instance="entry-2", state="gone", age=9.0, config_version=1),
        ),
        "servers": (
            ServerStatus(
                server="engine-1",
                state="ready",
                running=2,
                queued=1,
                versions={"clue": "2026-05"},
            ),
        ),
        "metrics": {"once.unknown": 1},
    }
    return StatusTold(**{**values, **changes})


def make_span(span_id, parent_id, name, start):
    """Build a span."""
    return SpanRecord(
        request_id="r",
        trace_id="t",
        span_id=span_id,
        parent_id=parent_id,
        instance="entry-1",
        name=name,
        start=start,
        seconds=0.25,
        attributes={"server": "app-1"},
    )


SPANS = [
    make_span("a", "caller", "request", 1.0),
    make_span("b", "a", "routing", 1.1),
    make_span("c", "a", "service", 1.2),
    make_span("d", "b", "inner", 1.3),
]


class TestCommands(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.settings = Path(folder.name) / "operator.ini"
        self.settings.write_text(SETTINGS, encoding="utf-8")

    def run_command(self, *arguments, **answers):
        """Run a command; return its exit code, output and error output."""
        out, err, code = io.StringIO(), io.StringIO(), 0
        patches = [
            mock.patch.object(cli, name, mock.AsyncMock(**{"side_effect": [value]}))
            for name, value in answers.items()
        ]
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        with redirect_stdout(out), redirect_stderr(err):
            try:
                cli.main([str(item) for item in arguments])
            except SystemExit as end:
                code = end.code
        return code, out.getvalue(), err.getvalue()

    def run_with_settings(self, *arguments, **answers):
        return self.run_command(*arguments, "--settings", self.settings, **answers)

    def test_help_at_each_level(self):
        for flag in ([], ["--help"], ["-h"]):
            code, out, _ = self.run_command(*flag)
            self.assertEqual(code, 0)
            self.assertIn("Publish a folder of declarations.", out)
        names = find_commands(cli.Commands)
        self.assertEqual(len(names), 9)
        for name in names:
            code, out, err = self.run_command(name, "--help")
            self.assertEqual((code, err), (0, ""))
            self.assertIn(f"wasabistage {name} - ", out)
            self.assertNotIn("GROUP", out)

    def test_wrong_command_lines_name_the_nearest(self):
        cases = {
            ("publsh", "x"): "unknown command 'publsh'; did you mean 'publish'?",
            ("status", "--setings", "x"): "no flag '--setings'; did you mean '--settin",
            ("status",): "status needs --settings",
            ("status", "--settings"): "--settings needs a value",
            ("check",): "check needs FOLDER",
            ("check", "a", "b"): "check does not take the argument 'b'",
            ("publish", "a", "-s", "b", "--wait", "soon"): "--wait is not a number",
            ("version", "--", "--interactive"): "version has no flag '--'",
        }
        for arguments, expected in cases.items():
            code, _, err = self.run_command(*arguments)
            self.assertEqual((code, err.startswith("usage: ")), (2, True), arguments)
            self.assertIn(expected, err)

    def test_arguments_are_texts_whatever_they_look_like(self):
        code, _, err = self.run_command("check", "127.0.0.1")
        self.assertEqual((code, err), (1, ""))
        with mock.patch.object(cli, "read_trace", mock.AsyncMock(return_value=SPANS)):
            for text in ("0012", "1e5", "[1]"):
                self.run_command("trace", text, "-s", self.settings)
                self.assertEqual(cli.read_trace.call_args.args[-1], text)

    def test_check(self):
        code, out, _ = self.run_command("check", PADAVU)
        self.assertEqual((code, out[:24]), (0, "padavu is good: 3 servic"))
        folder = self.settings.parent
        self.settings.rename(folder / "x.ini")
        code, out, _ = self.run_command("check", folder)
        self.assertEqual(code, 1)
        self.assertRegex(out, r"x\.ini:1: unknown section \[operator\]; did you mean")
        self.assertTrue(out.endswith(" faults\n"))

    def test_check_names_ten_faults_of_ten_kinds_at_once(self):
        folder = self.settings.parent
        self.settings.unlink()
        (folder / "a.ini").write_text(FAULTY, encoding="utf-8")
        code, out, _ = self.run_command("check", folder)
        lines = out.splitlines()
        self.assertEqual((code, lines[-1]), (1, "10 faults"))
        self.assertEqual(len(lines), 11)
        self.assertNotIn("open-sesame", out)
        for line, (number, text) in zip(lines, FAULTS, strict=False):
            self.assertRegex(line, rf"a\.ini:{number}: .*{text}.*; .+")

    def test_publish_tells_each_outcome_by_its_exit_code(self):
        late = NotAccepted(reason="no log", remedy="retry", may_take_effect=False)
        cases = (
            (Accepted(version=7), (CHANGE,), 0, "accepted as version 7\n  [model a] v"),
            (Accepted(version=7, unchanged=True), (), 0, "in force unchanged"),
            (Overtaken(version=8, changes=(CHANGE,)), (), 3, "overtaken by version 8"),
            (late, (), 4, "not accepted: no log; retry"),
        )
        for outcome, changes, expected, text in cases:
            done = Publication(outcome=outcome, changes=changes)
            code, out, _ = self.run_with_settings(
                "publish", PADAVU, publish_folder=done
            )
            self.assertEqual(code, expected)
            self.assertIn(text, out)

    def test_publish_waits_until_in_force_everywhere(self):
        done = Publication(outcome=Accepted(version=7))
        for told, expected, text in (
            ([make_status(7), make_status(7)], 0, "in force everywhere after"),
            ([make_status(7), make_status(6)], 5, "behind: 127.0.0.1:3"),
        ):
            spread = judge_spread(7, ("127.0.0.1:2", "127.0.0.1:3"), told, 1.0)
            code, out, _ = self.run_with_settings(
                "publish",
                PADAVU,
                "--wait=1",
                publish_folder=done,
                wait_everywhere=spread,
            )
            self.assertEqual(code, expected)
            self.assertIn(text, out)

    def test_a_silent_entry_does_not_hold_the_wait_up_if_a_live_one_is_sure(self):
        both = ("a", "b")
        self.assertTrue(judge_spread(7, both, [make_status(7), None]).everywhere)
        unsure = make_status(7, everywhere=False)
        self.assertFalse(judge_spread(7, both, [unsure, None]).everywhere)
        self.assertFalse(judge_spread(7, both, [None, None]).everywhere)

    def test_publish_refuses_another_deployment_and_bad_files(self):
        other = str(ROOT / "examples" / "luminosos")
        code, _, err = self.run_with_settings("publish", other)
        self.assertEqual(code, 1)
        self.assertIn("bad_setting: ", err)
        code, _, err = self.run_with_settings("publish", self.settings.parent)
        self.assertIn("bad_declaration: ", err)

    def test_diff(self):
        found = ConfigFound(version=4, deployment=None, doubtful=True)
        code, out, err = self.run_with_settings(
            "diff",
            PADAVU,
            compare_folder=Difference(found=found, changes=(CHANGE,)),
        )
        self.assertEqual(code, 0)
        self.assertEqual(out, "against version 4:\n  [model a] version: 1 -> 2\n")
        self.assertIn("a newer version may exist", err)

    def test_status(self):
        code, out, _ = self.run_with_settings(
            "status", read_status=[make_status(), None]
        )
        self.assertEqual(code, 0)
        for expected in (
            r"entry-1 +127\.0\.0\.1:2 +kochi-a +serving +3 +4 +2",
            r"\? +127\.0\.0\.1:3 +no answer",
            r"engine-1 +ready +2 +1 +clue@2026-05",
            "entry-1 sees entry entry-2 as gone",
            "entry at 127.0.0.1:3 did not answer; check",
            "1 non-idempotent calls as outcome unknown",
        ):
            self.assertRegex(out, expected)
        _, out, _ = self.run_with_settings(
            "status", "--json", read_status=[make_status(), None]
        )
        told = json.loads(out)
        self.assertEqual(told["127.0.0.1:2"]["config_version"], 3)
        self.assertIsNone(told["127.0.0.1:3"])
        code, _, err = self.run_with_settings("status", read_status=[None, None])
        self.assertEqual((code, err[:28]), (1, "unavailable: no entry answer"))

    def test_trace(self):
        code, out, _ = self.run_with_settings("trace", "r", read_trace=SPANS)
        self.assertEqual(code, 0)
        self.assertEqual(out.rstrip("\n"), format_trace(SPANS))
        lines = [line[26:] for line in out.splitlines()[1:]]
        self.assertEqual(
            [line.split(" [")[0] for line in lines],
            ["request", "  routing", "    inner", "  service"],
        )
        _, out, _ = self.run_with_settings("trace", "r", "--json", read_trace=SPANS)
        self.assertEqual(json.loads(out)[0]["name"], "request")
        code, _, err = self.run_with_settings("trace", "r", read_trace=[])
        self.assertEqual((code, err[:10]), (1, "not_found:"))

    def test_key_and_version(self):
        _, out, _ = self.run_command("key")
        made, line = out.splitlines()
        digest = hashlib.sha256(made.removeprefix("key: ").encode()).hexdigest()
        self.assertEqual(line, f"key_hashes = {digest}")
        self.assertRegex(self.run_command("version")[1], r"^wasabistage \d+\.\d+\.\d+$")

    def test_entry_refuses_bad_settings(self):
        code, _, err = self.run_command("entry", self.settings)
        self.assertEqual((code, err[:12]), (1, "bad_setting:"))
        self.assertIn("unknown section [operator]", err)
        self.assertNotIn("Traceback", err)


if __name__ == "__main__":
    unittest.main()
