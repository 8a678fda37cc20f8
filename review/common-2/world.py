"""Stand-ins for the platform, engines and clients, and the real entry processes.

Only the standard library is used, so that nothing has to be built. Every address is a
loopback address. The stand-ins do what PROTOCOL.md says; where it is silent, they
behave like a sound platform or server.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT))

from standins.platform_template import render_template  # noqa: E402

FRONT, READY, CONTROL, DIRECTORY = 8580, 8586, 8582, 8584
PORT_RANGE = [7260, 7275]
LOAD_SECONDS = 0.21  # "new weights take a server 0.21 s", SYSTEM.md
BEAT_SECONDS = 1.2  # beatIntervalMs of DEPLOY.md
#: Bounds of both deployments of SYSTEM.md.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "settleWindowMs": 3000, "ackMs": 4000,
    "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000,
    "rollbackSlackMs": 250, "skewMaxMs": 5000, "strictRevoke": True, "revokeMs": 5000,
    "budgetRatio": 0.2, "budgetWindowS": 10, "budgetExtra": 54, "recoverS": 12,
    "transitMs": 120, "reuseWindowS": 20, "requireFence": True, "leaseMs": 3000,
    "thawMs": 300, "versionMs": 6000, "versionAllMs": 8400, "ttl_max_s": 5,
}  # fmt: skip


class Record:
    """The file ``record.txt`` of a case."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begun_at = time.monotonic()

    def now(self):
        """Return the seconds since the begin of the case."""
        return time.monotonic() - self.begun_at

    def write(self, kind, **fields):
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        print(f"{self.now():8.3f} {kind} {text}", file=self.file, flush=True)


def find_network():
    """Return the first two numbers of loopback addresses that nobody listens on."""
    for _ in range(50):
        network = f"127.{random.randint(20, 250)}"
        try:
            for host in (1, 10):
                for port in (FRONT, 8587, 9464):
                    with socket.socket() as sock:
                        sock.bind((f"{network}.0.{host}", port))
        except OSError:
            continue
        return network
    raise RuntimeError("no free loopback network")


class Request:
    """A request that a stand-in has read."""

    def __init__(self, method, target, fields, body):
        self.method, self.target, self.fields, self.body = method, target, fields, body
        self.path, _, query = target.partition("?")
        self.query = {name: value[0] for name, value in parse_qs(query).items()}


class HttpServer:
    """A small HTTP/1.1 server for one request at a time on a channel."""

    def __init__(self, address):
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.address = address
        self.listener = None
        self.channels = set()

    async def start(self):
        """Listen."""
        self.listener = await asyncio.start_server(self._serve, self.host, self.port)

    async def stop(self):
        """Close the listener and reset all channels, as a crash does."""
        self.listener.close()
        for task in list(self.channels):
            task.cancel()
        await asyncio.sleep(0)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self.channels.add(task)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                await self.answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.channels.discard(task)
            if writer.transport is not None:
                writer.transport.abort()

    async def answer(self, request, writer):
        """Answer a request."""
        raise NotImplementedError


async def read_head(reader):
    """Return the first line and the header fields in lower case, or ``None``."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader):
    """Return the next :class:`Request`, or ``None`` at the end."""
    head = await read_head(reader)
    if head is None:
        return None
    first, fields = head
    method, target, _ = first.split(" ")
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return Request(method, target, fields, body)


def write_response(writer, status, body=b"", headers=()):
    """Write a whole response."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)


def write_json(writer, status, value):
    """Write a whole JSON response."""
    headers = [("Content-Type", "application/json")]
    write_response(writer, status, json.dumps(value).encode(), headers)


