"""Seeded open-loop arrivals, and a small event loop around the pure policies."""

from dataclasses import dataclass
from heapq import heappop, heappush
from math import exp

from wasabistage.admission import (
    CapacityChanged,
    EntriesChanged,
    FirstByteReceived,
    GrantSlot,
    Refuse,
    RequestArrived,
    RequestFinished,
    SendReport,
)
from wasabistage.base import Rank

GAP_SIGMA = 1.0
LENGTH_SIGMA = 0.8
MAX_LENGTH_RATIO = 10.0
MEAN_TOKENS = 1000.0
SLOT_SECONDS_PER_TOKEN = 0.001
FIRST_BYTE_SECONDS = 0.15
FIRST_BYTE_SECONDS_PER_TOKEN = 0.0003
TICK_SECONDS = 0.1
PEER_SECONDS = 0.001
SERVICE = "model"
DEADLINES = {Rank.URGENT: 5.0, Rank.INTERACTIVE: 5.0, Rank.BACKGROUND: 10.0}


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """One request of the load.

    :param at: time of its arrival, in seconds.
    :param account: name of the client account.
    :param rank: rank of the call.
    :param tokens: estimated and actual cost, in tokens.
    :param entry: number of the entry instance it goes to.
    """

    at: float
    account: str
    rank: Rank
    tokens: float
    entry: int


def heavy_tailed(random, mean, sigma):
    """Draw from a log-normal distribution.

    :param random: a seeded :class:`random.Random`.
    :param mean: mean of the distribution.
    :param sigma: standard deviation of its logarithm.
    :return: the draw.
    """
    return mean * exp(random.gauss(0.0, sigma) - sigma * sigma / 2)


def account_sizes(count, exponent=1.0):
    """Return the relative sizes of accounts by a power law.

    :param count: number of accounts.
    :param exponent: exponent of the power law.
    :return: size by name.
    """
    return {f"account-{n}": 1.0 / n**exponent for n in range(1, count + 1)}


def make_arrivals(random, *, rate, start, end, rank, accounts, entries):
    """Draw open-loop arrivals with heavy-tailed gaps, lengths and account sizes.

    :param random: a seeded :class:`random.Random`.
    :param rate: mean arrivals a second.
    :param start: time of the first, in seconds.
    :param end: time after the last, in seconds.
    :param rank: rank of all of them.
    :param accounts: relative size by name of the account.
    :param entries: numbers of the entries to spread them over.
    :return: a list of :class:`Arrival` in order of time.
    """
    names = list(accounts)
    sizes = list(accounts.values())
    arrivals = []
    at = start + heavy_tailed(random, 1 / rate, GAP_SIGMA)
    while at < end:
        tokens = heavy_tailed(random, MEAN_TOKENS, LENGTH_SIGMA)
        arrivals.append(
            Arrival(
                at=at,
                account=random.choices(names, sizes)[0],
                rank=rank,
                tokens=min(tokens, MAX_LENGTH_RATIO * MEAN_TOKENS),
                entry=random.choice(entries),
            )
        )
        at += heavy_tailed(random, 1 / rate, GAP_SIGMA)
    return arrivals


@dataclass
class Outcome:
    """What became of an arrival.

    :param arrival: the arrival.
    :param granted_at: time of its grant, or ``None``.
    :param refused_at: time of its refusal, or ``None``.
    :param retry_after: what the refusal asked for, in seconds.
    """

    arrival: Arrival
    granted_at: float | None = None
    refused_at: float | None = None
    retry_after: float = 0.0

    @property
    def first_byte(self):
        """Seconds from arrival to first byte, or ``None``."""
        if self.granted_at is None:
            return None
        return self.granted_at + first_byte_time(self.arrival) - self.arrival.at

    @property
    def good(self):
        """Whether the first byte came within the deadline."""
        first_byte = self.first_byte
        if first_byte is None:
            return False
        return first_byte <= DEADLINES[self.arrival.rank]

    @property
    def end(self):
        """Time at which its slot is free again."""
        return self.granted_at + self.arrival.tokens * SLOT_SECONDS_PER_TOKEN


