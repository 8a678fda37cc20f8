"""What the process tests share: a small fleet, callers, witnesses."""

import os
import time
import unittest
from dataclasses import dataclass, field

import httpx
import trio

from standins._answers import make_answer, prompt_text
from standins._engine_state import EngineParams
from standins.fleet import PEER_KEY, Fleet, FleetOptions
from wasabistage.cache import cache_salt
from wasabistage.client import Client
from wasabistage.declarations import ServiceKind
from wasabistage.once import generate_uuid_key
from wasabistage.operators import read_status

#: Bound of every wait for a condition; no test passes or fails by its length.
PATIENCE_SECONDS = 60.0
POLL_SECONDS = 0.05
CALL_SECONDS = 30.0


def bearer(account):
    """Return the headers of a client account."""
    return {"Authorization": f"Bearer demo-{account}-key"}


def own_key():
    """Make a caller's own key."""
    return generate_uuid_key(time.time(), os.urandom(10))


class ProcessCase(unittest.TestCase):
    """Runs its tests against one fleet of processes."""

    entries = 3
    servers = ("app-1", "app-2")
    stores = ()
    engine = EngineParams()
    timing = "address_lifetime = 2s"
    drain_timeout = 20
    #: Mechanism that the entries run without; the long form sets it.
    without = ""

    @classmethod
    def setUpClass(cls):
        options = FleetOptions(
            entries=cls.entries,
            servers=cls.servers,
            stores=cls.stores,
            engine=cls.engine,
            timing=cls.timing,
            drain_timeout=cls.drain_timeout,
            without=cls.without,
        )
        cls.fleet = Fleet(options)
        cls.addClassCleanup(cls.fleet.stop)
        cls.fleet.start()
        cls.fleet.publish()
        cls.fleet.wait_served()

    def wait(self, condition, what):
        """Wait until a condition holds.

        :param condition: function without arguments.
        :param what: what is waited for, for the failure's message.
        :return: the condition's value.
        """
        end = time.monotonic() + PATIENCE_SECONDS
        while not (value := condition()):
            if time.monotonic() > end:
                self.fail(f"not seen in time: {what}")
            time.sleep(POLL_SECONDS)
        return value

    def seeds(self):
        """Return the callers' addresses of all entries."""
        return [self.fleet.entry_address(n) for n in range(1, self.entries + 1)]

    def status(self):
        """Ask every entry for its status; ``None`` for one that does not answer."""
        peers = [self.fleet.peer_address(n) for n in range(1, self.entries + 1)]
        return trio.run(read_status, peers, PEER_KEY)

    def expect_idle(self):
        """Wait until no entry has work under way: nothing leaked."""

        def idle():
            left = [
                (item.instance, name, count)
                for item in self.status()
                if item is not None
                for name, count in item.metrics.items()
                if name.startswith("work.") and count
            ]
            self.left = left
            return not left

        try:
            self.wait(idle, "idle entries")
        except AssertionError as error:
            raise AssertionError(f"work under way leaked: {self.left}") from error

    def ledger(self):
        """Return what the plain services ran."""
        return [
            entry
            for server in self.fleet.deployment.servers.values()
            if server.kind is ServiceKind.PLAIN
            for entry in self.fleet.get(server.name, "/witness/ledger")["ledger"]
        ]

    def fault_all(self, kind, **faults):
        """Order faults from every backend server of a kind."""
        for server in self.fleet.deployment.servers.values():
            if server.kind is kind:
                self.fleet.fault(server.name, **faults)

    def client(self, account="solvers", **options):
        """Build a caller."""
        return Client(self.seeds(), f"demo-{account}-key", seed=1, **options)

    def expected(self, account, service, messages, tokens, version=None):
        """Compute the answer that the engine's stand-in makes."""
        model = self.fleet.deployment.models[
            self.fleet.deployment.services[service].model
        ]
        version = version or model.version
        salt = cache_salt(account, model.name, version)
        made = make_answer(
            salt, f"{model.name}@{version}", prompt_text(messages), tokens
        )
        return "".join(made)

    def engine_sum(self, name):
        """Sum a count of the engines' witnesses."""
        return sum(
            self.fleet.get(server.name, "/witness/state")[name]
            for server in self.fleet.deployment.servers.values()
            if server.kind is ServiceKind.MODEL
        )


@dataclass
class Purchases:
    """Sends keyed calls and remembers every answer by key.

    :ivar fleet: the fleet.
    :ivar answers: answers that say the call was run, by key.
    :ivar refused: keys of which an answer said *not run*.
    :ivar unknown: number of answers that said *outcome unknown*.
    """

    fleet: Fleet
    answers: dict = field(default_factory=dict)
    refused: set = field(default_factory=set)
    unknown: int = 0

    async def tickets(self, http, entry, count):
        """Take tickets of one entry."""
        taken = []
        while len(taken) < count:
            url = f"http://{self.fleet.entry_address(entry)}/v1/entries"
            answer = await http.get(url, params={"tickets": min(16, count)})
            taken.extend(answer.json()["tickets"])
        return taken[:count]

    async def attempt(self, http, entry, key, inquire=False):
        """Try one key at one entry.

        :return: ``run``, ``no``, ``unknown`` or ``lost``.
        """
        address = self.fleet.entry_address(entry)
        headers = {"Idempotency-Key": key}
        if inquire:
            headers["Idempotency-Inquiry"] = "1"
        url = f"http://{address}/v1/services/shop/hints/buy"
        try:
            answer = await http.post(url, content=key.encode(), headers=headers)
        except httpx.HTTPError:
            return "lost"
        if answer.status_code == 200:
            self.answers.setdefault(key, set()).add(answer.content)
            return "run"
        ran = answer.json()["error"]["ran"]
        if ran == "no":
            self.refused.add(key)
        else:
            self.unknown += 1
        return ran

    async def insist(self, http, entries, key, rounds=3):
        """Try a key at entry after entry until its outcome is known."""
        for _ in range(rounds):
            for entry in entries:
                if await self.attempt(http, entry, key) == "run":
                    return
            await trio.sleep(0.3)

    def judge(self, case, ledger):
        """Check the promises against the services' ledger."""
        counts = {}
        for entry in ledger:
            if entry["key"]:
                counts[entry["key"]] = counts.get(entry["key"], 0) + 1
        doubled = {key: n for key, n in counts.items() if n > 1}
        case.assertEqual(doubled, {}, "ran more than once")
        case.assertEqual(self.refused & set(counts), set(), "said not run, but ran")
        case.assertEqual(set(self.answers) - set(counts), set(), "said run, but not")
        unequal = [key for key, bodies in self.answers.items() if len(bodies) > 1]
        case.assertEqual(unequal, [], "unequal answers of one key")
