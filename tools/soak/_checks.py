"""Checks of the promises, from what callers and backend servers have seen."""

import math
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass, field

NOT_RUN_STATUSES = (408, 421, 429, 503)
#: Time from the record of a server in the list until every entry has read it.
LISTING_SECONDS = 2.0
MAX_REQUEST_SECONDS = 4.0  # the time for which callers wait
MAX_EXCESS_ATTEMPTS = 3  # requests that may run on too many servers
MAX_LONG_DEADLINES = 20  # arrivals that may be given too much time
DEADLINE_SLACK = 0.5  # seconds
MAX_SENT_AFTER_STOP = 3.0  # seconds after which a stopping entry may cut no request


@dataclass(frozen=True, kw_only=True)
class Bounds:
    """Bounds of the deployment.

    :param retry_ratio: retries per request.
    :param retry_extra: retries in a window besides.
    :param retry_window: seconds.
    :param drain: seconds after which a leaving server gets no request.
    :param recover: seconds in which an entry that answers is ready.
    :param settle: seconds after a disturbance until an entry is judged again.
    :param cold_seconds: seconds for which a server is cold after a start.
    :param cold_rate: requests per second that a cold server tolerates; 0 for a
        deployment that doesn't limit them.
    :param cold_excess: multiple of this rate that it may get in a second.
    :param cold_slack: requests that it may get in a second besides.
    :param evacuate: seconds after which an evacuated server gets no request.
    :param attempts: servers that one request may run on.
    :param revoke: seconds after which no request with a removed key runs.
    :param version: seconds in which engines load new weights after the last fault.
    :param configuration: seconds after which a configuration or changed settings hold.
    """

    retry_ratio: float = 0.2
    retry_extra: float = 54.0
    retry_window: float = 10.0
    drain: float = 2.0
    recover: float = 12.0
    settle: float = 3.0
    cold_seconds: float = 8.0
    cold_rate: float = 0.0
    cold_excess: float = 1.5
    cold_slack: float = 1.0
    evacuate: float = 5.0
    attempts: int = 3
    configuration: float = 2.0
    revoke: float = 5.0
    version: float = 9.0

    @property
    def cold_requests(self):
        """Requests that a cold server may get in a second."""
        return self.cold_rate * self.cold_excess + self.cold_slack


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request that reached a backend server.

    :param at: seconds.
    :param request_id: its id.
    :param server: id of the server.
    :param service: name of the service.
    :param has_run: whether the server began to work on it.
    :param status: status that the server meant to answer, 0 for none.
    :param time_left: time for which the server may work, in seconds, or ``None``.
    :param has_key: whether the key of the caller was passed on.
    """

    at: float
    request_id: str
    server: str
    service: str
    has_run: bool
    status: int
    time_left: float | None = None
    has_key: bool = False


@dataclass
class Sent:
    """A request of a caller.

    :param at: seconds.
    :param request_id: its id.
    :param kind: kind of request.
    :param service: name of the service that its route leads to.
    :param entry: name of the entry that it was sent to.
    :param status: status of the answer, 0 without a whole answer.
    :param body: body of the answer.
    :param deadline: time that it gave, in seconds.
    :param ended_at: time of the answer, or at which the caller gave up, in seconds;
        ``None`` while it waits.
    """

    at: float
    request_id: str
    kind: str
    service: str
    entry: str
    status: int = 0
    body: bytes = b""
    deadline: float = 3.0
    ended_at: float | None = None

    def get_end(self):
        """Return the time until which the request may have been open, in seconds."""
        return self.at + MAX_REQUEST_SECONDS if self.ended_at is None else self.ended_at

    def has_used_its_time(self):
        """Return whether the request was ended at its deadline, or later."""
        return self.ended_at is not None and self.ended_at >= self.at + self.deadline


@dataclass
class Record:
    """What callers and servers have seen in one run.

    :param sent: list of :class:`Sent`, in order of time.
    :param arrivals: list of :class:`Arrival`, in order of time.
    :param leavings: dict of server to the time at which its leaving was acknowledged.
    :param disturbances: rows of begin, end and the name of the disturbed entry, ``""``
        for the store.
    :param stops: rows of begin, end and the name of an entry of planned stops.
    :param reloads: rows of the time and the name of an entry that was told of changed
        settings.
    :param publications: rows of the time at which a configuration was written and its
        version.
    :param removed_key_requests: ids of the requests that were sent with a key for too
        long after it was taken away.
    :param crashes: rows of the time and the id of a server that crashed.
    :param cold_spans: rows of begin, end and the id of a server that was listed as
        cold.
    :param evacuations: rows of the time at which an order was acknowledged, the time at
        which it was withdrawn, and the ids of the servers.
    :param drills: rows of the time at which the store returned from a copy and the age
        of the copy in seconds.
    :param dedications: rows of begin, end and name of an account that was dedicated.
    :param cache_uses: rows of the time at which a prompt arrived at an engine, its
        request's id, its account and its cache salt.
    """

    sent: list = field(default_factory=list)
    arrivals: list = field(default_factory=list)
    leavings: dict = field(default_factory=dict)
    disturbances: list = field(default_factory=list)
    stops: list = field(default_factory=list)
    reloads: list = field(default_factory=list)
    publications: list = field(default_factory=list)
    crashes: list = field(default_factory=list)
    removed_key_requests: set = field(default_factory=set)
    cold_spans: list = field(default_factory=list)
    evacuations: list = field(default_factory=list)
    drills: list = field(default_factory=list)
    dedications: list = field(default_factory=list)
    cache_uses: list = field(default_factory=list)

    def is_disturbed(self, entry, begin, end):
        """Return whether an entry or the store was disturbed in a span."""
        return any(
            name in ("", entry) and begin <= until and since <= end
            for since, until, name in self.disturbances
        )

    def is_stopping(self, entry, at):
        """Return whether an entry was being stopped as planned at a time."""
        return self.has_stop(entry, at, at)

    def has_stop(self, entry, begin, end):
        """Return whether an entry was being stopped as planned in a span."""
        return any(
            name == entry and begin <= until and since <= end
            for since, until, name in self.stops
        )

    def is_cut_by_stop(self, entry, begin, end):
        """Return whether a stop cut a request without an answer that it had to await.

        One that was sent soon after the signal and is still worked on in the last sixth
        of the time that the entry has may be cut.

        :param entry: name of the entry.
        :param begin: time at which the request was sent, in seconds.
        :param end: time at which its channel ended, in seconds.
        """
        return any(
            name == entry
            and begin <= until
            and since <= end
            and not (
                begin <= since + MAX_SENT_AFTER_STOP
                and end >= until - (until - since) / 6.0
            )
            for since, until, name in self.stops
        )

    def has_crash(self, arrival, end):
        """Return whether a server has crashed since a request arrived there."""
        return any(
            name == arrival.server and arrival.at <= at <= end
            for at, name in self.crashes
        )

    def has_reload(self, entry, begin, end, within):
        """Return whether a request was open around a change of an entry's settings.

        :param begin: time at which the request was sent, in seconds.
        :param end: time at which it ended, in seconds.
        :param within: seconds after the change in which it may have been sent.
        """
        return any(
            name == entry and begin <= at + within and at <= end
            for at, name in self.reloads
        )

    def has_publication(self, begin, end, within):
        """Return whether a request was open around a new configuration.

        See :meth:`has_reload`.
        """
        return any(begin <= at + within and at <= end for at, _ in self.publications)


def find_retry_excess(record, bounds):
    """Return the worst window of each service with too many retries.

    :param record: a :class:`Record`.
    :param bounds: :class:`Bounds`.
    :return: list of texts.
    """
    found = []
    for service, (count, allowed, end) in find_retry_peaks(record, bounds).items():
        if count > allowed:
            found.append(
                f"BUDGET: {service} got {count} repeats in {bounds.retry_window:.0f} "
                f"s, {allowed:.0f} allowed, until {end:.2f}"
            )
    return found


def find_retry_peaks(record, bounds):
    """Return the window of each service with most retries, relative to its bound.

    :param record: a :class:`Record`.
    :param bounds: :class:`Bounds`.
    :return: dict of service to number of retries, number allowed, end of the window.
    """
    peaks, window = {}, bounds.retry_window
    requests, repeats, seen = defaultdict(list), defaultdict(list), set()
    for item in record.sent:
        requests[item.service].append(item.at)
    for arrival in record.arrivals:
        key = arrival.service, arrival.request_id
        if key in seen:
            repeats[arrival.service].append(arrival.at)
        seen.add(key)
    for service, times in repeats.items():
        for index, end in enumerate(times):
            count = index + 1 - bisect_left(times, end - window)
            most = max(
                count_between(requests[service], end - shift - window, end - shift)
                for shift in (0.0, window / 2, window)
            )
            allowed = bounds.retry_ratio * most + bounds.retry_extra
            known = peaks.get(service)
            if known is None or count / allowed > known[0] / known[1]:
                peaks[service] = count, allowed, end
    return peaks


def count_between(times, begin, end):
    """Return the number of sorted times in a span."""
    return bisect_right(times, end) - bisect_left(times, begin)


def find_late_arrivals(record, bounds):
    """Return the requests that reached a server long after it said that it leaves."""
    entries = {item.request_id: item.entry for item in record.sent}
    found = []
    for arrival in record.arrivals:
        leaving_at = record.leavings.get(arrival.server)
        if leaving_at is None or arrival.status == 421:
            continue
        late = arrival.at - leaving_at - bounds.drain
        entry = entries.get(arrival.request_id, "")
        is_excused = record.is_disturbed(
            entry, arrival.at - bounds.settle, arrival.at
        ) or record.is_stopping(entry, arrival.at)
        if late > 0 and not is_excused:
            found.append(
                f"DRAIN: {arrival.request_id} of {entry} reached {arrival.server} "
                f"{late + bounds.drain:.2f} s after its leaving, at {arrival.at:.2f}"
            )
    return found


def find_cold_excess(record, bounds):
    """Return the worst second of each cold span with too many requests.

    A span begins ``LISTING_SECONDS`` after the server is listed: an entry that has sent
    nothing to a server while it was down learns from the list that it is cold.

    :param record: a :class:`Record`.
    :param bounds: :class:`Bounds`.
    """
    found = []
    for begin, end, server in record.cold_spans:
        times = [
            arrival.at
            for arrival in record.arrivals
            if arrival.server == server and arrival.status != 421
        ]
        counts = [
            (count_between(times, at - 1.0, at), at)
            for at in times
            if begin + LISTING_SECONDS + 1.0 <= at <= end
        ]
        count, at = max(counts, default=(0, 0.0))
        if count > bounds.cold_requests:
            found.append(
                f"COLD: {server} got {count} requests in a second until {at:.2f}, "
                f"{bounds.cold_requests:.1f} allowed; cold from {begin:.2f}"
            )
    return found


def find_evacuated_arrivals(record, bounds):
    """Return the requests that reached a server long after it was evacuated.

    :param record: a :class:`Record`.
    :param bounds: :class:`Bounds`.
    """
    entries = {item.request_id: item.entry for item in record.sent}
    found = []
    for ordered_at, withdrawn_at, servers in record.evacuations:
        for arrival in record.arrivals:
            is_late = ordered_at + bounds.evacuate < arrival.at < withdrawn_at
            if not is_late or arrival.server not in servers or arrival.status == 421:
                continue
            entry = entries.get(arrival.request_id, "")
            if not record.is_disturbed(entry, arrival.at - bounds.settle, arrival.at):
                found.append(
                    f"EVACUATE: {arrival.request_id} of {entry} reached "
                    f"{arrival.server} {arrival.at - ordered_at:.2f} s after the order"
                )
    return found


def find_cut_answers(record, bounds):
    """Return the requests that planned work cut after a server had got them.

    Planned work is the stop of the entry, a change of its settings and a configuration.
    Beside a configuration, requests count if they are cut over three times as often as
    at other times.
    """
    last_arrivals = {item.request_id: item for item in record.arrivals}
    cut = [
        item
        for item in record.sent
        if item.status == 0
        and item.request_id in last_arrivals
        and last_arrivals[item.request_id].status == 200
        and not item.has_used_its_time()
        and not record.has_crash(last_arrivals[item.request_id], item.get_end())
        and not record.is_disturbed(item.entry, item.at - bounds.settle, item.get_end())
    ]
    found = [
        f"LOST: {item.request_id} ({item.kind}) of {item.entry} was cut by its stop"
        for item in cut
        if record.is_cut_by_stop(item.entry, item.at, item.get_end())
    ]
    found += [
        f"LOST: {item.request_id} ({item.kind}) of {item.entry} was cut by a change of "
        "its settings"
        for item in cut
        if record.has_reload(item.entry, item.at, item.get_end(), bounds.configuration)
    ]
    within = bounds.configuration + 1.0
    beside = [
        item for item in cut if record.has_publication(item.at, item.get_end(), within)
    ]
    open_beside = sum(
        record.has_publication(item.at, item.get_end(), within) for item in record.sent
    )
    others = len(record.sent) - open_beside
    if len(beside) * others > 3 * (len(cut) - len(beside)) * open_beside:
        found.append(
            f"LOST: {len(beside)} of {open_beside} requests beside a configuration "
            f"were cut, {len(cut) - len(beside)} of {others} others"
        )
    return found


def find_removed_keys(record):
    """Return the requests that ran although their key was taken away."""
    return [
        f"CONFIG: {arrival.request_id} ran at {arrival.server} with a removed key"
        for arrival in record.arrivals
        if arrival.request_id in record.removed_key_requests and arrival.has_run
    ]


def find_shared_caches(record, bounds):
    """Return the prompts that could use cached parts across a dedicated account.

    Parts are found under their salt alone, so a salt that two accounts have used is
    shared by them.
    """
    found, users = [], defaultdict(set)
    entries = {item.request_id: item.entry for item in record.sent}
    settling = bounds.configuration + bounds.settle
    for at, request_id, account, salt in record.cache_uses:
        users[salt].add(account)
        if len(users[salt]) == 1:
            continue
        for begin, end, dedicated in record.dedications:
            if not begin + settling <= at <= end or dedicated not in users[salt]:
                continue
            entry = entries.get(request_id, "")
            if not record.is_disturbed(entry, begin, at):
                found.append(
                    f"WALL: {request_id} of {account} at {at:.2f} s shares {salt!r} "
                    f"with {sorted(users[salt] - {account})}, {dedicated} is dedicated"
                )
    return found


def find_passed_keys(record):
    """Return the requests to which a server got the key of the caller."""
    return [
        f"UNASKED: {arrival.server} got the key of {arrival.request_id}"
        for arrival in record.arrivals
        if arrival.has_key
    ]


def find_excess_attempts(record, bounds):
    """Return the requests that ran on too many servers, if they are more than three."""
    servers = defaultdict(set)
    ends = {item.request_id: item.get_end() for item in record.sent}
    for arrival in record.arrivals:
        end = ends.get(arrival.request_id, arrival.at)
        if arrival.has_run and not record.has_crash(arrival, end):
            servers[arrival.request_id].add(arrival.server)
    found = [
        f"BUDGET: {request} ran on {len(names)} servers, {bounds.attempts} allowed"
        for request, names in servers.items()
        if len(names) > bounds.attempts
    ]
    return found if len(found) > MAX_EXCESS_ATTEMPTS else []


def find_long_deadlines(record):
    """Return a text if servers were given more time than was left."""
    sent = {item.request_id: item for item in record.sent}
    first, late_repeats, long, total = {}, 0, 0, 0
    for arrival in record.arrivals:
        request = sent.get(arrival.request_id)
        if request is None:
            continue
        total += 1
        time_left = math.inf if arrival.time_left is None else arrival.time_left
        is_long = time_left > request.deadline + DEADLINE_SLACK
        before = first.setdefault(arrival.request_id, arrival)
        if arrival.at > before.at + DEADLINE_SLACK:
            late_repeats += 1
            limit = max(
                before.at + (before.time_left or 0.0), request.at + request.deadline
            )
            is_long = is_long or arrival.at + time_left > limit + DEADLINE_SLACK
        long += is_long
    if long <= MAX_LONG_DEADLINES or long <= 0.2 * max(late_repeats, 1):
        return []
    return [
        f"BUDGET: {long} of {total} arrivals had more time than was left, of which "
        f"{late_repeats} were sent once more later than {DEADLINE_SLACK} s"
    ]


def find_wrong_answers(record):
    """Return the answers that are not the caller's own, or that were untrue."""
    found, runs = [], Counter()
    for arrival in record.arrivals:
        runs[arrival.request_id] += arrival.has_run
    for item in record.sent:
        ran = runs[item.request_id]
        if item.kind == "buy" and ran > 1:
            found.append(f"TWICE: {item.request_id} ran {ran} times")
        if item.kind == "buy" and item.status in NOT_RUN_STATUSES and ran:
            found.append(f"REFUSED: {item.request_id} got {item.status} and ran")
        if item.status == 200 and item.request_id.encode() not in item.body:
            found.append(f"MIXED: {item.request_id} got {item.body[:80]!r}")
    return found


def find_violations(record, bounds):
    """Return all that was broken, a list of texts."""
    return [
        *find_retry_excess(record, bounds),
        *find_late_arrivals(record, bounds),
        *find_removed_keys(record),
        *find_passed_keys(record),
        *find_shared_caches(record, bounds),
        *find_excess_attempts(record, bounds),
        *find_long_deadlines(record),
        *find_cut_answers(record, bounds),
        *find_cold_excess(record, bounds),
        *find_evacuated_arrivals(record, bounds),
        *find_wrong_answers(record),
    ]
