"""Explains where a request would go now, and why, without sending it.

The live policies answer, through :class:`ShadowState`. Nothing is recorded: no
reservation, no allowance, no wait at the gate, no trial of a quarantine, no draw
from the random numbers of requests.
"""

import copy
import random
from dataclasses import dataclass, replace
from urllib.parse import parse_qs

import msgspec

from wasabistage.base import Policy
from wasabistage.edge._choice import (
    build_gate_query,
    get_request_rank,
    get_rest_seconds,
    get_service,
    get_version_time_left,
    may_hold_request,
    needs_engine,
    select_server,
)
from wasabistage.edge._exchange import Exchange
from wasabistage.edge._messages import CallerRequest, Prompt, PromptPart
from wasabistage.fleet import NO_KEY, Caller
from wasabistage.http1 import Answer
from wasabistage.quarantine import QuarantineQuery, TrialDue
from wasabistage.routing import HealthQuery, PaceQuery, SilenceQuery
from wasabistage.topology import AddressQuery

PATH = b"/explain"
MAX_PARTS = 64  # parts of a prompt
#: Servers that are listed with the rule that excludes them, so that an answer at the
#: largest deployment stays below 200 KB.
MAX_EXCLUDED = 1200
FIELDS = (
    "host",
    "path",
    "service",
    "model",
    "tokens",
    "parts",
    "account",
    "failure_domain",
)
JSON_HEADERS = ((b"Content-Type", b"application/json"),)


class ExplainError(Exception):
    """The question can't be read."""


@dataclass(frozen=True, kw_only=True)
class ExplainQuery:
    """Question where a request would go.

    :param host: host of the request, without its port.
    :param path: its path.
    :param service: service among the route's targets; ``""`` for the heaviest one.
    :param prompt: its :class:`Prompt`, or ``None``.
    :param account: name of the client account, or ``""``.
    :param failure_domain: failure domain of the caller, or ``""``.
    """

    host: str
    path: str
    service: str = ""
    prompt: Prompt | None = None
    account: str = ""
    failure_domain: str = ""


def decode_query(text):
    """Decode the query of a target.

    :param text: the part behind the question mark.
    :return: an :class:`ExplainQuery`.
    :raises ExplainError: if it can't be read; the message names the field.
    """
    fields = {name: rows[0] for name, rows in parse_qs(text, max_num_fields=32).items()}
    unknown = sorted(set(fields) - set(FIELDS))
    if unknown:
        raise ExplainError(f"unknown field {unknown[0][:40]!r}; known: {FIELDS}")
    for name in ("host", "path"):
        if not fields.get(name):
            raise ExplainError(f"the field {name} is missing")
    return ExplainQuery(
        host=fields["host"].partition(":")[0].lower(),
        path=fields["path"],
        service=fields.get("service", ""),
        prompt=decode_prompt(fields),
        account=fields.get("account", ""),
        failure_domain=fields.get("failure_domain", ""),
    )


def decode_prompt(fields):
    """Return the :class:`Prompt` that the fields describe, or ``None``."""
    if not fields.get("model"):
        return None
    prompt_tokens, _, output_tokens = fields.get("tokens", "").partition(",")
    rows = fields.get("parts", "").split(",")[:MAX_PARTS]
    pairs = [row.strip().partition(":") for row in rows if row.strip()]
    return Prompt(
        model=fields["model"],
        prompt_tokens=decode_count("tokens", prompt_tokens or "0"),
        output_tokens=decode_count("tokens", output_tokens or "0"),
        parts=tuple(
            PromptPart(part=part, tokens=decode_count("parts", tokens))
            for part, _, tokens in pairs
        ),
    )


def decode_count(name, text):
    """Return a number of tokens.

    :param name: name of the field, for the error.
    :param text: its digits.
    :raises ExplainError: if it is none.
    """
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise ExplainError(f"{text[:40]!r} in the field {name} is not a number")
    return int(text)


def copy_policy(policy):
    """Return a copy of a policy whose tables can change without the policy's.

    What the tables hold is shared: questions add to tables, but change no entry.

    :param policy: a :class:`wasabistage.base.Policy`.
    """
    copied = copy.copy(policy)
    for name, value in vars(policy).items():
        if isinstance(value, dict | list | set):
            setattr(copied, name, copy.copy(value))
        elif isinstance(value, Policy):
            setattr(copied, name, copy_policy(value))
    return copied


