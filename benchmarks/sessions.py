"""Cost of checked answers, of the session table, and of state charts.

Run: ``python -m benchmarks.sessions``. Medians of the repeats; times come from the
machine.
"""

import statistics
import time
from dataclasses import dataclass

from wasabistage.charts import ChartInterpreter, CompiledChart
from wasabistage.sessions import (
    AnswerDigest,
    EndFrame,
    Frame,
    FrameChecker,
    SessionTable,
    StreamTable,
)

REPEATS = 5
ITEMS = 4000
ITEM = b"x" * 24
CAPACITIES = (10_000, 100_000, 830_000)
EVENTS = 1000


def time_per(count, action):
    """Time an action.

    :param count: how many steps it takes.
    :param action: function without arguments.
    :return: microseconds per step, median of the repeats.
    """
    times = []
    for _ in range(REPEATS):
        start = time.perf_counter()
        action()
        times.append((time.perf_counter() - start) / count * 1e6)
    return statistics.median(times)


def check_answer(frames):
    """Check an answer's frames.

    :param frames: the frames with their end mark.
    """
    check = FrameChecker("r")
    for frame in frames:
        check.check(frame)
    assert check.ended


def buffer_answer():
    """Pass an answer through a stream table."""
    table = StreamTable().reset()
    table.open("a", "r", 0.0)
    for position in range(ITEMS):
        table.append("a", "r", ITEM, 0.0)
        table.read("a", "r", position, 0.0)


def measure_answers():
    """Print the cost of an item."""
    digest, frames = AnswerDigest(), []
    for position in range(ITEMS):
        frames.append(Frame(request_id="r", position=position, data=ITEM))
        digest.add(ITEM)
    frames.append(EndFrame(request_id="r", length=ITEMS, digest=digest.value()))
    print(f"frame check: {time_per(ITEMS, lambda: check_answer(frames)):.2f} us/item")
    print(f"stream table, in and out: {time_per(ITEMS, buffer_answer):.2f} us/item")


@dataclass(frozen=True, kw_only=True)
class TableCost:
    """Cost of a full session table.

    :param memory: its size, in bytes.
    :param evicted: sessions evicted while it was filled to its capacity.
    :param record: time of one record, in microseconds.
    :param lookup: time of one lookup, in microseconds.
    """

    memory: int
    evicted: int
    record: float
    lookup: float


def measure_sessions(capacity):
    """Fill a table to its capacity.

    :param capacity: sessions.
    :return: a :class:`TableCost`.
    """
    table = SessionTable(capacity).reset()
    start = time.perf_counter()
    for number in range(capacity):
        account = f"account-{number % 750}"
        server = f"server-{number % 1100}"
        table.record(account, f"session-{number}", server, number % 50, number)
    record = (time.perf_counter() - start) / capacity * 1e6
    sample = range(0, capacity, max(1, capacity // 10_000))
    start = time.perf_counter()
    for number in sample:
        table.lookup(f"account-{number % 750}", f"session-{number}")
    lookup = (time.perf_counter() - start) / len(sample) * 1e6
    return TableCost(
        memory=table.memory(), evicted=table.evicted_, record=record, lookup=lookup
    )


def show_sessions(capacity):
    """Print the cost of a full table.

    :param capacity: sessions.
    """
    cost = measure_sessions(capacity)
    print(
        f"{capacity:9} {cost.memory / 1e6:7.2f} {cost.memory / capacity:8.1f}"
        f" {cost.evicted / capacity:8.2%} {cost.record:8.2f} {cost.lookup:8.2f}"
    )


def measure_chart(kind):
    """Print the cost of a chart.

    :param kind: interpreter class.
    """
    chart = kind("answer_stream")
    chart.send("open")

    def send():
        for _ in range(EVENTS):
            chart.send("item")

    def make():
        for _ in range(EVENTS // 10):
            kind("answer_stream")

    new, event = time_per(EVENTS // 10, make), time_per(EVENTS, send)
    print(f"{kind.__name__:18} {event:8.2f} us/event {new:8.2f} us new")


def main():
    """Print every table."""
    measure_answers()
    print("\n sessions      MB bytes each evicted   record   lookup (us)")
    for capacity in CAPACITIES:
        show_sessions(capacity)
    print()
    for kind in (ChartInterpreter, CompiledChart):
        measure_chart(kind)


if __name__ == "__main__":
    main()
