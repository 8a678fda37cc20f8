"""Faults between the parts of a deployment: references, overlaps, sums."""

from collections import defaultdict
from dataclasses import dataclass

from wasabistage.base import Rank
from wasabistage.declarations._model import ServiceKind
from wasabistage.declarations._problem import suggest

SAFE_METHODS = ("GET", "HEAD")
# Sums of decimal fractions such as 0.5 + 0.3 + 0.2 may exceed 1 by rounding.
FLOOR_TOLERANCE = 1e-9


@dataclass(frozen=True, kw_only=True)
class Fault:
    """A fault between sections.

    :param kind: kind of the section to mend.
    :param name: its name.
    :param key: the key to mend; empty for the section itself.
    :param what: what is wrong.
    :param remedy: what to do about it.
    """

    kind: str
    name: str
    key: str = ""
    what: str
    remedy: str


def find_faults(deployment, declared=frozenset()):
    """Find every fault between the parts of a deployment.

    :param deployment: a :class:`wasabistage.declarations.Deployment`.
    :param declared: kind and name of further sections, which are declared but have
        faults of their own.
    :return: a list of :class:`Fault`.
    """
    names = defaultdict(set)
    for kind, name in declared:
        names[kind].add(name)
    names["service"].update(deployment.services)
    names["model"].update(deployment.models)
    names["server"].update(deployment.servers)
    names["domain"].update(deployment.failure_domains)
    faults = []
    faults.extend(_check_services(deployment, names))
    faults.extend(_check_orphan_calls(names))
    faults.extend(_check_servers(deployment, names))
    faults.extend(_check_domains(deployment, names))
    faults.extend(_check_addresses(deployment))
    faults.extend(_check_accounts(deployment))
    faults.extend(_check_floors(deployment))
    return faults


def _check_services(deployment, names):
    for service in deployment.services.values():
        is_model = service.kind is ServiceKind.MODEL
        if is_model and not service.model:
            yield Fault(
                kind="service",
                name=service.name,
                what=f"service {service.name!r} of kind model names no model",
                remedy="add model = NAME, or write kind = plain",
            )
        elif not is_model and service.model:
            yield Fault(
                kind="service",
                name=service.name,
                key="model",
                what=f"plain service {service.name!r} names a model",
                remedy="remove model, or write kind = model",
            )
        elif is_model and service.model not in names["model"]:
            yield _dangling("service", service, "model", service.model, names["model"])
        yield from _check_calls(service)
        yield from _check_answered(deployment, service, names)


def _check_answered(deployment, service, names):
    """A service that no server answers would refuse every call."""
    if len(names["server"]) > len(deployment.servers):
        return
    for server in deployment.servers.values():
        if service.name in server.services:
            return
        if service.model and service.model in server.models:
            return
    yield Fault(
        kind="service",
        name=service.name,
        what=f"no server answers service {service.name!r}",
        remedy="name it in services (or its model in models) of a [server NAME]",
    )


def _check_calls(service):
    calls = sorted(service.calls.values(), key=lambda call: call.name)
    for call in calls:
        if not call.idempotent and call.method in SAFE_METHODS:
            yield Fault(
                kind="call",
                name=f"{service.name}.{call.name}",
                key="method",
                what=f"call {call.name!r} is not idempotent but uses {call.method}",
                remedy="use POST, or write idempotent = yes",
            )
    for index, call in enumerate(calls):
        for earlier in calls[:index]:
            if call.method == earlier.method and _overlap(call.path, earlier.path):
                yield Fault(
                    kind="call",
                    name=f"{service.name}.{call.name}",
                    key="path",
                    what=f"{call.method} {call.path} of call {call.name!r} overlaps "
                    f"{earlier.path} of call {earlier.name!r}",
                    remedy="give them paths or methods that no request can share",
                )


def _overlap(one, other):
    """Tell whether one request's path can match both."""
    if one.endswith("/*") and other.endswith("/*"):
        return one[:-1].startswith(other[:-1]) or other[:-1].startswith(one[:-1])
    if one.endswith("/*"):
        return other.startswith(one[:-1])
    if other.endswith("/*"):
        return one.startswith(other[:-1])
    return one == other


def _check_orphan_calls(names):
    for call in sorted(names["call"]):
        service = call.rpartition(".")[0]
        if service not in names["service"]:
            yield Fault(
                kind="call",
                name=call,
                what=f"call {call!r} names the unknown service {service!r}",
                remedy=suggest(service, names["service"]),
            )


def _check_servers(deployment, names):
    for server in deployment.servers.values():
        is_model = server.kind is ServiceKind.MODEL
        wanted, other = ("models", "services") if is_model else ("services", "models")
        if not getattr(server, wanted):
            yield Fault(
                kind="server",
                name=server.name,
                what=f"server {server.name!r} names no {wanted}",
                remedy=f"add {wanted} = NAME, or another kind",
            )
        if getattr(server, other):
            yield Fault(
                kind="server",
                name=server.name,
                key=other,
                what=f"server {server.name!r} of kind {server.kind} names {other}",
                remedy=f"remove {other}, or change kind",
            )
        for key in ("services", "models"):
            known = names[key[:-1]]
            for name in getattr(server, key):
                if name not in known:
                    yield _dangling("server", server, key, name, known)
        for name in server.services:
            service = deployment.services.get(name)
            if not is_model and service and service.kind is ServiceKind.MODEL:
                yield Fault(
                    kind="server",
                    name=server.name,
                    key="services",
                    what=f"plain server {server.name!r} names model service {name!r}",
                    remedy="name the service's model in a server of kind model",
                )


def _check_domains(deployment, names):
    if not names["domain"]:
        return
    for kind in ("server", "store"):
        for part in getattr(deployment, f"{kind}s").values():
            domain = part.failure_domain
            if domain and domain not in names["domain"]:
                yield _dangling(kind, part, "failure_domain", domain, names["domain"])


def _check_addresses(deployment):
    seen = {}
    parts = [("server", part) for part in deployment.servers.values()]
    parts += [("store", part) for part in deployment.stores.values()]
    places = [(kind, part.name, part.address) for kind, part in parts]
    if deployment.weight_store.address:
        places.append(("weight_store", "", deployment.weight_store.address))
    for kind, name, address in places:
        label = f"{kind} {name}".strip()
        if address in seen:
            yield Fault(
                kind=kind,
                name=name,
                key="address",
                what=f"address {address} of {label} belongs to {seen[address]}",
                remedy="give each its own address",
            )
        seen.setdefault(address, label)


def _check_accounts(deployment):
    seen = {}
    for account in deployment.accounts.values():
        for digest in account.key_hashes:
            if digest in seen:
                yield Fault(
                    kind="account",
                    name=account.name,
                    key="key_hashes",
                    what=f"accounts {seen[digest]!r} and {account.name!r} "
                    "share a bearer key",
                    remedy="give each account keys of its own",
                )
            seen.setdefault(digest, account.name)


def _check_floors(deployment):
    total = sum(deployment.rank_floors.values())
    if total <= 1 + FLOOR_TOLERANCE:
        return
    worst = max(Rank, key=lambda rank: deployment.rank_floors.get(rank, 0))
    yield Fault(
        kind="rank",
        name=worst.name.lower(),
        key="floor",
        what=f"floors of the ranks sum to {total:g}, above 1",
        remedy="lower them; ranks without a section keep their default floor",
    )


def _dangling(kind, part, key, name, known):
    return Fault(
        kind=kind,
        name=part.name,
        key=key,
        what=f"{kind} {part.name!r} names the unknown {key} {name!r}",
        remedy=suggest(name, known),
    )
