"""The short morning that the demo plays through the public interface."""

import random
from contextlib import AsyncExitStack
from dataclasses import dataclass, field, replace

import trio

from standins._answers import make_answer, prompt_text
from standins.fleet import PEER_KEY
from wasabistage.base import Rank
from wasabistage.cache import BYTES_PER_TOKEN, cache_salt
from wasabistage.client import Client
from wasabistage.declarations import ServiceKind
from wasabistage.exceptions import WasabistageError
from wasabistage.operators import read_status

SESSIONS = 10
HISTORY_PIECES = 3
FILLERS = 14
FILLER_PIECES = 4
PURCHASES = 12
TAGS = 30
ANSWER_TOKENS = 12
LONG_ANSWER_TOKENS = 150
CONFIG_SECONDS = 5.0
WORDS = (
    "vowel anagram hidden clue grid letter across down nudge river lamp tube".split()
)


@dataclass(frozen=True, kw_only=True)
class Cast:
    """The services and calls of a deployment that the morning uses.

    :param chat: name of an interactive model service.
    :param batch: name of a background model service.
    :param shop: name of a plain service.
    :param once: its non-idempotent :class:`wasabistage.declarations.Call`.
    :param lookup: its idempotent :class:`wasabistage.declarations.Call`.
    """

    chat: str
    batch: str
    shop: str
    once: object
    lookup: object


def choose_cast(deployment):
    """Find the services that the morning uses.

    :param deployment: a :class:`wasabistage.declarations.Deployment`.
    :return: a :class:`Cast`.
    """
    by_rank, plain = {}, None
    for service in deployment.services.values():
        if service.kind is ServiceKind.PLAIN:
            plain = service
            continue
        by_rank[next(iter(service.calls.values())).rank] = service.name
    calls = plain.calls.values()
    return Cast(
        chat=by_rank[Rank.INTERACTIVE],
        batch=by_rank[Rank.BACKGROUND],
        shop=plain.name,
        once=next(call for call in calls if not call.idempotent),
        lookup=next(call for call in calls if call.idempotent),
    )


@dataclass
class Morning:
    """What the morning has seen.

    :ivar first_tokens: first-token times by phase, in seconds.
    :ivar prompt_tokens: prompt tokens by phase.
    :ivar cached_tokens: prompt tokens not recomputed, by phase.
    :ivar purchases: counts by outcome.
    :ivar served: requests answered by rank.
    :ivar refused: requests refused by rank.
    :ivar by_account: first-token times by account, in seconds.
    :ivar broken: promises that broke, a sentence each.
    :ivar config_seconds: time until a new configuration was in force everywhere.
    :ivar resumed: answers that went on over another entry.
    """

    first_tokens: dict = field(default_factory=dict)
    prompt_tokens: dict = field(default_factory=dict)
    cached_tokens: dict = field(default_factory=dict)
    purchases: dict = field(default_factory=dict)
    served: dict = field(default_factory=dict)
    refused: dict = field(default_factory=dict)
    by_account: dict = field(default_factory=dict)
    broken: list = field(default_factory=list)
    config_seconds: float = 0.0
    resumed: int = 0


