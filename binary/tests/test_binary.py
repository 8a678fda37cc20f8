"""The built binary: the whole program as one process, without an installed Python."""

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

import httpx

from binary.build import RESULT, ROOT
from standins.fleet import Fleet, FleetOptions

SECONDS = 60
#: Position of the minor faults of ended children, in ``/proc/PID/stat`` after the name.
CHILD_FAULTS = 8
SESSION = 3
#: Names of the parts of the C library, all that an instance must have.
C_LIBRARY = {"ld", "libc", "libdl", "libm", "libpthread", "librt", "libutil"}
COMMANDS = ("entry", "check", "publish", "diff", "status", "trace", "key", "version")
SETTINGS = """\
[entry]
name = entry-1
deployment = padavu
failure_domain = kochi-a

[listen]
listen = {listen}
peer_listen = {peer_listen}
peer_key = 0123456789abcdef0123456789abcdef

[platform]
log = {log}
live_list = {live_list}

[output]
log_file = {folder}/entry.log
trace_file = {folder}/spans.log

[bounds]
drain_timeout = 1s
"""

OPERATOR = """\
[operator]
deployment = padavu
log = {log}
entries = {entries}
peer_key = 0123456789abcdef0123456789abcdef
"""


def free_address():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{listener.getsockname()[1]}"


def read_stat(pid):
    text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    return text.rpartition(")")[2].split()


def find_children(pid):
    return " ".join(
        path.read_text(encoding="utf-8")
        for path in Path(f"/proc/{pid}/task").glob("*/children")
    ).split()


def find_session(session):
    found = []
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            if read_stat(folder.name)[SESSION] == str(session):
                found.append(int(folder.name))
        except (FileNotFoundError, ProcessLookupError):
            continue
    return found


def find_mapped_files(pid):
    lines = Path(f"/proc/{pid}/maps").read_text(encoding="utf-8").splitlines()
    return {line.split(maxsplit=5)[5] for line in lines if "/" in line}


