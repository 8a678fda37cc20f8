"""Record whole sessions as golden files, and compare them with a new run.

``python -m tools.golden`` compares; ``python -m tools.golden --write`` writes the
files anew, for a person to review the difference. A file holds a caller's requests
and answers, the spans of every hop, and what the backend servers' witnesses saw.
Random identifiers stand as placeholders in the order of their first appearance;
times are left out.
"""

import argparse
import difflib
import json
import re
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path

import httpx
import trio

from standins._engine_state import EngineParams
from standins.fleet import PEER_KEY, ROOT, Fleet, FleetOptions
from tools._morning import choose_cast
from wasabistage.cache import BYTES_PER_TOKEN
from wasabistage.declarations import ServiceKind
from wasabistage.operators import read_spans

FOLDER = ROOT / "tools" / "tests" / "golden"
DEPLOYMENTS = ("padavu", "luminosos")
ENTRIES = 2
PIECES = 2
#: An entry that has read the outcome from the log answers without its home.
HOPS_LEFT_OUT = ("once.forward",)
COUNTED = ("prompt_tokens", "computed_tokens", "cross_account")
CALM_READS = 3
CALM_SECONDS = 0.1
TIMEOUT_SECONDS = 30.0
KEPT_HEADERS = ("content-type", "retry-after")
#: Facts of spans that hold in every run.
KEPT_FACTS = ("server", "service", "call", "account", "error")
RANDOM = (
    ("ticket", re.compile(r"t1\.[0-9a-f]{12,}[A-Za-z0-9_.\-]+")),
    ("stream", re.compile(r"s1-[a-z0-9.\-]+-[0-9a-f]{32,64}")),
    ("request", re.compile(r"(?<![0-9a-f])[0-9a-f]{32}(?![0-9a-f])")),
)


@dataclass
class Exchange:
    """One request of the session with its answer.

    :ivar title: what happens, a sentence.
    :ivar sent: method, path, headers and body.
    :ivar status: HTTP status of the answer.
    :ivar headers: the answer's headers that are kept.
    :ivar body: the answer's body, as lines.
    :ivar hops: the spans, one line each.
    """

    title: str
    sent: dict
    status: int
    headers: dict
    body: list
    hops: list = field(default_factory=list)


