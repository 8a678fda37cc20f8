"""Play soaks: ``python -m tools.soak --seed 1 --seconds 60 --entries 12``."""

import argparse
import json
import sys
import tempfile
from collections import Counter
from dataclasses import asdict
from pathlib import Path

import trio

from tools.soak._checks import Bounds, find_retry_peaks, find_violations
from tools.soak._faults import Fault, FaultInjector, draw_schedule
from tools.soak._processor import SOAK, judge_served, sum_usage
from tools.soak._world import KINDS as SHORT_KINDS
from tools.soak._world import LONG_KINDS, World

KINDS = (
    "kill",
    "restart_in_turn",
    "freeze",
    "reload",
    "grey",
    "slow",
    "crash",
    "leave",
    "odd_entry",
    "lose_answers",
    "answer_late",
    "trim",
)
#: Kinds that are played only where they are named: they would change the schedules that
#: seeds draw.
NAMED_KINDS = (
    "bump",
    "cold_return",
    "dedicate",
    "drill",
    "evacuate",
    "lapse",
    "publish",
    "revoke",
    "stall",
)
SERVED_SHARE = 0.9  # of the calls after the last fault
SETTLED_SECONDS = 8.0  # calm traffic after the last fault
ALARMS = ("task_failed", "not_json")
LONGEST_STREAM_SECONDS = 4.0  # a stream of 3 s, with some room
SHOWN = 12


def parse_schedule(text):
    """Return the :class:`Fault` items of a text.

    :param text: rows of moment, kind, seconds and share, such as ``2:kill:1.5:1.0``,
        separated by commas.
    """
    faults = []
    for row in text.split(","):
        at, kind, seconds, share = row.split(":")
        fault = Fault(
            at=float(at), kind=kind, seconds=float(seconds), share=float(share)
        )
        faults.append(fault)
    return faults


def play_soak(
    seed,
    *,
    schedule=None,
    seconds,
    entries,
    servers,
    faults,
    kinds,
    rate,
    bounds,
    folder,
    isolated=0.0,
    has_long_streams=False,
    first_start=False,
):
    """Play one soak.

    :param seed: of the schedule and all other choices.
    :param schedule: list of :class:`Fault`; ``None`` to draw one.
    :param seconds: length of the schedule.
    :param entries: number of edge processes.
    :param servers: number of backend servers of each service.
    :param faults: number of faults.
    :param kinds: kinds of faults.
    :param rate: requests of callers per second.
    :param bounds: a :class:`tools.soak._checks.Bounds`.
    :param folder: folder for settings and logs.
    :param isolated: share of the edge processes that no report reaches.
    :param has_long_streams: whether callers also send requests for long streams.
    :param first_start: whether the settings say at every start of a process that the
        whole fleet starts for the first time.
    :return: dict of results; ``violations`` is a list of texts.
    """
    world = World(
        seed,
        folder,
        entries=entries,
        plain=servers,
        engines=servers,
        rate=rate,
        bounds=bounds,
        isolated=isolated,
        kinds=LONG_KINDS if has_long_streams else SHORT_KINDS,
        first_start=first_start,
    )
    if schedule is None:
        schedule = draw_schedule(world.random, kinds, seconds, faults)
    begun, violations = {}, []

    async def main():
        async with trio.open_nursery() as nursery:
            try:
                await world.start(nursery)
                begun["at"] = world.timer.now()
                nursery.start_soon(world.send_traffic)
                await FaultInjector(world, seed).play(schedule)
                elapsed = world.timer.now() - begun["at"]
                await trio.sleep(max(0.0, seconds - elapsed))
                # A machine that is busy takes its time to start a process.
                violations.extend(await world.find_unready())
                violations.extend(await world.find_old_engines())
                await trio.sleep(SETTLED_SECONDS)
            finally:
                nursery.cancel_scope.cancel()
                with trio.CancelScope(shield=True):
                    await world.stop()

    trio.run(main)
    record = world.record
    statuses = Counter(f"{item.kind} {item.status}" for item in record.sent)
    last = max(item.at for item in record.sent)
    # Requests that were sent last may be open at the end.
    begin = last - 6.0
    end = last - (LONGEST_STREAM_SECONDS if has_long_streams else 3.0)
    calm = [item for item in record.sent if begin < item.at < end]
    served = sum(item.status == 200 for item in calm)
    violations.extend(find_violations(record, bounds))
    if served < SERVED_SHARE * len(calm):
        failed = Counter(
            f"{item.entry} {item.status}" for item in calm if item.status != 200
        )
        judgement = judge_served(
            world.meter.samples, calm, last - 6.0, last, SERVED_SHARE
        )
        violations.append(
            f"RECOVER: {served} of {len(calm)} served after the faults, "
            f"{dict(failed)}; {judgement}"
        )
    alarms = Counter(
        f"{row['event']} {row.get('error', '')} {row.get('reason', '')[:60]}"
        for row in world.collect_events(*ALARMS)
    )
    repeats = len(record.arrivals) - len({a.request_id for a in record.arrivals})
    return {
        "seed": seed,
        "begun_at": round(begun["at"], 2),
        "schedule": [asdict(fault) for fault in schedule],
        "requests": len(record.sent),
        "repeats": repeats,
        "retry_peaks": {
            service: f"{count} of {allowed:.0f}"
            for service, (count, allowed, _) in find_retry_peaks(record, bounds).items()
        },
        "leavings": len(record.leavings),
        "cold_spans": len(record.cold_spans),
        "evacuations": len(record.evacuations),
        "drills": len(record.drills),
        "dedications": len(record.dedications),
        "statuses": dict(statuses),
        "processor": describe_processor(world, begun["at"], last),
        "alarms": dict(alarms),
        "violations": violations,
    }


