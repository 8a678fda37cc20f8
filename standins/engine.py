"""Stand-in for a model engine.

It batches continuously, caches prompt prefixes in pieces named by the request's
``cache_keys``, honours priorities, resumes and cancels streams, exports pieces to a
store and imports them in two steps (``import`` stages and reports what was read,
``attach`` puts it into the cache), publishes cache events late, reports its load with
a lag, and takes orders. Answers are deterministic, see :mod:`standins._answers`.
"""

import hashlib
import json
import os

import httpx
import trio
from quart import Response, make_response, request
from quart_trio import QuartTrio

from standins._answers import count_tokens, make_answer, piece_data, prompt_text
from standins._engine_state import EngineParams, EngineState
from standins._faults import install_faults

DEFAULT_ANSWER_TOKENS = 16
STORE_TIMEOUT_SECONDS = 30.0


class Prefill:
    """Prompt computation, one prompt at a time, best priority first.

    :param state: the :class:`EngineState`.
    """

    def __init__(self, state):
        self.state = state
        self.waiting = []
        self.busy = False
        self.counter = 0

    async def run(self, priority, tokens):
        """Wait for the turn of a prompt and compute it.

        :param priority: lower goes first.
        :param tokens: prompt tokens to compute.
        """
        self.counter += 1
        turn = (priority, self.counter, trio.Event())
        self.waiting.append(turn)
        self.state.queued += 1
        self.state.queued_tokens += tokens
        self._start_next()
        try:
            await turn[2].wait()
            self.state.queued -= 1
            await trio.sleep(tokens / self.state.params.prefill_rate)
        except trio.Cancelled:
            if turn in self.waiting:
                self.waiting.remove(turn)
                self.state.queued -= 1
                self.state.queued_tokens -= tokens
                raise
            self._finish(tokens)
            raise
        self._finish(tokens)

    def _finish(self, tokens):
        self.state.queued_tokens -= tokens
        self.busy = False
        self._start_next()

    def _start_next(self):
        if self.busy or not self.waiting:
            return
        self.busy = True
        turn = min(self.waiting)
        self.waiting.remove(turn)
        turn[2].set()