class MorningPlayer:
    """Plays the morning against a running fleet.

    :param fleet: a :class:`standins.fleet.Fleet`.
    :param seed: seed of the texts and the order.
    """

    def __init__(self, fleet, seed=1):
        self.fleet = fleet
        self.seed = seed
        self.random = random.Random(seed)
        self.cast = choose_cast(fleet.deployment)
        self.seen = Morning()
        self.accounts = list(fleet.deployment.accounts)
        self.histories = {}
        self.clients = {}

    def run(self):
        """Play it.

        :return: the :class:`Morning`.
        """
        trio.run(self._play_with_clients)
        return self.seen

    async def _play_with_clients(self):
        async with AsyncExitStack() as stack:
            for account in self.accounts:
                client = self._make_client(account)
                self.clients[account] = await stack.enter_async_context(client)
            await self._play()

    def _make_client(self, account):
        seeds = [
            self.fleet.entry_address(index)
            for index in range(1, self.fleet.options.entries + 1)
        ]
        return Client(seeds, f"demo-{account}-key", seed=self.seed)

    async def _play(self):
        await self._say("sessions are opened", self._open_sessions)
        await self._say("other prompts push them out of memory", self._turn_over)
        await self._say("the sessions return", self._return_sessions)
        await self._say("purchases, each sent again by its caller", self._purchase)
        await self._say("a background batch", self._tag)
        await self._say("one entry is killed under streams", self._kill_entry)
        await self._say("a new configuration is published", self._publish)

    async def _say(self, what, step):
        print(f"- {what}")
        await step()

    def _text(self, tokens):
        """Make a text of a length in tokens."""
        size = tokens * BYTES_PER_TOKEN
        words = []
        length = 0
        while length < size:
            word = self.random.choice(WORDS)
            words.append(word)
            length += len(word) + 1
        return " ".join(words)[:size]

    def _piece_tokens(self):
        service = self.fleet.deployment.services[self.cast.chat]
        return self.fleet.deployment.models[service.model].piece_tokens

    async def _open_sessions(self):
        async with trio.open_nursery() as nursery:
            for number in range(SESSIONS):
                account = self.accounts[number % len(self.accounts)]
                text = self._text(HISTORY_PIECES * self._piece_tokens() + 50)
                history = [{"role": "user", "content": text}]
                self.histories[account, f"session-{number}"] = history
                nursery.start_soon(self._turn, account, f"session-{number}", "opened")
        # Exports run in the background; give them their time.
        await trio.sleep(2.0)

    async def _turn(self, account, session, phase, tokens=ANSWER_TOKENS):
        history = self.histories[account, session]
        answer = await self._ask(
            account, self.cast.chat, history, phase, tokens, session
        )
        if answer is not None:
            history.append({"role": "assistant", "content": answer.text})
            history.append({"role": "user", "content": "and another hint?"})

    async def _ask(self, account, service, messages, phase, tokens, session=""):
        rank = self._rank_of(service)
        client = self.clients[account]
        try:
            answer = await client.complete(
                service, messages, session=session, max_tokens=tokens
            )
        except WasabistageError as error:
            self._count(self.seen.refused, rank)
            if phase != "tagged":
                self.seen.broken.append(f"a prompt failed: {error}")
            return None
        self._check_answer(account, service, messages, tokens, answer)
        self._count(self.seen.served, rank)
        self.seen.first_tokens.setdefault(phase, []).append(answer.first_token)
        self.seen.by_account.setdefault(account, []).append(answer.first_token)
        self._count(self.seen.prompt_tokens, phase, answer.prompt_tokens)
        self._count(self.seen.cached_tokens, phase, answer.cached_tokens)
        self.seen.resumed += answer.attempts > 1
        return answer

    def _rank_of(self, service):
        calls = self.fleet.deployment.services[service].calls.values()
        return next(iter(calls)).rank.name.lower()

    def _count(self, counts, name, value=1):
        counts[name] = counts.get(name, 0) + value

    def _check_answer(self, account, service, messages, tokens, answer):
        name = self.fleet.deployment.services[service].model
        model = self.fleet.deployment.models[name]
        salt = cache_salt(account, model.name, model.version)
        full_name = f"{model.name}@{model.version}"
        made = make_answer(salt, full_name, prompt_text(messages), tokens)
        if answer.text != "".join(made):
            self.seen.broken.append(
                f"an answer of {account} is not its own or not whole"
            )

    async def _turn_over(self):
        async with trio.open_nursery() as nursery:
            for _ in range(FILLERS * 6):
                account = self.random.choice(self._large_accounts())
                text = self._text(FILLER_PIECES * self._piece_tokens())
                messages = [{"role": "user", "content": text}]
                nursery.start_soon(self._filler, account, messages)
                await trio.sleep(0.05)

    def _large_accounts(self):
        """Return the accounts whose limits leave room for many long prompts."""
        accounts = self.fleet.deployment.accounts
        return [name for name in self.accounts if accounts[name].weight > 1]

    async def _filler(self, account, messages):
        await self._ask(account, self.cast.chat, messages, "filler", 2)

    async def _return_sessions(self):
        for account, session in self.histories:
            await self._turn(account, session, "returned")

    async def _purchase(self):
        async with trio.open_nursery() as nursery:
            for number in range(PURCHASES):
                account = self.accounts[number % len(self.accounts)]
                nursery.start_soon(self._buy, account, number)
        self._check_ledger()

    async def _buy(self, account, number):
        call = self.cast.once
        body = f"order {number}".encode()
        client = self.clients[account]
        answer = await client.entries_.ask(tickets=1)
        outcomes = []
        for _ in range(2):
            outcomes.append(await self._buy_with(client, call, body, answer))
        if outcomes[0] != outcomes[1]:
            self.seen.broken.append("two attempts with one key were answered unlike")
        self._count(self.seen.purchases, outcomes[0][0])

    async def _buy_with(self, client, call, body, answer):
        try:
            done = await client.run_once(
                self.cast.shop, call.method, call.path, body, key=answer.tickets[0]
            )
        except WasabistageError as error:
            return ("refused" if error.ran == "no" else "unknown"), b""
        return "run", done.body

    def _check_ledger(self):
        seen = {}
        for server in self.fleet.deployment.servers.values():
            if server.kind is ServiceKind.PLAIN:
                for entry in self.fleet.get(server.name, "/witness/ledger")["ledger"]:
                    if entry["key"]:
                        seen[entry["key"]] = seen.get(entry["key"], 0) + 1
        doubled = sum(count > 1 for count in seen.values())
        self.seen.purchases["doubled"] = doubled
        if doubled:
            self.seen.broken.append(f"{doubled} purchases ran more than once")
        ran = self.seen.purchases.get("run", 0)
        if len(seen) < ran:
            self.seen.broken.append("a purchase was answered as run and was not")

    async def _tag(self):
        async with trio.open_nursery() as nursery:
            for _ in range(TAGS):
                account = self.random.choice(self.accounts)
                messages = [{"role": "user", "content": self._text(200)}]
                nursery.start_soon(self._tag_one, account, messages)

    async def _tag_one(self, account, messages):
        await self._ask(account, self.cast.batch, messages, "tagged", 4)

    async def _kill_entry(self):
        async with trio.open_nursery() as nursery:
            for account, session in self.histories:
                nursery.start_soon(
                    self._turn, account, session, "under a kill", LONG_ANSWER_TOKENS
                )
            await trio.sleep(0.8)
            self.fleet.kill(self.fleet.entry_names[0])

    async def _publish(self):
        deployment = self.fleet.deployment
        name, account = next(iter(deployment.accounts.items()))
        accounts = {**deployment.accounts, name: replace(account, weight=5.0)}
        changed = replace(deployment, accounts=accounts)
        started = trio.current_time()
        outcome = await self.fleet.publish_async(changed)
        alive = range(2, self.fleet.options.entries + 1)
        addresses = [self.fleet.peer_address(index) for index in alive]
        with trio.move_on_after(CONFIG_SECONDS * 2):
            while True:
                status = await read_status(addresses, PEER_KEY)
                versions = [item.config_version for item in status if item]
                if len(versions) == len(alive) and min(versions) >= outcome.version:
                    break
                await trio.sleep(0.1)
        self.seen.config_seconds = trio.current_time() - started
        if self.seen.config_seconds > CONFIG_SECONDS:
            self.seen.broken.append("the configuration was not in force in time")
