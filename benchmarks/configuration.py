"""Cost of configuration: size, parse, fold, and how fast a version spreads.

``python -m benchmarks.configuration [--json PATH] [--repeats N] [--short]``
"""

import argparse
import json
import platform
import random
import statistics
import tempfile
import time
import zlib
from dataclasses import asdict, dataclass, replace
from pathlib import Path

from wasabistage.declarations import (
    FORMAT,
    ConfigFold,
    ConfigPeerView,
    ConfigProposed,
    EveryonePolls,
    LiveInstances,
    LogRead,
    LogRecord,
    PollQuery,
    check_folder,
    digest_of,
    encode_deployment,
    encode_record,
)

SEED = 20260501
CHANGES_A_DAY = 2000
DAY_SECONDS = 86400
SIZES = ((6, 10), (10, 10), (50, 100), (200, 100), (200, 750), (1100, 750))
SHORT_SIZES = ((6, 10),)
MODELS = 6
FLEETS = (7, 40, 400)


@dataclass(frozen=True, kw_only=True)
class SizeRow:
    """Figures at one size of a deployment.

    :param servers: backend servers.
    :param accounts: client accounts.
    :param json_bytes: the deployment as plain JSON.
    :param record_bytes: one record of the log.
    :param check_ms: reading and checking the folder, median, in ms.
    :param check_spread_ms: largest less smallest, in ms.
    :param fold_ms: folding one record as it comes, median, in ms.
    :param fold_spread_ms: largest less smallest, in ms.
    :param catch_up_ms: folding one of a batch of 50, median, in ms.
    :param bytes_a_second: record bytes an entry reads at 2,000 changes a day.
    :param core_share: share of a core that folding takes at that rate.
    """

    servers: int
    accounts: int
    json_bytes: int
    record_bytes: int
    check_ms: float
    check_spread_ms: float
    fold_ms: float
    fold_spread_ms: float
    catch_up_ms: float
    bytes_a_second: float
    core_share: float


@dataclass(frozen=True, kw_only=True)
class SpreadRow:
    """How long an appended record waits for the first poll of any entry.

    :param policy: name of the polling policy.
    :param entries: live entries.
    :param median_s: median wait, in seconds.
    :param p99_s: 99th percentile, in seconds.
    :param longest_s: longest of the trials, in seconds.
    :param reads_a_second: reads of the log by all entries together.
    """

    policy: str
    entries: int
    median_s: float
    p99_s: float
    longest_s: float
    reads_a_second: float


def write_folder(folder, servers, accounts, draw):
    """Write declaration files of a given size.

    :param folder: an empty folder.
    :param servers: backend servers.
    :param accounts: client accounts.
    :param draw: a seeded ``random.Random``.
    """
    lines = ["[deployment]", "name = d", "failure_domains = a, b, c, d"]
    for index in range(MODELS):
        lines += [f"[model m{index}]", "version = 1"]
        lines += [f"[service s{index}]", "kind = model", f"model = m{index}"]
        lines += [f"[call s{index}.chat]", "path = /v1/chat/completions"]
    (folder / "deployment.ini").write_text("\n".join(lines))
    lines = []
    for index in range(servers):
        address = f"10.0.{index // 250}.{index % 250 + 1}:9000"
        lines += [f"[server engine-{index}]", f"address = {address}"]
        lines += [f"failure_domain = {'abcd'[index % 4]}", f"models = m{index % 6}"]
    (folder / "servers.ini").write_text("\n".join(lines))
    lines = []
    for index in range(accounts):
        lines += [f"[account account-{index}]", f"weight = {1 + index % 4}"]
        lines += [f"key_hashes = {draw.randbytes(32).hex()}", "rate = 1000"]
    (folder / "accounts.ini").write_text("\n".join(lines))


def chain(deployment, count):
    """Write records that each change one account's weight.

    :param deployment: the deployment to start from.
    :param count: number of records.
    :return: a list of :class:`wasabistage.declarations.LogRecord`.
    """
    records = []
    name = next(iter(deployment.accounts))
    for index in range(count):
        account = replace(deployment.accounts[name], weight=float(index + 1))
        accounts = {**deployment.accounts, name: account}
        payload = encode_deployment(replace(deployment, accounts=accounts))
        proposal = ConfigProposed(
            id=f"p{index}",
            base_version=index,
            digest=digest_of(payload),
            payload=payload,
            format=FORMAT,
        )
        records.append(LogRecord(offset=index, data=encode_record(proposal)))
    return records


def fold_times(records, batch):
    """Fold records in batches.

    :param records: records from offset 0.
    :param batch: records in one read.
    :return: a list of milliseconds for each record of each batch.
    """
    fold = ConfigFold().reset()
    times = []
    for start in range(0, len(records), batch):
        part = tuple(records[start : start + batch])
        read = LogRead(start=start, end=start + len(part), records=part)
        begin = time.perf_counter()
        fold.observe(read, 0.0)
        fold.tick(0.0)
        times.append((time.perf_counter() - begin) * 1000 / len(part))
    assert fold.state_.version == len(records)
    return times


