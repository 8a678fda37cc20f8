"""Processor time and memory of one purchase."""

import time
import tracemalloc
from dataclasses import dataclass

from wasabistage.once import (
    AppendConfirmed,
    AppendRecords,
    CallArrived,
    CallKey,
    ClaimFold,
    LogEntry,
    OnceCoordinator,
    Outcome,
    OutcomeArrived,
    RecordsRead,
    TicketsQuery,
    decode_record,
    encode_record,
)

KEYS = 5000
ACCOUNTS = 10
BODY = 200
WALL = 1_700_000_000.0
STEP = 0.05


@dataclass(frozen=True, kw_only=True)
class Costs:
    """What one purchase costs.

    :param microseconds: processor time at its home.
    :param home_bytes: memory kept at its home.
    :param reader_bytes: memory kept by each reader of the log.
    :param record_bytes: bytes appended to the log.
    """

    microseconds: float
    home_bytes: float
    reader_bytes: float
    record_bytes: float


def measure_costs():
    """Run purchases with tickets through one home, and read its records back.

    :return: the :class:`Costs` of one purchase.
    """
    spent = _time_purchases()
    tracemalloc.start()
    once = _make_home()
    before = tracemalloc.get_traced_memory()[0]
    data = [item for number in range(KEYS) for item in _buy(once, number)]
    size = sum(map(len, data))
    kept = tracemalloc.get_traced_memory()[0] - before - _size_of(data)
    before = tracemalloc.get_traced_memory()[0]
    fold = _fold(data)
    folded = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    assert len(fold.ticket_keys_) == len(once.tickets_.states_) == KEYS
    return Costs(
        microseconds=1e6 * spent / KEYS,
        home_bytes=kept / KEYS,
        reader_bytes=folded / KEYS,
        record_bytes=size / KEYS,
    )


def _make_home():
    return OnceCoordinator(incarnation="home", secret=bytes(32)).reset()


def _size_of(data):
    return data.__sizeof__() + sum(item.__sizeof__() for item in data)


def _time_purchases():
    once = _make_home()
    start = time.process_time()
    for number in range(KEYS):
        _buy(once, number)
    return time.process_time() - start


def _buy(once, number):
    now = 100.0 + number * STEP
    account = f"account{number % ACCOUNTS}"
    nonces = (number.to_bytes(16, "big"),)
    query = TicketsQuery(account=account, nonces=nonces, wall_time=WALL)
    (ticket,) = once.decide(query, now)
    key = CallKey(account=account, key=ticket)
    attempt = f"r{number}"
    digest = f"{number:064x}"
    outcome = Outcome(status=201, body=number.to_bytes(BODY, "big"), digest=digest)
    arrived = CallArrived(
        attempt=attempt, key=key, digest=digest, deadline=now + 5.0, wall_time=WALL
    )
    ended = OutcomeArrived(key=key, attempt=attempt, outcome=outcome, wall_time=WALL)
    first = _step(once, arrived, now)
    return first + _step(once, ended, now + STEP / 2)


def _step(once, event, now):
    once.observe(event, now)
    data = []
    for action in once.tick(now):
        if isinstance(action, AppendRecords):
            data += [encode_record(record) for record in action.records]
            once.observe(AppendConfirmed(batch=action.batch), now)
    return data


def _fold(data):
    fold = ClaimFold().reset()
    for offset, item in enumerate(data):
        entry = LogEntry(offset=offset, record=decode_record(item))
        read = RecordsRead(
            start=offset,
            entries=(entry,),
            next_offset=offset + 1,
            trimmed_to=0,
            at_end=True,
            wall_time=WALL,
        )
        fold.observe(read, 100.0)
    return fold
