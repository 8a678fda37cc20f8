"""Operators' declaration files: parse, check, publish and fold."""

from wasabistage.declarations._border import (
    SectionModel,
    describe_model,
    validate_section,
)
from wasabistage.declarations._check import CheckResult, check_folder
from wasabistage.declarations._fields import (
    Address,
    Addresses,
    Count,
    Duration,
    Factor,
    Flag,
    Hashes,
    Name,
    Names,
    Rate,
    Size,
    Text,
    choice,
    split_address,
)
from wasabistage.declarations._ini import Section, parse_ini, read_ini
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
from wasabistage.declarations._problem import Problem, ValueFault, suggest
from wasabistage.declarations._relations import find_faults
from wasabistage.declarations._sections import describe_declarations

__all__ = [
    "Address",
    "Addresses",
    "BackendServer",
    "Call",
    "CheckResult",
    "ClientAccount",
    "Count",
    "Deployment",
    "Duration",
    "Factor",
    "Flag",
    "Hashes",
    "Model",
    "Name",
    "Names",
    "OutagePolicy",
    "Problem",
    "Rate",
    "Section",
    "SectionModel",
    "Service",
    "ServiceKind",
    "Size",
    "Store",
    "Text",
    "ValueFault",
    "WeightStore",
    "check_folder",
    "choice",
    "describe_declarations",
    "describe_model",
    "find_faults",
    "parse_ini",
    "read_ini",
    "split_address",
    "suggest",
    "validate_section",
]
