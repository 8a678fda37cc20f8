"""Non-idempotent calls, run at most once.

One trio task owns a :class:`OnceCoordinator`. It hands over what happened with
``observe`` and then starts each action that ``tick`` returns, in order; also on a
timer, at least every 20 milliseconds while an action or a caller is waiting. The
task reports how each action ended by another event. Between ``tick`` and the start
of an action it asks nothing again: a late :class:`Dispatch` is still the only one.

Starting a call and carrying out its dispatch:

>>> from wasabistage.once import (
...     CallArrived, CallKey, Dispatch, TicketsQuery, OnceCoordinator, Outcome,
...     OutcomeArrived, Reply, compute_call_digest,
... )
>>> once = OnceCoordinator(incarnation="a1", secret=bytes(32)).reset()
>>> wall, now = 1_700_000_000.0, 50.0
>>> query = TicketsQuery(account="padavu", nonces=(bytes(16),), wall=wall)
>>> (ticket,) = once.decide(query, now)
>>> key = CallKey(account="padavu", key=ticket)
>>> call = CallArrived(
...     attempt="r1", key=key, digest=compute_call_digest("shop", "buy", b"hint 7"),
...     deadline=now + 5.0, wall=wall,
... )
>>> once.observe(call, now)
>>> [type(action).__name__ for action in once.tick(now)]
['AppendRecords', 'ReadLog', 'Dispatch']
>>> outcome = Outcome(status=201, body=b"bought")
>>> once.observe(OutcomeArrived(key=key, attempt="r1", outcome=outcome, wall=wall), now)
>>> [action.outcome.body for action in once.tick(now) if isinstance(action, Reply)]
[b'bought']

A second attempt joins the first and gets the same outcome without a dispatch:

>>> from dataclasses import replace
>>> once.observe(replace(call, attempt="r2"), now)
>>> [(action.attempt, action.outcome.status) for action in once.tick(now)]
[('r2', 201)]

Rules for the task:

- ``RecordsRead.wall`` is taken after the log's answer arrived, never before.
- An append that is not answered in time is reported as :class:`AppendUnknown`.
- :class:`Dispatch`: another backend server may be tried while no byte was sent;
  then :class:`DispatchUnsent`. After the first byte: :class:`OutcomeArrived` with
  the whole answer, or :class:`DispatchLost`. Nothing is sent a second time.
- :class:`ForwardToHome`: the peer observes a :class:`CallArrived` with
  ``forwarded`` set, and its :class:`Reply` comes back in a :class:`HomeReplied`;
  any failure is a :class:`HomeUnreachable`.
- A process that restarts takes a new random incarnation and secret.
"""

from wasabistage.once._batcher import LogBatcher
from wasabistage.once._coordinator import OnceCoordinator
from wasabistage.once._fold import ClaimFold
from wasabistage.once._home import CallPhase
from wasabistage.once._keys import NOT_A_KEY, generate_uuid_key, key_time
from wasabistage.once._log_first import LogFirstPolicy
from wasabistage.once._messages import (
    AppendConfirmed,
    AppendFailed,
    AppendRecords,
    AppendUnknown,
    AttemptCancelled,
    CallArrived,
    Dispatch,
    DispatchLost,
    DispatchUnsent,
    ForwardToHome,
    HomeReplied,
    HomeUnreachable,
    OutcomeArrived,
    ReadFailed,
    ReadLog,
    RecordsRead,
    Reply,
    TicketsQuery,
    Verdict,
)
from wasabistage.once._policy import OncePolicy, UncheckedPolicy, build_error
from wasabistage.once._records import (
    CallKey,
    LogEntry,
    Outcome,
    Record,
    RecordKind,
    compute_call_digest,
    decode_record,
    encode_record,
)
from wasabistage.once._standing import Standing
from wasabistage.once._ticket_policy import NO_TICKETS, TicketPolicy
from wasabistage.once._tickets import NOT_A_TICKET, Ticket, TicketMint, parse_ticket

__all__ = [
    "AppendConfirmed",
    "AppendFailed",
    "AppendRecords",
    "AppendUnknown",
    "AttemptCancelled",
    "CallArrived",
    "CallKey",
    "ClaimFold",
    "Dispatch",
    "DispatchLost",
    "DispatchUnsent",
    "ForwardToHome",
    "HomeReplied",
    "HomeUnreachable",
    "TicketsQuery",
    "LogBatcher",
    "LogEntry",
    "LogFirstPolicy",
    "NOT_A_KEY",
    "NOT_A_TICKET",
    "NO_TICKETS",
    "OnceCoordinator",
    "OncePolicy",
    "Outcome",
    "OutcomeArrived",
    "CallPhase",
    "ReadFailed",
    "ReadLog",
    "Record",
    "RecordKind",
    "RecordsRead",
    "Reply",
    "Standing",
    "Ticket",
    "TicketMint",
    "TicketPolicy",
    "UncheckedPolicy",
    "Verdict",
    "decode_record",
    "compute_call_digest",
    "encode_record",
    "build_error",
    "key_time",
    "generate_uuid_key",
    "parse_ticket",
]