class Store(HttpServer):
    """The platform's store: a log with topics of one partition.

    :param keep_seconds: time after which records expire.
    """

    def __init__(self, address, record, keep_seconds):
        super().__init__(address)
        self.record = record
        self.keep_seconds = keep_seconds
        #: Topic to the list of (time, data); expired records are kept here as ``None``.
        self.topics = {}
        self.first = {}
        #: Topic to key to (offset, value).
        self.newest = {}
        self.changed = asyncio.Event()

    def append(self, topic, data):
        """Append the data of a record; return its offset."""
        rows = self.topics.setdefault(topic, [])
        rows.append((time.monotonic(), data))
        offset = len(rows) - 1
        if topic.startswith("keyed."):
            key, value = data[1 : 1 + data[0]].decode(), data[1 + data[0] :]
            self.newest.setdefault(topic, {}).pop(key, None)
            if value:
                self.newest[topic][key] = (offset, value)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def put(self, topic, key, value):
        """Append a record of a keyed topic; ``None`` drops the key."""
        encoded = key.encode()
        data = b"" if value is None else json.dumps(value).encode()
        return self.append(topic, bytes([len(encoded)]) + encoded + data)

    def get_first(self, topic):
        """Return the offset of the first record that has not expired."""
        rows, first = self.topics.get(topic, []), self.first.get(topic, 0)
        limit = time.monotonic() - self.keep_seconds
        while first < len(rows) and rows[first][0] < limit:
            rows[first] = (rows[first][0], None)
            first += 1
        self.first[topic] = first
        return first

    async def answer(self, request, writer):
        """See :meth:`HttpServer.answer`."""
        await asyncio.sleep(0.004)  # "4 ms an answer", SYSTEM.md
        topic = request.query.get("topic", "")
        if request.path == "/v1/log-newest":
            self._answer_newest(topic, request, writer)
        elif request.path == "/v1/log-read":
            await self._answer_read(topic, request, writer)
        elif request.path == "/v1/log-append":
            self._answer_append(topic, request, writer)
        else:
            write_json(writer, 404, {})

    def _answer_newest(self, topic, request, writer):
        items = [
            {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
            for key, (offset, value) in sorted(self.newest.get(topic, {}).items())
            if key > request.query.get("after", "")
        ]
        end = len(self.topics.get(topic, []))
        page = {"items": items[:500], "morePages": len(items) > 500, "end": end}
        write_json(writer, 200, page)

    async def _answer_read(self, topic, request, writer):
        start = int(request.query["from"])
        until = time.monotonic() + int(request.query.get("waitMs", 0)) / 1000
        while True:
            first = self.get_first(topic)
            if start < first:
                self.record.write(
                    "store", answer=410, topic=topic, start=start, first=first
                )
                write_json(writer, 410, {"first": first})
                return
            rows, left = self.topics.get(topic, []), until - time.monotonic()
            if len(rows) > start or left <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), min(left, 0.5))
            except TimeoutError:
                continue
        body = struct.pack(">QQ", len(rows), first)
        for _, data in rows[start:]:
            body += struct.pack(">I", len(data)) + data
        write_response(writer, 200, body)

    def _answer_append(self, topic, request, writer):
        if topic in ("keyed.op", "keyed.servers"):
            write_json(writer, 403, {})
            return
        end = len(self.topics.get(topic, []))
        if "asOf" in request.query and int(request.query["asOf"]) != end:
            write_json(writer, 412, {"end": end})
            return
        at, body = 0, request.body
        while at < len(body):
            (size,) = struct.unpack_from(">I", body, at)
            self.append(topic, body[at + 4 : at + 4 + size])
            at += 4 + size
        write_json(writer, 200, {"offset": end, "end": len(self.topics[topic])})