class SessionRecorder:
    """Plays one session against a small fleet and records it.

    :param fleet: a running :class:`standins.fleet.Fleet`.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.cast = choose_cast(fleet.deployment)
        self.account = next(iter(fleet.deployment.accounts))
        self.other = list(fleet.deployment.accounts)[1]
        self.http = httpx.Client(timeout=TIMEOUT_SECONDS, trust_env=False)
        self.exchanges = []
        self.names = {}
        # Calls made while the fleet got ready are no part of the session.
        self.before = self._engine_counts()

    def record(self):
        """Play the session.

        :return: the record, a dict for JSON.
        """
        self._ask_entries()
        history = self._open_session()
        self._return(history)
        self._look_up()
        self._buy()
        self._refuse()
        self.http.close()
        return {
            "deployment": self.fleet.deployment.name,
            "exchanges": [vars(item) for item in self.exchanges],
            "witnesses": self._witnesses(),
        }

    def _ask_entries(self):
        answer = self._send("a caller asks which entry to use", "GET", "/v1/entries")
        assert answer.status_code == 200

    def _open_session(self):
        service = self.fleet.deployment.services[self.cast.chat]
        model = self.fleet.deployment.models[service.model]
        size = PIECES * model.piece_tokens * BYTES_PER_TOKEN
        history = [{"role": "user", "content": ("clue " * size)[:size]}]
        text = self._complete("a session is opened with a long history", history)
        history.append({"role": "assistant", "content": text})
        history.append({"role": "user", "content": "and another one?"})
        return history

    def _return(self, history):
        title = "the session returns at the other entry"
        text = self._complete(title, history, entry=2)
        stream_id = self.exchanges[-1].headers["x-stream-id"]
        raw = next(raw for raw, name in self.names.items() if name == stream_id)
        path = f"/v1/streams/{raw}?position=2"
        self._send("its stream is opened again at position 2", "GET", path)
        title = "another client account asks for that stream"
        self._send(title, "GET", path, account=self.other)
        return text

    def _complete(self, title, history, entry=1):
        body = {
            "model": self.cast.chat,
            "messages": history,
            "stream": True,
            "max_tokens": 4,
            "session": "session-1",
        }
        answer = self._send(title, "POST", "/v1/chat/completions", body, entry=entry)
        parts = []
        for line in answer.text.splitlines():
            if line.startswith("data: {") and '"choices"' in line:
                parts.append(json.loads(line[6:])["choices"][0]["delta"]["content"])
        return "".join(parts)

    def _look_up(self):
        call = self.cast.lookup
        path = call.path.replace("/*", "/17") + "?full=yes"
        url = f"/v1/services/{self.cast.shop}{path}"
        self._send("an idempotent call of a plain service", call.method, url)

    def _buy(self):
        answer = self._send("a ticket is taken", "GET", "/v1/entries?tickets=1")
        key = {"Idempotency-Key": answer.json()["tickets"][0]}
        call = self.cast.once
        url = f"/v1/services/{self.cast.shop}{call.path}"
        title = "a non-idempotent call with the ticket"
        self._send(title, call.method, url, b"order 1", headers=key)
        title = "the caller sends it again through the other entry"
        self._send(title, call.method, url, b"order 1", entry=2, headers=key)
        title = "the ticket comes with another body"
        self._send(title, call.method, url, b"order 2", headers=key)
        title = "another client account uses the ticket"
        self._send(title, call.method, url, b"order 1", headers=key, account=self.other)
        title = "the call comes without a key"
        self._send(title, call.method, url, b"order 3")

    def _refuse(self):
        title = "a request with a wrong bearer key"
        self._send(title, "GET", "/v1/entries", key="wrong")
        title = "a prompt for a service that is not declared"
        body = {"model": "nothing", "messages": [{"role": "user", "content": "x"}]}
        self._send(title, "POST", "/v1/chat/completions", body)
        title = "a malformed body"
        self._send(title, "POST", "/v1/chat/completions", b"{")

    def _send(
        self, title, method, path, body=None, entry=1, headers=None, account="", key=""
    ):
        """Send one request, record it, and return the answer."""
        url = f"http://{self.fleet.entry_address(entry)}{path}"
        key = key or f"demo-{account or self.account}-key"
        sent = {"Authorization": f"Bearer {key}", **(headers or {})}
        content = body if isinstance(body, bytes) else None
        data = body if isinstance(body, dict) else None
        answer = self.http.request(
            method, url, headers=sent, content=content, json=data
        )
        self.exchanges.append(
            Exchange(
                title=title,
                sent={
                    "entry": f"entry-{entry}",
                    "request": self._clean(f"{method} {path}"),
                    "headers": {n: self._clean(v) for n, v in sent.items()},
                    "body": self._shorten(body),
                },
                status=answer.status_code,
                headers=self._headers(answer),
                body=self._body(answer),
                hops=self._hops(answer),
            )
        )
        return answer

    def _shorten(self, body):
        if isinstance(body, bytes):
            return body.decode()
        if body is None:
            return ""
        messages = [
            f"{item['role']}: {item['content'][:20]} ({len(item['content'])} bytes)"
            for item in body["messages"]
        ]
        return {**body, "messages": messages}

    def _headers(self, answer):
        kept = {n: answer.headers[n] for n in KEPT_HEADERS if n in answer.headers}
        for name in ("x-request-id", "x-stream-id"):
            if name in answer.headers:
                kept[name] = self._clean(answer.headers[name])
        return kept

    def _body(self, answer):
        text = answer.text
        if '"lifetime"' in text:
            data = answer.json()
            data["entries"] = sorted(item["instance"] for item in data["entries"])
            data["lifetime"] = "some seconds"
            data["tickets_from"] = self._address_name(data["tickets_from"])
            text = json.dumps(data, sort_keys=True)
        return [self._clean(line) for line in text.splitlines() if line]

    def _address_name(self, address):
        for index in range(1, ENTRIES + 1):
            if self.fleet.entry_address(index) == address:
                return f"entry-{index}"
        return address

    def _clean(self, text):
        """Replace random identifiers by placeholders."""
        for kind, pattern in RANDOM:
            text = pattern.sub(lambda found, kind=kind: self._name(kind, found), text)
        return text

    def _name(self, kind, found):
        raw = found.group()
        if raw not in self.names:
            count = sum(name.startswith(f"<{kind}") for name in self.names.values())
            self.names[raw] = f"<{kind}-{count + 1}>"
        return self.names[raw]

    def _hops(self, answer):
        request_id = answer.headers.get("x-request-id")
        if request_id is None:
            return []
        spans = [
            span
            for span in self._settled_spans(request_id)
            if span.name not in HOPS_LEFT_OUT
        ]
        known = {span.span_id for span in spans}
        roots = [span for span in spans if span.parent_id not in known]
        return self._tree(roots, spans, 0)

    def _settled_spans(self, request_id):
        """Read the spans until none was added: some end after the answer."""
        addresses = [self.fleet.peer_address(i) for i in range(1, ENTRIES + 1)]
        ends_at = time.monotonic() + TIMEOUT_SECONDS
        spans, calm = [], 0
        while calm < CALM_READS:
            if time.monotonic() > ends_at:
                raise TimeoutError(f"the spans of {request_id} did not settle in time")
            time.sleep(CALM_SECONDS)
            told = trio.run(read_spans, addresses, PEER_KEY, request_id)
            if None in told:
                # An entry that did not answer may hold further spans.
                calm = 0
                continue
            found = [span for item in told for span in item]
            calm = calm + 1 if len(found) == len(spans) else 0
            spans = found
        return spans

    def _tree(self, branch, spans, depth):
        """Return one line per span; siblings stand in the order of their names."""
        lines = []
        for span in sorted(branch, key=lambda item: (item.name, item.instance)):
            facts = {k: v for k, v in span.attributes.items() if k in KEPT_FACTS}
            shown = " ".join(f"{k}={v}" for k, v in sorted(facts.items()))
            lines.append(f"{'  ' * depth}{span.instance} {span.name} {shown}".rstrip())
            below = [item for item in spans if item.parent_id == span.span_id]
            lines.extend(self._tree(below, spans, depth + 1))
        return lines

    def _engine_counts(self):
        """Return what each engine's witness counted so far."""
        counts = {}
        for server in self.fleet.deployment.servers.values():
            if server.kind is ServiceKind.MODEL:
                state = self.fleet.get(server.name, "/witness/state")
                counts[server.name] = {name: state[name] for name in COUNTED}
        return counts

    def _witnesses(self):
        seen = {}
        for server in self.fleet.deployment.servers.values():
            if server.kind is ServiceKind.PLAIN:
                ledger = self.fleet.get(server.name, "/witness/ledger")["ledger"]
                kept = [item for item in ledger if "/ready" not in item["path"]]
                kept = [item for item in kept if item["key"] or "/17" in item["path"]]
                seen[server.name] = [
                    {k: self._clean(v) for k, v in item.items() if k != "traceparent"}
                    for item in kept
                ]
        for name, counts in self._engine_counts().items():
            before = self.before[name]
            seen[name] = {key: counts[key] - before[key] for key in COUNTED}
        return seen


