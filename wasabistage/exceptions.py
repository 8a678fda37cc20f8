"""Exceptions whose messages include a remedy."""

from wasabistage.base import Ran


class WasabistageError(Exception):
    """Base class of the errors that a caller or an operator may see.

    :param message: description of the fault, one sentence.
    :param remedy: what the reader should do about it, one sentence.
    :param ran: whether the request was run, a :class:`wasabistage.base.Ran`.
    :param retry_after: time after which to retry, in seconds, or ``None``.
    """

    kind = "internal"
    status = 500

    def __init__(self, message, *, remedy, ran=Ran.NO, retry_after=None):
        super().__init__(f"{message}; {remedy}")
        self.message = message
        self.remedy = remedy
        self.ran = ran
        self.retry_after = retry_after


class SettingError(WasabistageError):
    """A setting or an argument is missing, unknown or out of range."""

    kind = "bad_setting"


class DeclarationError(WasabistageError):
    """A declaration file is wrong."""

    kind = "bad_declaration"


class BadRequestError(WasabistageError):
    """The request is malformed or exceeds a bound."""

    kind = "bad_request"
    status = 400


class UnauthorizedError(WasabistageError):
    """The bearer key is missing, wrong or unknown."""

    kind = "unauthorized"
    status = 401


class NotFoundError(WasabistageError):
    """The service, call, model or stream is not known."""

    kind = "not_found"
    status = 404


class ConflictError(WasabistageError):
    """The request contradicts an earlier one, such as a reused idempotency key."""

    kind = "conflict"
    status = 409


class ExpiredKeyError(WasabistageError):
    """An idempotency key or ticket is older than the remembered horizon."""

    kind = "expired_key"
    status = 410


class TooLargeError(WasabistageError):
    """A body or header exceeds its bound."""

    kind = "too_large"
    status = 413


class OverloadError(WasabistageError):
    """The request is refused to protect other work."""

    kind = "overload"
    status = 429


class DeadlineError(WasabistageError):
    """The request's deadline has passed or can't be met."""

    kind = "deadline"
    status = 504


class UnavailableError(WasabistageError):
    """No backend server, peer or platform service could take the request."""

    kind = "unavailable"
    status = 503


class OutcomeUnknownError(WasabistageError):
    """A non-idempotent call may have run; its outcome is not known."""

    kind = "outcome_unknown"
    status = 502


class IntegrityError(WasabistageError):
    """A frame, answer or cache piece does not match what it claims to be."""

    kind = "integrity"
    status = 502


class OvertakenError(WasabistageError):
    """Another record was accepted first."""

    kind = "overtaken"
    status = 409