class BinaryCase(unittest.TestCase):
    def setUp(self):
        self.folder = Path(tempfile.mkdtemp(prefix="binary-"))
        self.addCleanup(shutil.rmtree, self.folder)
        self.environment = {"WASABISTAGE_UNPACK_DIR": str(self.folder)}

    def run_binary(self, *arguments):
        return subprocess.run(
            [RESULT, *arguments],
            cwd=ROOT,
            env=self.environment,
            capture_output=True,
            text=True,
            timeout=SECONDS,
        )

    def start(self, *command, **options):
        output = open(self.folder / "output", "ab")
        self.addCleanup(output.close)
        process = subprocess.Popen(
            [str(part) for part in command], stdout=output, stderr=output, **options
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def wait_ready(self, process, url):
        end = time.monotonic() + SECONDS
        while time.monotonic() < end:
            output = (self.folder / "output").read_text(encoding="utf-8")
            self.assertIsNone(process.poll(), output)
            try:
                return httpx.get(url, timeout=2.0, trust_env=False)
            except httpx.HTTPError:
                time.sleep(0.05)
        self.fail(f"{url} does not answer")

    def assert_alone(self, pid):
        self.assertEqual(find_children(pid), [])
        # Children that have ended would have left their faults here.
        self.assertEqual(read_stat(pid)[CHILD_FAULTS], "0")
        program = Path(os.readlink(f"/proc/{pid}/exe"))
        self.assertTrue(program.is_relative_to(self.folder), program)

    def assert_runs_without_python(self, pid):
        mapped = {Path(name) for name in find_mapped_files(pid) if ".so" in name}
        inside = {path for path in mapped if path.is_relative_to(self.folder)}
        self.assertTrue(any("libpython" in path.name for path in inside))
        outside = {path.name.partition(".")[0] for path in mapped - inside}
        self.assertLessEqual({name.partition("-")[0] for name in outside}, C_LIBRARY)


class CommandsTest(BinaryCase):
    """Each command answers as the same command run from the sources does."""

    def run_both(self, *arguments, code):
        options = {"cwd": ROOT, "capture_output": True, "text": True}
        binary = subprocess.run(
            [RESULT, *arguments], env=self.environment, timeout=SECONDS, **options
        )
        sources = subprocess.run(
            [sys.executable, "-m", "wasabistage", *arguments],
            timeout=SECONDS,
            **options,
        )
        self.assertEqual(
            (binary.returncode, binary.stdout, binary.stderr),
            (sources.returncode, sources.stdout, sources.stderr),
        )
        self.assertEqual(binary.returncode, code, binary.stderr)
        return binary.stdout + binary.stderr

    def test_help_of_every_command(self):
        shown = self.run_both("--help", code=0)
        for name in COMMANDS:
            with self.subTest(name):
                self.assertIn(name, shown)
                self.assertIn(name, self.run_binary(name, "--help").stdout)

    def test_version(self):
        self.assertIn("wasabistage", self.run_both("version", code=0))

    def test_check(self):
        for name in ("padavu", "luminosos"):
            self.assertIn("is good", self.run_both("check", f"examples/{name}", code=0))

    def test_check_of_a_faulty_folder(self):
        faulty = self.folder / "faulty"
        shutil.copytree(ROOT / "examples" / "padavu", faulty)
        with open(faulty / "deployment.ini", "a", encoding="utf-8") as file:
            file.write("\n[unheard_of]\nkey = value\n")
        self.assertIn("unheard_of", self.run_both("check", str(faulty), code=1))

    def test_wrong_command_line(self):
        self.run_both("chekc", "examples/padavu", code=2)

    def test_faulty_settings(self):
        settings = self.folder / "settings.ini"
        settings.write_text("[entry]\nnaem = entry-1\n", encoding="utf-8")
        self.assertIn("naem", self.run_both("entry", str(settings), code=1))


class EntryTest(BinaryCase):
    def start_standin(self, kind, path):
        address = free_address()
        command = (sys.executable, "-m", "standins", kind, f"--address={address}")
        process = self.start(*command, cwd=ROOT)
        self.wait_ready(process, f"http://{address}{path}")
        return address

    def write_settings(self, listen):
        settings = self.folder / "settings.ini"
        text = SETTINGS.format(
            listen=listen,
            peer_listen=free_address(),
            log=self.start_standin("log", "/streams/config/records"),
            live_list=self.start_standin("livelist", "/instances"),
            folder=self.folder,
        )
        settings.write_text(text, encoding="utf-8")
        return settings

    def test_serves_as_exactly_one_process(self):
        listen = free_address()
        settings = self.write_settings(listen)
        process = self.start(
            RESULT, "entry", settings, env=self.environment, start_new_session=True
        )
        self.wait_ready(process, f"http://{listen}/v1/entries")
        self.print_ps(process.pid)
        self.assert_alone(process.pid)
        self.assertEqual(find_session(process.pid), [process.pid])
        self.assert_runs_without_python(process.pid)
        process.send_signal(signal.SIGTERM)
        code = process.wait(SECONDS)
        output = (self.folder / "output").read_text(encoding="utf-8")
        self.assertEqual(code, 0, output)
        self.assertEqual(find_session(process.pid), [])

    def print_ps(self, pid):
        columns = "pid,ppid,sid,nlwp,rss,args"
        line = subprocess.run(
            ["ps", "-ww", "-o", columns, "-s", str(pid)], capture_output=True, text=True
        )
        print(f"\nps of the session that the binary leads:\n{line.stdout}", flush=True)
        self.assertEqual(len(line.stdout.splitlines()), 2)


class FleetTest(BinaryCase):
    def test_entries_serve_a_published_deployment(self):
        program = ("env", "-i", f"WASABISTAGE_UNPACK_DIR={self.folder}", str(RESULT))
        with Fleet(FleetOptions(entries=2, program=program)) as fleet:
            fleet.publish()
            fleet.wait_served()
            for name in fleet.entry_names:
                self.assert_alone(fleet.processes[name].process.pid)
            self.assert_operator_commands(fleet)
            for name in fleet.entry_names:
                self.assertEqual(fleet.terminate(name), 0, fleet.output(name))

    def assert_operator_commands(self, fleet):
        settings = self.folder / "operator.ini"
        entries = f"{fleet.peer_address(1)}, {fleet.peer_address(2)}"
        text = OPERATOR.format(log=fleet.log_address, entries=entries)
        settings.write_text(text, encoding="utf-8")
        folder = "examples/padavu"
        commands = {
            ("status",): "entry-2",
            ("diff", folder): "against version 1",
            ("publish", folder): "version 2",
            ("key",): "key_hashes",
        }
        for command, part in commands.items():
            flags = () if command == ("key",) else ("--settings", settings)
            result = self.run_binary(*command, *flags)
            self.assertEqual(result.returncode, 0, result.stderr)
            self.assertIn(part, result.stdout)


if __name__ == "__main__":
    unittest.main()
