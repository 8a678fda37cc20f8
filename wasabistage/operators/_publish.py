"""Publishes a deployment through the log."""

import secrets

import trio

from wasabistage.declarations import (
    AppendAnswered,
    AppendFailed,
    AppendRecord,
    LogFailed,
    PeerState,
    PublishPolicy,
)
from wasabistage.entry import CONFIG_STREAM, fold_read
from wasabistage.exceptions import UnavailableError, WasabistageError
from wasabistage.reference import NewRecord

PUBLICATION_ID_BYTES = 16
STEP_SECONDS = 0.02


async def publish_deployment(log, deployment, timers, states=(), **options):
    """Publish a deployment and wait for the outcome.

    :param log: a :class:`wasabistage.reference.LogClient`.
    :param deployment: the :class:`wasabistage.declarations.Deployment`.
    :param timers: a timer service.
    :param states: folded states that running entries told, for a trimmed log.
    :param options: further arguments of
        :class:`wasabistage.declarations.PublishPolicy`.
    :return: an ``Accepted``, ``Overtaken`` or ``NotAccepted`` of
        :mod:`wasabistage.declarations`.
    """
    options.setdefault("id", secrets.token_hex(PUBLICATION_ID_BYTES))
    policy = PublishPolicy(deployment, **options).reset()
    return await run_publication(log, policy, timers, states)


async def run_publication(log, policy, timers, states=()):
    """Carry the actions of a publication out until its outcome is known.

    :param log: a :class:`wasabistage.reference.LogClient`.
    :param policy: a :class:`wasabistage.declarations.PublishPolicy`.
    :param timers: a timer service.
    :param states: folded states that running entries told.
    :return: the outcome; see :func:`publish_deployment`.
    """
    for state in states:
        policy.observe(PeerState(state=state), timers.now())
    while True:
        for action in policy.tick(timers.now()):
            event = await _carry_out(log, policy, action, timers)
            policy.observe(event, timers.now())
        outcome = policy.decide(None, timers.now())
        if outcome:
            return outcome
        await trio.sleep(STEP_SECONDS)


async def _carry_out(log, policy, action, timers):
    if isinstance(action, AppendRecord):
        return await _append(log, policy.id, action.data)
    try:
        page = await log.read(CONFIG_STREAM, action.offset)
    except WasabistageError:
        return LogFailed()
    return fold_read(page, action.offset, timers.wall_time())


async def _append(log, record_id, data):
    try:
        record = NewRecord(record_id=record_id, data=data)
        (offset,) = await log.append(CONFIG_STREAM, [record])
    except UnavailableError:
        return AppendFailed(may_have_run=False)
    except WasabistageError:
        return AppendFailed(may_have_run=True)
    return AppendAnswered(offset=offset)
