"""What a process used: processor time, memory and bytes over loopback."""

import os
from dataclasses import dataclass
from pathlib import Path

CLOCK_TICK = os.sysconf("SC_CLK_TCK")
#: Places of the user and system time after the command's closing bracket.
USER_TIME = 11
SYSTEM_TIME = 12
KIB = 1024


@dataclass(frozen=True, kw_only=True)
class Use:
    """What a process has used since its start.

    :param seconds: processor time, user and system, in seconds.
    :param resident: resident memory, in bytes.
    """

    seconds: float
    resident: int


def processor_seconds(pid):
    """Return the processor time of a process.

    :param pid: its process id.
    :return: seconds, in steps of the kernel's clock tick.
    """
    text = Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[USER_TIME]) + int(fields[SYSTEM_TIME])) / CLOCK_TICK


def resident_bytes(pid):
    """Return the resident memory of a process.

    :param pid: its process id.
    :return: bytes.
    """
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * KIB
    return 0


def read_use(pid):
    """Read what a process has used.

    :param pid: its process id.
    :return: a :class:`Use`.
    """
    return Use(seconds=processor_seconds(pid), resident=resident_bytes(pid))


def fleet_pid(fleet, name):
    """Return the process id of a fleet's process.

    :param fleet: a running :class:`standins.fleet.Fleet`.
    :param name: name of the process.
    :return: the process id.
    """
    return fleet.processes[name].process.pid


def percentile(values, share):
    """Return a percentile by nearest rank.

    :param values: the values.
    :param share: 0 to 1.
    :return: the value below which that share lies.
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
