"""Model engines and a store of KV cache that keep parts of prompts.

They follow the part "KV cache" of PROTOCOL: salts, events that arrive late and of which
a few never arrive, lists, saves that reserve their space at once, fetches, and what a
managed store frees. Moves take the time that links and the size of the part give.
"""

import json
import time
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import trio

from standins.users_platform import SEAL, Standin, StandinServer, respond_json

EVENTS_LAG_SECONDS = 0.06
LONGEST_WAIT_SECONDS = 1.0
PREFILL_TOKENS_PER_SECOND = 85_200.0
MISS_SECONDS = 0.001
DEAD_SECONDS = 0.2  # that a fetch from a store that is down costs
STEP_SECONDS = 0.004
OTHER_ZONE_FACTOR = 2.0


def get_clock_ms():
    """Return the time on the servers' clock."""
    return time.time() * 1000.0


@dataclass
class Log:
    """Events of one server or store.

    :param epoch: number that changes at a restart.
    """

    epoch: int = 1
    rows: list = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)

    def add(self, sign, salt, part, tokens, model):
        """Add an event, which can be read after the lag."""
        at = trio.current_time() + EVENTS_LAG_SECONDS
        self.rows.append((at, sign, salt, part, tokens, model))

    def read(self, since):
        """Return the number of the next event and the events from one on."""
        now = trio.current_time()
        ready = sum(row[0] <= now for row in self.rows)
        events = [
            [number + 1, *self.rows[number][1:]]
            for number in range(min(since, ready), ready)
            if self.rows[number][1] != "lost"
        ]
        return ready, events


async def answer_events(channel, request, log):
    """Answer a call for events; it waits until there are some."""
    query = parse_qs(request.target.partition(b"?")[2].decode())
    fields = {name.lower(): value for name, value in request.headers}
    wait = min(int(fields.get(b"wait-ms", b"0")) / 1000.0, LONGEST_WAIT_SECONDS)
    since, until = int(query.get("since", ["0"])[0]), trio.current_time() + wait
    position, events = log.read(since)
    while not events and trio.current_time() < until and since <= position:
        await trio.sleep(0.02)
        position, events = log.read(since)
    answer = {"epoch": log.epoch, "next": position, "lost": False, "events": events}
    await respond_json(channel, 200, {**answer, "clock_ms": get_clock_ms()})


