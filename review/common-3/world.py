"""A small deployment for the scripts of the third review.

It starts the entries with the command, the template and the environment of the deploy
file, as separate processes on loopback addresses. The store and the servers are the
stand-ins of ``standins/users_platform.py``, inside the process of the script.
"""

import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

import trio

from standins.edge_program import find_network
from standins.platform_template import render_template
from standins.users_platform import (
    Behaviour,
    StandinServer,
    StandinStore,
)
from wasabistage.http1 import ChannelError, HttpClient
from wasabistage.timing import BootTimeTimerService

ROOT = Path(__file__).resolve().parent.parent.parent
__all__ = ["Behaviour", "Entry", "StandinServer", "StandinStore", "World"]
BOUNDS = {
    "drainMs": 2000,
    "graceS": 8,
    "configMs": 2000,
    "settleWindowMs": 3000,
    "revokeMs": 5000,
    "budgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 54,
    "leaseMs": 3000,
    "versionMs": 6000,
    "versionAllMs": 8400,
    "ttl_max_s": 5,
}
KEPT_VARIABLES = ("PATH", "HOME", "LANG")
SERVER_BEAT_SECONDS = 1.2


class Entry:
    """One entry of the system, a process of its own.

    :param world: the :class:`World`.
    :param number: its number, from 0.
    """

    def __init__(self, world, number):
        self.world = world
        self.name = f"edge-{'abcd'[number % 4]}-{number // 4 + 1}"
        self.zone = f"zone-{'abcd'[number % 4]}"
        self.ip = f"{world.network}.0.{10 + number}"
        self.callers = f"{self.ip}:8580"
        self.readiness = f"{self.ip}:8586"
        self.control = f"{self.ip}:8582"
        self.directory = f"{self.ip}:8584"
        self.store_address = world.store.address
        self.settings_path = world.folder / f"{self.name}.ini"
        self.log_path = world.folder / f"{self.name}.log"
        self.process = None
        self.starts = 0

    def write_settings(self):
        """Fill in the template of the deploy file, as the platform does."""
        fields = {
            "nodeName": self.name,
            "role": "entry",
            "machineClass": "edge",
            "serves": ["edge", "control", "directory"],
            "ip": self.ip,
            "zone": self.zone,
            "region": "region",
            "zones": {f"zone-{item}": "region" for item in "abcd"},
            "listen": {
                "front": self.callers,
                "ready": self.readiness,
                "control": self.control,
                "directory": self.directory,
            },
            "portRange": [7260, 7275],
            "seeds": [item.control for item in self.world.entries[:3]],
            "bootstrap": self.starts == 0,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": 300,
                "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "beatIntervalMs": 1200,
            "bounds": {**BOUNDS, **self.world.bounds},
            "platform": {"address": self.store_address},
        }
        text = render_template(self.world.template, fields)
        self.settings_path.write_text(text, encoding="utf-8")

    def start(self):
        """Start the process with the command of the deploy file."""
        self.write_settings()
        self.starts += 1
        environment = {
            name: os.environ[name] for name in KEPT_VARIABLES if name in os.environ
        }
        environment["WASABISTAGE_CONFIG"] = str(self.settings_path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                self.world.command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def is_running(self):
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number):
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait until it is gone."""
        self.send_signal(signal.SIGKILL)
        while self.is_running:
            await trio.sleep(0.005)


class World:
    """The deployment, its record and its calls.

    :param folder: temporary folder for settings and logs.
    :param entries: number of entries.
    :param plain: number of plain servers.
    :param engines: number of model engines.
    :param bounds: figures that differ from ``BOUNDS``.
    """

    def __init__(self, folder, *, entries=3, plain=3, engines=0, bounds=None):
        self.folder = Path(folder)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        role = deploy["roles"]["entry"]
        self.command = role["run"].split()
        self.template = (ROOT / role["template"]).read_text()
        self.bounds = bounds or {}
        self.network = find_network("0.2", 8587)
        self.timer = BootTimeTimerService()
        self.store = StandinStore(f"{self.network}.0.2:8587")
        self.plain = [
            StandinServer(f"{self.network}.1.{10 + number}:8327", f"i-p{number}", "app")
            for number in range(plain)
        ]
        self.engines = [
            StandinServer(
                f"{self.network}.2.{10 + number}:8327", f"i-e{number}", "llm", "m"
            )
            for number in range(engines)
        ]
        self.entries = []
        for number in range(entries):
            self.entries.append(Entry(self, number))
        self.clients = {}
        self.lines = []
        self.begun_at = time.monotonic()
        self.request_count = 0
        self.seq = 0
        #: Ids of servers that write no records.
        self.unlisted = set()

    @property
    def servers(self):
        """All servers."""
        return [*self.plain, *self.engines]

    def note(self, text):
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.begun_at:8.3f} s  {text}")

    def publish(self, version, **changes):
        """Write a desired state; the return is its acknowledgement."""
        common = {"host": "h.example", "timeoutMs": 3000, "goalMs": 500, "priority": 1}
        plain = {**common, "service": "app", "attempts": 2}
        stream = {**common, "service": "llm", "kind": "streaming", "sticky": True}
        value = {
            "version": version,
            "routes": [
                {**plain, "name": "read", "pathPrefix": "/read/", "kind": "idempotent"},
                {
                    **plain,
                    "name": "buy",
                    "pathPrefix": "/buy/",
                    "kind": "non_idempotent",
                    "attempts": 1,
                },
                {
                    **stream,
                    "name": "chat",
                    "pathPrefix": "/chat/",
                    "attempts": 2,
                    "resumable": True,
                },
                {**stream, "name": "hint", "pathPrefix": "/hint/", "attempts": 1},
            ],
            "services": [
                {"name": "app", "maxConns": 200},
                {
                    "name": "llm",
                    "maxConns": 200,
                    "engine": {"slots": 8, "kvCapacity": 80000, "kvTokenBytes": 1000},
                },
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 5000,
                "idleTimeoutMs": 20000,
            },
            "tenants": [{"name": "small", "keys": ["k1"]}],
            **changes,
        }
        self.store.put("config", value)
        self.note(f"the store acknowledges desired state {version}")

    async def beat(self):
        """Write the servers' records every ``SERVER_BEAT_SECONDS``, as servers do."""
        while True:
            for server in self.servers:
                if server.server not in self.unlisted:
                    self.list_server(server)
            await trio.sleep(SERVER_BEAT_SECONDS)

    def list_server(self, server, **changes):
        """Write a server's own record."""
        self.seq += 1
        entry = server.entry(seq=self.seq, **changes)
        self.store.put(server.server, entry, "keyed.servers")

    async def start(self, nursery, **changes):
        """Start everything and wait until all entries are ready."""
        for standin in (self.store, *self.servers):
            await nursery.start(standin.run)
        self.publish(1, **changes)
        nursery.start_soon(self.beat)
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await self.wait_ready(entry)

    async def wait_ready(self, entry, seconds=20.0):
        """Wait until an entry says that it is ready."""
        with trio.fail_after(seconds):
            while await self.ask_ready(entry) != 200:
                await trio.sleep(0.05)

    async def ask_ready(self, entry):
        """Return the status of the readiness probe, or ``None``."""
        try:
            reply = await self.get_client(entry.readiness).call(b"GET", b"/v1/ready")
        except ChannelError:
            return None
        return reply.status

    def get_client(self, address):
        """Return the client of an address."""
        if address not in self.clients:
            self.clients[address] = HttpClient(address, self.timer, 8 << 20)
        return self.clients[address]

    def build_id(self):
        """Return the id of a new request."""
        self.request_count += 1
        return f"{self.request_count:016x}"

    async def call(self, entry, path, *, key="k1", method=b"GET", body=b"", **options):
        """Send one request on a kept channel; return status, body and id.

        The status is ``None`` if the channel ended without an answer.
        """
        request_id = self.build_id()
        headers = [
            (b"Wasabistage-Request-Id", request_id.encode()),
            (b"Wasabistage-Deadline-Ms", b"%d" % options.get("deadline_ms", 3000)),
            (b"Authorization", b"Bearer " + key.encode()),
            *options.get("headers", ()),
        ]
        client = self.get_client(entry.callers)
        client.host = b"h.example"
        try:
            reply = await client.call(
                method, path, body, headers, timeout=options.get("timeout", 4.0)
            )
        except ChannelError as error:
            return None, str(error).encode(), request_id
        return reply.status, reply.body, request_id

    def find_runs(self, request_id):
        """Return the servers at which a request has run, one for each run."""
        return [
            server.server
            for server in self.servers
            for run in server.runs
            if run.request_id == request_id
        ]

    async def stop(self):
        """End all processes that this world has started."""
        for entry in self.entries:
            entry.send_signal(signal.SIGCONT)
            await entry.kill()


