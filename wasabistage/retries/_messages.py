"""Events, queries and decisions of the retry policies."""

from dataclasses import dataclass
from enum import StrEnum

from wasabistage.base import Ran
from wasabistage.utils import Sentinel

NOT_IDEMPOTENT = Sentinel(
    "NOT_IDEMPOTENT", "the call may have run and is not idempotent"
)
ANSWER_BEGUN = Sentinel(
    "ANSWER_BEGUN", "a part of the answer was already sent to the caller"
)
ATTEMPTS_SPENT = Sentinel("ATTEMPTS_SPENT", "the request has used all its attempts")
BUDGET_SPENT = Sentinel("BUDGET_SPENT", "the retry budget is exhausted")
DEADLINE_TOO_NEAR = Sentinel("DEADLINE_TOO_NEAR", "a retry can't meet the deadline")
NO_SERVER = Sentinel("NO_SERVER", "no backend server is available for a retry")
NOT_RETRYABLE = Sentinel("NOT_RETRYABLE", "the same request would fail again")
OUTCOME_UNKNOWN = Sentinel(
    "OUTCOME_UNKNOWN", "the call may have run; query the service"
)


class Failure(StrEnum):
    """How an attempt failed.

    ``NOT_SENT``: no byte of the request was sent. ``LOST``: the connection broke or
    timed out after bytes were sent. ``ERROR``: the server answered with an error.
    ``OVERLOAD``: the server refused the request because of overload.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"
    ERROR = "error"
    OVERLOAD = "overload"


@dataclass(frozen=True, kw_only=True)
class FirstAttemptSent:
    """Event: the first attempt of a request was sent.

    :param service: name of the service.
    """

    service: str


@dataclass(frozen=True, kw_only=True)
class RetrySent:
    """Event: a retry that takes from a budget was sent.

    :param service: name of the service.
    """

    service: str


@dataclass(frozen=True, kw_only=True)
class RetryDropped:
    """Event: a retry that takes from a budget will not be sent.

    :param service: name of the service.
    """

    service: str


@dataclass(frozen=True, kw_only=True)
class RetryQuery:
    """Query: whether to retry after a failed attempt at a backend server.

    ``RetryPolicy`` ignores ``unsent_attempts``, ``max_attempts`` and ``entry_count``;
    ``WindowRetryPolicy`` ignores ``tried_servers``, ``candidates``, ``retry_after``
    and ``draw``.

    :param service: name of the service.
    :param idempotent: whether the call may run more than once, or no attempt so far
        may have run.
    :param failure: how the attempt failed.
    :param answer_begun: whether a byte of the answer was sent to the caller and the
        answer can't be resumed.
    :param attempts: attempts so far that count towards the maximum; by default, only
        the failed one.
    :param tried_servers: names of the servers tried so far, in order.
    :param candidates: names of the servers that routing can use now.
    :param retry_after: delay that the server asked for, in seconds, or ``None``.
    :param unsent_attempts: attempts so far that failed before they were sent.
    :param max_attempts: attempts that the request's route allows, or ``None``.
    :param entry_count: number of entries that share the budget, this one included;
        ``None`` while it is unknown.
    :param deadline_at: latest useful time of the answer's first byte, in monotonic
        seconds.
    :param draw: random number from 0 to 1 for the jitter, drawn from a seeded
        generator.
    """

    service: str
    idempotent: bool
    failure: Failure
    answer_begun: bool = False
    attempts: int = 1
    tried_servers: tuple[str, ...] = ()
    candidates: tuple[str, ...] = ()
    retry_after: float | None = None
    unsent_attempts: int = 0
    max_attempts: int | None = None
    entry_count: int | None = 1
    deadline_at: float
    draw: float = 0.5


@dataclass(frozen=True, kw_only=True)
class Retry:
    """Decision: send the request to a backend server again.

    :param delay: time to wait before the attempt, in seconds.
    :param servers: names of the servers to choose from; empty if routing may choose
        any server.
    :param takes_budget: whether the policy keeps room for it in a budget until it
        observes :class:`RetrySent` or :class:`RetryDropped`.
    """

    delay: float
    servers: tuple[str, ...]
    takes_budget: bool = False


@dataclass(frozen=True, kw_only=True)
class ClientRetryQuery:
    """Query: what a caller does after a failed attempt at an entry instance.

    :param failure: how the attempt failed.
    :param status: HTTP status of the answer, or ``None`` if there is no answer.
    :param ran: what the error says about whether the request was run.
    :param idempotent: whether the call may run more than once.
    :param has_key: whether the request carries a ticket or an idempotency key.
    :param has_ticket: whether that key is a ticket.
    :param may_have_run: whether an earlier attempt with this key, or without a key, may
        have run: it was sent, and no answer said that it was not run.
    :param position: number of items of the stream received so far.
    :param resumable: whether a stream has begun and its id is known.
    :param attempts: attempts made so far, the failed one included.
    :param tried_entries: addresses of the entries tried since the caller last asked
        for entries, in order.
    :param entries: addresses of the entries in the deployment's last answer, best
        first.
    :param entries_valid_until: time at which that answer expires, in monotonic seconds.
    :param retry_after: delay that the entry asked for, in seconds, or ``None``.
    :param deadline_at: time at which the caller stops waiting, in monotonic seconds.
    :param draw: random number from 0 to 1 for the jitter, drawn from a seeded
        generator.
    """

    failure: Failure
    status: int | None = None
    ran: Ran = Ran.UNKNOWN
    idempotent: bool
    has_key: bool = False
    has_ticket: bool = False
    may_have_run: bool = False
    position: int = 0
    resumable: bool = False
    attempts: int = 1
    tried_entries: tuple[str, ...] = ()
    entries: tuple[str, ...] = ()
    entries_valid_until: float = 0.0
    retry_after: float | None = None
    deadline_at: float
    draw: float = 0.5


@dataclass(frozen=True, kw_only=True)
class ResumeStream:
    """Decision: resume the stream at another entry.

    :param entry: address of the entry; empty if the caller has to ask the
        deployment.
    :param position: number of items received so far.
    :param delay: time to wait before the attempt, in seconds.
    """

    entry: str
    position: int
    delay: float


@dataclass(frozen=True, kw_only=True)
class RetryAtEntry:
    """Decision: send the request again, with the same key if it carries one.

    :param entry: address of the entry; empty if the caller has to ask the
        deployment.
    :param delay: time to wait before the attempt, in seconds.
    """

    entry: str
    delay: float


@dataclass(frozen=True, kw_only=True)
class RetryWithNewKey:
    """Decision: send the request again with a new ticket or idempotency key.

    It is certain that the request was not run under the old one.

    :param entry: address of the entry; empty if the caller has to ask the
        deployment.
    :param delay: time to wait before the attempt, in seconds.
    """

    entry: str
    delay: float