def first_byte_time(arrival):
    """Return the time from grant to first byte.

    :param arrival: an :class:`Arrival`.
    :return: seconds.
    """
    return min(
        FIRST_BYTE_SECONDS + arrival.tokens * FIRST_BYTE_SECONDS_PER_TOKEN,
        arrival.tokens * SLOT_SECONDS_PER_TOKEN,
    )


class EntriesLoop:
    """Drives the admission of several entries with one load.

    :param admissions: an ``EntryAdmission`` for each entry, reset.
    :param slots: slots of all backend servers of the service.
    :param cut: function of two entry numbers and the time, true while a report
        between them is lost; ``None`` for none.
    """

    def __init__(self, admissions, slots, cut=None):
        self.admissions = admissions
        self.slots = slots
        self.cut = cut
        self.outcomes = []
        self.queue = []
        self.count = 0

    def run(self, arrivals, until):
        """Play the load.

        :param arrivals: the load.
        :param until: end, in seconds.
        :return: a list of :class:`Outcome`.
        """
        for arrival in arrivals:
            self.at(arrival.at, self.arrive, arrival)
        names = {admission.limiter_.entry: 1 for admission in self.admissions}
        for number, admission in enumerate(self.admissions):
            admission.observe(EntriesChanged(members=names), 0.0)
            capacity = CapacityChanged(service=SERVICE, slots=self.slots)
            admission.observe(capacity, 0.0)
            offset = TICK_SECONDS * number / len(self.admissions)
            self.at(offset, self.tick, number, until)
        while self.queue:
            now, _, call, arguments = heappop(self.queue)
            call(now, *arguments)
        return self.outcomes

    def at(self, time, call, *arguments):
        """Schedule a call with the time as its first argument."""
        self.count += 1
        heappush(self.queue, (time, self.count, call, arguments))

    def arrive(self, now, arrival):
        """Hand an arrival to its entry."""
        request_id = str(len(self.outcomes))
        self.outcomes.append(Outcome(arrival))
        event = RequestArrived(
            request_id=request_id,
            account=arrival.account,
            rank=arrival.rank,
            service=SERVICE,
            cost=arrival.tokens,
            deadline_at=now + DEADLINES[arrival.rank],
        )
        self.feed(now, arrival.entry, event)

    def feed(self, now, entry, event):
        """Give an entry an event and carry its actions out."""
        self.carry_out(now, entry, self.admissions[entry].observe(event, now))

    def tick(self, now, entry, until):
        """Tick an entry until the end of the run."""
        self.carry_out(now, entry, self.admissions[entry].tick(now))
        if now < until:
            self.at(now + TICK_SECONDS, self.tick, entry, until)

    def carry_out(self, now, entry, actions):
        """Carry out an entry's actions."""
        for action in actions:
            if isinstance(action, SendReport):
                self.send(now, entry, action.report)
                continue
            outcome = self.outcomes[int(action.request_id)]
            if isinstance(action, Refuse):
                outcome.refused_at = now
                outcome.retry_after = action.retry_after
            if isinstance(action, GrantSlot):
                outcome.granted_at = now
                self.serve(now, entry, action.request_id, outcome)

    def serve(self, now, entry, request_id, outcome):
        """Schedule first byte and end of a granted request."""
        first_byte = FirstByteReceived(request_id=request_id)
        finished = RequestFinished(request_id=request_id, cost=outcome.arrival.tokens)
        at = now + first_byte_time(outcome.arrival)
        self.at(at, self.feed, entry, first_byte)
        self.at(max(at, outcome.end), self.feed, entry, finished)

    def send(self, now, sender, report):
        """Send a report to every peer that it reaches."""
        for entry in range(len(self.admissions)):
            if entry == sender or (self.cut and self.cut(sender, entry, now)):
                continue
            self.at(now + PEER_SECONDS, self.feed, entry, report)
