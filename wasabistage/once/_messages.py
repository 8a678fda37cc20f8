"""Typed messages of the once-only decisions: events, queries, actions."""

from dataclasses import dataclass
from enum import StrEnum

from wasabistage.base import Ran
from wasabistage.declarations import OutagePolicy
from wasabistage.once._records import CallKey, LogEntry, Outcome, Record

# Events


@dataclass(frozen=True, kw_only=True, slots=True)
class CallArrived:
    """An attempt of a non-idempotent call.

    :param attempt: identifier of the attempt, unique within the process.
    :param key: key of the call.
    :param digest: digest of the call, see :func:`compute_call_digest`.
    :param deadline: monotonic time after which nobody waits for it, in seconds.
    :param wall: wall time, in seconds since the epoch.
    :param outage: declared behaviour while the log is out of reach.
    :param forwarded: whether a peer sent it here as to its home.
    :param inquire: whether the caller only asks what became of the key; a key
        that can still be stopped is then refused for ever.
    """

    attempt: str
    key: CallKey
    digest: str
    deadline: float
    wall: float
    outage: OutagePolicy = OutagePolicy.SERVE
    forwarded: bool = False
    inquire: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class RecordsRead:
    """The log answered a read.

    :param start: offset that the read began at.
    :param entries: the records, by rising offset.
    :param next_offset: offset to read from next.
    :param trimmed_to: first offset that the log still holds.
    :param at_end: whether the read reached the end of the log.
    :param wall: wall time taken after the answer arrived, never before.
    """

    start: int
    entries: tuple[LogEntry, ...]
    next_offset: int
    trimmed_to: int
    at_end: bool
    wall: float


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadFailed:
    """A read of the log failed or timed out."""


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendConfirmed:
    """The log confirmed an append.

    :param batch: number of the append.
    """

    batch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendFailed:
    """An append certainly took no effect.

    :param batch: number of the append.
    """

    batch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendUnknown:
    """An append timed out or its answer was lost; it may take effect, also later.

    :param batch: number of the append.
    """

    batch: int


@dataclass(frozen=True, kw_only=True, slots=True)
class OutcomeArrived:
    """A backend server answered in full.

    :param key: key of the call.
    :param attempt: attempt named by the :class:`Dispatch`.
    :param outcome: the answer.
    :param wall: wall time, in seconds since the epoch.
    """

    key: CallKey
    attempt: str
    outcome: Outcome
    wall: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchUnsent:
    """No byte of the call reached any backend server.

    :param key: key of the call.
    :param attempt: attempt named by the :class:`Dispatch`.
    :param wall: wall time, in seconds since the epoch.
    """

    key: CallKey
    attempt: str
    wall: float


@dataclass(frozen=True, kw_only=True, slots=True)
class DispatchLost:
    """A byte was sent and no whole answer came.

    :param key: key of the call.
    :param attempt: attempt named by the :class:`Dispatch`.
    """

    key: CallKey
    attempt: str


@dataclass(frozen=True, kw_only=True, slots=True)
class HomeReplied:
    """The home answered a forwarded attempt.

    :param attempt: the attempt here.
    :param reply: the home's reply; its ``attempt`` is the home's own.
    """

    attempt: str
    reply: "Reply"


@dataclass(frozen=True, kw_only=True, slots=True)
class HomeUnreachable:
    """The home could not be asked, or did not answer.

    :param attempt: the attempt here.
    :param bytes_sent: whether a byte of this attempt may have reached it. It
        decides nothing: an earlier attempt may have reached it in either case.
    """

    attempt: str
    bytes_sent: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class AttemptCancelled:
    """The caller of an attempt went away; no reply is wanted.

    :param attempt: the attempt.
    """

    attempt: str


# Queries


@dataclass(frozen=True, kw_only=True, slots=True)
class TicketsQuery:
    """Ask for tickets; answered with a tuple of strings or a sentinel.

    :param account: name of the client account.
    :param nonces: one random nonce per ticket, 16 bytes each.
    :param wall: wall time, in seconds since the epoch.
    """

    account: str
    nonces: tuple[bytes, ...]
    wall: float


# Actions


@dataclass(frozen=True, kw_only=True, slots=True)
class AppendRecords:
    """Append records to the log in one append.

    The task reports one of the ``Append…`` events; silence past its timeout is
    :class:`AppendUnknown`.

    :param batch: number of the append.
    :param records: the records, in order.
    """

    batch: int
    records: tuple[Record, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class ReadLog:
    """Read the log; the task reports :class:`RecordsRead` or :class:`ReadFailed`.

    :param start: offset to begin at.
    """

    start: int


@dataclass(frozen=True, kw_only=True, slots=True)
class Dispatch:
    """Send the call to a backend server, now and once.

    The task may go on to another backend server only while no byte was sent.

    :param key: key of the call.
    :param attempt: attempt whose body is sent.
    """

    key: CallKey
    attempt: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ForwardToHome:
    """Hand an attempt to the key's home.

    :param home: incarnation of the home.
    :param key: key of the call.
    :param attempt: the attempt.
    """

    home: str
    key: CallKey
    attempt: str


class Verdict(StrEnum):
    """How an attempt ended."""

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
    """Answer an attempt.

    :param attempt: the attempt.
    :param key: key of the call.
    :param verdict: how the attempt ended.
    :param ran: ``NO`` only when the key was never run and never will be; ``None``
        with an outcome.
    :param outcome: the backend server's answer, for verdict ``OUTCOME``.
    :param reason: what happened, one clause.
    """

    attempt: str
    key: CallKey
    verdict: Verdict
    ran: Ran | None = Ran.UNKNOWN
    outcome: Outcome | None = None
    reason: str = ""