class Engine(HttpServer):
    """A model server that keeps the KV cache of prompt parts under their salt.

    :param store: the :class:`Store`, in which it registers and reads named versions.
    """

    def __init__(self, address, server, store, record, model="m0", events=4):
        super().__init__(address)
        self.server, self.store, self.record = server, store, record
        self.model, self.events = model, events
        self.version = 1
        self.beats = 0
        self.begin_life()
        self.beat_task = None

    def begin_life(self):
        """Start a lifetime: nothing of before is known but the weights."""
        self.orders, self.fence, self.is_busy = 0, 0, False
        self.born = int(time.time() * 1000)
        #: (salt, part) to the tenant whose request made it.
        self.cached = {}
        self.events_log = []
        self.epoch = random.randint(1, 1 << 30)

    async def start(self):
        """Listen and register."""
        await super().start()
        self.beat_task = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            self.register()
            await asyncio.sleep(BEAT_SECONDS)

    def register(self):
        """Write the entry of this server."""
        self.beats += 1
        entry = {
            "service": "llm", "address": self.address, "zone": "kochi-a",
            "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0,
            "seq": self.beats, "born": self.born, "stage": "prefill_decode",
            "models": [{"name": self.model, "version": self.version, "adapters": []}],
        }  # fmt: skip
        self.store.put("keyed.servers", self.server, entry)

    async def restart(self, down_seconds):
        """Crash, and start again under the same id."""
        self.record.write("crash", server=self.server)
        self.beat_task.cancel()
        await self.stop()
        await asyncio.sleep(down_seconds)
        self.begin_life()
        await self.start()
        self.record.write("restarted", server=self.server, version=self.version)

    async def answer(self, request, writer):
        """See :meth:`HttpServer.answer`."""
        clock = time.time() * 1000
        if request.path == "/v1/report":
            models = [{"name": self.model, "version": self.version, "adapters": []}]
            write_json(writer, 200, {
                "stage": "prefill_decode", "models": models, "busy": self.is_busy,
                "seq": self.orders, "queued": 0, "active": 0, "kvUsed": 0,
                "kvTotal": 80000, "handles": 0, "born": self.born, "clock_ms": clock,
            })  # fmt: skip
        elif request.path == "/v1/order":
            await self.take_order(request, writer)
        elif request.path == "/v1/kv-events":
            await self._answer_events(request, writer)
        elif request.path == "/v1/kv-list":
            held = [[salt, part, 100, self.model] for salt, part in self.cached]
            write_json(writer, 200, {
                "epoch": self.epoch, "next": len(self.events_log), "held": held,
                "clock_ms": clock, "born": self.born,
            })  # fmt: skip
        else:
            await self._run(request, writer)

    async def _answer_events(self, request, writer):
        since = int(request.query.get("since", 0))
        until = time.monotonic() + int(request.fields.get("wait-ms", 0)) / 1000
        while len(self.events_log) <= since and time.monotonic() < until:
            await asyncio.sleep(0.02)
        rows = list(enumerate(self.events_log))[since:]
        events = [[number, *row] for number, row in rows]
        write_json(writer, 200, {
            "epoch": self.epoch, "next": len(self.events_log), "lost": False,
            "events": events, "clock_ms": time.time() * 1000, "born": self.born,
        })  # fmt: skip

    async def take_order(self, request, writer):
        """Answer an order."""
        order = json.loads(request.body)
        expected = request.fields.get("wasabistage-expect-instance", self.server)
        status = 421 if expected != self.server else self.decide_order(order)
        self.write_order(order, status)
        write_json(writer, status, {})

    def write_order(self, order, status):
        """Record an order and its answer."""
        self.record.write(
            "order", server=self.server, holder=order.get("holder"),
            fence=order.get("fence"), version=order.get("version"),
            precondition=order.get("precondition"), answer=status,
        )  # fmt: skip

    def decide_order(self, order):
        """Carry an order out if it may be; return the status of its answer."""
        named = self.get_named_versions()
        if "holder" not in order or "fence" not in order or order["op"] != "version":
            return 400
        if order["version"] not in named:
            return 400
        if order["fence"] < self.fence:
            return 412
        if self.is_busy or order.get("precondition", self.orders) != self.orders:
            return 409
        self.fence = order["fence"]
        if order["version"] == self.version:
            return 200
        self.orders += 1
        self.is_busy = True
        asyncio.get_running_loop().call_later(
            LOAD_SECONDS, self._load, order["version"]
        )
        return 202

    def _load(self, version):
        self.version, self.is_busy = version, False
        self.cached.clear()
        self.record.write("loaded", server=self.server, version=version)
        self.register()

    def get_named_versions(self):
        """Return all versions that have been named so far."""
        key = f"version/{self.model}"
        named = {1}
        for _, data in self.store.topics.get("keyed.op", []):
            if data and data[1 : 1 + data[0]].decode() == key:
                named.add(json.loads(data[1 + data[0] :])["version"])
        return named

    async def _run(self, request, writer):
        fields = request.fields
        request_id = fields.get("wasabistage-request-id", "")
        echo = ("Wasabistage-Request-Id", request_id)
        versions = ("Wasabistage-Weight-Versions", self.version)
        expected = fields.get("wasabistage-expect-instance", self.server)
        version = fields.get("wasabistage-expect-version", str(self.version))
        if expected != self.server or version != str(self.version):
            self.record.write("refused", id=request_id, server=self.server, status=421)
            headers = [echo, versions, ("Wasabistage-Not-Executed", 1)]
            write_response(writer, 421, b"", headers)
            return
        if self.is_busy:
            headers = [echo, versions, ("Wasabistage-Not-Executed", 1)]
            write_response(writer, 503, b"", headers)
            return
        self._use_cache(request_id, fields)
        lines = [
            "HTTP/1.1 200 OK", f"Wasabistage-Request-Id: {request_id}",
            f"Wasabistage-Response-Seal: {request_id}.{self.server}",
            f"Wasabistage-Weight-Versions: {self.version}",
            "Content-Type: text/event-stream", "Transfer-Encoding: chunked", "", "",
        ]  # fmt: skip
        writer.write("\r\n".join(lines).encode())
        for number in range(int(fields.get("last-event-id") or 0) + 1, self.events + 1):
            data = b"id: %d\ndata: piece\n\n" % number
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _use_cache(self, request_id, fields):
        """Read the prompt: use the cached leading parts, and cache the others."""
        salt = fields.get("wasabistage-cache-salt", "")
        tenant = fields.get("wasabistage-tenant", "")
        parts = [row.partition(":")[0] for row in get_rows(fields)]
        used = []
        for part in parts:
            if (salt, part) not in self.cached:
                break
            used.append(f"{part}/{self.cached[salt, part]}")
        for part in parts[len(used) :]:
            self.cached[salt, part] = tenant
            self.events_log.append(["+", salt, part, 100, self.model])
        self.record.write(
            "run", id=request_id, server=self.server, tenant=tenant, salt=salt,
            version=self.version, used=",".join(used) or "-",
        )  # fmt: skip
        self.note_run(request_id, tenant, salt, used)

    def note_run(self, request_id, tenant, salt, used):
        """Take in that a request runs."""


