"""Repeats a request at other backend servers as far as the retry policy allows."""

import trio

from wasabistage.base import Ran
from wasabistage.entry._routing_messages import AskRetry, VersionPendingError
from wasabistage.exceptions import OverloadError, UnavailableError, WasabistageError
from wasabistage.retries import Failure, FirstAttemptSent

#: Time between two looks whether a server has loaded the declared version.
VERSION_LOOK_SECONDS = 0.05


def classify(error):
    """Tell how an attempt failed.

    :param error: a :class:`WasabistageError`.
    :return: a :class:`wasabistage.retries.Failure`.
    """
    if isinstance(error, OverloadError):
        return Failure.OVERLOAD
    if error.ran is Ran.NO and isinstance(error, UnavailableError):
        return Failure.NOT_SENT
    return Failure.LOST


async def run_attempts(context, routing, resolved, deadline_at, attempt):
    """Run attempts until one succeeds or no further one is allowed.

    :param context: the :class:`wasabistage.entry._context.EntryContext`.
    :param routing: the routing task.
    :param resolved: the :class:`wasabistage.entry._calls.ResolvedCall`.
    :param deadline_at: latest useful time of the first byte, monotonic seconds.
    :param attempt: asynchronous function of the names tried before; it returns the
        name of its server and the result, or the error.
    :return: the result of the attempt that succeeded.
    :raises WasabistageError: the error of the last attempt.
    """
    routing.tell(FirstAttemptSent(service=resolved.service.name))
    now = context.timers.now
    wait_until = min(deadline_at, now() + context.settings.version_wait)
    tried = ()
    while True:
        server, result = await attempt(tried)
        if not isinstance(result, WasabistageError):
            return result
        if isinstance(result, VersionPendingError) and now() < wait_until:
            # The first server loads within a moment; failing would only move the
            # wait to the caller.
            await trio.sleep(VERSION_LOOK_SECONDS)
            continue
        if not server:
            raise result
        tried += (server,)
        question = AskRetry(
            service=resolved.service,
            idempotent=resolved.call.idempotent,
            failure=classify(result),
            tried=tried,
            deadline_at=deadline_at,
        )
        decision = await routing.ask(question)
        if not decision:
            raise result
        context.metrics.count("request.retried")
        await trio.sleep(decision.delay)