def play(deployment):
    """Start a small fleet and record one session.

    :param deployment: name of a folder of ``examples``.
    :return: the record as JSON text.
    """
    options = FleetOptions(
        folder=ROOT / "examples" / deployment,
        entries=ENTRIES,
        servers=("engine-1", "app-1"),
        stores=("store-1",),
        engine=EngineParams(cache_pieces=16),
    )
    with Fleet(options) as fleet:
        fleet.publish()
        fleet.wait_served()
        record = SessionRecorder(fleet).record()
    return json.dumps(record, indent=1, sort_keys=True, ensure_ascii=True) + "\n"


def golden_path(deployment):
    """Return the path of a golden file.

    :param deployment: name of the deployment.
    :return: a :class:`pathlib.Path`.
    """
    return Path(FOLDER) / f"{deployment}.json"


def main(argv=None):
    """Compare or write the golden files.

    :param argv: command-line arguments; ``None`` for those of the process.
    :return: exit code, 0 when nothing differs.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--write", action="store_true", help="write the files anew")
    options = parser.parse_args(argv)
    differs = False
    for deployment in DEPLOYMENTS:
        path = golden_path(deployment)
        found = play(deployment)
        known = path.read_text(encoding="utf-8") if path.exists() else ""
        lines = difflib.unified_diff(
            known.splitlines(), found.splitlines(), str(path.name), "now", lineterm=""
        )
        for line in lines:
            differs = True
            print(line)
        if options.write:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(found, encoding="utf-8")
    return 1 if differs and not options.write else 0


if __name__ == "__main__":
    sys.exit(main())