def get_rows(fields):
    """Return the entries of the header with the parts of a prompt."""
    text = fields.get("wasabistage-prompt-prefix", "")
    return [row for row in text.split(",") if row]


class Entry:
    """One real entry process, started as the deploy file says."""

    def __init__(self, world, name, host):
        self.world, self.name = world, name
        self.ip = f"{world.network}.0.{host}"
        self.front = f"{self.ip}:{FRONT}"
        self.process = None
        self.settings_path = world.folder / f"{name}.ini"
        self.log_path = world.folder / f"{name}.log"

    def start(self, *, is_first):
        """Start the process."""
        world = self.world
        template = (ROOT / "deploy" / "edge.ini").read_text(encoding="utf-8")
        fields = {
            "nodeName": self.name, "zone": self.name.rsplit("-", 1)[0].split("-", 1)[1],
            "ip": self.ip, "region": "kochi",
            "zones": {f"kochi-{letter}": "kochi" for letter in "abcd"},
            "listen": {
                "front": f"{self.ip}:{FRONT}", "ready": f"{self.ip}:{READY}",
                "control": f"{self.ip}:{CONTROL}",
                "directory": f"{self.ip}:{DIRECTORY}",
            },
            "portRange": PORT_RANGE,
            "seeds": [f"{entry.ip}:{CONTROL}" for entry in world.entries[:3]],
            "bootstrap": is_first,
            "limits": {
                "cpuShare": 0.537, "cores": 2, "memoryMb": 300, "maxFds": 4100,
                "linkMbps": 1000.0,
            },
            "bounds": BOUNDS,
            "platform": {"address": world.store.address},
        }  # fmt: skip
        self.settings_path.write_text(
            render_template(template, fields), encoding="utf-8"
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["WASABISTAGE_CONFIG"] = str(self.settings_path)
        with open(self.log_path, "ab") as log:
            # The line ``run`` of deploy/system.toml.
            self.process = subprocess.Popen(
                ["python3", "-S", "-m", "wasabistage.platform"],
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )  # fmt: skip
        world.record.write("entry_started", name=self.name)

    def signal(self, number):
        """Send a signal to the process."""
        self.world.record.write(
            "signal", name=self.name, signal=signal.Signals(number).name
        )
        os.kill(self.process.pid, number)

    async def wait_end(self):
        """Wait until the process has ended."""
        while self.process.poll() is None:
            await asyncio.sleep(0.05)

    async def is_ready(self):
        """Return whether the process says that it is ready."""
        try:
            answer = await call(f"{self.ip}:{READY}", "GET", "/v1/ready", timeout=1.0)
        except (OSError, TimeoutError):
            return False
        return answer.status == 200


class Answer:
    """What a client got."""

    def __init__(self, status, fields, body, is_whole):
        self.status, self.fields, self.body, self.is_whole = (
            status, fields, body, is_whole,
        )  # fmt: skip


async def call(address, method, target, headers=(), body=b"", timeout=10.0):
    """Make one call on a channel of its own; return the :class:`Answer`."""
    return await asyncio.wait_for(
        _call(address, method, target, headers, body), timeout
    )


async def _call(address, method, target, headers, body):
    channel = await ClientChannel.open(address)
    try:
        return await channel.send(method, target, headers, body)
    finally:
        channel.close()


class ClientChannel:
    """A channel of a client, for one request after another."""

    def __init__(self, address, reader, writer):
        self.address, self.reader, self.writer = address, reader, writer

    @classmethod
    async def open(cls, address):
        """Open a channel."""
        host, port = address.rsplit(":", 1)
        return cls(address, *await asyncio.open_connection(host, int(port)))

    async def send(self, method, target, headers=(), body=b""):
        """Send a request; return the :class:`Answer`."""
        lines = [f"{method} {target} HTTP/1.1"]
        names = {name.lower() for name, _ in headers}
        if "host" not in names:
            lines.append(f"Host: {self.address}")
        if method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers]
        try:
            self.writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            head = await read_head(self.reader)
            if head is None:
                return Answer(0, {}, b"", False)
            first, fields = head
            status = int(first.split(" ")[1])
            data, is_whole = await read_body(self.reader, fields)
            return Answer(status, fields, data, is_whole)
        except ConnectionError:
            return Answer(0, {}, b"", False)

    def close(self):
        """Close the channel."""
        self.writer.transport.abort()


