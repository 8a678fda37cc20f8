"""Differences between two deployments, for people."""

from dataclasses import dataclass, fields, is_dataclass
from enum import Enum, StrEnum

HASH_CHARS = 8


class ChangeKind(StrEnum):
    """What happened to a section or a key."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, kw_only=True)
class Change:
    """One difference.

    :param kind: what happened.
    :param section: kind of the section.
    :param name: its name; empty when it has none.
    :param key: the changed key; empty for a section added or removed.
    :param old: value before, as text; digests of keys are shortened.
    :param new: value after, as text.
    """

    kind: ChangeKind
    section: str
    name: str = ""
    key: str = ""
    old: str = ""
    new: str = ""

    def __str__(self):
        header = f"[{self.section} {self.name}]" if self.name else f"[{self.section}]"
        if not self.key:
            return f"{header} {self.kind}"
        return f"{header} {self.key}: {self.old} -> {self.new}"


_TABLES = {
    "services": "service",
    "models": "model",
    "accounts": "account",
    "servers": "server",
    "stores": "store",
}


def diff_deployments(old, new):
    """List the differences between two deployments.

    :param old: a :class:`wasabistage.declarations.Deployment`, or ``None``.
    :param new: a :class:`wasabistage.declarations.Deployment`, or ``None``.
    :return: a list of :class:`Change` in a fixed order.
    """
    before, after = _sections(old), _sections(new)
    changes = []
    for place in sorted(before.keys() | after.keys()):
        section, name = place
        if place not in before or place not in after:
            added = place in after
            kind = ChangeKind.ADDED if added else ChangeKind.REMOVED
            changes.append(Change(kind=kind, section=section, name=name))
            continue
        changes.extend(_keys(section, name, before[place], after[place]))
    return changes


def _keys(section, name, old, new):
    for key in sorted(old.keys() | new.keys()):
        if old.get(key) != new.get(key):
            yield Change(
                kind=ChangeKind.CHANGED,
                section=section,
                name=name,
                key=key,
                old=_shown(key, old.get(key)),
                new=_shown(key, new.get(key)),
            )


def _sections(deployment):
    """Lay a deployment out as sections of keys, as it is declared."""
    if deployment is None:
        return {}
    found = {
        ("deployment", ""): {
            "name": deployment.name,
            "failure_domains": deployment.failure_domains,
        },
        ("weight_store", ""): _plain(deployment.weight_store),
    }
    for table, section in _TABLES.items():
        for name, part in getattr(deployment, table).items():
            found[section, name] = _plain(part)
    for service in deployment.services.values():
        for call in service.calls.values():
            found["call", f"{service.name}.{call.name}"] = _plain(call)
    for rank, floor in deployment.rank_floors.items():
        found["rank", rank.name.lower()] = {"floor": floor}
    return found


def _plain(part):
    assert is_dataclass(part)
    return {
        field.name: getattr(part, field.name)
        for field in fields(part)
        if field.name not in ("name", "calls")
    }


def _shown(key, value):
    if key == "key_hashes":
        return ", ".join(digest[:HASH_CHARS] + "..." for digest in value)
    if isinstance(value, Enum):
        return value.name.lower()
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, tuple):
        return ", ".join(value) or "none"
    return str(value) or "none"
