"""Events, queries and decisions of the retry policies."""

from dataclasses import dataclass
from enum import StrEnum

from wasabistage.base import Ran
from wasabistage.utils import Sentinel

NOT_IDEMPOTENT = Sentinel("NOT_IDEMPOTENT", "the call may have run and must not repeat")
ANSWER_BEGUN = Sentinel("ANSWER_BEGUN", "the answer's first byte was already sent on")
ATTEMPTS_SPENT = Sentinel("ATTEMPTS_SPENT", "the request has had its attempts")
BUDGET_SPENT = Sentinel("BUDGET_SPENT", "retries have used their share of the traffic")
DEADLINE_TOO_NEAR = Sentinel("DEADLINE_TOO_NEAR", "a retry can't meet the deadline")
NO_SERVER = Sentinel("NO_SERVER", "no backend server may be tried now")
NOT_RETRYABLE = Sentinel("NOT_RETRYABLE", "the same request would fail again")
OUTCOME_UNKNOWN = Sentinel("OUTCOME_UNKNOWN", "the call may have run; ask the service")


class Failure(StrEnum):
    """How an attempt failed.

    ``NOT_SENT``: no byte of the request left. ``LOST``: the connection broke or
    timed out after that. ``ERROR``: the server answered with an error.
    ``OVERLOAD``: it refused for load.
    """

    NOT_SENT = "not_sent"
    LOST = "lost"
    ERROR = "error"
    OVERLOAD = "overload"


@dataclass(frozen=True, kw_only=True)
class FirstAttemptSent:
    """Event: a request's first attempt is sent.

    :param service: name of the service.
    """

    service: str


@dataclass(frozen=True, kw_only=True)
class RetryQuery:
    """Query: an attempt at a backend server failed; retry?

    :param service: name of the service.
    :param idempotent: whether the call may be repeated.
    :param failure: how the attempt failed.
    :param answer_begun: whether the caller has received a byte of the answer.
    :param attempts: attempts made so far, the failed one included.
    :param tried_servers: names of the servers tried so far, the last one last.
    :param candidates: names of the servers that routing would use now.
    :param retry_after: what the server asked for, in seconds, or ``None``.
    :param unsent_attempts: attempts so far that reached no server.
    :param max_attempts: attempts that the request's route allows, or ``None``.
    :param entry_count: entries that share the budget, this one included.
    :param deadline_at: latest useful time of the first byte, monotonic seconds.
    :param draw: a seeded random number from 0 to 1, for the jitter.
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
    entry_count: int = 1
    deadline_at: float
    draw: float = 0.5


@dataclass(frozen=True, kw_only=True)
class Retry:
    """Decision: try again.

    :param delay: time to wait first, in seconds.
    :param servers: names of the servers to choose from; empty to leave it to routing.
    """

    delay: float
    servers: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class ClientRetryQuery:
    """Query: a caller's attempt at an entry instance failed; what next?

    :param failure: how the attempt failed.
    :param status: HTTP status of the answer, or ``None`` without one.
    :param ran: what the error says about whether the request was run.
    :param idempotent: whether the call may be repeated.
    :param has_key: whether it carries a ticket or an idempotency key.
    :param has_ticket: whether that key is a ticket.
    :param may_have_run: whether an earlier attempt with this key, or without any, was
        sent and not promised to be not run.
    :param position: bytes or events of a stream received so far.
    :param resumable: whether the request id of a begun stream is known.
    :param attempts: attempts made so far, the failed one included.
    :param tried_entries: names of the entries tried since the last question, in order.
    :param entries: names of the entries last answered, best first.
    :param entries_valid_until: end of that answer's lifetime, monotonic seconds.
    :param retry_after: what the entry asked for, in seconds, or ``None``.
    :param deadline_at: when the caller stops waiting, monotonic seconds.
    :param draw: a seeded random number from 0 to 1, for the jitter.
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
    """Decision: go on with the stream at another entry.

    :param entry: name of the entry; empty to ask which to use first.
    :param position: where to go on.
    :param delay: time to wait first, in seconds.
    """

    entry: str
    position: int
    delay: float


@dataclass(frozen=True, kw_only=True)
class TryEntry:
    """Decision: send the same request, with the same key if any, to an entry.

    :param entry: name of the entry; empty to ask which to use first.
    :param delay: time to wait first, in seconds.
    """

    entry: str
    delay: float


@dataclass(frozen=True, kw_only=True)
class RetryWithNewKey:
    """Decision: the request was not run; send it with a fresh ticket or key.

    :param entry: name of the entry to take it from; empty to ask which first.
    :param delay: time to wait first, in seconds.
    """

    entry: str
    delay: float
