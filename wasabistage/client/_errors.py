"""Turns failed attempts into queries of the retry policy and into typed errors."""

from dataclasses import dataclass

import httpx

from wasabistage.base import Ran
from wasabistage.exceptions import (
    BadRequestError,
    ConflictError,
    DeadlineError,
    ExpiredKeyError,
    NotFoundError,
    OutcomeUnknownError,
    OverloadError,
    TooLargeError,
    UnauthorizedError,
    UnavailableError,
    WasabistageError,
)
from wasabistage.reference import NOT_SENT
from wasabistage.retries import Failure

OVERLOADED = 429
KINDS = {
    kind.kind: kind
    for kind in (
        BadRequestError,
        ConflictError,
        DeadlineError,
        ExpiredKeyError,
        NotFoundError,
        OutcomeUnknownError,
        OverloadError,
        TooLargeError,
        UnauthorizedError,
        UnavailableError,
    )
}


@dataclass(frozen=True, kw_only=True)
class FailedAttempt:
    """One attempt that did not succeed.

    :param failure: a :class:`wasabistage.retries.Failure`.
    :param error: the typed error that it ended with.
    :param status: HTTP status of the answer, or ``None``.
    """

    failure: Failure
    error: WasabistageError
    status: int | None = None


def from_transport(error, address):
    """Describe an attempt that got no whole answer.

    :param error: an :class:`httpx.HTTPError`.
    :param address: ``IP:PORT`` of the entry.
    :return: a :class:`FailedAttempt`.
    """
    reason = type(error).__name__
    if isinstance(error, NOT_SENT):
        failed = UnavailableError(
            f"no connection to the entry at {address}: {reason}",
            remedy="another entry is tried",
        )
        return FailedAttempt(failure=Failure.NOT_SENT, error=failed)
    failed = OutcomeUnknownError(
        f"the entry at {address} did not answer in full: {reason}",
        remedy="try again with the same key",
        ran=Ran.UNKNOWN,
    )
    return FailedAttempt(failure=Failure.LOST, error=failed)


def from_response(response):
    """Describe an attempt that was answered with an error.

    :param response: an :class:`httpx.Response` that was read.
    :return: a :class:`FailedAttempt`.
    """
    status = response.status_code
    failure = Failure.OVERLOAD if status == OVERLOADED else Failure.ERROR
    return FailedAttempt(failure=failure, error=_typed(response), status=status)


def _typed(response):
    try:
        body = response.json()["error"]
        kind = KINDS.get(body["kind"], WasabistageError)
        message, remedy, ran = body["message"], body["remedy"], Ran(body["ran"])
    except (ValueError, KeyError, TypeError):
        kind, ran = WasabistageError, Ran.UNKNOWN
        message = f"the answer has status {response.status_code}"
        remedy = "retry later"
    wait = response.headers.get("Retry-After")
    error = kind(
        message, remedy=remedy, ran=ran, retry_after=float(wait) if wait else None
    )
    error.status = response.status_code
    return error


def is_system_error(response):
    """Tell an error of the system from an answer of a plain service.

    :param response: an :class:`httpx.Response` that was read.
    :return: ``True`` for an error that an entry made.
    """
    if response.status_code < 400:
        return False
    try:
        body = response.json()
    except (ValueError, httpx.ResponseNotRead):
        return False
    error = body.get("error") if isinstance(body, dict) else None
    return isinstance(error, dict) and {"kind", "ran", "remedy"} <= set(error)
