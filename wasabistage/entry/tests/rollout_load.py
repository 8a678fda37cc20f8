"""Callers and witnesses of the process tests of weight rollouts."""

import json
import threading
import time
from base64 import b64decode
from dataclasses import dataclass, replace

import httpx

from standins._answers import make_answer
from wasabistage.cache import cache_salt
from wasabistage.declarations import ServiceKind
from wasabistage.rollout import GrantFold, GrantRecord, decode_order_record

MODEL = "clue-large"
TOKENS = 4
MAX_SLOTS = 64
WAIT_SECONDS = 60.0
LOOK_SECONDS = 0.02
HEADERS = {"Authorization": "Bearer demo-solvers-key"}


@dataclass
class Asked:
    """One request and what its caller got; times are monotonic, in seconds."""

    entry: int
    number: int
    begun: float
    ended: float = 0.0
    status: int = 0
    text: str = ""
    error: str = ""


class Callers:
    """Threads that ask one request after another, each at its own entry.

    :param fleet: the :class:`standins.fleet.Fleet`.
    :param entries: number of the entry of each caller.
    :param pause: seconds between an answer and the next request.
    """

    def __init__(self, fleet, entries, pause=0.01):
        self.fleet = fleet
        self.pause = pause
        self.asked = []
        self.ended = threading.Event()
        self.threads = [
            threading.Thread(target=self.run, args=(entry, index * 1_000_000))
            for index, entry in enumerate(entries)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.ended.set()
        for thread in self.threads:
            thread.join()

    def run(self, entry, number):
        url = f"http://{self.fleet.entry_address(entry)}/v1/chat/completions"
        with httpx.Client(headers=HEADERS, trust_env=False, timeout=30.0) as http:
            while not self.ended.is_set():
                number += 1
                self.asked.append(ask(http, url, entry, number))
                self.ended.wait(self.pause)

    def answered(self):
        return [item for item in self.asked if item.status == 200]

    def failed(self):
        return [item for item in self.asked if item.status != 200]


def question(number):
    return f"clue {number}?"


def body_of(number):
    return {
        "model": "hints",
        "messages": [{"role": "user", "content": question(number)}],
        "stream": True,
        "max_tokens": TOKENS,
    }


def note(asked, answer):
    asked.status, asked.text = answer.status_code, joined(answer.text)
    if answer.status_code != 200:
        asked.error = answer.text


def ask(http, url, entry, number):
    """Ask for one answer and note what came."""
    asked = Asked(entry, number, time.monotonic())
    try:
        note(asked, http.post(url, json=body_of(number)))
    except httpx.HTTPError as error:
        asked.error = repr(error)
    asked.ended = time.monotonic()
    return asked


async def ask_async(http, fleet, entry, number):
    """Ask within trio; see :func:`ask`."""
    url = f"http://{fleet.entry_address(entry)}/v1/chat/completions"
    asked = Asked(entry, number, time.monotonic())
    try:
        note(asked, await http.post(url, json=body_of(number), headers=HEADERS))
    except httpx.HTTPError as error:
        asked.error = repr(error)
    asked.ended = time.monotonic()
    return asked


def ask_once(fleet, entry):
    url = f"http://{fleet.entry_address(entry)}/v1/chat/completions"
    with httpx.Client(headers=HEADERS, trust_env=False, timeout=30.0) as http:
        return ask(http, url, entry, 0)


def joined(stream):
    data = [line[6:] for line in stream.splitlines() if line.startswith("data: {")]
    items = [json.loads(line) for line in data]
    return "".join(
        item["choices"][0]["delta"].get("content", "")
        for item in items
        if "choices" in item
    )


def version_of(asked, versions):
    """Return the index of the version that made a whole answer, or -1."""
    text = f"user\n{question(asked.number)}\n"
    for index, version in enumerate(versions):
        salt = cache_salt("solvers", MODEL, version)
        if asked.text == "".join(make_answer(salt, f"{MODEL}@{version}", text, TOKENS)):
            return index
    return -1


class Rollouts:
    """Publishes versions to a fleet and looks at what became of them.

    :param fleet: the :class:`standins.fleet.Fleet`.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.deployment = fleet.deployment
        self.versions = [self.deployment.models[MODEL].version]
        self.engines = [
            server.name
            for server in self.deployment.servers.values()
            if server.kind is ServiceKind.MODEL
        ]

    def publish(self):
        """Publish the next version and return its name."""
        version = f"next-{len(self.versions)}"
        model = replace(self.deployment.models[MODEL], version=version)
        models = {**self.deployment.models, MODEL: model}
        self.deployment = replace(self.deployment, models=models)
        self.fleet.publish(self.deployment)
        self.versions.append(version)
        return version

    def serving(self):
        """Tell whether every entry answers a request of the model."""
        return all(
            ask_once(self.fleet, index + 1).status == 200
            for index in range(self.fleet.options.entries)
        )

    def loaded(self, version, engines=()):
        """Name the engines, of all or of some, that hold a version now."""
        return [
            name
            for name in engines or self.engines
            if self.fleet.get(name, "/witness/state")["versions"][MODEL] == version
        ]

    def all_loaded(self, version):
        return len(self.loaded(version)) == len(self.engines)

    def orders(self):
        """Return the orders that each engine took, by name."""
        return {
            name: self.fleet.get(name, "/witness/state")["orders"]
            for name in self.engines
        }

    def log(self):
        """Return the order stream as (offset, record) pairs."""
        page = self.fleet.get("log", "/streams/orders/records?from=0&limit=1000")
        return [
            (item["offset"], decode_order_record(b64decode(item["data"])))
            for item in page["records"]
        ]

    def grants(self, start=0):
        return [
            (offset, record)
            for offset, record in self.log()
            if offset >= start and isinstance(record, GrantRecord)
        ]

    def fold(self, start=0):
        """Fold the order stream.

        :param start: offset from which on takeovers count.
        :return: the fold, and rows of server and holder of the grants that another
            entry took over while they were held.
        """
        fold, taken_over = GrantFold(MAX_SLOTS).reset(), []
        for offset, record in self.log():
            held = fold.state(record.slot).grant
            took_effect = fold.apply(offset, record)
            if took_effect and held and isinstance(record, GrantRecord):
                row = record.server, held.holder
                taken_over += [row] if offset >= start else []
        return fold, taken_over

    def next_offset(self):
        return self.fleet.get("log", "/streams/orders/records?from=0&limit=1")["next"]


def wait_until(check, seconds=WAIT_SECONDS):
    """Wait for a condition; return what it gave, or raise."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = check()
        if found:
            return found
        time.sleep(LOOK_SECONDS)
    raise AssertionError(f"{check} did not hold within {seconds} s")
