"""What the slopes give at the target: formulas over measured figures."""

from dataclasses import dataclass

from wasabistage.membership import CellPlan, FullMesh

ENTRIES = 400
SERVERS = 1100
REQUESTS = 690.0
TOKENS = 230_000.0
SESSIONS = 830_000
ACCOUNTS = 750
MODELS = 6
CHANGES = 2000.0
DAY = 86400.0
CELL = 25
CORE_BOUND = 0.042
MEMORY_BOUND = 256.0
BYTES_BOUND = 6000.0
#: Share of the requests that are non-idempotent calls, and how long a key is kept.
ONCE_SHARE = 0.02
HORIZON = 7200.0
#: Cache events of one backend server a second: pieces stored and removed.
EVENTS = 2.0
PIECES = 16_384


@dataclass(frozen=True, kw_only=True)
class Line:
    """One line of the table at the target.

    :param role: the role.
    :param core: share of a core, control or serving, in percent.
    :param memory: memory, in MB.
    :param messages: messages a second.
    :param rate: bytes a second.
    :param formula: how it was worked out.
    """

    role: str
    core: float
    memory: float
    messages: float
    rate: float
    formula: str


class Measured:
    """Looks measured figures up.

    :param slopes: a list of :class:`benchmarks.capacity._slopes.Slope`.
    """

    def __init__(self, slopes):
        self.values = {(s.role, s.count, s.name): s.value for s in slopes}

    def at(self, role, name, count):
        """Return the figure of the size nearest to a count.

        :param role: the role.
        :param name: the figure.
        :param count: the size wanted.
        :return: the figure.
        """
        sizes = [c for r, c, n in self.values if (r, n) == (role, name)]
        nearest = min(sizes, key=lambda size: abs(size - count))
        return self.values[role, nearest, name]


def fit(points):
    """Fit a straight line.

    :param points: pairs of x and y.
    :return: its value at 0, and its slope; the slope is 0 for a single x.
    """
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return mean_y, 0.0
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return mean_y - slope * mean_x, slope


@dataclass(frozen=True, kw_only=True)
class ProcessSlopes:
    """Idle cost of one entry process, from straight lines over the fleets.

    :param base: share of a core without peers, with the example's servers.
    :param entry: more for each further entry of the full mesh.
    :param server: more for each further backend server.
    :param call: for one call a second, sent, with the one received beside it.
    """

    base: float
    entry: float
    server: float
    call: float


def fit_processes(fleets):
    """Fit the lines.

    :param fleets: a list of :class:`benchmarks.capacity._fleets.FleetCost`.
    :return: :class:`ProcessSlopes`.
    """
    least = min(fleet.servers for fleet in fleets)
    mesh = [f for f in fleets if f.servers == least]
    base, entry = fit([(f.entries, f.core) for f in mesh])
    _, call = fit([(f.calls, f.core) for f in mesh])
    many = max(fleets, key=lambda fleet: fleet.servers).entries
    _, server = fit([(f.servers, f.core) for f in fleets if f.entries == many])
    return ProcessSlopes(base=base, entry=entry, server=server, call=call)


def us(rate, microseconds):
    """Return the percentage of a core that a rate of steps takes."""
    return rate * microseconds / 1e4


def work_out(measured, fleets, wire, hop):
    """Work the roles out at the target.

    :param measured: :class:`Measured`.
    :param fleets: a list of :class:`benchmarks.capacity._fleets.FleetCost`.
    :param wire: bytes of one gossip call with ten accounts' demand.
    :param hop: microseconds per request and per token, from ``entry_hop``.
    :return: a list of :class:`Line`, of one entry.
    """
    requests, tokens = REQUESTS / ENTRIES, TOKENS / ENTRIES
    per_request, per_token = hop
    at = measured.at
    serving = [
        Line(
            role="relay of answers (serving)",
            core=us(tokens, per_token),
            memory=0.0,
            messages=tokens,
            rate=0.0,
            formula=f"{tokens:.0f} tokens/s x {per_token:.0f} us",
        ),
        Line(
            role="caller API, with all a request's steps (serving)",
            core=us(requests, per_request),
            memory=0.0,
            messages=requests,
            rate=0.0,
            formula=f"{requests:.2f} requests/s x {per_request:.0f} us",
        ),
    ]
    return serving + decisions(at, requests) + control(at, fleets, wire)


