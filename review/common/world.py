"""Stand-ins of the platform, of servers and of clients, and the processes under test.

They follow the users' pages: a store of records with a history, servers that list
themselves there, and clients that send requests with a key. All of them run in the
process of one case, on loopback addresses and the real clock. The entries are processes
of their own, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
#: Sheet of the installation: ``beatIntervalMs`` 1,200; an entry is removed after three
#: intervals of silence; "20 s of history".
BEAT_SECONDS = 1.2
SILENT_BEATS = 3
HISTORY_SECONDS = 20.0
STORE_SECONDS = 0.004  # "4 ms an answer"
LOAD_SECONDS = 0.21  # "new weights take a server 0.21 s"
GRACE_SECONDS = 8.0  # ``graceS``
CASE_SECONDS = 112.0  # a case runs for 120 s at most
SEAL = "Wasabistage-Response-Seal"
REQUEST_ID = "Wasabistage-Request-Id"
INSTANCE = "Wasabistage-Instance-Id"
NOT_RUN = "Wasabistage-Not-Executed"
WEIGHTS = "Wasabistage-Weight-Versions"
KEYED = "keyed."
OPERATORS = ("keyed.op", "keyed.servers")
FIRST_TENANTS = [{"name": "t1", "keys": ["k1"], "priority": 1}]


class Record:
    """The file ``record.txt`` of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")

    @property
    def now(self):
        """Seconds since the start of the case."""
        return time.monotonic() - self.began

    def write(self, *words):
        """Write one line with the time."""
        line = " ".join(str(word) for word in words)
        self.file.write(f"{self.now:8.3f} {line}\n")
        self.file.flush()

    def say(self, *words):
        """Write one line, also to the standard output."""
        self.write(*words)
        print(f"{self.now:8.3f}", *words, flush=True)


