"""Measures the processor time that the processes of a soak got and were denied.

A process is denied the processor while it is ready to run and waits in a run queue. A
process that sleeps, waits for bytes or is frozen by a fault is not denied anything.
"""

import os
from bisect import bisect_right
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

import trio

SAMPLE_SECONDS = 0.25
NANOSECONDS = 1e9
#: Name under which the process of the soak is measured. It runs the store, the backend
#: servers and the callers.
SOAK = "soak"
#: Share of a span from which on a denial explains a failed call. Edge processes and the
#: soak are idle most of the time and then wait in no run queue.
DENIED_SHARE = 0.25


@dataclass(frozen=True, kw_only=True)
class Sample:
    """What the system has accounted to the main thread of one process.

    :param since: time of the sample before, or the start of the process if that is
        later, in seconds.
    :param until: time of this sample, in seconds.
    :param name: name of the process.
    :param ran: time that it has run in between, in seconds.
    :param denied: time that it has waited in a run queue in between, in seconds.
    """

    since: float
    until: float
    name: str
    ran: float
    denied: float


@dataclass(frozen=True, kw_only=True)
class Usage:
    """Processor time of one process in a span, in seconds.

    :param name: name of the process.
    :param span: length of the span.
    :param ran: time that it has run.
    :param denied: time that it has waited in a run queue.
    """

    name: str
    span: float
    ran: float
    denied: float

    def __str__(self):
        return (
            f"{self.name} ran {self.ran:.1f} s and was denied {self.denied:.1f} s "
            f"of {self.span:.1f} s"
        )


def read_accounts(pid, root="/proc"):
    """Return the seconds that a process has run, and has waited in a run queue.

    :param pid: id of the process.
    :param root: folder of the system's accounts.
    :return: tuple of two numbers, or ``None`` if the system gives none.
    """
    try:
        ran, denied, _ = (Path(root) / str(pid) / "schedstat").read_text().split()
        return int(ran) / NANOSECONDS, int(denied) / NANOSECONDS
    except (OSError, ValueError):
        return None


class ProcessorMeter:
    """Takes samples of the edge processes and of the soak itself.

    :param programs: list of :class:`standins.edge_program.EdgeProgram`.
    :param timer: a :class:`wasabistage.timing.TimerService`.
    :param read: function that returns the accounts of a process by its id.
    """

    def __init__(self, programs, timer, read=read_accounts):
        self.programs = programs
        self.timer = timer
        self.read = read
        self.samples = []
        self.known = {}
        self.sampled_at = None
        #: Longest time by which a wake-up of the soak was late, in seconds.
        self.longest_lag = 0.0

    async def run(self):
        """Take samples until cancelled."""
        while True:
            self.sample()
            begun_at = self.timer.now()
            await trio.sleep(SAMPLE_SECONDS)
            lag = self.timer.now() - begun_at - SAMPLE_SECONDS
            self.longest_lag = max(self.longest_lag, lag)

    def sample(self):
        """Take one sample of each process."""
        now = self.timer.now()
        since = now if self.sampled_at is None else self.sampled_at
        pids = {SOAK: os.getpid()}
        pids |= {item.name: item.process.pid for item in self.programs if item.process}
        for name, pid in pids.items():
            accounts = self.read(pid)
            if accounts is None:
                continue
            known_pid, ran, denied = self.known.get(name, (None, 0.0, 0.0))
            if known_pid != pid:
                # Another process; of the soak, only what follows counts.
                ran, denied = accounts if name == SOAK else (0.0, 0.0)
            self.known[name] = pid, *accounts
            self.samples.append(
                Sample(
                    since=since,
                    until=now,
                    name=name,
                    ran=max(0.0, accounts[0] - ran),
                    denied=max(0.0, accounts[1] - denied),
                )
            )
        self.sampled_at = now


def sum_usage(samples, name, begin, end):
    """Return the :class:`Usage` of a process in a span.

    A sample that lies in the span partly counts in proportion.

    :param samples: list of :class:`Sample`.
    :param name: name of the process.
    :param begin: start of the span, in seconds.
    :param end: its end, in seconds.
    """
    ran = denied = 0.0
    for item in samples:
        overlap = min(end, item.until) - max(begin, item.since)
        if item.name != name or overlap <= 0.0:
            continue
        share = overlap / (item.until - item.since)
        ran += share * item.ran
        denied += share * item.denied
    return Usage(name=name, span=end - begin, ran=ran, denied=denied)


def judge_readiness(samples, name, begin, end, allowed):
    """Return whether a slow machine explains that an entry was ready late.

    It does if the entry would have been ready in time without the time that it was
    denied, or that the soak with the store was denied. The larger of the two counts,
    since both may have been denied at the same time.

    :param samples: list of :class:`Sample`.
    :param name: name of the entry.
    :param begin: time of its first answer, in seconds.
    :param end: time at which it was ready, or was given up, in seconds.
    :param allowed: seconds in which it must be ready.
    :return: a text.
    """
    usages = [sum_usage(samples, item, begin, end) for item in (name, SOAK)]
    denied = max(item.denied for item in usages)
    return describe(end - begin - denied <= allowed, usages)


def judge_served(samples, calls, begin, end, bar):
    """Return whether a slow machine explains the calls that were not served.

    A failed call is explained if its entry or the soak was denied the processor for
    ``DENIED_SHARE`` of the span; the machine explains the finding if the calls that
    were served and those that are explained reach the bar together.

    :param samples: list of :class:`Sample`.
    :param calls: list of the :class:`tools.soak._checks.Sent` that are judged.
    :param begin: start of the span, in seconds.
    :param end: its end, in seconds.
    :param bar: share of the calls that must be served.
    :return: a text.
    """
    failures = Counter(item.entry for item in calls if item.status != 200)
    names = [SOAK, *(name for name, _ in failures.most_common())]
    usages = [sum_usage(samples, name, begin, end) for name in names]
    denied = {item.name for item in usages if item.denied >= DENIED_SHARE * item.span}
    explained = sum(count for name, count in failures.items() if denied & {name, SOAK})
    served = len(calls) - failures.total()
    return describe(served + explained >= bar * len(calls), usages)


def describe(is_machine, usages):
    """Return a judgement and the :class:`Usage` items that it rests on, as a text."""
    if not any(item.ran or item.denied for item in usages):
        return "processor time not measured"
    cause = "slow machine" if is_machine else "slow recovery"
    return f"{cause}: {'; '.join(str(item) for item in usages)}"


def find_start_delays(starts, begun):
    """Return the times that processes took from their start to their first log line.

    The first is read from the clock of the soak, the second from that of the process.

    :param starts: wall-clock times at which a process was started, in order.
    :param begun: wall-clock times of its first log lines.
    :return: list of seconds.
    """
    delays = []
    for moment in begun:
        index = bisect_right(starts, moment)
        if index:
            delays.append(moment - starts[index - 1])
    return delays