class Engine:
    """The engine's behaviour behind its HTTP endpoints.

    :param params: an :class:`EngineParams`.
    :param nursery: nursery that the answers are generated in.
    :param faults: the faults in force.
    """

    def __init__(self, params, nursery, faults):
        self.state = EngineState(params)
        self.params = params
        self.nursery = nursery
        self.faults = faults
        self.prefill = Prefill(self.state)
        self.reported = self.state.report()

    async def refresh_report(self):
        """Renew the load report once per lag."""
        while True:
            self.reported = self.state.report()
            await trio.sleep(self.params.report_lag)

    def start(self, body, headers):
        """Begin to answer a chat completion.

        :param body: the request's JSON body.
        :param headers: the request's headers.
        :return: the answer stream, or ``None`` if the version is not loaded.
        """
        name, _, version = body["model"].partition("@")
        if self.state.versions.get(name) != version:
            return None
        salt = body.get("cache_salt", "")
        stream = self.state.open_stream(headers["X-Request-Id"], salt)
        self.state.witness["requests"] += 1
        priority = int(headers.get("X-Priority", 1))
        self.nursery.start_soon(self._generate, stream, body, priority)
        return stream

    async def _generate(self, stream, body, priority):
        text = prompt_text(body["messages"])
        keys = body.get("cache_keys", [])
        total = count_tokens(text)
        held = self.state.cached_prefix(keys, stream.salt)
        cached = min(total, held * int(body.get("piece_tokens", 0)))
        self.state.witness["prompt_tokens"] += total
        self.state.witness["computed_tokens"] += total - cached
        stream.usage = {"prompt_tokens": total, "cached_tokens": cached}
        await self.prefill.run(priority, total - cached)
        for key in keys:
            self.state.store_piece(key, stream.salt)
        wanted = int(body.get("max_tokens", DEFAULT_ANSWER_TOKENS))
        await self._decode(
            stream, make_answer(stream.salt, body["model"], text, wanted)
        )

    async def _decode(self, stream, tokens):
        self.state.running += 1
        for token in tokens:
            if stream.cancelled:
                break
            stream.tokens.append(token)
            stream.notify()
            crowd = 1 + self.state.running / self.params.slots
            await trio.sleep(self.params.token_seconds * crowd)
        self.state.running -= 1
        stream.done = True
        stream.usage["completion_tokens"] = len(stream.tokens)
        stream.notify()

    async def frames(self, stream, position):
        """Yield the server-sent events of a stream.

        :param stream: the answer stream.
        :param position: number of the first token wanted.
        """
        sent = 0
        shown_id = "0" * 32 if self.faults.cross_ids else stream.request_id
        while True:
            grown = stream.grown
            while position < len(stream.tokens):
                if self.faults.cut_after and sent >= self.faults.cut_after:
                    raise ConnectionResetError("cut by a fault")
                choice = {"index": 0, "delta": {"content": stream.tokens[position]}}
                chunk = {"id": shown_id, "choices": [choice]}
                yield f"id: {position}\ndata: {json.dumps(chunk)}\n\n".encode()
                position += 1
                sent += 1
            if stream.done:
                break
            await grown.wait()
        finish = "cancelled" if stream.cancelled else "stop"
        choice = {"index": 0, "delta": {}, "finish_reason": finish}
        last = {"id": shown_id, "choices": [choice], "usage": stream.usage}
        yield f"id: {position}\ndata: {json.dumps(last)}\n\n".encode()
        yield b"data: [DONE]\n\n"

    async def export(self, store, keys, salt):
        """Write pieces to a store.

        :param store: ``IP:PORT`` of the store.
        :param keys: piece keys.
        :param salt: cache salt; pieces of another salt are left out.
        :return: what the store answered per piece, with the key.
        """
        written = []
        async with httpx.AsyncClient(timeout=STORE_TIMEOUT_SECONDS) as client:
            for key in keys:
                if self.state.cache.get(key) != salt:
                    continue
                data = piece_data(salt, key, self.params.piece_bytes)
                url = f"http://{store}/pieces/{key}"
                answer = await client.put(url, content=data)
                if answer.status_code != 200:
                    break
                written.append({"key": key, **answer.json()})
        return written

    async def stage(self, store, keys):
        """Read pieces from a store without using them yet.

        :param store: ``IP:PORT`` of the store.
        :param keys: piece keys.
        :return: a staging id, and what was read per piece.
        """
        staging_id = os.urandom(8).hex()
        held, read = {}, []
        async with httpx.AsyncClient(timeout=STORE_TIMEOUT_SECONDS) as client:
            for key in keys:
                answer = await client.get(f"http://{store}/pieces/{key}")
                if answer.status_code != 200:
                    break
                held[key] = answer.content
                read.append(_describe(key, answer))
        self.state.staged[staging_id] = held
        return staging_id, read

    def attach(self, staging_id, keys, salt):
        """Put staged pieces into the cache.

        :param staging_id: what :meth:`stage` returned.
        :param keys: the keys to attach.
        :param salt: cache salt that they belong to.
        :return: the number of pieces attached.
        """
        held = self.state.staged.pop(staging_id, {})
        count = 0
        for key in keys:
            if key not in held:
                continue
            if held[key] != piece_data(salt, key, self.params.piece_bytes):
                self.state.witness["bad_imports"] += 1
            self.state.store_piece(key, salt)
            count += 1
        return count

    async def order(self, body):
        """Carry out an order.

        :param body: dict with ``fencing``, ``kind`` and the kind's own keys.
        :return: whether the order was taken.
        """
        fencing = int(body["fencing"])
        if self.params.checks_fencing and fencing < self.state.highest_fencing:
            return False
        self.state.highest_fencing = max(fencing, self.state.highest_fencing)
        self.state.witness["orders"].append(body)
        if body["kind"] == "load":
            await self._load_weights(body["model"], body["version"])
        elif body["kind"] == "adapter":
            self.state.adapters.add(body["adapter"])
        elif body["kind"] == "role":
            self.state.role = body["role"]
        return True

    async def _load_weights(self, model, version):
        if self.params.weight_store:
            url = f"http://{self.params.weight_store}/weights/{model}/{version}"
            async with httpx.AsyncClient(timeout=STORE_TIMEOUT_SECONDS) as client:
                (await client.get(url)).raise_for_status()
        if self.state.versions.get(model) != version:
            self.state.versions[model] = version
            self.state.clear_cache()


