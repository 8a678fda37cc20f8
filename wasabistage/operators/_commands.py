"""What the operator's commands do, apart from reading arguments and printing."""

import secrets
from dataclasses import dataclass

from wasabistage.declarations import (
    Accepted,
    Change,
    PublishPolicy,
    check_folder,
    diff_deployments,
)
from wasabistage.entry import TrioTimerService
from wasabistage.exceptions import DeclarationError, SettingError
from wasabistage.operators._in_force import ConfigFound, find_in_force
from wasabistage.operators._publish import run_publication
from wasabistage.operators._status import read_states
from wasabistage.reference import HttpLogClient, make_http_client

PUBLICATION_ID_BYTES = 16


@dataclass(frozen=True, kw_only=True)
class Publication:
    """How a publication ended.

    :param outcome: ``Accepted``, ``Overtaken`` or ``NotAccepted``.
    :param changes: what an accepted one changed.
    """

    outcome: object
    changes: tuple[Change, ...] = ()


@dataclass(frozen=True, kw_only=True)
class Difference:
    """How a folder differs from what is in force.

    :param found: the :class:`ConfigFound` that it was compared with.
    :param changes: what publishing the folder would change.
    """

    found: ConfigFound
    changes: tuple[Change, ...]


def load_folder(folder, deployment=""):
    """Check a folder of declarations and return its deployment.

    :param folder: path of the folder.
    :param deployment: name that it must have; empty for any.
    :return: a :class:`wasabistage.declarations.Deployment`.
    :raises DeclarationError: if it has faults, each on a line of the message.
    :raises SettingError: if it declares another deployment.
    """
    result = check_folder(folder)
    if result.problems:
        text = "\n".join(str(problem) for problem in result.problems)
        raise DeclarationError(text, remedy="mend the declarations")
    if deployment and result.deployment.name != deployment:
        raise SettingError(
            f"{folder} declares deployment {result.deployment.name}, the settings "
            f"name {deployment}",
            remedy="use the settings of that deployment",
        )
    return result.deployment


async def publish_folder(settings, deployment, **options):
    """Publish a deployment, asking running entries first.

    :param settings: the :class:`wasabistage.settings.OperatorSettings`.
    :param deployment: the :class:`wasabistage.declarations.Deployment`.
    :param options: further arguments of
        :class:`wasabistage.declarations.PublishPolicy`.
    :return: a :class:`Publication`.
    """
    policy = PublishPolicy(
        deployment,
        secrets.token_hex(PUBLICATION_ID_BYTES),
        author=settings.author,
        **options,
    ).reset()
    states = await read_states(settings.entries, settings.peer_key)
    async with make_http_client() as client:
        log = HttpLogClient(client, settings.log)
        outcome = await run_publication(log, policy, TrioTimerService(), states)
    if not isinstance(outcome, Accepted) or outcome.unchanged:
        return Publication(outcome=outcome)
    changes = diff_deployments(policy.base_deployment_ or None, deployment)
    return Publication(outcome=outcome, changes=tuple(changes))


async def compare_folder(settings, deployment):
    """Compare a deployment with what is in force.

    :param settings: the :class:`wasabistage.settings.OperatorSettings`.
    :param deployment: the :class:`wasabistage.declarations.Deployment`.
    :return: a :class:`Difference`.
    """
    states = await read_states(settings.entries, settings.peer_key)
    async with make_http_client() as client:
        log = HttpLogClient(client, settings.log)
        found = await find_in_force(log, TrioTimerService(), states)
    changes = diff_deployments(found.deployment, deployment)
    return Difference(found=found, changes=tuple(changes))