class Message:
    """A request or a response that was read whole."""

    def __init__(self, first, headers, body):
        self.first = first
        self.headers = headers
        self.body = body

    @property
    def method(self):
        """Method of a request."""
        return self.first[0]

    @property
    def target(self):
        """Target of a request."""
        return self.first[1]

    @property
    def status(self):
        """Status of a response."""
        return int(self.first[1])

    def get(self, name, default=""):
        """Return a header by its name."""
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return the words of the first line and the headers of a message."""
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0].split(" ", 2), headers


async def read_pieces(reader, headers):
    """Yield the pieces of a body; raise ``IncompleteReadError`` if it breaks off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readuntil(b"\r\n")
            size = int(line.split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            if size == 0:
                return
            yield piece[:-2]
    size = int(headers.get("content-length", "0"))
    if size:
        yield await reader.readexactly(size)


async def read_message(reader):
    """Return the next whole :class:`Message`."""
    first, headers = await read_head(reader)
    body = b"".join([piece async for piece in read_pieces(reader, headers)])
    return Message(first, headers, body)


def encode_response(status, headers, body=b""):
    """Return the bytes of a whole response."""
    lines = [f"HTTP/1.1 {status} Standin"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def encode_json(status, value):
    """Return the bytes of a JSON response."""
    body = json.dumps(value).encode()
    return encode_response(status, [("Content-Type", "application/json")], body)


class Listener:
    """An HTTP listener with one handler of requests."""

    def __init__(self, address):
        self.address = address
        self.listening = None
        self.writers = set()

    async def open(self):
        """Start to listen."""
        host, _, port = self.address.rpartition(":")
        self.listening = await asyncio.start_server(self._serve, host, int(port))

    def close(self):
        """Stop and break off the open channels."""
        if self.listening is not None:
            self.listening.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_message(reader)
                if not await self._answer_until_gone(reader, writer, request):
                    return
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer_until_gone(self, reader, writer, request):
        task = asyncio.ensure_future(self.answer(writer, request))
        try:
            while not task.done():
                await asyncio.wait([task], timeout=0.02)
                if not task.done() and reader.at_eof():
                    self.note_gone(request)
                    return False
            return task.result() is not False
        finally:
            task.cancel()

    def note_gone(self, request):
        """Take in that a caller closed before its answer was complete."""

    async def answer(self, writer, request):
        """Answer one request; return ``False`` to close the channel."""
        raise NotImplementedError


class Topic:
    """Records of one partition."""

    def __init__(self, is_keyed):
        self.is_keyed = is_keyed
        self.records = []  # rows of time, bytes
        self.first = 0
        self.newest = {}  # key to offset and value
        self.grown = asyncio.Event()

    @property
    def end(self):
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, data):
        """Append a record's bytes; return its offset."""
        offset = self.end
        self.records.append((time.monotonic(), data))
        if self.is_keyed:
            key = data[1 : 1 + data[0]].decode()
            value = data[1 + data[0] :]
            self.newest.pop(key, None)
            if value:
                self.newest[key] = (offset, value)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def expire(self, seconds):
        """Delete the records that are older."""
        oldest = time.monotonic() - seconds
        while self.records and self.records[0][0] < oldest:
            self.records.pop(0)
            self.first += 1


class Store(Listener):
    """The platform's store of records.

    :ivar down_topics: topics whose partition is down: calls get 503.
    """

    def __init__(self, address, record):
        super().__init__(address)
        self.record = record
        self.topics = {}
        self.down_topics = set()
        self.calls = 0
        self.reads_by_status = {}

    def topic(self, name):
        """Return a topic, created on first use."""
        if name not in self.topics:
            self.topics[name] = Topic(name.startswith(KEYED))
        topic = self.topics[name]
        topic.expire(HISTORY_SECONDS)
        return topic

    def put(self, name, key, value):
        """Write a record of a key as operators and servers do; ``None`` drops it."""
        data = b"" if value is None else json.dumps(value).encode()
        return self.put_bytes(name, key, data)

    def put_bytes(self, name, key, data):
        """Write a record of a key."""
        encoded = key.encode()
        return self.topic(name).append(bytes([len(encoded)]) + encoded + data)

    def is_listed(self, key):
        """Return whether a server's entry is in the list."""
        return key in self.topic("keyed.servers").newest

    async def answer(self, writer, request):
        """See :meth:`Listener.answer`."""
        self.calls += 1
        url = urlsplit(request.target)
        fields = {name: values[0] for name, values in parse_qs(url.query).items()}
        await asyncio.sleep(STORE_SECONDS)
        name = fields.get("topic", "")
        if name in self.down_topics:
            data = encode_json(503, {})
        elif url.path == "/v1/log-newest":
            data = self._newest(name)
        elif url.path == "/v1/log-read":
            data = await self._read(name, fields)
        elif url.path == "/v1/log-append":
            data = self._append(name, fields, request.body)
        else:
            data = encode_json(404, {})
        writer.write(data)
        await writer.drain()

    def _newest(self, name):
        topic = self.topic(name)
        items = [
            {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
            for key, (offset, value) in sorted(topic.newest.items())
        ]
        page = {"items": items, "morePages": False, "end": topic.end}
        return encode_json(200, page)

    async def _read(self, name, fields):
        start, topic = int(fields["from"]), self.topic(name)
        until = time.monotonic() + int(fields.get("waitMs", 0)) / 1000
        while topic.end <= start and start >= topic.first:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(topic.grown.wait(), left)
            except TimeoutError:
                break
            topic.expire(HISTORY_SECONDS)
        if name in self.down_topics:
            return encode_json(503, {})
        status = 410 if start < topic.first else 200
        key = name, status
        self.reads_by_status[key] = self.reads_by_status.get(key, 0) + 1
        if status == 410:
            return encode_json(410, {"first": topic.first})
        body = struct.pack(">QQ", topic.end, topic.first)
        for _, data in topic.records[start - topic.first :]:
            body += struct.pack(">I", len(data)) + data
        return encode_response(200, [], body)

    def _append(self, name, fields, body):
        if name in OPERATORS:
            return encode_json(403, {})
        topic = self.topic(name)
        if "asOf" in fields and int(fields["asOf"]) != topic.end:
            return encode_json(412, {"end": topic.end})
        (size,) = struct.unpack_from(">I", body)
        offset = topic.append(body[4 : 4 + size])
        if name == "orders":
            self.record.write("store takes an order's record", body[4:].decode())
        return encode_json(200, {"offset": offset, "end": topic.end})


class Server(Listener):
    """A backend server: a plain one, or a model engine that streams events.

    :param server: its id.
    :param service: name of its service.
    :param models: names of the models of an engine; none for a plain server.
    :ivar reaches_store: whether its beats arrive at the store.
    """

    def __init__(self, address, server, service, store, record, models=()):
        super().__init__(address)
        self.server = server
        self.service = service
        self.store = store
        self.record = record
        self.born = int(time.time() * 1000)
        #: Version of the weights of each model.
        self.versions = dict.fromkeys(models, 1)
        self.orders = 0
        self.fence = 0
        self.is_loading = False
        self.reaches_store = True
        self.beat_at = float("-inf")
        self.beats = 0
        self.listed = None
        self.runs = []
        self.events = 8
        self.pause = 0.02

    @property
    def models(self):
        """Its models as the list of servers and its report have them."""
        return [
            {"name": name, "version": version, "adapters": []}
            for name, version in self.versions.items()
        ]

    def entry(self):
        """Return its entry in the list of servers, without ``seq``."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 64 if self.versions else 6,
            "state": "ready",
            "coldLeftMs": 0,
            "stage": "prefill_decode",
            "models": self.models,
            "born": self.born,
        }

    async def beat(self):
        """Write to the list every ``beatIntervalMs``, as far as the store takes it."""
        while True:
            if self.reaches_store and "keyed.servers" not in self.store.down_topics:
                self.beat_at = time.monotonic()
                self.beats += 1
                if self.listed != self.entry():
                    if self.listed is None:
                        self.record.write("list has", self.server, self.address)
                    self.listed = self.entry()
                    value = {**self.listed, "seq": self.beats}
                    self.store.put("keyed.servers", self.server, value)
            await asyncio.sleep(BEAT_SECONDS)

    async def expire(self):
        """Remove the entry after three intervals of silence."""
        while True:
            silent = time.monotonic() - self.beat_at
            if self.listed is not None and silent > SILENT_BEATS * BEAT_SECONDS:
                self.listed = None
                self.record.write(
                    "list lost", self.server, "silent for", f"{silent:.1f}"
                )
                self.store.put("keyed.servers", self.server, None)
            await asyncio.sleep(0.05)

    async def answer(self, writer, request):
        """See :meth:`Listener.answer`."""
        path = urlsplit(request.target).path
        if path == "/v1/report":
            writer.write(encode_json(200, self._report()))
        elif path == "/v1/order":
            writer.write(self._order(request))
        elif path in ("/v1/kv-events", "/v1/kv-list"):
            await asyncio.sleep(int(request.get("Wait-Ms", "0")) / 1000)
            found = {"epoch": 1, "next": 0, "lost": False, "events": [], "held": []}
            writer.write(encode_json(200, {**found, "clock_ms": time.time() * 1000}))
        elif path == "/health":
            writer.write(encode_response(200, [(INSTANCE, self.server)]))
        else:
            await self._run(writer, request)
        await writer.drain()

    def _report(self):
        return {
            "stage": "prefill_decode",
            "models": self.models,
            "busy": self.is_loading,
            "seq": self.orders,
            "queued": 0,
            "active": 0,
            "kvUsed": 0,
            "kvTotal": 80000,
            "handles": 0,
            "born": self.born,
            "clock_ms": time.time() * 1000,
        }

    def _order(self, request):
        order = json.loads(request.body)
        status = 202
        if request.get("Wasabistage-Expect-Instance", self.server) != self.server:
            status = 421
        elif order["fence"] < self.fence:
            status = 412
        elif self.is_loading or order.get("precondition", self.orders) != self.orders:
            status = 409
        elif order["version"] == self.versions[order["model"]]:
            status = 200
        self.record.write(self.server, "gets the order", request.body.decode(), status)
        if status == 202:
            self.fence, self.is_loading = order["fence"], True
            self.orders += 1
            asyncio.get_running_loop().call_later(LOAD_SECONDS, self._load, order)
        return encode_response(status, [])

    def _load(self, order):
        self.versions[order["model"]] = order["version"]
        self.is_loading = False
        self.record.write(self.server, "has the weights", self.versions)

    async def _run(self, writer, request):
        request_id = request.get(REQUEST_ID)
        echo = [(REQUEST_ID, request_id), (INSTANCE, self.server)]
        expected = request.get("Wasabistage-Expect-Instance", self.server)
        own_version = str(self.versions.get(request.get("Wasabistage-Model"), ""))
        version = request.get("Wasabistage-Expect-Version", own_version)
        if expected != self.server or version != own_version:
            self.record.write(self.server, "turns away", request_id, "with 421")
            writer.write(encode_response(421, [*echo, (NOT_RUN, "1")]))
            return
        if self.is_loading:
            writer.write(encode_response(503, [*echo, (NOT_RUN, "1")]))
            return
        self.runs.append(request)
        tenant = request.get("Wasabistage-Tenant")
        self.record.write(self.server, "runs", request_id, "of", tenant)
        if self.versions:
            await self._stream(writer, request, [*echo, (WEIGHTS, own_version)])
            return
        await asyncio.sleep(0.015)
        body = f"{self.server} answers {request_id}".encode()
        writer.write(encode_response(200, [*echo, (SEAL, f"s.{request_id}")], body))

    async def _stream(self, writer, request, echo):
        last = int(request.get("Last-Event-Id", "0"))
        headers = [
            *echo,
            (SEAL, f"s.{request.get(REQUEST_ID)}"),
            ("Content-Type", "text/event-stream"),
            ("Transfer-Encoding", "chunked"),
        ]
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {text}" for name, text in headers)]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
        for number in range(last + 1, self.events + 1):
            await asyncio.sleep(self.pause)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")


def render(template, fields):
    """Fill in a settings template as the platform does; plain values alone."""

    def replace(match):
        value = fields
        for name in match[1].split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return ",".join(value) if isinstance(value, list) else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", replace, template)


class Entry:
    """A machine of the system with its one process.

    :param number: its number, from 1.
    :param network: first three numbers of the loopback addresses of the case.
    """

    def __init__(self, number, network, store, folder, record, count):
        self.name = f"edge-a-{number}"
        self.ip = f"{network}.{10 + number}"
        self.folder = folder
        self.record = record
        self.process = None
        self.log = open(folder / f"{self.name}.log", "wb")  # noqa: SIM115
        seeds = [f"{network}.{10 + item}:8582" for item in range(1, count + 1)][:3]
        self.front = f"{self.ip}:8580"
        self.ready = f"{self.ip}:8586"
        self.directory = f"{self.ip}:8584"
        self.fields = {
            "nodeName": self.name,
            "zone": "a",
            "ip": self.ip,
            "limits": {"linkMbps": 1000.0},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "control": f"{self.ip}:8582",
                "directory": self.directory,
            },
            "portRange": [7260, 7275],
            "platform": {"address": store.address},
            "seeds": seeds,
            "bounds": {
                "revokeMs": 5000,
                "budgetRatio": 0.2,
                "budgetExtra": 54,
                "budgetWindowS": 10,
                "versionMs": 6000,
                "leaseMs": 3000,
                "graceS": 8,
                "ttl_max_s": 5,
            },
        }

    async def start(self):
        """Start the process with the command and template of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        settings = self.folder / f"{self.name}.ini"
        settings.write_text(render((ROOT / role["template"]).read_text(), self.fields))
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["WASABISTAGE_CONFIG"] = str(settings)
        self.process = await asyncio.create_subprocess_exec(
            *role["run"].split(), cwd=ROOT, env=env, stdout=self.log, stderr=self.log
        )
        self.record.write(self.name, "started", self.process.pid)

    async def stop(self):
        """Stop the process as the platform does: SIGTERM, later SIGKILL."""
        self.record.write(self.name, "gets SIGTERM")
        self.process.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE_SECONDS)
        except TimeoutError:
            self.record.write(self.name, "gets SIGKILL")
            self.process.kill()
            await self.process.wait()
        self.record.write(self.name, "ended")

    async def kill(self):
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def wait_ready(self, seconds=20.0):
        """Wait until the readiness probe answers 200; return whether it did."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            try:
                answer = await call(self.ready, "GET", "/v1/ready", [], timeout=1.0)
                if answer.status == 200:
                    return True
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)
        return False


async def call(address, method, target, headers, body=b"", timeout=5.0):
    """Send one request on a new channel; return the whole response."""

    async def send():
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            fields = [("Host", "h.example"), *headers]
            if body or method == "POST":
                fields.append(("Content-Length", len(body)))
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields]
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            return await read_message(reader)
        finally:
            writer.close()

    return await asyncio.wait_for(send(), timeout)


def get_prompt_headers(parts, model="m0"):
    """Return the headers of a request with a prompt of some parts of 100 tokens."""
    prefix = ",".join(f"{part}:100" for part in parts)
    return [
        ("Wasabistage-Model", model),
        ("Wasabistage-Token-Count", f"{100 * len(parts)},8"),
        ("Wasabistage-Prompt-Prefix", prefix),
    ]


class World:
    """A small deployment on loopback addresses.

    :param folder: folder of the case, for ``record.txt``.
    """

    def __init__(self, folder, entries=3, engines=4, plain=3, models=("m0",)):
        self.record = Record(folder)
        self.temporary = Path(tempfile.mkdtemp(prefix="review-"))
        self.random = random.Random()
        self.network = self._find_network()
        self.store = Store(f"{self.network}.2:8587", self.record)
        self.plain = [
            self._build_server(20 + number, f"p{number}", "app", ())
            for number in range(plain)
        ]
        self.engines = [
            self._build_server(40 + number, f"e{number}", "llm", models)
            for number in range(engines)
        ]
        self.entries = [
            Entry(
                number, self.network, self.store, self.temporary, self.record, entries
            )
            for number in range(1, entries + 1)
        ]
        self.tasks = []
        self.request_count = 0
        self.answers = []  # rows of time, kind of request, status

    def _find_network(self):
        for _ in range(50):
            low, high = self.random.randrange(16, 250), self.random.randrange(250)
            network = f"127.{low}.{high}"
            try:
                for port in (8587, 8580, 9464):
                    with socket.socket() as sock:
                        sock.bind((f"{network}.2", port))
            except OSError:
                continue
            return network
        raise OSError("no free loopback address")

    def _build_server(self, host, server, service, models):
        address = f"{self.network}.{host}:8327"
        return Server(address, server, service, self.store, self.record, models)

    @property
    def servers(self):
        """All backend servers."""
        return [*self.plain, *self.engines]

    def publish(self, version=1, tenants=None):
        """Write a desired state."""
        common = {"host": "h.example", "timeoutMs": 3000, "goalMs": 500, "priority": 1}
        plain = {**common, "service": "app", "attempts": 2}
        stream = {**common, "service": "llm", "kind": "streaming", "sticky": True}
        stream |= {"attempts": 2, "gapTargetMs": 300, "timeoutMs": 12000}
        routes = [
            {**plain, "name": "read", "pathPrefix": "/read/", "kind": "idempotent"},
            {**plain, "name": "buy", "pathPrefix": "/buy/", "kind": "non_idempotent"},
            {**stream, "name": "chat", "pathPrefix": "/chat/", "resumable": True},
        ]
        engine = {"slots": 64, "kvCapacity": 80000, "kvTokenBytes": 327680}
        engine |= {"linkMbps": 350000.0, "maxInflight": 12}
        value = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": "app", "healthPath": "/health", "maxConns": 100},
                {"name": "llm", "healthPath": "/health", "maxConns": 360}
                | {"engine": engine},
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304}
            | {"headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": FIRST_TENANTS if tenants is None else tenants,
        }
        self.record.say("operator writes the desired state", version)
        self.store.put("keyed.op", "config", value)

    def name_version(self, version, model="m0"):
        """Name new weights."""
        self.record.say("operator names the weights", version, "of", model)
        value = {"model": model, "version": version}
        self.store.put("keyed.op", f"version/{model}", value)

    def find_old(self, version, model="m0"):
        """Return the ids of the engines with older weights of a model."""
        return [item.server for item in self.engines if item.versions[model] < version]

    async def start(self):
        """Start all; return whether every entry is ready."""
        if not (ROOT / "target/deps").is_dir():
            return False
        for listener in (self.store, *self.servers):
            await listener.open()
        for server in self.servers:
            self.spawn(server.beat())
            self.spawn(server.expire())
        self.publish()
        for entry in self.entries:
            await entry.start()
        ready = [await entry.wait_ready() for entry in self.entries]
        self.record.say("entries are ready", all(ready))
        return all(ready)

    def spawn(self, coroutine):
        """Run a task until the case ends."""
        self.tasks.append(asyncio.ensure_future(coroutine))
        return self.tasks[-1]

    async def stop(self):
        """End all processes and tasks of the case."""
        for task in self.tasks:
            task.cancel()
        for entry in self.entries:
            await entry.kill()
        for listener in (self.store, *self.servers):
            listener.close()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)

    def build_headers(self, key="k1", seconds=3.0):
        """Return the id of a new request and its headers."""
        self.request_count += 1
        request_id = f"{self.request_count:016x}"
        headers = [
            (REQUEST_ID, request_id),
            ("Wasabistage-Deadline-Ms", int(seconds * 1000)),
            ("Authorization", f"Bearer {key}"),
        ]
        return request_id, headers

    async def ask(self, kind, key="k1", parts=("aa", "bb"), model="m0", address=""):
        """Send a request of a kind; return its id and status, 0 without an answer."""
        request_id, headers = self.build_headers(key)
        method, target = "POST", f"/{kind}/x"
        if kind == "read":
            method = "GET"
        if kind == "chat":
            headers += get_prompt_headers(parts, model)
        address = address or self.random.choice(
            [entry.front for entry in self.entries if entry.process.returncode is None]
        )
        named = f"{kind} {model}" if kind == "chat" else kind
        self.record.write("client sends", request_id, named, "to", address)
        body = b"" if kind == "read" else b"{}"
        try:
            answer = await call(address, method, target, headers, body)
            status = answer.status
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            self.record.write("client has no answer", request_id, type(error).__name__)
            status = 0
        self.record.write("client gets", request_id, status)
        self.answers.append((self.record.now, named, status))
        return request_id, status

    async def resolve(self):
        """Ask up to three entries for addresses, as clients do; return them."""
        for entry in self.random.sample(self.entries, min(3, len(self.entries))):
            target = "/v1/resolve?name=h.example&region=r&zone=a"
            try:
                answer = await call(entry.directory, "GET", target, [], timeout=1.0)
                if answer.status == 200:
                    return json.loads(answer.body).get("addresses", [])
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                continue
        return []

    async def send_traffic(self, per_second=10.0):
        """Send requests of all kinds until cancelled."""
        models = list(self.engines[0].versions)
        while True:
            kind = self.random.choice(["read", "buy", "chat"])
            parts = ("aa", f"{self.random.randrange(1 << 30):x}")
            model = self.random.choice(models)
            self.spawn(self.ask(kind, parts=parts, model=model))
            await asyncio.sleep(1.0 / per_second)

    def get_shares(self, begin, end, kind=""):
        """Return the number of requests that ended in a span, and with success."""
        rows = [
            status
            for at, named, status in self.answers
            if begin <= at < end and named.startswith(kind)
        ]
        return len(rows), sum(status == 200 for status in rows)

    async def wait_until(self, condition, seconds):
        """Wait until a condition holds; return whether it did."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if condition():
                return True
            await asyncio.sleep(0.05)
        return False


def has_trouble():
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play, **sizes):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if it didn't run.

    :param folder: folder of the case.
    :param play: asynchronous function of a started :class:`World` that returns whether
        the rule held, or ``None`` if the case could not run.
    """

    async def main():
        world = World(folder, **sizes)
        held = None
        own_task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, own_task.cancel)
        try:
            async with asyncio.timeout(CASE_SECONDS):
                if await world.start():
                    held = await play(world)
        except (TimeoutError, asyncio.CancelledError):
            held = None
        finally:
            await world.stop()
        verdict = {True: "held", False: "broken", None: "could not run"}[held]
        world.record.say("rule:", verdict)
        return {True: 0, False: 1, None: 2}[held]

    try:
        sys.exit(asyncio.run(main()))
    except (OSError, tomllib.TOMLDecodeError) as error:
        print("the case could not run:", error)
        sys.exit(2)
