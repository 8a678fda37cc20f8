"""At-most-once execution of non-idempotent calls.

One trio task owns a :class:`OnceCoordinator`. It passes each event to ``observe`` and
then starts each action that ``tick`` returns, in order. It also calls ``tick`` on a
timer, at least every 20 milliseconds while an action or a caller is waiting. The
task reports the result of each action as another event. It starts each action
without consulting the coordinator again: a :class:`Dispatch` that starts late is
still the only one for its key.

Terms:

- A *key* identifies one call of one client account. It is either a *ticket*, which
  an instance has issued, or a UUIDv7 that the caller has generated (the parameter
  ``own_keys`` is named after these). Several *attempts* may carry the same key.
- The *home* of a key is the one instance that may dispatch the call. It is named by
  its incarnation: a random id that a process takes at each start. The home of a
  ticket is its issuer; the home of a UUIDv7 is the writer of the first *claim* in
  the log.
- An *inquiry* is an attempt that asks for the outcome of a key and never runs it.
- An *abandon* record states that a key must not be run. It holds if it precedes every
  claim of the key, or if the home wrote it.
- A *carried copy* is a record that was appended again, so that the log doesn't trim
  it while its key is live.

Start a call and report its outcome:

>>> from wasabistage.once import (
...     CallArrived, CallKey, Dispatch, OnceCoordinator, Outcome, OutcomeArrived, Reply,
...     TicketsQuery, compute_call_digest,
... )
>>> once = OnceCoordinator(incarnation="a1", secret=bytes(32)).reset()
>>> wall, now = 1_700_000_000.0, 50.0
>>> query = TicketsQuery(account="padavu", nonces=(bytes(16),), wall_time=wall)
>>> (ticket,) = once.decide(query, now)
>>> key = CallKey(account="padavu", key=ticket)
>>> call = CallArrived(
...     attempt="r1", key=key, digest=compute_call_digest("shop", "buy", b"hint 7"),
...     deadline=now + 5.0, wall_time=wall,
... )
>>> once.observe(call, now)
>>> [type(action).__name__ for action in once.tick(now)]
['AppendRecords', 'ReadLog', 'Dispatch']
>>> outcome = Outcome(status=201, body=b"bought")
>>> arrived = OutcomeArrived(key=key, attempt="r1", outcome=outcome, wall_time=wall)
>>> once.observe(arrived, now)
>>> [action.outcome.body for action in once.tick(now) if isinstance(action, Reply)]
[b'bought']

A second attempt with the same key gets the same outcome without a dispatch:

>>> from dataclasses import replace
>>> once.observe(replace(call, attempt="r2"), now)
>>> [(action.attempt, action.outcome.status) for action in once.tick(now)]
[('r2', 201)]

Rules for the task:

- Set ``RecordsRead.wall_time`` after the log's answer has arrived, never before: an
  earlier time could make an expired key look live.
- Report an append that is not answered in time as :class:`AppendUnknown`.
- On :class:`Dispatch`, try another backend server only while no byte has been sent.
  If none takes the call, report :class:`DispatchUnsent`. After the first byte, report
  :class:`OutcomeArrived` with the whole answer, or :class:`DispatchLost`. Never send
  the call a second time.
- On :class:`ForwardToHome`, let the home observe a :class:`CallArrived` with
  ``forwarded`` set, and report its :class:`Reply` in a :class:`HomeReplied`. Report
  any failure as :class:`HomeUnreachable`.
- Take a new random incarnation and secret at each start of the process.
"""

from wasabistage.once._batcher import LogBatcher
from wasabistage.once._coordinator import OnceCoordinator
from wasabistage.once._fold import ClaimFold
from wasabistage.once._home import CallPhase
from wasabistage.once._keys import NOT_A_KEY, generate_uuid_key, parse_uuid_key_time
from wasabistage.once._log_first import LogFirstPolicy
from wasabistage.once._logged_state import LoggedState
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
    "CallPhase",
    "ClaimFold",
    "Dispatch",
    "DispatchLost",
    "DispatchUnsent",
    "ForwardToHome",
    "HomeReplied",
    "HomeUnreachable",
    "LogBatcher",
    "LogEntry",
    "LogFirstPolicy",
    "LoggedState",
    "NOT_A_KEY",
    "NOT_A_TICKET",
    "NO_TICKETS",
    "OnceCoordinator",
    "OncePolicy",
    "Outcome",
    "OutcomeArrived",
    "ReadFailed",
    "ReadLog",
    "Record",
    "RecordKind",
    "RecordsRead",
    "Reply",
    "Ticket",
    "TicketMint",
    "TicketPolicy",
    "TicketsQuery",
    "UncheckedPolicy",
    "Verdict",
    "build_error",
    "compute_call_digest",
    "decode_record",
    "encode_record",
    "generate_uuid_key",
    "parse_ticket",
    "parse_uuid_key_time",
]