def _describe(key, answer):
    return {
        "key": key,
        "generation": int(answer.headers["X-Generation"]),
        "incarnation": answer.headers["X-Incarnation"],
        "size": len(answer.content),
        "sha256": hashlib.sha256(answer.content).hexdigest(),
    }


def create_app(params=None, versions=None):
    """Build the stand-in.

    :param params: an :class:`EngineParams`.
    :param versions: weight version by model name at the start.
    :return: the quart application.
    """
    app = QuartTrio("engine")
    app.config["MAX_CONTENT_LENGTH"] = 64 << 20
    faults = install_faults(app)
    params = params or EngineParams()
    holder = {}

    @app.before_serving
    async def begin():
        engine = Engine(params, app.nursery, faults)
        engine.state.versions.update(versions or {})
        holder["engine"] = engine
        app.nursery.start_soon(engine.refresh_report)

    _add_answers(app, holder)
    _add_cache(app, holder)
    _add_control(app, holder)
    return app


def _add_answers(app, holder):
    @app.post("/v1/chat/completions")
    async def complete():
        stream = holder["engine"].start(await request.get_json(), request.headers)
        if stream is None:
            return {"error": "this version is not loaded"}, 404
        return await _stream_response(holder["engine"], stream, 0)

    @app.get("/v1/streams/<request_id>")
    async def resume(request_id):
        stream = holder["engine"].state.streams.get(request_id)
        if stream is None:
            return {"error": "unknown stream"}, 404
        position = int(request.args.get("position", 0))
        return await _stream_response(holder["engine"], stream, position)

    @app.delete("/v1/streams/<request_id>")
    async def cancel(request_id):
        state = holder["engine"].state
        stream = state.streams.get(request_id)
        if stream is not None and not stream.done:
            stream.cancelled = True
            state.witness["cancelled"] += 1
        return {"ok": True}


async def _stream_response(engine, stream, position):
    response = await make_response(engine.frames(stream, position))
    response.content_type = "text/event-stream"
    response.headers["X-Request-Id"] = stream.request_id
    response.timeout = None
    return response


def _add_cache(app, holder):
    @app.get("/cache/events")
    async def events():
        state = holder["engine"].state
        start = int(request.args.get("from", 0))
        return {
            "incarnation": state.incarnation,
            "newest": state.newest_visible(),
            "events": state.visible_events(start),
        }

    @app.get("/cache/listing")
    async def listing():
        state = holder["engine"].state
        return {
            "incarnation": state.incarnation,
            "seq": state.sequence,
            "keys": list(state.cache),
        }

    @app.post("/cache/export")
    async def export():
        body = await request.get_json()
        engine = holder["engine"]
        written = await engine.export(body["store"], body["keys"], body["salt"])
        return {"written": written}

    @app.post("/cache/import")
    async def stage():
        body = await request.get_json()
        staging_id, read = await holder["engine"].stage(body["store"], body["keys"])
        return {"staging_id": staging_id, "read": read}

    @app.post("/cache/attach")
    async def attach():
        body = await request.get_json()
        count = holder["engine"].attach(body["staging_id"], body["keys"], body["salt"])
        return {"attached": count}


def _add_control(app, holder):
    @app.get("/load")
    async def load():
        return holder["engine"].reported

    @app.post("/orders")
    async def order():
        taken = await holder["engine"].order(await request.get_json())
        if not taken:
            return Response("old fencing number", 409)
        return {"ok": True}

    @app.get("/witness/state")
    async def witness():
        state = holder["engine"].state
        return {**state.witness, "versions": state.versions, "cache": len(state.cache)}

    @app.put("/witness/draining")
    async def drain():
        holder["engine"].state.draining = True
        return {"ok": True}

    @app.post("/witness/drop-events/<int:one_in>")
    async def drop_events(one_in):
        holder["engine"].state.drop_events = one_in
        return {"ok": True}