def play(main, folder):
    """Run a script; write its record and exit with its result.

    :param main: asynchronous function that takes a nursery, a :class:`World` factory
        and whether there is trouble. It returns the world and the list of breaks.
    :param folder: folder of the record.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code, lines = 2, ["the case could not run"]
    with tempfile.TemporaryDirectory() as name:
        worlds = []

        def build(**options):
            worlds.append(World(name, **options))
            return worlds[-1]

        async def run():
            async with trio.open_nursery() as nursery:
                try:
                    with trio.fail_after(110.0):
                        return await main(nursery, build, trouble)
                finally:
                    with trio.CancelScope(shield=True):
                        for world in worlds:
                            await world.stop()
                    nursery.cancel_scope.cancel()

        try:
            breaks = trio.run(run)
            code = 1 if breaks else 0
            lines = [*worlds[-1].lines, "", *(breaks or ["the rule held"])]
        except BaseException as error:  # the case could not run, whatever the reason
            lines = [*(worlds[-1].lines if worlds else []), f"could not run: {error!r}"]
            lines += traceback.format_exc().splitlines()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(name, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
    lines.insert(0, f"TROUBLE={int(trouble)}")
    Path(folder, "record.txt").write_text("\n".join(lines) + "\n", encoding="utf-8")
    print("\n".join(lines[-25:]))
    sys.exit(code)