class Store(Standin):
    """A managed store of KV cache.

    :param address: ``IP:PORT``.
    :param zone: its zone.
    :param rate: bytes a second of its link.
    :param token_bytes: size of one token.
    :param note: function that takes a line for the record.
    """

    def __init__(self, address, zone, rate, token_bytes, note):
        super().__init__(address)
        self.zone = zone
        self.rate = rate
        self.token_bytes = token_bytes
        self.note = note
        self.log = Log()
        #: Parts that are whole, and those that are being written: (salt, part) to
        #: tokens.
        self.whole = {}
        self.writing = {}
        #: Parts whose event of being freed never arrives.
        self.silent_frees = set()
        self.breaks = []
        self.is_down = False
        self.life_scope = None

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Serve until cancelled; start again, empty, after each crash."""
        while True:
            with trio.CancelScope() as self.life_scope:
                await super().run(task_status)
            task_status = trio.TASK_STATUS_IGNORED
            while self.is_down:
                await trio.sleep(0.005)

    async def crash(self, seconds):
        """Be down for some seconds and return without any part."""
        self.note(f"the store is down for {seconds} s")
        self.is_down = True
        self.life_scope.cancel()
        self.log = Log(epoch=self.log.epoch + 1)
        self.whole, self.writing = {}, {}
        await trio.sleep(seconds)
        self.is_down = False
        self.note("the store is back, empty")

    async def answer(self, channel, request):
        """See :meth:`Standin.answer`."""
        path = request.target.partition(b"?")[0]
        if path == b"/v1/kv-events":
            await answer_events(channel, request, self.log)
        elif path == b"/v1/kv-list":
            held = [[salt, part, n, "m"] for (salt, part), n in self.whole.items()]
            position, _ = self.log.read(0)
            answer = {"epoch": self.log.epoch, "next": position, "held": held}
            await respond_json(channel, 200, {**answer, "clock_ms": get_clock_ms()})
        elif path == b"/v1/kv-free":
            await self._free(channel, json.loads(request.body))
        else:
            await channel.respond(404, [], b"")

    async def _free(self, channel, body):
        is_late = body.get("until_ms", get_clock_ms()) < get_clock_ms()
        if body.get("epoch", self.log.epoch) != self.log.epoch or is_late:
            await channel.respond(409, [], b"")
            return
        for salt, part in body["parts"]:
            if self.whole.pop((salt, part), None) is None:
                continue
            is_lost = part in self.silent_frees
            self.log.add("lost" if is_lost else "-", salt, part, 0, "m")
            end = ", and the event never arrives" if is_lost else ""
            self.note(f"the store frees part {part} of salt {salt}{end}")
        await channel.respond(200, [], b"")

    def get_seconds(self, zone, tokens):
        """Return the time that a move of tokens takes."""
        seconds = tokens * self.token_bytes / self.rate
        return seconds * (OTHER_ZONE_FACTOR if zone != self.zone else 1.0)

    async def fetch(self, engine, request_id, salt, part):
        """Move a part to an engine; return the tokens that were taken."""
        if self.is_down:
            await trio.sleep(DEAD_SECONDS)
            return 0
        tokens = self.whole.get((salt, part))
        if tokens is None and (salt, part) in self.writing:
            tokens = self.writing[salt, part]
            self.breaks.append(
                f"MIXED: request {request_id} at {engine.server} takes part {part} of "
                f"salt {salt} from the store while it is being written"
            )
            self.note(self.breaks[-1])
        if tokens is None:
            await trio.sleep(MISS_SECONDS)
            return 0
        await trio.sleep(self.get_seconds(engine.zone, tokens))
        return tokens

    async def save(self, engine, request_id, salt, part, tokens):
        """Write a part; its space is reserved at once."""
        key, epoch = (salt, part), self.log.epoch
        if self.is_down or key in self.whole or key in self.writing:
            return
        self.writing[key] = tokens
        seconds = self.get_seconds(engine.zone, tokens)
        self.note(
            f"{engine.server} begins to save part {part} of salt {salt} for request "
            f"{request_id}; it takes {seconds:.3f} s"
        )
        await trio.sleep(seconds)
        if self.log.epoch != epoch:
            return
        del self.writing[key]
        self.whole[key] = tokens
        self.log.add("+", salt, part, tokens, "m")


class Engine(StandinServer):
    """A model engine that keeps parts, fetches and saves them.

    :param address: ``IP:PORT``.
    :param server: its id.
    :param zone: its zone.
    :param store: the :class:`Store`, or ``None``.
    :param nursery: nursery of the saves.
    :param capacity: tokens that it keeps.
    :param slots: requests that it runs at once; further ones wait.
    :param service: name of its service.
    """

    def __init__(
        self,
        address,
        server,
        zone,
        store,
        nursery,
        capacity=83_597,
        slots=64,
        service="llm",
    ):
        super().__init__(address, server, service, "m")
        self.slots = slots
        self.zone = zone
        self.store = store
        self.nursery = nursery
        self.capacity = capacity
        #: Events of an answer, and the seconds before each.
        self.events = 3
        self.step = STEP_SECONDS
        #: Seconds from the head of an answer to the first event, besides.
        self.first_pause = 0.0
        self.places = trio.Semaphore(slots)
        #: Tenants that share no part with others.
        self.dedicated = frozenset()
        #: Request and tenant that made a part.
        self.makers = {}
        self.breaks = []
        self.log = Log()
        self.kept = {}

    async def answer(self, channel, request):
        """See :meth:`StandinServer.answer`."""
        path = request.target.partition(b"?")[0]
        if path == b"/v1/kv-events":
            await answer_events(channel, request, self.log)
        elif path == b"/v1/kv-list":
            held = [[salt, part, n, "m"] for (salt, part), n in self.kept.items()]
            position, _ = self.log.read(0)
            answer = {"epoch": self.log.epoch, "next": position, "held": held}
            await respond_json(channel, 200, {**answer, "clock_ms": get_clock_ms()})
        elif path == b"/v1/report":
            models = [{"name": "m", "version": self.version, "adapters": []}]
            report = {"models": models, "busy": False, "seq": self.orders, "queued": 0}
            report |= {"clock_ms": get_clock_ms(), "born": self.born, "active": 0}
            await respond_json(channel, 200, report)
        else:
            await super().answer(channel, request)

    def entry(self, **changes):
        """See :meth:`StandinServer.entry`."""
        return super().entry(slots=self.slots, zone=self.zone, **changes)

    async def _stream(self, channel, run, echo):
        async with self.places:
            await self._answer_run(channel, run, echo)

    async def _answer_run(self, channel, run, echo):
        await self._read_prompt(run)
        version = (b"Wasabistage-Weight-Versions", b"%d" % self.version)
        kind = (b"Content-Type", b"text/event-stream")
        framing = (b"Transfer-Encoding", b"chunked")
        await channel.start_response(200, [echo, (SEAL, b"s"), version, kind, framing])
        await trio.sleep(self.first_pause)
        for number in range(1, self.events + 1):
            await trio.sleep(self.step)
            await channel.send_piece(b"id: %d\ndata: piece %d\n\n" % (number, number))
        await channel.finish()

    def _keep(self, salt, part, tokens):
        """Keep a part; the least recently used ones yield."""
        while sum(self.kept.values()) + tokens > self.capacity:
            old_salt, old_part = next(iter(self.kept))
            del self.kept[old_salt, old_part]
            self.log.add("-", old_salt, old_part, 0, "m")
        self.kept[salt, part] = tokens
        self.log.add("+", salt, part, tokens, "m")

    def _check_wall(self, request_id, tenant, salt, part):
        """Check who made a part that a request uses."""
        maker_id, maker = self.makers[salt, part]
        if maker == tenant or not self.dedicated & {maker, tenant}:
            return
        self.breaks.append(
            f"WALL: request {request_id} of tenant {tenant} at {self.server} uses part "
            f"{part} of salt {salt!r}, which request {maker_id} of {maker} made; "
            f"dedicated: {sorted(self.dedicated)}"
        )

    async def _read_prompt(self, run):
        salt = run.fields.get(b"wasabistage-cache-salt", b"").decode()
        tenant = run.fields.get(b"wasabistage-tenant", b"").decode()
        rows = run.fields[b"wasabistage-prompt-prefix"].decode().split(",")
        parts = [(row.split(":")[0], int(row.split(":")[1])) for row in rows]
        fetch = split_addresses(run.fields, b"wasabistage-kv-fetch-from", len(parts))
        save = split_addresses(run.fields, b"wasabistage-kv-save-to", len(parts))
        for (part, tokens), source, target in zip(parts, fetch, save, strict=True):
            if (salt, part) in self.kept:
                self.kept[salt, part] = self.kept.pop((salt, part))
                self._check_wall(run.request_id, tenant, salt, part)
                continue
            taken = 0
            if self.store is not None and source == self.store.address:
                taken = await self.store.fetch(self, run.request_id, salt, part)
            await trio.sleep((tokens - taken) / PREFILL_TOKENS_PER_SECOND)
            self._keep(salt, part, tokens)
            self.makers[salt, part] = run.request_id, tenant
            if self.store is not None and target == self.store.address:
                arguments = self, run.request_id, salt, part, tokens
                self.nursery.start_soon(self.store.save, *arguments)


def split_addresses(fields, name, count):
    """Return one address for each part, ``""`` for none."""
    text = fields.get(name, b"").decode()
    if not text:
        return [""] * count
    rows = ["" if row == "-" else row for row in text.split(",")]
    return rows * count if len(rows) == 1 else rows