def describe_processor(world, begin, end):
    """Return what the processes of a soak got of the processor, as a dict of texts.

    :param world: a :class:`tools.soak._world.World`.
    :param begin: start of the span, in seconds.
    :param end: its end, in seconds.
    """
    samples = world.meter.samples
    usages = [sum_usage(samples, item.name, begin, end) for item in world.programs]
    worst = max(usages, key=lambda item: item.denied)
    delays = world.find_start_delays()
    return {
        "soak": str(sum_usage(samples, SOAK, begin, end)),
        "worst": str(worst),
        "lag": f"{world.meter.longest_lag:.2f} s",
        "starts": f"{len(delays)}, up to {max(delays, default=0.0):.1f} s each",
    }


def main():
    """Play the soaks that the command line names; exit with 1 if one failed."""
    parser = argparse.ArgumentParser(prog="tools.soak")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--entries", type=int, default=6)
    parser.add_argument("--servers", type=int, default=4, help="of each service")
    parser.add_argument("--faults", type=int, default=8)
    parser.add_argument("--kinds", default=",".join(KINDS))
    parser.add_argument("--schedule", default="", help="AT:KIND:SECONDS:SHARE,...")
    parser.add_argument("--rate", type=float, default=40.0, help="requests a second")
    parser.add_argument("--retry-extra", type=float, default=54.0)
    parser.add_argument("--drain", type=float, default=2.0, help="seconds")
    parser.add_argument("--settle", type=float, default=3.0, help="seconds")
    parser.add_argument(
        "--cold-rate",
        type=float,
        default=0.0,
        help="requests a second that a cold server tolerates; 0 limits none",
    )
    parser.add_argument("--isolated", type=float, default=0.0, help="0 to 1")
    parser.add_argument(
        "--long-streams", action="store_true", help="also send long streams"
    )
    parser.add_argument(
        "--first-start",
        action="store_true",
        help="settings always say that the fleet starts for the first time",
    )
    parser.add_argument("--out", default="", help="file for the results, JSON lines")
    parser.add_argument("--keep", default="", help="folder in which logs are kept")
    options = parser.parse_args()
    kinds = options.kinds.split(",")
    known = [*KINDS, *NAMED_KINDS]
    if unknown := set(kinds) - set(known):
        parser.error(f"unknown kinds {sorted(unknown)}; known are {known}")
    bounds = Bounds(
        retry_extra=options.retry_extra,
        drain=options.drain,
        settle=options.settle,
        cold_rate=options.cold_rate,
    )
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with tempfile.TemporaryDirectory(prefix="soak-") as temporary:
            folder = Path(options.keep or temporary) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            result = play_soak(
                seed,
                schedule=parse_schedule(options.schedule) if options.schedule else None,
                seconds=options.seconds,
                entries=options.entries,
                servers=options.servers,
                faults=options.faults,
                kinds=kinds,
                rate=options.rate,
                bounds=bounds,
                folder=folder,
                isolated=options.isolated,
                has_long_streams=options.long_streams,
                first_start=options.first_start,
            )
        failed += bool(result["violations"])
        print_result(result)
        if options.out:
            with open(options.out, "a", encoding="utf-8") as file:
                file.write(json.dumps(result) + "\n")
    print(f"{options.seeds - failed} seeds held, {failed} failed")
    sys.exit(1 if failed else 0)


def print_result(result):
    """Print the result of one seed; the schedule of a failed one, too."""
    violations = result["violations"]
    print(
        f"seed {result['seed']}: {result['requests']} requests, "
        f"{result['repeats']} repeats, peaks {result['retry_peaks']}, "
        f"{result['leavings']} leavings, "
        f"{len(violations)} violations, alarms {result['alarms']}",
        flush=True,
    )
    print("  processor", result["processor"], flush=True)
    if violations:
        print("  statuses", result["statuses"])
        for fault in result["schedule"]:
            print("  ", fault)
    for text in violations[:SHOWN]:
        print("  ", text, flush=True)


if __name__ == "__main__":
    main()