def measure_size(servers, accounts, repeats, count):
    """Measure one size.

    :param servers: backend servers.
    :param accounts: client accounts.
    :param repeats: repeats of each measurement.
    :param count: records folded.
    :return: a :class:`SizeRow`.
    """
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        write_folder(folder, servers, accounts, random.Random(SEED))
        checks = []
        for _ in range(repeats):
            begin = time.perf_counter()
            result = check_folder(folder)
            checks.append((time.perf_counter() - begin) * 1000)
    if result.problems:
        raise SystemExit(f"benchmark deployment is wrong: {result.problems[0]}")
    records = chain(result.deployment, count)
    singles = fold_times(records, 1)
    batches = [statistics.median(fold_times(records, 50)) for _ in range(repeats)]
    fold_ms = statistics.median(singles)
    size = len(records[-1].data)
    payload = encode_deployment(result.deployment)
    return SizeRow(
        servers=servers,
        accounts=accounts,
        json_bytes=len(zlib.decompress(payload)),
        record_bytes=size,
        check_ms=statistics.median(checks),
        check_spread_ms=max(checks) - min(checks),
        fold_ms=fold_ms,
        fold_spread_ms=max(singles) - min(singles),
        catch_up_ms=statistics.median(batches),
        bytes_a_second=size * CHANGES_A_DAY / DAY_SECONDS,
        core_share=fold_ms / 1000 * CHANGES_A_DAY / DAY_SECONDS,
    )


def measure_spread(kind, entries, trials):
    """Draw how long a record waits for the first poll of any entry.

    :param kind: class of the peer view.
    :param entries: live entries.
    :param trials: number of records.
    :return: a :class:`SpreadRow`.
    """
    draw = random.Random(SEED + entries)
    view = kind().reset()
    view.observe(LiveInstances(names=tuple(f"e{i}" for i in range(entries))), 0.0)
    horizon = trials * 10.0
    polls = []
    for _ in range(entries):
        now = draw.random() * view.poll_wait(draw.random())
        while now < horizon:
            polls.append(now)
            query = PollQuery(next_offset=0, draw=draw.random())
            view.last_poll_ = None
            view.decide(query, now)
            now += view.wait_
    polls.sort()
    waits = sorted(first_wait(polls, draw.random() * horizon) for _ in range(trials))
    return SpreadRow(
        policy=kind.__name__,
        entries=entries,
        median_s=statistics.median(waits),
        p99_s=waits[int(0.99 * (len(waits) - 1))],
        longest_s=waits[-1],
        reads_a_second=len(polls) / horizon,
    )


def first_wait(polls, moment):
    """Find the wait until the next poll.

    :param polls: sorted times of polls.
    :param moment: time of the append.
    :return: seconds.
    """
    low, high = 0, len(polls)
    while low < high:
        middle = (low + high) // 2
        if polls[middle] < moment:
            low = middle + 1
        else:
            high = middle
    return polls[low] - moment if low < len(polls) else 0.0


def show(rows):
    """Print rows as a table.

    :param rows: data classes of one kind.
    """
    names = list(asdict(rows[0]))
    print("| " + " | ".join(names) + " |")
    print("|" + "---|" * len(names))
    for row in rows:
        values = asdict(row).values()
        cells = [f"{v:.3g}" if isinstance(v, float) else str(v) for v in values]
        print("| " + " | ".join(cells) + " |")
    print()


def main(argv=None):
    """Run the benchmark.

    :param argv: command-line arguments; ``None`` for those of the process.
    """
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", type=Path, help="write the figures to this file")
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--short", action="store_true", help="the smallest size only")
    options = parser.parse_args(argv)
    sizes = SHORT_SIZES if options.short else SIZES
    count = 50 if options.short else 100
    size_rows = [measure_size(*size, options.repeats, count) for size in sizes]
    trials = 100 if options.short else 1000
    fleets = FLEETS[:1] if options.short else FLEETS
    kinds = (ConfigPeerView, EveryonePolls)
    spread_rows = [measure_spread(k, n, trials) for n in fleets for k in kinds]
    machine = f"{platform.machine()}, Python {platform.python_version()}"
    print(f"seed {SEED}; {machine}; {options.repeats} repeats\n")
    show(size_rows)
    show(spread_rows)
    if options.json:
        report = {
            "seed": SEED,
            "machine": machine,
            "repeats": options.repeats,
            "sizes": [asdict(row) for row in size_rows],
            "spread": [asdict(row) for row in spread_rows],
        }
        options.json.write_text(json.dumps(report, indent=2) + "\n")


if __name__ == "__main__":
    main()