async def read_body(reader, fields):
    """Return the body and whether it is complete."""
    data = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                data += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readexactly(2)
            return data, True
        return await reader.readexactly(int(fields.get("content-length", 0))), True
    except (asyncio.IncompleteReadError, ValueError):
        return data, False


class World:
    """A small deployment: a store, engines and entries."""

    def __init__(self, folder, names, engines=3, keep_seconds=300.0, engine=Engine):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="wasabistage-review-"))
        self.network = find_network()
        self.store = Store(f"{self.network}.0.1:8587", self.record, keep_seconds)
        self.engines = [
            engine(f"{self.network}.1.{number + 1}:8327", f"i-e{number}", self.store,
                   self.record)
            for number in range(engines)
        ]  # fmt: skip
        self.entries = []
        for number, name in enumerate(names):
            self.entries.append(Entry(self, name, 10 + number))
        self.sent = 0

    def get_entry(self, name):
        """Return an :class:`Entry` by its name."""
        return next(entry for entry in self.entries if entry.name == name)

    def publish(self, version, tenants, **changed_limits):
        """Write a desired state.

        :param changed_limits: fields of ``limits`` that differ from the usual.
        """
        chat = {
            "name": "r-chat", "host": "h.example", "pathPrefix": "/chat/",
            "kind": "streaming", "timeoutMs": 10000, "goalMs": 400, "priority": 0,
            "service": "llm", "attempts": 2, "anonymous": False, "sticky": True,
            "resumable": True, "gapTargetMs": 300,
        }  # fmt: skip
        engine = {
            "slots": 64, "kvCapacity": 83597, "kvTokenBytes": 327680,
            "linkMbps": 350000.0, "maxInflight": 12, "models": [{"name": "m0"}],
        }  # fmt: skip
        limits = {
            "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000, **changed_limits,
        }  # fmt: skip
        service = {
            "name": "llm", "healthPath": "/health", "maxConns": 360, "protocol": "h1",
            "tls": False, "engine": engine,
        }  # fmt: skip
        self.store.put("keyed.op", "config", {
            "version": version, "routes": [chat], "services": [service],
            "limits": limits, "tenants": tenants,
        })  # fmt: skip
        self.record.write(
            "desired_state", version=version, tenants=json.dumps(tenants),
            limits=json.dumps(limits),
        )  # fmt: skip

    def name_version(self, version):
        """Name a version of the weights."""
        value = {"model": "m0", "version": version}
        self.store.put("keyed.op", "version/m0", value)
        self.record.write("version_named", version=version)

    async def start(self, tenants, **changed_limits):
        """Start everything and wait until each entry is ready."""
        await self.store.start()
        for engine in self.engines:
            await engine.start()
        self.publish(1, tenants, **changed_limits)
        for entry in self.entries:
            entry.start(is_first=True)
        await self.wait_ready(self.entries)

    async def wait_ready(self, entries, seconds=25.0):
        """Wait until entries are ready.

        :raises RuntimeError: if they are not in time: the case can't run.
        """
        until = time.monotonic() + seconds
        for entry in entries:
            while not await entry.is_ready():
                if time.monotonic() > until:
                    raise RuntimeError(f"{entry.name} does not become ready")
                await asyncio.sleep(0.1)

    async def chat(self, entry, key, parts, body=b"{}", channel=None, timeout=11.0):
        """Send one prompt; return its id and the :class:`Answer`.

        :param channel: the :class:`ClientChannel` to use; ``None`` for a new one.
        """
        self.sent += 1
        request_id = f"q{self.sent:05d}"
        prefix = ",".join(f"{part}:100" for part in parts)
        headers = [
            ("Host", "h.example"), ("Wasabistage-Request-Id", request_id),
            ("Wasabistage-Model", "m0"), ("Wasabistage-Prompt-Prefix", prefix),
            ("Wasabistage-Token-Count", f"{100 * len(parts)},4"),
            ("Wasabistage-Deadline-Ms", "10000"), ("Authorization", f"Bearer {key}"),
        ]  # fmt: skip
        self.record.write(
            "sent", id=request_id, entry=entry.name, key=key, parts=prefix,
            bytes=len(body), kept=channel is not None,
        )  # fmt: skip
        send = channel.send if channel is not None else partial(call, entry.front)
        try:
            answer = await asyncio.wait_for(
                send("POST", "/chat/1", headers, body), timeout
            )
        except (OSError, TimeoutError) as error:
            answer = Answer(0, {}, b"", False)
            self.record.write("no_answer", id=request_id, error=type(error).__name__)
        self.record.write(
            "answered", id=request_id, status=answer.status, whole=answer.is_whole
        )
        return request_id, answer

    async def stop(self):
        """End all processes that were started."""
        for entry in self.entries:
            if entry.process is not None and entry.process.poll() is None:
                entry.process.kill()
        for entry in self.entries:
            if entry.process is not None:
                entry.process.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(folder, play):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 otherwise.

    :param folder: folder of the case.
    :param play: asynchronous function that takes ``has_trouble`` and returns the texts
        that say how the rule was broken.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(play(has_trouble), 115))
    except Exception as error:  # the case could not run
        print(f"the case could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    for text in broken:
        print(text)
    print("rule broken" if broken else "rule held")
    sys.exit(1 if broken else 0)
