"""The sections of declaration files, as validated models at the border."""

import re
from typing import Annotated

from pydantic import BeforeValidator, Field

from wasabistage.base import Rank
from wasabistage.declarations._border import SectionModel, describe_model
from wasabistage.declarations._fields import (
    Address,
    Count,
    Duration,
    Factor,
    Flag,
    Hashes,
    Name,
    Names,
    Rate,
    Shape,
    Size,
    choice,
)
from wasabistage.declarations._model import OutagePolicy, ServiceKind
from wasabistage.declarations._problem import ValueFault, shorten

_PATH = re.compile(r"/[A-Za-z0-9._~!$&'()+,;=:@/-]{0,255}(?:(?<=/)\*)?")
_PATH_SHAPE = Shape(
    name="path",
    remedy="write a path such as /hints/buy, or /hints/* for any suffix",
)
_WORDS = {rank.name.lower(): rank for rank in Rank}


def parse_path(text):
    """Check the path of a call.

    :param text: an absolute path; a trailing ``/*`` matches any suffix.
    :return: the path.
    :raises ValueFault: if it is not such a path.
    """
    text = text.strip()
    if not _PATH.fullmatch(text) or {".", ".."} & set(text.split("/")):
        raise ValueFault(f"{shorten(text)} is not a path", _PATH_SHAPE.remedy)
    return text


Path = Annotated[str, BeforeValidator(parse_path), _PATH_SHAPE]
Method = choice(
    GET="GET", HEAD="HEAD", POST="POST", PUT="PUT", PATCH="PATCH", DELETE="DELETE"
)
Kind = choice(model=ServiceKind.MODEL, plain=ServiceKind.PLAIN)


class DeploymentSection(SectionModel):
    """The deployment itself; stands once."""

    name: Name = Field(description="name of the deployment")
    failure_domains: Names = Field(
        min_length=1, description="names of its failure domains"
    )


class ServiceSection(SectionModel):
    """A service that callers may name."""

    kind: Kind = Field(description="model engines or plain servers behind it")
    model: Name = Field("", description="name of its model; for kind `model` only")


class CallSection(SectionModel):
    """One call of a service."""

    method: Method = Field("POST", description="HTTP method")
    path: Path = Field("/", description="HTTP path; a trailing `/*` matches any suffix")
    rank: choice(**_WORDS) = Field(
        Rank.INTERACTIVE, description="rank; urgent is served first"
    )
    idempotent: Flag = Field(True, description="whether it may be repeated")
    deadline: Duration = Field(
        10.0, gt=0, le=3600, description="longest useful wait for the first byte"
    )
    cost: Count = Field(
        0, description="cost for fairness, in tokens; 0: the request's own estimate"
    )
    outage: choice(serve=OutagePolicy.SERVE, refuse=OutagePolicy.REFUSE) = Field(
        OutagePolicy.SERVE,
        description="a non-idempotent call while the log is out of reach: `serve` "
        "calls with a ticket without the log, or `refuse` every call",
    )


class ModelSection(SectionModel):
    """A model."""

    version: Name = Field(description="weight version that new requests must use")
    adapters: Names = Field((), description="names of the adapters to be loaded")
    piece_tokens: Count = Field(
        2048, ge=16, le=1 << 20, description="tokens in one KV cache piece"
    )
    token_bytes: Count = Field(
        1024, ge=1, le=1 << 30, description="bytes of KV cache for one token"
    )
    context_tokens: Count = Field(
        131072, ge=16, le=1 << 30, description="longest prompt, in tokens"
    )


class AccountSection(SectionModel):
    """A client account."""

    key_hashes: Hashes = Field(
        min_length=1, max_length=8, description="SHA-256 hex digests of its bearer keys"
    )
    weight: Factor = Field(
        1.0, gt=0, le=1e6, description="share within a rank, relative to other accounts"
    )
    rate: Factor = Field(
        0.0,
        ge=0,
        le=1e12,
        description="limit over all entries together, in cost tokens/s; 0: none",
    )
    concurrency: Count = Field(
        0, le=10**6, description="requests at a time over all entries; 0: no limit"
    )


class ServerSection(SectionModel):
    """A backend server: a model engine or a plain service's server."""

    address: Address = Field(description="where it listens")
    failure_domain: Name = Field("", description="failure domain it stands in")
    kind: Kind = Field(ServiceKind.MODEL, description="model engine or plain server")
    services: Names = Field((), description="services it answers; for kind `plain`")
    models: Names = Field((), description="models it may serve; for kind `model`")
    slots: Count = Field(8, ge=1, le=100_000, description="requests it runs at a time")
    checks_fencing: Flag = Field(
        True, description="whether it refuses orders with an old fencing number"
    )


class StoreSection(SectionModel):
    """A KV cache store instance."""

    address: Address = Field(description="where it listens")
    failure_domain: Name = Field("", description="failure domain it stands in")
    memory: Size = Field(1 << 30, ge=1, description="memory tier")
    disk: Size = Field(1 << 34, description="disk tier")
    link_rate: Rate = Field(1.25e9, gt=0, description="rate of its link")


class WeightStoreSection(SectionModel):
    """The store that weights are loaded from; stands at most once."""

    address: Address = Field(description="where it listens")
    parallel_loads: Count = Field(
        2, ge=1, le=1000, description="loads at a time over the whole deployment"
    )


class RankSection(SectionModel):
    """The floor of one rank; undeclared ranks keep 0.5, 0.3 and 0.05."""

    floor: Factor = Field(
        ge=0, le=1, description="least share of capacity it keeps, 0 to 1"
    )


#: Section models by kind; the second item tells whether a name follows the kind.
SECTIONS = {
    "deployment": (DeploymentSection, False),
    "service": (ServiceSection, True),
    "call": (CallSection, True),
    "model": (ModelSection, True),
    "account": (AccountSection, True),
    "server": (ServerSection, True),
    "store": (StoreSection, True),
    "weight_store": (WeightStoreSection, False),
    "rank": (RankSection, True),
}
_TITLES = {
    "call": "call SERVICE.NAME",
    "rank": "rank urgent|interactive|background",
}


def describe_declarations():
    """Generate the reference page of the declaration files.

    :return: Markdown.
    """
    lines = [
        "# Declaration files",
        "",
        "Operators declare services, models, accounts and servers in `*.ini` files",
        "beside each service's code. `wasabistage check DIR` reads every `*.ini` file",
        "below `DIR` (hidden folders and other files are passed over) and reports",
        "every fault as `file:line: what; remedy`; `wasabistage publish DIR` puts",
        "them in force together. It does not matter which file holds a section.",
        "",
        "Names hold `a-z`, `0-9`, `-`, `_` and `.`, at most 64 of them. Addresses hold",
        "IP numbers; host names are refused. Durations (`250ms`, `10s`, `2m`), sizes",
        "(`64MiB`, `2GB`) and rates (`100MB/s`) are written with their unit. Lists are",
        "separated by commas, spaces or indented lines. Comments stand on lines of",
        "their own and start with `#` or `;`. Unknown sections and keys, and sections",
        "or keys that stand twice, are faults.",
        "",
        "Bearer keys are never declared, only their digests:",
        "`printf %s 'THE KEY' | sha256sum`.",
        "",
        "This page is generated; `python -m wasabistage.declarations` prints it.",
        "",
    ]
    for kind, (model, named) in SECTIONS.items():
        title = _TITLES.get(kind, f"{kind} NAME" if named else kind)
        lines.extend(describe_model(title, model))
    return "\n".join(lines).rstrip() + "\n"