def decisions(at, requests):
    """Work out the roles that decide on requests; serving as well."""
    admit = at("admission", "us per request", ACCOUNTS)
    seat = at("admission", "bytes each", ACCOUNTS) * ACCOUNTS / 1e6
    route = at("backend servers", "us per route", SERVERS) / SERVERS
    choice = SERVERS / MODELS
    cell_choice = SERVERS * CELL / ENTRIES / MODELS
    keys = REQUESTS * ONCE_SHARE * HORIZON
    home, reader = (
        at("once-only", name, 5000)
        for name in ("bytes at its home", "bytes in each reader")
    )
    purchase = at("once-only", "us per purchase", 5000)
    appended = at("once-only", "bytes appended", 5000)
    return [
        Line(
            role="admission",
            core=us(requests, admit),
            memory=seat,
            messages=0.0,
            rate=0.0,
            formula=f"{requests:.2f} requests/s x {admit:.0f} us; {ACCOUNTS} accounts",
        ),
        Line(
            role="routing, every server known",
            core=us(requests, route * choice),
            memory=at("backend servers", "bytes each", SERVERS) * SERVERS / 1e6,
            messages=0.0,
            rate=0.0,
            formula=f"{requests:.2f} requests/s x {choice:.0f} servers of a model x "
            f"{route:.1f} us",
        ),
        Line(
            role="routing, servers of a cell",
            core=us(requests, route * cell_choice),
            memory=at("backend servers", "bytes each", 70)
            * SERVERS
            * CELL
            / ENTRIES
            / 1e6,
            messages=0.0,
            rate=0.0,
            formula=f"{requests:.2f} requests/s x {cell_choice:.0f} servers x "
            f"{route:.1f} us",
        ),
        Line(
            role="once-only home",
            core=us(requests * ONCE_SHARE, purchase),
            memory=keys / ENTRIES * home / 1e6,
            messages=requests * ONCE_SHARE,
            rate=requests * ONCE_SHARE * appended,
            formula=f"{ONCE_SHARE:.0%} of requests x {purchase:.0f} us; keys of "
            f"{HORIZON / 3600:.0f} h x {home:.0f} B",
        ),
        Line(
            role="once-only, each entry reading every key",
            core=us(REQUESTS * ONCE_SHARE, purchase),
            memory=keys * reader / 1e6,
            messages=REQUESTS * ONCE_SHARE,
            rate=REQUESTS * ONCE_SHARE * appended,
            formula=f"{keys:,.0f} keys x {reader:.0f} B, {appended:.0f} B each",
        ),
        Line(
            role="once-only, readers of a cell's stream",
            core=us(REQUESTS * ONCE_SHARE * CELL / ENTRIES, purchase),
            memory=keys * CELL / ENTRIES * reader / 1e6,
            messages=REQUESTS * ONCE_SHARE * CELL / ENTRIES,
            rate=REQUESTS * ONCE_SHARE * CELL / ENTRIES * appended,
            formula=f"the same x {CELL}/{ENTRIES}",
        ),
    ]


