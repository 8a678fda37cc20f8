"""Operators' declaration files: parse, check, publish and fold."""

from wasabistage.declarations._model import (
    BackendServer,
    Call,
    ClientAccount,
    Deployment,
    Model,
    OutagePolicy,
    Service,
    ServiceKind,
    Store,
    WeightStore,
)

__all__ = [
    "BackendServer",
    "Call",
    "ClientAccount",
    "Deployment",
    "Model",
    "OutagePolicy",
    "Service",
    "ServiceKind",
    "Store",
    "WeightStore",
]
