"""The folded configuration as plain data classes.

A :class:`Deployment` is what every entry instance has in force. It is built from
declaration files by the parser and never changed afterwards.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from wasabistage.base import Rank


class ServiceKind(StrEnum):
    """What stands behind a service."""

    MODEL = "model"
    PLAIN = "plain"


class OutagePolicy(StrEnum):
    """What a non-idempotent call does while the log is out of reach.

    ``SERVE``: calls with a ticket are dispatched by their home without the log.
    ``REFUSE``: every call is claimed in the log first, and refused without it.
    """

    SERVE = "serve"
    REFUSE = "refuse"


@dataclass(frozen=True, kw_only=True)
class Call:
    """One declared call of a service.

    :param name: name, unique within the service.
    :param method: HTTP method.
    :param path: HTTP path; a trailing ``/*`` matches any suffix.
    :param rank: rank of the work.
    :param idempotent: whether the call may be repeated.
    :param deadline: longest useful wait for the first byte, in seconds.
    :param cost: cost for fairness, in tokens; 0 takes the request's own estimate.
    :param outage: behaviour while the log is out of reach.
    """

    name: str
    method: str = "POST"
    path: str = "/"
    rank: Rank = Rank.INTERACTIVE
    idempotent: bool = True
    deadline: float = 10.0
    cost: int = 0
    outage: OutagePolicy = OutagePolicy.SERVE


@dataclass(frozen=True, kw_only=True)
class Service:
    """A service that callers may name.

    :param name: name, unique within the deployment.
    :param kind: model engine or plain service.
    :param model: name of the model, for kind ``MODEL``.
    :param calls: the declared calls by name.
    """

    name: str
    kind: ServiceKind
    model: str = ""
    calls: dict[str, Call] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class Model:
    """A model and the weight version that new requests must use.

    :param name: name, unique within the deployment.
    :param version: weight version in force.
    :param adapters: names of the adapters to be loaded.
    :param piece_tokens: tokens in one KV cache piece.
    :param token_bytes: bytes of KV cache for one token.
    :param context_tokens: longest prompt, in tokens.
    """

    name: str
    version: str
    adapters: tuple[str, ...] = ()
    piece_tokens: int = 2048
    token_bytes: int = 1024
    context_tokens: int = 131072


@dataclass(frozen=True, kw_only=True)
class ClientAccount:
    """A client account.

    :param name: name, unique within the deployment.
    :param key_hashes: SHA-256 hex digests of its bearer keys.
    :param weight: share within a rank, relative to other accounts.
    :param rate: common limit over all entries, in cost tokens a second; 0 for none.
    :param concurrency: requests at a time over all entries; 0 for none.
    """

    name: str
    key_hashes: tuple[str, ...] = ()
    weight: float = 1.0
    rate: float = 0.0
    concurrency: int = 0


@dataclass(frozen=True, kw_only=True)
class BackendServer:
    """A backend server: a model engine or a plain service's server.

    :param name: name, unique within the deployment.
    :param address: ``IP:PORT``.
    :param failure_domain: failure domain it stands in.
    :param kind: model engine or plain service.
    :param services: names of the services it answers (kind ``PLAIN``).
    :param models: names of the models it may serve (kind ``MODEL``).
    :param slots: requests it runs at a time.
    :param checks_fencing: whether it refuses orders with an old fencing number.
    """

    name: str
    address: str
    failure_domain: str = ""
    kind: ServiceKind = ServiceKind.MODEL
    services: tuple[str, ...] = ()
    models: tuple[str, ...] = ()
    slots: int = 8
    checks_fencing: bool = True


@dataclass(frozen=True, kw_only=True)
class Store:
    """A KV cache store instance.

    :param name: name, unique within the deployment.
    :param address: ``IP:PORT``.
    :param failure_domain: failure domain it stands in.
    :param memory: memory tier, in bytes.
    :param disk: disk tier, in bytes.
    :param link_rate: rate of its link, in bytes a second.
    """

    name: str
    address: str
    failure_domain: str = ""
    memory: int = 1 << 30
    disk: int = 1 << 34
    link_rate: float = 1.25e9


@dataclass(frozen=True, kw_only=True)
class WeightStore:
    """The store that model weights are loaded from.

    :param address: ``IP:PORT``; empty when there is none.
    :param parallel_loads: loads at a time over the whole deployment.
    """

    address: str = ""
    parallel_loads: int = 2


@dataclass(frozen=True, kw_only=True)
class Deployment:
    """Everything that operators declare.

    :param name: name of the deployment.
    :param failure_domains: names of the failure domains.
    :param services: services by name.
    :param models: models by name.
    :param accounts: client accounts by name.
    :param servers: backend servers by name.
    :param stores: KV cache stores by name.
    :param weight_store: where weights are loaded from.
    :param rank_floors: least share of capacity that each rank keeps, 0 to 1.
    """

    name: str
    failure_domains: tuple[str, ...] = ()
    services: dict[str, Service] = field(default_factory=dict)
    models: dict[str, Model] = field(default_factory=dict)
    accounts: dict[str, ClientAccount] = field(default_factory=dict)
    servers: dict[str, BackendServer] = field(default_factory=dict)
    stores: dict[str, Store] = field(default_factory=dict)
    weight_store: WeightStore = field(default_factory=WeightStore)
    rank_floors: dict[Rank, float] = field(
        default_factory=lambda: {
            Rank.URGENT: 0.5,
            Rank.INTERACTIVE: 0.3,
            Rank.BACKGROUND: 0.05,
        }
    )
