"""Limits of what clients may take of this process, and the counts of refusals."""

import resource
from collections import Counter

from wasabistage.clients import HoldingPolicy
from wasabistage.http1 import Intake

#: Share of the machine's memory for what clients send and are sent. The process itself,
#: facts of large fleets, buffers and gaps of the heap take the rest.
MEMORY_SHARE = 0.2
MAX_CLIENT_BYTES = 40_000_000  # keeps the process below 120 MB on any machine
BYTES_PER_MB = 1_000_000
CALLERS = "callers"
READINESS = "readiness"
DIRECTORY = "directory"
PEERS = "peers"
METRICS = "metrics"
CONTROL_GROUPS = (READINESS, DIRECTORY, PEERS, METRICS)
FILE_DESCRIPTORS = 200  # for files and libraries
MAX_CONTROL_CHANNELS = 128  # of each listener that is not the callers'
UNFINISHED_PER_MB = 2  # requests; 50 KB each for a quarter of ``MEMORY_SHARE``
LINE_INTERVAL_SECONDS = 1.0  # between two lines of the same cause


def create_policy(limits):
    """Return the :class:`HoldingPolicy` for a machine.

    :param limits: a :class:`wasabistage.edge._settings.LimitsSection`.
    """
    memory = int(limits.memory_mb * BYTES_PER_MB * MEMORY_SHARE)
    callers, control = share_descriptors(limits.max_fds)
    return HoldingPolicy(
        limit=max(1, min(memory, MAX_CLIENT_BYTES)),
        max_unfinished=max(1, int(limits.memory_mb * UNFINISHED_PER_MB)),
        max_channels={CALLERS: callers, **dict.fromkeys(CONTROL_GROUPS, control)},
    ).reset()


def share_descriptors(max_fds):
    """Return the numbers of channels for callers and for each other listener.

    Each caller's channel may need one to a server. An eighth is for the store, peers
    and events of servers, and 200, or a quarter of few, are for files.

    :param max_fds: descriptors of the machine; fewer if the system allows fewer.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft != resource.RLIM_INFINITY:
        max_fds = min(max_fds, soft)
    control = max(1, min(MAX_CONTROL_CHANNELS, max_fds // 32))
    kept = min(FILE_DESCRIPTORS, max_fds // 4) + max_fds // 8
    left = max_fds - kept - control * len(CONTROL_GROUPS)
    return max(1, left // 2), control


class RefusalCounts:
    """Counters of refusals by cause, and one log line per cause and second.

    :param state: an :class:`EdgeState`.
    """

    def __init__(self, state):
        self.state = state
        self.unwritten = Counter()

    def count(self, cause):
        """Count a refusal.

        :param cause: short constant text.
        """
        self.state.metrics.count("client.refused", label=cause)
        self.unwritten[cause] += 1

    async def write_lines(self, tick):
        """Write a line for each cause since the last call; called by the timer service.

        :param tick: unused.
        """
        counts, self.unwritten = self.unwritten, Counter()
        policy = self.state.intake.policy
        for cause, number in sorted(counts.items()):
            self.state.log.write(
                "clients_refused",
                cause=cause,
                number=number,
                held=policy.held_,
                unfinished=policy.unfinished_,
                channels=sum(policy.channels_.values()),
            )


def create_intake(state):
    """Return the :class:`Intake` of a process and its :class:`RefusalCounts`.

    :param state: an :class:`EdgeState`.
    """
    counts = RefusalCounts(state)
    policy = create_policy(state.settings.limits)
    return Intake(policy, state.timer, counts.count), counts