def control(at, fleets, wire):
    """Work out the control of one entry."""
    slopes = fit_processes(fleets)
    mesh, cells = FullMesh(ENTRIES, SERVERS), CellPlan()
    resident = max(fleet.resident for fleet in fleets)
    beats = cells.costs()[0].messages / 2
    words, digests = (cost.messages / 2 for cost in cells.costs()[2:4])
    tables = [at(role, "MB", SESSIONS) for role in ("session table", "store index")]
    record = at("configuration", "record bytes", SERVERS)
    fold = at("configuration", "ms per record", SERVERS)
    event = at("cache index", "us per event", PIECES)
    piece = at("cache index", "bytes each", PIECES)
    watched = SERVERS * cells.watchers / ENTRIES
    of_cell = SERVERS * CELL / ENTRIES
    changes = CHANGES / DAY
    return [
        Line(
            role="a process with nothing to do",
            core=100 * max(0.0, slopes.base),
            memory=resident,
            messages=0.0,
            rate=0.0,
            formula="line over 3 to 20 entries, at 0 entries; largest resident memory",
        ),
        Line(
            role="gossip, full mesh (today's)",
            core=100 * slopes.entry * ENTRIES,
            memory=at("membership", "bytes each", 40) * ENTRIES / 1e6,
            messages=4 * (ENTRIES - 1),
            rate=4 * (ENTRIES - 1) * wire / 2,
            formula=f"{100 * slopes.entry:.3f}% an entry; {wire:.0f} B a call, "
            "2 calls/s each way to each",
        ),
        Line(
            role="gossip, cells",
            core=100 * slopes.call * (beats + words + digests),
            memory=at("membership", "bytes each", 25) * CELL / 1e6,
            messages=2 * (beats + words + digests),
            rate=cells.total().bytes_per_second,
            formula=f"({beats:.0f} + {words:.0f} + {digests:.1f}) calls/s x "
            f"{100 * slopes.call:.3f}%; bytes by the plan's own frames, against "
            f"{mesh.total().bytes_per_second:,.0f} B/s of a full mesh",
        ),
        Line(
            role="gossip, cells, in today's calls",
            core=100 * slopes.call * (beats + words + digests),
            memory=0.0,
            messages=2 * (beats + words + digests),
            rate=2 * (beats + words + digests) * wire,
            formula=f"the same calls at {wire:.0f} B, each way",
        ),
        Line(
            role="questions to backend servers, every one (today's)",
            core=100 * slopes.server * SERVERS,
            memory=0.0,
            messages=SERVERS / 2.0 + watched * 2,
            rate=0.0,
            formula=f"{100 * slopes.server:.3f}% a server x {SERVERS}",
        ),
        Line(
            role="questions to backend servers, watchers of a cell",
            core=100 * slopes.server * watched * 2,
            memory=0.0,
            messages=watched * 2,
            rate=0.0,
            formula=f"{watched:.1f} watched, each at twice the cost of a server above",
        ),
        Line(
            role="cache index, every server's events",
            core=us(SERVERS * EVENTS, event),
            memory=SERVERS * PIECES * piece / 1e6,
            messages=SERVERS * EVENTS,
            rate=0.0,
            formula=f"{SERVERS} x {EVENTS:.0f} events/s x {event:.1f} us; {PIECES:,} "
            f"pieces x {piece:.0f} B",
        ),
        Line(
            role="cache index, a cell's servers",
            core=us(of_cell * EVENTS, event),
            memory=of_cell * PIECES * piece / 1e6,
            messages=of_cell * EVENTS,
            rate=0.0,
            formula=f"{of_cell:.0f} servers of the cell",
        ),
        Line(
            role="sessions, all in each entry",
            core=0.0,
            memory=sum(tables),
            messages=0.0,
            rate=0.0,
            formula=f"session table {tables[0]:.1f} MB, store index {tables[1]:.1f} MB",
        ),
        Line(
            role="sessions, of a home cell",
            core=0.0,
            memory=sum(tables) * CELL / ENTRIES,
            messages=0.0,
            rate=0.0,
            formula=f"the same x {CELL}/{ENTRIES}",
        ),
        Line(
            role="configuration",
            core=100 * changes * fold / 1000,
            memory=2 * record / 1e6,
            messages=changes * (1 + cells.fanout),
            rate=changes * record * (1 + cells.fanout),
            formula=f"{CHANGES:.0f} changes a day x {record:,.0f} B, read once and "
            f"passed to {cells.fanout}; {fold:.1f} ms each",
        ),
    ]


#: The lines that a node of the target adds up; the others are today's or baselines.
PLANNED = (
    "a process with nothing to do",
    "gossip, cells",
    "questions to backend servers, watchers of a cell",
    "cache index, a cell's servers",
    "sessions, of a home cell",
    "configuration",
    "once-only, readers of a cell's stream",
)


def total(lines):
    """Add the planned control of one node up.

    :param lines: a list of :class:`Line`.
    :return: a :class:`Line`.
    """
    chosen = [line for line in lines if line.role in PLANNED]
    return Line(
        role="control of one node, planned mechanisms",
        core=sum(line.core for line in chosen),
        memory=sum(line.memory for line in chosen),
        messages=sum(line.messages for line in chosen),
        rate=sum(line.rate for line in chosen),
        formula=f"bounds: {100 * CORE_BOUND:.1f}%, {MEMORY_BOUND:.0f} MB, "
        f"{BYTES_BOUND:,.0f} B/s",
    )
