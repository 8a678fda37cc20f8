"""Stand-in for a plain service, with a ledger of what it ran.

Any method and path under ``/`` is a call; each is written to the ledger with its
``X-Request-Id`` and ``Idempotency-Key``. The answer is a digest of the request, so
that a test can tell whose answer it is. The service checks nothing.
``GET /witness/ledger`` returns the ledger, ``GET /load`` the load report.
"""

import hashlib
import json
import os
import time

import trio
from quart import Response, request
from quart_trio import QuartTrio

from standins._faults import install_faults

METHODS = ["GET", "POST", "PUT", "PATCH", "DELETE"]
WORK_SECONDS = 0.01


def expected_answer(method, path, query, body):
    """Compute what the stand-in answers to a call.

    :param method: HTTP method.
    :param path: path with the leading slash.
    :param query: raw query bytes.
    :param body: request body bytes.
    :return: the answer's body, bytes.
    """
    digest = hashlib.sha256()
    for part in (method.encode(), path.encode(), query, body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return json.dumps({"path": path, "sha256": digest.hexdigest()}).encode()


def create_app(work_seconds=WORK_SECONDS):
    """Build the stand-in.

    :param work_seconds: time that a call takes, in seconds.
    :return: the quart application.
    """
    app = QuartTrio("service")
    app.config["MAX_CONTENT_LENGTH"] = 16 * 1024 * 1024
    install_faults(app)
    ledger = []
    state = {"running": 0, "draining": False, "reports": 0}
    incarnation = f"{time.time_ns() // 1_000_000:012x}{os.urandom(4).hex()}"

    @app.get("/load")
    async def load():
        state["reports"] += 1
        return {
            "incarnation": incarnation,
            "sequence": state["reports"],
            "running": state["running"],
            "queued": 0,
            "draining": state["draining"],
        }

    @app.get("/witness/ledger")
    async def read_ledger():
        return {"ledger": ledger}

    @app.put("/witness/draining")
    async def drain():
        state["draining"] = True
        return {"ok": True}

    @app.route("/", defaults={"path": ""}, methods=METHODS)
    @app.route("/<path:path>", methods=METHODS)
    async def call(path):
        body = await request.get_data()
        state["running"] += 1
        entry = {
            "request_id": request.headers.get("X-Request-Id", ""),
            "key": request.headers.get("Idempotency-Key", ""),
            "account": request.headers.get("X-Client-Account", ""),
            "traceparent": request.headers.get("traceparent", ""),
            "method": request.method,
            "path": "/" + path,
        }
        ledger.append(entry)
        try:
            await trio.sleep(work_seconds)
        finally:
            state["running"] -= 1
        answer = expected_answer(request.method, "/" + path, request.query_string, body)
        headers = {"X-Request-Id": entry["request_id"]}
        return Response(answer, 200, headers, content_type="application/json")

    return app