class Recorder:
    """A policy whose questions are kept.

    :param policy: the policy that answers them.
    """

    def __init__(self, policy):
        self._policy = policy
        self.queries = []

    def __getattr__(self, name):
        return getattr(self._policy, name)

    def decide(self, query, now):
        """Keep a query and answer it as the policy does."""
        self.queries.append(query)
        return self._policy.decide(query, now)


class ShadowState:
    """An :class:`EdgeState` for questions that must leave no trace.

    :param state: the :class:`EdgeState`.
    """

    def __init__(self, state):
        self._state = state
        #: The gate counts the prompts that it lets wait, and the routers add servers
        #: that are new to them.
        self.gate = copy_policy(state.gate)
        self.random = random.Random()
        part_router = copy_policy(state.part_router)
        # It drops saves whose time is over.
        part_router.parts = copy.copy(part_router.parts)
        self.part_router = Recorder(part_router)
        self.plain_router = Recorder(copy_policy(state.plain_router))

    def __getattr__(self, name):
        return getattr(self._state, name)


class Explainer:
    """Answers questions where a request would go.

    :param state: an :class:`EdgeState`.
    :param selector: the :class:`wasabistage.topology.EntrySelector` that selects the
        entries that callers are named.
    """

    def __init__(self, state, selector):
        self.state = state
        self.selector = selector

    def accepts(self, request):
        """Return whether a request asks for an explanation.

        :param request: a :class:`wasabistage.http1.Request`.
        """
        return request.target.partition(b"?")[0] == PATH

    def answer(self, request):
        """Return the :class:`wasabistage.http1.Answer` to a request.

        :param request: a :class:`wasabistage.http1.Request`.
        """
        text = request.target.partition(b"?")[2].decode("latin-1")
        try:
            query = decode_query(text)
        except (ExplainError, ValueError) as error:
            body = msgspec.json.encode({"error": str(error)})
            return Answer(status=400, headers=JSON_HEADERS, body=body)
        self.state.metrics.count("explain.answered")
        body = msgspec.json.encode(self.explain(query))
        return Answer(status=200, headers=JSON_HEADERS, body=body)

    def explain(self, query):
        """Return the explanation, a dict that JSON can hold.

        :param query: an :class:`ExplainQuery`.
        """
        state, now = self.state, self.state.timer.now()
        found = {
            "entry": self._describe_entry(),
            "entries": self._find_entries(query.failure_domain, now),
            "rules": [],
        }
        route = state.routes.find_route(query.host, query.path.encode())
        if not route:
            return {**found, "outcome": "refused", "reason": route.reason}
        found["route"] = self._describe_route(route)
        caller = self._find_caller(route, query.account)
        found["rules"] = self._check_rules(route, caller, query, now)
        account = caller.account if caller else None
        found["account"] = self._describe_account(route, account)
        service = query.service or max(route.targets, key=lambda row: row[1])[0]
        found["service"] = service
        exchange = self._build_exchange(query, route, account, service, now)
        found |= self._explain_choice(exchange, now)
        failed = [rule for rule in found["rules"] if not rule["passed"]]
        if failed:
            found["outcome"], found["reason"] = "refused", failed[0]["reason"]
        return found

    def _describe_entry(self):
        state, instance = self.state, self.state.settings.instance
        configuration = state.routes.configuration
        age = state.servers_age
        return {
            "name": instance.name,
            "failure_domain": instance.failure_domain,
            "ready": state.is_ready,
            "configuration": configuration and configuration.version,
            "list_age": round(age, 3) if age < 1e9 else None,
            "waiting": len(state.gate.waiting_),
        }

    def _find_entries(self, failure_domain, now):
        """Return the names of the entries that a caller without an IP is named."""
        members = tuple(self.state.view.get_members().values())
        query = AddressQuery(
            members=members,
            failure_domain=failure_domain,
            caller="",
            draws=(0.0,) * len(members),
        )
        return sorted(item.name for item in self.selector.decide(query, now))

    def _describe_route(self, route):
        return {
            "name": route.name,
            "kind": str(route.kind),
            "rank": route.rank,
            "objective": route.objective,
            "timeout": route.timeout,
            "max_servers": route.max_servers,
            "targets": {service: weight for service, weight in route.targets},
        }

    def _describe_account(self, route, account):
        found = {"name": "", "dedicated": False}
        if account is not None:
            found = {"name": account.name, "dedicated": account.is_dedicated}
        return {**found, "rank": get_request_rank(route, account)}

    def _find_caller(self, route, account):
        """Return the :class:`wasabistage.fleet.Caller`, or a sentinel."""
        accounts = self.state.routes.configuration.accounts
        if accounts is None:
            return Caller()
        if account in accounts:
            return Caller(account=accounts[account])
        if route.is_anonymous:
            return Caller()
        if not account:
            return NO_KEY
        return NO_KEY.with_reason("no client account has this name")

    def _check_rules(self, route, caller, query, now):
        """Return the rules that are checked before a server is selected."""
        state, rules = self.state, []

        def add(rule, passed, reason):
            reason = "" if passed else reason
            rules.append({"rule": rule, "passed": bool(passed), "reason": reason})

        # A deadline isn't known, so that requests of a stopping entry count as refused.
        add("draining", not state.is_draining, "the entry is stopping")
        accounts = state.routes.configuration.accounts
        if accounts is not None and not route.is_anonymous:
            fresh = state.freshness.decide(now)
            add("keys_confirmed", fresh, getattr(fresh, "reason", ""))
        add("account", caller, getattr(caller, "reason", ""))
        if query.prompt is not None:
            parts = tuple(part.part for part in query.prompt.parts[:-1])
            question = QuarantineQuery(request="", parts=parts)
            verdict = state.quarantine.decide(question, now)
            is_due = isinstance(verdict, TrialDue)
            reason = "one prompt with these parts is tried" if is_due else ""
            reason = reason or getattr(verdict, "reason", "")
            add("quarantine", verdict and not is_due, reason)
        return rules

    def _build_exchange(self, query, route, account, service, now):
        request = CallerRequest(
            request_id="",
            method=b"GET" if query.prompt is None else b"POST",
            target=query.path.encode(),
            host=query.host,
            path=query.path.encode(),
            prompt=query.prompt,
            begun_at=now,
        )
        return Exchange(
            request=request,
            route=route,
            account=account,
            service=service,
            taken_under=self.state.routes.configuration,
            channel=None,
            nursery=None,
            deadline_at=now + route.timeout,
        )

    def _explain_choice(self, exchange, now):
        shadow = ShadowState(self.state)
        choice = select_server(shadow, exchange, set(), now)
        found = {"outcome": "refused", "choice": None, "candidates": []}
        if choice:
            found["outcome"] = "sent"
            found["choice"] = choice.record.server
        else:
            found["reason"] = str(choice.reason)
        if shadow.part_router.queries:
            query = shadow.part_router.queries[-1]
            found["candidates"] = self._explain_engines(shadow, exchange, query, now)
        elif shadow.plain_router.queries:
            query = shadow.plain_router.queries[-1]
            found["candidates"] = [
                self._describe_plain_server(item) for item in query.candidates
            ]
        if choice and choice.plan is not None:
            verdict = self._ask_gate(shadow, exchange, choice, now)
            found["gate"] = verdict
            if verdict["verdict"] != "PASS":
                is_late = verdict["verdict"] == "TOO_LATE"
                found["outcome"] = "refused" if is_late else "waits"
                found["reason"] = verdict["reason"]
            if self.state.view.is_large:
                found["turns"] = {
                    "room": choice.room,
                    "waiting": self.state.view.domain_waiting,
                }
        named = {row["server"] for row in found["candidates"]}
        excluded = self._explain_excluded(exchange, named, now)
        found["excluded"] = excluded[:MAX_EXCLUDED]
        found["excluded_count"] = len(excluded)
        return found

    def _explain_engines(self, shadow, exchange, query, now):
        """Describe each engine that was scored, with its own prediction."""
        rows = []
        for candidate in query.candidates:
            row = self._describe_engine(candidate)
            alone = replace(query, candidates=(candidate,))
            plan = shadow.part_router.decide(alone, now)
            if plan:
                row |= {
                    "predicted": round(plan.seconds, 4),
                    "backlog": round(plan.backlog, 4),
                    "computed": plan.tokens,
                    "kept": plan.kept,
                    "fetched": plan.fetched,
                }
                choice = ExplainedChoice(plan=plan)
                row["gate"] = self._ask_gate(shadow, exchange, choice, now)["verdict"]
            else:
                row |= {"rule": "begins_too_late", "reason": plan.reason}
            rows.append(row)
        return sorted(rows, key=lambda row: row.get("predicted", float("inf")))

    def _describe_engine(self, candidate):
        router, record = self.state.part_router, self._get_record(candidate.server)
        return {
            "server": candidate.server,
            "address": candidate.address,
            "failure_domain": record.failure_domain if record is not None else "",
            "weight": round(candidate.weight, 4),
            "version": candidate.version,
            "penalty": round(candidate.penalty, 4),
            "runs": router.get_runs(candidate.server),
            "slots": candidate.slots,
            "reserved_tokens": router.get_reserved_tokens(candidate.server),
            "memory_tokens": candidate.memory_tokens,
        }

    def _describe_plain_server(self, candidate):
        record = self._get_record(candidate.server)
        open_counts = self.state.plain_router.open_counts_
        return {
            "server": candidate.server,
            "address": record.address if record is not None else "",
            "failure_domain": record.failure_domain if record is not None else "",
            "weight": round(candidate.weight, 4),
            "open": open_counts.get(candidate.server, 0),
        }

    def _get_record(self, server):
        return self.state.servers.get(server)

    def _ask_gate(self, shadow, exchange, choice, now):
        verdict = shadow.gate.decide(build_gate_query(shadow, exchange, choice), now)
        if verdict:
            return {"verdict": "PASS", "reason": ""}
        return {"verdict": verdict.name, "reason": verdict.reason}

    def _explain_excluded(self, exchange, named, now):
        """Return the servers of the service that were not scored, with the rule."""
        state, service = self.state, exchange.service
        records = [
            known.record
            for known in state.servers.servers.values()
            if known.record.service == service and known.record.server not in named
        ]
        usable = {item.server for item in state.servers.find_usable(service)}
        healths = {
            item.server: item
            for item in state.health.decide(HealthQuery(service=service), now)
        }
        rows = []
        for record in records:
            rule, reason = self._find_rule(exchange, record, usable, healths, now)
            rows.append({"server": record.server, "rule": rule, "reason": reason})
        return rows

    def _find_rule(self, exchange, record, usable, healths, now):
        """Return the first rule that excludes a server, and the reason."""
        state, server = self.state, record.server
        if record.is_leaving:
            return "leaving", "it announced that it stops"
        if server not in usable:
            return "address_reused", "a newer server has the same address"
        health = healths.get(server)
        if health is None or not health.usable:
            breaker = "unknown" if health is None else str(health.state)
            return "health", f"its breaker is {breaker}"
        rest = get_rest_seconds(state, record, now)
        if rest:
            return "rest", f"it asked for no requests for another {rest:.2f} s"
        if not may_hold_request(state, record, exchange.request, now):
            return "request_bytes", "it holds as many bytes of requests as it may"
        if state.silence.decide(SilenceQuery(server=server), now):
            return "silent", "it has sent no bytes for too long"
        prompt = exchange.request.prompt
        if not needs_engine(exchange, get_service(state, exchange)):
            return "other", "no rule known to this command excludes it"
        return self._find_engine_rule(prompt, record, now)

    def _find_engine_rule(self, prompt, record, now):
        state, server = self.state, record.server
        version = state.swap.version(server, prompt.model)
        if version is None:
            return "version", f"it is not known to run model {prompt.model}"
        if state.swap.is_ordered(server, now):
            return "ordered", "it is loading a version, or about to"
        age = state.swap.age(server, prompt.model, now)
        if get_version_time_left(state, age) <= 0:
            return "old_version", f"a newer version was named {age:.2f} s ago"
        pace = state.pace.decide(PaceQuery(server=server), now)
        return "not_scored", f"other engines were scored; its pace is {pace:.2f}"


@dataclass(frozen=True, kw_only=True)
class ExplainedChoice:
    """Stands for a :class:`Choice` at the gate.

    :param plan: the :class:`wasabistage.routing.PartDecision`.
    """

    plan: object
