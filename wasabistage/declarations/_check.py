"""A folder of declaration files to a checked deployment."""

from dataclasses import dataclass, field

from wasabistage.base import Rank
from wasabistage.declarations._border import validate_section
from wasabistage.declarations._codec import encode_deployment
from wasabistage.declarations._fields import parse_name
from wasabistage.declarations._model import (
    BackendServer,
    Call,
    ClientAccount,
    Deployment,
    Model,
    Service,
    Store,
    WeightStore,
)
from wasabistage.declarations._parse import parse_folder
from wasabistage.declarations._problem import Problem, ValueFault, suggest
from wasabistage.declarations._relations import find_faults
from wasabistage.declarations._sections import SECTIONS
from wasabistage.exceptions import DeclarationError

MAX_PROBLEMS = 1000
_SECRET_KEYS = {"key", "keys", "bearer_key", "bearer", "token", "secret", "password"}
_RANKS = {rank.name.lower(): rank for rank in Rank}


@dataclass(frozen=True, kw_only=True)
class CheckResult:
    """What a check found.

    :param deployment: the deployment; ``None`` when there is any problem.
    :param problems: every :class:`Problem`, sorted by place; empty when good.
    """

    deployment: Deployment | None
    problems: tuple[Problem, ...] = ()


@dataclass(frozen=True, kw_only=True)
class _Read:
    """Valid sections with their models, by kind and name."""

    sections: dict = field(default_factory=dict)
    models: dict = field(default_factory=dict)

    def of(self, kind):
        return {name: model for (k, name), model in self.models.items() if k == kind}


def check_folder(path):
    """Check every declaration file below a folder.

    :param path: the folder.
    :return: a :class:`CheckResult`; it raises nothing for any content.
    """
    sections, problems = parse_folder(path)
    return check_sections(sections, problems, str(path))


def check_sections(sections, problems, folder):
    """Check located sections.

    :param sections: list of :class:`wasabistage.declarations.Section`.
    :param problems: problems found before.
    :param folder: the folder, for faults that have no other place.
    :return: a :class:`CheckResult`.
    """
    problems = list(problems)
    read = _Read()
    declared = set()
    for section in sections:
        problems.extend(_read_section(section, read, declared))
    if ("deployment", "") not in declared:
        problems.append(
            Problem(
                file=folder,
                line=0,
                what="section [deployment] is missing",
                remedy="add it with name and failure_domains",
            )
        )
    deployment = _build(read)
    # A section with a fault of its own still counts as declared: no second report.
    for fault in find_faults(deployment, declared):
        problems.append(_locate(fault, read, folder))
    if not problems:
        problems.extend(_check_size(deployment, folder))
    if problems:
        ordered = tuple(sorted(set(problems)))[:MAX_PROBLEMS]
        return CheckResult(deployment=None, problems=ordered)
    return CheckResult(deployment=deployment)


def _check_size(deployment, folder):
    """Check that the deployment fits into a record."""
    try:
        encode_deployment(deployment)
    except DeclarationError as error:
        what, remedy = error.message, error.remedy
        return [Problem(file=folder, line=0, what=what, remedy=remedy)]
    return []


def _read_section(section, read, declared):
    """Validate one section and file it by kind and name."""
    if section.kind not in SECTIONS:
        what = f"unknown section [{ascii(section.header[:64])[1:-1]}]"
        return [_at(section, what, suggest(section.kind, SECTIONS))]
    model, named = SECTIONS[section.kind]
    fault = _name_fault(section, named)
    if fault:
        return [fault]
    place = (section.kind, section.name)
    if place in declared:
        first = read.sections[place]
        what = f"[{section.header}] is declared already at {first.file}:{first.line}"
        return [_at(section, what, "keep one of them, or rename one")]
    declared.add(place)
    read.sections[place] = section
    section, faults = _refuse_plain_keys(section)
    valid, others = validate_section(section, model)
    if valid is not None:
        read.models[place] = valid
    return faults + others


def _name_fault(section, named):
    """Check the name in a header."""
    if not named:
        what = f"[{section.kind}] takes no name"
        return _at(section, what, f"write [{section.kind}]") if section.name else None
    if section.kind == "rank" and section.name not in _RANKS:
        what = f"unknown rank {ascii(section.name[:64])}"
        return _at(section, what, suggest(section.name, _RANKS))
    parts = [section.name]
    if section.kind == "call":
        parts = list(section.name.rpartition("."))[::2]
    try:
        for part in parts:
            parse_name(part)
    except ValueFault as fault:
        remedy = fault.remedy
        if section.kind == "call":
            remedy = "write [call SERVICE.NAME], such as [call shop.buy]"
        return _at(section, f"[{section.kind} ...]: {fault.what}", remedy)
    return None


def _refuse_plain_keys(section):
    """Take plaintext keys out, so that no message can repeat one."""
    if section.kind != "account":
        return section, []
    secrets = _SECRET_KEYS & set(section.values)
    faults = [
        Problem(
            file=section.file,
            line=section.lines[key],
            what=f"key {key!r} in [{section.header}] would publish a bearer key",
            remedy="hash the key with SHA-256 and write the digest to key_hashes",
        )
        for key in sorted(secrets)
    ]
    for key in secrets:
        del section.values[key]
    return section, faults


def _build(read):
    """Build the deployment from the valid sections."""
    head = read.models.get(("deployment", ""))
    weight_store = read.models.get(("weight_store", ""))
    parts = {
        "models": (Model, "model"),
        "accounts": (ClientAccount, "account"),
        "servers": (BackendServer, "server"),
        "stores": (Store, "store"),
    }
    built = {
        key: {name: cls(name=name, **dict(valid)) for name, valid in found.items()}
        for key, (cls, found) in (
            (key, (cls, read.of(kind))) for key, (cls, kind) in parts.items()
        )
    }
    floors = Deployment(name="").rank_floors
    floors.update({_RANKS[name]: r.floor for name, r in read.of("rank").items()})
    return Deployment(
        name=head.name if head else "",
        failure_domains=head.failure_domains if head else (),
        services=_build_services(read),
        weight_store=WeightStore(**dict(weight_store))
        if weight_store
        else WeightStore(),
        rank_floors=floors,
        **built,
    )


def _build_services(read):
    """Build the services with their calls."""
    calls = {}
    for full_name, valid in read.of("call").items():
        service, _, name = full_name.rpartition(".")
        calls.setdefault(service, {})[name] = Call(name=name, **dict(valid))
    return {
        name: Service(name=name, calls=calls.get(name, {}), **dict(valid))
        for name, valid in read.of("service").items()
    }


def _locate(fault, read, folder):
    """Find the file and line of a fault between sections."""
    section = read.sections.get((fault.kind, fault.name))
    if section is None:
        return Problem(file=folder, line=0, what=fault.what, remedy=fault.remedy)
    line = section.lines.get(fault.key, section.line)
    return Problem(file=section.file, line=line, what=fault.what, remedy=fault.remedy)


def _at(section, what, remedy):
    return Problem(file=section.file, line=section.line, what=what, remedy=remedy)
