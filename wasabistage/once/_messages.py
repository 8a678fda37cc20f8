"""Events, queries and actions of the once-only policies."""

from dataclasses import dataclass
from enum import StrEnum

from wasabistage.base import Ran
from wasabistage.declarations import OutagePolicy
from wasabistage.once._records import CallKey, LogEntry, Outcome, Record

# Events


@dataclass(frozen=True, kw_only=True, slots=True)
class CallArrived:
    """An attempt of a non-idempotent call arrived.

    :param attempt: id of the attempt, unique within the process.
    :param key: key of the call.
    :param digest: digest of the call, see :func:`compute_call_digest`.
    :param deadline: monotonic time after which nobody waits for it, in seconds.
    :param wall_time: wall time, in seconds since the epoch.
    :param outage: declared behaviour while the log is unreachable.
    :param forwarded: whether a peer forwarded it here, to the home of its key.
    :param inquire: whether it is an inquiry: the caller only asks for the outcome of
        the key. A call that has not been dispatched yet is then never run.
    """

    attempt: str
    key: CallKey
    digest: str
    deadline: float
    wall_time: float
    outage: OutagePolicy = OutagePolicy.SERVE
    forwarded: bool = False
    inquire: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordsRead:
    """The log answered a read.

    :param start: offset at which the read started.
    :param entries: the records, by rising offset.
    :param next_offset: offset to read from next.
    :param trimmed_to: first offset that the log still has.
    :param at_end: whether the read reached the end of the log.
    :param wall_time: wall time after the answer arrived, in seconds since the epoch.
    """

    start: int
    entries: tuple[LogEntry, ...]
    next_offset: int
    trimmed_to: int
    at_end: bool
    wall_time: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailed:
    """A read of the log failed or timed out."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendConfirmed:
    """The log confirmed an append.

    :param batch: batch number of the append.
    """

    batch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendFailed:
    """An append failed and certainly took no effect.

    :param batch: batch number of the append.
    """

    batch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendUnknown:
    """An append timed out or its answer was lost; it may still take effect, even later.

    :param batch: batch number of the append.
    """

    batch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeArrived:
    """A backend server sent its whole answer.

    :param key: key of the call.
    :param attempt: id of the attempt in the :class:`Dispatch`.
    :param outcome: the answer.
    :param wall_time: wall time, in seconds since the epoch.
    """

    key: CallKey
    attempt: str
    outcome: Outcome
    wall_time: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchUnsent:
    """No byte of the call reached any backend server.

    :param key: key of the call.
    :param attempt: id of the attempt in the :class:`Dispatch`.
    :param wall_time: wall time, in seconds since the epoch.
    """

    key: CallKey
    attempt: str
    wall_time: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchLost:
    """At least one byte of the call was sent, and no whole answer arrived.

    :param key: key of the call.
    :param attempt: id of the attempt in the :class:`Dispatch`.
    """

    key: CallKey
    attempt: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HomeReplied:
    """The home replied to a forwarded attempt.

    :param attempt: id of the attempt at this instance.
    :param reply: the home's reply; its ``attempt`` is the id at the home.
    """

    attempt: str
    reply: "Reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class HomeUnreachable:
    """The home could not be reached, or did not reply.

    :param attempt: id of the attempt at this instance.
    :param bytes_sent: whether a byte of this attempt may have reached the home. The
        policies ignore it: in both cases an earlier attempt may have reached the
        home.
    """

    attempt: str
    bytes_sent: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptCancelled:
    """The caller of an attempt disconnected; no reply is needed.

    :param attempt: id of the attempt.
    """

    attempt: str


# Queries


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketsQuery:
    """Ask for tickets; the answer is a tuple of strings, or ``NO_TICKETS``.

    :param account: name of the client account.
    :param nonces: one random nonce per ticket, 16 bytes each.
    :param wall_time: wall time, in seconds since the epoch.
    """

    account: str
    nonces: tuple[bytes, ...]
    wall_time: float


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendRecords:
    """Append records to the log in one append.

    The task reports :class:`AppendConfirmed`, :class:`AppendFailed`, or, also after
    its timeout, :class:`AppendUnknown`.

    :param batch: batch number of the append.
    :param records: the records, in order.
    """

    batch: int
    records: tuple[Record, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadLog:
    """Read the log; the task reports :class:`RecordsRead` or :class:`ReadFailed`.

    :param start: offset at which to start.
    """

    start: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch:
    """Send the call to a backend server, immediately and once.

    The task may try another backend server only while no byte has been sent.

    :param key: key of the call.
    :param attempt: id of the attempt whose body is sent.
    """

    key: CallKey
    attempt: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardToHome:
    """Forward an attempt to the home of its key.

    :param home: incarnation of the home.
    :param key: key of the call.
    :param attempt: id of the attempt.
    """

    home: str
    key: CallKey
    attempt: str


class Verdict(StrEnum):
    """Result of an attempt.

    - ``OUTCOME``: the call was run, and its outcome is known.
    - ``NOT_RUN``: the call was not run and never will be.
    - ``UNKNOWN``: the call may have been run.
    - ``CONFLICT``: the key was first used for another request.
    - ``EXPIRED``: the key has expired, or its time lies in the future.
    - ``FORGED``: the ticket was not issued to this client account.
    - ``BAD_KEY``: the key is neither a ticket nor a UUIDv7 in lower case.
    - ``OVERLOAD``: a bound was reached.
    """

    OUTCOME = "outcome"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    CONFLICT = "conflict"
    EXPIRED = "expired"
    FORGED = "forged"
    BAD_KEY = "bad_key"
    OVERLOAD = "overload"


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """Reply to an attempt.

    :param attempt: id of the attempt.
    :param key: key of the call.
    :param verdict: result of the attempt.
    :param ran: ``NO`` only if the call was never run and never will be; ``None`` with
        an outcome.
    :param outcome: the backend server's answer, for verdict ``OUTCOME``.
    :param reason: reason for the verdict, one clause.
    """

    attempt: str
    key: CallKey
    verdict: Verdict
    ran: Ran | None = Ran.UNKNOWN
    outcome: Outcome | None = None
    reason: str = ""
