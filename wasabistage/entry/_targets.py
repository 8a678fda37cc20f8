"""What backend servers are to run, and who orders them first."""

import hashlib

from wasabistage.declarations import ServiceKind
from wasabistage.rollout import Target


def make_targets(deployment):
    """Tell what each model engine is to run.

    :param deployment: a :class:`wasabistage.declarations.Deployment`.
    :return: dict of :class:`wasabistage.rollout.Target` by name of the server.
    """
    targets = {}
    for server in deployment.servers.values():
        if server.kind is not ServiceKind.MODEL:
            continue
        models = [
            deployment.models[name]
            for name in server.models
            if name in deployment.models
        ]
        adapters = {adapter for model in models for adapter in model.adapters}
        targets[server.name] = Target(
            versions={model.name: model.version for model in models},
            adapters=tuple(sorted(adapters)),
        )
    return targets


def order_bodies(order, runs):
    """List what a server has to be told to meet its target.

    :param order: a :class:`wasabistage.rollout.SendOrder`.
    :param runs: what it runs, a :class:`wasabistage.rollout.Target`.
    :return: list of dicts as the engine takes them.
    """
    target, fencing = order.target, order.fencing
    bodies = [
        {"fencing": fencing, "kind": "load", "model": model, "version": version}
        for model, version in target.versions.items()
        if runs.versions.get(model) != version
    ]
    bodies += [
        {"fencing": fencing, "kind": "adapter", "adapter": adapter}
        for adapter in target.adapters
        if adapter not in runs.adapters
    ]
    if target.role != runs.role:
        bodies.append({"fencing": fencing, "kind": "role", "role": target.role})
    return bodies


def find_place(own, others):
    """Tell an instance's place in turn, equal for all that see the same others.

    :param own: name of the instance.
    :param others: names of the other live instances.
    :return: number from 0.
    """
    score = _score(own)
    return sum(_score(name) < score for name in others)


def _score(name):
    return hashlib.sha256(name.encode()).digest()
